/**
 * @file crash_suspects.h
 * @brief Requests that crash the servers that run them: known again by a digest, and refused after a few crashes.
 *
 * A request that kills each server that begins to run it comes again, at any node. Rules:
 *  - A loss is a connection to a server that ended while a request was under way there, with no whole answer. It counts
 * as a crash once that incarnation of the server has surely ended without leaving: its port refuses connections, its
 * entry is gone, or a later incarnation stands in its place. A reset alone is none.
 *  - Each node tells the others of the crashes that it saw. Crashes of one request are counted in a chain: one counts
 * after another only if the request was sent after the other server was lost. So servers that are lost together count
 * once, however many copies of a popular request were under way at them.
 *  - An answer by any server, whatever it says, ends the chain: the request does not crash each server.
 *  - After CW_CRASHES_MOST crashes the request is refused everywhere, without being sent. That ends after a while,
 * which doubles each time: one more crash, and it is refused again.
 *  - The number of requests remembered is bounded: the one that crashed a server longest ago is forgotten first.
 *
 * What a wrong suspicion costs: requests of that digest are refused for CW_SUSPECT_REFUSED_S, no others.
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
    CW_CRASHES_MOST = 3,        /**< a request that has crashed so many servers is sent to no more of them */
    CW_SUSPECT_REFUSED_S = 600, /**< the first time */
    CW_SUSPECT_FORGET_S = 600,  /**< after the last crash, unless it is refused */
    CW_LOSS_CONFIRM_S = 20,     /**< an entry is gone three heartbeats after a crash at the latest */
    CW_SUSPECTS_MOST = 1024,    /**< requests remembered; some 300 bytes each */
    CW_LOSSES_MOST = 256        /**< of this node, that are not confirmed yet */
};

/** A crash of a server with a request under way there. */
typedef struct cw_crash {
    uint64_t     request; /**< its digest */
    uint32_t     server;  /**< hash of the incarnation's id */
    cw_time_us_t sent_at;
    cw_time_us_t lost_at;
} cw_crash_t;

typedef struct cw_crash_suspects cw_crash_suspects_t;

/** A crash that this node has seen itself, for the other nodes. */
typedef void (*cw_crash_seen_t)(void *context, const cw_crash_t *crash);

cw_crash_suspects_t *cw_crash_suspects_create(cw_crash_seen_t seen, void *context);
void                 cw_crash_suspects_free(cw_crash_suspects_t *suspects);

/** The connection ended while the request was under way. False: too many losses are not confirmed yet. */
bool cw_crash_suspects_note_loss(cw_crash_suspects_t *suspects, const cw_crash_t *loss);
/** Is there a loss at this server that is not confirmed yet? */
bool cw_crash_suspects_has_loss_at(const cw_crash_suspects_t *suspects, uint32_t server);
/** This incarnation has ended without leaving: its losses were crashes. */
void cw_crash_suspects_note_end(cw_crash_suspects_t *suspects, uint32_t server, cw_time_us_t now);
/** Another node has seen a crash. */
void cw_crash_suspects_note_reported(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now);
/** A server has answered the request at this moment. True: it was remembered, and the other nodes are to know. */
bool cw_crash_suspects_clear(cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t answered_at);

/** Is anything remembered? Else no digest need be computed. */
bool cw_crash_suspects_has_any(const cw_crash_suspects_t *suspects);
/** Is the request refused? How long still: `refused_for`. */
bool cw_crash_suspects_is_refused(const cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t now,
                                  cw_time_us_t *refused_for);
/** May this node send it once more after it lost a server with it? Losses that are not confirmed yet count. */
bool cw_crash_suspects_may_repeat(const cw_crash_suspects_t *suspects, uint64_t request);
/** Crashes of the request, in a chain. */
uint32_t cw_crash_suspects_crashes(const cw_crash_suspects_t *suspects, uint64_t request);
/** Requests remembered. */
size_t cw_crash_suspects_count(const cw_crash_suspects_t *suspects);
/** Forgets what is over. */
void cw_crash_suspects_tick(cw_crash_suspects_t *suspects, cw_time_us_t now);

#endif
