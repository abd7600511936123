/**
 * @file summary.c
 * @brief What was measured, for each service: outcomes, latency, imbalance, churn, unavailable time.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define HASH_FUNCTION(key, length, hash) ((hash) = (unsigned)XXH3_64bits((key), (length)))
#include "../common/histogram.h"
#include "cedarwinch/error.h"
#include "evidence.h"

enum { CLIENT_ERROR_FIRST = 400, CLIENT_ERROR_LAST = 499 };

/** What is remembered of a key while walking through the records in the order of time. */
typedef struct key_state {
    cw_key_hash_t  key_hash;
    size_t         life; /**< that took the last effect */
    bool           has_life;
    int64_t        gap_us; /**< intended time of the first request that failed; 0: none */
    int64_t        last_failure_us;
    bool           had_gap;
    UT_hash_handle hh;
} key_state_t;

static key_state_t *key_of(key_state_t **keys, cw_key_hash_t key_hash)
{
    key_state_t *key;

    HASH_FIND(hh, *keys, &key_hash, sizeof(key_hash), key);
    if (key == NULL) {
        key = calloc(1, sizeof(*key));
        if (key == NULL) {
            abort();
        }
        key->key_hash = key_hash;
        HASH_ADD(hh, *keys, key_hash, sizeof(key->key_hash), key);
    }
    return key;
}

static void free_keys(key_state_t *keys)
{
    key_state_t *key = keys;
    key_state_t *next;

    HASH_CLEAR(hh, keys);
    while (key != NULL) {
        next = key->hh.next;
        free(key);
        key = next;
    }
}

static void end_gap(cw_service_summary_t *summary, key_state_t *key, int64_t now_us)
{
    int64_t gap_us = now_us - key->gap_us;

    if (key->gap_us == 0) {
        return;
    }
    summary->unavailable_us += gap_us;
    summary->unavailable_least_us += key->last_failure_us - key->gap_us;
    summary->keys_with_gap += key->had_gap ? 0 : 1;
    key->had_gap = true;
    key->gap_us = 0;
    if (gap_us > summary->longest_gap_us) {
        summary->longest_gap_us = gap_us;
    }
}

/* A refusal that is the caller's own (bad request, its limits, same id in progress) says nothing of the key. */
static bool is_failure(const cw_answer_t *answer)
{
    return answer->end != CW_CALL_ANSWERED && answer->end != CW_CALL_IN_PROGRESS &&
           (answer->status < CLIENT_ERROR_FIRST || answer->status > CLIENT_ERROR_LAST);
}

static void walk_answers(const cw_records_t *records, size_t service, cw_service_summary_t *summary, key_state_t **keys,
                         cw_histogram_t *latency)
{
    const cw_answer_t *answer;
    key_state_t       *key;
    size_t             i;

    for (i = 0; i < records->answer_count; i++) {
        answer = &records->answers[i];
        if (answer->service != service || answer->is_repeat) {
            continue;
        }
        summary->requests++;
        summary->ends[answer->end]++;
        key = key_of(keys, answer->request->key_hash);
        if (answer->end == CW_CALL_ANSWERED) {
            cw_histogram_add(latency, answer->answered_us - answer->intended_us);
            end_gap(summary, key, answer->answered_us);
        } else if (is_failure(answer)) {
            key->gap_us = key->gap_us == 0 ? answer->intended_us : key->gap_us;
            key->last_failure_us = answer->answered_us;
        }
    }
    for (key = *keys; key != NULL; key = key->hh.next) {
        end_gap(summary, key, records->end_us);
    }
}

static bool same_server(const cw_records_t *records, size_t left, size_t right)
{
    return strcmp(records->lives[left].server, records->lives[right].server) == 0;
}

static void walk_effects(const cw_records_t *records, cw_service_id_t service, cw_service_summary_t *summary,
                         key_state_t **keys, uint64_t *effects)
{
    const cw_event_t *event;
    key_state_t      *key;
    size_t            i;

    for (i = 0; i < records->event_count; i++) {
        event = &records->events[i];
        if (event->kind != CW_EVENT_EFFECT || event->service != service) {
            continue;
        }
        summary->effects++;
        effects[event->life]++;
        key = key_of(keys, event->low);
        summary->key_moves += key->has_life && !same_server(records, key->life, event->life) ? 1 : 0;
        key->life = event->life;
        key->has_life = true;
    }
}

/* Owners are the servers that were granted anything of the service; lives of one server count together. */
static double imbalance_of(const cw_records_t *records, cw_service_id_t service, uint64_t *effects)
{
    bool    *owner = calloc(records->life_count + 1, sizeof(*owner));
    uint64_t busiest = 0;
    uint64_t total = 0;
    uint64_t owners = 0;
    size_t   i;
    size_t   j;

    for (i = 0; owner != NULL && i < records->event_count; i++) {
        if (records->events[i].kind == CW_EVENT_GRANT && records->events[i].service == service) {
            owner[records->events[i].life] = true;
        }
    }
    for (i = 0; owner != NULL && i < records->life_count; i++) {
        for (j = i + 1; j < records->life_count; j++) { /* the first life of a server takes the others' effects */
            if ((owner[i] || owner[j]) && same_server(records, i, j)) {
                owner[i] = true;
                owner[j] = false;
                effects[i] += effects[j];
                effects[j] = 0;
            }
        }
        owners += owner[i] ? 1 : 0;
        total += effects[i];
        busiest = effects[i] > busiest ? effects[i] : busiest;
    }
    free(owner);
    return total == 0 || owners == 0 ? 0 : (double)busiest * (double)owners / (double)total;
}

int cw_summary_make(const cw_records_t *records, size_t service, cw_service_summary_t *summary)
{
    cw_service_id_t id = records->services[service].id;
    cw_histogram_t *latency = cw_histogram_create();
    uint64_t       *effects = calloc(records->life_count + 1, sizeof(*effects));
    key_state_t    *keys = NULL;

    *summary = (cw_service_summary_t){0};
    if (latency == NULL || effects == NULL) {
        free(latency);
        free(effects);
        return CW_ERROR_NO_MEMORY;
    }
    walk_answers(records, service, summary, &keys, latency);
    walk_effects(records, id, summary, &keys, effects);
    summary->p50_us = cw_histogram_quantile(latency, 0.5);
    summary->p99_us = cw_histogram_quantile(latency, 0.99);
    summary->p999_us = cw_histogram_quantile(latency, 0.999);
    summary->imbalance = imbalance_of(records, id, effects);
    free_keys(keys);
    free(effects);
    free(latency);
    return CW_OK;
}

static double to_ms(int64_t time_us)
{
    return (double)time_us / CW_US_PER_MS;
}

static double to_s(int64_t time_us)
{
    return (double)time_us / CW_US_PER_S;
}

void cw_summary_print(const cw_records_t *records, FILE *stream)
{
    cw_service_summary_t summary;
    size_t               i;

    fprintf(stream, "%-28s %8s %8s %7s %7s %6s %6s %8s %8s %8s %9s %9s %9s %10s %9s\n", "service", "requests",
            "answered", "not-run", "unknown", "in-pr", "failed", "p50 ms", "p99 ms", "p99.9 ms", "imbalance",
            "key moves", "unavail s", "at least s", "longest s");
    for (i = 0; i < records->service_count; i++) {
        if (cw_summary_make(records, i, &summary) != CW_OK) {
            return;
        }
        fprintf(stream,
                "%-28s %8" PRIu64 " %8" PRIu64 " %7" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6" PRIu64
                " %8.2f %8.2f %8.2f %9.2f %9" PRIu64 " %9.3f %10.3f %9.3f\n",
                records->services[i].text, summary.requests, summary.ends[CW_CALL_ANSWERED],
                summary.ends[CW_CALL_NOT_RUN], summary.ends[CW_CALL_UNKNOWN], summary.ends[CW_CALL_IN_PROGRESS],
                summary.ends[CW_CALL_NOT_SENT] + summary.ends[CW_CALL_LOST] + summary.ends[CW_CALL_TIMED_OUT] +
                    summary.ends[CW_CALL_OTHER],
                to_ms(summary.p50_us), to_ms(summary.p99_us), to_ms(summary.p999_us), summary.imbalance,
                summary.key_moves, to_s(summary.unavailable_us), to_s(summary.unavailable_least_us),
                to_s(summary.longest_gap_us));
    }
}

static json_t *service_json(const cw_service_name_t *name, const cw_service_summary_t *summary)
{
    json_t *outcomes = json_object();
    size_t  i;

    for (i = 0; i < CW_CALL_END_COUNT; i++) {
        json_object_set_new(outcomes, cw_call_end_text((cw_call_end_t)i), json_integer((json_int_t)summary->ends[i]));
    }
    return json_pack("{s:s,s:I,s:o,s:I,s:f,s:f,s:f,s:f,s:I,s:f,s:f,s:f,s:I}", "service", name->text, "requests",
                     (json_int_t)summary->requests, "outcomes", outcomes, "effects", (json_int_t)summary->effects,
                     "p50_ms", to_ms(summary->p50_us), "p99_ms", to_ms(summary->p99_us), "p999_ms",
                     to_ms(summary->p999_us), "imbalance", summary->imbalance, "key_moves",
                     (json_int_t)summary->key_moves, "unavailable_s", to_s(summary->unavailable_us),
                     "unavailable_least_s", to_s(summary->unavailable_least_us), "longest_unavailable_s",
                     to_s(summary->longest_gap_us), "keys_unavailable", (json_int_t)summary->keys_with_gap);
}

int cw_summary_write_json(const cw_records_t *records, const cw_violations_t *violations, const char *file_name)
{
    json_t              *services = json_array();
    json_t              *kinds = json_object();
    json_t              *json;
    cw_service_summary_t summary;
    size_t               i;
    int                  error;

    for (i = 0; i < records->service_count; i++) {
        if (cw_summary_make(records, i, &summary) == CW_OK) {
            json_array_append_new(services, service_json(&records->services[i], &summary));
        }
    }
    for (i = 0; i < CW_VIOLATION_KIND_COUNT; i++) {
        json_object_set_new(kinds, cw_violation_kind_text((cw_violation_kind_t)i),
                            json_integer((json_int_t)violations->counts[i]));
    }
    json = json_pack("{s:o,s:I,s:o}", "services", services, "violations", (json_int_t)violations->total,
                     "violations_by_kind", kinds);
    error = json_dump_file(json, file_name, JSON_INDENT(2) | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(9));
    json_decref(json);
    return error == 0 ? CW_OK : CW_ERROR_IO;
}
