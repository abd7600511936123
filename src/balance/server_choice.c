/**
 * @file server_choice.c
 * @brief Chooses the server of a service for a request.
 */
#include <string.h>
#include <utlist.h>

#include "balance/server_pool_internal.h"

enum {
    PACE_EXPIRY_S = 6,    /* a pace above 1 counts half its excess when not measured for so long */
    SAMPLE_FRESH_MS = 200 /* validity of a load sample: the requests it counts take about as long */
};

static const double busy_weight = 0.45;  /* additional cost factor of a server with all slots in use */
static const double min_cold_pace = 1.5; /* least pace assumed for a cold server */

bool cw_server_is_cold(const cw_server_t *server, cw_time_us_t now)
{
    return now < server->cold_until;
}

bool cw_server_is_rate_bounded(const cw_server_t *server, cw_time_us_t now)
{
    return server->cold_per_s > 0 && cw_server_is_cold(server, now);
}

static bool is_cold_sharer(const cw_server_pool_t *pool, const cw_server_t *server, cw_time_us_t now)
{
    return pool->cold_rate != NULL && cw_cold_rate_is_sharer(pool->cold_rate, server->hash, server->cold_per_s, now);
}

bool cw_server_zone_allows(const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    return !server->zone_is_out || (is_owner && now < server->zone_out_owner_until);
}

bool cw_server_pool_may_send(const cw_server_pool_t *pool, const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    if (!cw_server_zone_allows(server, is_owner, now)) {
        return false;
    }
    if (!cw_server_is_rate_bounded(server, now)) {
        return true;
    }
    return cw_cold_sends_allowed(&server->cold_sends, now) && is_cold_sharer(pool, server, now);
}

/* Requests of other nodes at the server: as reported by them, or by a recent load sample of the server if that is more.
 */
static uint32_t requests_of_others(const cw_server_t *server, cw_time_us_t now)
{
    bool is_fresh = server->sampled_at != 0 && now - server->sampled_at < CW_MS(SAMPLE_FRESH_MS);

    return is_fresh && server->sampled_others > server->others ? server->sampled_others : server->others;
}

bool cw_server_has_slot(const cw_server_t *server, double extra_slots, cw_time_us_t now)
{
    return server->own + requests_of_others(server, now) < server->capacity + extra_slots;
}

static double current_pace(const cw_server_t *server, cw_time_us_t now)
{
    double pace = server->pace;

    if (now - server->pace_at > CW_SECONDS(PACE_EXPIRY_S) && pace > 1) {
        pace = 1 + (pace - 1) / 2; /* so that the server gets requests again and is measured */
    }
    return cw_server_is_cold(server, now) && pace < min_cold_pace ? min_cold_pace : pace;
}

static double cost(const cw_server_pool_t *pool, const cw_server_t *server, const cw_choice_settings_t *settings,
                   cw_time_us_t now)
{
    double busy =
        (double)(server->own + requests_of_others(server, now)) / (server->capacity == 0 ? 1 : server->capacity);
    double value = current_pace(server, now) * (1 + busy_weight * busy) + settings->affinity * server->affinity;

    if (strcmp(server->zone, pool->zone) != 0) {
        value += settings->zone_penalty;
    }
    if (server->distance == CW_DISTANCE_REMOTE) {
        value += settings->remote_penalty;
    }
    if (server->avoid_until > now) {
        value += 1000;
    }
    return value;
}

static bool is_in_regions(const cw_server_t *server, const cw_name_set_t *regions)
{
    return regions == NULL || regions->count == 0 || cw_name_set_has(regions, server->region);
}

bool cw_server_region_allows(const cw_server_t *server, const cw_region_rule_t *rule)
{
    return is_in_regions(server, rule->route) && is_in_regions(server, rule->tenant);
}

bool cw_server_pool_has_server(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule)
{
    cw_server_t *server;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (server->listed && !server->draining && strcmp(server->service, service) == 0 &&
            cw_server_region_allows(server, rule)) {
            return true;
        }
    }
    return false;
}

bool cw_server_is_suspect(const cw_server_t *server)
{
    return server->faults >= CW_SUSPECT_FAULTS;
}

/* Class of a server, which takes precedence over its cost. A server of a lower class is chosen only if the service has
 * none of a higher class, full or not: a server that resets each request always has free slots, and would otherwise get
 * all requests as soon as the others are full. UNFIT: it has failed this request. SUSPECT: it failed repeatedly and is
 * avoided for now. */
typedef enum fitness { UNFIT, SUSPECT, FIT, FITNESS_COUNT } fitness_t;

static bool is_zone_allowed(const cw_zone_filter_t *zones, const char *zone)
{
    return zones == NULL || zones->allows_zone(zones->context, zone);
}

static bool is_candidate(const cw_server_t *server, const char *service, const cw_choice_settings_t *settings)
{
    return server->listed && !server->draining && !server->ended && !server->zone_is_out &&
           strcmp(server->service, service) == 0 && cw_server_region_allows(server, &settings->regions) &&
           !(settings->stays_in_region && server->distance == CW_DISTANCE_REMOTE) &&
           is_zone_allowed(settings->zones, server->zone);
}

static fitness_t fitness(const cw_server_t *server, const cw_server_t *except, cw_time_us_t now)
{
    if (server == except) {
        return UNFIT;
    }
    return cw_server_is_suspect(server) && server->avoid_until > now ? SUSPECT : FIT;
}

/* After the time for which it was avoided, a server that failed repeatedly gets one request at a time until one is
 * answered. */
static bool has_probe_in_flight(const cw_server_t *server)
{
    return cw_server_is_suspect(server) && server->own > 0;
}

static bool can_take_request(const cw_server_pool_t *pool, const cw_server_t *server,
                             const cw_choice_settings_t *settings, cw_time_us_t now)
{
    return cw_server_has_slot(server, settings->extra_slots, now) && !has_probe_in_flight(server) &&
           !cw_server_is_held_off(server, now) && cw_server_pool_may_send(pool, server, false, now);
}

cw_server_t *cw_server_pool_choose(cw_server_pool_t *pool, const char *service, const cw_choice_settings_t *settings,
                                   const cw_server_t *except, cw_time_us_t now, bool *full)
{
    cw_server_t *best[FITNESS_COUNT] = {NULL};
    double       best_cost[FITNESS_COUNT] = {0};
    bool         any[FITNESS_COUNT] = {false};
    cw_server_t *server;
    int          level = FIT;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        fitness_t group;
        double    value;

        if (!is_candidate(server, service, settings)) {
            continue;
        }
        group = fitness(server, except, now);
        any[group] = true;
        if (!can_take_request(pool, server, settings, now)) {
            continue;
        }
        value = cost(pool, server, settings, now);
        if (best[group] == NULL || value < best_cost[group]) {
            best[group] = server;
            best_cost[group] = value;
        }
    }
    while (level > UNFIT && !any[level]) {
        level--;
    }
    *full = any[level] && best[level] == NULL;
    return best[level];
}

/* True if the server counts for its service's speed. */
static bool adds_speed(const cw_server_t *server, const char *service, cw_time_us_t now)
{
    return server->listed && !server->draining && !server->ended && server->avoid_until <= now &&
           !server->zone_is_out && !cw_server_is_rate_bounded(server, now) && !cw_server_is_limited(server, now) &&
           !cw_server_rests(server, now) && strcmp(server->service, service) == 0;
}

/* rule: NULL if there is none. */
static double sum_speed(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                        cw_distance_t farthest, cw_time_us_t now)
{
    cw_server_t *server;
    double       speed = 0;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (server->distance <= farthest && adds_speed(server, service, now) &&
            (rule == NULL || cw_server_region_allows(server, rule))) {
            speed += server->capacity / current_pace(server, now);
        }
    }
    return speed;
}

double cw_server_pool_speed(cw_server_pool_t *pool, const char *service, cw_time_us_t now)
{
    return sum_speed(pool, service, NULL, CW_DISTANCE_REMOTE, now);
}

double cw_server_pool_speed_under(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                  cw_time_us_t now)
{
    return sum_speed(pool, service, rule, CW_DISTANCE_REMOTE, now);
}

double cw_server_pool_speed_near(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                 cw_time_us_t now)
{
    return sum_speed(pool, service, rule, CW_DISTANCE_REGION, now);
}

uint32_t cw_server_pool_in_flight(cw_server_pool_t *pool, const char *service)
{
    cw_server_t *server;
    uint32_t     sum = 0;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (server->listed && strcmp(server->service, service) == 0) {
            sum += server->own + server->others;
        }
    }
    return sum;
}
