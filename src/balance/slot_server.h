/**
 * @file slot_server.h
 * @brief The slot broker's state of one server: granted slots, load samples, and how long slots are held.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SLOT_SERVER_H
#define CEDARWINCH_BALANCE_SLOT_SERVER_H

#include "balance/limit_bucket.h"
#include "balance/server_pool.h"
#include "balance/server_signals.h"

enum { CW_COLD_GRANTS_MAX = 16 /**< upper limit of requests a second to a cold server, even if it can handle more */ };

/** State of one server. */
typedef struct cw_slot_server {
    uint32_t     hash;         /**< of the server's id */
    uint32_t     granted;      /**< slots granted and not returned */
    uint32_t     outside;      /**< requests not granted by this broker, by the server's last load sample */
    cw_time_us_t outside_at;   /**< when that sample was received; 0: none */
    uint32_t     work_percent; /**< processing time by that sample, in percent of the normal one; 0: not reported */
    cw_time_us_t work_at;      /**< when that sample was received; 0: none */
    cw_time_us_t held;         /**< mean time for which a slot is held; 0: not known */
    cw_time_us_t cold_grants[CW_COLD_GRANTS_MAX]; /**< ring buffer of the times of grants while the server is cold */
    uint32_t     next_cold;                       /**< next index in cold_grants */
    cw_limit_bucket_t limit_bucket;               /**< tokens while the server names a rate limit */
    UT_hash_handle    hh;
} cw_slot_server_t;

/** Refills the server's token bucket; to be called before the functions below. share: of the rate limit that this
 * broker grants, 0 to 1. */
void cw_slot_server_refill(cw_slot_server_t *state, const cw_server_t *server, double share, cw_time_us_t now);
/** True if the server may be given one more request now. */
bool cw_slot_server_has_slot(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now);
/** Time until the server's rate limit allows one request after `ahead` others; 0: no rate limit. */
cw_time_us_t cw_slot_server_limit_wait(const cw_slot_server_t *state, const cw_server_t *server, double share,
                                       uint32_t ahead, cw_time_us_t now);
/** Mean time for which a slot of the server is held. mean_time: of the service's requests, for a server without a
 * mean of its own. */
cw_time_us_t cw_slot_server_held(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t mean_time);
/** Cost of one more request at the server, as a time in microseconds: the server of least cost is the best. */
double cw_slot_server_cost(const cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t mean_time,
                           cw_time_us_t now);
/** Counts a granted slot. server: NULL if it is no longer listed. */
void cw_slot_server_record_grant(cw_slot_server_t *state, const cw_server_t *server, cw_time_us_t now);
/** A request was answered; its slot was held for the time `held`. */
void cw_slot_server_record_held(cw_slot_server_t *state, cw_time_us_t held);
/** Applies a load sample that came with an answer. To be called after the slot of that request was returned. */
void cw_slot_server_record_load(cw_slot_server_t *state, const cw_server_load_t *load, cw_time_us_t now);

#endif
