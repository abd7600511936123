/**
 * @file settings.h
 * @brief The daemon's settings: a YAML file, checked as a whole, overridden by flags.
 */
#ifndef CEDARWINCH_SETTINGS_H
#define CEDARWINCH_SETTINGS_H

#include "cedarwinch/findings.h"
#include "cedarwinch/log.h"
#include "cedarwinch/types.h"

typedef struct cw_settings_seed {
    cw_node_id_t id;
    char        *address;
    uint16_t     peer_port;
    char        *zone;
} cw_settings_seed_t;

typedef struct cw_settings {
    cw_node_id_t        node_id;
    char               *address; /**< IP number for peers, callers and operators */
    char               *zone;
    char               *region;
    uint16_t            peer_port; /**< 0: chosen by the system, printed in the log */
    uint16_t            http_port;
    cw_settings_seed_t *seeds; /**< the first control_size ones may form the control group */
    size_t              seed_count;
    char               *store_address;
    uint16_t            store_port;
    uint32_t            control_size; /**< 3 or 5 */
    uint32_t            heartbeat_ms;
    uint32_t            node_silence_ms;
    uint32_t            out_of_touch_ms;
    uint32_t            clock_drift_ppm;
    uint32_t            clock_skew_ms;
    uint32_t            journal_window_s;
    uint32_t            retry_budget_percent;
    uint32_t            request_limit;
    bool                journal_everything; /**< for measurement only */
    bool                unfinished_first;   /**< false: for measurement only */
    cw_log_level_t      log_level;
    uint8_t (*administrator_token_sha256)[CW_TOKEN_DIGEST_BYTES];
    size_t administrator_token_count;
} cw_settings_t;

void cw_settings_default(cw_settings_t *settings);
/** Reads and checks a file. Adds findings for every fault; CW_ERROR_PARSE when there are any. */
int cw_settings_read(cw_settings_t *settings, const char *file_name, cw_findings_t *findings);
/** Sets one value from a flag, "key=value" with the file's keys; checked in the same way. */
int cw_settings_override(cw_settings_t *settings, const char *assignment, cw_findings_t *findings);
/** Checks that span several keys (after overrides). */
int  cw_settings_check(const cw_settings_t *settings, const char *file_name, cw_findings_t *findings);
void cw_settings_clear(cw_settings_t *settings);

#endif
