/**
 * @file slot_server.c
 * @brief One server, as the node that hands out its slots knows it.
 */
#include "balance/slot_server.h"

enum {
    OUTSIDE_FRESH_MS = 300, /* so long a load sample tells of requests that were not granted here */
    WORK_FRESH_MS = 400,    /* and of how long work takes there: it changes many times a second */
    HELD_WEIGHT_PART = 8,   /* of a slot's time in the mean of its server */
    REQUESTS_A_SLOT = 2,    /* one runs, one waits at the server: else its slot rests until the next one has come.
                             * Measured: docs/design/shifted-work.md */
    PERCENT = 100,
    COLD_WINDOW_MS = 1100,   /* the bound's second, and what the ways to the server differ by */
    WORK_MOST_PERCENT = 1000 /* beyond it a server in trouble looks no worse */
};

static const double busy_weight = 0.45; /* as in server_choice.c: a server with all slots taken costs so much more */

static const double cold_factor = 2; /* a cold server takes about twice as long */

static uint32_t taken(const cw_slot_server_t *state, cw_time_us_t now)
{
    bool is_fresh = state->outside_at != 0 && now - state->outside_at < CW_MS(OUTSIDE_FRESH_MS);

    return state->granted + (is_fresh ? state->outside : 0);
}

/* Requests in any second that a cold server is given here: what it bears. Its bound is more than twice that, so it
 * holds if two nodes count for the zone for a moment. */
static uint32_t cold_share(const cw_server_t *server)
{
    return server->cold_per_s >= CW_COLD_GRANTS_MOST ? CW_COLD_GRANTS_MOST : (uint32_t)server->cold_per_s;
}

static bool cold_allows(const cw_server_t *server, const cw_slot_server_t *state, cw_time_us_t now)
{
    uint32_t     share = cold_share(server);
    cw_time_us_t oldest;

    if (!cw_server_is_rate_bounded(server, now)) {
        return true;
    }
    if (share == 0) {
        return false;
    }
    oldest = state->cold_grants[(state->next_cold + CW_COLD_GRANTS_MOST - share) % CW_COLD_GRANTS_MOST];
    return oldest == 0 || now - oldest >= CW_MS(COLD_WINDOW_MS);
}

void cw_slot_server_refill(cw_slot_server_t *state, const cw_server_t *server, double share, cw_time_us_t now)
{
    if (cw_server_limit_binds(&server->limit, now)) {
        cw_limit_bucket_refill(&state->limit_bucket, cw_server_limit_rate(&server->limit) * share, now);
    } else {
        state->limit_bucket = (cw_limit_bucket_t){0};
    }
}

static bool limit_allows(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now)
{
    return !cw_server_limit_binds(&server->limit, now) || cw_limit_bucket_has_token(&state->limit_bucket);
}

cw_time_us_t cw_slot_server_limit_wait(const cw_slot_server_t *state, const cw_server_t *server, double share,
                                       uint32_t ahead, cw_time_us_t now)
{
    if (!cw_server_limit_binds(&server->limit, now)) {
        return 0;
    }
    return cw_limit_bucket_wait(&state->limit_bucket, cw_server_limit_rate(&server->limit) * share, ahead);
}

void cw_slot_server_note_grant(cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now)
{
    state->granted++;
    if (server != NULL && cw_server_is_rate_bounded(server, now)) {
        state->cold_grants[state->next_cold] = now;
        state->next_cold = (state->next_cold + 1) % CW_COLD_GRANTS_MOST;
    }
    if (server != NULL && cw_server_limit_binds(&server->limit, now)) {
        cw_limit_bucket_take(&state->limit_bucket);
    }
}

bool cw_slot_server_has_slot(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now)
{
    return taken(state, now) < server->capacity * REQUESTS_A_SLOT && cold_allows(server, state, now) &&
           limit_allows(state, server, now) && !(cw_server_is_suspect(server) && state->granted > 0);
}

cw_time_us_t cw_slot_server_held(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t usual)
{
    return state->held != 0 ? state->held : (cw_time_us_t)((double)usual * server->pace);
}

/* How long work takes there now against what is usual, as far as a sample tells. */
static double work_factor(const cw_slot_server_t *state, cw_time_us_t now)
{
    bool     is_fresh = state->work_at != 0 && now - state->work_at < CW_MS(WORK_FRESH_MS);
    uint32_t percent = state->work_percent > WORK_MOST_PERCENT ? WORK_MOST_PERCENT : state->work_percent;

    return is_fresh && percent != 0 ? (double)percent / PERCENT : 1;
}

double cw_slot_server_cost(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t usual,
                           cw_time_us_t now)
{
    double busy = (double)taken(state, now) / (server->capacity == 0 ? 1 : server->capacity);

    return (double)cw_slot_server_held(state, server, usual) * work_factor(state, now) * (1 + busy_weight * busy) *
           (cw_server_is_cold(server, now) ? cold_factor : 1);
}

void cw_slot_server_note_held(cw_slot_server_t *state, cw_time_us_t held)
{
    state->held = state->held == 0 ? held : state->held + (held - state->held) / HELD_WEIGHT_PART;
}

void cw_slot_server_note_load(cw_slot_server_t *state, const cw_server_load_t *load, cw_time_us_t now)
{
    uint32_t all = load->running + load->waiting;

    state->outside = all > state->granted ? all - state->granted : 0;
    state->outside_at = now;
    state->work_percent = load->work_percent;
    state->work_at = now;
}
