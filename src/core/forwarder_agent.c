/**
 * @file forwarder_agent.c
 * @brief Creates a forwarder that learns of grants and leases from the node's agent.
 */
#include "core/forwarder_internal.h"

static cw_range_readiness_t agent_readiness(void *context, cw_range_id_t range, cw_fence_t fence)
{
    return cw_agent_readiness(context, range, fence);
}

static int64_t agent_lease_left_us(void *context, cw_server_id_t server, cw_instant_t now)
{
    return cw_agent_lease_left_us(context, server, now);
}

int cw_forwarder_create(cw_forwarder_t **forwarder, const cw_forwarder_options_t *options, const cw_ports_t *ports,
                        cw_agent_t *agent)
{
    cw_lease_view_t view = {agent, agent_readiness, agent_lease_left_us};

    return cw_forwarder_create_with_view(forwarder, options, ports, &view);
}
