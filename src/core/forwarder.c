/**
 * @file forwarder.c
 * @brief Forwarder: takes forward requests and cancels, decides whether they may run, and gives the one answer.
 *
 * A request goes through these phases:
 *
 *     (received) -> STARTING -> QUEUED -> SENT -> (answered)
 *
 * STARTING is left out for repeatable requests. Until SENT every end of a request is "not run" (or tells of an earlier
 * request with the same id). From SENT on only cw_outcome_decide() says what the outcome is.
 *
 * Invariants:
 * - Each (gateway incarnation, id) is taken in at most once, and gets at most one answer.
 * - A journaled request is SENT only after a majority of the range's journal replicas acknowledged its exchange, under
 *   the fence that the range had when the request was taken.
 * - A request is SENT at most once.
 * - "Not run" speaks of this request. For a repeated request id that is refused before the journal was asked (range
 *   moving, queue full, deadline) it says nothing of an earlier request with that id.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/forwarder_internal.h"

enum { RETRY_MOVING_US = 100 * CW_US_PER_MS, RETRY_JOURNAL_US = 200 * CW_US_PER_MS, RETRY_MINIMUM_US = CW_US_PER_MS };

int cw_forwarder_create_with_view(cw_forwarder_t **forwarder, const cw_forwarder_options_t *options,
                                  const cw_ports_t *ports, const cw_lease_view_t *view)
{
    cw_forwarder_t *created = calloc(1, sizeof(*created));

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->options = *options;
    created->ports = *ports;
    created->view = *view;
    *forwarder = created;
    return CW_OK;
}

/* Takes a request out of every table and timer, and frees it. */
static void forget_request(cw_forwarder_t *forwarder, cw_forwarder_request_t *request)
{
    cw_timer_heap_cancel(&forwarder->deadline_timers, &request->deadline_timer);
    cw_timer_heap_cancel(&forwarder->journal_timers, &request->journal_timer);
    cw_timer_heap_cancel(&request->server->queue, &request->queue_timer);
    if (request->phase == CW_REQUEST_STARTING) {
        request->server->waiting--;
    }
    HASH_DELETE(hh, forwarder->requests, request);
    HASH_DELETE(hh_origin, forwarder->requests_by_origin, request);
    if (request->journaled) {
        HASH_DELETE(hh_journal, forwarder->requests_by_key, request);
    }
    if (request->duplicate != NULL) {
        cw__journal_entry__free_unpacked(request->duplicate, NULL);
    }
    cw__forward_request__free_unpacked(request->message, NULL);
    free(request);
}

void cw_forwarder_free(cw_forwarder_t *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    while (forwarder->requests != NULL) {
        forget_request(forwarder, forwarder->requests);
    }
    while (forwarder->ranges != NULL) {
        cw_forwarder_remove_range(forwarder, forwarder->ranges);
    }
    while (forwarder->servers != NULL) {
        cw_forwarder_server_remove(forwarder, forwarder->servers);
    }
    cw_forwarder_journal_clear(forwarder);
    cw_replay_filter_clear(&forwarder->seen);
    cw_timer_heap_clear(&forwarder->deadline_timers);
    cw_timer_heap_clear(&forwarder->journal_timers);
    cw_timer_heap_clear(&forwarder->opening_timers);
    cw_timer_heap_clear(&forwarder->warm_timers);
    free(forwarder);
}

void cw_forwarder_fill_fence(Cw__Fence *message, cw_fence_t fence)
{
    message->generation = fence.generation;
    message->index = fence.index;
}

void cw_forwarder_send(cw_forwarder_t *forwarder, cw_node_id_t to, Cw__Envelope *envelope)
{
    envelope->from = forwarder->options.node;
    envelope->from_incarnation = forwarder->options.incarnation;
    envelope->to = to;
    forwarder->ports.send(forwarder->ports.context, to, envelope);
}

/* -------------------------------------------------------------------------------------------------- answers -- */

static void count_outcome(cw_forwarder_t *forwarder, Cw__Outcome outcome)
{
    if (outcome == CW__OUTCOME__OUTCOME_ANSWERED) {
        forwarder->counters.answered++;
    } else if (outcome == CW__OUTCOME__OUTCOME_NOT_RUN) {
        forwarder->counters.not_run++;
    } else if (outcome == CW__OUTCOME__OUTCOME_UNKNOWN) {
        forwarder->counters.unknown++;
    }
}

static void send_answer(cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                        const cw_forwarder_answer_t *answer, int64_t queue_us)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;

    response.id = message->id;
    response.gateway_incarnation = message->gateway_incarnation;
    response.outcome = cw_reason_outcome(answer->reason);
    response.status = answer->reason == CW_REASON_NONE ? answer->status : cw_reason_status(answer->reason);
    response.headers = answer->headers;
    response.n_headers = answer->header_count;
    response.body.data = (uint8_t *)answer->body;
    response.body.len = answer->body_length;
    response.reason = (char *)cw_reason_text(answer->reason);
    response.retry_after_ms = (uint32_t)((answer->retry_after_us + CW_US_PER_MS - 1) / CW_US_PER_MS);
    response.queue_us = queue_us;
    response.stale_route = answer->stale_route;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_RESPONSE;
    envelope.forward_response = &response;
    count_outcome(forwarder, response.outcome);
    cw_forwarder_send(forwarder, message->gateway, &envelope);
}

void cw_forwarder_end_request(cw_forwarder_t *forwarder, cw_forwarder_request_t *request,
                              const cw_forwarder_answer_t *answer, cw_instant_t now)
{
    cw_time_us_t queue_end_us = request->phase == CW_REQUEST_SENT ? request->sent_us : now.monotonic_us;

    if (!request->cancelled) {
        send_answer(forwarder, request->message, answer, queue_end_us - request->arrived_us);
    }
    forget_request(forwarder, request);
}

static cw_forwarder_answer_t make_refusal(const cw_forwarder_server_t *server, cw_reason_t reason)
{
    cw_forwarder_answer_t answer = {.reason = reason};
    int64_t               wait_us;

    answer.stale_route = reason == CW_REASON_STALE_ROUTE;
    if (reason == CW_REASON_MOVING) {
        answer.retry_after_us = RETRY_MOVING_US;
    } else if (reason == CW_REASON_JOURNAL_UNAVAILABLE) {
        answer.retry_after_us = RETRY_JOURNAL_US;
    } else if (cw_reason_is_transient(reason)) {
        wait_us = server == NULL ? 0 : (int64_t)(server->service_time_us * (double)cw_forwarder_queue_length(server));
        answer.retry_after_us = wait_us > RETRY_MINIMUM_US ? wait_us : RETRY_MINIMUM_US;
    }
    return answer;
}

void cw_forwarder_refuse_unsent(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_reason_t reason,
                                cw_instant_t now)
{
    cw_forwarder_answer_t answer;

    /* Once a replica has told of an earlier request with this id, "not run" would mislead. */
    if (request->duplicate != NULL && cw_reason_outcome(reason) == CW__OUTCOME__OUTCOME_NOT_RUN &&
        reason != CW_REASON_ID_REUSED) {
        reason = CW_REASON_STARTED_BEFORE;
    }
    answer = make_refusal(request->server, reason);
    if (request->journaled) {
        cw_forwarder_journal_release(forwarder, request);
    }
    cw_forwarder_end_request(forwarder, request, &answer, now);
}

static void refuse_message(cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                           const cw_forwarder_server_t *server, cw_reason_t reason)
{
    cw_forwarder_answer_t answer = make_refusal(server, reason);

    send_answer(forwarder, message, &answer, 0);
}

/* ------------------------------------------------------------------------------------------------- requests -- */

static void make_key(cw_request_key_t *key, const Cw__ForwardRequest *message)
{
    memset(key, 0, sizeof(*key));
    key->service = message->service;
    if (message->request_id.len == CW_REQUEST_ID_BYTES) {
        memcpy(key->request_id, message->request_id.data, CW_REQUEST_ID_BYTES);
    }
}

static cw_forwarder_request_t *add_request(cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                           cw_forwarder_server_t *server, cw_instant_t now)
{
    cw_forwarder_request_t *request = calloc(1, sizeof(*request));

    if (request == NULL) {
        return NULL;
    }
    request->message = (Cw__ForwardRequest *)cw_message_copy(&message->base);
    if (request->message == NULL) {
        free(request);
        return NULL;
    }
    request->id = ++forwarder->last_id;
    request->server = server;
    request->origin.gateway_incarnation = message->gateway_incarnation;
    request->origin.id = message->id;
    request->journaled = cw_forwarder_needs_journal(forwarder, message);
    request->arrived_us = now.monotonic_us;
    request->deadline_us = now.monotonic_us + cw_forwarder_timeout_us(message);
    request->phase = CW_REQUEST_QUEUED;
    make_key(&request->key, message);
    if (cw_timer_heap_set(&forwarder->deadline_timers, &request->deadline_timer, request->deadline_us) != CW_OK) {
        cw__forward_request__free_unpacked(request->message, NULL);
        free(request);
        return NULL;
    }
    HASH_ADD(hh, forwarder->requests, id, sizeof(request->id), request);
    HASH_ADD(hh_origin, forwarder->requests_by_origin, origin, sizeof(request->origin), request);
    if (request->journaled) {
        HASH_ADD(hh_journal, forwarder->requests_by_key, key, sizeof(request->key), request);
    }
    return request;
}

static cw_forwarder_request_t *find_by_origin(const cw_forwarder_t *forwarder, cw_incarnation_t incarnation,
                                              uint64_t id)
{
    cw_forwarder_request_t *found = NULL;
    cw_origin_t             origin;

    memset(&origin, 0, sizeof(origin));
    origin.gateway_incarnation = incarnation;
    origin.id = id;
    HASH_FIND(hh_origin, forwarder->requests_by_origin, &origin, sizeof(origin), found);
    return found;
}

static void receive_request(cw_forwarder_t *forwarder, const Cw__ForwardRequest *message, cw_instant_t now)
{
    cw_forwarder_range_t   *range = NULL;
    cw_forwarder_server_t  *server = NULL;
    cw_forwarder_request_t *request = NULL;
    cw_request_key_t        key;
    cw_reason_t             reason;

    if (!cw_replay_filter_pass(&forwarder->seen, message->gateway_incarnation, message->id, now.monotonic_us)) {
        return; /* delivered twice; the first copy may have been refused as not run, so this one must not run */
    }
    forwarder->counters.requests++;
    make_key(&key, message);
    reason = cw_forwarder_check_request(forwarder, message, &key, &range, now);
    if (reason == CW_REASON_NONE) {
        cw_range_load_add(&range->load, message->key_hash, now.monotonic_us);
        server = cw_forwarder_server_get(forwarder, range->server);
        reason = server == NULL ? CW_REASON_QUEUE_FULL : cw_forwarder_check_queue(forwarder, server, message, now);
    }
    if (reason == CW_REASON_NONE) {
        request = add_request(forwarder, message, server, now);
        reason = request == NULL ? CW_REASON_QUEUE_FULL : CW_REASON_NONE;
    }
    if (reason != CW_REASON_NONE) {
        refuse_message(forwarder, message, server, reason);
    } else if (request->journaled) {
        cw_forwarder_journal_start(forwarder, request, range, now);
    } else {
        cw_forwarder_enqueue(forwarder, request, now);
    }
}

static void receive_cancel(cw_forwarder_t *forwarder, const Cw__ForwardCancel *cancel)
{
    cw_forwarder_request_t *request = find_by_origin(forwarder, cancel->gateway_incarnation, cancel->id);

    if (request == NULL || request->cancelled) {
        return;
    }
    request->cancelled = true;
    if (request->phase == CW_REQUEST_SENT) {
        forwarder->ports.server_cancel(forwarder->ports.context, request->id);
        return;
    }
    if (request->journaled) {
        cw_forwarder_journal_release(forwarder, request);
    }
    forget_request(forwarder, request);
}

/* ------------------------------------------------------------------------------------------- journal, server -- */

static void receive_journal_reply(cw_forwarder_t *forwarder, const Cw__JournalReply *reply, cw_instant_t now)
{
    cw_forwarder_request_t *request = NULL;
    cw_opening_replica_t   *replica = NULL;

    HASH_FIND(hh, forwarder->requests, &reply->id, sizeof(reply->id), request);
    if (request != NULL) {
        cw_forwarder_journal_replied(forwarder, request, reply, now);
        return;
    }
    HASH_FIND(hh, forwarder->openings, &reply->id, sizeof(reply->id), replica);
    if (replica != NULL) {
        cw_forwarder_opening_replied(forwarder, replica, reply, now);
    }
}

void cw_forwarder_receive(cw_forwarder_t *forwarder, const Cw__Envelope *envelope, cw_instant_t now)
{
    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_FORWARD_REQUEST:
        receive_request(forwarder, envelope->forward_request, now);
        break;
    case CW__ENVELOPE__BODY_FORWARD_CANCEL:
        receive_cancel(forwarder, envelope->forward_cancel);
        break;
    case CW__ENVELOPE__BODY_JOURNAL_REPLY:
        receive_journal_reply(forwarder, envelope->journal_reply, now);
        break;
    default:
        break;
    }
}

static bool is_word_of_refusal(const cw_server_response_t *response, const char *word)
{
    return response->result == CW_SERVER_REFUSED && response->reason != NULL && strcmp(response->reason, word) == 0;
}

static cw_forwarder_answer_t make_server_answer(const cw_forwarder_request_t *request,
                                                const cw_server_response_t *response, cw_instant_t now)
{
    cw_outcome_facts_t facts = {
        .sent = true,
        .result = response->result,
        .deadline_over = now.monotonic_us >= request->server_deadline_us,
    };
    cw_forwarder_answer_t answer = make_refusal(request->server, cw_outcome_decide(&facts));

    if (answer.reason == CW_REASON_NONE) {
        answer.status = response->status;
        answer.headers = response->headers;
        answer.header_count = response->header_count;
        answer.body = response->body;
        answer.body_length = response->body_length;
    } else {
        answer.stale_route = is_word_of_refusal(response, "fence") || is_word_of_refusal(response, "lease");
    }
    return answer;
}

void cw_forwarder_server_responded(cw_forwarder_t *forwarder, const cw_server_response_t *response, cw_instant_t now)
{
    cw_forwarder_request_t *request = NULL;
    cw_forwarder_server_t  *server;
    cw_forwarder_answer_t   answer;

    HASH_FIND(hh, forwarder->requests, &response->id, sizeof(response->id), request);
    if (request == NULL || request->phase != CW_REQUEST_SENT) {
        return;
    }
    server = request->server;
    cw_forwarder_slot_freed(server, response->result, now.monotonic_us - request->sent_us);
    if (is_word_of_refusal(response, "shed")) {
        cw_forwarder_server_shed(server, now.monotonic_us);
    }
    answer = make_server_answer(request, response, now);
    if (request->journaled && answer.reason == CW_REASON_NONE) {
        cw_forwarder_journal_finish(forwarder, request, response);
    } else if (request->journaled && cw_reason_outcome(answer.reason) == CW__OUTCOME__OUTCOME_NOT_RUN) {
        cw_forwarder_journal_release(forwarder, request);
    }
    cw_forwarder_end_request(forwarder, request, &answer, now);
    cw_forwarder_pump(forwarder, server, now);
}

/* ------------------------------------------------------------------------------------------------- time, load -- */

static void run_warm_timers(cw_forwarder_t *forwarder, cw_instant_t now)
{
    cw_timer_t *timer;

    while ((timer = cw_timer_heap_take_due(&forwarder->warm_timers, now.monotonic_us)) != NULL) {
        cw_forwarder_pump(forwarder, CW_TIMER_OWNER(timer, cw_forwarder_server_t, warm_timer), now);
    }
}

void cw_forwarder_tick(cw_forwarder_t *forwarder, cw_instant_t now)
{
    cw_timer_t *timer;

    while ((timer = cw_timer_heap_take_due(&forwarder->deadline_timers, now.monotonic_us)) != NULL) {
        cw_forwarder_refuse_unsent(forwarder, CW_TIMER_OWNER(timer, cw_forwarder_request_t, deadline_timer),
                                   CW_REASON_DEADLINE, now);
    }
    while ((timer = cw_timer_heap_take_due(&forwarder->journal_timers, now.monotonic_us)) != NULL) {
        cw_forwarder_journal_timer(forwarder, CW_TIMER_OWNER(timer, cw_forwarder_request_t, journal_timer), now);
    }
    while ((timer = cw_timer_heap_take_due(&forwarder->opening_timers, now.monotonic_us)) != NULL) {
        cw_forwarder_opening_timer(forwarder, CW_TIMER_OWNER(timer, cw_forwarder_range_t, opening.timer), now);
    }
    run_warm_timers(forwarder, now);
}

static cw_time_us_t earlier(cw_time_us_t left, cw_time_us_t right)
{
    return left < right ? left : right;
}

cw_time_us_t cw_forwarder_next_tick(const cw_forwarder_t *forwarder)
{
    cw_time_us_t next = cw_timer_heap_next(&forwarder->deadline_timers);

    next = earlier(next, cw_timer_heap_next(&forwarder->journal_timers));
    next = earlier(next, cw_timer_heap_next(&forwarder->opening_timers));
    return earlier(next, cw_timer_heap_next(&forwarder->warm_timers));
}

bool cw_forwarder_idle(const cw_forwarder_t *forwarder)
{
    return forwarder->requests == NULL;
}

void cw_forwarder_read_counters(const cw_forwarder_t *forwarder, cw_forwarder_counters_t *counters)
{
    const cw_forwarder_server_t *server;

    *counters = forwarder->counters;
    counters->queued = 0;
    for (server = forwarder->servers; server != NULL; server = server->hh.next) {
        counters->queued += cw_forwarder_queue_length(server);
    }
}
