/**
 * @file list_exchange.h
 * @brief How nodes of a zone get the whole list of servers from each other.
 *
 * Rules:
 *  - A node requests the list that the leader's heartbeat names if it has another one, and none of the leader's term to
 *    which changes could be applied. It asks a node of its zone that has reported that list. If no page arrives within
 *    a timeout, it asks the next node for the pages that are missing. After two such nodes it sends requests rarely,
 *    since the leader then sends the list itself.
 *  - A node sends requests only while heartbeats arrive: a zone that is cut off from the leader requests nothing.
 *  - A transfer continues with its version of the list while newer versions appear. The changes since then are few and
 *    are applied afterwards.
 *  - The number of nodes that have the list doubles with each transfer. A node serves as many nodes at a time as small
 *    links fit into its own link, so that these soon serve others. It sends no more than its allowance, a part of its
 *    link. Further requests wait, and their senders receive a redirect to a node that has already been served.
 *  - A received list is offered to the owner, who decides by the store's revision whether it replaces the list in
 *    force.
 *
 * No I/O, no clock: requests and pages are sent through callbacks, and time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_LIST_EXCHANGE_H
#define CEDARWINCH_ROUTER_LIST_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIST_WINDOW_PAGES = 8 /**< pages of one request: 40 KB, which take 0.1 s at a third of 10 Mbit/s */
};

/** Requests and replies of one node. */
typedef struct cw_list_exchange cw_list_exchange_t;

/** Identifies a list of servers by the term of the leader that published it, and its version. */
typedef struct cw_list_id {
    uint64_t term;
    uint64_t version; /**< within the term; 0: none */
} cw_list_id_t;

/** Pages of a list that a node requests. */
typedef struct cw_list_window {
    cw_list_id_t of;
    uint32_t     first; /**< first page that is missing */
    uint32_t     count; /**< number of pages */
} cw_list_window_t;

/** Callbacks and settings that the owner of an exchange provides. */
typedef struct cw_list_exchange_owner {
    void *context;
    /** Requests these pages from the node at `address`. */
    void (*request)(void *context, uint32_t address, const cw_list_window_t *window);
    /** Sends these pages. Returns the bytes sent; 0: this node does not have that list. is_last: set to true if the
     * last page of the list was among them. */
    size_t (*send_pages)(void *context, uint32_t address, const cw_list_window_t *window, bool *is_last);
    /** Sends a redirect to the node at `address`: another node has received the list from this one. */
    void (*redirect)(void *context, uint32_t address, cw_list_id_t of, uint32_t other_holder);
    double   bytes_per_s; /**< bytes of pages that may be sent per second; 0: no limit */
    uint32_t own_address; /**< start of the rotation, so that nodes that start together ask different ones */
} cw_list_exchange_owner_t;

/** Creates an exchange that neither wants nor sends a list yet. The owner's settings are copied. */
cw_list_exchange_t *cw_list_exchange_create(const cw_list_exchange_owner_t *owner);
/** Frees the exchange. */
void cw_list_exchange_destroy(cw_list_exchange_t *exchange);

/** Records that the leader's heartbeat names the list `wanted`, while `has` is in force here. If both are of the same
 * term, nothing is requested, since the leader sends the changes. */
void cw_list_exchange_set_wanted(cw_list_exchange_t *exchange, cw_list_id_t wanted, cw_list_id_t has, cw_time_us_t now);
/** Records that the node at `address`, of this node's zone, has this list. */
void cw_list_exchange_record_holder(cw_list_exchange_t *exchange, uint32_t address, cw_list_id_t has, cw_time_us_t now);
/** Records that a page of a whole list was received. next_missing: first page that is missing; `pages`: none is. */
void cw_list_exchange_page_received(cw_list_exchange_t *exchange, cw_list_id_t of, uint32_t next_missing,
                                    uint32_t pages, cw_time_us_t now);
/** Records a redirect: the node that was asked cannot serve this one now, and names another one. */
void cw_list_exchange_redirected(cw_list_exchange_t *exchange, cw_list_id_t of, uint32_t other_holder,
                                 cw_time_us_t now);
/** Sends a request if one is due, and pages that were waiting for the allowance. Called at each tick. */
void cw_list_exchange_tick(cw_list_exchange_t *exchange, cw_time_us_t now);
/** Handles a request of the node at `address`: sends the pages now, or as soon as a transfer is free. */
void cw_list_exchange_handle_request(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window,
                                     cw_time_us_t now);

#endif
