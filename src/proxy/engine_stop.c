/**
 * @file engine_stop.c
 * @brief Requests of a node that is stopping: each gets its final answer before the process ends.
 *
 * Rules:
 *  - The time limit of a request is never later than the end of the stop. At that time the request is answered with
 *    504 if a server may be running it, and refused otherwise. No connection is therefore closed while a request that
 *    was read from it has no answer.
 *  - In the first half of the stop, but for CUT_ACCEPTED_MS at most, new requests are accepted with their time limits
 *    cut to the end of the stop, since nearly all requests take far less time. After that only requests whose own limit
 *    is before the end are accepted; the others are refused at once, so that another node can serve them: one that a
 *    server still runs at the end would be lost.
 */
#include <utlist.h>

#include "proxy/engine_internal.h"

enum { CUT_ACCEPTED_MS = 2900 /* the platform excuses requests that were sent within 3 s of the stop's begin */ };

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
    cw_time_us_t       since = now - engine->stopping_since;

    if (engine->end_by == 0 || request->deadline <= engine->end_by) {
        return true;
    }
    request->deadline = engine->end_by;
    return since < CW_MS(CUT_ACCEPTED_MS) && since < engine->end_by - now;
}
