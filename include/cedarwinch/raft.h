/**
 * @file raft.h
 * @brief Replicated log kept in memory (Raft with pre-vote, check-quorum, single-server membership change and
 *        snapshot transfer). A replica is a process incarnation: a restarted process never votes as its former self,
 *        it joins as a learner and is promoted through the log.
 *
 * Pure: no I/O, no clock. A group is a value; many live in one process.
 * Source of the algorithm: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.6.
 */
#ifndef CEDARWINCH_RAFT_H
#define CEDARWINCH_RAFT_H

#include "cedarwinch/types.h"

typedef struct cw_raft cw_raft_t;

typedef enum cw_raft_role { CW_RAFT_LEARNER, CW_RAFT_FOLLOWER, CW_RAFT_CANDIDATE, CW_RAFT_LEADER } cw_raft_role_t;

typedef struct cw_raft_callbacks {
    void *context;
    void (*send)(void *context, cw_node_id_t to, Cw__RaftMessage *message);
    /** Entry committed; called once for each index in order (noop and membership entries too). */
    void (*apply)(void *context, const Cw__LogEntry *entry);
    /** Packs the applied state; *data is malloc()ed, the raft frees it. */
    int (*snapshot_save)(void *context, uint8_t **data, size_t *length);
    int (*snapshot_load)(void *context, const uint8_t *data, size_t length, uint64_t last_index);
    void (*role_changed)(void *context, cw_raft_role_t role, uint64_t term);
} cw_raft_callbacks_t;

typedef struct cw_raft_options {
    uint64_t              group;
    uint64_t              generation;
    cw_node_id_t          node;
    cw_incarnation_t      incarnation;      /**< this replica's identity */
    const Cw__Membership *membership;       /**< first members; NULL: a learner that waits for the leader */
    const uint8_t        *initial_snapshot; /**< of an earlier generation; may be NULL */
    size_t                initial_snapshot_length;
    uint64_t              initial_index; /**< log index the snapshot stands for */
    cw_time_us_t          heartbeat_us;
    cw_time_us_t          election_us;   /**< timeout drawn from [election_us, 2 * election_us) */
    uint32_t              compact_after; /**< entries kept before the log is compacted */
    uint64_t              seed;
} cw_raft_options_t;

/** CW_ERROR_INVALID: no incarnation, or an election timeout that is not above the heartbeat; *raft is NULL on any
 *  error. */
int  cw_raft_create(cw_raft_t **raft, const cw_raft_options_t *options, const cw_raft_callbacks_t *callbacks,
                    cw_time_us_t now);
void cw_raft_free(cw_raft_t *raft);
void cw_raft_tick(cw_raft_t *raft, cw_time_us_t now);
/** Time at which the next tick has work. */
cw_time_us_t cw_raft_next_tick(const cw_raft_t *raft);
void         cw_raft_receive(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);

/** Appends a command as leader. CW_ERROR_NOT_LEADER otherwise. */
int cw_raft_propose(cw_raft_t *raft, const uint8_t *data, size_t length, uint64_t *index, cw_time_us_t now);
/** Changes the voters by at most one, or the learners by any number. CW_ERROR_CONFLICT while a change is under way. */
int cw_raft_propose_membership(cw_raft_t *raft, const Cw__Membership *membership, cw_time_us_t now);
/** Asks a more up-to-date voter to take over at once (for a planned stop). */
int cw_raft_step_down(cw_raft_t *raft, cw_time_us_t now);

/**
 * Begins a quorum round: messages sent from now on carry it. Returns its number (>0), or 0 when not leader.
 * A round asked for while another is unsent may share its number.
 */
uint64_t cw_raft_round_begin(cw_raft_t *raft, cw_time_us_t now);
/** Highest round that a majority of voters has answered in the present term as leader; 0: none. */
uint64_t cw_raft_round_confirmed(const cw_raft_t *raft);

cw_raft_role_t        cw_raft_role(const cw_raft_t *raft);
uint64_t              cw_raft_term(const cw_raft_t *raft);
uint64_t              cw_raft_generation(const cw_raft_t *raft);
uint64_t              cw_raft_commit_index(const cw_raft_t *raft);
uint64_t              cw_raft_last_index(const cw_raft_t *raft);
uint64_t              cw_raft_last_term(const cw_raft_t *raft);
cw_incarnation_t      cw_raft_leader(const cw_raft_t *raft);     /**< 0: not known */
const Cw__Membership *cw_raft_membership(const cw_raft_t *raft); /**< latest in the log */
/** Has the entry that opened this leader's term been committed and applied? Only then may it decide. */
bool cw_raft_leader_ready(const cw_raft_t *raft);
/** Match index of a member as the leader knows it; 0: not known. */
uint64_t cw_raft_member_match(const cw_raft_t *raft, cw_incarnation_t member);
/** Time of a member's last answer to this leader; 0: none. */
cw_time_us_t cw_raft_member_heard(const cw_raft_t *raft, cw_incarnation_t member);

#endif
