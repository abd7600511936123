/**
 * @file records.c
 * @brief Reads records, and prints violations of rules.
 */
#include "records.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uv.h>

enum { LINE_MAX_BYTES = 4096, RECORDS_STEP = 4096 };

static uint64_t violations;

static void text_of(const json_t *line, const char *key, char *target, size_t size)
{
    const char *text = json_string_value(json_object_get(line, key));

    snprintf(target, size, "%s", text == NULL ? "" : text);
}

static uint64_t number_of(const json_t *line, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(line, key));
}

static record_t *new_record(records_t *records)
{
    record_t *record;

    if (records->count % RECORDS_STEP == 0) {
        records->items = realloc(records->items, (records->count + RECORDS_STEP) * sizeof(*records->items));
        if (records->items == NULL) {
            abort();
        }
    }
    record = &records->items[records->count++];
    memset(record, 0, sizeof(*record));
    return record;
}

static void add_record(records_t *records, const json_t *line)
{
    record_t *record = new_record(records);

    record->ns = number_of(line, "ns");
    record->low = (uint32_t)number_of(line, "low");
    record->last = (uint32_t)number_of(line, "last");
    record->fence = number_of(line, "fence");
    record->hold_ms = number_of(line, "hold_ms");
    record->late_ms = number_of(line, "late_ms");
    record->status = (int)number_of(line, "status");
    record->per_s = json_number_value(json_object_get(line, "per_s"));
    record->of_caller = json_object_get(line, "status") != NULL;
    text_of(line, "event", record->event, sizeof(record->event));
    text_of(line, "server", record->server, sizeof(record->server));
    text_of(line, "service", record->service, sizeof(record->service));
    text_of(line, "id", record->id, sizeof(record->id));
    text_of(line, "method", record->method, sizeof(record->method));
    text_of(line, "node", record->node, sizeof(record->node));
    text_of(line, "address", record->address, sizeof(record->address));
    text_of(line, "limit", record->limit, sizeof(record->limit));
    text_of(line, "fault", record->fault, sizeof(record->fault));
    text_of(line, "leaving", record->leaving, sizeof(record->leaving));
    record->sent_ns = number_of(line, "sent_ns");
    record->rest_s = json_number_value(json_object_get(line, "rest_s"));
}

/* What the monotonic time of a wall-clock time, in seconds, was on this machine. */
static uint64_t monotonic_ns(double wall_s)
{
    struct timespec now;
    double          age_ns;

    clock_gettime(CLOCK_REALTIME, &now);
    age_ns = ((double)now.tv_sec - wall_s) * 1e9 + (double)now.tv_nsec;
    return uv_hrtime() - (uint64_t)age_ns;
}

/* Adds a line of a node's log that says which node sends a request from now on: another one, or, when that one has not
 * taken it, the node itself. The other node's own line on that names no node that it asked. */
static void add_log_line(records_t *records, const json_t *line)
{
    const char *event = json_string_value(json_object_get(line, "event"));
    bool        is_passed = event != NULL && strcmp(event, "delegated") == 0;
    bool        is_declined = event != NULL && strcmp(event, "delegation declined") == 0;
    record_t   *record;

    if ((!is_passed && !is_declined) || json_object_get(line, "by_node") == NULL ||
        json_object_get(line, "request") == NULL) {
        return;
    }
    record = new_record(records);
    record->ns = monotonic_ns(json_number_value(json_object_get(line, "time")));
    snprintf(record->event, sizeof(record->event), "sender");
    text_of(line, "request", record->id, sizeof(record->id));
    text_of(line, is_passed ? "by_node" : "node", record->node, sizeof(record->node));
}

bool records_read(records_t *records, const char *name)
{
    FILE *file = fopen(name, "r");
    char  line[LINE_MAX_BYTES];

    if (file == NULL) {
        fprintf(stderr, "cw-verdict: %s cannot be read\n", name);
        return false;
    }
    while (fgets(line, sizeof(line), file) != NULL) {
        json_t *value = json_loads(line, 0, NULL);

        if (value != NULL && json_object_get(value, "ns") != NULL) {
            add_record(records, value);
        } else if (value != NULL && json_object_get(value, "time") != NULL) {
            add_log_line(records, value);
        }
        json_decref(value);
    }
    fclose(file);
    return true;
}

static int compare_times(const void *left, const void *right)
{
    const record_t *a = left;
    const record_t *b = right;

    return a->ns < b->ns ? -1 : a->ns > b->ns;
}

void records_sort(records_t *records)
{
    qsort(records->items, records->count, sizeof(*records->items), compare_times);
}

void records_violation(const char *rule, const record_t *record, const char *detail)
{
    printf("%s at %.3f s: server %s id %s keys %u-%u fence %" PRIu64 "; %s\n", rule, (double)record->ns / 1e9,
           record->server, record->id, record->low, record->last, record->fence, detail);
    violations++;
}

uint64_t records_violations(void)
{
    return violations;
}
