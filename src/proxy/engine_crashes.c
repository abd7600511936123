/**
 * @file engine_crashes.c
 * @brief Connects the engine to the detection of requests that crash servers (crash_suspects.h).
 */
#include <string.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "proxy/engine_internal.h"

void cw_engine_set_crash_suspects(cw_engine_t *engine, const cw_crash_port_t *port)
{
    engine->crashes = *port;
}

static uint64_t digest_text(uint64_t digest, const char *text)
{
    return text == NULL ? XXH3_64bits_withSeed("", 0, digest) : XXH3_64bits_withSeed(text, strlen(text), digest);
}

/* Digest of the parts that stay the same when a caller repeats a request: method, host, path, credentials and body, but
 * not the id. */
static uint64_t request_digest(const cw_request_t *request)
{
    uint64_t digest = digest_text(0, request->method);

    digest = digest_text(digest, cw_http_fields_find(request->fields, "host"));
    digest = digest_text(digest, request->target);
    digest = digest_text(digest, cw_http_fields_find(request->fields, "authorization"));
    return request->body_length == 0 ? digest : XXH3_64bits_withSeed(request->body, request->body_length, digest);
}

bool cw_request_is_crash_suspect(const cw_request_t *request, cw_time_us_t now, cw_time_us_t *refused_for)
{
    const cw_crash_suspects_t *suspects = request->engine->crashes.suspects;

    return suspects != NULL && cw_crash_suspects_has_any(suspects) &&
           cw_crash_suspects_is_refused(suspects, request_digest(request), now, refused_for);
}

bool cw_request_may_repeat_after_crash(const cw_request_t *request)
{
    const cw_crash_suspects_t *suspects = request->engine->crashes.suspects;

    return suspects == NULL || !cw_crash_suspects_has_any(suspects) ||
           cw_crash_suspects_may_repeat(suspects, request_digest(request));
}

void cw_request_record_server_lost(const cw_request_t *request, const cw_server_t *server, cw_time_us_t now)
{
    const cw_crash_port_t *port = &request->engine->crashes;
    cw_crash_t             loss;

    if (port->suspects == NULL || server->draining || server->ended) {
        return;
    }
    loss = (cw_crash_t){
        .request = request_digest(request), .server = server->hash, .sent_at = request->sent_at, .lost_at = now};
    if (!cw_crash_suspects_record_loss(port->suspects, &loss)) {
        cw_metric_add(CW_METRIC_LOSSES_DROPPED, 1);
        return;
    }
    port->on_server_lost(port->context, server);
}

void cw_request_record_server_survived(const cw_request_t *request, cw_time_us_t now)
{
    const cw_crash_port_t *port = &request->engine->crashes;
    uint64_t               digest;

    if (port->suspects == NULL || !cw_crash_suspects_has_any(port->suspects)) {
        return;
    }
    digest = request_digest(request);
    if (cw_crash_suspects_clear(port->suspects, digest, now)) {
        port->on_request_cleared(port->context, digest);
    }
}
