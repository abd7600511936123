/**
 * @file engine_stop.c
 * @brief Requests of a node that is stopping: each has its final answer before the process ends.
 *
 * Rules:
 *  - A request's time limit is never later than the end of the stop: there it gets 504 if a server may be at work on
 * it, and else a refusal. So no connection closes under a request that was read.
 *  - In the first half of the stop new requests are taken, with their limits cut so: nearly all of them last far
 * shorter. Later only those are taken that end by their own limit. The others are refused at once, for another node to
 * serve.
 */
#include <utlist.h>

#include "proxy/engine_internal.h"

void cw_engine_stop(cw_engine_t *engine, cw_time_us_t end_by)
{
    cw_request_t *request;
    cw_request_t *next;

    engine->stopping_since = cw_engine_now(engine);
    engine->end_by = end_by;
    DL_FOREACH_SAFE2(engine->open, request, next, newer)
    {
        if (request->deadline > end_by) {
            request->deadline = end_by;
            cw_request_arm(request);
        }
    }
}

bool cw_request_fits_stop(cw_request_t *request, cw_time_us_t now)
{
    const cw_engine_t *engine = request->engine;

    if (engine->end_by == 0 || request->deadline <= engine->end_by) {
        return true;
    }
    request->deadline = engine->end_by;
    return now - engine->stopping_since < engine->end_by - now;
}
