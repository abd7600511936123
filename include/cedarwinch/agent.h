/**
 * @file agent.h
 * @brief A node's side of the control protocol: heartbeats to the leader, and for each server that this node forwards
 *        to: clock readings, lease renewals, grants and revocations.
 *
 * One exchange per server and heartbeat interval: the renewal call's answer brings the next reading.
 * Ports used: send, server_call.
 */
#ifndef CEDARWINCH_AGENT_H
#define CEDARWINCH_AGENT_H

#include "cedarwinch/control_state.h"
#include "cedarwinch/ports.h"

typedef struct cw_agent cw_agent_t;

/** State of one range at its server, as this node knows it. */
typedef enum cw_range_readiness {
    CW_RANGE_NOT_MINE, /**< this node does not forward for it under that fence */
    CW_RANGE_PENDING,  /**< grant not accepted yet */
    CW_RANGE_READY,    /**< accepted and lease alive */
    CW_RANGE_REVOKED   /**< being drained: nothing new */
} cw_range_readiness_t;

typedef struct cw_agent_options {
    const Cw__NodeInfo *self;
    cw_time_us_t        heartbeat_us;
} cw_agent_options_t;

/** Copies self and the ports. CW_ERROR_INVALID: no self or no heartbeat interval; CW_ERROR_NO_MEMORY. */
int  cw_agent_create(cw_agent_t **agent, const cw_agent_options_t *options, const cw_ports_t *ports, cw_instant_t now);
void cw_agent_free(cw_agent_t *agent);
void cw_agent_tick(cw_agent_t *agent, cw_instant_t now);
cw_time_us_t cw_agent_next_tick(const cw_agent_t *agent);

/** Takes heartbeat replies, grant orders and revoke orders. */
void cw_agent_receive(cw_agent_t *agent, const Cw__Envelope *envelope, cw_instant_t now);
void cw_agent_server_completed(cw_agent_t *agent, const cw_server_completion_t *completion, cw_instant_t now);
/** The route table changed: pick up servers newly assigned to this node, let go of others. */
void cw_agent_routes_changed(cw_agent_t *agent, const cw_control_state_t *routes, cw_instant_t now);
void cw_agent_set_leader(cw_agent_t *agent, cw_node_id_t leader);
void cw_agent_set_state(cw_agent_t *agent, Cw__NodeState state); /**< NODE_LEAVING on a planned stop */
/** Load for the next heartbeat; the agent sends it sparsely (changed by more than a tenth, or every few seconds). */
void cw_agent_report_load(cw_agent_t *agent, const Cw__RangeLoad *load);

/** May a request for this range be sent to the server under exactly this fence? */
cw_range_readiness_t cw_agent_readiness(const cw_agent_t *agent, cw_range_id_t range, cw_fence_t fence);
/** Time left of a server's lease, by this node's clock and counted from before the reading was taken; <= 0: none. */
int64_t cw_agent_lease_left_us(const cw_agent_t *agent, cw_server_id_t server, cw_instant_t now);

#endif
