/**
 * @file engine_regions.c
 * @brief The cost of sending a request across a region's border, and whether the request waits in its own region
 * instead.
 */
#include "balance/crossing_cost.h"
#include "proxy/engine_internal.h"

enum {
    HEADER_BYTES = 800,        /* bytes of the heads of a request and its answer, with the overhead of the network */
    ANSWER_WEIGHT_DIVISOR = 24 /* weight of an answer in its route's mean is 1/24, as for times */
};

void cw_request_record_answer_bytes(cw_request_t *request, size_t bytes)
{
    double both = (double)bytes + (double)request->body_length;

    request->route_state->answer_bytes += ((double)bytes - request->route_state->answer_bytes) / ANSWER_WEIGHT_DIVISOR;
    request->service->bytes += (both - request->service->bytes) / ANSWER_WEIGHT_DIVISOR;
}

double cw_engine_crossing_share(cw_engine_t *engine, const char *name)
{
    const cw_service_state_t *service = cw_engine_service(engine, name);
    size_t                    bytes = HEADER_BYTES + (size_t)service->bytes;

    if (!cw_server_pool_has_regions(engine->pool) || service->mean_time <= 0) {
        return 0;
    }
    return (double)cw_crossing_cost(&engine->settings.crossing, bytes) / (double)service->mean_time;
}

cw_time_us_t cw_request_crossing_cost(const cw_request_t *request)
{
    size_t bytes = HEADER_BYTES + request->body_length + (size_t)request->route_state->answer_bytes;

    return cw_crossing_cost(&request->engine->settings.crossing, bytes);
}

/* Time until the request's turn at the servers of this region; these servers also serve the requests that wait at other
 * nodes. */
static cw_time_us_t wait_in_region(const cw_request_t *request, cw_time_us_t now)
{
    double speed = cw_server_pool_speed_near(request->engine->pool, request->service->name, &request->regions, now);
    double waiting = cw_request_count_ahead(request) + 1 + request->service->queued_elsewhere;

    return speed <= 0 ? CW_CROSSING_NO_SLOT : (cw_time_us_t)(waiting * (double)request->route_state->mean_time / speed);
}

bool cw_request_stays_in_region(const cw_request_t *request, cw_time_us_t now)
{
    cw_crossing_input_t input = {.cost = cw_request_crossing_cost(request),
                                 .mean_time = request->route_state->mean_time,
                                 .objective_left = request->objective_at - now};

    if (!cw_server_pool_has_regions(request->engine->pool)) {
        return false;
    }
    input.wait = wait_in_region(request, now);
    return cw_crossing_should_wait(&input);
}

cw_server_t *cw_request_choose(const cw_request_t *request, const cw_zone_filter_t *zones, cw_time_us_t now, bool *full)
{
    cw_server_pool_t    *pool = request->engine->pool;
    cw_choice_settings_t choice = request->engine->settings.choice;
    const cw_server_t   *failed =
        request->avoided_server[0] == '\0' ? NULL : cw_server_pool_find(pool, request->avoided_server);

    choice.regions = request->regions;
    choice.stays_in_region = cw_request_stays_in_region(request, now);
    choice.remote_penalty = (double)cw_request_crossing_cost(request) / (double)(request->route_state->mean_time + 1);
    choice.zones = zones;
    return cw_server_pool_choose(pool, request->service->name, &choice, failed, now, full);
}
