/**
 * @file planner_hot.c
 * @brief Places hot keys: the load of a single key cannot be divided among servers.
 *
 * A key is hot if its load alone takes a large share of the fastest server, even if random variation has raised its
 * measured rate. It becomes a range of its own on the one of the fastest servers with the least other load, and stays
 * there: balance moves the server's other keys instead. A server appears slower the busier it is, so a hot key is moved
 * again only if its server is far slower than the fastest one.
 */
#include <string.h>

#include "placement/planner_internal.h"

static const double hot_busy = 0.5;    /* share of the fastest server's slots from which a key is hot */
static const double fast_factor = 1.2; /* servers up to this multiple of the fastest one's cost are equally suitable */
/* A hot key stays at a server up to this multiple of the fastest one's cost, since a busy server is slower than an idle
 * one. */
static const double stay_factor = 3.0;

bool cw_planner_is_hot(const cw_planner_t *planner, const cw_key_load_t *load)
{
    double certain_per_s = load->per_s - planner->settings->errors * cw_load_error(load->per_s);

    return certain_per_s * planner->fastest_cost >= hot_busy;
}

/* Load of the server without this key, as a share of its slots. */
static double other_load(const cw_planner_server_t *server, const cw_planner_server_t *owner, double per_s)
{
    return (server->per_s - (server == owner ? per_s : 0)) * server->cost_s;
}

/* Cost of placing a hot key at a server: a share of slots, and far above 1 if the key's requests must not be sent
 * there.
 */
static double hot_key_cost(const cw_planner_t *planner, const cw_planner_server_t *server,
                           const cw_planner_server_t *owner, const cw_key_load_t *load)
{
    const cw_planner_piece_t piece = {load->key, load->key, load->per_s};

    return other_load(server, owner, load->per_s) + cw_planner_region_cost(planner, &piece, server);
}

static cw_planner_server_t *best_server_for_hot_key(const cw_planner_t *planner, cw_planner_server_t *owner,
                                                    const cw_key_load_t *load)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->usable && server->cost_s <= planner->fastest_cost * fast_factor &&
            (best == NULL || hot_key_cost(planner, server, owner, load) < hot_key_cost(planner, best, owner, load))) {
            best = server;
        }
    }
    return best;
}

static void place_hot_key(cw_planner_t *planner, const cw_key_load_t *load)
{
    const cw_range_t    *range = cw_range_list_find(&planner->ranges, load->key);
    cw_planner_server_t *owner = cw_planner_server_of(planner, range->owner.id);
    bool                 is_alone = range->low == range->last;
    cw_planner_server_t *best;
    cw_planner_piece_t   piece = {load->key, load->key, load->per_s};

    if (!cw_assigner_is_settled(planner->assigner, range, planner->now) ||
        (is_alone && (owner == NULL || owner->cost_s <= planner->fastest_cost * stay_factor ||
                      planner->now - range->moved_at <= planner->settings->min_stay))) {
        return;
    }
    best = best_server_for_hot_key(planner, owner, load);
    if (best != NULL && best != owner) {
        cw_planner_move(planner, &piece, owner, best);
    }
}

void cw_planner_place_hot_keys(cw_planner_t *planner)
{
    size_t index;

    for (index = 0; index < planner->load_count; index++) {
        if (cw_planner_is_hot(planner, &planner->loads[index])) {
            place_hot_key(planner, &planner->loads[index]);
        }
    }
}
