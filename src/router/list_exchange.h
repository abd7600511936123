/**
 * @file list_exchange.h
 * @brief How a node gets the whole list of servers from nodes of its own zone, and gives it to them.
 *
 * Rules:
 *  - A node whose list is not the one that the leader's heartbeat names, and that has none of the leader's term to lay
 *    changes over, asks a node of its zone that has reported the list. Without a page within a pause it asks the next
 *    one, for the pages that are missing. After two of them it asks rarely: the leader sends the list by then.
 *  - It asks only while heartbeats come: a zone that is cut from the leader asks for nothing.
 *  - A transfer under way goes on with its number while newer ones appear: changes since it are few, and are laid over.
 *  - Those that have the list double with each transfer. A node answers as many at a time as small links fit in its
 * own, so that these soon serve others, and sends no more than its allowance, a part of its link. Others wait for their
 * turn, and are named a node that it has served.
 *  - What comes is offered to the owner, who decides by the store's revision whether it replaces the list in force.
 *
 * No I/O, no clock: requests and pages go out by callbacks, and time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_LIST_EXCHANGE_H
#define CEDARWINCH_ROUTER_LIST_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_LIST_WINDOW_PAGES = 8 /**< pages of one request: 40 KB, 0.1 s of a third of 10 Mbit/s */
};

typedef struct cw_list_exchange cw_list_exchange_t;

/** A list as the leader numbers it. */
typedef struct cw_list_version {
    uint64_t term;
    uint64_t number; /**< within the term; 0: none */
} cw_list_version_t;

/** Pages of a list that a node asks for. */
typedef struct cw_list_window {
    cw_list_version_t of;
    uint32_t          first; /**< first page that is missing */
    uint32_t          count;
} cw_list_window_t;

/** What an exchange asks of its owner. */
typedef struct cw_list_exchange_owner {
    void *context;
    /** Asks the node at `address` for these pages. */
    void (*request)(void *context, uint32_t address, const cw_list_window_t *window);
    /** Sends these pages. Returns the bytes sent, 0: this node has no such list; is_last: the last page was sent. */
    size_t (*send_pages)(void *context, uint32_t address, const cw_list_window_t *window, bool *is_last);
    /** Names to the node at `address` another one, that this node has served. */
    void (*redirect)(void *context, uint32_t address, cw_list_version_t of, uint32_t instead);
    double   bytes_per_s; /**< of pages that may be sent; 0: any number */
    uint32_t own_address; /**< nodes that begin at once begin with different ones */
} cw_list_exchange_owner_t;

cw_list_exchange_t *cw_list_exchange_create(const cw_list_exchange_owner_t *owner);
void                cw_list_exchange_destroy(cw_list_exchange_t *exchange);

/** The leader's heartbeat names this list; `has` is the one in force here. A list of the same term: nothing is asked
 * for, what changed comes from the leader. */
void cw_list_exchange_want(cw_list_exchange_t *exchange, cw_list_version_t wanted, cw_list_version_t has,
                           cw_time_us_t now);
/** The node at `address`, of this node's zone, reports that it has this list. */
void cw_list_exchange_note(cw_list_exchange_t *exchange, uint32_t address, cw_list_version_t has, cw_time_us_t now);
/** A page of a whole list has come; `next_missing`: first page not yet here, `pages` when none is. */
void cw_list_exchange_page_came(cw_list_exchange_t *exchange, cw_list_version_t of, uint32_t next_missing,
                                uint32_t pages, cw_time_us_t now);
/** The node that was asked is beyond its allowance, and names another one. */
void cw_list_exchange_redirected(cw_list_exchange_t *exchange, cw_list_version_t of, uint32_t instead,
                                 cw_time_us_t now);
/** Asks where it is time to, and sends what waited for the allowance. */
void cw_list_exchange_tick(cw_list_exchange_t *exchange, cw_time_us_t now);
/** The node at `address` asks this one. */
void cw_list_exchange_take_request(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window,
                                   cw_time_us_t now);

#endif
