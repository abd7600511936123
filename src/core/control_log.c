/**
 * @file control_log.c
 * @brief The leader's log lines: one for each decision that was committed, with its reason.
 *
 * Written when the command is applied, so a line never tells of a decision that was not committed. Level NOTICE for
 * nodes, configurations and leadership, INFO for ranges and forwarders.
 */
#include <inttypes.h>
#include <string.h>

#include "cedarwinch/log.h"
#include "core/control_internal.h"

static const char module[] = "control";

static const char *node_event(Cw__NodeState state)
{
    switch (state) {
    case CW__NODE_STATE__NODE_UP:
        return "node is up";
    case CW__NODE_STATE__NODE_LEAVING:
        return "node is leaving";
    default:
        return "node is down";
    }
}

static const char *range_event(Cw__RangeState state)
{
    switch (state) {
    case CW__RANGE_STATE__RANGE_GRANTED:
        return "range granted";
    case CW__RANGE_STATE__RANGE_REVOKING:
        return "range being revoked";
    default:
        return "range without owner";
    }
}

static const char *server_name(const cw_control_t *control, cw_server_id_t server)
{
    const Cw__ServerConfiguration *configuration = cw_control_state_server_configuration(control->state, server);

    return configuration != NULL ? configuration->name : "-";
}

static const char *service_name(const cw_control_t *control, cw_service_id_t service)
{
    const Cw__ServiceConfiguration *configuration = cw_control_state_service(control->state, service);

    return configuration != NULL ? configuration->name : "-";
}

static const char *tenant_name(const cw_control_t *control, cw_service_id_t service)
{
    const char *tenant = cw_control_state_service_tenant(control->state, service);

    return tenant != NULL ? tenant : "-";
}

static void log_server(const cw_control_t *control, const Cw__ServerInfo *server)
{
    cw_log(CW_LOG_INFO, module, "forwarder assigned", "service=%s/%s server=%s forwarder=%u draining=%d",
           tenant_name(control, server->service), service_name(control, server->service),
           server_name(control, server->server), server->forwarder, server->draining ? 1 : 0);
}

static void log_range(const cw_control_t *control, const Cw__RangeInfo *range, uint64_t index)
{
    cw_log(CW_LOG_INFO, module, range_event(range->state),
           "range=%" PRIu64 " service=%s/%s server=%s fence=%" PRIu64 ".%" PRIu64 " reason=\"%s\"", range->id,
           tenant_name(control, range->service), service_name(control, range->service),
           server_name(control, range->server), control->options.generation, index, range->reason);
}

void cw_control_log_applied(const cw_control_t *control, const Cw__Command *command, uint64_t index)
{
    size_t position;
    size_t created = 0;

    for (position = 0; position < command->n_nodes; position++) {
        cw_log(CW_LOG_NOTICE, module, node_event(command->nodes[position]->state),
               "subject=%u incarnation=%016" PRIx64 " zone=%s", command->nodes[position]->id,
               command->nodes[position]->incarnation, command->nodes[position]->zone);
    }
    for (position = 0; position < command->n_tenants; position++) {
        cw_log(CW_LOG_NOTICE, module, "configuration accepted", "tenant=%s version=%" PRIu64 " plan=%s",
               command->tenants[position]->name, command->tenants[position]->version,
               command->tenants[position]->plan_id);
    }
    for (position = 0; position < command->n_servers; position++) {
        log_server(control, command->servers[position]);
    }
    for (position = 0; position < command->n_ranges; position++) {
        if (command->ranges[position]->id == 0) {
            created++;
        } else {
            log_range(control, command->ranges[position], index);
        }
    }
    if (created > 0) {
        cw_log(CW_LOG_INFO, module, "ranges created", "count=%zu first_index=%" PRIu64, created, index);
    }
}

void cw_control_log_role(const cw_control_t *control, cw_raft_role_t role, uint64_t term)
{
    const char *event = role == CW_RAFT_LEADER ? "elected leader" : "not leading";

    cw_log(role == CW_RAFT_LEADER ? CW_LOG_NOTICE : CW_LOG_INFO, module, event, "generation=%" PRIu64 " term=%" PRIu64,
           control->options.generation, term);
}
