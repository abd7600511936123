/**
 * @file server_choice.c
 * @brief Which server of a service a request goes to.
 */
#include <string.h>
#include <utlist.h>

#include "balance/server_pool_internal.h"

enum {
    PACE_FORGET_S = 6,
    SAMPLE_FRESH_MS = 200, /* a load sample tells of requests that take about as long */
    FAULTS_SUSPECT = 2     /* in a row: a single one may be a connection that the server had closed as idle */
};

static const double busy_weight = 0.45; /* a server with all slots taken costs so much more */
static const double cold_pace = 1.5;    /* taken on while a server has just started */

bool cw_server_is_cold(const cw_server_t *server, cw_time_us_t now)
{
    return now < server->cold_until;
}

bool cw_server_is_rate_bounded(const cw_server_t *server, cw_time_us_t now)
{
    return server->cold_per_s > 0 && cw_server_is_cold(server, now);
}

static bool shares_cold(const cw_server_pool_t *pool, const cw_server_t *server, cw_time_us_t now)
{
    return pool->cold_rate != NULL && cw_cold_rate_is_sharer(pool->cold_rate, server->hash, server->cold_per_s, now);
}

bool cw_server_zone_allows(const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    return !server->zone_is_out || (is_owner && now < server->owner_until);
}

bool cw_server_pool_may_send(const cw_server_pool_t *pool, const cw_server_t *server, bool is_owner, cw_time_us_t now)
{
    if (!cw_server_zone_allows(server, is_owner, now)) {
        return false;
    }
    if (!cw_server_is_rate_bounded(server, now)) {
        return true;
    }
    return cw_cold_sends_allowed(&server->cold_sends, now) && shares_cold(pool, server, now);
}

/* Requests of other nodes there: what they have reported, or what the server itself said a moment ago if that is more.
 */
static uint32_t others_at(const cw_server_t *server, cw_time_us_t now)
{
    bool is_fresh = server->sampled_at != 0 && now - server->sampled_at < CW_MS(SAMPLE_FRESH_MS);

    return is_fresh && server->sampled_others > server->others ? server->sampled_others : server->others;
}

bool cw_server_has_slot(const cw_server_t *server, double extra_slots, cw_time_us_t now)
{
    return server->own + others_at(server, now) < server->capacity + extra_slots;
}

static double present_pace(const cw_server_t *server, cw_time_us_t now)
{
    double pace = server->pace;

    if (now - server->pace_at > CW_SECONDS(PACE_FORGET_S) && pace > 1) {
        pace = 1 + (pace - 1) / 2; /* worth another look */
    }
    return cw_server_is_cold(server, now) && pace < cold_pace ? cold_pace : pace;
}

static double cost(const cw_server_pool_t *pool, const cw_server_t *server, const cw_choice_settings_t *settings,
                   cw_time_us_t now)
{
    double busy = (double)(server->own + others_at(server, now)) / (server->capacity == 0 ? 1 : server->capacity);
    double value = present_pace(server, now) * (1 + busy_weight * busy) + settings->affinity * server->affinity;

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

static bool is_among(const cw_server_t *server, const cw_name_set_t *regions)
{
    return regions == NULL || regions->count == 0 || cw_name_set_has(regions, server->region);
}

bool cw_server_region_allows(const cw_server_t *server, const cw_region_rule_t *rule)
{
    return is_among(server, rule->route) && is_among(server, rule->tenant);
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
    return server->faults >= FAULTS_SUSPECT;
}

/* How good a server is for a request before its cost counts. Better ones come first, and what is not good is taken only
 * where a service has nothing better at all: a server that resets each request has free slots all the time, and would
 * otherwise get all requests as soon as the others are full. */
typedef enum fitness { UNFIT, SUSPECT, FIT, FITNESSES } fitness_t;

static bool is_zone_taken(const cw_zone_filter_t *zones, const char *zone)
{
    return zones == NULL || zones->takes_zone(zones->context, zone);
}

static bool is_candidate(const cw_server_t *server, const char *service, const cw_choice_settings_t *settings)
{
    return server->listed && !server->draining && !server->ended && !server->zone_is_out &&
           strcmp(server->service, service) == 0 && cw_server_region_allows(server, &settings->regions) &&
           !(settings->stays_in_region && server->distance == CW_DISTANCE_REMOTE) &&
           is_zone_taken(settings->zones, server->zone);
}

static fitness_t fitness(const cw_server_t *server, const cw_server_t *except, cw_time_us_t now)
{
    if (server == except) {
        return UNFIT;
    }
    return cw_server_is_suspect(server) && server->avoid_until > now ? SUSPECT : FIT;
}

/* After its pause a server that failed gets one request to show that it answers again. */
static bool is_being_tried(const cw_server_t *server)
{
    return cw_server_is_suspect(server) && server->own > 0;
}

static bool has_place(const cw_server_pool_t *pool, const cw_server_t *server, const cw_choice_settings_t *settings,
                      cw_time_us_t now)
{
    return cw_server_has_slot(server, settings->extra_slots, now) && !is_being_tried(server) &&
           !cw_server_is_held_off(server, now) && cw_server_pool_may_send(pool, server, false, now);
}

cw_server_t *cw_server_pool_choose(cw_server_pool_t *pool, const char *service, const cw_choice_settings_t *settings,
                                   const cw_server_t *except, cw_time_us_t now, bool *full)
{
    cw_server_t *best[FITNESSES] = {NULL};
    double       best_cost[FITNESSES] = {0};
    bool         any[FITNESSES] = {false};
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
        if (!has_place(pool, server, settings, now)) {
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

/* Does it add to a service's speed? */
static bool is_serving(const cw_server_t *server, const char *service, cw_time_us_t now)
{
    return server->listed && !server->draining && !server->ended && server->avoid_until <= now &&
           !server->zone_is_out && !cw_server_is_rate_bounded(server, now) && !cw_server_is_limited(server, now) &&
           !cw_server_rests(server, now) && strcmp(server->service, service) == 0;
}

/* rule: NULL: none. */
static double sum_speed(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                        cw_distance_t farthest, cw_time_us_t now)
{
    cw_server_t *server;
    double       speed = 0;

    DL_FOREACH(cw_server_pool_of_service(pool, cw_server_pool_service_hash(service)), server)
    {
        if (server->distance <= farthest && is_serving(server, service, now) &&
            (rule == NULL || cw_server_region_allows(server, rule))) {
            speed += server->capacity / present_pace(server, now);
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
