/**
 * @file leaves.c
 * @brief Arrivals at servers that have said that they leave.
 */
#include "leaves.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "incarnations.h"
#include "nodes.h"

enum { TOLD_MAX = 4096 };

static const uint64_t drain_ns = 2000000000;

/** A node has passed on a server's leave. */
typedef struct told {
    char     node[48];
    char     server[64]; /* its id */
    uint64_t at;
} told_t;

static told_t   tellings[TOLD_MAX];
static uint64_t count;

static void note_told(const record_t *record)
{
    uint64_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(tellings[index].node, record->node) == 0 && strcmp(tellings[index].server, record->leaving) == 0) {
            return;
        }
    }
    if (count == TOLD_MAX) {
        abort();
    }
    tellings[count].at = record->ns;
    snprintf(tellings[count].node, sizeof(tellings[count].node), "%s", record->node);
    snprintf(tellings[count].server, sizeof(tellings[count].server), "%s", record->leaving);
    count++;
}

static void check_arrival(const record_t *record)
{
    const char *node = nodes_of_request(record->id);
    uint64_t    sent = nodes_request_sent(record->id);
    uint64_t    index;
    char        detail[96];

    for (index = 0; node != NULL && index < count; index++) {
        const told_t *told = &tellings[index];

        if (strcmp(told->node, node) == 0 && lives_is_of(record->server, told->server) && sent > told->at + drain_ns &&
            !nodes_restarted_between(node, told->at, record->ns)) {
            snprintf(detail, sizeof(detail), "from %s, which had passed on its leave %.3f s before it was sent", node,
                     (double)(sent - told->at) / 1e9);
            records_violation("DRAIN", record, detail);
        }
    }
}

uint64_t leaves_check(const records_t *records)
{
    size_t index;

    for (index = 0; index < records->count; index++) {
        const record_t *record = &records->items[index];

        if (record->of_caller && record->leaving[0] != '\0') {
            note_told(record);
        } else if (strcmp(record->event, "arrive") == 0) {
            check_arrival(record);
        }
    }
    return count;
}
