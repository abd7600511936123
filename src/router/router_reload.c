/**
 * @file router_reload.c
 * @brief Reloads the settings file when it has changed, or on SIGHUP.
 */
#include <sys/stat.h>

#include "router/router_internal.h"

enum { FILE_CHECK_MS = 500 /* between checks of the file, which may change without a signal */ };

int64_t cw_router_file_fingerprint(const char *file_name)
{
    struct stat status;

    if (stat(file_name, &status) != 0) {
        return 0;
    }
    return (int64_t)status.st_mtim.tv_sec * 1000000007 + status.st_mtim.tv_nsec + status.st_size * 31 +
           (int64_t)status.st_ino;
}

static void reload(cw_router_t *router)
{
    cw_router_settings_t settings;
    cw_findings_t        findings;
    cw_event_t           event;
    bool                 is_valid;

    cw_findings_init(&findings);
    is_valid = cw_router_settings_read(&settings, router->file_name, &findings) == 0;
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
    int64_t fingerprint;

    if (now - router->checked_file_at < CW_MS(FILE_CHECK_MS)) {
        return;
    }
    router->checked_file_at = now;
    fingerprint = cw_router_file_fingerprint(router->file_name);
    if (fingerprint != 0 && fingerprint != router->file_fingerprint) {
        router->file_fingerprint = fingerprint;
        reload(router);
    }
}

void cw_router_reload(cw_router_t *router)
{
    router->file_fingerprint = cw_router_file_fingerprint(router->file_name);
    reload(router);
}
