/**
 * @file engine_regions.c
 * @brief What crossing a region's border costs a request, and whether it waits in its own region instead.
 */
#include "balance/crossing_cost.h"
#include "proxy/engine_internal.h"

enum {
    HEADS_BYTES = 800,      /* of a request and its answer, with what the network adds */
    ANSWER_WEIGHT_PART = 24 /* of an answer in the mean of its route, as for its time */
};

void cw_request_note_answer_bytes(cw_request_t *request, size_t bytes)
{
    double both = (double)bytes + (double)request->body_length;

    request->route_state->answer_bytes += ((double)bytes - request->route_state->answer_bytes) / ANSWER_WEIGHT_PART;
    request->service->bytes += (both - request->service->bytes) / ANSWER_WEIGHT_PART;
}

double cw_engine_crossing_share(cw_engine_t *engine, const char *name)
{
    const cw_service_state_t *service = cw_engine_service(engine, name);
    size_t                    bytes = HEADS_BYTES + (size_t)service->bytes;

    if (!cw_server_pool_has_regions(engine->pool) || service->usual <= 0) {
        return 0;
    }
    return (double)cw_crossing_cost(&engine->settings.crossing, bytes) / (double)service->usual;
}

cw_time_us_t cw_request_crossing_cost(const cw_request_t *request)
{
    size_t bytes = HEADS_BYTES + request->body_length + (size_t)request->route_state->answer_bytes;

    return cw_crossing_cost(&request->engine->settings.crossing, bytes);
}

/* Time until its turn comes at the servers of this region; they serve what waits at all nodes. */
static cw_time_us_t wait_in_region(const cw_request_t *request, cw_time_us_t now)
{
    double speed = cw_server_pool_speed_near(request->engine->pool, request->service->name, &request->regions, now);
    double waiting = cw_request_ahead(request) + 1 + request->service->queued_elsewhere;

    return speed <= 0 ? CW_CROSSING_NO_SLOT : (cw_time_us_t)(waiting * (double)request->route_state->usual / speed);
}

bool cw_request_stays_in_region(const cw_request_t *request, cw_time_us_t now)
{
    cw_crossing_input_t input = {.cost = cw_request_crossing_cost(request),
                                 .usual = request->route_state->usual,
                                 .objective_left = request->aim_at - now};

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
    const cw_server_t   *failed = request->avoid[0] == '\0' ? NULL : cw_server_pool_find(pool, request->avoid);

    choice.regions = request->regions;
    choice.stays_in_region = cw_request_stays_in_region(request, now);
    choice.remote_penalty = (double)cw_request_crossing_cost(request) / (double)(request->route_state->usual + 1);
    choice.zones = zones;
    return cw_server_pool_choose(pool, request->service->name, &choice, failed, now, full);
}
