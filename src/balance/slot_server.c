/**
 * @file slot_server.c
 * @brief The slot broker's state of one server: free slots, cost and load.
 */
#include "balance/slot_server.h"

enum {
    OUTSIDE_FRESH_MS = 300,  /* validity of a load sample's count of requests that this broker did not grant */
    WORK_FRESH_MS = 400,     /* validity of a load sample's processing time, which changes many times a second */
    HELD_WEIGHT_DIVISOR = 8, /* a new holding time has a weight of 1/8 in the server's mean */
    REQUESTS_PER_SLOT = 2,   /* one is processed and one waits at the server; otherwise the slot would be idle until
                              * the next request arrives. Measurements: docs/design/shifted-work.md */
    PERCENT = 100,
    COLD_WINDOW_MS = 1100,  /* one second, plus the differences in network delay to the server */
    WORK_PERCENT_MAX = 1000 /* upper limit of the processing time in a sample; a slower server costs no more */
};

/* as in server_choice.c: additional cost factor of a server with all slots in use */
static const double busy_weight = 0.45;

static const double cold_factor = 2; /* a cold server takes about twice as long to answer */

static uint32_t requests_at_server(const cw_slot_server_t *state, cw_time_us_t now)
{
    bool is_fresh = state->outside_at != 0 && now - state->outside_at < CW_MS(OUTSIDE_FRESH_MS);

    return state->granted + (is_fresh ? state->outside : 0);
}

/* Requests that this broker grants to a cold server in any second: as many as it can handle. The rate at
 * which it fails is more than twice that, so it is not reached if two nodes act as the zone's broker for a moment. */
static uint32_t cold_grants_per_s(const cw_server_t *server)
{
    return server->cold_per_s >= CW_COLD_GRANTS_MAX ? CW_COLD_GRANTS_MAX : (uint32_t)server->cold_per_s;
}

static bool cold_rate_allows(const cw_server_t *server, const cw_slot_server_t *state, cw_time_us_t now)
{
    uint32_t     share = cold_grants_per_s(server);
    cw_time_us_t oldest;

    if (!cw_server_is_rate_bounded(server, now)) {
        return true;
    }
    if (share == 0) {
        return false;
    }
    oldest = state->cold_grants[(state->next_cold + CW_COLD_GRANTS_MAX - share) % CW_COLD_GRANTS_MAX];
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

void cw_slot_server_record_grant(cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now)
{
    state->granted++;
    if (server != NULL && cw_server_is_rate_bounded(server, now)) {
        state->cold_grants[state->next_cold] = now;
        state->next_cold = (state->next_cold + 1) % CW_COLD_GRANTS_MAX;
    }
    if (server != NULL && cw_server_limit_binds(&server->limit, now)) {
        cw_limit_bucket_take(&state->limit_bucket);
    }
}

bool cw_slot_server_has_slot(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now)
{
    return requests_at_server(state, now) < server->capacity * REQUESTS_PER_SLOT &&
           cold_rate_allows(server, state, now) && limit_allows(state, server, now) &&
           !(cw_server_is_suspect(server) && state->granted > 0);
}

cw_time_us_t cw_slot_server_held(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t mean_time)
{
    return state->held != 0 ? state->held : (cw_time_us_t)((double)mean_time * server->pace);
}

/* Present processing time relative to the normal one, by a recent load sample; 1: not known. */
static double work_factor(const cw_slot_server_t *state, cw_time_us_t now)
{
    bool     is_fresh = state->work_at != 0 && now - state->work_at < CW_MS(WORK_FRESH_MS);
    uint32_t percent = state->work_percent > WORK_PERCENT_MAX ? WORK_PERCENT_MAX : state->work_percent;

    return is_fresh && percent != 0 ? (double)percent / PERCENT : 1;
}

double cw_slot_server_cost(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t mean_time,
                           cw_time_us_t now)
{
    double busy = (double)requests_at_server(state, now) / (server->capacity == 0 ? 1 : server->capacity);

    return (double)cw_slot_server_held(state, server, mean_time) * work_factor(state, now) * (1 + busy_weight * busy) *
           (cw_server_is_cold(server, now) ? cold_factor : 1);
}

void cw_slot_server_record_held(cw_slot_server_t *state, cw_time_us_t held)
{
    state->held = state->held == 0 ? held : state->held + (held - state->held) / HELD_WEIGHT_DIVISOR;
}

void cw_slot_server_record_load(cw_slot_server_t *state, const cw_server_load_t *load, cw_time_us_t now)
{
    uint32_t all = load->running + load->waiting;

    state->outside = all > state->granted ? all - state->granted : 0;
    state->outside_at = now;
    state->work_percent = load->work_percent;
    state->work_at = now;
}
