/**
 * @file check_requests.c
 * @brief Checks on requests: fences by key, at most once, truth of the outcomes, own answers.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <xxhash.h>

#define HASH_FUNCTION(key, length, hash) ((hash) = (unsigned)XXH3_64bits((key), (length)))
#include "evidence.h"

typedef struct key_name {
    cw_service_id_t service;
    cw_key_hash_t   key_hash;
} key_name_t;

/** Highest fence seen for a key so far. */
typedef struct key_fence {
    key_name_t     name;
    cw_fence_t     fence;
    UT_hash_handle hh;
} key_fence_t;

static key_fence_t *key_of(key_fence_t **keys, const cw_event_t *event)
{
    key_name_t   name = {.service = event->service, .key_hash = event->low};
    key_fence_t *key;

    HASH_FIND(hh, *keys, &name, sizeof(name), key);
    if (key == NULL) {
        key = calloc(1, sizeof(*key));
        if (key == NULL) {
            abort();
        }
        key->name = name;
        HASH_ADD(hh, *keys, name, sizeof(key->name), key);
    }
    return key;
}

static void check_fence(key_fence_t *key, const cw_records_t *records, const cw_event_t *event,
                        cw_violations_t *violations)
{
    if (cw_fence_compare(event->fence, key->fence) < 0) {
        cw_violation_add(violations, CW_VIOLATION_FENCE_DOWN,
                         "%s: request %s ran under fence %" PRIu64 ".%" PRIu64 " after %" PRIu64 ".%" PRIu64
                         " was used for key hash %016" PRIx64,
                         records->lives[event->life].server, event->request->id, event->fence.generation,
                         event->fence.index, key->fence.generation, key->fence.index, event->low);
    }
    key->fence = cw_fence_max(key->fence, event->fence);
}

static void free_keys(key_fence_t *keys)
{
    key_fence_t *key = keys;
    key_fence_t *next;

    HASH_CLEAR(hh, keys);
    while (key != NULL) {
        next = key->hh.next;
        free(key);
        key = next;
    }
}

void cw_check_fences(const cw_records_t *records, cw_violations_t *violations)
{
    key_fence_t      *keys = NULL;
    const cw_event_t *event;
    size_t            i;

    for (i = 0; i < records->event_count; i++) {
        event = &records->events[i];
        if (event->kind == CW_EVENT_START || event->kind == CW_EVENT_EFFECT) {
            check_fence(key_of(&keys, event), records, event, violations);
        }
    }
    free_keys(keys);
}

static void check_effect_key(const cw_records_t *records, const cw_event_t *event, cw_violations_t *violations)
{
    const cw_request_facts_t *request = event->request;

    if (request->sent && (request->service != event->service || request->key_hash != event->low)) {
        cw_violation_add(violations, CW_VIOLATION_OTHER_KEY,
                         "%s: request %s for key hash %016" PRIx64 " took effect on %016" PRIx64,
                         records->lives[event->life].server, request->id, request->key_hash, event->low);
    }
}

static void check_answer(const cw_answer_t *answer, cw_violations_t *violations)
{
    const cw_request_facts_t *request = answer->request;

    if (answer->is_foreign) {
        cw_violation_add(violations, CW_VIOLATION_FOREIGN_ANSWER, "request %s got another request's answer",
                         request->id);
    }
    if (answer->end == CW_CALL_ANSWERED && (request->effects == 0 || request->first_effect_us > answer->answered_us)) {
        cw_violation_add(violations, CW_VIOLATION_ANSWERED_NOT_RUN, "request %s was answered, effects before: none",
                         request->id);
    }
}

/* A repeated id may be refused once and run under its other sending: only when all were refused must nothing happen. */
static void check_request(const cw_request_facts_t *request, cw_violations_t *violations)
{
    if (request->non_repeatable && request->effects > 1) {
        cw_violation_add(violations, CW_VIOLATION_RAN_TWICE, "request %s took effect %" PRIu32 " times", request->id,
                         request->effects);
    }
    if (request->refusals > 0 && request->others == 0 && request->effects > 0) {
        cw_violation_add(violations, CW_VIOLATION_NOT_RUN_RAN, "request %s was refused as not run, effects: %" PRIu32,
                         request->id, request->effects);
    }
}

void cw_check_requests(cw_records_t *records, cw_violations_t *violations)
{
    const cw_request_facts_t *request;
    size_t                    i;

    for (i = 0; i < records->event_count; i++) {
        if (records->events[i].kind == CW_EVENT_EFFECT) {
            check_effect_key(records, &records->events[i], violations);
        }
    }
    for (i = 0; i < records->answer_count; i++) {
        check_answer(&records->answers[i], violations);
    }
    for (request = records->requests; request != NULL; request = request->hh.next) {
        check_request(request, violations);
    }
}
