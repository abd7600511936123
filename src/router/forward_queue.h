/**
 * @file forward_queue.h
 * @brief Queue of the leader's updates that a relay forwards to the nodes of its zone, a few nodes at a time.
 *
 * A change of the list may be many pages, and a zone may have hundreds of nodes. If all of it were sent at once, the
 * socket would drop datagrams. Rules:
 *  - An update is forwarded once all of its pages have been received, to each node that does not have it yet.
 *  - The bytes sent are taken from an allowance; the remaining pages are sent as the allowance is refilled.
 *  - The two relays of a zone begin at opposite ends of its list of nodes, and each sends to a few nodes at once. An
 *    update that a node has acknowledged to one relay, or received from the leader, is not sent by the other relay.
 *  - Updates are sent in the order in which they were received, so that each can be applied on top of the one before.
 *    An update that has waited for too long is dropped; the leader then sends it to the nodes directly.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_FORWARD_QUEUE_H
#define CEDARWINCH_ROUTER_FORWARD_QUEUE_H

#include <stdbool.h>

#include "base/send_allowance.h"
#include "peer/datagram_batch.h"

enum {
    CW_FORWARD_UPDATES_MAX = 16,    /**< most updates that wait; the leader makes several a second */
    CW_FORWARD_PAGES_PER_TURN = 4,  /**< pages sent to one node in one turn: 20 KB, about 10 ms at 20 Mbit/s */
    CW_FORWARD_INCOMPLETE_MAX = 16, /**< most nodes that have received a part of an update, but not all of it */
    CW_FORWARD_WAIT_MAX_MS = 10000  /**< an update that has waited for longer is dropped */
};

/** Updates that wait until they have been forwarded. */
typedef struct cw_forward_queue cw_forward_queue_t;

/** Identifies the update that a page belongs to. */
typedef struct cw_forwarded_update {
    bool     is_list;    /**< true: list of servers; false: tables of keys */
    bool     is_relayed; /**< its receivers are relays, which forward it */
    uint64_t term;       /**< of the leader that made it */
    uint64_t base;       /**< version that the changes apply to; 0: the whole list or tables */
    uint64_t version;    /**< of the list or the tables that result */
    uint32_t pages;
} cw_forwarded_update_t;

/** Callbacks by which a queue asks its owner about nodes and sends pages. */
typedef struct cw_forward_queue_owner {
    void *context;
    /** Lists the addresses of the zone's nodes in the order in which they are sent to. The queue frees the memory.
     * Returns their count. */
    size_t (*list_nodes)(void *context, uint32_t **addresses);
    /** Whether the node needs the update, as far as this node knows. */
    bool (*is_wanted)(void *context, uint32_t address, const cw_forwarded_update_t *update);
    /** Sends `count` pages, from page `first` on, to one node. Returns the number of bytes sent. */
    size_t (*send)(void *context, uint32_t address, const cw_datagram_batch_t *pages, size_t first, size_t count);
} cw_forward_queue_owner_t;

/** Creates an empty queue. owner: copied. */
cw_forward_queue_t *cw_forward_queue_create(const cw_forward_queue_owner_t *owner);
/** Frees the queue with its updates. */
void cw_forward_queue_free(cw_forward_queue_t *queue);
/** Adds a packed page that this relay has received. False: the page is invalid, or is dropped because too many updates
 * wait. */
bool cw_forward_queue_add(cw_forward_queue_t *queue, const cw_forwarded_update_t *update, uint32_t page,
                          const cw_datagram_batch_t *packed, cw_time_us_t now);
/** Queues all pages of an update for one node. Does nothing if they are still being sent to it. False: too many updates
 * wait. */
bool cw_forward_queue_add_receiver(cw_forward_queue_t *queue, const cw_forwarded_update_t *update,
                                   const cw_datagram_batch_t *pages, uint32_t address, cw_time_us_t now);
/** Sends as many pages as the allowance permits. Called once a turn of the loop. */
void cw_forward_queue_send(cw_forward_queue_t *queue, cw_send_allowance_t *allowance, cw_time_us_t now);
/** Number of updates that have not been forwarded completely yet. */
size_t cw_forward_queue_waiting(const cw_forward_queue_t *queue);

#endif
