/**
 * @file server_paths.h
 * @brief Whether this node has a network path to the servers at all, by what its contacts with them brought.
 *
 * A server that does not answer may have failed, or this node may have lost its path. The two are told apart by the
 * other servers: a node whose contacts with several servers all fail has lost its paths. Rules:
 *  - A contact is a request, an order or a probe. It succeeds once a byte comes from a server. An established
 * connection proves nothing, since what accepts it may stand between this node and the server. A contact fails if it
 * ends without a byte, or nothing has come in the time in which an answer was expected.
 *  - After CW_PATHS_FAILURES failed contacts without a success between them, CW_PATHS_PROBES servers are probed at once
 *    on new connections. If none of them answers, and no other contact has succeeded meanwhile, the paths are lost.
 *  - While they are lost, one server is probed every CW_PATHS_PROBE_INTERVAL_MS. Any success ends the loss.
 *  - A node without contacts does not probe: it is not known whether it reaches servers. If that has to be known, a
 *    check is wanted, which probes as after failed contacts.
 *
 * No I/O; time is a parameter, microseconds of the node's steady clock.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_PATHS_H
#define CEDARWINCH_BALANCE_SERVER_PATHS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_PATHS_FAILURES = 2,
    CW_PATHS_PROBES = 4,
    CW_PATHS_PROBE_INTERVAL_MS = 500,
    CW_PATHS_PROBE_TIMEOUT_MS = 350, /**< for the answer; a probe may have to wait for a slot of its server */
    CW_PATHS_CHECK_PAUSE_MS = 1000,  /**< between checks of CW_PATHS_PROBES servers */
    CW_PATHS_FRESH_MS = 3000         /**< a success is evidence of a path for so long */
};

/** Evidence of one node's paths to servers. All zeros: no contact yet. */
typedef struct cw_server_paths {
    bool         are_lost;
    cw_time_us_t changed_at;     /**< when are_lost last changed; 0: never */
    cw_time_us_t reached_at;     /**< last success; 0: none */
    uint32_t     successes;      /**< contacts that have succeeded */
    uint32_t     failures;       /**< failed contacts since the last success */
    cw_time_us_t probed_at;      /**< start of the last probe */
    cw_time_us_t check_began_at; /**< start of the last check of several servers; 0: none */
    uint32_t     probes;         /**< probes in flight */
    bool         is_checking;    /**< they decide whether the paths are lost */
    bool         is_check_wanted;
} cw_server_paths_t;

/** Records that something has come from a server. */
void cw_server_paths_record_reached(cw_server_paths_t *paths, cw_time_us_t now);
/** Records a failed contact. */
void cw_server_paths_record_failed(cw_server_paths_t *paths);
/** Asks for a check of the paths, as soon as CW_PATHS_CHECK_PAUSE_MS allows. */
void cw_server_paths_want_check(cw_server_paths_t *paths);
/** Returns the number of servers to be probed now; each probe then ends with cw_server_paths_record_probe. servers:
 * number of listed servers. */
uint32_t cw_server_paths_begin_probes(cw_server_paths_t *paths, uint32_t servers, cw_time_us_t now);
/** Records the end of a probe. */
void cw_server_paths_record_probe(cw_server_paths_t *paths, bool is_reached, cw_time_us_t now);
/** True if a contact has succeeded within CW_PATHS_FRESH_MS and the paths are not lost. */
bool cw_server_paths_are_known_open(const cw_server_paths_t *paths, cw_time_us_t now);

#endif
