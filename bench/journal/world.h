/**
 * @file world.h
 * @brief Forwarders and journal replicas on a network in virtual time: every message takes the time of its way and of
 *        its bytes, and is counted. The runs are exact and repeatable.
 */
#ifndef CEDARWINCH_BENCH_JOURNAL_WORLD_H
#define CEDARWINCH_BENCH_JOURNAL_WORLD_H

#include "cedarwinch/journal.h"
#include "core/forwarder_internal.h"

enum {
    CW_WORLD_REPLICAS = 4,
    CW_WORLD_FORWARDERS = 2,
    CW_WORLD_FIRST_FORWARDER = 10,
    CW_WORLD_GATEWAY = 90,
    CW_WORLD_NODES = CW_WORLD_GATEWAY + 1
};

typedef struct cw_world_options {
    cw_time_us_t distance_us; /**< one way between zones */
    bool         unfinished_first;
    size_t       answer_bytes; /**< body of the server's answers */
} cw_world_options_t;

/** A message on its way. */
typedef struct cw_world_message {
    Cw__Envelope            *envelope;
    cw_time_us_t             due_us;
    struct cw_world_message *next;
} cw_world_message_t;

typedef struct cw_world {
    cw_world_options_t  options;
    cw_time_us_t        now_us;
    cw_journal_t       *journals[CW_WORLD_REPLICAS];
    bool                replica_lost[CW_WORLD_REPLICAS];
    cw_forwarder_t     *forwarders[CW_WORLD_FORWARDERS];
    bool                forwarder_lost[CW_WORLD_FORWARDERS];
    cw_control_state_t *routes[CW_WORLD_FORWARDERS];
    cw_world_message_t *messages; /**< in the order of their arrival */
    cw_time_us_t        link_free_us[CW_WORLD_NODES];
    uint64_t            message_count;
    uint64_t            byte_count;
    uint64_t            sent_count;   /**< requests that reached the server */
    cw_time_us_t        last_sent_us; /**< when the last of them left */
    uint64_t            last_sent_id; /**< the forwarder's number of it */
    uint64_t            last_request;
} cw_world_t;

int          cw_world_init(cw_world_t *world, const cw_world_options_t *options);
void         cw_world_clear(cw_world_t *world);
cw_instant_t cw_world_instant(const cw_world_t *world);
/** Runs everything that is due up to a time, and goes there. */
void cw_world_run(cw_world_t *world, cw_time_us_t until_us);
/** A forwarder learns that it forwards under an epoch; own and former: first replica of three, -1: no former set. */
int cw_world_route(cw_world_t *world, int forwarder, uint64_t epoch, int own, int former);
/** A request arrives at a forwarder now, under a new id. */
void cw_world_request(cw_world_t *world, int forwarder, uint64_t epoch, bool repeatable);
/** The server answers the last request that was sent. */
void cw_world_respond(cw_world_t *world, int forwarder);

#endif
