/**
 * @file planner_balance.c
 * @brief Balance: moves pieces of ranges from the server with the highest marginal cost to the one with the lowest.
 */
#include <stdlib.h>
#include <string.h>

#include "placement/planner_internal.h"

enum { SERVERS_PER_MOVE = 3 /* servers for each additional move that a plan may have */ };

static const double piece_load_max = 1.5; /* greatest load of a piece, as a multiple of the wanted load */
static const double spare_busy = 0.7;     /* busy share up to which a single move may load a server */
static const double spare_mean_factor =
    1.2; /* the same, as a multiple of the servers' mean; the higher limit applies */

/* Returns the shortest piece at one end of a range with at least the wanted load. */
static cw_planner_piece_t end_piece(const cw_planner_t *planner, const cw_range_t *range, double wanted,
                                    bool at_low_end)
{
    cw_planner_piece_t piece = {range->low, range->last, 0};
    size_t             first = cw_key_loads_first(planner->loads, planner->load_count, range->low);
    size_t             end = cw_key_loads_first(planner->loads, planner->load_count, range->last + 1);
    size_t             step;

    for (step = 0; step < end - first; step++) {
        const cw_key_load_t *load = &planner->loads[at_low_end ? first + step : end - 1 - step];

        if (cw_planner_is_hot(planner, load) ||
            (piece.per_s > 0 && piece.per_s + load->per_s > wanted * piece_load_max)) {
            break;
        }
        piece.per_s += load->per_s;
        if (at_low_end) {
            piece.last = load->key;
        } else {
            piece.low = load->key;
        }
        if (piece.per_s >= wanted) {
            break;
        }
    }
    return piece;
}

/* Returns the whole range as a piece, with a load of 0 if its load is far above the wanted one. */
static cw_planner_piece_t whole_range(const cw_planner_t *planner, const cw_range_t *range, double wanted)
{
    cw_planner_piece_t piece = {range->low, range->last, cw_planner_load_between(planner, range->low, range->last)};

    piece.per_s = piece.per_s > wanted * piece_load_max ? 0 : piece.per_s;
    return piece;
}

/* Upper bound for the gain of any move away from a server, since the cost is convex. */
static double gain_bound(const cw_planner_server_t *from)
{
    return from->marginal * from->per_s;
}

/* Returns the untried server with the highest marginal cost among those where a move could gain enough. */
static cw_planner_server_t *busiest(const cw_planner_t *planner, const bool *tried)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (!tried[index] && gain_bound(server) >= planner->settings->gain_min &&
            (best == NULL || server->marginal > best->marginal)) {
            best = server;
        }
    }
    return best;
}

static double gain(const cw_planner_server_t *from, const cw_planner_server_t *to, double per_s)
{
    return cw_planner_total_cost(from, from->per_s) - cw_planner_total_cost(from, from->per_s - per_s) +
           cw_planner_total_cost(to, to->per_s) - cw_planner_total_cost(to, to->per_s + per_s);
}

/* Returns the rate whose move gains most, by ternary search, which is possible because the cost is convex. */
static double best_rate(const cw_planner_server_t *from, const cw_planner_server_t *to)
{
    double low = 0;
    double high = from->per_s;
    int    step;

    for (step = 0; step < 20; step++) {
        double third = (high - low) / 3;

        if (gain(from, to, low + third) < gain(from, to, high - third)) {
            low += third;
        } else {
            high -= third;
        }
    }
    return (low + high) / 2;
}

/* Gain of a move if random variation made `from` appear busier, and `to` less busy, than they are. */
static double certain_gain(const cw_planner_t *planner, const cw_planner_server_t *from, const cw_planner_server_t *to,
                           double per_s)
{
    cw_planner_server_t less = *from;
    cw_planner_server_t more = *to;

    less.per_s -= cw_load_error(from->per_s) * planner->errors;
    more.per_s += cw_load_error(to->per_s) * planner->errors;
    return gain(&less, &more, per_s > less.per_s ? less.per_s : per_s);
}

/* Chooses the piece whose gain exceeds its price most. It may be much smaller than the wanted load, since a server's
 * load may be spread over many ranges. */
static bool choose_piece(const cw_planner_t *planner, const cw_planner_server_t *from, const cw_planner_server_t *to,
                         double wanted, cw_planner_piece_t *best)
{
    const cw_range_list_t *ranges = &planner->ranges;
    double                 best_profit = 0;
    size_t                 index;
    int                    at_low_end;

    memset(best, 0, sizeof(*best));
    for (index = 0; index < ranges->count; index++) {
        const cw_range_t *range = &ranges->items[index];

        if (strcmp(range->owner.id, from->entry->id) != 0 || !cw_planner_is_moveable(planner, range)) {
            continue;
        }
        for (at_low_end = 0; at_low_end < 2; at_low_end++) {
            cw_planner_piece_t piece = planner->is_fragmented ? whole_range(planner, range, wanted)
                                                              : end_piece(planner, range, wanted, at_low_end);
            double profit = certain_gain(planner, from, to, piece.per_s) - cw_planner_move_price(planner, &piece) +
                            cw_planner_region_gain(planner, &piece, from, to);

            if (piece.per_s > 0 && profit > best_profit) {
                best_profit = profit;
                *best = piece;
            }
        }
    }
    return best_profit > 0;
}

/* Rate that a server can get without becoming overloaded itself: it keeps moved keys for settings.min_stay. */
static double spare_rate(const cw_planner_t *planner, const cw_planner_server_t *server)
{
    double most = planner->busy * spare_mean_factor > spare_busy ? planner->busy * spare_mean_factor : spare_busy;
    double spare = most / server->cost_s - server->per_s;

    return spare > 0 ? spare : 0;
}

static bool move_load_to(cw_planner_t *planner, cw_planner_server_t *from, cw_planner_server_t *to)
{
    double             wanted;
    double             spare;
    cw_planner_piece_t piece;

    if (to == NULL || to->marginal >= from->marginal) {
        return false;
    }
    wanted = best_rate(from, to);
    spare = spare_rate(planner, to);
    wanted = wanted > spare ? spare : wanted;
    if (gain(from, to, wanted) < planner->settings->gain_min || !choose_piece(planner, from, to, wanted, &piece)) {
        return false;
    }
    cw_planner_move(planner, &piece, from, to);
    return true;
}

/* Moves load away from a server. If requests are restricted to regions, the least busy server of the same region is
 * tried before the least busy one of all. */
static bool move_load_away(cw_planner_t *planner, cw_planner_server_t *from)
{
    cw_planner_server_t *best = cw_planner_least_busy(planner, from->entry->id);
    cw_planner_server_t *near = planner->restricted_count == 0 ? best : cw_planner_least_busy_in(planner, from);

    return (near != best && move_load_to(planner, from, near)) || move_load_to(planner, from, best);
}

void cw_planner_balance(cw_planner_t *planner)
{
    bool  *tried = calloc(planner->server_count + 1, sizeof(*tried));
    size_t moves = 0;
    size_t most = planner->settings->moves_max + planner->server_count / SERVERS_PER_MOVE;

    if (tried == NULL) {
        abort();
    }
    while (moves < most) {
        cw_planner_server_t *from = busiest(planner, tried);

        if (from == NULL) {
            break;
        }
        if (move_load_away(planner, from)) {
            moves++;
        } else {
            tried[from - planner->servers] = true;
        }
    }
    free(tried);
}

/* ---- distribution without load ---- */

/* Returns the largest range of a server that can be split; NULL: none. */
static const cw_range_t *largest_range(const cw_planner_t *planner, const cw_planner_server_t *server)
{
    const cw_range_t *largest = NULL;
    size_t            index;

    for (index = 0; index < planner->ranges.count; index++) {
        const cw_range_t *range = &planner->ranges.items[index];

        if (strcmp(range->owner.id, server->entry->id) == 0 && range->last > range->low &&
            cw_assigner_is_settled(planner->assigner, range, planner->now) &&
            (largest == NULL || range->last - range->low > largest->last - largest->low)) {
            largest = range;
        }
    }
    return largest;
}

/* Moves half of the largest range of the server with most keys to this server. */
static bool move_half_range(cw_planner_t *planner, cw_planner_server_t *to)
{
    cw_planner_server_t *most = NULL;
    const cw_range_t    *range;
    cw_planner_piece_t   piece = {0};
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        most = most == NULL || server->keys > most->keys ? server : most;
    }
    range = largest_range(planner, most);
    if (range == NULL) {
        return false;
    }
    piece.low = range->low + (range->last - range->low + 1) / 2;
    piece.last = range->last;
    cw_planner_move(planner, &piece, most, to);
    return true;
}

void cw_planner_fill_idle(cw_planner_t *planner)
{
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->keys == 0 && server->usable && !move_half_range(planner, server)) {
            return;
        }
    }
}
