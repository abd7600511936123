/**
 * @file run_report.c
 * @brief Makes the report of a run: counts its log lines.
 */
#include "cli/run_report.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/text.h"

enum { KEYS = 65536 /* numbers of keys: 0 to 65535 */, GROWTH = 64 };

static const double refused_window_s = 1.0;

const char *const cw_report_outcome_names[CW_OUTCOMES] = {"in aim",         "late",           "refused: slot",
                                                          "refused: owner", "refused: other", "failed"};

static void *allocate(size_t count, size_t size)
{
    void *memory = calloc(count == 0 ? 1 : count, size);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

/* ---- outcomes ---- */

static bool is_outcome(const cw_log_line_t *line)
{
    return strcmp(line->event, "served") == 0 || strcmp(line->event, "refused") == 0 ||
           strcmp(line->event, "failed") == 0;
}

static cw_report_outcome_t outcome_of(const cw_log_line_t *line)
{
    const char *reason = cw_log_line_text(line, "reason");
    double      aim_ms = cw_log_line_number(line, "aim_ms");

    if (strcmp(line->event, "served") == 0) {
        return aim_ms > 0 && cw_log_line_number(line, "total_ms") > aim_ms ? CW_OUTCOME_LATE : CW_OUTCOME_IN_AIM;
    }
    if (strcmp(line->event, "failed") == 0) {
        return CW_OUTCOME_FAILED;
    }
    if (strcmp(reason, "no slot in time") == 0) {
        return CW_OUTCOME_REFUSED_SLOT;
    }
    return strncmp(reason, "owner of the key", strlen("owner of the key")) == 0 ? CW_OUTCOME_REFUSED_OWNER
                                                                                : CW_OUTCOME_REFUSED_OTHER;
}

static size_t second_of(const cw_run_report_t *report, double time)
{
    return time < report->start ? 0 : (size_t)(time - report->start);
}

static cw_report_service_t *service_of(cw_run_report_t *report, const char *name)
{
    cw_report_service_t *service;
    size_t               index;

    for (index = 0; index < report->service_count; index++) {
        if (strcmp(report->services[index].name, name) == 0) {
            return &report->services[index];
        }
    }
    report->services = cw_memory_resize(report->services, (report->service_count + 1) * sizeof(*report->services));
    service = &report->services[report->service_count++];
    memset(service, 0, sizeof(*service));
    cw_text_copy(service->name, sizeof(service->name), name);
    service->by_second = allocate(report->seconds, sizeof(*service->by_second));
    return service;
}

static void count_outcomes(cw_run_report_t *report, const cw_log_lines_t *lines)
{
    size_t index;

    for (index = 0; index < lines->count; index++) {
        const cw_log_line_t *line = &lines->items[index];
        cw_report_service_t *service;
        cw_report_outcome_t  outcome;

        if (strcmp(line->event, "lines dropped") == 0) {
            report->dropped += (uint32_t)cw_log_line_number(line, "count");
        }
        if (!is_outcome(line) || cw_log_line_text(line, "service")[0] == '\0') {
            continue;
        }
        service = service_of(report, cw_log_line_text(line, "service"));
        outcome = outcome_of(line);
        service->by_second[second_of(report, line->time)].counts[outcome]++;
        service->all.counts[outcome]++;
    }
}

/* ---- hottest keys ---- */

static bool is_keyed_outcome_of(const cw_log_line_t *line, const cw_report_service_t *service)
{
    return is_outcome(line) && json_object_get(line->fields, "key") != NULL &&
           strcmp(cw_log_line_text(line, "service"), service->name) == 0;
}

static void choose_hot_keys(cw_report_service_t *service, const uint32_t *requests)
{
    uint32_t key;

    for (key = 0; key < KEYS; key++) {
        size_t rank;

        if (requests[key] == 0) {
            continue;
        }
        for (rank = service->hot_count; rank > 0 && service->hot[rank - 1].requests < requests[key]; rank--) {
            if (rank < CW_REPORT_HOT_KEYS) {
                service->hot[rank] = service->hot[rank - 1];
            }
        }
        if (rank < CW_REPORT_HOT_KEYS) {
            memset(&service->hot[rank], 0, sizeof(service->hot[rank]));
            service->hot[rank].key = key;
            service->hot[rank].requests = requests[key];
            service->hot_count += service->hot_count < CW_REPORT_HOT_KEYS ? 1 : 0;
        }
    }
}

static void add_owner(cw_report_key_t *hot, const char *server, double at)
{
    cw_report_owner_t *last = hot->owner_count == 0 ? NULL : &hot->owners[hot->owner_count - 1];

    if (last != NULL && strcmp(last->server, server) == 0) {
        last->to = at;
    } else if (hot->owner_count < CW_REPORT_OWNERS_MAX) {
        cw_text_copy(hot->owners[hot->owner_count].server, CW_REPORT_NAME_MAX, server);
        hot->owners[hot->owner_count].from = at;
        hot->owners[hot->owner_count++].to = at;
    }
}

static void count_hot_key(const cw_run_report_t *report, cw_report_key_t *hot, const cw_log_line_t *line)
{
    cw_report_outcome_t outcome = outcome_of(line);

    hot->by_second[second_of(report, line->time)]++;
    hot->outcomes.counts[outcome]++;
    if (outcome == CW_OUTCOME_IN_AIM || outcome == CW_OUTCOME_LATE) {
        add_owner(hot, cw_log_line_text(line, "server"), line->time - report->start);
    }
}

static void find_hot_keys(const cw_run_report_t *report, cw_report_service_t *service, const cw_log_lines_t *lines)
{
    uint32_t *requests = allocate(KEYS, sizeof(*requests));
    size_t    index;
    size_t    rank;

    for (index = 0; index < lines->count; index++) {
        double key = cw_log_line_number(&lines->items[index], "key");

        if (is_keyed_outcome_of(&lines->items[index], service) && key >= 0 && key < KEYS) {
            requests[(size_t)key]++;
        }
    }
    choose_hot_keys(service, requests);
    free(requests);
    for (rank = 0; rank < service->hot_count; rank++) {
        service->hot[rank].by_second = allocate(report->seconds, sizeof(uint32_t));
    }
    for (index = 0; index < lines->count; index++) {
        for (rank = 0; is_keyed_outcome_of(&lines->items[index], service) && rank < service->hot_count; rank++) {
            if (cw_log_line_number(&lines->items[index], "key") == service->hot[rank].key) {
                count_hot_key(report, &service->hot[rank], &lines->items[index]);
            }
        }
    }
}

/* ---- moves ---- */

static cw_report_move_t *add_move(cw_run_report_t *report)
{
    if (report->move_count % GROWTH == 0) {
        report->moves = cw_memory_resize(report->moves, (report->move_count + GROWTH) * sizeof(*report->moves));
    }
    memset(&report->moves[report->move_count], 0, sizeof(*report->moves));
    return &report->moves[report->move_count++];
}

static cw_report_move_t *find_open_move(cw_run_report_t *report, const cw_log_line_t *line)
{
    size_t index;

    for (index = report->move_count; index > 0; index--) {
        cw_report_move_t *move = &report->moves[index - 1];

        if (move->granted == 0 && strcmp(move->service, cw_log_line_text(line, "service")) == 0 &&
            move->low == (uint32_t)cw_log_line_number(line, "low") &&
            move->last == (uint32_t)cw_log_line_number(line, "last")) {
            return move;
        }
    }
    return NULL;
}

static uint32_t count_refused(const cw_log_lines_t *lines, size_t before, const cw_report_move_t *move)
{
    uint32_t count = 0;
    size_t   index;

    for (index = before; index > 0 && lines->items[before].time - lines->items[index - 1].time < refused_window_s;
         index--) {
        const cw_log_line_t *line = &lines->items[index - 1];
        double               key = cw_log_line_number(line, "key");

        if (strcmp(line->event, "refused") == 0 && outcome_of(line) == CW_OUTCOME_REFUSED_OWNER &&
            strcmp(cw_log_line_text(line, "service"), move->service) == 0 && key >= move->low && key <= move->last) {
            count++;
        }
    }
    return count;
}

static void start_move(cw_run_report_t *report, const cw_log_line_t *line)
{
    cw_report_move_t *move = add_move(report);

    cw_text_copy(move->service, sizeof(move->service), cw_log_line_text(line, "service"));
    cw_text_copy(move->to, sizeof(move->to), cw_log_line_text(line, "server"));
    cw_text_copy(move->from, sizeof(move->from), cw_log_line_text(line, "former"));
    cw_text_copy(move->how, sizeof(move->how), cw_log_line_text(line, "detail"));
    move->low = (uint32_t)cw_log_line_number(line, "low");
    move->last = (uint32_t)cw_log_line_number(line, "last");
    move->released = line->time - report->start;
}

static void find_moves(cw_run_report_t *report, const cw_log_lines_t *lines)
{
    size_t index;

    for (index = 0; index < lines->count; index++) {
        const cw_log_line_t *line = &lines->items[index];
        cw_report_move_t    *move;

        if (strcmp(line->event, "assignment") != 0 || line->time < report->start) {
            continue;
        }
        if (strncmp(cw_log_line_text(line, "reason"), "granted", strlen("granted")) != 0) {
            start_move(report, line);
            continue;
        }
        move = find_open_move(report, line);
        if (move != NULL) {
            move->granted = line->time - report->start;
            move->refused = count_refused(lines, index, move);
        }
    }
}

/* ---- the report ---- */

void cw_run_report_make(cw_run_report_t *report, const cw_log_lines_t *lines)
{
    double end = 0;
    size_t index;

    memset(report, 0, sizeof(*report));
    for (index = 0; index < lines->count; index++) {
        const cw_log_line_t *line = &lines->items[index];

        if (!is_outcome(line) || cw_log_line_text(line, "service")[0] == '\0') {
            continue;
        }
        report->start = report->start == 0 ? floor(line->time) : report->start;
        end = line->time;
    }
    report->seconds = end == 0 ? 0 : (size_t)(end - report->start) + 1;
    count_outcomes(report, lines);
    for (index = 0; index < report->service_count; index++) {
        find_hot_keys(report, &report->services[index], lines);
    }
    find_moves(report, lines);
    cw_run_refusals_make(&report->refusals, lines);
}

void cw_run_report_clear(cw_run_report_t *report)
{
    size_t index;
    size_t rank;

    for (index = 0; index < report->service_count; index++) {
        for (rank = 0; rank < report->services[index].hot_count; rank++) {
            free(report->services[index].hot[rank].by_second);
        }
        free(report->services[index].by_second);
    }
    free(report->services);
    free(report->moves);
    memset(report, 0, sizeof(*report));
}
