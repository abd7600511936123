/**
 * @file planner.c
 * @brief Forced moves, balance and joins.
 */
#include "placement/planner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"

enum {
    LOST_MS = 1200,
    MOVES_SERVERS = 3 /* a plan makes one move more for each so many servers */
};

static const double fit_high = 1.5;    /* a piece is cut off before it would be so many times what should move */
static const double key_weight = 1e-7; /* breaks ties by the number of keys held */
static const double full = 0.92;       /* busy share from where the wait is taken to grow in a straight line */
static const double pace_most = 3;     /* a server in trouble is no reason to move everything at once */
static const double idle_per_s = 0.5;
static const double room_busy = 0.7;      /* busy share up to which a server is given more at once */
static const double room_over_mean = 1.2; /* or this much over the mean of all servers, where that is more */
static const double late_power = 1.0;     /* long times weigh more: they miss the aim */

const cw_planner_settings_t cw_planner_defaults = {
    .gain_min = 1.5, .move_price = 0.22, .errors = 1.5, .moves_max = 12, .ranges_each = 4, .rest = CW_MS(900)};

typedef struct planner {
    cw_keeper_t                 *keeper;
    const cw_planner_settings_t *settings;
    cw_planner_server_t         *servers;
    size_t                       server_count;
    const cw_server_list_t      *list;
    cw_range_list_t              ranges; /**< as they will be with the moves planned so far */
    cw_key_load_t               *loads;
    size_t                       load_count;
    double                       per_s; /**< of all keys */
    double                       busy;  /**< mean busy share of the servers that can be given keys */
    bool                         doubts_list;
    cw_time_us_t                 now;
    size_t                       changes;
} planner_t;

/** A piece of a range that could move. */
typedef struct piece {
    uint32_t low;
    uint32_t last;
    double   per_s;
} piece_t;

static cw_planner_server_t *server_of(const planner_t *planner, const char *id)
{
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        if (strcmp(planner->servers[index].entry->id, id) == 0) {
            return &planner->servers[index];
        }
    }
    return NULL;
}

/* First load at or above a key. */
static size_t first_load(const planner_t *planner, uint32_t key)
{
    size_t low = 0;
    size_t high = planner->load_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (planner->loads[middle].key < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static double load_between(const planner_t *planner, uint32_t low, uint32_t last)
{
    double sum = 0;
    size_t index;

    for (index = first_load(planner, low); index < planner->load_count && planner->loads[index].key <= last; index++) {
        sum += planner->loads[index].per_s;
    }
    return sum;
}

static void measure_servers(planner_t *planner)
{
    const cw_range_list_t *ranges = cw_keeper_ranges(planner->keeper);
    size_t                 index;

    for (index = 0; index < planner->server_count; index++) {
        planner->servers[index].per_s = 0;
        planner->servers[index].keys = 0;
    }
    for (index = 0; index < ranges->count; index++) {
        const cw_range_t    *range = &ranges->items[index];
        cw_planner_server_t *server = server_of(planner, range->owner.id);

        if (server != NULL) {
            server->per_s += load_between(planner, range->low, range->last);
            server->keys += range->last - range->low + 1;
        }
    }
}

static void measure_busy(planner_t *planner)
{
    double slots = 0;
    double busy = 0;
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        const cw_planner_server_t *server = &planner->servers[index];

        slots += server->usable ? server->entry->capacity : 0;
        busy += server->per_s * server->cost_s * server->entry->capacity;
    }
    planner->busy = slots > 0 ? busy / slots : 0;
}

/* Mean time of a request over what is usual, at this rate: its pace and the wait for one of the slots. */
static double time_at(const cw_planner_server_t *server, double per_s)
{
    double slots = server->entry->capacity == 0 ? 1 : server->entry->capacity;
    double busy = per_s * server->cost_s;
    double bounded = busy > full ? full : busy;
    double wait = pow(bounded, sqrt(2 * (slots + 1)) - 1) / (slots * (1 - bounded)); /* Sakasegawa's M/M/c */

    if (busy > full) {
        wait += (busy - full) * 20;
    }
    return pow((server->pace > pace_most ? pace_most : server->pace) * (1 + wait), late_power);
}

static double total_cost(const cw_planner_server_t *server, double per_s)
{
    return per_s <= 0 ? 0 : per_s * time_at(server, per_s);
}

/* What one request a second more would cost. */
static double marginal(const cw_planner_server_t *server)
{
    const double step = 0.5;

    return (total_cost(server, server->per_s + step) - total_cost(server, server->per_s)) / step;
}

static double rank(const cw_planner_server_t *server)
{
    return marginal(server) + key_weight * server->keys;
}

static cw_planner_server_t *least_busy(const planner_t *planner, const char *except)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->usable && strcmp(server->entry->id, except) != 0 && (best == NULL || rank(server) < rank(best))) {
            best = server;
        }
    }
    return best;
}

static void note_move(planner_t *planner, const piece_t *piece, const cw_planner_server_t *to)
{
    size_t      index = (size_t)(cw_range_list_find(&planner->ranges, piece->low) - planner->ranges.items);
    cw_range_t *range;

    if (cw_range_list_cut(&planner->ranges, index, piece->low)) {
        index++;
    }
    (void)cw_range_list_cut(&planner->ranges, index, piece->last + 1);
    range = &planner->ranges.items[index];
    cw_text_copy(range->owner.id, sizeof(range->owner.id), to->entry->id);
    range->moved_at = planner->now;
    range->phase = CW_RANGE_RELEASING;
}

static void move(planner_t *planner, const piece_t *piece, cw_planner_server_t *from, cw_planner_server_t *to)
{
    cw_keeper_plan_move(planner->keeper, piece->low, piece->last, to->entry, planner->list);
    note_move(planner, piece, to);
    if (from != NULL) {
        from->per_s -= piece->per_s;
        from->keys -= piece->last - piece->low + 1;
    }
    to->per_s += piece->per_s;
    to->keys += piece->last - piece->low + 1;
    planner->changes++;
}

/* ---- what must move ---- */

static bool must_move(const planner_t *planner, const cw_range_t *range)
{
    const cw_planner_server_t *server = server_of(planner, range->owner.id);

    if (range->owner_ended) {
        return true;
    }
    if (range->phase == CW_RANGE_RELEASING && range->hold_until > planner->now) {
        return false; /* both its owner and the former holder may hold it: the move under way comes first */
    }
    if (server != NULL && server->entry->draining) {
        return true;
    }
    if (server == NULL && !planner->doubts_list) {
        return true;
    }
    return range->phase != CW_RANGE_RELEASING && range->failing_since != 0 &&
           planner->now - range->failing_since > CW_MS(LOST_MS);
}

static void plan_forced(planner_t *planner)
{
    /* The keeper's own list does not change while a plan is made. */
    const cw_range_list_t *ranges = cw_keeper_ranges(planner->keeper);
    bool                   unreachable = cw_keeper_failing_share(planner->keeper, planner->now) > 0.5;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t    *range = &ranges->items[index];
        cw_planner_server_t *from = server_of(planner, range->owner.id);
        cw_planner_server_t *to;
        piece_t              piece = {range->low, range->last, 0};

        if (!must_move(planner, range) || (from != NULL && !from->entry->draining && unreachable)) {
            continue;
        }
        to = least_busy(planner, range->owner.id);
        if (to != NULL) {
            piece.per_s = load_between(planner, range->low, range->last);
            move(planner, &piece, from, to);
        }
    }
}

/* ---- balance ---- */

/* Shortest piece at one end of a range with at least the wanted load. */
static piece_t cut_end(const planner_t *planner, const cw_range_t *range, double wanted, bool at_low_end)
{
    piece_t piece = {range->low, range->last, 0};
    size_t  first = first_load(planner, range->low);
    size_t  end = first_load(planner, range->last + 1);
    size_t  step;

    for (step = 0; step < end - first; step++) {
        const cw_key_load_t *load = &planner->loads[at_low_end ? first + step : end - 1 - step];

        if (piece.per_s > 0 && piece.per_s + load->per_s > wanted * fit_high) {
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

static bool is_moveable(const planner_t *planner, const cw_range_t *range)
{
    return cw_keeper_is_settled(planner->keeper, range, planner->now) &&
           planner->now - range->moved_at > planner->settings->rest;
}

static cw_planner_server_t *busiest(const planner_t *planner, const bool *tried)
{
    cw_planner_server_t *best = NULL;
    size_t               index;

    for (index = 0; index < planner->server_count; index++) {
        if (!tried[index] && (best == NULL || marginal(&planner->servers[index]) > marginal(best))) {
            best = &planner->servers[index];
        }
    }
    return best;
}

static double gain(const cw_planner_server_t *from, const cw_planner_server_t *to, double per_s)
{
    return total_cost(from, from->per_s) - total_cost(from, from->per_s - per_s) + total_cost(to, to->per_s) -
           total_cost(to, to->per_s + per_s);
}

/* Rate whose move earns most, by halving: the cost is convex. */
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

/* What the move of a piece has to earn: keys that change hands have a price each. */
static double price(const planner_t *planner, const piece_t *piece)
{
    double share = (double)(piece->last - piece->low + 1) / (CW_KEY_LAST + 1);

    return planner->settings->gain_min + planner->settings->move_price * share * planner->per_s;
}

/* What it would still earn if chance had made the busy one look busier, and the other less busy, than they are. */
static double sure_gain(const planner_t *planner, const cw_planner_server_t *from, const cw_planner_server_t *to,
                        double per_s)
{
    cw_planner_server_t less = *from;
    cw_planner_server_t more = *to;

    less.per_s -= cw_load_error(from->per_s) * planner->settings->errors;
    more.per_s += cw_load_error(to->per_s) * planner->settings->errors;
    return gain(&less, &more, per_s > less.per_s ? less.per_s : per_s);
}

/* The piece whose move earns most beyond its price, however small it is beside what should move: a server may hold its
 * load in many ranges. */
static bool choose_piece(const planner_t *planner, const cw_planner_server_t *from, const cw_planner_server_t *to,
                         double wanted, piece_t *best)
{
    const cw_range_list_t *ranges = &planner->ranges;
    double                 best_profit = 0;
    size_t                 index;
    int                    at_low_end;

    memset(best, 0, sizeof(*best));
    for (index = 0; index < ranges->count; index++) {
        const cw_range_t *range = &ranges->items[index];

        if (strcmp(range->owner.id, from->entry->id) != 0 || !is_moveable(planner, range)) {
            continue;
        }
        for (at_low_end = 0; at_low_end < 2; at_low_end++) {
            piece_t piece = cut_end(planner, range, wanted, at_low_end);
            double  profit = sure_gain(planner, from, to, piece.per_s) - price(planner, &piece);

            if (piece.per_s > 0 && profit > best_profit) {
                best_profit = profit;
                *best = piece;
            }
        }
    }
    return best_profit > 0;
}

/* Rate that a server can be given without becoming the next one to relieve: it keeps what it got for a while. */
static double room_of(const planner_t *planner, const cw_planner_server_t *server)
{
    double most = planner->busy * room_over_mean > room_busy ? planner->busy * room_over_mean : room_busy;
    double room = most / server->cost_s - server->per_s;

    return room > 0 ? room : 0;
}

static bool relieve(planner_t *planner, cw_planner_server_t *from)
{
    cw_planner_server_t *to = least_busy(planner, from->entry->id);
    double               wanted;
    double               room;
    piece_t              piece;

    if (to == NULL || marginal(to) >= marginal(from)) {
        return false;
    }
    wanted = best_rate(from, to);
    room = room_of(planner, to);
    wanted = wanted > room ? room : wanted;
    if (gain(from, to, wanted) < planner->settings->gain_min || !choose_piece(planner, from, to, wanted, &piece)) {
        return false;
    }
    move(planner, &piece, from, to);
    return true;
}

static void plan_balance(planner_t *planner)
{
    bool  *tried = calloc(planner->server_count + 1, sizeof(*tried));
    size_t moves = 0;
    size_t most = planner->settings->moves_max + planner->server_count / MOVES_SERVERS;

    if (tried == NULL) {
        abort();
    }
    while (moves < most) {
        cw_planner_server_t *from = busiest(planner, tried);

        if (from == NULL) {
            break;
        }
        if (relieve(planner, from)) {
            moves++;
        } else {
            tried[from - planner->servers] = true;
        }
    }
    free(tried);
}

/* The largest range of a server that can be cut; NULL: none. */
static const cw_range_t *largest_range(const planner_t *planner, const cw_planner_server_t *server)
{
    const cw_range_t *largest = NULL;
    size_t            index;

    for (index = 0; index < planner->ranges.count; index++) {
        const cw_range_t *range = &planner->ranges.items[index];

        if (strcmp(range->owner.id, server->entry->id) == 0 && range->last > range->low &&
            cw_keeper_is_settled(planner->keeper, range, planner->now) &&
            (largest == NULL || range->last - range->low > largest->last - largest->low)) {
            largest = range;
        }
    }
    return largest;
}

/* Half of the largest range of the server with most keys goes to this one. */
static bool give_half(planner_t *planner, cw_planner_server_t *to)
{
    cw_planner_server_t *most = NULL;
    const cw_range_t    *range;
    piece_t              piece = {0};
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
    move(planner, &piece, most, to);
    return true;
}

/* Before there is any load, servers that have come since get their part of the keys, all of them in one plan. */
static void plan_idle(planner_t *planner)
{
    size_t index;

    for (index = 0; index < planner->server_count; index++) {
        cw_planner_server_t *server = &planner->servers[index];

        if (server->keys == 0 && server->usable && !give_half(planner, server)) {
            return;
        }
    }
}

/* ---- joins ---- */

static void plan_joins(planner_t *planner)
{
    const cw_range_list_t *ranges = cw_keeper_ranges(planner->keeper);
    size_t                 index;

    if (ranges->count <= planner->settings->ranges_each * planner->server_count) {
        return;
    }
    for (index = 0; index + 1 < ranges->count; index++) {
        if (cw_keeper_is_settled(planner->keeper, &ranges->items[index], planner->now) &&
            cw_keeper_is_settled(planner->keeper, &ranges->items[index + 1], planner->now) &&
            cw_keeper_plan_merge(planner->keeper, ranges->items[index].low)) {
            planner->changes++;
            return;
        }
    }
}

double cw_planner_missing_share(const cw_keeper_t *keeper, const cw_server_list_t *list)
{
    const cw_range_list_t *ranges = cw_keeper_ranges(keeper);
    size_t                 missing = 0;
    size_t                 index;

    for (index = 0; index < ranges->count; index++) {
        const cw_holder_t *owner = &ranges->items[index].owner;

        if (cw_server_list_find(list, owner->id) == NULL &&
            cw_server_list_successor(list, owner->id, owner->address) == NULL) {
            missing++;
        }
    }
    return ranges->count == 0 ? 0 : (double)missing / (double)ranges->count;
}

size_t cw_planner_run(const cw_planner_input_t *input)
{
    planner_t planner = {.keeper = input->keeper,
                         .settings = input->settings,
                         .servers = input->servers,
                         .server_count = input->server_count,
                         .list = input->list,
                         .doubts_list = input->doubts_list,
                         .now = input->now};

    if (cw_keeper_state(planner.keeper) != CW_KEEPER_READY || !cw_keeper_may_plan(planner.keeper)) {
        return 0;
    }
    planner.load_count = cw_load_window_read(input->window, planner.now, &planner.loads);
    planner.per_s = load_between(&planner, 0, CW_KEY_LAST);
    cw_range_list_copy(&planner.ranges, cw_keeper_ranges(planner.keeper));
    measure_servers(&planner);
    measure_busy(&planner);
    plan_forced(&planner);
    if (planner.changes == 0 && planner.per_s < idle_per_s) {
        plan_idle(&planner);
    } else if (planner.changes == 0) {
        plan_balance(&planner);
    }
    if (planner.changes == 0) {
        plan_joins(&planner);
    }
    if (planner.changes == 0 && cw_keeper_is_stale(planner.keeper, planner.now)) {
        cw_keeper_plan_refresh(planner.keeper);
    }
    cw_keeper_plan_write(planner.keeper, planner.now);
    free(planner.loads);
    cw_range_list_clear(&planner.ranges);
    return planner.changes;
}
