/**
 * @file fuzz_http.c
 * @brief Fuzzes the HTTP listener with requests, and the HTTP client with answers, by a connection between the two.
 *
 * Each input is sent as one request of the client to the listener; the loop runs until the client's call has ended. The
 * listener dispatches several requests of an input at once. A GET is answered after the next request, unless another
 * one is held already; if the caller disconnects before, it is cancelled.
 */
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_listener.h"
#include "net/http_upstream.h"

enum { TURNS = 12 };

/** The listener and the client. */
typedef struct fuzz_fixture {
    uv_loop_t             loop;
    cw_http_listener_t   *listener;
    cw_upstream_t        *upstream;
    cw_upstream_target_t *target;
} fuzz_fixture_t;

static fuzz_fixture_t *fixture;

static cw_http_exchange_t *held; /* request that is not answered yet; NULL: none */

static void answer_held(void)
{
    cw_http_outbound_t  outbound = {.status = 200, .body = "held", .body_length = 4, .retry_after_s = -1};
    cw_http_exchange_t *exchange = held;

    held = NULL;
    if (exchange != NULL) {
        cw_http_exchange_answer(exchange, &outbound);
    }
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_http_outbound_t outbound = {.status = 200,
                                   .fields = inbound->fields,
                                   .body = inbound->body,
                                   .body_length = inbound->body_length,
                                   .retry_after_s = -1};

    (void)context;
    if (inbound->target[0] == '\0') {
        abort();
    }
    if (held == NULL && strcmp(inbound->method, "GET") == 0) {
        held = exchange;
        return;
    }
    cw_http_exchange_answer(exchange, &outbound);
    answer_held();
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    if (exchange != held) { /* only a request that is not answered can be cancelled */
        abort();
    }
    held = NULL;
}

static void on_answer(void *context, const cw_upstream_answer_t *answer)
{
    *(bool *)context = true;
    if (answer->result == CW_UPSTREAM_ANSWERED && answer->status < 100) {
        abort();
    }
}

static void start_fixture(void)
{
    static const cw_http_limits_t limits = {
        .header_bytes = 4096, .body_bytes = 4096, .header_timeout = CW_MS(50), .idle_timeout = CW_MS(50)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_cancelled};
    cw_http_listener_options_t listener_options = {
        .pipeline = {.depth = 4, .bytes = 2000}, .body_bytes_max = 6000, .body_wait = CW_MS(2)};
    cw_upstream_options_t options = {.idle_max = CW_MS(10)};
    char                  address[32];

    (void)signal(SIGPIPE, SIG_IGN); /* as the router does */
    fixture = calloc(1, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    if (cw_http_listener_create(&fixture->listener, &fixture->loop, "127.0.0.1", 0, &limits, &handler) != 0) {
        abort();
    }
    cw_http_listener_set_options(fixture->listener, &listener_options);
    fixture->upstream = cw_upstream_create(&fixture->loop, &options);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(fixture->listener));
    fixture->target = cw_upstream_target_create(fixture->upstream, address);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    cw_upstream_request_t request = {.bytes = (const char *)data,
                                     .length = size,
                                     .uses_new_connection = true,
                                     .connect_timeout = CW_MS(100),
                                     .timeout = CW_MS(3),
                                     .answer_max = 8192};
    bool                  is_done = false;

    if (fixture == NULL) {
        start_fixture();
    }
    if (size == 0) {
        return 0;
    }
    /* The listener answers a request with the request's own header fields, so that the client parses unusual heads,
     * too. */
    (void)cw_upstream_call(fixture->target, &request, on_answer, &is_done);
    while (!is_done) {
        uv_run(&fixture->loop, UV_RUN_ONCE);
    }
    return 0;
}
