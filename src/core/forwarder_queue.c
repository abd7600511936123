/**
 * @file forwarder_queue.c
 * @brief Queue in front of one server: earliest deadline first, a bounded number in flight, a slow start.
 *
 * In flight are as many requests as the server has slots and one more, which waits there: a slot that falls free is
 * then busy again at once, not only after a round trip to this node. A server that sheds is not given the surplus one
 * for a while.
 *
 * Only requests that may be sent are in the heap; those that wait for the journal are only counted, so a slow journal
 * never holds up a slot. A request is checked again when its turn comes: route, lease and deadline may have changed.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "core/forwarder_internal.h"

enum {
    SLOTS_DEFAULT = 1,
    SURPLUS = 1,                      /**< requests in flight beyond the slots */
    SHED_PAUSE_US = 10 * CW_US_PER_S, /**< no surplus this long after the server has shed */
    SERVICE_TIME_SHARE = 8,           /**< a new service time counts one eighth in the average */
    LEASE_MARGIN_US = 5 * CW_US_PER_MS
};

cw_forwarder_server_t *cw_forwarder_server_get(cw_forwarder_t *forwarder, cw_server_id_t server)
{
    cw_forwarder_server_t *found = NULL;

    HASH_FIND(hh, forwarder->servers, &server, sizeof(server), found);
    if (found != NULL) {
        return found;
    }
    found = calloc(1, sizeof(*found));
    if (found == NULL) {
        return NULL;
    }
    found->id = server;
    HASH_ADD(hh, forwarder->servers, id, sizeof(found->id), found);
    return found;
}

void cw_forwarder_server_remove(cw_forwarder_t *forwarder, cw_forwarder_server_t *server)
{
    cw_timer_heap_cancel(&forwarder->warm_timers, &server->warm_timer);
    HASH_DEL(forwarder->servers, server);
    cw_timer_heap_clear(&server->queue);
    free(server);
}

size_t cw_forwarder_queue_length(const cw_forwarder_server_t *server)
{
    return server->queue.count + server->waiting;
}

static const Cw__ServerConfiguration *server_configuration(const cw_forwarder_t *forwarder, cw_server_id_t server)
{
    return forwarder->routes == NULL ? NULL : cw_control_state_server_configuration(forwarder->routes, server);
}

static size_t slot_count(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server, cw_time_us_t now)
{
    const Cw__ServerInfo           *info = NULL;
    const Cw__ServiceConfiguration *service = NULL;
    size_t                          slots = SLOTS_DEFAULT;

    if (forwarder->routes != NULL) {
        info = cw_control_state_server(forwarder->routes, server->id);
    }
    if (info != NULL) {
        service = cw_control_state_service(forwarder->routes, info->service);
    }
    if (service != NULL && service->slots_per_server > 0) {
        slots = service->slots_per_server;
    }
    if (now < server->warm_at_us && slots > 1) {
        slots /= 2;
    }
    return slots;
}

static size_t in_flight_limit(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server, cw_time_us_t now)
{
    size_t slots = slot_count(forwarder, server, now);

    return now < server->shed_until_us ? slots : slots + SURPLUS;
}

void cw_forwarder_server_shed(cw_forwarder_server_t *server, cw_time_us_t now)
{
    server->shed_until_us = now + SHED_PAUSE_US;
}

/* By Little's law: with the limit in flight, each service time (which includes the wait at the server) ends as many. */
int64_t cw_forwarder_estimate_us(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server,
                                 cw_time_us_t deadline_us, cw_time_us_t now)
{
    size_t limit = in_flight_limit(forwarder, server, now);
    size_t ahead = cw_timer_heap_count_due(&server->queue, deadline_us) + server->waiting;
    size_t places = server->in_flight < limit ? limit - server->in_flight : 0;
    size_t rounds = 0;

    /* An idle server is always tried, or a long service time seen once would keep everything out for good. */
    if (ahead == 0 && server->in_flight == 0) {
        return 0;
    }
    if (ahead >= places) {
        rounds = (ahead - places) / limit + 1;
    }
    return (int64_t)(server->service_time_us * (double)(rounds + 1));
}

void cw_forwarder_slot_freed(cw_forwarder_server_t *server, cw_server_result_t result, cw_time_us_t service_time_us)
{
    server->in_flight--;
    if (result != CW_SERVER_ANSWERED && result != CW_SERVER_BROKEN) {
        return; /* it did no work */
    }
    if (server->service_time_us <= 0) {
        server->service_time_us = (double)service_time_us;
    } else {
        server->service_time_us += ((double)service_time_us - server->service_time_us) / SERVICE_TIME_SHARE;
    }
}

/* Can a request whose turn has come still be sent? */
static cw_reason_t check_turn(const cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_instant_t now)
{
    const cw_forwarder_server_t *server = request->server;
    cw_forwarder_range_t        *range;
    cw_reason_t                  reason;
    int64_t                      lease_left_us;

    reason = cw_forwarder_check_route(forwarder, request->message, &range);
    if (reason != CW_REASON_NONE) {
        return reason;
    }
    lease_left_us = forwarder->view.lease_left_us(forwarder->view.context, server->id, now) - LEASE_MARGIN_US;
    if (lease_left_us <= 0) {
        return CW_REASON_MOVING;
    }
    request->server_deadline_us = now.monotonic_us + lease_left_us;
    if (request->deadline_us < request->server_deadline_us) {
        request->server_deadline_us = request->deadline_us;
    }
    if (now.monotonic_us >= request->deadline_us) {
        return CW_REASON_DEADLINE;
    }
    if (server->in_flight > 0 &&
        now.monotonic_us + (cw_time_us_t)server->service_time_us > request->server_deadline_us) {
        return CW_REASON_DEADLINE;
    }
    return server_configuration(forwarder, server->id) == NULL ? CW_REASON_STALE_ROUTE : CW_REASON_NONE;
}

static void send_to_server(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_instant_t now)
{
    cw_server_request_t call = {
        .id = request->id,
        .server = server_configuration(forwarder, request->server->id),
        .request = request->message,
        .timeout_us = request->server_deadline_us - now.monotonic_us,
    };

    request->phase = CW_REQUEST_SENT;
    request->sent_us = now.monotonic_us;
    request->server->in_flight++;
    cw_timer_heap_cancel(&forwarder->deadline_timers, &request->deadline_timer);
    if (request->journaled) {
        cw_forwarder_journal_sending(forwarder, request);
    }
    forwarder->counters.sent++;
    forwarder->ports.server_request(forwarder->ports.context, &call);
}

void cw_forwarder_pump(cw_forwarder_t *forwarder, cw_forwarder_server_t *server, cw_instant_t now)
{
    size_t                  limit = in_flight_limit(forwarder, server, now.monotonic_us);
    cw_forwarder_request_t *request;
    cw_timer_t             *timer;
    cw_reason_t             reason;

    while (server->in_flight < limit) {
        timer = cw_timer_heap_first(&server->queue);
        if (timer == NULL) {
            return;
        }
        request = CW_TIMER_OWNER(timer, cw_forwarder_request_t, queue_timer);
        cw_timer_heap_cancel(&server->queue, timer);
        reason = check_turn(forwarder, request, now);
        if (reason == CW_REASON_NONE) {
            send_to_server(forwarder, request, now);
        } else {
            cw_forwarder_refuse_unsent(forwarder, request, reason, now);
        }
    }
}

void cw_forwarder_enqueue(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_instant_t now)
{
    cw_forwarder_server_t *server = request->server;

    request->phase = CW_REQUEST_QUEUED;
    if (cw_timer_heap_set(&server->queue, &request->queue_timer, request->deadline_us) != CW_OK) {
        cw_forwarder_refuse_unsent(forwarder, request, CW_REASON_QUEUE_FULL, now);
        return;
    }
    cw_forwarder_pump(forwarder, server, now);
}
