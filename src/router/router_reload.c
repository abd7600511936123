/**
 * @file router_reload.c
 * @brief Reloads the settings file when it has changed, or on SIGHUP.
 */
#include "router/router_internal.h"

static void reload(cw_router_t *router)
{
    cw_router_settings_t settings;
    cw_findings_t        findings;
    cw_event_t           event;
    bool                 is_valid;

    cw_findings_init(&findings);
    is_valid = cw_router_settings_read(&settings, router->settings_file.name, &findings) == 0;
    if (is_valid) {
        /* Only these settings may change while the process runs; identity, addresses and lease durations stay as at the
         * start. */
        memcpy(router->settings.seeds, settings.seeds, sizeof(settings.seeds));
        router->settings.seed_count = settings.seed_count;
        router->settings.log_level = settings.log_level;
        router->settings.stop_grace = settings.stop_grace;
        cw_event_log_set_level(settings.log_level);
        cw_router_peers_init(router);
    }
    if (cw_event_begin(&event, CW_EVENT_RELOAD)) {
        cw_event_text(&event, CW_FIELD_DETAIL, is_valid ? "taken" : "the file has findings: nothing taken");
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)findings.count);
        cw_event_end(&event);
    }
    cw_findings_clear(&findings);
}

void cw_router_check_file(cw_router_t *router, cw_time_us_t now)
{
    if (cw_settings_file_has_changed(&router->settings_file, now)) {
        reload(router);
    }
}

void cw_router_reload(cw_router_t *router)
{
    cw_settings_file_record_read(&router->settings_file);
    reload(router);
}
