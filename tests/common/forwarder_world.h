/**
 * @file forwarder_world.h
 * @brief Test support: forwarders with real journal replicas and a network that delivers on demand.
 *
 * Nothing fences the server here, so that a request run twice is the forwarder's and the journal's own fault.
 */
#ifndef FORWARDER_WORLD_H
#define FORWARDER_WORLD_H

#include "cedarwinch/journal.h"
#include "core/forwarder_internal.h"

enum {
    REPLICAS = 5,
    FORWARDERS = 3,
    FIRST_FORWARDER = 10,
    GATEWAY = 90,
    SERVICE = 5,
    SERVER = 6,
    RANGE = 70,
    SLOTS = 2,
    IN_FLIGHT = SLOTS + 1, /**< one more waits at the server */
    NETWORK_MAX = 4096,
    SENT_MAX = 1024,
    ANSWERS_MAX = 1024,
    WALL_MS = 10000000,
    SKEW_MS = 200,
    WINDOW_MS = 60000,
    JOURNAL_TIMEOUT_US = 90000,
    TIMEOUT_US = 5000000
};

/** Request that reached the server. */
typedef struct world_sent {
    int      forwarder;
    uint64_t id;
    uint8_t  request_id[CW_REQUEST_ID_BYTES];
    uint64_t gateway_request;
    bool     over;
    bool     may_have_run;
} world_sent_t;

typedef struct world {
    cw_journal_t        *journals[REPLICAS];
    cw_forwarder_t      *forwarders[FORWARDERS];
    cw_control_state_t  *routes[FORWARDERS]; /**< as each forwarder knows them */
    Cw__Envelope        *network[NETWORK_MAX];
    size_t               network_count;
    world_sent_t         sent[SENT_MAX];
    size_t               sent_count;
    Cw__ForwardResponse *answers[ANSWERS_MAX];
    size_t               answer_count;
    size_t               cancelled_count;
    size_t               answer_length; /**< body bytes of the server's answers */
    cw_instant_t         now;
    cw_range_readiness_t readiness;
    const char          *refusal;               /**< the server's word when it refuses */
    bool                 replica_cut[REPLICAS]; /**< messages to it are lost */
    uint64_t             last_gateway_id;
} world_t;

/* Sets of journal replicas, ended by -1. */
extern const int world_set_all[];
extern const int world_set_other[];
extern const int world_set_third[];
extern const int world_set_none[];

extern world_t world;

typedef struct world_request {
    uint32_t number;  /**< request id */
    int64_t  time_ms; /**< of the request id; 0: now */
    bool     repeatable;
    uint64_t digest;
    int64_t  timeout_us; /**< 0: long */
    uint64_t key_hash;
} world_request_t;

typedef struct world_options {
    bool unfinished_first;
    bool journal_everything;
} world_options_t;

void world_create(world_options_t options);
/** An empty replica of another incarnation takes its place. */
void world_restart_replica(int index);
void world_destroy(void);
void world_deliver_first(void);
void world_deliver_all(void);
void world_deliver_at(size_t position, bool keep); /**< keep: it will be delivered again */
void world_advance(int64_t us);
/** Forwarder `viewer` learns that `owner` forwards under an epoch with these journal sets. */
void world_route(int viewer, int owner, uint64_t epoch, const int *own, const int *former);
/** Opens the range and lets the time pass before which ids are given up. */
void                       world_open_range(int forwarder, uint64_t epoch, const int *own, const int *former);
uint64_t                   world_request(int forwarder, uint64_t epoch, world_request_t options);
void                       world_respond(size_t index, cw_server_result_t result);
const Cw__ForwardResponse *world_answer_to(uint64_t gateway_request); /**< NULL: none yet */
void                       world_assert_reason(uint64_t gateway_request, cw_reason_t reason);

#endif
