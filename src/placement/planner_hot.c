/**
 * @file planner_hot.c
 * @brief Hot keys: what one key is asked for cannot be divided.
 *
 * A key is hot when it keeps a good part of the fastest server busy by itself, even if its rate is overestimated by
 * chance. It gets one of the fastest servers, the one that has least besides, as a range of its own, and stays there:
 * balance does not move it, but what else its server has. Its server looks slower the busier it is, so it is moved
 * again only when that server is far slower than the fastest one.
 */
#include <string.h>

#include "placement/planner_internal.h"

static const double hot_busy = 0.5;  /* a key that keeps so much of the fastest server busy by itself is hot */
static const double as_fast = 1.2;   /* servers whose requests take up to so much longer are equally good for it, */
static const double stay_fast = 3.0; /* and it stays on one up to there: a busy server is slower than an idle one */

bool cw_planner_is_hot(const cw_planner_t *planner, const cw_key_load_t *load)
{
    double surely = load->per_s - planner->settings->errors * cw_load_error(load->per_s);

    return surely * planner->fastest_cost >= hot_busy;
}

/* What the server has besides this key, as a share of its slots. */
static double busy_besides(const cw_planner_server_t *server, const cw_planner_server_t *owner, double per_s)
{
    return (server->per_s - (server == owner ? per_s : 0)) * server->cost_s;
}

/* A share of slots, and far above one if its requests may not go there. */
static double cost_of_hot(const cw_planner_t *planner, const cw_planner_server_t *server,
                          const cw_planner_server_t *owner, const cw_key_load_t *load)
{
    const cw_planner_piece_t piece = {load->key, load->key, load->per_s};

    return busy_besides(server, owner, load->per_s) + cw_planner_region_cost(planner, &piece, server);
}

static cw_planner_server_t *best_for_hot(const cw_planner_t *planner, cw_planner_server_t *owner,
                                         const cw_key_load_t *load)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->usable && server->cost_s <= planner->fastest_cost * as_fast &&
            (best == NULL || cost_of_hot(planner, server, owner, load) < cost_of_hot(planner, best, owner, load))) {
            best = server;
        }
    }
    return best;
}

static void place_hot(cw_planner_t *planner, const cw_key_load_t *load)
{
    const cw_range_t    *range = cw_range_list_find(&planner->ranges, load->key);
    cw_planner_server_t *owner = cw_planner_server_of(planner, range->owner.id);
    bool                 is_alone = range->low == range->last;
    cw_planner_server_t *best;
    cw_planner_piece_t   piece = {load->key, load->key, load->per_s};

    if (!cw_assigner_is_settled(planner->assigner, range, planner->now) ||
        (is_alone && (owner == NULL || owner->cost_s <= planner->fastest_cost * stay_fast ||
                      planner->now - range->moved_at <= planner->settings->rest))) {
        return;
    }
    best = best_for_hot(planner, owner, load);
    if (best != NULL && best != owner) {
        cw_planner_move(planner, &piece, owner, best);
    }
}

void cw_planner_place_hot_keys(cw_planner_t *planner)
{
    size_t index;

    for (index = 0; index < planner->load_count; index++) {
        if (cw_planner_is_hot(planner, &planner->loads[index])) {
            place_hot(planner, &planner->loads[index]);
        }
    }
}
