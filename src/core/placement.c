/**
 * @file placement.c
 * @brief Greedy placement of a service's ranges on its servers.
 *
 * Weight of a range: its share of the load, smoothed by its share of the key space so that an idle service is balanced
 * by key space and a nearly idle one does not follow noise. Weights sum to one over the service.
 *
 * Pinned ranges count for their owner and never move.
 *
 * 1. Forced moves: ranges without a usable owner, heaviest first, each to the lightest usable server (at equal weight
 *    in the lightest zone, then the lowest id). They are not bounded.
 *    Servers that were lost lately come last here, and take nothing in the next step.
 * 2. Voluntary moves, at most moves_allowed: from the heaviest server that has a worthwhile range to the lightest.
 *    Imbalance is measured by n * sum(server weight squared): moving x from a server of weight a to one of weight b
 *    lowers it by 2 * n * x * (a - b - x). Gain and cost are in the units that docs/PLACEMENT.md defines:
 *    - gain: that figure over IMBALANCE_UNIT, for as long as it is expected to last: LOAD_HORIZON_S for the load, and
 *      SHARE_HORIZON_S for the same with shares of the key space in place of weights, when that gets evener too;
 *    - cost: the moved share of the key space, times the weight for churn + the weight for unavailable time * expected
 *      outage in seconds.
 *    While servers come and go, an uneven key space counts for nothing: a server that comes back finds its load soon
 *    by those that leave.
 *    A server below SOURCE_LEAST is not what makes the service uneven, so its load is no reason to move.
 *    Differences below HYSTERESIS, or within NOISE_DEVIATIONS of what chance makes of counted requests, never count.
 */
#include "cedarwinch/placement.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

static const double KEY_SPACE = 18446744073709551616.0; /* 2^64 */
static const double SMOOTHING_PER_SERVER = 1.0;         /* requests per second spread by key space */
static const double HYSTERESIS = 0.1;                   /* of the mean server's weight */
static const double SOURCE_LEAST = 1.1; /* of the mean: lighter servers are not relieved for their load */
static const double NOISE_DEVIATIONS = 2.0;
static const double LOAD_HORIZON_S = 600.0;   /* an uneven load lasts that long */
static const double SHARE_HORIZON_S = 3600.0; /* an uneven spread of the key space lasts that long */
static const double IMBALANCE_UNIT = 0.25;    /* for an hour: weighs as much as one move of all keys */
static const double SECONDS_PER_HOUR = 3600.0;
static const double MS_PER_SECOND = 1000.0;
static const double MOVE_MS = 50.0; /* revoke, commit and grant of a range without requests in flight */
static const double WEIGHT_EPSILON = 1e-9;

typedef struct planner {
    const cw_placement_input_t *input;
    cw_placement_result_t      *result;
    double                     *range_weights;
    size_t                     *owners; /* position of the server each range ends at; server_count: none */
    double                     *server_weights;
    double                     *server_shares; /* of the key space */
    size_t                     *server_ranges;
    size_t                     *server_zones; /* position of the first server in the same zone */
    double                     *zone_weights; /* by that position */
    size_t                      usable_count;
    double                      load; /* of all ranges */
    size_t                      move_capacity;
} planner_t;

static double key_share(const cw_placement_range_t *range)
{
    return ((double)(range->last - range->low) + 1.0) / KEY_SPACE;
}

static double expected_outage_ms(const Cw__ServiceConfiguration *service)
{
    return MOVE_MS + (double)service->cold_start_ms;
}

static size_t find_usable(const cw_placement_input_t *input, cw_server_id_t server)
{
    size_t position;

    for (position = 0; position < input->server_count; position++) {
        if (input->servers[position].id == server && input->servers[position].usable) {
            return position;
        }
    }
    return input->server_count;
}

static void compute_weights(planner_t *planner)
{
    const cw_placement_input_t *input = planner->input;
    double                      smoothing = SMOOTHING_PER_SERVER * (double)planner->usable_count;
    double                      load = 0;
    double                      share = 0;
    size_t                      position;

    for (position = 0; position < input->range_count; position++) {
        load += input->ranges[position].load;
        share += key_share(&input->ranges[position]);
    }
    planner->load = load;
    for (position = 0; position < input->range_count; position++) {
        planner->range_weights[position] =
            (input->ranges[position].load + smoothing * key_share(&input->ranges[position]) / share) /
            (load + smoothing);
    }
}

static double zone_weight(const planner_t *planner, size_t server)
{
    return planner->zone_weights[planner->server_zones[server]];
}

/* sign: 1 adds a range to a server, -1 takes it away. */
static void count_range(planner_t *planner, size_t range, size_t server, int sign)
{
    double weight = sign * planner->range_weights[range];

    planner->server_weights[server] += weight;
    planner->zone_weights[planner->server_zones[server]] += weight;
    planner->server_shares[server] += sign * key_share(&planner->input->ranges[range]);
    planner->server_ranges[server] += (size_t)sign;
}

static void compute_zones(planner_t *planner)
{
    const cw_placement_server_t *servers = planner->input->servers;
    size_t                       position;
    size_t                       first;

    for (position = 0; position < planner->input->server_count; position++) {
        first = 0;
        while (strcmp(servers[first].zone, servers[position].zone) != 0) {
            first++;
        }
        planner->server_zones[position] = first;
    }
}

static void compute_owners(planner_t *planner)
{
    const cw_placement_input_t *input = planner->input;
    size_t                      owner;
    size_t                      position;

    for (position = 0; position < input->range_count; position++) {
        owner = find_usable(input, input->ranges[position].server);
        planner->owners[position] = owner;
        if (owner < input->server_count) {
            count_range(planner, position, owner, 1);
        }
    }
}

static int compare_weights(double left, double right)
{
    if (left < right - WEIGHT_EPSILON) {
        return -1;
    }
    return left > right + WEIGHT_EPSILON ? 1 : 0;
}

/* Order in which servers take ranges: steady ones first, then by weight, number of ranges, weight of the zone, id. */
static bool takes_before(const planner_t *planner, size_t left, size_t right)
{
    const cw_placement_server_t *servers = planner->input->servers;
    int                          order = (int)servers[left].unsteady - (int)servers[right].unsteady;

    if (order == 0) {
        order = compare_weights(planner->server_weights[left], planner->server_weights[right]);
    }
    if (order == 0 && planner->server_ranges[left] != planner->server_ranges[right]) {
        order = planner->server_ranges[left] < planner->server_ranges[right] ? -1 : 1;
    }
    if (order == 0) {
        order = compare_weights(zone_weight(planner, left), zone_weight(planner, right));
    }
    if (order == 0) {
        order = servers[left].id < servers[right].id ? -1 : 1;
    }
    return order < 0;
}

static size_t lightest_server(const planner_t *planner)
{
    size_t count = planner->input->server_count;
    size_t lightest = count;
    size_t position;

    for (position = 0; position < count; position++) {
        if (planner->input->servers[position].usable &&
            (lightest == count || takes_before(planner, position, lightest))) {
            lightest = position;
        }
    }
    return lightest;
}

static cw_placement_move_t *add_move(planner_t *planner, size_t range, size_t server)
{
    cw_placement_result_t *result = planner->result;
    cw_placement_move_t   *moves;
    size_t                 capacity;

    if (result->move_count == planner->move_capacity) {
        capacity = planner->move_capacity == 0 ? 16 : 2 * planner->move_capacity;
        moves = realloc(result->moves, capacity * sizeof(*moves));
        if (moves == NULL) {
            return NULL;
        }
        result->moves = moves;
        planner->move_capacity = capacity;
    }
    memset(&result->moves[result->move_count], 0, sizeof(*result->moves));
    result->moves[result->move_count].range = range;
    result->moves[result->move_count].to = planner->input->servers[server].id;
    return &result->moves[result->move_count++];
}

static void shift_range(planner_t *planner, size_t range, size_t server)
{
    size_t former = planner->owners[range];

    if (former < planner->input->server_count) {
        count_range(planner, range, former, -1);
    }
    planner->owners[range] = server;
    count_range(planner, range, server, 1);
}

/* Heaviest first, then in the order of the input. */
static int compare_forced(const void *left, const void *right, void *context)
{
    const planner_t *planner = context;
    size_t           left_range = *(const size_t *)left;
    size_t           right_range = *(const size_t *)right;
    int              order = compare_weights(planner->range_weights[right_range], planner->range_weights[left_range]);

    if (order != 0) {
        return order;
    }
    return left_range < right_range ? -1 : 1;
}

static int plan_forced(planner_t *planner)
{
    const cw_placement_input_t *input = planner->input;
    size_t                     *forced = calloc(input->range_count + 1, sizeof(*forced));
    size_t                      count = 0;
    size_t                      server;
    cw_placement_move_t        *move;
    size_t                      position;
    int                         error = CW_OK;

    if (forced == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < input->range_count; position++) {
        if (planner->owners[position] == input->server_count && !input->ranges[position].pinned) {
            forced[count++] = position;
        }
    }
    qsort_r(forced, count, sizeof(*forced), compare_forced, planner);
    for (position = 0; position < count && error == CW_OK; position++) {
        server = lightest_server(planner);
        move = add_move(planner, forced[position], server);
        if (move == NULL) {
            error = CW_ERROR_NO_MEMORY;
            break;
        }
        move->forced = true;
        snprintf(move->reason, sizeof(move->reason), "%s: lightest usable server",
                 input->ranges[forced[position]].server == 0 ? "no owner" : "owner left");
        shift_range(planner, forced[position], server);
    }
    free(forced);
    return error;
}

/* What a move costs, in the score's units. */
static double move_cost(const planner_t *planner, size_t range)
{
    const Cw__ServiceConfiguration *service = planner->input->service;
    const Cw__PlacementWeights     *weights = service->weights;
    double                          outage_s = expected_outage_ms(service) / MS_PER_SECOND;

    if (weights == NULL) {
        return 0;
    }
    return key_share(&planner->input->ranges[range]) * (weights->churn + weights->unavailable * outage_s);
}

/* Standard deviation of the difference of two servers' weights, which come from counts of requests. */
static double noise_of(const planner_t *planner, size_t from, size_t to)
{
    double window_s = 2.0 * CW_PLACEMENT_LOAD_DECAY_US / CW_US_PER_S;
    double requests = planner->load * window_s;

    return requests <= 0 ? 0 : sqrt((planner->server_weights[from] + planner->server_weights[to]) / requests);
}

/* How much a move lowers n times the sum of squares of the servers' parts of the whole. */
static double spread_gain(const planner_t *planner, double moved, double difference)
{
    double usable = (double)planner->usable_count;

    return 2.0 * usable * moved * difference;
}

/* Net gain of moving a range from one server to another; not above zero: not worth it. */
static double net_gain(const planner_t *planner, size_t range, size_t from, size_t to)
{
    const Cw__ServiceConfiguration *service = planner->input->service;
    double                          imbalance_weight = service->weights == NULL ? 1.0 : service->weights->imbalance;
    double                          weight = planner->range_weights[range];
    double                          share = key_share(&planner->input->ranges[range]);
    double                          difference = planner->server_weights[from] - planner->server_weights[to] - weight;
    double share_difference = planner->server_shares[from] - planner->server_shares[to] - share;
    double gain = 0;

    if ((double)planner->usable_count * difference < HYSTERESIS ||
        difference < NOISE_DEVIATIONS * noise_of(planner, from, to)) {
        return 0;
    }
    if ((double)planner->usable_count * planner->server_weights[from] > SOURCE_LEAST) {
        gain = LOAD_HORIZON_S * spread_gain(planner, weight, difference);
    }
    if (share_difference > 0 && !planner->input->unsettled) {
        gain += SHARE_HORIZON_S * spread_gain(planner, share, share_difference);
    }
    return imbalance_weight * gain / IMBALANCE_UNIT / SECONDS_PER_HOUR - move_cost(planner, range);
}

/* Best range to move from one server to another; range_count: none is worth it. */
static size_t best_range(const planner_t *planner, size_t from, size_t to)
{
    size_t count = planner->input->range_count;
    size_t best = count;
    double best_gain = 0;
    double gain;
    size_t position;

    for (position = 0; position < count; position++) {
        if (planner->owners[position] != from || planner->input->ranges[position].pinned) {
            continue;
        }
        gain = net_gain(planner, position, from, to);
        if (gain > best_gain + WEIGHT_EPSILON * WEIGHT_EPSILON) {
            best = position;
            best_gain = gain;
        }
    }
    return best;
}

/* Heaviest usable server not tried yet; server_count: none. */
static size_t next_heaviest(const planner_t *planner, const bool *tried)
{
    size_t count = planner->input->server_count;
    size_t heaviest = count;
    size_t position;

    for (position = 0; position < count; position++) {
        if (!planner->input->servers[position].usable || tried[position]) {
            continue;
        }
        if (heaviest == count || planner->server_weights[position] > planner->server_weights[heaviest]) {
            heaviest = position;
        }
    }
    return heaviest;
}

/* Makes the best single move there is. Returns 1 when one was made, 0 when none is worth it. */
static int plan_one(planner_t *planner, bool *tried)
{
    size_t               to = lightest_server(planner);
    size_t               from;
    size_t               range;
    cw_placement_move_t *move;

    if (planner->input->servers[to].unsteady) {
        return 0;
    }
    memset(tried, 0, planner->input->server_count * sizeof(*tried));
    for (;;) {
        from = next_heaviest(planner, tried);
        if (from == planner->input->server_count || from == to) {
            return 0;
        }
        range = best_range(planner, from, to);
        if (range < planner->input->range_count) {
            break;
        }
        tried[from] = true;
    }
    move = add_move(planner, range, to);
    if (move == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    snprintf(move->reason, sizeof(move->reason), "balance: owner at %.2f of the mean, target at %.2f",
             planner->server_weights[from] * (double)planner->usable_count,
             planner->server_weights[to] * (double)planner->usable_count);
    shift_range(planner, range, to);
    return 1;
}

static int plan_voluntary(planner_t *planner)
{
    bool  *tried = calloc(planner->input->server_count + 1, sizeof(*tried));
    size_t made = 0;
    int    outcome = 1;

    if (tried == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    while (made < planner->input->moves_allowed && outcome == 1) {
        outcome = plan_one(planner, tried);
        made++;
    }
    free(tried);
    return outcome < 0 ? outcome : CW_OK;
}

/* Load of the busiest usable server over the mean, with the owners as they are; 1 when idle. */
static double compute_imbalance(const planner_t *planner, double *server_loads)
{
    const cw_placement_input_t *input = planner->input;
    double                      total = 0;
    double                      busiest = 0;
    size_t                      position;
    size_t                      owner;

    memset(server_loads, 0, input->server_count * sizeof(*server_loads));
    for (position = 0; position < input->range_count; position++) {
        owner = planner->owners[position];
        if (owner < input->server_count) {
            server_loads[owner] += input->ranges[position].load;
            total += input->ranges[position].load;
        }
    }
    for (position = 0; position < input->server_count; position++) {
        if (server_loads[position] > busiest) {
            busiest = server_loads[position];
        }
    }
    return total <= 0 ? 1.0 : busiest * (double)planner->usable_count / total;
}

static void compute_effects(const planner_t *planner)
{
    const cw_placement_input_t *input = planner->input;
    const cw_placement_range_t *range;
    size_t                      position;

    for (position = 0; position < planner->result->move_count; position++) {
        range = &input->ranges[planner->result->moves[position].range];
        if (range->server != 0) {
            planner->result->churn += key_share(range);
            planner->result->unavailable_ms += expected_outage_ms(input->service);
        }
    }
}

static void planner_clear(planner_t *planner)
{
    free(planner->range_weights);
    free(planner->owners);
    free(planner->server_weights);
    free(planner->server_shares);
    free(planner->server_ranges);
    free(planner->server_zones);
    free(planner->zone_weights);
}

static int planner_init(planner_t *planner, const cw_placement_input_t *input, cw_placement_result_t *result)
{
    size_t position;

    memset(planner, 0, sizeof(*planner));
    planner->input = input;
    planner->result = result;
    planner->range_weights = calloc(input->range_count + 1, sizeof(double));
    planner->owners = calloc(input->range_count + 1, sizeof(size_t));
    planner->server_weights = calloc(input->server_count + 1, sizeof(double));
    planner->server_shares = calloc(input->server_count + 1, sizeof(double));
    planner->server_ranges = calloc(input->server_count + 1, sizeof(size_t));
    planner->server_zones = calloc(input->server_count + 1, sizeof(size_t));
    planner->zone_weights = calloc(input->server_count + 1, sizeof(double));
    if (planner->range_weights == NULL || planner->owners == NULL || planner->server_weights == NULL ||
        planner->server_shares == NULL || planner->server_ranges == NULL || planner->server_zones == NULL ||
        planner->zone_weights == NULL) {
        planner_clear(planner);
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < input->server_count; position++) {
        planner->usable_count += input->servers[position].usable ? 1 : 0;
    }
    return CW_OK;
}

int cw_placement_plan(const cw_placement_input_t *input, cw_placement_result_t *result)
{
    planner_t planner;
    double   *server_loads;
    int       error;

    memset(result, 0, sizeof(*result));
    result->imbalance_before = result->imbalance_after = 1.0;
    error = planner_init(&planner, input, result);
    if (error != CW_OK) {
        return error;
    }
    server_loads = calloc(input->server_count + 1, sizeof(double));
    if (server_loads == NULL) {
        error = CW_ERROR_NO_MEMORY;
    } else if (planner.usable_count > 0 && input->range_count > 0) {
        compute_weights(&planner);
        compute_zones(&planner);
        compute_owners(&planner);
        result->imbalance_before = compute_imbalance(&planner, server_loads);
        error = plan_forced(&planner);
        if (error == CW_OK) {
            error = plan_voluntary(&planner);
        }
        result->imbalance_after = compute_imbalance(&planner, server_loads);
        compute_effects(&planner);
    }
    free(server_loads);
    planner_clear(&planner);
    if (error != CW_OK) {
        cw_placement_result_clear(result);
    }
    return error;
}

void cw_placement_result_clear(cw_placement_result_t *result)
{
    free(result->moves);
    result->moves = NULL;
    result->move_count = 0;
}
