/**
 * @file delegated_request.c
 * @brief Encodes the statements as header fields: the request's as hexadecimal digits of a message, the answer's as
 * words.
 */
#include "peer/delegated_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/memory.h"
#include "peer.pb-c.h"

enum { MESSAGE_BYTES_MAX = 4096, HEX_BASE = 16 };

const char cw_delegation_field[] = "Cedarwinch-Delegated";
const char cw_delegation_outcome_field[] = "Cedarwinch-Delegation";

static const char *const outcomes[] = {"answered", "refused", "declined", "failed"};

/* ---- the request's field ---- */

static uint32_t to_ms(cw_time_us_t time)
{
    return time <= 0 ? 0 : (uint32_t)(time / 1000);
}

void cw_delegated_request_write(const cw_delegated_request_t *request, cw_bytes_t *value)
{
    static const char     digits[] = "0123456789abcdef";
    Cwp__DelegatedRequest message = CWP__DELEGATED_REQUEST__INIT;
    uint8_t              *packed;
    size_t                length;
    size_t                index;

    message.receiver = request->receiver;
    message.origin = request->origin;
    message.route = request->route;
    message.service = request->service;
    message.tenant = request->tenant == NULL ? message.tenant : request->tenant;
    message.attempts = request->attempts;
    message.left_ms = to_ms(request->left);
    message.objective_ms = to_ms(request->objective_left);
    packed = cw_memory_zeroed(cwp__delegated_request__get_packed_size(&message));
    length = cwp__delegated_request__pack(&message, packed);
    for (index = 0; index < length; index++) {
        char pair[2] = {digits[packed[index] / HEX_BASE], digits[packed[index] % HEX_BASE]};

        cw_bytes_append(value, pair, sizeof(pair));
    }
    free(packed);
}

/* Value of a hexadecimal digit; HEX_BASE: it is none. */
static unsigned digit_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return (unsigned)(digit - '0');
    }
    return digit >= 'a' && digit <= 'f' ? (unsigned)(digit - 'a') + 10 : HEX_BASE;
}

/* Returns the number of bytes; 0: the text is not valid. */
static size_t decode_digits(const char *text, uint8_t *bytes)
{
    size_t length = strlen(text);
    size_t index;

    if (length % 2 != 0 || length / 2 > MESSAGE_BYTES_MAX) {
        return 0;
    }
    for (index = 0; index < length; index += 2) {
        unsigned high = digit_value(text[index]);
        unsigned low = digit_value(text[index + 1]);

        if (high == HEX_BASE || low == HEX_BASE) {
            return 0;
        }
        bytes[index / 2] = (uint8_t)(high * HEX_BASE + low);
    }
    return length / 2;
}

int cw_delegated_request_read(cw_delegated_request_t *request, const char *value)
{
    uint8_t                bytes[MESSAGE_BYTES_MAX];
    size_t                 length = decode_digits(value, bytes);
    Cwp__DelegatedRequest *message = length == 0 ? NULL : cwp__delegated_request__unpack(NULL, length, bytes);

    if (message == NULL) {
        return CW_ERROR_PARSE;
    }
    *request = (cw_delegated_request_t){.receiver = message->receiver,
                                        .origin = strdup(message->origin),
                                        .route = strdup(message->route),
                                        .service = strdup(message->service),
                                        .tenant = message->tenant[0] == '\0' ? NULL : strdup(message->tenant),
                                        .attempts = message->attempts,
                                        .left = CW_MS(message->left_ms),
                                        .objective_left = CW_MS(message->objective_ms)};
    cwp__delegated_request__free_unpacked(message, NULL);
    return 0;
}

void cw_delegated_request_clear(cw_delegated_request_t *request)
{
    free(request->origin);
    free(request->route);
    free(request->service);
    free(request->tenant);
    memset(request, 0, sizeof(*request));
}

/* ---- the answer's field ---- */

void cw_delegation_outcome_write(cw_delegation_outcome_t outcome, const char *server, char *value, size_t size)
{
    snprintf(value, size, "%s %s", outcomes[outcome], server == NULL ? "" : server);
}

cw_delegation_outcome_t cw_delegation_outcome_read(const char *value, const char **server)
{
    size_t index;

    *server = "";
    for (index = 0; value != NULL && index < sizeof(outcomes) / sizeof(outcomes[0]); index++) {
        size_t length = strlen(outcomes[index]);

        if (strncmp(value, outcomes[index], length) == 0 && (value[length] == ' ' || value[length] == '\0')) {
            *server = value[length] == ' ' ? value + length + 1 : "";
            return (cw_delegation_outcome_t)index;
        }
    }
    return CW_DELEGATION_FAILED;
}
