/**
 * @file slot_broker.c
 * @brief Slots granted, asks that wait, and what is known of each server by the slots given back.
 */
#include "balance/slot_broker.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

enum {
    OUTSIDE_FRESH_MS = 300, /* so long a load sample tells of requests that were not granted here */
    WORK_FRESH_MS = 400,    /* and of how long work takes there: it changes many times a second */
    HELD_WEIGHT_PART = 8,   /* of a slot's time in the mean of its server */
    REQUESTS_A_SLOT = 2,    /* one runs, one waits at the server: else its slot rests until the next one has come.
                             * Measured: docs/design/shifted-work.md */
    PERCENT = 100,
    COLD_WINDOW_MS = 1100,   /* the bound's second, and what the ways to the server differ by */
    COLD_SENDS_MOST = 16,    /* requests in a second to a cold server, whatever it bears */
    WORK_MOST_PERCENT = 1000 /* beyond it a server in trouble looks no worse */
};

static const double busy_weight = 0.45; /* as in server_choice.c: a server with all slots taken costs so much more */

static const double cold_factor = 2; /* a cold server takes about twice as long */

/** What is known of a server by its slots. */
typedef struct slot_server {
    uint32_t       hash;
    uint32_t       granted;
    uint32_t       outside; /* requests there that were not granted here, by its last load sample, */
    cw_time_us_t   outside_at;
    uint32_t       work_percent; /* and how long work takes there against what is usual */
    cw_time_us_t   work_at;
    cw_time_us_t   held;                         /* mean time for which a slot is taken */
    cw_time_us_t   cold_grants[COLD_SENDS_MOST]; /* while it is cold: a ring of their times */
    uint32_t       next_cold;
    UT_hash_handle hh;
} slot_server_t;

/** An ask that waits, or a slot granted. */
typedef struct slot_lease {
    uint64_t           key; /* node and ticket */
    cw_slot_ask_t      ask;
    cw_time_us_t       usual;
    cw_time_us_t       objective_at;
    cw_time_us_t       granted_at; /* 0: it waits */
    cw_time_us_t       ends_at;    /* of the lease */
    uint32_t           server;     /* granted */
    struct slot_lease *prev;       /* utlist's names, in the queue or among the granted */
    struct slot_lease *next;
    UT_hash_handle     hh;
} slot_lease_t;

struct cw_slot_broker {
    cw_server_pool_t *pool;
    char             *zone;
    cw_slot_replied_t replied;
    void             *context;
    slot_server_t    *servers;
    slot_lease_t     *leases;
    slot_lease_t     *queue;   /* by priority, then objective */
    slot_lease_t     *granted; /* in order of grants */
    size_t            waiting;
    size_t            granted_count;
};

cw_slot_broker_t *cw_slot_broker_create(cw_server_pool_t *pool, const char *zone, cw_slot_replied_t replied,
                                        void *context)
{
    cw_slot_broker_t *broker = calloc(1, sizeof(*broker));

    if (broker == NULL) {
        abort();
    }
    broker->pool = pool;
    broker->zone = strdup(zone);
    broker->replied = replied;
    broker->context = context;
    return broker;
}

static void drop_lease(cw_slot_broker_t *broker, slot_lease_t *lease)
{
    HASH_DEL(broker->leases, lease); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(lease);
}

void cw_slot_broker_free(cw_slot_broker_t *broker)
{
    slot_lease_t  *lease;
    slot_lease_t  *next_lease;
    slot_server_t *server;
    slot_server_t *next_server;

    HASH_ITER(hh, broker->leases, lease, next_lease)
    {
        drop_lease(broker, lease);
    }
    HASH_ITER(hh, broker->servers, server, next_server)
    {
        HASH_DEL(broker->servers, server); /* NOLINT(clang-analyzer-unix.Malloc) */
        free(server);
    }
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

/* ---- servers ---- */

static slot_server_t *state_of(cw_slot_broker_t *broker, uint32_t hash)
{
    slot_server_t *state;

    HASH_FIND(hh, broker->servers, &hash, sizeof(hash), state);
    if (state == NULL) {
        state = calloc(1, sizeof(*state));
        if (state == NULL) {
            abort();
        }
        state->hash = hash;
        HASH_ADD(hh, broker->servers, hash, sizeof(state->hash), state);
    }
    return state;
}

static uint32_t taken(const slot_server_t *state, cw_time_us_t now)
{
    bool is_fresh = state->outside_at != 0 && now - state->outside_at < CW_MS(OUTSIDE_FRESH_MS);

    return state->granted + (is_fresh ? state->outside : 0);
}

static bool is_usable(const cw_slot_broker_t *broker, const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    return server->listed && !server->draining && !server->ended && strcmp(server->zone, broker->zone) == 0 &&
           cw_server_zone_allows(server, is_owner, now);
}

/* Requests in any second that a cold server is given here: what it bears. Its bound is more than twice that, so it
 * holds if two nodes count for the zone for a moment. */
static uint32_t cold_share(const cw_server_t *server)
{
    return server->cold_per_s >= COLD_SENDS_MOST ? COLD_SENDS_MOST : (uint32_t)server->cold_per_s;
}

static bool cold_allows(const cw_server_t *server, const slot_server_t *state, cw_time_us_t now)
{
    uint32_t     share = cold_share(server);
    cw_time_us_t oldest;

    if (!cw_server_is_rate_bounded(server, now)) {
        return true;
    }
    if (share == 0) {
        return false;
    }
    oldest = state->cold_grants[(state->next_cold + COLD_SENDS_MOST - share) % COLD_SENDS_MOST];
    return oldest == 0 || now - oldest >= CW_MS(COLD_WINDOW_MS);
}

static void note_cold(const cw_server_t *server, slot_server_t *state, cw_time_us_t now)
{
    if (cw_server_is_rate_bounded(server, now)) {
        state->cold_grants[state->next_cold] = now;
        state->next_cold = (state->next_cold + 1) % COLD_SENDS_MOST;
    }
}

static bool has_slot(const cw_server_t *server, const slot_server_t *state, cw_time_us_t now)
{
    return taken(state, now) < server->capacity * REQUESTS_A_SLOT && cold_allows(server, state, now) &&
           !(cw_server_is_suspect(server) && state->granted > 0);
}

static cw_time_us_t held_at(const slot_server_t *state, const cw_server_t *server, cw_time_us_t usual)
{
    return state->held != 0 ? state->held : (cw_time_us_t)((double)usual * server->pace);
}

/* How long work takes there now against what is usual, as far as a sample tells. */
static double work_factor(const slot_server_t *state, cw_time_us_t now)
{
    bool     is_fresh = state->work_at != 0 && now - state->work_at < CW_MS(WORK_FRESH_MS);
    uint32_t percent = state->work_percent > WORK_MOST_PERCENT ? WORK_MOST_PERCENT : state->work_percent;

    return is_fresh && percent != 0 ? (double)percent / PERCENT : 1;
}

static double cost_of(const slot_server_t *state, const cw_server_t *server, cw_time_us_t usual, cw_time_us_t now)
{
    double busy = (double)taken(state, now) / (server->capacity == 0 ? 1 : server->capacity);

    return (double)held_at(state, server, usual) * work_factor(state, now) * (1 + busy_weight * busy) *
           (cw_server_is_cold(server, now) ? cold_factor : 1);
}

/* Servers that an ask may go to, and the best of them with a free slot. */
typedef struct survey {
    slot_server_t *best;
    double         best_cost;
    bool           best_is_suspect;
    bool           any_sound;
    bool           any;
    double         per_s;    /* slots that the servers give back a second */
    double         held_sum; /* times for which slots of sound servers are taken, for the mean */
    uint32_t       sound;
} survey_t;

static bool is_wanted(const cw_slot_ask_t *ask, const cw_server_t *server)
{
    if (ask->server != 0) {
        return server->hash == ask->server;
    }
    return server->service_hash == ask->service && server->hash != ask->except;
}

static void survey_server(cw_slot_broker_t *broker, const slot_lease_t *lease, const cw_server_t *server,
                          survey_t *survey, cw_time_us_t now)
{
    slot_server_t *state = state_of(broker, server->hash);
    cw_time_us_t   held = held_at(state, server, lease->usual);
    bool           is_suspect = cw_server_is_suspect(server) && server->avoid_until > now;
    double         cost = cost_of(state, server, lease->usual, now);

    survey->any = true;
    survey->any_sound = survey->any_sound || !is_suspect;
    if (!is_suspect && !cw_server_is_rate_bounded(server, now)) {
        survey->per_s += (double)server->capacity * 1e6 / (double)(held == 0 ? 1 : held);
        survey->held_sum += (double)held;
        survey->sound++;
    }
    if (!has_slot(server, state, now)) {
        return;
    }
    if (survey->best == NULL || (survey->best_is_suspect && !is_suspect) ||
        (survey->best_is_suspect == is_suspect && cost < survey->best_cost)) {
        survey->best = state;
        survey->best_cost = cost;
        survey->best_is_suspect = is_suspect;
    }
}

static survey_t survey_servers(cw_slot_broker_t *broker, const slot_lease_t *lease, cw_time_us_t now)
{
    survey_t     survey = {0};
    bool         is_owner = lease->ask.server != 0;
    cw_server_t *server;
    cw_server_t *next;

    if (is_owner) {
        const cw_server_t *owner = cw_server_pool_find_hash(broker->pool, lease->ask.server);

        if (owner != NULL && is_usable(broker, owner, true, now)) {
            survey_server(broker, lease, owner, &survey, now);
        }
        return survey;
    }
    HASH_ITER(by_id, cw_server_pool_all(broker->pool), server, next)
    {
        if (is_wanted(&lease->ask, server) && is_usable(broker, server, false, now)) {
            survey_server(broker, lease, server, &survey, now);
        }
    }
    if (survey.best_is_suspect && survey.any_sound) {
        survey.best = NULL; /* a sound one is full: it is waited for */
    }
    return survey;
}

/* ---- replies ---- */

static void reply(cw_slot_broker_t *broker, const slot_lease_t *lease, cw_slot_outcome_t outcome,
                  cw_time_us_t free_after)
{
    cw_slot_reply_t message = {.node = lease->ask.node,
                               .ticket = lease->ask.ticket,
                               .outcome = outcome,
                               .server = lease->server,
                               .free_after = free_after};

    broker->replied(broker->context, &message);
}

static void grant(cw_slot_broker_t *broker, slot_lease_t *lease, slot_server_t *state, cw_time_us_t now)
{
    const cw_server_t *server = cw_server_pool_find_hash(broker->pool, state->hash);

    if (server != NULL) {
        note_cold(server, state, now);
    }
    state->granted++;
    lease->server = state->hash;
    lease->granted_at = now;
    lease->ends_at = now + lease->ask.lease;
    DL_APPEND(broker->granted, lease);
    broker->granted_count++;
    reply(broker, lease, CW_SLOT_GRANTED, 0);
}

static void refuse(cw_slot_broker_t *broker, slot_lease_t *lease, cw_time_us_t free_after)
{
    reply(broker, lease, CW_SLOT_REFUSED, free_after);
    drop_lease(broker, lease);
}

/* ---- the queue ---- */

static int compare_leases(const slot_lease_t *left, const slot_lease_t *right)
{
    if (left->ask.priority != right->ask.priority) {
        return left->ask.priority < right->ask.priority ? -1 : 1;
    }
    return left->objective_at < right->objective_at ? -1 : left->objective_at > right->objective_at;
}

static bool competes(const slot_lease_t *waiting, const slot_lease_t *lease)
{
    return lease->ask.server != 0 ? waiting->ask.server == lease->ask.server
                                  : waiting->ask.server == 0 && waiting->ask.service == lease->ask.service;
}

static uint32_t ahead_of(const cw_slot_broker_t *broker, const slot_lease_t *lease)
{
    const slot_lease_t *waiting;
    uint32_t            ahead = 0;

    DL_FOREACH(broker->queue, waiting)
    {
        if (compare_leases(waiting, lease) > 0) {
            break;
        }
        ahead += competes(waiting, lease) ? 1 : 0;
    }
    return ahead;
}

/* Mean time from a grant to the answer. */
static cw_time_us_t held_mean(const survey_t *survey)
{
    return survey->sound == 0 ? 0 : (cw_time_us_t)(survey->held_sum / survey->sound);
}

static cw_time_us_t wait_for(const survey_t *survey, uint32_t ahead)
{
    return survey->per_s > 0 ? (cw_time_us_t)((ahead + 1) * 1e6 / survey->per_s) : INT64_MAX / 2;
}

static void take_ask(cw_slot_broker_t *broker, slot_lease_t *lease, cw_time_us_t now)
{
    survey_t     survey = survey_servers(broker, lease, now);
    uint32_t     ahead = ahead_of(broker, lease);
    cw_time_us_t wait = wait_for(&survey, ahead);

    if (survey.best != NULL && ahead == 0) {
        grant(broker, lease, survey.best, now);
        return;
    }
    if (!survey.any || wait > lease->ask.wait_most || wait + held_mean(&survey) > lease->ask.objective) {
        refuse(broker, lease, survey.any ? wait : 0);
        return;
    }
    DL_INSERT_INORDER(broker->queue, lease, compare_leases);
    broker->waiting++;
    reply(broker, lease, CW_SLOT_QUEUED, 0);
}

static uint64_t key_of(uint32_t node, uint32_t ticket)
{
    return (uint64_t)node << 32 | ticket;
}

static slot_lease_t *find_lease(cw_slot_broker_t *broker, uint64_t key)
{
    slot_lease_t *lease;

    HASH_FIND(hh, broker->leases, &key, sizeof(key), lease);
    return lease;
}

void cw_slot_broker_ask(cw_slot_broker_t *broker, const cw_slot_ask_t *ask, cw_time_us_t usual, cw_time_us_t now)
{
    slot_lease_t *lease = find_lease(broker, key_of(ask->node, ask->ticket));

    if (lease != NULL) { /* asked again, since the reply did not arrive */
        reply(broker, lease, lease->granted_at != 0 ? CW_SLOT_GRANTED : CW_SLOT_QUEUED, 0);
        return;
    }
    lease = calloc(1, sizeof(*lease));
    if (lease == NULL) {
        abort();
    }
    lease->key = key_of(ask->node, ask->ticket);
    lease->ask = *ask;
    lease->usual = usual;
    lease->objective_at = now + ask->objective;
    HASH_ADD(hh, broker->leases, key, sizeof(lease->key), lease);
    take_ask(broker, lease, now);
}

static void leave_queue(cw_slot_broker_t *broker, slot_lease_t *lease)
{
    DL_DELETE(broker->queue, lease);
    broker->waiting--;
}

/* A slot of this server is free: the first in order that wants it gets it. */
static void offer(cw_slot_broker_t *broker, slot_server_t *state, cw_time_us_t now)
{
    const cw_server_t *server = cw_server_pool_find_hash(broker->pool, state->hash);
    slot_lease_t      *lease;
    slot_lease_t      *next;

    if (server == NULL) {
        return;
    }
    DL_FOREACH_SAFE(broker->queue, lease, next)
    {
        if (!has_slot(server, state, now)) {
            return;
        }
        if (is_wanted(&lease->ask, server) && is_usable(broker, server, lease->ask.server != 0, now)) {
            leave_queue(broker, lease);
            grant(broker, lease, state, now);
        }
    }
}

/* ---- slots given back ---- */

static void note_held(slot_server_t *state, cw_time_us_t held)
{
    state->held = state->held == 0 ? held : state->held + (held - state->held) / HELD_WEIGHT_PART;
}

static void note_load(slot_server_t *state, const cw_server_load_t *load, cw_time_us_t now)
{
    uint32_t all = load->running + load->waiting;

    state->outside = all > state->granted ? all - state->granted : 0;
    state->outside_at = now;
    state->work_percent = load->work_percent;
    state->work_at = now;
}

static void note_end(cw_slot_broker_t *broker, const slot_lease_t *lease, const cw_slot_return_t *returned,
                     slot_server_t *state, cw_time_us_t now)
{
    cw_server_t *server = (cw_server_t *)cw_server_pool_find_hash(broker->pool, lease->server);

    if (returned->end == CW_SLOT_ANSWERED) {
        note_held(state, now - lease->granted_at);
    }
    if (returned->load != NULL) {
        note_load(state, returned->load, now);
    }
    if (server != NULL && returned->end == CW_SLOT_FAILED) {
        cw_server_pool_fault(server, now);
    } else if (server != NULL && returned->end == CW_SLOT_ANSWERED) {
        cw_server_pool_sound(server);
    }
}

static void end_grant(cw_slot_broker_t *broker, slot_lease_t *lease)
{
    slot_server_t *state = state_of(broker, lease->server);

    state->granted--;
    DL_DELETE(broker->granted, lease);
    broker->granted_count--;
}

void cw_slot_broker_return(cw_slot_broker_t *broker, const cw_slot_return_t *returned, cw_time_us_t now)
{
    slot_lease_t  *lease = find_lease(broker, key_of(returned->node, returned->ticket));
    slot_server_t *state;

    if (lease == NULL) {
        return;
    }
    if (lease->granted_at == 0) {
        leave_queue(broker, lease);
        drop_lease(broker, lease);
        return;
    }
    state = state_of(broker, lease->server);
    end_grant(broker, lease);
    note_end(broker, lease, returned, state, now);
    drop_lease(broker, lease);
    offer(broker, state, now);
}

/* What waits and can no longer be answered in time is refused; what a slot is free for now, though none was given back
 * (a server came, a lease ended, a load sample is old), is granted. */
static void look_again(cw_slot_broker_t *broker, slot_lease_t *lease, cw_time_us_t now)
{
    survey_t survey = survey_servers(broker, lease, now);

    if (!survey.any || now + held_mean(&survey) > lease->objective_at) {
        leave_queue(broker, lease);
        refuse(broker, lease, survey.any ? wait_for(&survey, ahead_of(broker, lease)) : 0);
    } else if (survey.best != NULL) {
        leave_queue(broker, lease);
        grant(broker, lease, survey.best, now);
    }
}

void cw_slot_broker_tick(cw_slot_broker_t *broker, cw_time_us_t now)
{
    slot_lease_t *lease;
    slot_lease_t *next;

    DL_FOREACH_SAFE(broker->granted, lease, next)
    {
        if (now >= lease->ends_at) {
            end_grant(broker, lease);
            drop_lease(broker, lease);
        }
    }
    DL_FOREACH_SAFE(broker->queue, lease, next)
    {
        look_again(broker, lease, now);
    }
}
