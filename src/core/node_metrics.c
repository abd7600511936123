/**
 * @file node_metrics.c
 * @brief A node's metrics in the Prometheus text format (version 0.0.4).
 */
#include <stdio.h>
#include <stdlib.h>

#include "node_internal.h"

static void print_metric(FILE *stream, const char *name, const char *type, const char *help, uint64_t value)
{
    fprintf(stream, "# HELP cedarwinch_%s %s\n# TYPE cedarwinch_%s %s\ncedarwinch_%s %lu\n", name, help, name, type,
            name, value);
}

static void print_gateway(FILE *stream, const cw_gateway_t *gateway)
{
    cw_gateway_counters_t counters;
    int                   reason;

    cw_gateway_read_counters(gateway, &counters);
    print_metric(stream, "gateway_requests_total", "counter", "Requests taken from callers.", counters.requests);
    print_metric(stream, "gateway_retries_total", "counter", "Requests sent to a forwarder again.", counters.retries);
    print_metric(stream, "gateway_in_flight", "gauge", "Requests without a final answer yet.", counters.in_flight);
    fprintf(stream, "# HELP cedarwinch_gateway_outcomes_total Final answers by outcome.\n"
                    "# TYPE cedarwinch_gateway_outcomes_total counter\n");
    fprintf(stream, "cedarwinch_gateway_outcomes_total{outcome=\"answered\"} %lu\n", counters.answered);
    fprintf(stream, "cedarwinch_gateway_outcomes_total{outcome=\"not-run\"} %lu\n", counters.not_run);
    fprintf(stream, "cedarwinch_gateway_outcomes_total{outcome=\"unknown\"} %lu\n", counters.unknown);
    fprintf(stream, "cedarwinch_gateway_outcomes_total{outcome=\"in-progress\"} %lu\n", counters.in_progress);
    fprintf(stream, "# HELP cedarwinch_gateway_refusals_total Final answers made by the router, by reason.\n"
                    "# TYPE cedarwinch_gateway_refusals_total counter\n");
    for (reason = 1; reason < CW_REASON_COUNT; reason++) {
        fprintf(stream, "cedarwinch_gateway_refusals_total{reason=\"%s\"} %lu\n", cw_reason_text((cw_reason_t)reason),
                counters.by_reason[reason]);
    }
}

static void print_forwarder(FILE *stream, const cw_forwarder_t *forwarder)
{
    cw_forwarder_counters_t counters;

    cw_forwarder_read_counters(forwarder, &counters);
    print_metric(stream, "forwarder_requests_total", "counter", "Requests taken from gateways.", counters.requests);
    print_metric(stream, "forwarder_sent_total", "counter", "Requests sent to servers.", counters.sent);
    print_metric(stream, "forwarder_replayed_total", "counter", "Answers given from the journal.", counters.replayed);
    print_metric(stream, "forwarder_journal_messages_total", "counter", "Messages to journal replicas.",
                 counters.journal_messages);
    print_metric(stream, "forwarder_queued", "gauge", "Requests waiting for a slot.", counters.queued);
}

char *cw_node_metrics(const cw_node_t *node, cw_instant_t now)
{
    char  *text = NULL;
    size_t length = 0;
    FILE  *stream = open_memstream(&text, &length);

    if (stream == NULL) {
        return NULL;
    }
    print_gateway(stream, node->gateway);
    print_forwarder(stream, node->forwarder);
    print_metric(stream, "journal_entries", "gauge", "Entries kept by this journal replica.",
                 cw_journal_entry_count(node->journal));
    print_metric(stream, "route_version", "gauge", "Version of the route table in force.",
                 cw_relay_version(node->relay));
    print_metric(stream, "in_touch", "gauge", "1: a new beat of the control group was heard in time.",
                 cw_relay_in_touch(node->relay, now) ? 1 : 0);
    print_metric(stream, "control_leader", "gauge", "1: this node leads the control group.",
                 node->control != NULL && cw_control_is_leader(node->control) ? 1 : 0);
    fclose(stream);
    return text;
}
