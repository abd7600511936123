/**
 * @file control_effects.c
 * @brief What an intent would change: for each service the ranges that would move, and what that costs.
 *
 * The figures come from the planner that will decide on the moves too, with today's loads. Moves for balance are
 * planned without their bound here, so the figures are those of the end state.
 */
#include <stdlib.h>
#include <string.h>

#include "core/control_plan.h"

typedef struct effects {
    cw_control_t                   *control;
    const Cw__ServiceConfiguration *service;
    cw_placement_server_t          *servers;
    cw_placement_range_t           *ranges;
    size_t                          range_count;
    size_t                          capacity;
    bool                            failed;
} effects_t;

static bool add_range(void *context, const Cw__RangeInfo *range)
{
    effects_t            *effects = context;
    cw_placement_range_t *grown;
    cw_placement_range_t *item;

    if (effects->range_count == effects->capacity) {
        effects->capacity = effects->capacity == 0 ? 64 : 2 * effects->capacity;
        grown = realloc(effects->ranges, effects->capacity * sizeof(*grown));
        if (grown == NULL) {
            effects->failed = true;
            return false;
        }
        effects->ranges = grown;
    }
    item = &effects->ranges[effects->range_count++];
    memset(item, 0, sizeof(*item));
    item->id = range->id;
    item->low = range->low;
    item->last = range->last;
    item->server = range->server;
    item->load = cw_control_range_load(effects->control, range->id);
    return true;
}

/* Servers of the wanted configuration; a new one is taken as usable. */
static void add_servers(effects_t *effects)
{
    const Cw__ServerConfiguration *server;
    const Cw__ServerInfo          *info;
    size_t                         position;

    for (position = 0; position < effects->service->n_servers; position++) {
        server = effects->service->servers[position];
        info = cw_control_state_server(effects->control->state, server->id);
        effects->servers[position].id = server->id;
        effects->servers[position].zone = server->zone;
        effects->servers[position].usable = info == NULL || !info->draining || info->retired != NULL;
    }
}

static json_t *describe(const effects_t *effects, const cw_placement_result_t *result, const char *change)
{
    size_t ranges = effects->range_count;
    size_t moved = result->move_count;

    if (ranges == 0) {
        ranges = (size_t)effects->service->ranges_per_server * effects->service->n_servers;
        moved = 0;
    }
    return json_pack("{s:s, s:s, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "name", effects->service->name, "change", change,
                     "servers", (json_int_t)effects->service->n_servers, "ranges", (json_int_t)ranges, "ranges_moved",
                     (json_int_t)moved, "imbalance_before", result->imbalance_before, "imbalance_after",
                     result->imbalance_after, "churn", result->churn, "unavailable_ms", result->unavailable_ms);
}

static bool same_service(const Cw__ServiceConfiguration *left, const Cw__ServiceConfiguration *right)
{
    size_t   length = cw__service_configuration__get_packed_size(left);
    uint8_t *left_bytes = malloc(length + 1);
    uint8_t *right_bytes = malloc(length + 1);
    bool     same = false;

    if (left_bytes != NULL && right_bytes != NULL && cw__service_configuration__get_packed_size(right) == length) {
        cw__service_configuration__pack(left, left_bytes);
        cw__service_configuration__pack(right, right_bytes);
        same = memcmp(left_bytes, right_bytes, length) == 0;
    }
    free(left_bytes);
    free(right_bytes);
    return same;
}

static json_t *service_effects(cw_control_t *control, const Cw__ServiceConfiguration *service)
{
    const Cw__ServiceConfiguration *present = cw_control_state_service(control->state, service->id);
    effects_t                       effects = {.control = control, .service = service};
    cw_placement_input_t            input = {.service = service};
    cw_placement_result_t           result = {0};
    const char                     *change = "new";
    json_t                         *described = NULL;

    if (present != NULL) {
        change = same_service(present, service) ? "same" : "changed";
    }
    effects.servers = calloc(service->n_servers + 1, sizeof(*effects.servers));
    cw_control_state_each_service_range(control->state, service->id, add_range, &effects);
    if (effects.servers != NULL && !effects.failed) {
        add_servers(&effects);
        input.servers = effects.servers;
        input.server_count = service->n_servers;
        input.ranges = effects.ranges;
        input.range_count = effects.range_count;
        input.moves_allowed = effects.range_count;
        if (cw_placement_plan(&input, &result) == 0) {
            described = describe(&effects, &result, change);
        }
        cw_placement_result_clear(&result);
    }
    free(effects.servers);
    free(effects.ranges);
    return described;
}

static bool names_service(const Cw__TenantConfiguration *tenant, cw_service_id_t service)
{
    size_t position;

    for (position = 0; position < tenant->n_services; position++) {
        if (tenant->services[position]->id == service) {
            return true;
        }
    }
    return false;
}

json_t *cw_control_plan_effects(cw_control_t *control, const Cw__TenantConfiguration *wanted)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(control->state, wanted->name);
    json_t                        *list = json_array();
    json_t                        *described;
    size_t                         position;

    for (position = 0; position < wanted->n_services; position++) {
        described = service_effects(control, wanted->services[position]);
        if (described != NULL) {
            json_array_append_new(list, described);
        }
    }
    for (position = 0; present != NULL && position < present->n_services; position++) {
        if (!names_service(wanted, present->services[position]->id)) {
            json_array_append_new(
                list, json_pack("{s:s, s:s}", "name", present->services[position]->name, "change", "removed"));
        }
    }
    return list;
}
