/**
 * @file main.c
 * @brief Measures the journal in virtual time: what it adds to a request at a distance between zones, and how soon a
 *        lost forwarder's range serves again. Prints a line "NAME<TAB>VALUE<TAB>UNIT" for each figure.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "world.h"

enum {
    EPOCH = 4,
    WRITES = 1000,
    SPACING_US = 2 * CW_US_PER_MS,
    SETTLE_US = 20 * CW_US_PER_S,
    PROBE_US = 100,
    RECOVERY_LIMIT_US = 10 * CW_US_PER_S,
    ERRORS_SHOWN = 10,
    EXIT_USAGE = 2
};

static const double us_per_ms = CW_US_PER_MS;

static void print_figure(const char *name, double value, const char *unit)
{
    printf("%s\t%.6g\t%s\n", name, value, unit);
}

/* The range opens under forwarder 0 with replicas 1 to 3, and the time passes before which ids are given up. */
static int open_range(cw_world_t *world, const cw_world_options_t *options)
{
    int error = cw_world_init(world, options);

    if (error == CW_OK) {
        error = cw_world_route(world, 0, EPOCH, 0, -1);
    }
    cw_world_run(world, world->now_us + SETTLE_US);
    return error;
}

/* One request from its arrival to the server; false: it was not sent. */
static bool send_one(cw_world_t *world, bool repeatable, cw_time_us_t *wait_us)
{
    uint64_t     sent_before = world->sent_count;
    cw_time_us_t arrived_us = world->now_us;

    cw_world_request(world, 0, EPOCH, repeatable);
    cw_world_run(world, arrived_us + SPACING_US * 2);
    *wait_us = world->last_sent_us - arrived_us;
    return world->sent_count == sent_before + 1;
}

static int measure_distance(cw_time_us_t distance_us)
{
    cw_world_options_t options = {.distance_us = distance_us, .unfinished_first = true, .answer_bytes = 200};
    cw_world_t         world;
    cw_time_us_t       wait_us;
    cw_time_us_t       total_us = 0;
    uint64_t           messages;
    uint64_t           bytes;
    char               name[128];
    int                count;

    if (open_range(&world, &options) != CW_OK || !send_one(&world, true, &wait_us) || wait_us != 0) {
        return CW_ERROR_INVALID;
    }
    cw_world_respond(&world, 0);
    messages = world.message_count;
    bytes = world.byte_count;
    for (count = 0; count < WRITES; count++) {
        if (!send_one(&world, false, &wait_us)) {
            return CW_ERROR_INVALID;
        }
        total_us += wait_us;
        cw_world_respond(&world, 0);
    }
    cw_world_run(&world, world.now_us + CW_US_PER_S);
    snprintf(name, sizeof(name), "journal wait at %.1f ms one way", (double)distance_us / us_per_ms);
    print_figure(name, (double)total_us / WRITES / us_per_ms, "ms");
    snprintf(name, sizeof(name), "journal wait / round trip at %.1f ms one way", (double)distance_us / us_per_ms);
    print_figure(name, (double)total_us / WRITES / (2 * (double)distance_us), "ratio");
    snprintf(name, sizeof(name), "journal bytes, both ways, at %.1f ms one way", (double)distance_us / us_per_ms);
    print_figure(name, (double)(world.byte_count - bytes) / WRITES, "bytes/write");
    snprintf(name, sizeof(name), "journal traffic, both ways, at %.1f ms one way", (double)distance_us / us_per_ms);
    print_figure(name, (double)(world.message_count - messages) / WRITES, "messages/write");
    cw_world_clear(&world);
    return CW_OK;
}

/* Fills the journal with finished writes, and a few that stay unanswered. */
static bool fill_journal(cw_world_t *world, int finished, int unfinished)
{
    cw_time_us_t wait_us;
    int          count;

    for (count = 0; count < finished; count++) {
        if (!send_one(world, false, &wait_us)) {
            return false;
        }
        cw_world_respond(world, 0);
    }
    for (count = 0; count < unfinished; count++) {
        if (!send_one(world, false, &wait_us)) {
            return false;
        }
    }
    return true;
}

/* The forwarder's node and the replica on it are lost; the other forwarder takes over with one new replica. */
static int measure_recovery(bool unfinished_first, int finished)
{
    enum { UNFINISHED = 2 };
    cw_world_options_t options = {
        .distance_us = CW_US_PER_MS / 2, .unfinished_first = unfinished_first, .answer_bytes = 1024};
    const char  *mode = unfinished_first ? "unfinished first" : "all at once";
    cw_world_t   world;
    cw_time_us_t lost_us;
    uint64_t     messages;
    uint64_t     bytes;
    uint64_t     sent;
    char         name[128];

    if (open_range(&world, &options) != CW_OK || !fill_journal(&world, finished, UNFINISHED)) {
        return CW_ERROR_INVALID;
    }
    world.forwarder_lost[0] = true;
    world.replica_lost[0] = true;
    lost_us = world.now_us;
    messages = world.message_count;
    bytes = world.byte_count;
    sent = world.sent_count;
    if (cw_world_route(&world, 1, EPOCH + 1, 1, 0) != CW_OK) {
        return CW_ERROR_INVALID;
    }
    while (world.sent_count == sent && world.now_us < lost_us + RECOVERY_LIMIT_US) {
        cw_world_request(&world, 1, EPOCH + 1, false);
        cw_world_run(&world, world.now_us + PROBE_US);
    }
    if (world.sent_count == sent) {
        return CW_ERROR_INVALID;
    }
    snprintf(name, sizeof(name), "first write served after a take-over of %d entries, %s", finished, mode);
    print_figure(name, (double)(world.last_sent_us - lost_us) / us_per_ms, "ms");
    snprintf(name, sizeof(name), "bytes until then, %d entries, %s", finished, mode);
    print_figure(name, (double)(world.byte_count - bytes), "bytes");
    snprintf(name, sizeof(name), "messages until then, %d entries, %s", finished, mode);
    print_figure(name, (double)(world.message_count - messages), "messages");
    cw_world_clear(&world);
    return CW_OK;
}

/* Sends a number of requests and answers them: the work whose instructions are counted from outside. */
static int send_many(int count, bool repeatable)
{
    cw_world_options_t options = {.distance_us = CW_US_PER_MS / 2, .unfinished_first = true, .answer_bytes = 200};
    cw_world_t         world;
    cw_time_us_t       wait_us;

    if (open_range(&world, &options) != CW_OK) {
        return CW_ERROR_INVALID;
    }
    for (; count > 0; count--) {
        if (!send_one(&world, repeatable, &wait_us)) {
            return CW_ERROR_INVALID;
        }
        cw_world_respond(&world, 0);
    }
    cw_world_clear(&world);
    return CW_OK;
}

static int measure_all(void)
{
    static const int counts[] = {100, 1000, 10000};
    size_t           position;
    int              error = measure_distance(CW_US_PER_MS / 2);

    if (error == CW_OK) {
        error = measure_distance(3 * CW_US_PER_MS / 2);
    }
    for (position = 0; position < sizeof(counts) / sizeof(counts[0]) && error == CW_OK; position++) {
        error = measure_recovery(true, counts[position]);
        if (error == CW_OK) {
            error = measure_recovery(false, counts[position]);
        }
    }
    return error;
}

int main(int argc, char **argv)
{
    struct arg_int *reads = arg_int0(NULL, "reads", "N", "only send and answer this many repeatable requests");
    struct arg_int *writes = arg_int0(NULL, "writes", "N", "only send and answer this many non-repeatable requests");
    struct arg_lit *help = arg_lit0("h", "help", "print this text");
    struct arg_end *end = arg_end(ERRORS_SHOWN);
    void           *table[] = {reads, writes, help, end};
    int             error;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return EXIT_USAGE;
    }
    if (help->count > 0) {
        arg_print_glossary(stdout, table, "  %-12s %s\n");
        return EXIT_SUCCESS;
    }
    if (reads->count > 0) {
        error = send_many(reads->ival[0], true);
    } else if (writes->count > 0) {
        error = send_many(writes->ival[0], false);
    } else {
        error = measure_all();
    }
    if (error != CW_OK) {
        fprintf(stderr, "cw-journal: a request that should have been sent was not\n");
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
