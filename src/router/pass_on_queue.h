/**
 * @file pass_on_queue.h
 * @brief Changes of the leader that a relay passes on to the nodes of its zone, one node after the other.
 *
 * A change of the list may be many pages, and a zone hundreds of nodes: all of it at once would be dropped by the
 * socket. Rules:
 *  - An update is passed on once all of its pages are here, to each node that does not have it yet.
 *  - What is sent is taken from an allowance; the rest goes on as that is filled.
 *  - The two relays of a zone begin at opposite ends of its nodes, and serve a few of them at once. What a node has
 *    acknowledged to one of them, or got from the leader, the other one need not send.
 *  - Updates go in the order in which they came, so that each can be laid over the one before. One that has waited for
 *    long is dropped: the leader sends it by itself.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_PASS_ON_QUEUE_H
#define CEDARWINCH_ROUTER_PASS_ON_QUEUE_H

#include <stdbool.h>

#include "base/send_allowance.h"
#include "peer/datagram_batch.h"

enum {
    CW_PASS_ON_UPDATES = 16,   /**< that may wait; the leader makes some a second */
    CW_PASS_ON_PAGES = 4,      /**< for one node in one turn: 20 KB, some 10 ms of 20 Mbit/s */
    CW_PASS_ON_AT_ONCE = 16,   /**< nodes that have got a part of an update, and not all of it */
    CW_PASS_ON_WAIT_MS = 10000 /**< longest wait of an update */
};

typedef struct cw_pass_on_queue cw_pass_on_queue_t;

/** What pages belong to. */
typedef struct cw_pass_on_update {
    bool     is_list;    /**< of servers; else tables of keys */
    bool     is_relayed; /**< for relays, which pass it on */
    uint64_t term;
    uint64_t base; /**< 0: a whole */
    uint64_t number;
    uint32_t pages;
} cw_pass_on_update_t;

/** What a queue asks of its owner. */
typedef struct cw_pass_on_owner {
    void *context;
    /** Addresses of the nodes of the zone in the order in which they are to be sent to, in memory that becomes the
     * queue's. Returns how many. */
    size_t (*list_nodes)(void *context, uint32_t **addresses);
    /** Does the node need it, as far as known? */
    bool (*is_wanted)(void *context, uint32_t address, const cw_pass_on_update_t *update);
    /** Sends some of the pages to one node. Returns their bytes. */
    size_t (*send)(void *context, uint32_t address, const cw_datagram_batch_t *pages, size_t first, size_t count);
} cw_pass_on_owner_t;

cw_pass_on_queue_t *cw_pass_on_queue_create(const cw_pass_on_owner_t *owner);
void                cw_pass_on_queue_free(cw_pass_on_queue_t *queue);
/** A packed page has come. False: it is dropped, since too many updates wait. */
bool cw_pass_on_queue_add(cw_pass_on_queue_t *queue, const cw_pass_on_update_t *update, uint32_t page,
                          const cw_datagram_batch_t *packed, cw_time_us_t now);
/** All pages of an update, for this node; nothing if it is still being sent them. False: too many updates wait. */
bool cw_pass_on_queue_add_receiver(cw_pass_on_queue_t *queue, const cw_pass_on_update_t *update,
                                   const cw_datagram_batch_t *pages, uint32_t address, cw_time_us_t now);
/** A turn: sends what the allowance lets through. */
void cw_pass_on_queue_send(cw_pass_on_queue_t *queue, cw_send_allowance_t *allowance, cw_time_us_t now);
/** Updates that are not passed on whole yet. */
size_t cw_pass_on_queue_waiting(const cw_pass_on_queue_t *queue);

#endif
