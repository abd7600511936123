/**
 * @file queue_lengths.h
 * @brief Numbers of requests waiting at other nodes, as reported by them, summed by service.
 *
 * Rules:
 *  - A report replaces all earlier entries of its sender.
 *  - An entry counts until it is older than its validity; the next report of any sender then removes it.
 *  - There is space for CW_QUEUE_LENGTHS_MAX entries. The caller counts and logs entries that do not fit: the service
 *    then appears less busy at other nodes than it is.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_QUEUE_LENGTHS_H
#define CEDARWINCH_BALANCE_QUEUE_LENGTHS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    /** Entries: 32 services (the most in a report) of each of eight senders with queues at the same time. */
    CW_QUEUE_LENGTHS_MAX = 256
};

/** Sender of a report: a node, identified by its address, or all nodes of another zone, identified by the zone's
 * number. */
typedef struct cw_queue_sender {
    uint64_t id;
    bool     is_near; /**< true: a node of this zone */
} cw_queue_sender_t;

/** Number of requests of one service that wait at a sender. */
typedef struct cw_queue_length {
    cw_queue_sender_t sender;
    uint32_t          service; /**< hash of its name */
    uint32_t          queued;
    cw_time_us_t      at; /**< when the report was received */
} cw_queue_length_t;

/** Zero-initialised: no reports. */
typedef struct cw_queue_lengths {
    cw_queue_length_t items[CW_QUEUE_LENGTHS_MAX];
    size_t            count;
} cw_queue_lengths_t;

/** Begins a report of this sender: removes its earlier entries, and all entries older than `validity`. True: there were
 * entries of any sender before. */
bool cw_queue_lengths_begin(cw_queue_lengths_t *lengths, uint64_t sender, cw_time_us_t validity, cw_time_us_t now);
/** Adds an entry of the report. False: there is no space left. */
bool cw_queue_lengths_add(cw_queue_lengths_t *lengths, const cw_queue_length_t *length);
/** Number of requests for this service that wait at other nodes. */
uint32_t cw_queue_lengths_sum(const cw_queue_lengths_t *lengths, uint32_t service);
/** Calls `each` for the entries of near senders that are younger than `validity`. */
void cw_queue_lengths_each_near(const cw_queue_lengths_t *lengths, cw_time_us_t validity, cw_time_us_t now,
                                void (*each)(void *context, const cw_queue_length_t *length), void *context);

#endif
