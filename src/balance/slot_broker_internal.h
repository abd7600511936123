/**
 * @file slot_broker_internal.h
 * @brief State of a slot broker, and functions of its queue.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_BROKER_INTERNAL_H
#define CEDARWINCH_BALANCE_SLOT_BROKER_INTERNAL_H

#include "balance/fair_turns.h"
#include "balance/slot_broker.h"
#include "balance/slot_server.h"

/** A waiting ask or a granted slot. */
typedef struct cw_slot_lease {
    uint64_t              key; /* node in the upper half, ticket in the lower */
    cw_slot_ask_t         ask;
    cw_time_us_t          mean_time;    /* mean time of the service's requests */
    cw_time_us_t          objective_at; /* time by which the request should be answered */
    uint64_t              turn;         /* fair_turns.h */
    cw_time_us_t          granted_at;   /* 0: waiting */
    cw_time_us_t          ends_at;      /* when the lease ends */
    uint32_t              server;       /* if granted: hash of the server */
    struct cw_slot_lease *prev;         /* names required by utlist; in the queue or in the list of grants */
    struct cw_slot_lease *next;
    UT_hash_handle        hh;
} cw_slot_lease_t;

struct cw_slot_broker {
    cw_server_pool_t *pool;
    char             *zone;
    cw_slot_replied_t replied;
    void             *context;
    cw_slot_server_t *servers;
    cw_slot_lease_t  *leases;
    cw_fair_turns_t  *turns;
    cw_slot_lease_t  *queue;   /* ordered by priority, turn and objective */
    cw_slot_lease_t  *granted; /* in the order in which they were granted */
    size_t            waiting;
    size_t            granted_count;
    cw_time_us_t      cleaned_up_at; /* when state of unlisted servers was last removed */
    double            share;         /* of servers' rate limits that this broker grants, 0 to 1 */
};

/* ---- slot_queue.c ---- */
/** Sets the ask's turn, given the asks that wait now. */
void cw_slot_queue_assign_turn(const cw_slot_broker_t *broker, cw_slot_lease_t *lease);
/** Number of waiting asks for the same slots that come before this one. */
uint32_t cw_slot_queue_ahead(const cw_slot_broker_t *broker, const cw_slot_lease_t *lease);
/** Adds an ask to the queue. */
void cw_slot_queue_join(cw_slot_broker_t *broker, cw_slot_lease_t *lease);
/** Removes an ask that gets a slot from the queue. */
void cw_slot_queue_serve(cw_slot_broker_t *broker, cw_slot_lease_t *lease);
/** Removes an ask that gets no slot from the queue. */
void cw_slot_queue_leave(cw_slot_broker_t *broker, cw_slot_lease_t *lease);

#endif
