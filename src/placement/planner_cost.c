/**
 * @file planner_cost.c
 * @brief Cost of load at a server.
 */
#include <math.h>
#include <string.h>

#include "placement/planner_internal.h"

static const double key_weight = 1e-7;   /* breaks ties by the number of keys held */
static const double linear_busy = 0.92;  /* busy share above which the wait is modelled as linear */
static const double pace_max = 3;        /* limits the cost of a slow server, so that not all its keys move at once */
static const double time_exponent = 1.0; /* above 1, long times count more, since they miss the latency objective */

/* Mean time of a request at this rate, in usual response times: the server's pace and the wait for a slot. */
static double time_at(const cw_planner_server_t *server, double per_s)
{
    double slots = server->entry->capacity == 0 ? 1 : server->entry->capacity;
    double busy = per_s * server->cost_s;
    double bounded = busy > linear_busy ? linear_busy : busy;
    double wait = pow(bounded, sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded)); /* Sakasegawa's M/M/c */

    if (busy > linear_busy) {
        wait += (busy - linear_busy) * 20;
    }
    return pow((server->pace > pace_max ? pace_max : server->pace) * (1 + wait), time_exponent);
}

double cw_planner_total_cost(const cw_planner_server_t *server, double per_s)
{
    return per_s <= 0 ? 0 : per_s * time_at(server, per_s);
}

void cw_planner_update_marginal(cw_planner_server_t *server)
{
    const double step = 0.5;

    server->marginal =
        (cw_planner_total_cost(server, server->per_s + step) - cw_planner_total_cost(server, server->per_s)) / step;
}

double cw_planner_rank(const cw_planner_server_t *server)
{
    return server->marginal + key_weight * server->keys;
}

cw_planner_server_t *cw_planner_least_busy(const cw_planner_t *planner, const char *except)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->usable && (best == NULL || cw_planner_rank(server) < cw_planner_rank(best)) &&
            strcmp(server->entry->id, except) != 0) {
            best = server;
        }
    }
    return best;
}

double cw_planner_fastest_cost(const cw_planner_t *planner)
{
    double fastest = 0;
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        const cw_planner_server_t *server = &planner->servers[index];

        if (server->usable && (fastest == 0 || server->cost_s < fastest)) {
            fastest = server->cost_s;
        }
    }
    return fastest;
}
