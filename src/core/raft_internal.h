/**
 * @file raft_internal.h
 * @brief Shared by the files of the raft module: the replica's state and the functions between its parts.
 */
#ifndef CEDARWINCH_RAFT_INTERNAL_H
#define CEDARWINCH_RAFT_INTERNAL_H

#include "cedarwinch/error.h"
#include "cedarwinch/raft.h"
#include "core/raft_log.h"

enum {
    RAFT_MEMBERS_MAX = 64,
    RAFT_APPEND_ENTRIES_MAX = 256,      /**< entries of one append request */
    RAFT_APPEND_BYTES_MAX = 256 * 1024, /**< a larger single entry goes alone */
    RAFT_APPEND_WINDOW = 4 * 256        /**< entries sent ahead of a member's answers */
};

/** How the leader sends entries to a member. */
typedef enum raft_progress {
    RAFT_PROGRESS_PROBE,     /**< looking for the last common entry, one request at a time */
    RAFT_PROGRESS_REPLICATE, /**< sending ahead of the answers */
    RAFT_PROGRESS_SNAPSHOT   /**< a snapshot is under way */
} raft_progress_t;

/** A member of the group as this replica knows it; the leader's and candidate's bookkeeping. */
typedef struct raft_member {
    cw_node_id_t     node;
    cw_incarnation_t incarnation;
    bool             voter;
    raft_progress_t  progress;
    bool             probe_sent; /**< a probe waits for its answer */
    uint64_t         next_index;
    uint64_t         match_index;
    uint64_t         round;    /**< highest quorum round answered */
    cw_time_us_t     heard_us; /**< last answer */
    cw_time_us_t     snapshot_sent_us;
    bool             vote_answered;
    bool             vote_granted;
} raft_member_t;

/** Snapshot kept for members that need one; usable while index >= the log's base. */
typedef struct raft_snapshot {
    uint64_t        index; /**< 0: none */
    uint64_t        term;
    Cw__Membership *membership;
    uint8_t        *data;
    size_t          length;
} raft_snapshot_t;

struct cw_raft {
    cw_raft_callbacks_t callbacks;
    uint64_t            group;
    uint64_t            generation;
    cw_node_id_t        node;
    cw_incarnation_t    incarnation;
    cw_time_us_t        heartbeat_us;
    cw_time_us_t        election_us;
    uint32_t            compact_after;
    uint64_t            random_state;

    cw_raft_role_t   role;
    uint64_t         term;
    cw_incarnation_t voted_for; /**< in this term; 0: none */
    cw_incarnation_t leader;    /**< of this term; 0: not known */
    cw_time_us_t     leader_heard_us;
    cw_time_us_t     election_deadline_us;

    raft_log_t      log;
    uint64_t        commit_index;
    uint64_t        applied_index;
    bool            applying;
    raft_snapshot_t snapshot;

    Cw__Membership *membership; /**< latest in the log; never NULL */
    uint64_t        membership_index;
    raft_member_t   members[RAFT_MEMBERS_MAX]; /**< voters, then learners, as in the membership */
    size_t          member_count;

    bool         pre_vote; /**< as candidate: in the pre-vote phase */
    bool         transfer; /**< as candidate: the leader asked for this election */
    cw_time_us_t resend_deadline_us;

    uint64_t         opening_index; /**< noop that opened this leader's term */
    cw_time_us_t     heartbeat_deadline_us;
    cw_time_us_t     leader_since_us;
    cw_incarnation_t transfer_target; /**< 0: no transfer under way */
    cw_time_us_t     transfer_deadline_us;
    uint64_t         round_sent;      /**< carried by messages; grows over terms too */
    bool             round_wanted;    /**< round_sent + 1 was handed out and is not yet sent */
    uint64_t         round_confirmed; /**< in this term */
};

/* raft.c */
void raft_message_init(const cw_raft_t *raft, Cw__RaftMessage *message, cw_incarnation_t to, uint64_t term);
void raft_set_role(cw_raft_t *raft, cw_raft_role_t role);
void raft_become_follower(cw_raft_t *raft, uint64_t term, cw_incarnation_t leader, cw_time_us_t now);

/* raft_election.c */
void raft_reset_election_timer(cw_raft_t *raft, cw_time_us_t now);
void raft_election_tick(cw_raft_t *raft, cw_time_us_t now);
void raft_vote_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_vote_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_timeout_now_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);

/* raft_leader.c */
void raft_become_leader(cw_raft_t *raft, cw_time_us_t now);
void raft_leader_tick(cw_raft_t *raft, cw_time_us_t now);
int  raft_leader_append(cw_raft_t *raft, Cw__LogEntryKind kind, const uint8_t *data, size_t length, cw_time_us_t now);
void raft_append_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_snapshot_response_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_advance_commit(cw_raft_t *raft, cw_time_us_t now);

/* raft_send.c: leader to one member or all */
void raft_replicate(cw_raft_t *raft, raft_member_t *member, bool send_empty, cw_time_us_t now);
void raft_broadcast(cw_raft_t *raft, cw_time_us_t now);

/* raft_round.c */
void raft_rounds_confirm(cw_raft_t *raft);
void raft_rounds_update(cw_raft_t *raft, cw_time_us_t now);

/* raft_follower.c */
void raft_append_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_snapshot_request_received(cw_raft_t *raft, const Cw__RaftMessage *message, cw_time_us_t now);
void raft_refuse_old_term(cw_raft_t *raft, const Cw__RaftMessage *message);

/* raft_apply.c */
void raft_apply_committed(cw_raft_t *raft, cw_time_us_t now);
int  raft_snapshot_refresh(cw_raft_t *raft);
void raft_snapshot_clear(raft_snapshot_t *snapshot);

/* raft_membership.c */
int            raft_membership_reload(cw_raft_t *raft);
raft_member_t *raft_member_find(cw_raft_t *raft, cw_incarnation_t incarnation);
bool           raft_is_voter(const cw_raft_t *raft);
size_t         raft_voter_count(const cw_raft_t *raft);
size_t         raft_majority(const cw_raft_t *raft);
/** Largest value that a majority of voters has reached. */
uint64_t raft_quorum_value(const cw_raft_t *raft, uint64_t (*value)(const cw_raft_t *, const raft_member_t *));
void     raft_transfer_tick(cw_raft_t *raft, cw_time_us_t now);

#endif
