/**
 * @file control_cluster_servers.c
 * @brief Back-end servers of the control tests: their clocks, leases, grants and the fences they have seen.
 */
#include "control_cluster_internal.h"

#include <check.h>
#include <stdlib.h>

#include "cedarwinch/error.h"

enum { PPM = 1000000 };

void cluster_restart_server(size_t position)
{
    cluster_server_t *server = &cluster.servers[position];

    server->incarnation = ++cluster.next_incarnation;
    server->started_us = cluster.now.monotonic_us;
    server->clock_offset_us = 1;
    server->lease_end_us = 0;
    server->grant_count = 0;
    server->draining = false;
}

static int64_t clock_of(const cluster_server_t *server)
{
    cw_time_us_t age_us = cluster.now.monotonic_us - server->started_us;

    return server->clock_offset_us + age_us + age_us * server->clock_drift_ppm / PPM;
}

static bool is_alive(const cluster_server_t *server)
{
    return server->lease_end_us > clock_of(server);
}

void cluster_port_server_call(void *context, const cw_server_call_t *call)
{
    cluster_event_t *event = cluster_add_event(EVENT_CALL, cluster_node_of(context), CLUSTER_CALL_DELAY_US);
    Cw__GrantOrder   order = CW__GRANT_ORDER__INIT;

    event->id = call->id;
    event->call = call->kind;
    event->incarnation = call->incarnation;
    event->lease_end_us = call->lease_end_us;
    while (event->server < CLUSTER_SERVERS && cluster.servers[event->server].configuration.id != call->server->id) {
        event->server++;
    }
    order.n_grants = call->grant_count;
    order.grants = (Cw__Grant **)call->grants;
    event->length = cw__grant_order__get_packed_size(&order);
    event->bytes = malloc(event->length + 1);
    cw__grant_order__pack(&order, event->bytes);
}

static bool overlaps(const Cw__Grant *left, const Cw__Grant *right)
{
    return left->service == right->service && left->low <= right->last && right->low <= left->last;
}

static int compare(const Cw__Grant *left, const Cw__Grant *right)
{
    return cw_fence_compare(cw_fence_from_message(left->fence), cw_fence_from_message(right->fence));
}

static void drop_lapsed(cluster_server_t *server)
{
    size_t position;

    for (position = 0; !is_alive(server) && position < server->grant_count; position++) {
        server->grants[position].held = false;
    }
}

static void remember_grant(cluster_server_t *server, const Cw__Grant *grant, bool held)
{
    cluster_grant_t *place;

    if (server->grant_count == CLUSTER_GRANTS) {
        ck_abort_msg("too many grants");
    }
    place = &server->grants[server->grant_count++];
    place->grant = *grant;
    place->fence = *grant->fence;
    place->grant.fence = &place->fence;
    place->held = held;
}

/* Forgets grants that a later one covers whole, so that the list stays short. */
static void forget_covered(cluster_server_t *server, const Cw__Grant *grant)
{
    size_t position = 0;

    while (position < server->grant_count) {
        cluster_grant_t *old = &server->grants[position];

        if (old->grant.service == grant->service && old->grant.low >= grant->low && old->grant.last <= grant->last &&
            compare(&old->grant, grant) <= 0) {
            *old = server->grants[--server->grant_count];
            old->grant.fence = &old->fence;
        } else {
            position++;
        }
    }
}

static bool accept_grant(cluster_server_t *server, const Cw__Grant *grant, cw_fence_t *highest)
{
    size_t position;
    bool   above = true;

    for (position = 0; position < server->grant_count; position++) {
        cluster_grant_t *old = &server->grants[position];

        if (!overlaps(&old->grant, grant)) {
            continue;
        }
        if (old->held && old->grant.range == grant->range && compare(&old->grant, grant) == 0) {
            return true;
        }
        *highest = cw_fence_max(*highest, cw_fence_from_message(&old->fence));
        above &= compare(grant, &old->grant) > 0;
    }
    if (!above) {
        return false;
    }
    for (position = 0; position < server->grant_count; position++) {
        server->grants[position].held &= !overlaps(&server->grants[position].grant, grant);
    }
    forget_covered(server, grant);
    remember_grant(server, grant, true);
    server->accepted++;
    return true;
}

static bool release_grant(cluster_server_t *server, const Cw__Grant *grant)
{
    size_t position;

    for (position = 0; position < server->grant_count; position++) {
        cluster_grant_t *old = &server->grants[position];

        if (overlaps(&old->grant, grant)) {
            if (compare(&old->grant, grant) > 0) {
                return false;
            }
            old->held = false;
        }
    }
    forget_covered(server, grant);
    remember_grant(server, grant, false);
    return true;
}

static void run_grants(cluster_server_t *server, cluster_event_t *event)
{
    Cw__GrantOrder *order = cw__grant_order__unpack(NULL, event->length, event->bytes);
    size_t          position;
    bool            done;

    event->accepted = calloc(order->n_grants + 1, sizeof(cw_range_id_t));
    event->refused = calloc(order->n_grants + 1, sizeof(cw_range_id_t));
    for (position = 0; position < order->n_grants; position++) {
        done = event->call == CW_SERVER_GRANT ? accept_grant(server, order->grants[position], &event->highest)
                                              : release_grant(server, order->grants[position]);
        if (done) {
            event->accepted[event->accepted_count++] = order->grants[position]->range;
        } else if (event->call == CW_SERVER_GRANT) {
            event->refused[event->refused_count++] = order->grants[position]->range;
        }
    }
    cw__grant_order__free_unpacked(order, NULL);
}

static void run_call(cluster_event_t *event)
{
    cluster_server_t *server = &cluster.servers[event->server];
    int64_t           clock_us = clock_of(server);

    drop_lapsed(server);
    if (event->call != CW_SERVER_READ_STATE && event->incarnation != server->incarnation) {
        event->error = CW_ERROR_CONFLICT;
    } else if (event->call == CW_SERVER_GRANT && event->lease_end_us <= clock_us) {
        event->error = CW_ERROR_CONFLICT;
    } else if (event->call == CW_SERVER_RENEW_LEASE && is_alive(server) && event->lease_end_us > server->lease_end_us) {
        server->lease_end_us = event->lease_end_us;
    } else if (event->call == CW_SERVER_GRANT || event->call == CW_SERVER_REVOKE) {
        run_grants(server, event);
    }
    if (event->call == CW_SERVER_GRANT && event->error == CW_OK && event->lease_end_us > server->lease_end_us) {
        server->lease_end_us = event->lease_end_us;
    }
    event->incarnation = server->incarnation;
    event->clock_us = clock_us;
    event->lease_end_us = server->lease_end_us;
    event->draining = server->draining;
}

static bool can_reach(const cluster_node_t *node, size_t server)
{
    return server < CLUSTER_SERVERS && !cluster.servers[server].cut && !node->cut &&
           cluster.servers[server].group == node->group;
}

/* The call reaches the server; its answer goes back as another event. */
void cluster_deliver_call(cluster_event_t *event)
{
    cw_time_us_t     delay_us = CLUSTER_CALL_DELAY_US;
    cluster_event_t *answer;

    if (!can_reach(&cluster.nodes[event->node], event->server)) {
        event->error = CW_ERROR_TIMEOUT;
        delay_us = CLUSTER_HEARTBEAT_US;
    } else {
        delay_us += event->call == CW_SERVER_REVOKE ? cluster.servers[event->server].drain_us : 0;
        run_call(event);
    }
    answer = cluster_add_event(EVENT_CALL_ANSWER, event->node, delay_us);
    answer->node_incarnation = event->node_incarnation;
    answer->id = event->id;
    answer->error = event->error;
    answer->call = event->call;
    answer->incarnation = event->incarnation;
    answer->lease_end_us = event->lease_end_us;
    answer->clock_us = event->clock_us;
    answer->draining = event->draining;
    answer->accepted = event->accepted;
    answer->accepted_count = event->accepted_count;
    answer->refused = event->refused;
    answer->refused_count = event->refused_count;
    answer->highest = event->highest;
    event->accepted = event->refused = NULL;
}

void cluster_deliver_call_answer(const cluster_event_t *event)
{
    cw_server_completion_t completion = {.id = event->id, .error = event->error};

    completion.incarnation = event->incarnation;
    completion.clock_us = event->clock_us;
    completion.lease_end_us = event->lease_end_us;
    completion.draining = event->draining;
    completion.accepted = event->accepted;
    completion.accepted_count = event->accepted_count;
    completion.refused = event->refused;
    completion.refused_count = event->refused_count;
    completion.highest = event->highest;
    cw_agent_server_completed(cluster.nodes[event->node].agent, &completion, cluster.now);
}

bool cluster_holds(const cluster_server_t *server, cw_key_hash_t key_hash)
{
    size_t position;

    for (position = 0; is_alive(server) && position < server->grant_count; position++) {
        const Cw__Grant *grant = &server->grants[position].grant;

        if (server->grants[position].held && grant->low <= key_hash && key_hash <= grant->last) {
            return true;
        }
    }
    return false;
}

/* The invariant: no key has two owners. Borders of held grants are where an overlap would begin. */
void cluster_check_owners(void)
{
    size_t left;
    size_t right;
    size_t position;

    for (left = 0; left < CLUSTER_SERVERS; left++) {
        drop_lapsed(&cluster.servers[left]);
        for (position = 0; position < cluster.servers[left].grant_count; position++) {
            if (!cluster.servers[left].grants[position].held) {
                continue;
            }
            for (right = 0; right < CLUSTER_SERVERS; right++) {
                if (left != right &&
                    cluster_holds(&cluster.servers[right], cluster.servers[left].grants[position].grant.low)) {
                    ck_abort_msg("two owners of one key: servers %zu and %zu at %ld us", left, right,
                                 (long)cluster.now.monotonic_us);
                }
            }
        }
    }
}
