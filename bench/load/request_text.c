/**
 * @file request_text.c
 * @brief Text of a request, in the dialect of the gateways or, for a stream with a fence, in that of the back-end
 *        servers (see standins/DIALECT.md).
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../standins/common/codec.h"
#include "load.h"

enum { TEXT_SIZE = 2048, BODY_SIZE = 64 };

static int print_for_gateway(char *text, const cw_stream_options_t *options, const char *key, const char *request_id,
                             const char *host, const char *body)
{
    const char *path = strcmp(options->path, "/") == 0 ? "" : options->path;

    return snprintf(text, TEXT_SIZE,
                    "%s /v1/%s/%s/%s%s HTTP/1.1\r\nhost: %s\r\nauthorization: Bearer %s\r\nrequest-id: %s\r\n"
                    "request-timeout-ms: %" PRIu32 "\r\ncontent-length: %zu\r\n\r\n%s",
                    options->method, options->tenant, options->service, key, path, host, options->token, request_id,
                    options->timeout_ms, strlen(body), body);
}

static int print_for_server(char *text, const cw_stream_options_t *options, const char *key, const char *request_id,
                            const char *host, const char *body)
{
    char service[CW_HEX_TEXT];
    char key_hash[CW_HEX_TEXT];

    cw_hex_format(cw_hash_service(options->tenant, options->service), service);
    cw_hex_format(cw_hash_key(key, strlen(key)), key_hash);
    return snprintf(text, TEXT_SIZE,
                    "%s /%s%s HTTP/1.1\r\nhost: %s\r\ncw-service: %s\r\ncw-key: %s\r\ncw-key-hash: %s\r\n"
                    "cw-fence: %s\r\ncw-request-id: %s\r\ncw-timeout-ms: %" PRIu32 "\r\ncontent-length: %zu\r\n\r\n%s",
                    options->method, key, options->path, host, service, key, key_hash, options->fence, request_id,
                    options->timeout_ms, strlen(body), body);
}

char *cw_request_text(const cw_stream_options_t *options, const char *key, const char *request_id, const char *host,
                      size_t *length)
{
    bool  has_body = strcmp(options->method, "GET") != 0 && strcmp(options->method, "HEAD") != 0;
    char  body[BODY_SIZE] = "";
    char *text = malloc(TEXT_SIZE);
    int   written;

    if (text == NULL) {
        abort();
    }
    if (has_body) {
        snprintf(body, sizeof(body), "{\"id\":\"%s\"}", request_id);
    }
    written = options->fence != NULL ? print_for_server(text, options, key, request_id, host, body)
                                     : print_for_gateway(text, options, key, request_id, host, body);
    if (written < 0 || written >= TEXT_SIZE) {
        abort();
    }
    *length = (size_t)written;
    return text;
}
