/**
 * @file settings.c
 * @brief The daemon's settings: file, overrides and the checks that span several keys.
 *
 * An override "key=value" is read as a YAML mapping of one key, so that file and flags share every check.
 */
#include "cedarwinch/settings.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "config/yaml_tree.h"

enum {
    PORT_MAX = 65535,
    SEEDS_MAX = 64,
    TOKENS_MAX = 16,
    FILE_MAX_BYTES = 1024 * 1024,
    DURATION_MAX_MS = 60000,
    SILENCE_IN_HEARTBEATS = 2 /* a single lost heartbeat must not make a node suspect */
};

void cw_settings_default(cw_settings_t *settings)
{
    memset(settings, 0, sizeof(*settings));
    settings->control_size = 3;
    settings->heartbeat_ms = 300;
    settings->node_silence_ms = 1000;
    settings->out_of_touch_ms = 3000;
    settings->clock_drift_ppm = 1000;
    settings->clock_skew_ms = 5000;
    settings->journal_window_s = 120;
    settings->retry_budget_percent = 10;
    settings->request_limit = 4096;
    settings->journal_everything = false;
    settings->unfinished_first = true;
    settings->log_level = CW_LOG_INFO;
}

static void replace_text(char **target, const char *text)
{
    if (text == NULL) {
        return;
    }
    free(*target);
    *target = strdup(text);
}

static void clear_seeds(cw_settings_t *settings)
{
    size_t position;

    for (position = 0; position < settings->seed_count; position++) {
        free(settings->seeds[position].address);
        free(settings->seeds[position].zone);
    }
    free(settings->seeds);
    settings->seeds = NULL;
    settings->seed_count = 0;
}

static void read_seed(cw_yaml_document_t *document, yaml_node_t *node, cw_settings_seed_t *seed)
{
    cw_yaml_mapping_t mapping;

    cw_yaml_open(&mapping, document, node, "a seed");
    seed->id = (cw_node_id_t)cw_yaml_required_number(&mapping, "id", 1, UINT32_MAX);
    replace_text(&seed->address, cw_yaml_address(&mapping, "address", true));
    seed->peer_port = (uint16_t)cw_yaml_required_number(&mapping, "peer_port", 1, PORT_MAX);
    replace_text(&seed->zone, cw_yaml_name(&mapping, "zone", true));
    cw_yaml_finish(&mapping);
}

static void read_seeds(cw_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *node = cw_yaml_get(mapping, "seeds", false);
    size_t       count = cw_yaml_count(mapping->document, node, "seeds");
    size_t       position;

    if (node == NULL) {
        return;
    }
    if (count > SEEDS_MAX) {
        cw_yaml_report(mapping->document, node, "'seeds' has %zu items; at most %d are allowed", count, SEEDS_MAX);
        return;
    }
    clear_seeds(settings);
    settings->seeds = calloc(count == 0 ? 1 : count, sizeof(*settings->seeds));
    if (settings->seeds == NULL) {
        return;
    }
    settings->seed_count = count;
    for (position = 0; position < count; position++) {
        read_seed(mapping->document, cw_yaml_item(mapping->document, node, position), &settings->seeds[position]);
    }
}

static void read_administrators(cw_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *node = cw_yaml_get(mapping, "administrator_tokens", false);
    size_t       count = cw_yaml_count(mapping->document, node, "administrator_tokens");
    size_t       position;

    if (node == NULL) {
        return;
    }
    if (count > TOKENS_MAX) {
        cw_yaml_report(mapping->document, node, "'administrator_tokens' has %zu items; at most %d are allowed", count,
                       TOKENS_MAX);
        return;
    }
    free(settings->administrator_token_sha256);
    settings->administrator_token_sha256 = calloc(count == 0 ? 1 : count, CW_TOKEN_DIGEST_BYTES);
    settings->administrator_token_count = 0;
    for (position = 0; position < count && settings->administrator_token_sha256 != NULL; position++) {
        if (cw_yaml_digest(mapping->document, cw_yaml_item(mapping->document, node, position),
                           settings->administrator_token_sha256[settings->administrator_token_count])) {
            settings->administrator_token_count++;
        }
    }
}

static void read_log_level(cw_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    static const struct {
        const char    *name;
        cw_log_level_t level;
    } levels[] = {{"error", CW_LOG_ERROR},
                  {"warning", CW_LOG_WARNING},
                  {"notice", CW_LOG_NOTICE},
                  {"info", CW_LOG_INFO},
                  {"debug", CW_LOG_DEBUG}};
    const char *text = cw_yaml_text(mapping, "log_level", false);
    size_t      position;

    if (text == NULL) {
        return;
    }
    for (position = 0; position < sizeof(levels) / sizeof(levels[0]); position++) {
        if (strcmp(levels[position].name, text) == 0) {
            settings->log_level = levels[position].level;
            return;
        }
    }
    cw_yaml_report(mapping->document, mapping->node,
                   "'log_level' is '%s'; must be error, warning, notice, info or debug", text);
}

static void read_identity(cw_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    settings->node_id = (cw_node_id_t)cw_yaml_number(mapping, "node_id", 1, UINT32_MAX, settings->node_id);
    replace_text(&settings->address, cw_yaml_address(mapping, "address", false));
    replace_text(&settings->zone, cw_yaml_name(mapping, "zone", false));
    replace_text(&settings->region, cw_yaml_name(mapping, "region", false));
    settings->peer_port = (uint16_t)cw_yaml_number(mapping, "peer_port", 0, PORT_MAX, settings->peer_port);
    settings->http_port = (uint16_t)cw_yaml_number(mapping, "http_port", 0, PORT_MAX, settings->http_port);
    replace_text(&settings->store_address, cw_yaml_address(mapping, "store_address", false));
    settings->store_port = (uint16_t)cw_yaml_number(mapping, "store_port", 1, PORT_MAX, settings->store_port);
}

static uint32_t read_milliseconds(cw_yaml_mapping_t *mapping, const char *key, uint32_t low, uint32_t present)
{
    return (uint32_t)cw_yaml_number(mapping, key, low, DURATION_MAX_MS, present);
}

static bool read_flag(cw_yaml_mapping_t *mapping, const char *key, bool present)
{
    const char *text = cw_yaml_text(mapping, key, false);

    if (text == NULL) {
        return present;
    }
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        cw_yaml_report(mapping->document, mapping->node, "'%s' is '%s'; must be true or false", key, text);
        return present;
    }
    return strcmp(text, "true") == 0;
}

static void read_tuning(cw_settings_t *settings, cw_yaml_mapping_t *mapping)
{
    settings->control_size = (uint32_t)cw_yaml_number(mapping, "control_size", 1, 5, settings->control_size);
    settings->heartbeat_ms = read_milliseconds(mapping, "heartbeat_ms", 50, settings->heartbeat_ms);
    settings->node_silence_ms = read_milliseconds(mapping, "node_silence_ms", 200, settings->node_silence_ms);
    settings->out_of_touch_ms = read_milliseconds(mapping, "out_of_touch_ms", 500, settings->out_of_touch_ms);
    settings->clock_drift_ppm =
        (uint32_t)cw_yaml_number(mapping, "clock_drift_ppm", 0, 100000, settings->clock_drift_ppm);
    settings->clock_skew_ms = read_milliseconds(mapping, "clock_skew_ms", 0, settings->clock_skew_ms);
    settings->journal_window_s =
        (uint32_t)cw_yaml_number(mapping, "journal_window_s", 10, 86400, settings->journal_window_s);
    settings->retry_budget_percent =
        (uint32_t)cw_yaml_number(mapping, "retry_budget_percent", 0, 100, settings->retry_budget_percent);
    settings->request_limit = (uint32_t)cw_yaml_number(mapping, "request_limit", 1, 1000000, settings->request_limit);
    settings->journal_everything = read_flag(mapping, "journal_everything", settings->journal_everything);
    settings->unfinished_first = read_flag(mapping, "unfinished_first", settings->unfinished_first);
}

static int read_text(cw_settings_t *settings, const char *text, size_t length, const char *file_name,
                     cw_findings_t *findings)
{
    cw_yaml_document_t document;
    cw_yaml_mapping_t  mapping;
    size_t             findings_before = findings->count;

    if (cw_yaml_load(&document, text, length, file_name, findings) == CW_OK) {
        cw_yaml_open(&mapping, &document, document.root, "the settings file");
        read_identity(settings, &mapping);
        read_tuning(settings, &mapping);
        read_log_level(settings, &mapping);
        read_seeds(settings, &mapping);
        read_administrators(settings, &mapping);
        cw_yaml_finish(&mapping);
    }
    cw_yaml_unload(&document);
    return findings->count > findings_before ? CW_ERROR_PARSE : CW_OK;
}

int cw_settings_read(cw_settings_t *settings, const char *file_name, cw_findings_t *findings)
{
    FILE  *file = fopen(file_name, "rb");
    char  *text;
    size_t length;
    int    error;

    if (file == NULL) {
        cw_findings_add(findings, file_name, 0, 0, "cannot be opened: %m");
        return CW_ERROR_IO;
    }
    text = malloc(FILE_MAX_BYTES);
    if (text == NULL) {
        fclose(file);
        return CW_ERROR_NO_MEMORY;
    }
    length = fread(text, 1, FILE_MAX_BYTES, file);
    fclose(file);
    error = read_text(settings, text, length, file_name, findings);
    free(text);
    return error;
}

int cw_settings_override(cw_settings_t *settings, const char *assignment, cw_findings_t *findings)
{
    const char *equals = strchr(assignment, '=');
    char       *text = NULL;
    int         length;
    int         error;

    if (equals == NULL) {
        cw_findings_add(findings, "--set", 1, 1, "'%s' must have the form key=value", assignment);
        return CW_ERROR_PARSE;
    }
    length = asprintf(&text, "%.*s: %s\n", (int)(equals - assignment), assignment, equals + 1);
    if (length < 0) {
        return CW_ERROR_NO_MEMORY;
    }
    error = read_text(settings, text, (size_t)length, "--set", findings);
    free(text);
    return error;
}

static void require(const char *file_name, cw_findings_t *findings, bool present, const char *key)
{
    if (!present) {
        cw_findings_add(findings, file_name, 0, 0, "key '%s' is missing, in the file and among the flags", key);
    }
}

static void check_seeds(const cw_settings_t *settings, const char *file_name, cw_findings_t *findings)
{
    size_t first;
    size_t second;

    require(file_name, findings, settings->seed_count > 0, "seeds");
    if (settings->seed_count > 0 && settings->seed_count < settings->control_size) {
        cw_findings_add(findings, file_name, 0, 0, "%zu seeds for a control_size of %u; name at least %u",
                        settings->seed_count, settings->control_size, settings->control_size);
    }
    for (first = 0; first < settings->seed_count; first++) {
        for (second = first + 1; second < settings->seed_count; second++) {
            if (settings->seeds[first].id == settings->seeds[second].id) {
                cw_findings_add(findings, file_name, 0, 0, "seed %u is named twice", settings->seeds[first].id);
            }
        }
    }
}

int cw_settings_check(const cw_settings_t *settings, const char *file_name, cw_findings_t *findings)
{
    size_t findings_before = findings->count;

    require(file_name, findings, settings->node_id != 0, "node_id");
    require(file_name, findings, settings->address != NULL, "address");
    require(file_name, findings, settings->zone != NULL, "zone");
    require(file_name, findings, settings->store_address != NULL, "store_address");
    require(file_name, findings, settings->store_port != 0, "store_port");
    check_seeds(settings, file_name, findings);
    if (settings->control_size % 2 == 0) {
        cw_findings_add(findings, file_name, 0, 0, "control_size is %u; must be 1, 3 or 5", settings->control_size);
    }
    if (settings->node_silence_ms < SILENCE_IN_HEARTBEATS * settings->heartbeat_ms) {
        cw_findings_add(findings, file_name, 0, 0, "node_silence_ms is %u; must be at least %d heartbeats (%u ms)",
                        settings->node_silence_ms, SILENCE_IN_HEARTBEATS,
                        SILENCE_IN_HEARTBEATS * settings->heartbeat_ms);
    }
    if (settings->out_of_touch_ms < settings->node_silence_ms) {
        cw_findings_add(findings, file_name, 0, 0, "out_of_touch_ms is %u; must not be below node_silence_ms (%u)",
                        settings->out_of_touch_ms, settings->node_silence_ms);
    }
    return findings->count > findings_before ? CW_ERROR_PARSE : CW_OK;
}

void cw_settings_clear(cw_settings_t *settings)
{
    clear_seeds(settings);
    free(settings->address);
    free(settings->zone);
    free(settings->region);
    free(settings->store_address);
    free(settings->administrator_token_sha256);
    memset(settings, 0, sizeof(*settings));
}
