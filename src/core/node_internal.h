/**
 * @file node_internal.h
 * @brief Parts of a node shared by the node_*.c files.
 */
#ifndef CEDARWINCH_NODE_INTERNAL_H
#define CEDARWINCH_NODE_INTERNAL_H

#include "cedarwinch/node.h"

/** Message of this node to itself, delivered once the present event is done. */
typedef struct cw_local_message {
    struct cw_local_message *next;
    Cw__Envelope            *envelope;
} cw_local_message_t;

/** Operator's request waiting for the leader's answer. */
typedef struct cw_operator_wait {
    struct cw_operator_wait *next;
    uint64_t                 id;
    uint64_t                 caller_id;
    cw_node_id_t             leader;  /**< whom it was sent to */
    bool                     changes; /**< may take effect: its outcome is unknown when the leader is lost */
    cw_time_us_t             deadline;
} cw_operator_wait_t;

/** Forming or finding the control group; see node_bootstrap.c. */
typedef struct cw_bootstrap {
    cw_time_us_t   next_attempt;
    uint64_t       pending_store; /**< id of the store request under way; 0: none */
    bool           writing;       /**< that request is the write of the record */
    Cw__NodeInfo **seed_info;     /**< what each candidate said of itself; NULL: nothing yet */
    cw_time_us_t  *seed_heard;
    size_t         seed_count;      /**< candidates: the first control_size seeds */
    uint64_t       read_generation; /**< of the record read last; 0: none */
    bool           loss_told;       /**< the log says already that no leader is heard */
} cw_bootstrap_t;

/** Operator's recovery from loss of the control group; see node_recover.c. */
typedef struct cw_recovery cw_recovery_t;

struct cw_node {
    cw_node_options_t   options;
    Cw__NodeInfo       *self;
    cw_ports_t          outer; /**< the world's */
    cw_ports_t          inner; /**< given to the parts: loops messages to this node back */
    cw_relay_t         *relay;
    cw_agent_t         *agent;
    cw_gateway_t       *gateway;
    cw_forwarder_t     *forwarder;
    cw_journal_t       *journal;
    cw_control_t       *control; /**< kept for the life of the process: its votes must not be forgotten */
    uint64_t            control_generation;
    cw_local_message_t *local_first;
    cw_local_message_t *local_last;
    bool                settling; /**< guards against nested delivery */
    cw_bootstrap_t      bootstrap;
    cw_recovery_t      *recovery;
    cw_time_us_t        started_us;
    cw_operator_wait_t *operator_waits;
    uint64_t            next_id;
    uint64_t            random_state;
    cw_time_us_t        next_load_report;
    uint64_t            source_version; /**< what the relay was last given as its source */
    uint64_t            source_beat;
    bool                is_source;
    bool                routes_changed;
    bool                stopping;
};

/* Ids of the node's own store requests carry this bit; the control replica's do not. */
#define CW_NODE_STORE_ID_BIT (UINT64_C(1) << 63)

/* node_ports.c */
void cw_node_ports_init(cw_node_t *node);
/** Sends as this node; a message to itself is queued for after the present event. */
void cw_node_send(cw_node_t *node, cw_node_id_t to, Cw__Envelope *envelope);
/** Next message of the node to itself; false: none. */
bool cw_node_take_local(cw_node_t *node, Cw__Envelope **envelope);
void cw_node_ports_clear(cw_node_t *node);

/* node_bootstrap.c */
int  cw_node_bootstrap_init(cw_node_t *node);
void cw_node_bootstrap_clear(cw_node_t *node);
void cw_node_bootstrap_tick(cw_node_t *node, cw_instant_t now);
void cw_node_bootstrap_hello(cw_node_t *node, const Cw__Hello *hello, cw_instant_t now);
void cw_node_bootstrap_store_completed(cw_node_t *node, const cw_store_completion_t *completion, cw_instant_t now);
/** A raft message for this incarnation arrived while it has no replica: joins as a learner. */
void cw_node_join_control(cw_node_t *node, uint64_t group, uint64_t generation, cw_instant_t now);

/** Starts a replica from a record that names this incarnation, unless one of that generation or a later one was made.
 *  Returns true when it did. */
bool cw_node_bootstrap_use(cw_node_t *node, const Cw__Bootstrap *record, cw_instant_t now);
/** Id for a store request of the node itself. */
uint64_t          cw_node_next_store_id(cw_node_t *node);
extern const char cw_node_bootstrap_object[];

/* node_recover.c */
int  cw_node_recover_init(cw_node_t *node);
void cw_node_recover_clear(cw_node_t *node);
/** Operator's request: argument is empty to make a plan, or the id of the plan to confirm. */
void cw_node_recover_request(cw_node_t *node, uint64_t caller_id, bool administrator, const char *argument,
                             cw_instant_t now);
void cw_node_recover_probe(cw_node_t *node, const Cw__Envelope *envelope, cw_instant_t now);
void cw_node_recover_probe_reply(cw_node_t *node, const Cw__ControlProbeReply *reply, cw_instant_t now);
/** Returns false when the completion is not of a recovery. */
bool cw_node_recover_store_completed(cw_node_t *node, const cw_store_completion_t *completion, cw_instant_t now);
void cw_node_recover_tick(cw_node_t *node, cw_instant_t now);
cw_time_us_t cw_node_recover_next_tick(const cw_node_t *node); /**< 0: none */

/* node_operator.c */
/** Gives an operator's request its answer. */
void cw_node_operator_answer(cw_node_t *node, uint64_t caller_id, uint32_t status, char *json, uint32_t retry_after_s);
void cw_node_operator_response(cw_node_t *node, const Cw__OperatorResponse *response);
void cw_node_operator_tick(cw_node_t *node, cw_instant_t now);
/** Ends the waits for a leader that is lost or leads no more; 0: for every one but the present leader. */
void cw_node_operator_leader_lost(cw_node_t *node, cw_node_id_t lost);
void cw_node_operator_clear(cw_node_t *node);
/** Answers an operator's request that reached a node without a control replica. */
void cw_node_operator_refuse(cw_node_t *node, const Cw__OperatorRequest *request);

/* node_log.c */
void cw_node_log_answer(const Cw__ForwardResponse *response);
void cw_node_log_sent(const cw_server_request_t *request);
void cw_node_log_server_response(const cw_server_response_t *response);

/** Runs what an event left to do; see node.c. */
void cw_node_settle(cw_node_t *node, cw_instant_t now);
/** Earlier of two times; 0 stands for never. */
cw_time_us_t cw_node_earlier(cw_time_us_t left, cw_time_us_t right);

#endif
