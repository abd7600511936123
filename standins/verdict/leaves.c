/**
 * @file leaves.c
 * @brief Checks arrivals of requests at servers that have announced that they leave.
 */
#include "leaves.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "incarnations.h"
#include "nodes.h"

enum { NOTICES_MAX = 4096 };

static const uint64_t drain_ns = 2000000000;

/** The first answer with a server's announcement that a node forwarded. */
typedef struct leave_notice {
    char     node[48];
    char     server[64]; /* id without the incarnation */
    uint64_t at;
} leave_notice_t;

static leave_notice_t notices[NOTICES_MAX];
static uint64_t       count;

static void add_notice(const record_t *record)
{
    uint64_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(notices[index].node, record->node) == 0 && strcmp(notices[index].server, record->leaving) == 0) {
            return;
        }
    }
    if (count == NOTICES_MAX) {
        abort();
    }
    notices[count].at = record->ns;
    snprintf(notices[count].node, sizeof(notices[count].node), "%s", record->node);
    snprintf(notices[count].server, sizeof(notices[count].server), "%s", record->leaving);
    count++;
}

static void check_arrival(const record_t *record)
{
    const char *node = nodes_of_request(record->id);
    uint64_t    sent = nodes_request_sent(record->id);
    uint64_t    index;
    char        detail[96];

    for (index = 0; node != NULL && index < count; index++) {
        const leave_notice_t *notice = &notices[index];

        if (strcmp(notice->node, node) == 0 && incarnation_is_of(record->server, notice->server) &&
            sent > notice->at + drain_ns && !nodes_restarted_between(node, notice->at, record->ns)) {
            snprintf(detail, sizeof(detail), "from %s, which had passed on its leave %.3f s before it was sent", node,
                     (double)(sent - notice->at) / 1e9);
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
            add_notice(record);
        } else if (strcmp(record->event, "arrive") == 0) {
            check_arrival(record);
        }
    }
    return count;
}
