/**
 * @file agent_orders.c
 * @brief Grant and revoke orders of the leader: calls to the server and reports of what it answered.
 *
 * Orders are repeated by the leader until reported. An order whose work is under way is dropped, one whose work is
 * done is reported again.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "core/agent_internal.h"

enum { ORDER_TIMEOUT_HEARTBEATS = 4, DRAIN_MAX_MS = 600000 /* bound of the configuration */ };

/** Range ids with their fences, in the form that reports need. */
typedef struct report_list {
    uint64_t   *ids;
    Cw__Fence  *fences;
    Cw__Fence **pointers;
    size_t      count;
} report_list_t;

static int list_create(report_list_t *list, size_t capacity)
{
    list->count = 0;
    list->ids = calloc(capacity + 1, sizeof(*list->ids));
    list->fences = calloc(capacity + 1, sizeof(*list->fences));
    list->pointers = calloc(capacity + 1, sizeof(Cw__Fence *));
    return list->ids != NULL && list->fences != NULL && list->pointers != NULL ? CW_OK : CW_ERROR_NO_MEMORY;
}

static void list_clear(report_list_t *list)
{
    free(list->ids);
    free(list->fences);
    free(list->pointers);
}

static void list_add(report_list_t *list, cw_range_id_t id, cw_fence_t fence)
{
    Cw__Fence *message = &list->fences[list->count];

    cw__fence__init(message);
    message->generation = fence.generation;
    message->index = fence.index;
    list->ids[list->count] = id;
    list->pointers[list->count] = message;
    list->count++;
}

cw_agent_range_t *cw_agent_find_range(const cw_agent_t *agent, cw_range_id_t id)
{
    cw_agent_range_t *range;

    HASH_FIND(hh, agent->ranges, &id, sizeof(id), range);
    return range;
}

cw_agent_range_t *cw_agent_add_range(cw_agent_t *agent, cw_range_id_t id, cw_server_id_t server)
{
    cw_agent_range_t *range = cw_agent_find_range(agent, id);

    if (range != NULL) {
        return range;
    }
    range = calloc(1, sizeof(*range));
    if (range == NULL) {
        return NULL;
    }
    range->id = id;
    range->server = server;
    HASH_ADD(hh, agent->ranges, id, sizeof(range->id), range);
    return range;
}

void cw_agent_remove_range(cw_agent_t *agent, cw_agent_range_t *range)
{
    HASH_DEL(agent->ranges, range);
    free(range);
}

static void send_grant_report(cw_agent_t *agent, cw_server_id_t server, cw_incarnation_t incarnation,
                              const report_list_t *accepted, const report_list_t *refused, cw_fence_t highest)
{
    Cw__Envelope    envelope = CW__ENVELOPE__INIT;
    Cw__GrantReport report = CW__GRANT_REPORT__INIT;
    Cw__Fence       fence = CW__FENCE__INIT;

    fence.generation = highest.generation;
    fence.index = highest.index;
    report.server = server;
    report.incarnation = incarnation;
    report.n_accepted = accepted->count;
    report.accepted = accepted->ids;
    report.n_accepted_fences = accepted->count;
    report.accepted_fences = accepted->pointers;
    report.n_refused = refused->count;
    report.refused = refused->ids;
    report.highest = refused->count > 0 ? &fence : NULL;
    envelope.body_case = CW__ENVELOPE__BODY_GRANT_REPORT;
    envelope.grant_report = &report;
    cw_agent_send(agent, &envelope);
}

static void send_revoke_report(cw_agent_t *agent, cw_server_id_t server, cw_incarnation_t incarnation,
                               const report_list_t *released)
{
    Cw__Envelope     envelope = CW__ENVELOPE__INIT;
    Cw__RevokeReport report = CW__REVOKE_REPORT__INIT;

    report.server = server;
    report.incarnation = incarnation;
    report.n_released = released->count;
    report.released = released->ids;
    report.n_fences = released->count;
    report.fences = released->pointers;
    envelope.body_case = CW__ENVELOPE__BODY_REVOKE_REPORT;
    envelope.revoke_report = &report;
    cw_agent_send(agent, &envelope);
}

/** Takes one grant into the agent's books. Returns true when the server has to be called for it. */
static bool note_grant(cw_agent_t *agent, const cw_agent_server_t *server, const Cw__Grant *grant,
                       report_list_t *accepted)
{
    cw_fence_t        fence = cw_fence_from_message(grant->fence);
    cw_agent_range_t *range = cw_agent_add_range(agent, grant->range, server->id);
    int               order;

    if (range == NULL) {
        return false;
    }
    order = cw_fence_compare(fence, range->fence);
    if (order < 0 || (order == 0 && range->state == CW_RANGE_REVOKED)) {
        return false;
    }
    if (order == 0 && range->state == CW_RANGE_READY && server->local_lease_end_us > agent->now_us) {
        list_add(accepted, range->id, fence);
        return false;
    }
    if (order > 0) {
        range->server = server->id;
        range->fence = fence;
        range->released = false;
    }
    range->state = CW_RANGE_PENDING;
    return !cw_agent_range_in_call(agent, CW_SERVER_GRANT, range->id, fence);
}

static void call_grant(cw_agent_t *agent, cw_agent_server_t *server, const Cw__GrantOrder *order,
                       const Cw__Grant *const *grants, size_t count)
{
    cw_server_call_t call = {.kind = CW_SERVER_GRANT};

    call.incarnation = order->incarnation;
    call.lease_end_us = order->lease_end_us;
    call.grants = grants;
    call.grant_count = count;
    call.timeout_us = ORDER_TIMEOUT_HEARTBEATS * agent->heartbeat_us;
    (void)cw_agent_start_call(agent, server, &call);
}

/** The order is for another life of the server than the one read last: find out which is true. */
static bool other_incarnation(cw_agent_t *agent, cw_agent_server_t *server, cw_incarnation_t incarnation)
{
    if (server->incarnation == 0 || server->incarnation == incarnation) {
        return false;
    }
    cw_agent_read_state(agent, server);
    return true;
}

void cw_agent_take_grant_order(cw_agent_t *agent, const Cw__GrantOrder *order)
{
    cw_agent_server_t *server = cw_agent_find_server(agent, order->server);
    const Cw__Grant  **grants;
    report_list_t      accepted;
    report_list_t      refused = {0};
    size_t             count = 0;
    size_t             i;

    if (server == NULL) {
        cw_agent_keep_order(agent, order, NULL);
        return;
    }
    if (other_incarnation(agent, server, order->incarnation)) {
        return;
    }
    grants = calloc(order->n_grants + 1, sizeof(Cw__Grant *));
    if (list_create(&accepted, order->n_grants) == CW_OK && grants != NULL) {
        for (i = 0; i < order->n_grants; i++) {
            if (note_grant(agent, server, order->grants[i], &accepted)) {
                grants[count++] = order->grants[i];
            }
        }
        if (accepted.count > 0) {
            send_grant_report(agent, server->id, order->incarnation, &accepted, &refused, (cw_fence_t){0, 0});
        }
        if (count > 0) {
            call_grant(agent, server, order, grants, count);
        }
    }
    list_clear(&accepted);
    free(grants);
}

static bool call_fence(const cw_agent_call_t *call, cw_range_id_t range, cw_fence_t *fence)
{
    size_t i;

    for (i = 0; i < call->range_count; i++) {
        if (call->ranges[i] == range) {
            *fence = call->fences[i];
            return true;
        }
    }
    return false;
}

static void mark_accepted(cw_agent_t *agent, const cw_agent_server_t *server, const cw_agent_call_t *call,
                          const cw_server_completion_t *completion, report_list_t *accepted)
{
    bool   has_lease = completion->lease_end_us > completion->clock_us;
    bool   alive = has_lease && completion->clock_us >= server->lapse_clock_us;
    size_t i;

    for (i = 0; i < completion->accepted_count; i++) {
        cw_agent_range_t *range = cw_agent_find_range(agent, completion->accepted[i]);
        cw_fence_t        fence;

        if (!call_fence(call, completion->accepted[i], &fence)) {
            continue;
        }
        list_add(accepted, completion->accepted[i], fence);
        if (alive && range != NULL && range->state == CW_RANGE_PENDING && cw_fence_compare(range->fence, fence) == 0) {
            range->state = CW_RANGE_READY;
        }
    }
}

/** The lease may have lapsed before this grant began a new one: what was accepted earlier is not held for sure. */
static void drop_doubtful(cw_agent_t *agent, const cw_agent_server_t *server, const cw_agent_call_t *call,
                          report_list_t *refused)
{
    cw_agent_range_t *range;
    cw_fence_t        fence;

    for (range = agent->ranges; range != NULL; range = range->hh.next) {
        bool ready = range->server == server->id && range->state == CW_RANGE_READY;

        if (ready && !call_fence(call, range->id, &fence)) {
            range->state = CW_RANGE_PENDING;
            list_add(refused, range->id, range->fence);
        }
    }
}

void cw_agent_grant_completed(cw_agent_t *agent, cw_agent_server_t *server, const cw_agent_call_t *call,
                              const cw_server_completion_t *completion, bool lapsed_before)
{
    report_list_t accepted;
    report_list_t refused;
    int           first = list_create(&accepted, completion->accepted_count);
    int           second = list_create(&refused, completion->refused_count + HASH_COUNT(agent->ranges));
    size_t        i;

    if (first == CW_OK && second == CW_OK) {
        if (lapsed_before) {
            drop_doubtful(agent, server, call, &refused);
        }
        mark_accepted(agent, server, call, completion, &accepted);
        for (i = 0; i < completion->refused_count; i++) {
            list_add(&refused, completion->refused[i], completion->highest);
        }
        send_grant_report(agent, server->id, call->incarnation, &accepted, &refused, completion->highest);
    }
    list_clear(&accepted);
    list_clear(&refused);
}

/** Stops new requests for one range. Returns true when the server has to be called for it. */
static bool note_revoke(cw_agent_t *agent, const cw_agent_server_t *server, const Cw__Grant *grant,
                        report_list_t *released)
{
    cw_fence_t        fence = cw_fence_from_message(grant->fence);
    cw_agent_range_t *range = cw_agent_add_range(agent, grant->range, server->id);
    int               order;

    if (range == NULL) {
        return false;
    }
    order = cw_fence_compare(fence, range->fence);
    if (order < 0) {
        return false;
    }
    if (order == 0 && range->state == CW_RANGE_REVOKED && range->released) {
        list_add(released, range->id, fence);
        return false;
    }
    range->server = server->id;
    range->fence = fence;
    range->state = CW_RANGE_REVOKED;
    range->released = false;
    return !cw_agent_range_in_call(agent, CW_SERVER_GRANT, range->id, fence) &&
           !cw_agent_range_in_call(agent, CW_SERVER_REVOKE, range->id, fence);
}

/* Time for the requests in flight, within bounds whatever the order says. */
static cw_time_us_t drain_time(const Cw__RevokeOrder *order)
{
    int64_t drain_ms = order->drain_ms < DRAIN_MAX_MS ? order->drain_ms : DRAIN_MAX_MS;

    return drain_ms < 0 ? 0 : drain_ms * CW_US_PER_MS;
}

static void call_revoke(cw_agent_t *agent, cw_agent_server_t *server, const Cw__RevokeOrder *order,
                        const Cw__Grant *const *grants, size_t count)
{
    cw_server_call_t call = {.kind = CW_SERVER_REVOKE};

    call.incarnation = order->incarnation;
    call.grants = grants;
    call.grant_count = count;
    call.timeout_us = drain_time(order) + ORDER_TIMEOUT_HEARTBEATS * agent->heartbeat_us;
    (void)cw_agent_start_call(agent, server, &call);
}

void cw_agent_take_revoke_order(cw_agent_t *agent, const Cw__RevokeOrder *order)
{
    cw_agent_server_t *server = cw_agent_find_server(agent, order->server);
    const Cw__Grant  **grants;
    report_list_t      released;
    size_t             count = 0;
    size_t             i;

    if (server == NULL) {
        cw_agent_keep_order(agent, NULL, order);
        return;
    }
    grants = calloc(order->n_grants + 1, sizeof(Cw__Grant *));
    if (list_create(&released, order->n_grants) == CW_OK && grants != NULL) {
        for (i = 0; i < order->n_grants; i++) {
            if (note_revoke(agent, server, order->grants[i], &released)) {
                grants[count++] = order->grants[i];
            }
        }
        if (!other_incarnation(agent, server, order->incarnation)) {
            if (released.count > 0) {
                send_revoke_report(agent, server->id, order->incarnation, &released);
            }
            if (count > 0) {
                call_revoke(agent, server, order, grants, count);
            }
        }
    }
    list_clear(&released);
    free(grants);
}

void cw_agent_revoke_completed(cw_agent_t *agent, const cw_agent_call_t *call, const cw_server_completion_t *completion)
{
    report_list_t released;
    size_t        i;

    if (list_create(&released, completion->accepted_count) == CW_OK) {
        for (i = 0; i < completion->accepted_count; i++) {
            cw_agent_range_t *range = cw_agent_find_range(agent, completion->accepted[i]);
            cw_fence_t        fence;

            if (!call_fence(call, completion->accepted[i], &fence)) {
                continue;
            }
            if (range != NULL && cw_fence_compare(range->fence, fence) == 0) {
                range->released = true;
            }
            list_add(&released, completion->accepted[i], fence);
        }
        if (released.count > 0) {
            send_revoke_report(agent, call->server, call->incarnation, &released);
        }
    }
    list_clear(&released);
}
