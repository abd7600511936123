/**
 * @file main.c
 * @brief Checks the records of servers and callers for violations of the guarantees of the router.
 *
 * Reads JSON lines of servers and callers from the files named as arguments, in any order. Prints one line for each
 * violation and a last line "N runs, N attempts, N violations". If keys were granted, a line before it says "N grants
 * to N servers, N late repeats, N times two servers held keys together". The exit code is 1 if there is a violation.
 * Rules:
 *
 *  - OWNER is violated if two incarnations of servers begin requests on a key while both hold it. An incarnation holds
 *    a key from its grant to its release, its stop, or the end of the hold time since the last grant.
 *  - FENCE is violated if a key is granted with a fence that is not above the fences of all grants of the key to other
 *    incarnations. A repeat of the incarnation's own latest grant of the key, with the same fence, does not count as a
 *    grant; if another incarnation has had a higher one since, it is printed as a late repeat.
 *  - TWICE is violated if a request whose method is not GET has run more than once.
 *  - PROMISE is violated if a request whose method is not GET has run though it was answered 429, 503, 408 or 421.
 *  - WHOLE is violated if a request was answered 2xx though it has not run.
 *  - MIXED is violated if a 2xx is not the whole answer to its request, as its caller says.
 *  - HELD: see holds.h.
 *  - LIMIT, DRAIN, BUDGET: see limits.h, leaves.h, rests.h.
 */
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "holds.h"
#include "leaves.h"
#include "limits.h"
#include "nodes.h"
#include "records.h"
#include "rests.h"

enum { KEYS = 65536, INCARNATIONS_STEP = 64, HOLD_MS = 8000 };

/** Everything recorded about one request id. */
typedef struct attempt {
    char           id[80];
    uint32_t       runs;
    int            status;
    bool           is_unsafe; /**< it must not be repeated */
    UT_hash_handle hh;
} attempt_t;

/** One incarnation of a server, with the times (ns) of its hold of each key. */
typedef struct incarnation {
    char     server[64];
    uint64_t since[KEYS];       /**< start of the hold */
    uint64_t until[KEYS];       /**< end of the hold; 0: not held */
    uint64_t run_started[KEYS]; /**< start of the latest run */
    uint64_t fence[KEYS];       /**< the highest one of its grants */
} incarnation_t;

static attempt_t      *attempts;
static incarnation_t **incarnations; /* grows by INCARNATIONS_STEP */
static size_t          incarnation_count;
static uint64_t        late_repeats;

static incarnation_t *incarnation_of(const char *server)
{
    size_t index;

    for (index = 0; index < incarnation_count; index++) {
        if (strcmp(incarnations[index]->server, server) == 0) {
            return incarnations[index];
        }
    }
    if (incarnation_count % INCARNATIONS_STEP == 0) {
        incarnations = realloc(incarnations, (incarnation_count + INCARNATIONS_STEP) * sizeof(void *));
        if (incarnations == NULL) {
            abort();
        }
    }
    incarnations[incarnation_count] = calloc(1, sizeof(incarnation_t));
    if (incarnations[incarnation_count] == NULL) {
        abort();
    }
    snprintf(incarnations[incarnation_count]->server, sizeof(incarnations[0]->server), "%s", server);
    return incarnations[incarnation_count++];
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

/* Another incarnation that was granted the key with this fence or a higher one; NULL: none. */
static const incarnation_t *holder_not_below(const incarnation_t *incarnation, uint32_t key, uint64_t fence)
{
    size_t index;

    for (index = 0; index < incarnation_count; index++) {
        if (incarnations[index] != incarnation && incarnations[index]->fence[key] >= fence) {
            return incarnations[index];
        }
    }
    return NULL;
}

/* Servers refuse a fence below the highest that they have seen, so only the latest grant of a key can be repeated. */
static bool is_repeat(const incarnation_t *incarnation, uint32_t key, uint64_t fence)
{
    return incarnation->fence[key] == fence;
}

static void check_fence(const incarnation_t *incarnation, const record_t *record)
{
    bool     is_late_repeat = false;
    uint32_t key;

    for (key = record->low; key <= record->last && key < KEYS; key++) {
        const incarnation_t *other = holder_not_below(incarnation, key, record->fence);

        if (other != NULL && !is_repeat(incarnation, key, record->fence)) {
            records_violation("FENCE", record, other->server);
            return;
        }
        is_late_repeat = is_late_repeat || other != NULL;
    }
    late_repeats += is_late_repeat ? 1 : 0;
}

static void handle_grant(const record_t *record)
{
    incarnation_t *incarnation = incarnation_of(record->server);
    uint32_t       key;

    check_fence(incarnation, record);
    for (key = record->low; key <= record->last && key < KEYS; key++) {
        if (incarnation->until[key] <= record->ns) {
            incarnation->since[key] = record->ns;
        }
        if (record->fence > incarnation->fence[key]) {
            incarnation->fence[key] = record->fence;
        }
        incarnation->until[key] = record->ns + (uint64_t)HOLD_MS * 1000000;
    }
}

static void handle_run(const record_t *record)
{
    incarnation_t *incarnation = incarnation_of(record->server);
    uint32_t       key = record->low;
    size_t         index;

    attempt_of(record->id)->runs++;
    if (record->fence == 0) {
        return; /* not divided by key */
    }
    incarnation->run_started[key] = record->ns;
    for (index = 0; index < incarnation_count; index++) {
        const incarnation_t *other = incarnations[index];
        uint64_t both_since = other->since[key] > incarnation->since[key] ? other->since[key] : incarnation->since[key];

        if (other != incarnation && other->until[key] > record->ns && other->run_started[key] >= both_since &&
            both_since > 0) {
            records_violation("OWNER", record, other->server);
        }
    }
}

static void end_holds(const record_t *record, uint32_t low, uint32_t last)
{
    incarnation_t *incarnation = incarnation_of(record->server);
    uint32_t       key;

    for (key = low; key <= last && key < KEYS; key++) {
        incarnation->until[key] = 0;
    }
}

static void handle_record(const record_t *record)
{
    if (record->of_caller) {
        attempt_t *attempt = attempt_of(record->id);

        if (strcmp(record->fault, "not the whole answer") == 0) {
            records_violation("MIXED", record, record->node);
        }
        attempt->status = record->status;
        attempt->is_unsafe = strcmp(record->method, "GET") != 0;
    } else if (strcmp(record->event, "grant") == 0) {
        handle_grant(record);
    } else if (strcmp(record->event, "release") == 0) {
        end_holds(record, record->low, record->last);
    } else if (strcmp(record->event, "stop") == 0) {
        end_holds(record, 0, KEYS - 1);
    } else if (strcmp(record->event, "run") == 0) {
        handle_run(record);
    }
}

static bool promises_no_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

static void check_attempt(const attempt_t *attempt)
{
    record_t record = {.ns = 0};

    snprintf(record.id, sizeof(record.id), "%s", attempt->id);
    if (attempt->is_unsafe && attempt->runs > 1) {
        records_violation("TWICE", &record, "not to be repeated");
    }
    if (attempt->is_unsafe && promises_no_run(attempt->status) && attempt->runs > 0) {
        records_violation("PROMISE", &record, "answered as not run");
    }
    if (attempt->status >= 200 && attempt->status < 300 && attempt->runs == 0) {
        records_violation("WHOLE", &record, "answered without a run");
    }
}

int main(int argument_count, char **arguments)
{
    records_t      records = {0};
    uint64_t       runs = 0;
    holds_totals_t holds;
    uint64_t       limited;
    uint64_t       leaves;
    uint64_t       rests;
    size_t         index;
    attempt_t     *attempt;
    attempt_t     *next;

    for (index = 1; index < (size_t)argument_count; index++) {
        if (!records_read(&records, arguments[index])) {
            return 2;
        }
    }
    records_sort(&records);
    for (index = 0; index < records.count; index++) {
        handle_record(&records.items[index]);
        runs += strcmp(records.items[index].event, "run") == 0 ? 1 : 0;
    }
    HASH_ITER(hh, attempts, attempt, next)
    {
        check_attempt(attempt);
    }
    holds = holds_check(&records);
    nodes_collect(&records);
    limited = limits_check(&records);
    leaves = leaves_check(&records);
    rests = rests_check(&records);
    if (limited + leaves + rests > 0) {
        printf("%" PRIu64 " requests at servers with a limit, %" PRIu64 " nodes told of a leave, %" PRIu64 " rests\n",
               limited, leaves, rests);
    }
    if (holds.grants + late_repeats > 0) {
        printf("%" PRIu64 " grants to %zu servers, %" PRIu64 " late repeats, %" PRIu64
               " times two servers held keys together\n",
               holds.grants, incarnation_count, late_repeats, holds.together);
    }
    printf("%" PRIu64 " runs, %u attempts, %" PRIu64 " violations\n", runs, HASH_COUNT(attempts), records_violations());
    return records_violations() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
