/**
 * @file slot_broker_internal.h
 * @brief State of a slot broker, and its queue.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_BROKER_INTERNAL_H
#define CEDARWINCH_BALANCE_SLOT_BROKER_INTERNAL_H

#include "balance/fair_turns.h"
#include "balance/slot_broker.h"
#include "balance/slot_server.h"

/** An ask that waits, or a slot granted. */
typedef struct cw_slot_lease {
    uint64_t              key; /* node and ticket */
    cw_slot_ask_t         ask;
    cw_time_us_t          usual;
    cw_time_us_t          objective_at;
    uint64_t              turn;
    cw_time_us_t          granted_at; /* 0: it waits */
    cw_time_us_t          ends_at;    /* of the lease */
    uint32_t              server;     /* granted */
    struct cw_slot_lease *prev;       /* utlist's names, in the queue or among the granted */
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
    cw_slot_lease_t  *queue;   /* by priority, then turn, then objective */
    cw_slot_lease_t  *granted; /* in order of grants */
    size_t            waiting;
    size_t            granted_count;
    cw_time_us_t      forgotten_at;
    double            share; /* of servers' rate limits */
};

/* ---- slot_queue.c ---- */
/** Its turn among what waits, as of now. */
void cw_slot_queue_give_turn(const cw_slot_broker_t *broker, cw_slot_lease_t *lease);
/** Asks for the same slots that come before it. */
uint32_t cw_slot_queue_ahead(const cw_slot_broker_t *broker, const cw_slot_lease_t *lease);
void     cw_slot_queue_join(cw_slot_broker_t *broker, cw_slot_lease_t *lease);
/** It leaves the queue, with a slot, or without one. */
void cw_slot_queue_serve(cw_slot_broker_t *broker, cw_slot_lease_t *lease);
void cw_slot_queue_leave(cw_slot_broker_t *broker, cw_slot_lease_t *lease);

#endif
