/**
 * @file check_ownership.c
 * @brief Checks that no key hash has two owners at once and that effects lie within ownership.
 *
 * A span is the time during which one process owns a part of a service's key space under a fence: from its grant to
 * its revocation or lapse. A loss may take a part of a span only; the rest goes on as a span of its own. A process
 * that was killed leaves spans open: they end with its last record, because nothing shows that it lived on.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "evidence.h"

typedef struct span {
    size_t          life;
    cw_service_id_t service;
    cw_key_hash_t   low;
    cw_key_hash_t   last;
    cw_fence_t      fence;
    int64_t         start_us;
    int64_t         end_us;
    bool            open;
} span_t;

typedef struct spans {
    span_t *items;
    size_t  count;
    size_t  capacity;
} spans_t;

enum { INITIAL_CAPACITY = 64 };

static void add_span(spans_t *spans, span_t span)
{
    if (spans->count == spans->capacity) {
        spans->capacity = spans->capacity == 0 ? INITIAL_CAPACITY : 2 * spans->capacity;
        spans->items = realloc(spans->items, spans->capacity * sizeof(span_t));
        if (spans->items == NULL) {
            abort();
        }
    }
    spans->items[spans->count++] = span;
}

static bool overlap(const span_t *span, cw_key_hash_t low, cw_key_hash_t last)
{
    return span->low <= last && low <= span->last;
}

/* Ends the part of an open span that was lost; what is left of it on either side stays open. */
static void lose_part(spans_t *spans, size_t index, const cw_event_t *event)
{
    span_t rest = spans->items[index];

    if (rest.low < event->low) {
        rest.last = event->low - 1;
        spans->items[index].low = event->low;
        add_span(spans, rest);
        rest = spans->items[index];
    }
    if (rest.last > event->last) {
        rest.low = event->last + 1;
        spans->items[index].last = event->last;
        add_span(spans, rest);
    }
    spans->items[index].open = false;
    spans->items[index].end_us = event->real_us;
}

static void apply_loss(spans_t *spans, const cw_event_t *event)
{
    size_t        count = spans->count;
    size_t        i;
    const span_t *span;

    for (i = 0; i < count; i++) {
        span = &spans->items[i];
        if (span->open && span->service == event->service && cw_fence_compare(span->fence, event->fence) == 0 &&
            overlap(span, event->low, event->last)) {
            lose_part(spans, i, event);
        }
    }
}

static void apply_grant(spans_t *spans, const cw_event_t *event)
{
    add_span(spans, (span_t){.life = event->life,
                             .service = event->service,
                             .low = event->low,
                             .last = event->last,
                             .fence = event->fence,
                             .start_us = event->real_us,
                             .open = true});
}

/* Spans of each process, in the order of its events. */
static spans_t *make_spans(const cw_records_t *records)
{
    spans_t          *lives = calloc(records->life_count + 1, sizeof(spans_t));
    const cw_event_t *event;
    size_t            i;
    size_t            j;

    if (lives == NULL) {
        abort();
    }
    for (i = 0; i < records->event_count; i++) {
        event = &records->events[i];
        if (event->kind == CW_EVENT_GRANT) {
            apply_grant(&lives[event->life], event);
        } else if (event->kind == CW_EVENT_REVOKE || event->kind == CW_EVENT_LAPSE) {
            apply_loss(&lives[event->life], event);
        }
    }
    for (i = 0; i < records->life_count; i++) {
        for (j = 0; j < lives[i].count; j++) {
            if (lives[i].items[j].open) {
                lives[i].items[j].end_us = records->lives[i].last_us;
            }
        }
    }
    return lives;
}

static bool owned(const spans_t *spans, const cw_event_t *event)
{
    const span_t *span;
    size_t        i;

    for (i = spans->count; i > 0; i--) {
        span = &spans->items[i - 1];
        if (span->service == event->service && overlap(span, event->low, event->last) &&
            cw_fence_compare(span->fence, event->fence) == 0 && span->start_us <= event->real_us &&
            event->real_us <= span->end_us) {
            return true;
        }
    }
    return false;
}

static void check_effects(const cw_records_t *records, const spans_t *lives, cw_violations_t *violations)
{
    const cw_event_t *event;
    size_t            i;

    for (i = 0; i < records->event_count; i++) {
        event = &records->events[i];
        if ((event->kind == CW_EVENT_EFFECT || event->kind == CW_EVENT_START) && !owned(&lives[event->life], event)) {
            cw_violation_add(violations, CW_VIOLATION_NOT_OWNED,
                             "%s: request %s, key hash %016" PRIx64 ", fence %" PRIu64 ".%" PRIu64 " at %" PRId64,
                             records->lives[event->life].server, event->request->id, event->low,
                             event->fence.generation, event->fence.index, event->real_us);
        }
    }
}

static int by_start(const void *left, const void *right)
{
    const span_t *a = left;
    const span_t *b = right;

    return a->start_us < b->start_us ? -1 : a->start_us > b->start_us;
}

static spans_t all_spans(const cw_records_t *records, const spans_t *lives)
{
    spans_t all = {0};
    size_t  i;
    size_t  j;

    for (i = 0; i < records->life_count; i++) {
        for (j = 0; j < lives[i].count; j++) {
            add_span(&all, lives[i].items[j]);
        }
    }
    if (all.count > 0) {
        qsort(all.items, all.count, sizeof(span_t), by_start);
    }
    return all;
}

static void report_two_owners(const cw_records_t *records, const span_t *first, const span_t *second,
                              cw_violations_t *violations)
{
    cw_violation_add(violations, CW_VIOLATION_TWO_OWNERS,
                     "%s (fence %" PRIu64 ".%" PRIu64 ", %" PRId64 " to %" PRId64 ") and %s (fence %" PRIu64 ".%" PRIu64
                     ", from %" PRId64 ") both own key hash %016" PRIx64,
                     records->lives[first->life].server, first->fence.generation, first->fence.index, first->start_us,
                     first->end_us, records->lives[second->life].server, second->fence.generation, second->fence.index,
                     second->start_us, first->low > second->low ? first->low : second->low);
}

/* Sweeps in the order of starts, with the spans that have not ended yet. */
static void check_exclusive(const cw_records_t *records, const spans_t *lives, cw_violations_t *violations)
{
    spans_t        all = all_spans(records, lives);
    const span_t **current = calloc(all.count + 1, sizeof(const span_t *));
    const span_t  *span;
    size_t         current_count = 0;
    size_t         kept;
    size_t         i;
    size_t         j;

    for (i = 0; current != NULL && i < all.count; i++) {
        span = &all.items[i];
        kept = 0;
        for (j = 0; j < current_count; j++) {
            if (current[j]->end_us <= span->start_us) {
                continue;
            }
            if (current[j]->life != span->life && current[j]->service == span->service &&
                overlap(current[j], span->low, span->last)) {
                report_two_owners(records, current[j], span, violations);
            }
            current[kept++] = current[j];
        }
        current[kept++] = span;
        current_count = kept;
    }
    free(current);
    free(all.items);
}

void cw_check_ownership(const cw_records_t *records, cw_violations_t *violations)
{
    spans_t *lives = make_spans(records);
    size_t   i;

    check_effects(records, lives, violations);
    check_exclusive(records, lives, violations);
    for (i = 0; i < records->life_count; i++) {
        free(lives[i].items);
    }
    free(lives);
}
