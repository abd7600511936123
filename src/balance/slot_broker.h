/**
 * @file slot_broker.h
 * @brief Hands out the slots of the servers of one zone, to requests of all nodes, with an exact count.
 *
 * Where there are many nodes, each learns of the others' requests so late that all choose the servers that looked free
 * a moment ago. So one node of a zone counts for all (router_slots.c says which): a node asks it for a slot, sends its
 * request to the server that is granted, and gives the slot back with the server's answer. Rules:
 *  - A server has twice as many requests as it can work on at once: so it has the next one when a slot gets free.
 *    Requests that it has from elsewhere, by its own load sample, count too.
 *  - Asks wait in order of priority; within one, tenants take turns (fair_turns.h); then by deadline. One that could
 * not be answered within its latency objective, by how long slots have been held at its server, is refused at once,
 * with the time after which a slot may be free.
 *  - A server that names a rate limit (server_limit.h) gets no more than that, from all nodes together: each slot costs
 *    a token. Where this node reaches only some of the others, it gives out as large a part of the limit.
 *  - A slot that is not given back is free again when its lease ends.
 *  - Nothing about ownership of keys or at-most-once depends on it: a node that gets no answer chooses by itself.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_BROKER_H
#define CEDARWINCH_BALANCE_SLOT_BROKER_H

#include "balance/server_pool.h"
#include "balance/server_signals.h"

/** One ask for a slot. node and ticket name it. */
typedef struct cw_slot_ask {
    uint32_t     node;          /**< address of the asking node */
    uint32_t     ticket;        /**< its number there */
    uint32_t     service;       /**< hash of the service's name */
    uint32_t     server;        /**< hash of the only server that will do; 0: any one of the service in this zone */
    uint32_t     except;        /**< hash of a server that has failed the request; 0: none */
    uint32_t     priority;      /**< 0 is the most urgent */
    uint32_t     tenant;        /**< hash of the name of the tenant whose turn it takes; 0: none */
    cw_time_us_t objective;     /**< time left until the request's latency objective */
    cw_time_us_t lease;         /**< longest time that the slot is needed */
    cw_time_us_t max_slot_wait; /**< refused if a slot is expected later; 0: unless one is free now */
} cw_slot_ask_t;

typedef enum cw_slot_outcome { CW_SLOT_GRANTED, CW_SLOT_QUEUED, CW_SLOT_REFUSED } cw_slot_outcome_t;

typedef struct cw_slot_reply {
    uint32_t          node;
    uint32_t          ticket;
    cw_slot_outcome_t outcome;
    uint32_t          server;     /**< granted: its hash */
    cw_time_us_t      free_after; /**< refused: until a slot may be free */
} cw_slot_reply_t;

/** How a request ended at the server whose slot is given back. */
typedef enum cw_slot_end {
    CW_SLOT_ANSWERED,
    CW_SLOT_FAILED, /**< no connection, or no answer */
    CW_SLOT_UNUSED  /**< not sent, or given up: it says nothing of the server */
} cw_slot_end_t;

typedef struct cw_slot_return {
    uint32_t                   node;
    uint32_t                   ticket;
    cw_slot_end_t              end;
    const cw_server_signals_t *signals; /**< said with the answer; NULL: there was none */
} cw_slot_return_t;

typedef struct cw_slot_broker cw_slot_broker_t;

/** May come before the call that causes it returns. */
typedef void (*cw_slot_replied_t)(void *context, const cw_slot_reply_t *reply);

/** The pool is borrowed, and told of servers that fail. */
cw_slot_broker_t *cw_slot_broker_create(cw_server_pool_t *pool, const char *zone, cw_slot_replied_t replied,
                                        void *context);
void              cw_slot_broker_free(cw_slot_broker_t *broker);
/** Part of servers' rate limits that this node gives out, 0 to 1; 1 at first. */
void cw_slot_broker_set_share(cw_slot_broker_t *broker, double share);
/** usual: time of a request of the service, for servers that have not had one yet. */
void cw_slot_broker_ask(cw_slot_broker_t *broker, const cw_slot_ask_t *ask, cw_time_us_t usual, cw_time_us_t now);
/** Also of an ask that still waits. One that is not known is ignored. */
void cw_slot_broker_return(cw_slot_broker_t *broker, const cw_slot_return_t *returned, cw_time_us_t now);
/** Hash of the server whose slot this ticket has; 0: it has none. */
uint32_t cw_slot_broker_granted_server(const cw_slot_broker_t *broker, uint32_t node, uint32_t ticket);
/** Ends leases and waits whose time is over; to be called every few milliseconds. */
void cw_slot_broker_tick(cw_slot_broker_t *broker, cw_time_us_t now);
/** Slots granted and not given back. */
size_t cw_slot_broker_granted(const cw_slot_broker_t *broker);
size_t cw_slot_broker_waiting(const cw_slot_broker_t *broker);
/** Servers of which something is kept. */
size_t cw_slot_broker_servers(const cw_slot_broker_t *broker);

#endif
