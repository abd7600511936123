/**
 * @file journal_segments.c
 * @brief Map from intervals of key hashes to the seal and opening that hold there.
 */
#include "core/journal_internal.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { SEGMENTS_FIRST_CAPACITY = 16 };

void cw_journal_segments_clear(cw_journal_segments_t *segments)
{
    free(segments->items);
    memset(segments, 0, sizeof(*segments));
}

/* First segment that ends at or behind (service, key_hash). */
static size_t lower_bound(const cw_journal_segments_t *segments, cw_service_id_t service, cw_key_hash_t key_hash)
{
    size_t first = 0;
    size_t end = segments->count;

    while (first < end) {
        size_t                      middle = first + (end - first) / 2;
        const cw_journal_segment_t *segment = &segments->items[middle];

        if (segment->service < service || (segment->service == service && segment->last < key_hash)) {
            first = middle + 1;
        } else {
            end = middle;
        }
    }
    return first;
}

const cw_journal_segment_t *cw_journal_segments_find(const cw_journal_segments_t *segments, cw_service_id_t service,
                                                     cw_key_hash_t key_hash)
{
    size_t                      position = lower_bound(segments, service, key_hash);
    const cw_journal_segment_t *segment;

    if (position == segments->count) {
        return NULL;
    }
    segment = &segments->items[position];
    return segment->service == service && segment->low <= key_hash ? segment : NULL;
}

/* An update adds at most two segments by splitting and one more than there are segments by filling gaps. */
static int reserve(cw_journal_segments_t *segments, size_t extra)
{
    cw_journal_segment_t *items;
    size_t                capacity = segments->capacity == 0 ? SEGMENTS_FIRST_CAPACITY : segments->capacity;

    while (capacity < segments->count + extra) {
        capacity *= 2;
    }
    if (segments->items != NULL && capacity == segments->capacity) {
        return CW_OK;
    }
    items = realloc(segments->items, capacity * sizeof(*items));
    if (items == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    segments->items = items;
    segments->capacity = capacity;
    return CW_OK;
}

static void insert_at(cw_journal_segments_t *segments, size_t position, const cw_journal_segment_t *segment)
{
    memmove(&segments->items[position + 1], &segments->items[position],
            (segments->count - position) * sizeof(*segments->items));
    segments->items[position] = *segment;
    segments->count++;
}

static void remove_at(cw_journal_segments_t *segments, size_t position)
{
    segments->count--;
    memmove(&segments->items[position], &segments->items[position + 1],
            (segments->count - position) * sizeof(*segments->items));
}

/* Makes a border just before key_hash, if a segment lies across it. */
static void split_before(cw_journal_segments_t *segments, cw_service_id_t service, cw_key_hash_t key_hash)
{
    size_t               position = lower_bound(segments, service, key_hash);
    cw_journal_segment_t left;

    if (position == segments->count || segments->items[position].service != service ||
        segments->items[position].low >= key_hash) {
        return;
    }
    left = segments->items[position];
    left.last = key_hash - 1;
    segments->items[position].low = key_hash;
    insert_at(segments, position, &left);
}

static void fill_gaps(cw_journal_segments_t *segments, cw_service_id_t service, cw_key_hash_t low, cw_key_hash_t last)
{
    size_t               position = lower_bound(segments, service, low);
    cw_journal_segment_t gap = {.service = service, .low = low};

    for (;; position++) {
        const cw_journal_segment_t *next = position < segments->count ? &segments->items[position] : NULL;

        if (next == NULL || next->service != service || next->low > last) {
            gap.last = last;
            insert_at(segments, position, &gap);
            return;
        }
        if (next->low > gap.low) {
            gap.last = next->low - 1;
            insert_at(segments, position, &gap);
            position++;
            next = &segments->items[position];
        }
        if (next->last >= last) {
            return;
        }
        gap.low = next->last + 1;
    }
}

static bool can_merge(const cw_journal_segment_t *left, const cw_journal_segment_t *right)
{
    return left->service == right->service && left->last + 1 == right->low &&
           cw_fence_compare(left->sealed, right->sealed) == 0 && cw_fence_compare(left->opened, right->opened) == 0 &&
           cw_fence_compare(left->left, right->left) == 0 && left->opened_set == right->opened_set &&
           left->valid_from_ms == right->valid_from_ms;
}

/* Merges equal neighbours from the one before position on, while they belong to [low, last] or touch it. */
static void merge_around(cw_journal_segments_t *segments, size_t position, cw_service_id_t service, cw_key_hash_t last)
{
    size_t current = position > 0 ? position - 1 : 0;

    while (current + 1 < segments->count) {
        cw_journal_segment_t       *left = &segments->items[current];
        const cw_journal_segment_t *right = &segments->items[current + 1];

        if (left->service > service || (left->service == service && left->low > last)) {
            return;
        }
        if (can_merge(left, right)) {
            left->last = right->last;
            remove_at(segments, current + 1);
        } else {
            current++;
        }
    }
}

int cw_journal_segments_update(cw_journal_segments_t *segments, cw_service_id_t service, cw_key_hash_t low,
                               cw_key_hash_t last, cw_journal_segment_change_t change, const void *argument)
{
    size_t position;
    size_t first;

    if (reserve(segments, segments->count + 3) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    split_before(segments, service, low);
    if (last != UINT64_MAX) {
        split_before(segments, service, last + 1);
    }
    fill_gaps(segments, service, low, last);
    first = lower_bound(segments, service, low);
    for (position = first; position < segments->count; position++) {
        cw_journal_segment_t *segment = &segments->items[position];

        if (segment->service != service || segment->low > last) {
            break;
        }
        change(segment, argument);
    }
    merge_around(segments, first, service, last);
    return CW_OK;
}

static void add_to_summary(cw_journal_segment_t *summary, const cw_journal_segment_t *segment)
{
    summary->sealed = cw_fence_max(summary->sealed, segment->sealed);
    summary->left = cw_fence_max(summary->left, segment->left);
    if (segment->valid_from_ms > summary->valid_from_ms) {
        summary->valid_from_ms = segment->valid_from_ms;
    }
    if (segment->opened_set != summary->opened_set) {
        summary->opened_set = 0;
        summary->opened = (cw_fence_t){0, 0};
    } else if (cw_fence_compare(segment->opened, summary->opened) < 0) {
        summary->opened = segment->opened;
    }
}

cw_journal_segment_t cw_journal_segments_summary(const cw_journal_segments_t *segments, cw_service_id_t service,
                                                 cw_key_hash_t low, cw_key_hash_t last)
{
    size_t               position = lower_bound(segments, service, low);
    cw_journal_segment_t summary = {.service = service, .low = low, .last = last};
    cw_key_hash_t        covered = low;
    bool                 first = true;

    for (; position < segments->count; position++) {
        const cw_journal_segment_t *segment = &segments->items[position];

        if (segment->service != service || segment->low > last) {
            break;
        }
        if (segment->low > covered) {
            break;
        }
        if (first) {
            summary = *segment;
            first = false;
        } else {
            add_to_summary(&summary, segment);
        }
        if (segment->last >= last) {
            return summary;
        }
        covered = segment->last + 1;
    }
    /* Part of the interval is unknown here: nothing was opened as a whole, but seals and leaves still count. */
    for (; position < segments->count && segments->items[position].service == service &&
           segments->items[position].low <= last;
         position++) {
        add_to_summary(&summary, &segments->items[position]);
    }
    summary.opened = (cw_fence_t){0, 0};
    summary.opened_set = 0;
    return summary;
}
