/**
 * @file fuzz_http.c
 * @brief Bytes of a caller at the listener, and of a server at the client, over a socket pair's two ends in one loop.
 *
 * Each input is sent whole and the connection closed; the loop runs until both ends are done. The listener takes
 * several requests of an input at once; each other one is answered after the one behind it, or when the caller leaves.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_listener.h"
#include "net/http_upstream.h"

enum { TURNS = 12 };

typedef struct fuzz_world {
    uv_loop_t             loop;
    cw_http_listener_t   *listener;
    cw_upstream_t        *upstream;
    cw_upstream_target_t *target;
} fuzz_world_t;

static fuzz_world_t *world;

static cw_http_exchange_t *held; /* not answered yet */

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

static void on_gone(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    if (exchange != held) { /* only what is not answered can be gone */
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

static void start(void)
{
    static const cw_http_limits_t limits = {
        .header_bytes = 4096, .body_bytes = 4096, .header_timeout = CW_MS(50), .idle_timeout = CW_MS(50)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_gone};
    cw_http_listener_options_t bounds = {
        .pipeline = {.depth = 4, .bytes = 2000}, .body_bytes_most = 6000, .body_wait = CW_MS(2)};
    cw_upstream_options_t options = {.idle_max = CW_MS(10)};
    char                  address[32];

    world = calloc(1, sizeof(*world));
    uv_loop_init(&world->loop);
    if (cw_http_listener_create(&world->listener, &world->loop, "127.0.0.1", 0, &limits, &handler) != 0) {
        abort();
    }
    cw_http_listener_set_options(world->listener, &bounds);
    world->upstream = cw_upstream_create(&world->loop, &options);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(world->listener));
    world->target = cw_upstream_target_create(world->upstream, address);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    cw_upstream_request_t request = {.bytes = (const char *)data,
                                     .length = size,
                                     .fresh = true,
                                     .connect_timeout = CW_MS(100),
                                     .timeout = CW_MS(3),
                                     .answer_max = 8192};
    bool                  done = false;

    if (world == NULL) {
        start();
    }
    if (size == 0) {
        return 0;
    }
    /* The listener answers what is a request by echoing its fields: so the client meets odd heads as well. */
    (void)cw_upstream_call(world->target, &request, on_answer, &done);
    while (!done) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
    return 0;
}
