/**
 * @file crash_suspects.h
 * @brief Recognizes requests that crash the servers that run them, by a digest, and refuses them after a few crashes.
 *
 * A request that crashes each server that begins to run it may be repeated by its caller at any node. Rules:
 *  - A loss is a connection to a server that ended without a complete answer while a request was in flight on it. The
 *    loss counts as a crash once that incarnation of the server has certainly ended without announcing that it leaves:
 *    its port refuses connections, its entry in the list is gone, or a later incarnation has taken its place. A
 *    connection reset alone does not count.
 *  - Each node reports the crashes that it observed to the others. Crashes of one request are counted in a chain: a
 *    crash counts after another one only if the request was sent after the other server was lost. Servers that are
 *    lost at the same time therefore count once, however many copies of a popular request were in flight on them.
 *  - An answer by any server, with any status, ends the chain: the request does not crash every server.
 *  - After CW_CRASHES_MAX crashes the request is refused at all nodes without being sent. The refusal ends after a
 *    period that doubles each time; after that a single further crash makes the request refused again.
 *  - The number of requests remembered is bounded: the request whose last crash is the oldest is forgotten first.
 *
 * Cost of a wrong suspicion: requests with that digest are refused for CW_SUSPECT_REFUSED_S; no other request is
 * affected.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_RETRY_CRASH_SUSPECTS_H
#define CEDARWINCH_RETRY_CRASH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_CRASHES_MAX = 3,         /**< a request that has crashed this many servers is not sent any more */
    CW_SUSPECT_REFUSED_S = 600, /**< duration of the first refusal; later ones are longer */
    CW_SUSPECT_FORGET_S = 600,  /**< a request that is not refused is forgotten this long after its last crash */
    /** A loss that is not confirmed within this time is dropped; a crashed server's entry is gone at most three
     * heartbeats after the crash. */
    CW_LOSS_CONFIRM_S = 20,
    CW_SUSPECTS_MAX = 1024, /**< requests remembered; about 300 bytes each */
    CW_LOSSES_MAX = 256     /**< losses of this node that are not confirmed yet */
};

/** A crash of a server while a request was in flight on it. */
typedef struct cw_crash {
    uint64_t     request; /**< digest of the request */
    uint32_t     server;  /**< hash of the incarnation's id */
    cw_time_us_t sent_at; /**< when the request was sent to the server */
    cw_time_us_t lost_at; /**< when the connection to the server ended */
} cw_crash_t;

/** Unconfirmed losses of this node, and the crashes known for each suspected request. */
typedef struct cw_crash_suspects cw_crash_suspects_t;

/** Called for each crash that this node has observed itself, so that the caller can report it to the other nodes. */
typedef void (*cw_crash_observed_t)(void *context, const cw_crash_t *crash);

/** Creates an empty record. on_crash is called with the context for each crash that this node confirms. */
cw_crash_suspects_t *cw_crash_suspects_create(cw_crash_observed_t on_crash, void *context);
/** Frees the record and all that it remembers. */
void cw_crash_suspects_free(cw_crash_suspects_t *suspects);

/** Records a loss: the connection ended while the request was in flight. Returns false if the record of unconfirmed
 * losses is full. */
bool cw_crash_suspects_record_loss(cw_crash_suspects_t *suspects, const cw_crash_t *loss);
/** Returns whether a loss at this server is not confirmed yet. */
bool cw_crash_suspects_has_loss_at(const cw_crash_suspects_t *suspects, uint32_t server);
/** Confirms the losses at this server as crashes: the incarnation has ended without announcing that it leaves. */
void cw_crash_suspects_record_end(cw_crash_suspects_t *suspects, uint32_t server, cw_time_us_t now);
/** Records a crash that another node has reported. */
void cw_crash_suspects_record_reported(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now);
/** Ends the chain of the request, since a server answered it at this time. Returns true if crashes were recorded for
 * the request, so the other nodes need to be notified. */
bool cw_crash_suspects_clear(cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t answered_at);

/** Returns whether anything is recorded; if not, callers need not compute a digest. */
bool cw_crash_suspects_has_any(const cw_crash_suspects_t *suspects);
/** Returns whether the request is refused now; if so, refused_for is set to the remaining time. */
bool cw_crash_suspects_is_refused(const cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t now,
                                  cw_time_us_t *refused_for);
/** Returns whether this node may repeat the request after it lost a server with it. Losses that are not confirmed yet
 * count as crashes. */
bool cw_crash_suspects_may_repeat(const cw_crash_suspects_t *suspects, uint64_t request);
/** Length of the request's chain of crashes. */
uint32_t cw_crash_suspects_crashes(const cw_crash_suspects_t *suspects, uint64_t request);
/** Number of requests remembered. */
size_t cw_crash_suspects_count(const cw_crash_suspects_t *suspects);
/** Drops unconfirmed losses that are too old, ends refusals whose time is over, and forgets requests without a recent
 * crash. */
void cw_crash_suspects_tick(cw_crash_suspects_t *suspects, cw_time_us_t now);

#endif
