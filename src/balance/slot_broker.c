/**
 * @file slot_broker.c
 * @brief Grants slots and keeps the asks that wait.
 */
#include "balance/slot_broker.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "balance/slot_broker_internal.h"
#include "balance/spoiled_answers.h"
#include "base/memory.h"

enum {
    CLEANUP_INTERVAL_S = 5, /* interval for removing state of unlisted servers, some 250 bytes each */
    /* Longest wait that is named because this broker grants only a share of the limits; the same as the longest retry
     * time of a tenant at a node that goes by its own part (quota_local.c). */
    PART_SHARE_WAIT_MS = 1000
};

cw_slot_broker_t *cw_slot_broker_create(cw_server_pool_t *pool, const char *zone, cw_slot_replied_t replied,
                                        void *context)
{
    cw_slot_broker_t *broker = cw_memory_zeroed(sizeof(*broker));

    broker->pool = pool;
    broker->zone = strdup(zone);
    broker->turns = cw_fair_turns_create();
    broker->replied = replied;
    broker->context = context;
    broker->share = 1;
    return broker;
}

void cw_slot_broker_set_share(cw_slot_broker_t *broker, double share)
{
    broker->share = share;
}

static void drop_lease(cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    HASH_DEL(broker->leases, lease); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
    free(lease);
}

void cw_slot_broker_free(cw_slot_broker_t *broker)
{
    cw_slot_lease_t  *lease;
    cw_slot_lease_t  *next_lease;
    cw_slot_server_t *server;
    cw_slot_server_t *next_server;

    HASH_ITER(hh, broker->leases, lease, next_lease)
    {
        drop_lease(broker, lease);
    }
    HASH_ITER(hh, broker->servers, server, next_server)
    {
        HASH_DEL(broker->servers, server); /* NOLINT(clang-analyzer-unix.Malloc) */
        free(server);
    }
    cw_fair_turns_free(broker->turns);
    free(broker->zone);
    free(broker);
}

size_t cw_slot_broker_granted(const cw_slot_broker_t *broker)
{
    return broker->granted_count;
}

size_t cw_slot_broker_waiting(const cw_slot_broker_t *broker)
{
    return broker->waiting;
}

size_t cw_slot_broker_server_count(const cw_slot_broker_t *broker)
{
    return HASH_COUNT(broker->servers);
}

/* ---- servers ---- */

static cw_slot_server_t *get_or_add_state(cw_slot_broker_t *broker, uint32_t hash)
{
    cw_slot_server_t *state;

    HASH_FIND(hh, broker->servers, &hash, sizeof(hash), state);
    if (state == NULL) {
        state = cw_memory_zeroed(sizeof(*state));
        state->hash = hash;
        HASH_ADD(hh, broker->servers, hash, sizeof(state->hash), state);
    }
    return state;
}

/* True if this broker counts the server's slots: those of its own zone, and a server with a rate limit that is the only
 * acceptable one of an ask, since that server may be in a zone without nodes. */
static bool is_counted_here(const cw_slot_broker_t *broker, const cw_server_t *server, bool is_only, cw_time_us_t now)
{
    return strcmp(server->zone, broker->zone) == 0 || (is_only && cw_server_is_limited(server, now));
}

static bool is_usable(const cw_slot_broker_t *broker, const cw_server_t *server, bool is_only, cw_time_us_t now)
{
    return server->listed && cw_server_accepts(server, is_only, now) && !server->ended &&
           cw_server_zone_allows(server, is_only, now) && is_counted_here(broker, server, is_only, now);
}

/* Summary of the servers acceptable for an ask, and the best of them with a free slot. */
typedef struct survey {
    cw_slot_server_t *best;
    double            best_cost;
    bool              best_is_suspect;
    bool              any_healthy; /* a server that is not suspect, with or without a free slot */
    bool              any;
    double            per_s;         /* slots a second that become free at the servers */
    double            held_sum;      /* sum of the mean times for which slots of the counted servers are held */
    uint32_t          healthy_count; /* number of servers counted in per_s and held_sum */
    cw_time_us_t      limit_wait;    /* with only one acceptable server: time until its rate limit allows the request */
    double            whole_per_s;   /* per_s if this broker granted the whole rate limits */
    cw_time_us_t      whole_limit_wait; /* limit_wait in that case */
} survey_t;

static bool is_acceptable(const cw_slot_ask_t *ask, const cw_server_t *server)
{
    if (ask->server != 0) {
        return server->hash == ask->server;
    }
    return server->service_hash == ask->service && server->hash != ask->except;
}

/* Slots a second that become free at a server, at most as many as the share of its rate limit allows. */
static double slots_per_s(const cw_server_t *server, double share, cw_time_us_t held, cw_time_us_t now)
{
    double per_s = (double)server->capacity * 1e6 / (double)(held == 0 ? 1 : held);
    double limit = cw_server_limit_rate(&server->limit) * share;

    return cw_server_limit_binds(&server->limit, now) && limit < per_s ? limit : per_s;
}

static void survey_server(cw_slot_broker_t *broker, const cw_slot_lease_t *lease, const cw_server_t *server,
                          survey_t *survey, cw_time_us_t now)
{
    cw_slot_server_t *state = get_or_add_state(broker, server->hash);
    cw_time_us_t      held = cw_slot_server_held(state, server, lease->mean_time);
    bool              is_suspect = cw_server_is_suspect(server) && server->avoid_until > now;
    double            cost = cw_slot_server_cost(state, server, lease->mean_time, now);

    cw_slot_server_refill(state, server, broker->share, now);
    survey->any = true;
    survey->any_healthy = survey->any_healthy || !is_suspect;
    if (!is_suspect && !cw_server_is_rate_bounded(server, now)) {
        survey->per_s += slots_per_s(server, broker->share, held, now);
        survey->whole_per_s += slots_per_s(server, 1, held, now);
        survey->held_sum += (double)held;
        survey->healthy_count++;
    }
    if (!cw_slot_server_has_slot(state, server, now)) {
        return;
    }
    if (survey->best == NULL || (survey->best_is_suspect && !is_suspect) ||
        (survey->best_is_suspect == is_suspect && cost < survey->best_cost)) {
        survey->best = state;
        survey->best_cost = cost;
        survey->best_is_suspect = is_suspect;
    }
}

static void survey_limit(cw_slot_broker_t *broker, const cw_slot_lease_t *lease, const cw_server_t *owner,
                         survey_t *survey, cw_time_us_t now)
{
    const cw_slot_server_t *state = get_or_add_state(broker, owner->hash);
    uint32_t                ahead = cw_slot_queue_ahead(broker, lease);

    survey->limit_wait = cw_slot_server_limit_wait(state, owner, broker->share, ahead, now);
    survey->whole_limit_wait = cw_slot_server_limit_wait(state, owner, 1, ahead, now);
}

static survey_t survey_servers(cw_slot_broker_t *broker, const cw_slot_lease_t *lease, cw_time_us_t now)
{
    survey_t     survey = {0};
    bool         is_owner = lease->ask.server != 0;
    cw_server_t *server;

    if (is_owner) {
        const cw_server_t *owner = cw_server_pool_find_hash(broker->pool, lease->ask.server);

        if (owner != NULL && is_usable(broker, owner, true, now)) {
            survey_server(broker, lease, owner, &survey, now);
            survey_limit(broker, lease, owner, &survey, now);
        }
        return survey;
    }
    DL_FOREACH(cw_server_pool_of_service(broker->pool, lease->ask.service), server)
    {
        if (is_acceptable(&lease->ask, server) && is_usable(broker, server, false, now)) {
            survey_server(broker, lease, server, &survey, now);
        }
    }
    if (survey.best_is_suspect && survey.any_healthy) {
        survey.best = NULL; /* a server that is not suspect is full: the ask waits for it */
    }
    return survey;
}

/* ---- replies ---- */

static void reply(cw_slot_broker_t *broker, const cw_slot_lease_t *lease, cw_slot_outcome_t outcome,
                  cw_time_us_t free_after)
{
    cw_slot_reply_t message = {.node = lease->ask.node,
                               .ticket = lease->ask.ticket,
                               .outcome = outcome,
                               .server = lease->server,
                               .free_after = free_after};

    broker->replied(broker->context, &message);
}

static void grant(cw_slot_broker_t *broker, cw_slot_lease_t *lease, cw_slot_server_t *state, cw_time_us_t now)
{
    cw_slot_server_record_grant(state, cw_server_pool_find_hash(broker->pool, state->hash), now);
    lease->server = state->hash;
    lease->granted_at = now;
    lease->ends_at = now + lease->ask.lease;
    DL_APPEND(broker->granted, lease);
    broker->granted_count++;
    reply(broker, lease, CW_SLOT_GRANTED, 0);
}

static void refuse(cw_slot_broker_t *broker, cw_slot_lease_t *lease, cw_time_us_t free_after)
{
    reply(broker, lease, CW_SLOT_REFUSED, free_after);
    drop_lease(broker, lease);
}

/* ---- asks ---- */

/* Mean time from a grant to the answer; 0: not known. */
static cw_time_us_t held_mean(const survey_t *survey)
{
    return survey->healthy_count == 0 ? 0 : (cw_time_us_t)(survey->held_sum / survey->healthy_count);
}

static cw_time_us_t queue_wait(double per_s, uint32_t ahead)
{
    return per_s > 0 ? (cw_time_us_t)((ahead + 1) * 1e6 / per_s) : INT64_MAX / 2;
}

static cw_time_us_t expected_wait(const survey_t *survey, uint32_t ahead)
{
    return survey->limit_wait > 0 ? survey->limit_wait : queue_wait(survey->per_s, ahead);
}

/* Wait that a refusal names: nodes and callers do not come back before it. A broker's share of the limits may become a
 * larger one at any time, above all that of a process that does not know the other nodes yet; so a wait that is long
 * only because of the share is named as PART_SHARE_WAIT_MS. */
static cw_time_us_t wait_to_name(const survey_t *survey, uint32_t ahead)
{
    cw_time_us_t wait = expected_wait(survey, ahead);
    cw_time_us_t whole = survey->limit_wait > 0 ? survey->whole_limit_wait : queue_wait(survey->whole_per_s, ahead);
    cw_time_us_t most = whole > CW_MS(PART_SHARE_WAIT_MS) ? whole : CW_MS(PART_SHARE_WAIT_MS);

    if (!survey->any) {
        return 0;
    }
    return wait < most ? wait : most;
}

static void handle_ask(cw_slot_broker_t *broker, cw_slot_lease_t *lease, cw_time_us_t now)
{
    survey_t     survey;
    uint32_t     ahead;
    cw_time_us_t wait;

    cw_slot_queue_assign_turn(broker, lease);
    survey = survey_servers(broker, lease, now);
    ahead = cw_slot_queue_ahead(broker, lease);
    wait = expected_wait(&survey, ahead);

    if (survey.best != NULL && ahead == 0) {
        grant(broker, lease, survey.best, now);
        return;
    }
    if (!survey.any || wait > lease->ask.max_slot_wait || wait + held_mean(&survey) > lease->ask.objective) {
        refuse(broker, lease, wait_to_name(&survey, ahead));
        return;
    }
    cw_slot_queue_join(broker, lease);
    reply(broker, lease, CW_SLOT_QUEUED, 0);
}

static uint64_t key_of(uint32_t node, uint32_t ticket)
{
    return (uint64_t)node << 32 | ticket;
}

static cw_slot_lease_t *find_lease(const cw_slot_broker_t *broker, uint64_t key)
{
    cw_slot_lease_t *lease;

    HASH_FIND(hh, broker->leases, &key, sizeof(key), lease);
    return lease;
}

void cw_slot_broker_ask(cw_slot_broker_t *broker, const cw_slot_ask_t *ask, cw_time_us_t mean_time, cw_time_us_t now)
{
    cw_slot_lease_t *lease = find_lease(broker, key_of(ask->node, ask->ticket));

    if (lease != NULL) { /* the node repeated the ask, since the reply was lost */
        reply(broker, lease, lease->granted_at != 0 ? CW_SLOT_GRANTED : CW_SLOT_QUEUED, 0);
        return;
    }
    lease = cw_memory_zeroed(sizeof(*lease));
    lease->key = key_of(ask->node, ask->ticket);
    lease->ask = *ask;
    lease->mean_time = mean_time;
    lease->objective_at = now + ask->objective;
    HASH_ADD(hh, broker->leases, key, sizeof(lease->key), lease);
    handle_ask(broker, lease, now);
}

uint32_t cw_slot_broker_granted_server(const cw_slot_broker_t *broker, uint32_t node, uint32_t ticket)
{
    const cw_slot_lease_t *lease = find_lease(broker, key_of(node, ticket));

    return lease == NULL || lease->granted_at == 0 ? 0 : lease->server;
}

/* Grants free slots of this server to the waiting asks that accept it, in the order of the queue. */
static void grant_free_slots(cw_slot_broker_t *broker, cw_slot_server_t *state, cw_time_us_t now)
{
    const cw_server_t *server = cw_server_pool_find_hash(broker->pool, state->hash);
    cw_slot_lease_t   *lease;
    cw_slot_lease_t   *next;

    if (server == NULL) {
        return;
    }
    cw_slot_server_refill(state, server, broker->share, now);
    DL_FOREACH_SAFE(broker->queue, lease, next)
    {
        if (!cw_slot_server_has_slot(state, server, now)) {
            return;
        }
        if (is_acceptable(&lease->ask, server) && is_usable(broker, server, lease->ask.server != 0, now)) {
            cw_slot_queue_serve(broker, lease);
            grant(broker, lease, state, now);
        }
    }
}

/* ---- returned slots ---- */

static void record_end(cw_slot_broker_t *broker, const cw_slot_lease_t *lease, const cw_slot_return_t *returned,
                       cw_slot_server_t *state, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(broker->pool, lease->server);

    if (returned->end == CW_SLOT_ANSWERED) {
        cw_slot_server_record_held(state, now - lease->granted_at);
    }
    if (returned->signals != NULL && returned->signals->has_load) {
        cw_slot_server_record_load(state, &returned->signals->load, now);
    }
    if (server != NULL && returned->end == CW_SLOT_FAILED) {
        cw_server_pool_record_fault(server, now);
    } else if (server != NULL && returned->end == CW_SLOT_SPOILED) {
        (void)cw_server_pool_record_spoiled(broker->pool, server, now);
    } else if (server != NULL && returned->end == CW_SLOT_ANSWERED) {
        cw_server_pool_clear_faults(server);
    }
}

static void end_grant(cw_slot_broker_t *broker, cw_slot_lease_t *lease)
{
    cw_slot_server_t *state = get_or_add_state(broker, lease->server);

    state->granted--;
    DL_DELETE(broker->granted, lease);
    broker->granted_count--;
}

void cw_slot_broker_return(cw_slot_broker_t *broker, const cw_slot_return_t *returned, cw_time_us_t now)
{
    cw_slot_lease_t  *lease = find_lease(broker, key_of(returned->node, returned->ticket));
    cw_slot_server_t *state;

    if (lease == NULL) {
        return;
    }
    if (lease->granted_at == 0) {
        cw_slot_queue_leave(broker, lease);
        drop_lease(broker, lease);
        return;
    }
    state = get_or_add_state(broker, lease->server);
    end_grant(broker, lease);
    record_end(broker, lease, returned, state, now);
    drop_lease(broker, lease);
    grant_free_slots(broker, state, now);
}

/* Refuses a waiting ask that can no longer be answered in time. Grants a slot that has become free without a return: a
 * server was added, a lease ended, or a load sample expired. */
static void recheck_ask(cw_slot_broker_t *broker, cw_slot_lease_t *lease, cw_time_us_t now)
{
    survey_t survey = survey_servers(broker, lease, now);

    if (!survey.any || now + held_mean(&survey) > lease->objective_at) {
        cw_slot_queue_leave(broker, lease);
        refuse(broker, lease, wait_to_name(&survey, cw_slot_queue_ahead(broker, lease)));
    } else if (survey.best != NULL) {
        cw_slot_queue_serve(broker, lease);
        grant(broker, lease, survey.best, now);
    }
}

/* Removes the state of unlisted servers, which would otherwise accumulate while the process runs. */
static void drop_unlisted_servers(cw_slot_broker_t *broker)
{
    cw_slot_server_t *state;
    cw_slot_server_t *next;

    HASH_ITER(hh, broker->servers, state, next)
    {
        if (state->granted == 0 && cw_server_pool_find_hash(broker->pool, state->hash) == NULL) {
            HASH_DEL(broker->servers, state); /* NOLINT(clang-analyzer-unix.Malloc) */
            free(state);
        }
    }
}

void cw_slot_broker_tick(cw_slot_broker_t *broker, cw_time_us_t now)
{
    cw_slot_lease_t *lease;
    cw_slot_lease_t *next;

    DL_FOREACH_SAFE(broker->granted, lease, next)
    {
        if (now >= lease->ends_at) {
            end_grant(broker, lease);
            drop_lease(broker, lease);
        }
    }
    DL_FOREACH_SAFE(broker->queue, lease, next)
    {
        recheck_ask(broker, lease, now);
    }
    if (now - broker->cleaned_up_at >= CW_SECONDS(CLEANUP_INTERVAL_S)) {
        broker->cleaned_up_at = now;
        drop_unlisted_servers(broker);
    }
}
