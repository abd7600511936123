/**
 * @file baseline_ring.c
 * @brief Baselines: consistent hashing, and consistent hashing with bounded
 * loads.
 *
 * Both are asked for many more ranges than there are servers, so that a range
 * stands for a key. With bounded loads (Mirrokni, Thorup, Zadimoghaddam) a
 * range stays where it is while that server has room; else it goes on along the
 * ring to the first server that has. A range off its home returns when its home
 * has room for it and a margin.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "baselines.h"
#include "cedarwinch/error.h"

enum { POINTS_PER_SERVER = 100 };

static const double LOAD_BOUND = 1.25; /* of the mean */
static const double RETURN_BOUND = 1.1;

typedef struct ring_point {
    uint64_t hash;
    size_t   server;
} ring_point_t;

typedef struct ring {
    const cw_placement_input_t *input;
    cw_placement_result_t      *result;
    ring_point_t               *points;
    size_t                      point_count;
    double                     *loads;
    size_t                     *owners; /* position; server_count: none usable */
    double                      mean;
} ring_t;

static int compare_points(const void *left, const void *right)
{
    const ring_point_t *one = left;
    const ring_point_t *other = right;

    if (one->hash != other->hash) {
        return one->hash < other->hash ? -1 : 1;
    }
    return one->server < other->server ? -1 : 1;
}

static void add_points(ring_t *ring, size_t server)
{
    uint64_t state = ring->input->servers[server].id;
    size_t   number;

    for (number = 0; number < POINTS_PER_SERVER; number++) {
        ring->points[ring->point_count].hash = cw_random_next(&state);
        ring->points[ring->point_count].server = server;
        ring->point_count++;
    }
}

static size_t owner_of(const ring_t *ring, size_t range)
{
    size_t server;

    for (server = 0; server < ring->input->server_count; server++) {
        if (ring->input->servers[server].id == ring->input->ranges[range].server &&
            ring->input->servers[server].usable) {
            return server;
        }
    }
    return ring->input->server_count;
}

static void ring_clear(ring_t *ring)
{
    free(ring->points);
    free(ring->loads);
    free(ring->owners);
}

static int ring_init(ring_t *ring, const cw_placement_input_t *input, cw_placement_result_t *result)
{
    size_t usable = 0;
    size_t position;

    memset(ring, 0, sizeof(*ring));
    memset(result, 0, sizeof(*result));
    ring->input = input;
    ring->result = result;
    ring->points = calloc(input->server_count * POINTS_PER_SERVER + 1, sizeof(*ring->points));
    ring->loads = calloc(input->server_count + 1, sizeof(*ring->loads));
    ring->owners = calloc(input->range_count + 1, sizeof(*ring->owners));
    result->moves = calloc(input->range_count + 1, sizeof(*result->moves));
    if (ring->points == NULL || ring->loads == NULL || ring->owners == NULL || result->moves == NULL) {
        ring_clear(ring);
        cw_placement_result_clear(result);
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < input->server_count; position++) {
        if (input->servers[position].usable) {
            add_points(ring, position);
            usable++;
        }
    }
    qsort(ring->points, ring->point_count, sizeof(*ring->points), compare_points);
    for (position = 0; position < input->range_count; position++) {
        ring->owners[position] = owner_of(ring, position);
        ring->loads[ring->owners[position]] += input->ranges[position].load;
        ring->mean += usable == 0 ? 0 : input->ranges[position].load / (double)usable;
    }
    return CW_OK;
}

/* First point at or after the range's start, along the ring. */
static size_t first_point(const ring_t *ring, size_t range)
{
    size_t low = 0;
    size_t high = ring->point_count;
    size_t middle;

    while (low < high) {
        middle = (low + high) / 2;
        if (ring->points[middle].hash < ring->input->ranges[range].low) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low % ring->point_count;
}

static void move(ring_t *ring, size_t range, size_t server)
{
    cw_placement_move_t *made = &ring->result->moves[ring->result->move_count++];

    ring->loads[ring->owners[range]] -= ring->input->ranges[range].load;
    ring->loads[server] += ring->input->ranges[range].load;
    made->range = range;
    made->to = ring->input->servers[server].id;
    made->forced = ring->owners[range] == ring->input->server_count;
    snprintf(made->reason, sizeof(made->reason), "next on the ring");
    ring->owners[range] = server;
}

int bench_ring_plan(const cw_placement_input_t *input, cw_placement_result_t *result)
{
    ring_t ring;
    size_t range;
    size_t home;

    if (ring_init(&ring, input, result) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    for (range = 0; range < input->range_count && ring.point_count > 0; range++) {
        home = ring.points[first_point(&ring, range)].server;
        if (!input->ranges[range].pinned && ring.owners[range] != home) {
            move(&ring, range, home);
        }
    }
    ring_clear(&ring);
    return CW_OK;
}

static bool has_room(const ring_t *ring, size_t server, double load, double bound)
{
    return ring->loads[server] + load <= bound * ring->mean;
}

static void place_bounded(ring_t *ring, size_t range)
{
    double load = ring->input->ranges[range].load;
    size_t owner = ring->owners[range];
    size_t first = first_point(ring, range);
    size_t home = ring->points[first].server;
    size_t step;
    size_t server;

    if (owner == home && ring->loads[home] <= LOAD_BOUND * ring->mean) {
        return;
    }
    if (owner != home && has_room(ring, home, load, RETURN_BOUND)) {
        move(ring, range, home);
        return;
    }
    if (owner < ring->input->server_count && ring->loads[owner] <= LOAD_BOUND * ring->mean) {
        return;
    }
    for (step = 0; step < ring->point_count; step++) {
        server = ring->points[(first + step) % ring->point_count].server;
        if (server != owner && has_room(ring, server, load, LOAD_BOUND)) {
            move(ring, range, server);
            return;
        }
    }
    if (owner == ring->input->server_count) {
        move(ring, range, home);
    }
}

int bench_bounded_plan(const cw_placement_input_t *input, cw_placement_result_t *result)
{
    ring_t ring;
    size_t range;

    if (ring_init(&ring, input, result) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    for (range = 0; range < input->range_count && ring.point_count > 0; range++) {
        if (!input->ranges[range].pinned && (ring.owners[range] == input->server_count || input->moves_allowed > 0)) {
            place_bounded(&ring, range);
        }
    }
    ring_clear(&ring);
    return CW_OK;
}
