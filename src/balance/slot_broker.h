/**
 * @file slot_broker.h
 * @brief Grants the slots of one zone's servers to requests of all nodes, with an exact count.
 *
 * With many nodes, each receives the others' counts of requests so late that all choose the servers that appeared free
 * a moment ago. So one node of a zone, the broker, counts for all nodes (router_slots.c selects it): a node asks it for
 * a slot, sends its request to the granted server, and returns the slot with the server's answer. Rules:
 *  - A server gets up to twice as many requests as it can process at once, so that the next request is already there
 *    when a slot becomes free. Requests that did not come through the broker count too, by the server's load samples.
 *  - Asks wait in order of priority, then of their tenants' turns (fair_turns.h), then of their latency objectives. An
 *    ask that could not be answered within its latency objective, judged by how long slots of its servers are held, is
 *    refused at once, with the time after which a slot may be free.
 *  - A server that names a rate limit (server_limit.h) gets no more requests than that from all nodes together: each
 *    grant costs a token. A broker that reaches only some of the nodes grants the same share of the limit.
 *    The wait that it names then is a second at most, or what it would be with the whole limit if that is longer: the
 *    share may grow meanwhile.
 *  - A slot that is not returned becomes free when its lease ends.
 *  - Ownership of keys and at-most-once execution do not depend on the broker: a node that gets no reply chooses a
 *    server by itself.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_BROKER_H
#define CEDARWINCH_BALANCE_SLOT_BROKER_H

#include "balance/server_pool.h"
#include "balance/server_signals.h"

/** Request of a node for a slot, identified by node and ticket. */
typedef struct cw_slot_ask {
    uint32_t     node;          /**< address of the asking node */
    uint32_t     ticket;        /**< number of the ask, assigned by that node */
    uint32_t     service;       /**< hash of the service's name */
    uint32_t     server;        /**< hash of the only acceptable server; 0: any server of the service in this zone */
    uint32_t     except;        /**< hash of a server that has failed the request; 0: none */
    uint32_t     priority;      /**< 0 is the most urgent */
    uint32_t     tenant;        /**< hash of the name of the tenant; 0: none */
    cw_time_us_t objective;     /**< time left until the request's latency objective */
    cw_time_us_t lease;         /**< time after which a granted slot becomes free if it was not returned */
    cw_time_us_t max_slot_wait; /**< refused if the expected wait is longer; 0: refused unless a slot is free now */
} cw_slot_ask_t;

/** State of an ask in a reply. */
typedef enum cw_slot_outcome { CW_SLOT_GRANTED, CW_SLOT_QUEUED, CW_SLOT_REFUSED } cw_slot_outcome_t;

/** Reply to an ask; a queued ask gets another one later. */
typedef struct cw_slot_reply {
    uint32_t          node;
    uint32_t          ticket;
    cw_slot_outcome_t outcome;
    uint32_t          server;     /**< granted: hash of the server */
    cw_time_us_t      free_after; /**< refused: time until a slot may be free; 0: not known */
} cw_slot_reply_t;

/** How the request ended whose slot is returned. */
typedef enum cw_slot_end {
    CW_SLOT_ANSWERED,
    CW_SLOT_FAILED, /**< no connection, or no answer */
    CW_SLOT_UNUSED, /**< not sent or cancelled: no information about the server */
    CW_SLOT_SPOILED /**< the server spoiled its answer (spoiled_answers.h) */
} cw_slot_end_t;

/** Return of a slot by the node that asked for it. */
typedef struct cw_slot_return {
    uint32_t                   node;
    uint32_t                   ticket;
    cw_slot_end_t              end;
    const cw_server_signals_t *signals; /**< signals in the server's answer; NULL: no answer */
} cw_slot_return_t;

/** Grants, waiting asks and the state of the servers. */
typedef struct cw_slot_broker cw_slot_broker_t;

/** Called for each reply; also from within the broker function that causes it. */
typedef void (*cw_slot_replied_t)(void *context, const cw_slot_reply_t *reply);

/** Creates a broker for the servers of a zone. The pool is borrowed; faults and answers of servers are recorded in it.
 */
cw_slot_broker_t *cw_slot_broker_create(cw_server_pool_t *pool, const char *zone, cw_slot_replied_t replied,
                                        void *context);
/** Frees the broker; nothing is sent for its grants and asks. */
void cw_slot_broker_free(cw_slot_broker_t *broker);
/** Sets the share of servers' rate limits that this node grants, 0 to 1; initially 1. */
void cw_slot_broker_set_share(cw_slot_broker_t *broker, double share);
/** Handles an ask. mean_time: of the service's requests, used for servers whose own mean is not known yet. */
void cw_slot_broker_ask(cw_slot_broker_t *broker, const cw_slot_ask_t *ask, cw_time_us_t mean_time, cw_time_us_t now);
/** Handles the return of a slot, or the cancellation of a waiting ask. An unknown node and ticket are ignored. */
void cw_slot_broker_return(cw_slot_broker_t *broker, const cw_slot_return_t *returned, cw_time_us_t now);
/** Hash of the server whose slot was granted to this ask; 0: none. */
uint32_t cw_slot_broker_granted_server(const cw_slot_broker_t *broker, uint32_t node, uint32_t ticket);
/** Ends expired leases, refuses waiting asks that can no longer be answered in time, and grants slots that became free.
 * To be called every few milliseconds. */
void cw_slot_broker_tick(cw_slot_broker_t *broker, cw_time_us_t now);
/** Number of slots granted and not returned. */
size_t cw_slot_broker_granted(const cw_slot_broker_t *broker);
/** Number of waiting asks. */
size_t cw_slot_broker_waiting(const cw_slot_broker_t *broker);
/** Number of servers with stored state. */
size_t cw_slot_broker_server_count(const cw_slot_broker_t *broker);

#endif
