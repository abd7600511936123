/**
 * @file queue_lengths.h
 * @brief Requests that wait at other nodes, as these report them, summed by service.
 *
 * Rules:
 *  - A report of a sender replaces all that it reported before.
 *  - What a sender reported counts until the entry is older than its validity; then the next report of any sender drops
 *    it.
 *  - There is space for CW_QUEUE_LENGTHS_MAX entries. What does not fit is counted, and the caller logs it: the service
 *    then seems less busy elsewhere than it is.
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
    CW_QUEUE_LENGTHS_MAX = 256 /**< entries: 32 services (a report's most) of eight senders with queues at once */
};

/** Who reports: a node by its address, or all nodes of another zone by the zone's number. */
typedef struct cw_queue_sender {
    uint64_t id;
    bool     is_near; /**< a node of this zone */
} cw_queue_sender_t;

/** Requests of one service that wait at a sender. */
typedef struct cw_queue_length {
    cw_queue_sender_t sender;
    uint32_t          service; /**< hash of its name */
    uint32_t          queued;
    cw_time_us_t      at; /**< when the report came */
} cw_queue_length_t;

/** All zeros: nothing is reported. */
typedef struct cw_queue_lengths {
    cw_queue_length_t items[CW_QUEUE_LENGTHS_MAX];
    size_t            count;
} cw_queue_lengths_t;

/** Begins a report of this sender: drops what it reported before, and what is older than `validity`. True: there was
 * something before. */
bool cw_queue_lengths_begin(cw_queue_lengths_t *lengths, uint64_t sender, cw_time_us_t validity, cw_time_us_t now);
/** Adds an entry of the report. False: there is no space left. */
bool cw_queue_lengths_add(cw_queue_lengths_t *lengths, const cw_queue_length_t *length);
/** Requests for this service that wait at other nodes. */
uint32_t cw_queue_lengths_sum(const cw_queue_lengths_t *lengths, uint32_t service);
/** Gives out the entries of near senders that are younger than `validity`. */
void cw_queue_lengths_each_near(const cw_queue_lengths_t *lengths, cw_time_us_t validity, cw_time_us_t now,
                                void (*each)(void *context, const cw_queue_length_t *length), void *context);

#endif
