/**
 * @file main.c
 * @brief Checks what servers and callers have recorded: owners, fences, runs, promises.
 *
 * Reads JSON lines of servers and callers from the files named, in any order; prints one line for each violation and a
 * last one "N runs, N attempts, N violations". Exit code 1 when there is a violation.
 *
 *  - OWNER: two lives of servers begin requests on a key while both hold it. A life holds a key from its grant to its
 *    release, its stop, or the end of the hold since the last grant.
 *  - FENCE: a key is granted with a fence that is not above those with which other lives had it.
 *  - TWICE: a request whose method is not GET has run more than once.
 *  - PROMISE: a request answered 429, 503, 408 or 421 that is not to be repeated has run.
 *  - WHOLE: a 2xx without a run.
 *  - LIMIT, DRAIN, BUDGET: limits.h, leaves.h, rests.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "leaves.h"
#include "limits.h"
#include "nodes.h"
#include "records.h"
#include "rests.h"

enum { KEYS = 65536, LIVES_MAX = 256, HOLD_MS = 8000 };

/** All that is known of one request's id. */
typedef struct attempt {
    char           id[80];
    uint32_t       runs;
    int            status;
    bool           once;
    UT_hash_handle hh;
} attempt_t;

/** One life of a server. */
typedef struct life {
    char     server[64];
    uint64_t since[KEYS];
    uint64_t until[KEYS];
    uint64_t begun[KEYS];
    uint64_t fence[KEYS];
} life_t;

static attempt_t *attempts;
static life_t    *lives[LIVES_MAX];
static size_t     life_count;

static life_t *life_of(const char *server)
{
    size_t index;

    for (index = 0; index < life_count; index++) {
        if (strcmp(lives[index]->server, server) == 0) {
            return lives[index];
        }
    }
    if (life_count == LIVES_MAX) {
        abort();
    }
    lives[life_count] = calloc(1, sizeof(life_t));
    if (lives[life_count] == NULL) {
        abort();
    }
    snprintf(lives[life_count]->server, sizeof(lives[0]->server), "%s", server);
    return lives[life_count++];
}

static attempt_t *attempt_of(const char *id)
{
    attempt_t *attempt;

    HASH_FIND_STR(attempts, id, attempt);
    if (attempt == NULL) {
        attempt = calloc(1, sizeof(*attempt));
        if (attempt == NULL) {
            abort();
        }
        snprintf(attempt->id, sizeof(attempt->id), "%s", id);
        HASH_ADD_STR(attempts, id, attempt);
    }
    return attempt;
}

static void take_grant(const record_t *record)
{
    life_t  *life = life_of(record->server);
    uint32_t key;
    size_t   index;
    bool     told = false;

    for (key = record->low; key <= record->last && key < KEYS; key++) {
        for (index = 0; index < life_count && !told; index++) {
            if (lives[index] != life && lives[index]->fence[key] >= record->fence) {
                records_violation("FENCE", record, lives[index]->server);
                told = true;
            }
        }
        if (life->until[key] <= record->ns) {
            life->since[key] = record->ns;
        }
        life->fence[key] = record->fence;
        life->until[key] = record->ns + (uint64_t)HOLD_MS * 1000000;
    }
}

static void take_run(const record_t *record)
{
    life_t  *life = life_of(record->server);
    uint32_t key = record->low;
    size_t   index;

    attempt_of(record->id)->runs++;
    if (record->fence == 0) {
        return; /* not divided by key */
    }
    life->begun[key] = record->ns;
    for (index = 0; index < life_count; index++) {
        const life_t *other = lives[index];
        uint64_t      both = other->since[key] > life->since[key] ? other->since[key] : life->since[key];

        if (other != life && other->until[key] > record->ns && other->begun[key] >= both && both > 0) {
            records_violation("OWNER", record, other->server);
        }
    }
}

static void end_holds(const record_t *record, uint32_t low, uint32_t last)
{
    life_t  *life = life_of(record->server);
    uint32_t key;

    for (key = low; key <= last && key < KEYS; key++) {
        life->until[key] = 0;
    }
}

static void take_record(const record_t *record)
{
    if (record->of_caller) {
        attempt_t *attempt = attempt_of(record->id);

        attempt->status = record->status;
        attempt->once = strcmp(record->method, "GET") != 0;
    } else if (strcmp(record->event, "grant") == 0) {
        take_grant(record);
    } else if (strcmp(record->event, "release") == 0) {
        end_holds(record, record->low, record->last);
    } else if (strcmp(record->event, "stop") == 0) {
        end_holds(record, 0, KEYS - 1);
    } else if (strcmp(record->event, "run") == 0) {
        take_run(record);
    }
}

static bool is_promise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

static void check_attempt(const attempt_t *attempt)
{
    record_t record = {.ns = 0};

    snprintf(record.id, sizeof(record.id), "%s", attempt->id);
    if (attempt->once && attempt->runs > 1) {
        records_violation("TWICE", &record, "not to be repeated");
    }
    if (attempt->once && is_promise(attempt->status) && attempt->runs > 0) {
        records_violation("PROMISE", &record, "answered as not run");
    }
    if (attempt->status >= 200 && attempt->status < 300 && attempt->runs == 0) {
        records_violation("WHOLE", &record, "answered without a run");
    }
}

int main(int argument_count, char **arguments)
{
    records_t  records = {0};
    uint64_t   runs = 0;
    uint64_t   limited;
    uint64_t   leaves;
    uint64_t   rests;
    size_t     index;
    attempt_t *attempt;
    attempt_t *next;

    for (index = 1; index < (size_t)argument_count; index++) {
        if (!records_read(&records, arguments[index])) {
            return 2;
        }
    }
    records_sort(&records);
    for (index = 0; index < records.count; index++) {
        take_record(&records.items[index]);
        runs += strcmp(records.items[index].event, "run") == 0 ? 1 : 0;
    }
    HASH_ITER(hh, attempts, attempt, next)
    {
        check_attempt(attempt);
    }
    nodes_collect(&records);
    limited = limits_check(&records);
    leaves = leaves_check(&records);
    rests = rests_check(&records);
    if (limited + leaves + rests > 0) {
        printf("%" PRIu64 " requests at servers with a limit, %" PRIu64 " nodes told of a leave, %" PRIu64 " rests\n",
               limited, leaves, rests);
    }
    printf("%" PRIu64 " runs, %u attempts, %" PRIu64 " violations\n", runs, HASH_COUNT(attempts), records_violations());
    return records_violations() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
