/**
 * @file router_status_callers.c
 * @brief The parts of the status about callers and traffic: refusals by reason, the largest tenants' limits, bytes sent
 * by distance, pipelined requests.
 */
#include <string.h>

#include "base/metrics.h"
#include "base/tenant_metrics.h"
#include "router/router_quota.h"
#include "router/router_status.h"

/** A status code and reason, with the text as in the log, and its counter. */
typedef struct reason_metric {
    const char *reason;
    cw_metric_t metric;
} reason_metric_t;

static const reason_metric_t reasons[] = {
    {"401 no key", CW_METRIC_REJECTED_NO_KEY},
    {"401 malformed or doubled credentials, or another scheme", CW_METRIC_REJECTED_MALFORMED},
    {"401 unknown key", CW_METRIC_REJECTED_UNKNOWN_KEY},
    {"401 the route is another tenant's", CW_METRIC_REJECTED_OTHER_TENANT},
    {"401 the caller's key was taken away while the request waited", CW_METRIC_REJECTED_REVOKED},
    {"404 no route", CW_METRIC_NOT_FOUND},
    {"429 the tenant's rate", CW_METRIC_REFUSED_LIMIT},
    {"503 no slot in time", CW_METRIC_REFUSED_LOAD},
    {"503 owner of the key not known or moving", CW_METRIC_REFUSED_OWNER},
    {"503 no server", CW_METRIC_REFUSED_SERVERS},
    {"503 outside regions", CW_METRIC_REFUSED_REGIONS},
    {"503 this node stops", CW_METRIC_REFUSED_STOPPING},
    {"503 no configuration yet", CW_METRIC_REFUSED_UNREADY},
    {"503 too long without evidence that no key was taken away", CW_METRIC_REFUSED_KEYS_STALE},
    {"503 the caller's key is another tenant's now", CW_METRIC_REFUSED_KEY_MOVED},
    {"503 no memory for its body in time", CW_METRIC_REFUSED_BODIES},
};

static void add_count(json_t *counts, const char *name, uint64_t count)
{
    if (count > 0) {
        json_object_set_new(counts, name, json_integer((json_int_t)count));
    }
}

json_t *cw_router_status_refused(void)
{
    json_t  *counts = json_object();
    uint64_t limit_refusals =
        cw_metric_value(CW_METRIC_REFUSED_TENANT); /* refusals for either of a tenant's two limits: its rate, and its
                                                      requests at once */
    uint64_t rate_refusals = cw_metric_value(CW_METRIC_REFUSED_LIMIT);
    size_t   index;

    for (index = 0; index < sizeof(reasons) / sizeof(reasons[0]); index++) {
        add_count(counts, reasons[index].reason, cw_metric_value(reasons[index].metric));
    }
    add_count(counts, "429 the tenant's requests at once",
              limit_refusals > rate_refusals ? limit_refusals - rate_refusals : 0);
    return counts;
}

/* ---- tenants ---- */

static const cw_tenant_t *tenant_named(const cw_configuration_t *configuration, const char *name)
{
    size_t index;

    for (index = 0; configuration != NULL && index < configuration->tenant_count; index++) {
        if (strcmp(configuration->tenants[index].name, name) == 0) {
            return &configuration->tenants[index];
        }
    }
    return NULL;
}

/* Name of the node that counts the tenant, as this node would ask it now; NULL: none. */
static const char *counting_node(const cw_router_t *router, uint32_t tenant)
{
    uint32_t         address = cw_router_quota_counting_node(router->quota, tenant);
    const cw_peer_t *peer;

    if (address == cw_peer_link_own_address(router->link)) {
        return router->settings.node;
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->address == address) {
            return peer->node;
        }
    }
    return NULL;
}

static json_t *tenant_json(const cw_router_t *router, const cw_tenant_counts_t *counts)
{
    static const char *const modes[] = {"free", "metered", "alone"};
    const cw_tenant_t       *tenant = tenant_named(router->configuration, counts->tenant);
    json_t                  *row = json_pack("{s:s, s:I, s:I}", "tenant", counts->tenant, "requests",
                                             (json_int_t)counts->values[CW_TENANT_REQUESTS], "refused",
                                             (json_int_t)counts->values[CW_TENANT_REFUSED_LIMIT]);

    if (row != NULL && tenant != NULL && tenant->rate_per_s > 0) {
        uint32_t        hash = cw_tenant_hash(tenant->name);
        cw_quota_mode_t mode = cw_quota_share_mode(router->quota->share, hash);
        const char     *counter = mode == CW_QUOTA_ALONE ? NULL : counting_node(router, hash);

        json_object_set_new(row, "requests_per_s", json_real(tenant->rate_per_s));
        json_object_set_new(row, "burst", json_real(tenant->burst));
        json_object_set_new(row, "mode", json_string(modes[mode]));
        json_object_set_new(row, "counted_by", json_string(counter == NULL ? "" : counter));
    }
    return row;
}

json_t *cw_router_status_tenants(const cw_router_t *router)
{
    cw_tenant_counts_t largest[CW_TENANT_METRICS_LARGEST + 1];
    size_t             count = cw_tenant_metrics_largest(largest);
    json_t            *rows = json_array();
    size_t             index;

    for (index = 0; index < count; index++) {
        if (largest[index].values[CW_TENANT_REQUESTS] + largest[index].values[CW_TENANT_REFUSED_LIMIT] > 0) {
            json_array_append_new(rows, tenant_json(router, &largest[index]));
        }
    }
    return rows;
}

/* ---- traffic between nodes, and on callers' connections ---- */

json_t *cw_router_status_sent(const cw_router_t *router)
{
    const cw_traffic_account_t *account = cw_peer_link_traffic(router->link);
    json_t                     *sent = json_object();
    int                         distance;
    size_t                      kind;

    for (distance = 0; distance < CW_DISTANCES; distance++) {
        uint64_t bytes = 0;

        for (kind = 0; kind < CW_TRAFFIC_KINDS; kind++) {
            bytes += account->bytes[kind][distance];
        }
        json_object_set_new(sent, cw_traffic_distance_name((cw_distance_t)distance), json_integer((json_int_t)bytes));
    }
    return sent;
}

json_t *cw_router_status_pipelines(void)
{
    return json_pack("{s:I, s:I}", "pipelined", (json_int_t)cw_metric_value(CW_METRIC_PIPELINED), "answers_waited",
                     (json_int_t)cw_metric_value(CW_METRIC_ANSWERS_WAITED));
}
