/**
 * @file router_settings.c
 * @brief Reading, defaults and checks of the settings of one node.
 */
#include "config/router_settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/yaml_tree.h"

enum {
    PORT_MAX = 65535,
    FILE_MAX_BYTES = 1024 * 1024,
    LEADER_HOLD_MS = 3000,
    HOLD_MS = 5000,
    HOLD_LONG_MS = 6500,
    HOLD_MAX_MS = 60000,
    DRAIN_MS = 2000,
    SETTLE_MS = 3000,
    HEARTBEAT_MS = 1000,
    CONFIGURATION_MS = 2000,
    LEADER_HOLD_PERCENT = 60, /* of hold_ms, at most: in the rest of the hold another leader can renew the grant */
    STOP_GRACE_MS = 6000,
    LINK_MBPS = 1000,
    LINK_MBPS_MAX = 1000000,
    /* Sending a body of 60 KB costs 1.8 s, longer than usual objectives: the request stays in its region while the
     * region has a slot in time. A kilobyte costs 30 ms, about the latency of the link itself: such a request leaves
     * the region as soon as a queue forms. */
    REMOTE_BYTE_COST_MS_PER_MB = 30000,
    RETRY_WINDOW_MS = 10000,
    RETRY_EXTRA = 20,
    PIPELINE_DEPTH = 16,
    PIPELINE_DEPTH_MAX = 1000,
    PIPELINE_BYTES = 256 * 1024,
    MEMORY_MB_MAX = 1024 * 1024,
    BODY_BYTES_DEFAULT = 64 * 1024 * 1024, /* default if memory_mb is not set */
    BODY_MEMORY_DIVISOR = 4, /* bodies may take a quarter of the node's memory; each is held once, since it is sent from
                              * the buffer that it was read into */
    ANSWER_BYTES_DEFAULT = 32 * 1024 * 1024, /* default if memory_mb is not set */
    ANSWER_MEMORY_DIVISOR = 8, /* answers pass faster than callers' bodies, which are kept until the answer */
    BODY_WAIT_MS = 300, /* about the duration of two usual requests at a server; when one ends, it frees its memory */
    LIMIT_WINDOW_MS = 5000,
    LIMIT_SLACK = 20
};

static void copy_text(char *target, size_t size, const char *text)
{
    if (text != NULL) {
        snprintf(target, size, "%s", text);
    }
}

static void set_defaults(cw_router_settings_t *settings)
{
    memset(settings, 0, sizeof(*settings));
    snprintf(settings->readiness_path, sizeof(settings->readiness_path), "/readyz");
    snprintf(settings->metrics_path, sizeof(settings->metrics_path), "/metrics");
    settings->log_level = CW_EVENT_INFO;
    settings->leader_hold = CW_MS(LEADER_HOLD_MS);
    settings->hold = CW_MS(HOLD_MS);
    settings->hold_long = CW_MS(HOLD_LONG_MS);
    settings->drain = CW_MS(DRAIN_MS);
    settings->settle = CW_MS(SETTLE_MS);
    settings->heartbeat = CW_MS(HEARTBEAT_MS);
    settings->configuration_within = CW_MS(CONFIGURATION_MS);
    settings->stop_grace = CW_MS(STOP_GRACE_MS);
    settings->link_mbps = LINK_MBPS;
    settings->remote_byte_cost = REMOTE_BYTE_COST_MS_PER_MB;
    settings->cpu_share = 1;
    settings->retry_window = CW_MS(RETRY_WINDOW_MS);
    settings->retry_ratio = 0.1;
    settings->retry_extra = RETRY_EXTRA;
    settings->limit_window = CW_MS(LIMIT_WINDOW_MS);
    settings->limit_overshoot = 0.1;
    settings->limit_slack = LIMIT_SLACK;
    copy_text(settings->credential_scheme, sizeof(settings->credential_scheme), "Bearer");
    settings->pipeline_depth = PIPELINE_DEPTH;
    settings->pipeline_bytes = PIPELINE_BYTES;
    settings->body_wait = CW_MS(BODY_WAIT_MS);
}

static bool endpoint_from_text(cw_endpoint_t *endpoint, const char *text)
{
    const char    *colon = strrchr(text, ':');
    char          *end;
    long           port;
    struct in_addr number;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(endpoint->address)) {
        return false;
    }
    snprintf(endpoint->address, sizeof(endpoint->address), "%.*s", (int)(colon - text), text);
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || port < 0 || port > PORT_MAX) {
        return false;
    }
    endpoint->port = (uint16_t)port;
    return inet_pton(AF_INET, endpoint->address, &number) == 1;
}

static void read_endpoint(cw_yaml_mapping_t *mapping, const char *key, bool required, cw_endpoint_t *endpoint)
{
    const char *text = cw_yaml_text(mapping, key, required);

    if (text != NULL && !endpoint_from_text(endpoint, text)) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, key, false),
                       "'%s' is '%s'; must be an IPv4 address and a port, as 10.0.0.1:8080", key, text);
    }
}

static void read_path(cw_yaml_mapping_t *mapping, const char *key, char *target, size_t size)
{
    const char *text = cw_yaml_text(mapping, key, false);

    if (text == NULL) {
        return;
    }
    if (text[0] != '/' || strlen(text) >= size) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, key, false), "'%s' is '%s'; must begin with a slash",
                       key, text);
        return;
    }
    copy_text(target, size, text);
}

static void read_seeds(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *node = cw_yaml_get(mapping, "seeds", false);
    size_t       count = node == NULL ? 0 : cw_yaml_count(mapping->document, node, "seeds");
    size_t       position;

    for (position = 0; position < count && position < CW_SEEDS_MAX; position++) {
        yaml_node_t *item = cw_yaml_item(mapping->document, node, position);
        const char  *text = item->type == YAML_SCALAR_NODE ? (const char *)item->data.scalar.value : "";

        if (endpoint_from_text(&settings->seeds[settings->seed_count], text)) {
            settings->seed_count++;
        } else {
            cw_yaml_report(mapping->document, item, "a seed is '%s'; must be an IPv4 address and a port", text);
        }
    }
}

/* Parses "ZONE=REGION". */
static bool zone_region_from_text(cw_zone_region_t *zone_region, const char *text)
{
    const char *equals = strchr(text, '=');
    size_t      length = equals == NULL ? 0 : (size_t)(equals - text);

    if (length == 0 || length >= sizeof(zone_region->zone) || equals[1] == '\0' ||
        strlen(equals + 1) >= sizeof(zone_region->region)) {
        return false;
    }
    snprintf(zone_region->zone, sizeof(zone_region->zone), "%.*s", (int)length, text);
    snprintf(zone_region->region, sizeof(zone_region->region), "%s", equals + 1);
    return true;
}

static void read_zone_regions(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *node = cw_yaml_get(mapping, "zone_regions", false);
    size_t       count = node == NULL ? 0 : cw_yaml_count(mapping->document, node, "zone_regions");
    size_t       position;

    if (count > CW_ZONES_MAX) {
        cw_yaml_report(mapping->document, node, "at most %d zones", CW_ZONES_MAX);
        count = CW_ZONES_MAX;
    }
    for (position = 0; position < count; position++) {
        yaml_node_t *item = cw_yaml_item(mapping->document, node, position);
        const char  *text = item->type == YAML_SCALAR_NODE ? (const char *)item->data.scalar.value : "";

        if (zone_region_from_text(&settings->zone_regions[settings->zone_region_count], text)) {
            settings->zone_region_count++;
        } else {
            cw_yaml_report(mapping->document, item, "a zone's region is '%s'; must be ZONE=REGION", text);
        }
    }
}

static void read_level(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    const char *text = cw_yaml_text(mapping, "log_level", false);

    if (text != NULL && !cw_event_level_from_text(text, &settings->log_level)) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, "log_level", false),
                       "'log_level' is '%s'; must be error, warning, notice, info or debug", text);
    }
}

static cw_time_us_t read_ms(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high,
                            cw_time_us_t fallback)
{
    return CW_MS(cw_yaml_number(mapping, key, low, high, (uint64_t)(fallback / 1000)));
}

static void read_peer_bind(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    const char    *text = cw_yaml_text(mapping, "peer_bind", false);
    struct in_addr number;

    if (text != NULL && inet_pton(AF_INET, text, &number) != 1) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, "peer_bind", false),
                       "'peer_bind' is '%s'; must be an IPv4 number, as 10.0.0.1", text);
        return;
    }
    copy_text(settings->peer_bind, sizeof(settings->peer_bind), text == NULL ? settings->address : text);
}

static void read_identity(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    copy_text(settings->node, sizeof(settings->node), cw_yaml_name(mapping, "node", true));
    copy_text(settings->zone, sizeof(settings->zone), cw_yaml_name(mapping, "zone", true));
    copy_text(settings->address, sizeof(settings->address), cw_yaml_address(mapping, "address", true));
    read_peer_bind(settings, mapping);
    read_endpoint(mapping, "callers", true, &settings->callers);
    read_endpoint(mapping, "readiness", true, &settings->readiness);
    read_path(mapping, "readiness_path", settings->readiness_path, sizeof(settings->readiness_path));
    settings->metrics_port = (uint16_t)cw_yaml_number(mapping, "metrics_port", 0, PORT_MAX, 0);
    read_path(mapping, "metrics_path", settings->metrics_path, sizeof(settings->metrics_path));
    settings->peer_port = (uint16_t)cw_yaml_required_number(mapping, "peer_port", 1, PORT_MAX);
    read_endpoint(mapping, "store", true, &settings->store);
}

/* Shortens the holds to the longest hold that servers accept; the leader's lease keeps its maximal ratio to them. */
static void limit_holds(cw_router_settings_t *settings, cw_time_us_t hold_max)
{
    if (settings->hold_long > hold_max) {
        settings->hold_long = hold_max;
    }
    if (settings->hold > hold_max) {
        settings->hold = hold_max;
        if (settings->leader_hold > hold_max * LEADER_HOLD_PERCENT / 100) {
            settings->leader_hold = hold_max * LEADER_HOLD_PERCENT / 100;
        }
    }
}

static void read_tuning(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    settings->leader_hold = read_ms(mapping, "leader_hold_ms", 500, 60000, settings->leader_hold);
    settings->first_read_within = read_ms(mapping, "first_look_within_ms", 0, 60000, settings->first_read_within);
    settings->hold = read_ms(mapping, "hold_ms", 1000, 60000, settings->hold);
    settings->hold_long = read_ms(mapping, "hold_long_ms", 1000, 60000, settings->hold_long);
    settings->drain = read_ms(mapping, "drain_ms", 200, 600000, settings->drain);
    settings->settle = read_ms(mapping, "settle_ms", 0, 600000, settings->settle);
    settings->configuration_within =
        read_ms(mapping, "configuration_within_ms", 100, 600000, settings->configuration_within);
    settings->zone_out_within = read_ms(mapping, "zone_out_within_ms", 0, 600000, settings->zone_out_within);
    settings->heartbeat = read_ms(mapping, "server_heartbeat_ms", 50, 600000, settings->heartbeat);
    limit_holds(settings, read_ms(mapping, "hold_max_ms", 1000, 600000, CW_MS(HOLD_MAX_MS)));
    settings->stop_grace = read_ms(mapping, "stop_grace_ms", 1000, 600000, settings->stop_grace);
    settings->link_mbps = (uint32_t)cw_yaml_real(mapping, "link_mbps", 1, LINK_MBPS_MAX, settings->link_mbps);
    settings->remote_byte_cost =
        cw_yaml_real(mapping, "remote_byte_cost_ms_per_mb", 0, 1e9, settings->remote_byte_cost);
    settings->cpu_share = cw_yaml_real(mapping, "cpu_share", 0.001, 1024, settings->cpu_share);
    settings->retry_window = read_ms(mapping, "retry_window_ms", 1000, 600000, settings->retry_window);
    settings->retry_ratio = cw_yaml_real(mapping, "retry_ratio", 0, 1, settings->retry_ratio);
    settings->retry_extra = cw_yaml_real(mapping, "retry_extra", 0, 1e9, settings->retry_extra);
    settings->limit_window = read_ms(mapping, "tenant_limit_window_ms", 100, 600000, settings->limit_window);
    settings->limit_overshoot = cw_yaml_real(mapping, "tenant_limit_overshoot", 0, 10, settings->limit_overshoot);
    settings->limit_slack = cw_yaml_real(mapping, "tenant_limit_slack", 0, 1e9, settings->limit_slack);
}

/* Reads the scheme of callers' keys. It must be an HTTP token, since it precedes a blank in a header. */
static void read_scheme(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    static const char letters[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~+";
    const char       *text = cw_yaml_text(mapping, "credential_scheme", false);

    if (text == NULL) {
        return;
    }
    if (text[0] == '\0' || strspn(text, letters) != strlen(text) ||
        strlen(text) >= sizeof(settings->credential_scheme)) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, "credential_scheme", false),
                       "'credential_scheme' is '%s'; must be letters, digits and -._~+, at most %zu of them", text,
                       sizeof(settings->credential_scheme) - 1);
        return;
    }
    copy_text(settings->credential_scheme, sizeof(settings->credential_scheme), text);
}

static void read_credentials(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    read_scheme(settings, mapping);
    settings->credentials_stale_after =
        read_ms(mapping, "credentials_stale_after_ms", 0, 600000, settings->credentials_stale_after);
    settings->credentials_fail_closed =
        cw_yaml_flag(mapping, "credentials_fail_closed", settings->credentials_fail_closed);
}

static void read_connections(cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    size_t body_bytes;
    size_t answer_bytes;

    settings->pipeline_depth =
        (uint32_t)cw_yaml_number(mapping, "pipeline_depth", 1, PIPELINE_DEPTH_MAX, settings->pipeline_depth);
    settings->pipeline_bytes = cw_yaml_number(mapping, "pipeline_bytes", 1024, SIZE_MAX, settings->pipeline_bytes);
    settings->memory_mb = (uint32_t)cw_yaml_real(mapping, "memory_mb", 0, MEMORY_MB_MAX, 0);
    body_bytes = (size_t)settings->memory_mb * 1024 * 1024 / BODY_MEMORY_DIVISOR;
    settings->body_bytes_most = cw_yaml_number(mapping, "body_bytes_most", 64 * 1024, SIZE_MAX,
                                               settings->memory_mb == 0 ? BODY_BYTES_DEFAULT : body_bytes);
    answer_bytes = (size_t)settings->memory_mb * 1024 * 1024 / ANSWER_MEMORY_DIVISOR;
    settings->answer_bytes_most = cw_yaml_number(mapping, "answer_bytes_most", 64 * 1024, SIZE_MAX,
                                                 settings->memory_mb == 0 ? ANSWER_BYTES_DEFAULT : answer_bytes);
    settings->body_wait = read_ms(mapping, "body_wait_ms", 0, 60000, settings->body_wait);
}

/* Checks conditions between several keys. */
static void check_combinations(const cw_router_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    if (settings->leader_hold > settings->hold * LEADER_HOLD_PERCENT / 100) {
        cw_yaml_report(mapping->document, mapping->node,
                       "'leader_hold_ms' must be at most %d percent of 'hold_ms': else grants run out before another "
                       "leader can renew them",
                       LEADER_HOLD_PERCENT);
    }
    if (settings->hold_long < settings->hold) {
        cw_yaml_report(mapping->document, mapping->node, "'hold_long_ms' must not be below 'hold_ms'");
    }
}

int cw_router_settings_parse(cw_router_settings_t *settings, const char *text, size_t length, const char *file_name,
                             cw_findings_t *findings)
{
    size_t             before = findings->count;
    cw_yaml_document_t document;
    cw_yaml_mapping_t  mapping;

    set_defaults(settings);
    if (cw_yaml_load(&document, text, length, file_name, findings) == CW_OK) {
        cw_yaml_open(&mapping, &document, document.root, "the settings");
        read_identity(settings, &mapping);
        read_seeds(settings, &mapping);
        read_zone_regions(settings, &mapping);
        read_level(settings, &mapping);
        read_tuning(settings, &mapping);
        read_credentials(settings, &mapping);
        read_connections(settings, &mapping);
        check_combinations(settings, &mapping);
        cw_yaml_finish(&mapping);
    }
    cw_yaml_unload(&document);
    return findings->count == before ? CW_OK : CW_ERROR_PARSE;
}

int cw_router_settings_read(cw_router_settings_t *settings, const char *file_name, cw_findings_t *findings)
{
    FILE  *file = fopen(file_name, "rb");
    char  *text;
    size_t length;
    int    error;

    if (file == NULL) {
        cw_findings_add(findings, file_name, 0, 0, "cannot be read");
        return CW_ERROR_IO;
    }
    text = malloc(FILE_MAX_BYTES);
    if (text == NULL) {
        fclose(file);
        return CW_ERROR_NO_MEMORY;
    }
    length = fread(text, 1, FILE_MAX_BYTES, file);
    fclose(file);
    error = cw_router_settings_parse(settings, text, length, file_name, findings);
    free(text);
    return error;
}
