/**
 * @file list_exchange.h
 * @brief How a node gets the whole list of servers from nodes of its own zone, and gives it to them.
 *
 * Rules:
 *  - A node whose list is not the one that the leader's heartbeat names, and that has none of the leader's term to lay
 *    changes over, asks a node of its zone that says it has it. No page within a pause: the next one, for the pages that
 *    are missing.
 *  - Those that have the list double with each transfer. A node sends no more than its allowance, a part of its link.
 *  - While this node can ask in its zone, the leader need not send it the whole list across zones.
 *  - What comes is offered to the owner, who decides by the store's revision whether it replaces the list in force.
 *
 * No I/O, no clock: requests go out by a callback, and time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_LIST_EXCHANGE_H
#define CEDARWINCH_ROUTER_LIST_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

typedef struct cw_list_exchange cw_list_exchange_t;

/** A list as the leader numbers it. */
typedef struct cw_list_number {
    uint64_t term;
    uint64_t number; /**< within the term; 0: none */
} cw_list_number_t;

/** What an exchange asks of its owner. */
typedef struct cw_list_exchange_owner {
    void *context;
    /** Asks the node at `address` for pages of `wanted` from `first_page` on. */
    void (*request)(void *context, uint32_t address, cw_list_number_t wanted, uint32_t first_page);
} cw_list_exchange_owner_t;

cw_list_exchange_t *cw_list_exchange_create(const cw_list_exchange_owner_t *owner);
void                cw_list_exchange_destroy(cw_list_exchange_t *exchange);
/** The leader's heartbeat names this list; `has` is the one in force here. Equal: nothing is asked for. */
void cw_list_exchange_want(cw_list_exchange_t *exchange, cw_list_number_t wanted, cw_list_number_t has,
                           cw_time_us_t now);
/** The node at `address`, of this node's zone, says that it has this list. */
void cw_list_exchange_note(cw_list_exchange_t *exchange, uint32_t address, cw_list_number_t has, cw_time_us_t now);
/** A page of the list that is wanted has come; `next_missing`: first page not yet here, `pages` when none is. */
void cw_list_exchange_page_came(cw_list_exchange_t *exchange, cw_list_number_t of, uint32_t next_missing,
                                uint32_t pages, cw_time_us_t now);
/** Asks where it is time to. */
void cw_list_exchange_tick(cw_list_exchange_t *exchange, cw_time_us_t now);

#endif
