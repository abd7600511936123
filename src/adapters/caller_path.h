/**
 * @file caller_path.h
 * @brief Splits a caller's request target: /v1/TENANT/SERVICE/KEY[/REST][?QUERY].
 */
#ifndef CEDARWINCH_CALLER_PATH_H
#define CEDARWINCH_CALLER_PATH_H

#include "cedarwinch/types.h"

typedef struct cw_caller_path {
    char        tenant[CW_NAME_MAX + 1];
    char        service[CW_NAME_MAX + 1];
    char        key[CW_KEY_MAX + 1]; /**< percent-decoded */
    size_t      key_length;
    const char *rest; /**< behind the key, as sent: "", "/..." or "?..."; points into the target */
} cw_caller_path_t;

/** target ends with NUL. Refuses empty or overlong parts, broken escapes, and keys that could be mistaken on their way
 *  (control characters, "." and ".."): CW_ERROR_PARSE. */
int cw_caller_path_parse(const char *target, cw_caller_path_t *path);

#endif
