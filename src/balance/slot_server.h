/**
 * @file slot_server.h
 * @brief What the node that hands out slots knows of one server: slots granted, load samples, how long slots are taken.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_SERVER_H
#define CEDARWINCH_BALANCE_SLOT_SERVER_H

#include "balance/limit_bucket.h"
#include "balance/server_pool.h"
#include "balance/server_signals.h"

enum { CW_COLD_GRANTS_MOST = 16 /**< requests in a second to a cold server, whatever it bears */ };

typedef struct cw_slot_server {
    uint32_t          hash; /**< of the server's id */
    uint32_t          granted;
    uint32_t          outside; /**< requests there that were not granted here, by its last load sample, */
    cw_time_us_t      outside_at;
    uint32_t          work_percent; /**< and how long work takes there against what is usual */
    cw_time_us_t      work_at;
    cw_time_us_t      held;                             /**< mean time for which a slot is taken; 0: not known */
    cw_time_us_t      cold_grants[CW_COLD_GRANTS_MOST]; /**< while it is cold: a ring of their times */
    uint32_t          next_cold;
    cw_limit_bucket_t limit_bucket; /**< while it names a rate limit */
    UT_hash_handle    hh;
} cw_slot_server_t;

/** Refills its bucket. share: of its rate limit, that is given out here. To be called before what follows. */
void cw_slot_server_refill(cw_slot_server_t *state, const cw_server_t *server, double share, cw_time_us_t now);
/** May it be given one request more? */
bool cw_slot_server_has_slot(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now);
/** Time until its rate limit allows one request more behind so many others; 0: it has none. */
cw_time_us_t cw_slot_server_limit_wait(const cw_slot_server_t *state, const cw_server_t *server, double share,
                                       uint32_t ahead, cw_time_us_t now);
/** Time for which a slot is taken there. usual: of a request of the service. */
cw_time_us_t cw_slot_server_held(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t usual);
/** What one request more costs there, as a time: the server of the least cost is the best. */
double cw_slot_server_cost(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t usual,
                           cw_time_us_t now);
/** server: NULL if it is no longer known. */
void cw_slot_server_note_grant(cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now);
/** A request was answered; its slot had been taken for so long. */
void cw_slot_server_note_held(cw_slot_server_t *state, cw_time_us_t held);
/** The server's load with an answer, after that request's slot was given back. */
void cw_slot_server_note_load(cw_slot_server_t *state, const cw_server_load_t *load, cw_time_us_t now);

#endif
