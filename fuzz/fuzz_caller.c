/**
 * @file fuzz_caller.c
 * @brief Fuzz target: what the caller-facing side parses by itself: request target, header names, request ids.
 */
#include <stdlib.h>
#include <string.h>

#include "adapters/caller_path.h"
#include "adapters/header_rules.h"
#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"
#include "fuzz.h"

static void check_path(const char *target)
{
    cw_caller_path_t path;

    if (cw_caller_path_parse(target, &path) != CW_OK) {
        return;
    }
    CW_FUZZ_CHECK(strlen(path.tenant) > 0 && strchr(path.tenant, '/') == NULL);
    CW_FUZZ_CHECK(strlen(path.service) > 0 && strchr(path.service, '/') == NULL);
    CW_FUZZ_CHECK(path.key_length > 0 && path.key_length <= CW_KEY_MAX && strlen(path.key) == path.key_length);
    CW_FUZZ_CHECK(path.rest >= target && path.rest <= target + strlen(target));
    CW_FUZZ_CHECK(path.rest[0] == '\0' || path.rest[0] == '/' || path.rest[0] == '?' || path.rest[0] == '#');
}

/* The router's own headers never pass, in whatever case and wherever a Connection header names them. */
static void check_headers(const char *text, size_t length)
{
    size_t half = length / 2;
    bool   passes = cw_header_passes_to_server(text, length);

    (void)cw_header_passes_to_caller(text, length);
    (void)cw_header_is_nominated(text, half, text + half, length - half);
    CW_FUZZ_CHECK(!passes || length < 3 || strncasecmp(text, "cw-", 3) != 0);
}

/* What is read as a request id has the very form that is written. */
static void check_request_id(const char *text, size_t length)
{
    uint8_t id[CW_REQUEST_ID_BYTES];
    char    written[CW_FUZZ_REQUEST_ID_TEXT];

    if (cw_request_id_parse(text, length, id) == CW_OK) {
        cw_request_id_format(id, written);
        CW_FUZZ_CHECK(length == strlen(written) && strncasecmp(text, written, length) == 0);
        CW_FUZZ_CHECK(cw_request_id_time_ms(id) >= 0);
    }
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = malloc(size + 1);

    if (text == NULL) {
        return 0;
    }
    memcpy(text, data, size);
    text[size] = '\0';
    check_path(text);
    check_headers(text, size);
    check_request_id(text, size);
    free(text);
    return 0;
}
