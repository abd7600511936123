/**
 * @file rests.c
 * @brief Checks arrivals of requests during the rests that servers asked for.
 */
#include "rests.h"

#include <stdio.h>
#include <string.h>

#include "nodes.h"

/* The bounds of the rule; rests.h describes them. */
enum { ARRIVALS_MAX = 2 };

static const uint64_t settle_ns = 500000000;

static uint64_t arrivals_during(const records_t *records, size_t first, const char *node, uint64_t until)
{
    const record_t *rest = &records->items[first];
    uint64_t        arrivals = 0;
    size_t          index;

    for (index = first + 1; index < records->count && records->items[index].ns < until; index++) {
        const record_t *record = &records->items[index];
        const char     *sender;

        if (record->ns < rest->ns + settle_ns || strcmp(record->event, "arrive") != 0 ||
            strcmp(record->server, rest->server) != 0) {
            continue;
        }
        sender = nodes_sender_of(record->id, record->ns);
        arrivals += sender != NULL && strcmp(sender, node) == 0 ? 1 : 0;
    }
    return arrivals;
}

static void check_rest(const records_t *records, size_t index)
{
    const record_t *rest = &records->items[index];
    const char     *node = nodes_sender_of(rest->id, rest->ns);
    uint64_t        until = rest->ns + (uint64_t)(rest->rest_s * 1e9);
    uint64_t        arrivals;
    char            detail[96];

    if (node == NULL || nodes_in_trouble(node, rest->ns, 0) || nodes_in_trouble(node, until, until - rest->ns)) {
        return;
    }
    arrivals = arrivals_during(records, index, node, until);
    if (arrivals > ARRIVALS_MAX) {
        snprintf(detail, sizeof(detail), "%s was asked for %g s of rest, and sent %llu requests in them", node,
                 rest->rest_s, (unsigned long long)arrivals);
        records_violation("BUDGET", rest, detail);
    }
}

uint64_t rests_check(const records_t *records)
{
    uint64_t rests = 0;
    size_t   index;

    for (index = 0; index < records->count; index++) {
        if (strcmp(records->items[index].event, "rest") == 0) {
            check_rest(records, index);
            rests++;
        }
    }
    return rests;
}
