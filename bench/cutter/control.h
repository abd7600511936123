/**
 * @file control.h
 * @brief Control of the relays over HTTP.
 *
 * | call | effect |
 * | --- | --- |
 * | `POST /cut` | bytes are held in both directions; new connections wait |
 * | `POST /cut?mode=reset` | connections are closed and new ones closed at once |
 * | `POST /one-way?direction=to-target` (or `to-source`) | bytes pass in this direction only |
 * | `POST /delay?ms=N` | every piece is delayed |
 * | `POST /heal` | all passes again, held bytes first |
 * | `GET /statistics` | connections and bytes of each relay |
 *
 * Each may name one relay with `relay=N` (counted from 0); else it is for all.
 */
#ifndef CEDARWINCH_BENCH_CONTROL_H
#define CEDARWINCH_BENCH_CONTROL_H

#include "../../standins/common/http_server.h"
#include "relay.h"

typedef struct cw_relays {
    cw_tcp_relay_t **items;
    size_t           count;
} cw_relays_t;

/** Callback of the HTTP server; context is the cw_relays_t. */
void cw_cutter_request(void *context, cw_standin_exchange_t *exchange);

#endif
