/**
 * @file range.c
 * @brief Lists of ranges and their stored form.
 */
#include "assignment/range.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "model/store_epoch.h"

enum { INITIAL_CAPACITY = 16, HEX_TEXT_BYTES = 32 };

cw_range_t *cw_range_list_add(cw_range_list_t *list)
{
    if (list->count == list->capacity) {
        list->capacity = list->capacity == 0 ? INITIAL_CAPACITY : 2 * list->capacity;
        list->items = cw_memory_resize(list->items, list->capacity * sizeof(*list->items));
    }
    memset(&list->items[list->count], 0, sizeof(*list->items));
    return &list->items[list->count++];
}

void cw_range_list_clear(cw_range_list_t *list)
{
    free(list->items);
    memset(list, 0, sizeof(*list));
}

void cw_range_list_copy(cw_range_list_t *to, const cw_range_list_t *from)
{
    size_t index;

    to->count = 0;
    for (index = 0; index < from->count; index++) {
        *cw_range_list_add(to) = from->items[index];
    }
}

cw_range_t *cw_range_list_find(const cw_range_list_t *list, uint32_t key)
{
    size_t low = 0;
    size_t high = list->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (list->items[middle].last < key) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low < list->count ? &list->items[low] : NULL;
}

bool cw_range_list_split(cw_range_list_t *list, size_t index, uint32_t low)
{
    cw_range_t *left = &list->items[index];

    if (low <= left->low || low > left->last) {
        return false;
    }
    cw_range_list_add(list);
    memmove(&list->items[index + 1], &list->items[index], (list->count - 1 - index) * sizeof(*list->items));
    list->items[index].last = low - 1;
    list->items[index + 1].low = low;
    return true;
}

bool cw_range_is_routable(const cw_range_t *range)
{
    return range->phase == CW_RANGE_HELD || (range->phase == CW_RANGE_GRANTING && range->keeps_serving);
}

bool cw_range_list_is_complete(const cw_range_list_t *list)
{
    uint32_t next = 0;
    size_t   index;

    for (index = 0; index < list->count; index++) {
        if (list->items[index].low != next || list->items[index].last < next) {
            return false;
        }
        next = list->items[index].last + 1;
    }
    return next == CW_KEY_LAST + 1;
}

/* ---- stored form: [low, last, owner, address, fence], followed by former, address, fence during a move ---- */

static json_t *range_to_json(const cw_range_t *range)
{
    json_t *value = json_pack("[I, I, s, s, I]", (json_int_t)range->low, (json_int_t)range->last, range->owner.id,
                              range->owner.address, (json_int_t)range->owner.fence);

    if (range->former.id[0] != '\0') {
        json_array_append_new(value, json_string(range->former.id));
        json_array_append_new(value, json_string(range->former.address));
        json_array_append_new(value, json_integer((json_int_t)range->former.fence));
    }
    return value;
}

json_t *cw_assignment_record_to_json(const cw_assignment_record_t *record)
{
    json_t *ranges = json_array();
    json_t *value;
    char    writer[HEX_TEXT_BYTES];
    size_t  index;

    for (index = 0; index < record->ranges.count; index++) {
        json_array_append_new(ranges, range_to_json(&record->ranges.items[index]));
    }
    snprintf(writer, sizeof(writer), "%016" PRIx64, record->writer);
    value = json_pack("{s:I, s:I, s:s, s:I, s:b, s:o}", "term", (json_int_t)record->term, "write",
                      (json_int_t)record->write, "writer", writer, "last_fence", (json_int_t)record->last_fence,
                      "waiting", record->is_waiting, "ranges", ranges);
    cw_store_stamp_to_json(value, record->epoch_stamp);
    return value;
}

static void set_holder(cw_holder_t *holder, const char *id, const char *address, json_int_t fence)
{
    snprintf(holder->id, sizeof(holder->id), "%s", id);
    snprintf(holder->address, sizeof(holder->address), "%s", address);
    holder->fence = (uint64_t)fence;
}

static bool range_from_json(cw_range_t *range, json_t *value)
{
    json_int_t  low;
    json_int_t  last;
    json_int_t  fence;
    json_int_t  former_fence = 0;
    const char *id;
    const char *address;
    const char *former = NULL;
    const char *former_address = NULL;

    if (json_unpack(value, "[I, I, s, s, I]", &low, &last, &id, &address, &fence) != 0) {
        return false;
    }
    range->low = (uint32_t)low;
    range->last = (uint32_t)last;
    set_holder(&range->owner, id, address, fence);
    if (json_array_size(value) > 5) {
        if (json_unpack(value, "[I, I, s, s, I, s, s, I]", &low, &last, &id, &address, &fence, &former, &former_address,
                        &former_fence) != 0) {
            return false;
        }
        set_holder(&range->former, former, former_address, former_fence);
    }
    return true;
}

bool cw_assignment_record_from_json(cw_assignment_record_t *record, const json_t *value)
{
    json_int_t  term;
    json_int_t  write;
    json_int_t  last_fence;
    const char *writer;
    json_t     *ranges;
    size_t      index;

    memset(record, 0, sizeof(*record));
    if (value == NULL || json_unpack((json_t *)value, "{s:I, s:I, s:s, s:I, s:o}", "term", &term, "write", &write,
                                     "writer", &writer, "last_fence", &last_fence, "ranges", &ranges) != 0) {
        return false;
    }
    record->term = (uint64_t)term;
    record->write = (uint64_t)write;
    record->writer = strtoull(writer, NULL, 16);
    record->last_fence = (uint64_t)last_fence;
    record->epoch_stamp = cw_store_stamp_from_json(value);
    record->is_waiting = json_is_true(json_object_get(value, "waiting"));
    for (index = 0; index < json_array_size(ranges); index++) {
        if (!range_from_json(cw_range_list_add(&record->ranges), json_array_get(ranges, index))) {
            cw_range_list_clear(&record->ranges);
            return false;
        }
    }
    if (!cw_range_list_is_complete(&record->ranges)) {
        cw_range_list_clear(&record->ranges);
        return false;
    }
    return true;
}
