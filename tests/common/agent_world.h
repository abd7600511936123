/**
 * @file agent_world.h
 * @brief One agent for tests, with what it sends and calls recorded; its leader and its one server are played by hand.
 */
#ifndef CEDARWINCH_TESTS_AGENT_WORLD_H
#define CEDARWINCH_TESTS_AGENT_WORLD_H

#include "cedarwinch/agent.h"

enum { NODE = 5, OTHER_NODE = 6, LEADER = 1, HEARTBEAT_US = 300000, LEASE_US = 3000000, AGENT_RECORDS_MAX = 512 };
enum { INCARNATION = 77, SERVER_INCARNATION = 900, NEXT_SERVER_INCARNATION = 901 };

/** Call of the server that the agent made. */
typedef struct agent_call_record {
    uint64_t              id;
    cw_server_call_kind_t kind;
    cw_incarnation_t      incarnation;
    int64_t               lease_end_us;
    size_t                grant_count;
    int64_t               timeout_us;
} agent_call_record_t;

typedef struct agent_world {
    cw_agent_t         *agent;
    cw_control_state_t *routes; /**< as the node knows them */
    cw_instant_t        now;
    agent_call_record_t calls[AGENT_RECORDS_MAX];
    size_t              call_count;
    Cw__Envelope       *sent[AGENT_RECORDS_MAX];
    size_t              sent_count;
    size_t              sent_bytes;
    uint64_t            log_index;           /**< of the change of the routes made last */
    int64_t             server_clock_offset; /**< to the node's clock */
    int64_t             drain_ms;            /**< of the orders to revoke */
    cw_server_id_t      server_id;
    cw_service_id_t     service_id;
} agent_world_t;

extern agent_world_t agent_world;

void agent_world_set_up(void);
void agent_world_tear_down(void);
/** A change of the routes, told to the agent. */
void agent_world_apply(Cw__Command *command);
void agent_world_apply_configuration(void);
void agent_world_apply_forwarder(cw_node_id_t node, cw_incarnation_t incarnation);
/** Answers the call made last of a kind; the server's clock runs beside this node's. */
void    agent_world_answer(cw_server_call_kind_t kind, int error, cw_incarnation_t incarnation, int64_t lease_end_us,
                           const cw_range_id_t *accepted, size_t accepted_count);
int64_t agent_world_server_clock(void);
void    agent_world_tick_after(int64_t time_us);
/** The message of a kind that was sent last. */
const Cw__Envelope *agent_world_last_sent(Cw__Envelope__BodyCase kind);
size_t              agent_world_count_sent(Cw__Envelope__BodyCase kind);
/** Answers the last heartbeat; when accepted, with a renewal of the server's lease. */
void agent_world_reply(bool accepted, cw_node_id_t leader, int64_t lease_end_us);
/** Order of the leader to grant a range or to revoke it. */
void                 agent_world_order(bool grant, cw_range_id_t range, uint64_t fence_index);
cw_range_readiness_t agent_world_readiness(cw_range_id_t range, uint64_t fence_index);
/** This node forwards to the server, which was read once. */
void agent_world_begin_forwarding(void);
/** Grants a range and lets the server accept it. */
void agent_world_grant_accepted(cw_range_id_t range, uint64_t fence_index);

#endif
