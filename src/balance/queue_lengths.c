/**
 * @file queue_lengths.c
 * @brief Numbers of requests waiting at other nodes; queue_lengths.h has the rules.
 */
#include "balance/queue_lengths.h"

bool cw_queue_lengths_begin(cw_queue_lengths_t *lengths, uint64_t sender, cw_time_us_t validity, cw_time_us_t now)
{
    bool   any = lengths->count > 0;
    size_t kept = 0;
    size_t index;

    for (index = 0; index < lengths->count; index++) {
        const cw_queue_length_t *length = &lengths->items[index];

        if (length->sender.id != sender && now - length->at < validity) {
            lengths->items[kept++] = *length;
        }
    }
    lengths->count = kept;
    return any;
}

bool cw_queue_lengths_add(cw_queue_lengths_t *lengths, const cw_queue_length_t *length)
{
    if (lengths->count == CW_QUEUE_LENGTHS_MAX) {
        return false;
    }
    lengths->items[lengths->count++] = *length;
    return true;
}

uint32_t cw_queue_lengths_sum(const cw_queue_lengths_t *lengths, uint32_t service)
{
    uint32_t sum = 0;
    size_t   index;

    for (index = 0; index < lengths->count; index++) {
        if (lengths->items[index].service == service) {
            sum += lengths->items[index].queued;
        }
    }
    return sum;
}

void cw_queue_lengths_each_near(const cw_queue_lengths_t *lengths, cw_time_us_t validity, cw_time_us_t now,
                                void (*each)(void *context, const cw_queue_length_t *length), void *context)
{
    size_t index;

    for (index = 0; index < lengths->count; index++) {
        const cw_queue_length_t *length = &lengths->items[index];

        if (length->sender.is_near && now - length->at < validity) {
            each(context, length);
        }
    }
}
