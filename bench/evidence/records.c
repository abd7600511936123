/**
 * @file records.c
 * @brief Reads the records of back-end servers and of the load tool.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../../standins/common/codec.h"
#include "cedarwinch/error.h"
#include "evidence.h"

static const char *const event_names[CW_EVENT_KIND_COUNT] = {
    [CW_EVENT_BOOT] = "boot",     [CW_EVENT_GRANT] = "grant",         [CW_EVENT_REVOKE] = "revoke",
    [CW_EVENT_LAPSE] = "lapse",   [CW_EVENT_RENEW] = "renew",         [CW_EVENT_START] = "start",
    [CW_EVENT_EFFECT] = "effect", [CW_EVENT_ABANDONED] = "abandoned",
};

/* Makes room for one more item of an array that doubles at powers of two. */
static void *grow(void *items, size_t count, size_t item_size)
{
    void *grown;

    if ((count & (count - 1)) != 0) {
        return items;
    }
    grown = realloc(items, (count == 0 ? 1 : 2 * count) * item_size);
    if (grown == NULL) {
        abort();
    }
    return grown;
}

static cw_request_facts_t *request_of(cw_records_t *records, const char *id)
{
    cw_request_facts_t *request;
    size_t              length = strlen(id);

    if (length == 0 || length >= CW_REQUEST_TEXT) {
        return NULL;
    }
    HASH_FIND(hh, records->requests, id, length, request);
    if (request == NULL) {
        request = calloc(1, sizeof(*request));
        if (request == NULL) {
            abort();
        }
        memcpy(request->id, id, length + 1);
        HASH_ADD_KEYPTR(hh, records->requests, request->id, length, request);
    }
    return request;
}

/* Lives are few for a file's lines: the latest one is the likely one. */
static size_t life_of(cw_records_t *records, const char *server, cw_incarnation_t incarnation)
{
    size_t i;

    for (i = records->life_count; i > 0; i--) {
        if (records->lives[i - 1].incarnation == incarnation && strcmp(records->lives[i - 1].server, server) == 0) {
            return i - 1;
        }
    }
    records->lives = grow(records->lives, records->life_count, sizeof(cw_life_t));
    records->lives[records->life_count] = (cw_life_t){.server = strdup(server), .incarnation = incarnation};
    return records->life_count++;
}

static bool kind_of(const char *name, cw_event_kind_t *kind)
{
    size_t i;

    for (i = 0; i < CW_EVENT_KIND_COUNT; i++) {
        if (strcmp(name, event_names[i]) == 0) {
            *kind = (cw_event_kind_t)i;
            return true;
        }
    }
    return false;
}

static const char *text_of(json_t *json, const char *name)
{
    return json_string_value(json_object_get(json, name));
}

static bool parse_area(json_t *json, cw_event_t *event)
{
    return cw_hex_parse(text_of(json, "service"), &event->service) && cw_hex_parse(text_of(json, "low"), &event->low) &&
           cw_hex_parse(text_of(json, "last"), &event->last) && cw_fence_parse(text_of(json, "fence"), &event->fence) &&
           event->low <= event->last;
}

static bool parse_run(cw_records_t *records, json_t *json, cw_event_t *event)
{
    const char *id = text_of(json, "request");

    event->request = id == NULL ? NULL : request_of(records, id);
    if (event->request == NULL || !cw_hex_parse(text_of(json, "service"), &event->service) ||
        !cw_hex_parse(text_of(json, "key_hash"), &event->low) ||
        !cw_fence_parse(text_of(json, "fence"), &event->fence)) {
        return false;
    }
    event->last = event->low;
    return true;
}

static bool parse_event(cw_records_t *records, json_t *json, cw_event_t *event)
{
    const char      *name;
    const char      *server;
    const char      *incarnation_text;
    cw_incarnation_t incarnation;
    json_int_t       real_us;

    if (json_unpack(json, "{s:s,s:s,s:s,s:I}", "event", &name, "server", &server, "incarnation", &incarnation_text,
                    "real_us", &real_us) != 0 ||
        !kind_of(name, &event->kind) || !cw_hex_parse(incarnation_text, &incarnation)) {
        return false;
    }
    event->real_us = real_us;
    event->life = life_of(records, server, incarnation);
    switch (event->kind) {
    case CW_EVENT_BOOT:
    case CW_EVENT_RENEW:
        return true;
    case CW_EVENT_GRANT:
    case CW_EVENT_REVOKE:
    case CW_EVENT_LAPSE:
        return parse_area(json, event);
    default:
        return parse_run(records, json, event);
    }
}

static void note_time(cw_records_t *records, int64_t real_us)
{
    if (real_us > records->end_us) {
        records->end_us = real_us;
    }
}

static void count_effect(const cw_event_t *event)
{
    cw_request_facts_t *request = event->request;

    if (request->effects == 0 || event->real_us < request->first_effect_us) {
        request->first_effect_us = event->real_us;
    }
    request->effects++;
}

static void add_event(cw_records_t *records, const cw_event_t *event)
{
    cw_life_t *life = &records->lives[event->life];

    records->events = grow(records->events, records->event_count, sizeof(cw_event_t));
    records->events[records->event_count] = *event;
    records->events[records->event_count].sequence = records->event_count;
    records->event_count++;
    note_time(records, event->real_us);
    if (event->real_us > life->last_us) {
        life->last_us = event->real_us;
    }
    if (event->kind == CW_EVENT_EFFECT) {
        count_effect(event);
    }
}

int cw_records_add_event(cw_records_t *records, const char *line)
{
    json_t    *json = json_loads(line, 0, NULL);
    cw_event_t event = {0};
    bool       valid = json != NULL && parse_event(records, json, &event);

    json_decref(json);
    if (!valid) {
        return CW_ERROR_PARSE;
    }
    add_event(records, &event);
    return CW_OK;
}

static size_t service_of(cw_records_t *records, const char *tenant, const char *service)
{
    cw_service_id_t id = cw_hash_service(tenant, service);
    char            text[2 * CW_NAME_MAX + 2];
    size_t          i;

    for (i = 0; i < records->service_count; i++) {
        if (records->services[i].id == id) {
            return i;
        }
    }
    snprintf(text, sizeof(text), "%s/%s", tenant, service);
    records->services = grow(records->services, records->service_count, sizeof(cw_service_name_t));
    records->services[records->service_count] = (cw_service_name_t){.text = strdup(text), .id = id};
    return records->service_count++;
}

static bool parse_answer(cw_records_t *records, json_t *json, cw_answer_t *answer)
{
    const char *id;
    const char *tenant;
    const char *service;
    const char *key;
    const char *outcome;
    int         non_repeatable;
    int         is_repeat;
    json_int_t  intended_us;
    json_int_t  answered_us;

    if (json_unpack(json, "{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:i}", "request", &id, "tenant", &tenant, "service",
                    &service, "key", &key, "outcome", &outcome, "non_repeatable", &non_repeatable, "repeat", &is_repeat,
                    "intended_us", &intended_us, "answered_us", &answered_us, "status", &answer->status) != 0 ||
        !cw_call_end_parse(outcome, strlen(outcome), &answer->end)) {
        return false;
    }
    answer->request = request_of(records, id);
    if (answer->request == NULL) {
        return false;
    }
    answer->service = service_of(records, tenant, service);
    answer->intended_us = intended_us;
    answer->answered_us = answered_us;
    answer->is_repeat = is_repeat != 0;
    answer->is_foreign = json_is_false(json_object_get(json, "echoed"));
    answer->request->sent = true;
    answer->request->non_repeatable = non_repeatable != 0;
    answer->request->service = records->services[answer->service].id;
    answer->request->key_hash = cw_hash_key(key, strlen(key));
    return true;
}

int cw_records_add_answer(cw_records_t *records, const char *line)
{
    json_t     *json = json_loads(line, 0, NULL);
    cw_answer_t answer = {0};
    bool        valid = json != NULL && parse_answer(records, json, &answer);

    json_decref(json);
    if (!valid) {
        return CW_ERROR_PARSE;
    }
    if (answer.end == CW_CALL_NOT_RUN || answer.end == CW_CALL_NOT_SENT) {
        answer.request->refusals++;
    } else {
        answer.request->others++;
    }
    note_time(records, answer.answered_us);
    records->answers = grow(records->answers, records->answer_count, sizeof(cw_answer_t));
    records->answers[records->answer_count++] = answer;
    return CW_OK;
}

int cw_records_read(cw_records_t *records, const char *file_name, bool is_load, cw_violations_t *violations)
{
    FILE    *file = fopen(file_name, "re");
    char    *line = NULL;
    size_t   size = 0;
    unsigned number = 0;
    int      error;

    if (file == NULL) {
        return CW_ERROR_IO;
    }
    while (getline(&line, &size, file) > 0) {
        number++;
        error = is_load ? cw_records_add_answer(records, line) : cw_records_add_event(records, line);
        if (error != CW_OK) {
            cw_violation_add(violations, CW_VIOLATION_MALFORMED, "%s:%u: malformed record", file_name, number);
        }
    }
    free(line);
    fclose(file);
    return CW_OK;
}

/* Events of one process that bear the same time keep the order of their lines. */
static int by_time(const void *left, const void *right)
{
    const cw_event_t *a = left;
    const cw_event_t *b = right;

    if (a->real_us != b->real_us) {
        return a->real_us < b->real_us ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

static int by_answer_time(const void *left, const void *right)
{
    const cw_answer_t *a = left;
    const cw_answer_t *b = right;

    return a->answered_us < b->answered_us ? -1 : a->answered_us > b->answered_us;
}

void cw_records_sort(cw_records_t *records)
{
    if (records->event_count > 0) {
        qsort(records->events, records->event_count, sizeof(cw_event_t), by_time);
    }
    if (records->answer_count > 0) {
        qsort(records->answers, records->answer_count, sizeof(cw_answer_t), by_answer_time);
    }
}

void cw_records_clear(cw_records_t *records)
{
    cw_request_facts_t *request = records->requests;
    cw_request_facts_t *next;
    size_t              i;

    HASH_CLEAR(hh, records->requests);
    while (request != NULL) {
        next = request->hh.next;
        free(request);
        request = next;
    }
    for (i = 0; i < records->life_count; i++) {
        free(records->lives[i].server);
    }
    for (i = 0; i < records->service_count; i++) {
        free(records->services[i].text);
    }
    free(records->lives);
    free(records->events);
    free(records->answers);
    free(records->services);
    *records = (cw_records_t){0};
}
