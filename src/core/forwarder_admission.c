/**
 * @file forwarder_admission.c
 * @brief Decides whether a forward request may be taken in. What cannot be answered in time is refused at once.
 *
 * Order of the checks: what is known about the request id comes first, because "not run" said of an id that is running
 * here would be wrong; then the route, the journal of its range, and last the queue.
 */
#include "core/forwarder_internal.h"

#define TIMEOUT_MAX_US (INT64_C(3600) * CW_US_PER_S)

/* The estimated wait may turn out longer by this part of itself, the service time being an average that lags. Without
 * it a full queue's last requests wait for the whole timeout only to be refused. */
enum { ESTIMATE_MARGIN_DIVISOR = 4 };

cw_reason_t cw_forwarder_check_route(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                     cw_forwarder_range_t **range)
{
    cw_forwarder_range_t *found = NULL;
    cw_range_readiness_t  readiness;

    HASH_FIND(hh, forwarder->ranges, &message->range, sizeof(message->range), found);
    *range = found;
    if (found == NULL || found->deposed || found->server != message->server || found->service != message->service ||
        cw_fence_compare(found->fence, cw_fence_from_message(message->fence)) != 0 || message->key_hash < found->low ||
        message->key_hash > found->last) {
        return CW_REASON_STALE_ROUTE;
    }
    if (found->revoking) {
        return CW_REASON_MOVING;
    }
    readiness = forwarder->view.readiness(forwarder->view.context, found->id, found->fence);
    return readiness == CW_RANGE_READY ? CW_REASON_NONE : CW_REASON_MOVING;
}

int64_t cw_forwarder_timeout_us(const Cw__ForwardRequest *message)
{
    return message->timeout_us < TIMEOUT_MAX_US ? message->timeout_us : TIMEOUT_MAX_US;
}

bool cw_forwarder_needs_journal(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message)
{
    return !message->repeatable || forwarder->options.journal_everything;
}

static cw_forwarder_request_t *find_same_id(const cw_forwarder_t *forwarder, const cw_request_key_t *key)
{
    cw_forwarder_request_t *found = NULL;

    HASH_FIND(hh_journal, forwarder->requests_by_key, key, sizeof(*key), found);
    return found;
}

/* A request with this id is here already: that is known whatever else may stand against this one. */
static cw_reason_t check_same_id(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                 const cw_request_key_t *key)
{
    const cw_forwarder_request_t *same = find_same_id(forwarder, key);

    if (same == NULL) {
        return CW_REASON_NONE;
    }
    return same->message->request_digest == message->request_digest ? CW_REASON_IN_PROGRESS : CW_REASON_ID_REUSED;
}

static cw_reason_t check_id_time(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message, cw_instant_t now)
{
    int64_t time_ms = cw_request_id_time_ms(message->request_id.data);

    if (time_ms > now.wall_ms + forwarder->options.clock_skew_ms) {
        return CW_REASON_ID_IN_FUTURE;
    }
    if (time_ms < now.wall_ms - forwarder->options.journal_window_ms) {
        return CW_REASON_ID_TOO_OLD;
    }
    return CW_REASON_NONE;
}

static cw_reason_t check_journal(const cw_forwarder_range_t *range, const Cw__ForwardRequest *message)
{
    if (range->own.count == 0) {
        return CW_REASON_JOURNAL_UNAVAILABLE;
    }
    if (!range->open) {
        return CW_REASON_MOVING;
    }
    return cw_request_id_time_ms(message->request_id.data) < range->valid_from_ms ? CW_REASON_ID_TOO_OLD
                                                                                  : CW_REASON_NONE;
}

cw_reason_t cw_forwarder_check_queue(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server,
                                     const Cw__ForwardRequest *message, cw_instant_t now)
{
    int64_t left_us = forwarder->view.lease_left_us(forwarder->view.context, server->id, now);
    int64_t timeout_us = cw_forwarder_timeout_us(message);
    int64_t estimate_us;

    if (left_us <= 0) {
        return CW_REASON_MOVING;
    }
    if (timeout_us < left_us) {
        left_us = timeout_us;
    }
    estimate_us = cw_forwarder_estimate_us(forwarder, server, now.monotonic_us + timeout_us, now.monotonic_us);
    estimate_us += estimate_us / ESTIMATE_MARGIN_DIVISOR;
    if (left_us <= 0 || estimate_us > left_us) {
        return CW_REASON_DEADLINE;
    }
    return cw_forwarder_queue_length(server) >= CW_QUEUE_LENGTH_MAX ? CW_REASON_QUEUE_FULL : CW_REASON_NONE;
}

cw_reason_t cw_forwarder_check_request(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                       const cw_request_key_t *key, cw_forwarder_range_t **range, cw_instant_t now)
{
    cw_reason_t reason = CW_REASON_NONE;
    bool        journaled = cw_forwarder_needs_journal(forwarder, message);

    if (message->fence == NULL || (journaled && message->request_id.len != CW_REQUEST_ID_BYTES)) {
        return CW_REASON_BAD_REQUEST;
    }
    if (journaled) {
        reason = check_same_id(forwarder, message, key);
    }
    if (reason == CW_REASON_NONE && journaled) {
        reason = check_id_time(forwarder, message, now);
    }
    if (reason == CW_REASON_NONE) {
        reason = cw_forwarder_check_route(forwarder, message, range);
    }
    if (reason == CW_REASON_NONE && journaled) {
        reason = check_journal(*range, message);
    }
    return reason;
}
