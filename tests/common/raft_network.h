/**
 * @file raft_network.h
 * @brief Modelled network of raft replicas for tests: logical time, seeded faults, and checks of Raft's safety
 *        properties at every event. A broken property aborts the test with a message.
 */
#ifndef CEDARWINCH_TEST_RAFT_NETWORK_H
#define CEDARWINCH_TEST_RAFT_NETWORK_H

#include "core/raft_internal.h"

enum {
    RAFT_NETWORK_REPLICAS = 64,
    RAFT_NETWORK_MESSAGES = 4096,
    RAFT_NETWORK_LOG = 1 << 16,
    RAFT_NETWORK_COMPACT_AFTER = 20,
    RAFT_NETWORK_STEP_US = 1000
};

typedef struct raft_network raft_network_t;

typedef struct raft_replica {
    raft_network_t *network;
    cw_raft_t      *raft; /**< NULL: crashed, for good */
    Cw__NodeInfo    info;
    uint64_t        applied;
    uint64_t        state; /**< hash over all applied commands */
    size_t          snapshots_loaded;
    cw_time_us_t    paused_until;
    int             partition;         /**< replicas of different partitions do not reach each other */
    uint64_t        round;             /**< asked for and not yet confirmed; 0: none */
    uint64_t        round_leader_term; /**< highest term with a leader when it began */
} raft_replica_t;

typedef struct raft_packet {
    cw_time_us_t due;
    uint64_t     sequence;
    size_t       from;
    size_t       to;
    uint8_t     *data;
    size_t       length;
} raft_packet_t;

struct raft_network {
    cw_time_us_t     now;
    uint64_t         random;
    unsigned         drop_percent;
    unsigned         duplicate_percent;
    cw_time_us_t     delay_us; /**< longest */
    raft_replica_t   replicas[RAFT_NETWORK_REPLICAS];
    size_t           replica_count;
    raft_packet_t    packets[RAFT_NETWORK_MESSAGES];
    size_t           packet_count;
    uint64_t         sequence;
    uint64_t         committed_term[RAFT_NETWORK_LOG];
    uint64_t         committed_hash[RAFT_NETWORK_LOG];
    uint64_t         committed_last;
    cw_incarnation_t leader_of_term[RAFT_NETWORK_LOG];
    uint64_t         leader_term; /**< highest term that had a leader */
    size_t           rounds_confirmed;
};

raft_network_t *raft_network_create(uint64_t seed, size_t voters);
void            raft_network_free(raft_network_t *network);
/** Adds a process without a membership; returns its position. */
size_t raft_network_add(raft_network_t *network, cw_node_id_t node);
void   raft_network_crash(raft_network_t *network, size_t replica);
void   raft_network_run(raft_network_t *network, cw_time_us_t duration);
/** Cuts one replica off from the others, or joins all again. */
void raft_network_isolate(raft_network_t *network, size_t replica);
void raft_network_heal(raft_network_t *network);
/** Position of the leader with the highest term; RAFT_NETWORK_REPLICAS: none. */
size_t raft_network_leader(const raft_network_t *network);
/** Runs until there is a ready leader; fails the test after 10 s of logical time. */
size_t raft_network_wait_leader(raft_network_t *network);
int    raft_network_propose(raft_network_t *network, size_t replica);
void   raft_network_round(raft_network_t *network, size_t replica);
/** Proposes the leader's membership with one voter removed and/or one replica added; -1: none. */
int raft_network_change(raft_network_t *network, size_t leader, int removed_voter, int added_voter, int added_learner);

#endif
