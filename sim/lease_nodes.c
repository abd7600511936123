/**
 * @file lease_nodes.c
 * @brief Model of nodes: they follow or lead by the router's own state machines, and route by the tables of leaders.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"

enum {
    HEARTBEAT_INTERVAL_MS = 150,
    HEARTBEAT_TIMEOUT_MS = 900,
    TABLE_VALID_MS = 4000,
    HOLD_LONG_MS = 8000,
    READ_INTERVAL_MS = 700,
    PLAN_INTERVAL_MS = 300,
    LINK_US = 300,
    LINK_SPREAD_US = 1500,
    SERVER_LOST_MS = 1200
};

/** A leader's heartbeat with its table, on its way to one node. */
typedef struct sim_heartbeat {
    sim_node_t *to;
    uint64_t    incarnation;
    uint64_t    term;
    uint64_t    revision;
    bool        has_authority;
    sim_table_t table;
} sim_heartbeat_t;

bool sim_node_runs(const sim_node_t *node)
{
    return node->up && node->frozen_until <= node->world->now;
}

/* ---- the assigner's ports ---- */

static void send_order(void *context, const cw_order_t *order)
{
    sim_send_order(context, order);
}

static void on_tables_changed(void *context)
{
    sim_node_t *node = context;

    node->tables_version++;
    node->tables_due = true;
}

static void log_decision(void *context, const cw_assignment_decision_t *decision)
{
    const sim_node_t *node = context;
    const cw_range_t *range = decision->range;

    if (node->world->settings.trace) {
        printf("%9.3f n%u %s (%s) cells %u-%u owner %s fence %llu former %s for %.3f s\n",
               (double)node->world->now / 1e6, node->index, decision->event, decision->detail,
               range->low / CW_CELL_KEYS, range->last / CW_CELL_KEYS, range->owner.id,
               (unsigned long long)range->owner.fence, range->former.id, (double)decision->former_left / 1e6);
    }
}

static void free_assigner(sim_node_t *node)
{
    if (node->assigner != NULL) {
        cw_assigner_free(node->assigner);
        node->assigner = NULL;
    }
}

/* What the node knows of records that the store may have lost, as in the router. */
static cw_assigner_loss_t known_loss(const sim_node_t *node)
{
    return cw_assigner_loss_since(node->leadership.epochs.has_changed, cw_leadership_lost_at(&node->leadership),
                                  node->leadership.settings.hold, CW_MS(CW_SIM_ORDER_TIMEOUT_MS), CW_MS(HOLD_LONG_MS));
}

static void create_assigner(sim_node_t *node)
{
    cw_assigner_settings_t settings = {.hold = CW_MS(5000),
                                       .max_hold = CW_MS(HOLD_LONG_MS),
                                       .hold_long = CW_MS(HOLD_LONG_MS),
                                       .renew_every = CW_MS(1250),
                                       .order_timeout = CW_MS(CW_SIM_ORDER_TIMEOUT_MS),
                                       .release_timeout = CW_MS(1500),
                                       .late_order_time = CW_SECONDS(13),
                                       .table_validity = CW_MS(TABLE_VALID_MS),
                                       .loss = known_loss(node)};
    cw_assigner_ports_t    ports = {.context = node,
                                    .store = &node->port,
                                    .send_order = send_order,
                                    .on_change = on_tables_changed,
                                    .log_decision = log_decision};

    free_assigner(node);
    node->assigner_term = node->leadership.lock.term;
    node->assigner =
        cw_assigner_create("service", node->assigner_term, node->leadership.settings.incarnation, &settings, &ports);
    node->tables_version = 0;
    node->world->result->leaders++;
    sim_trace(node->world, "n%u leads in term %llu; its list has revision %llu", node->index,
              (unsigned long long)node->assigner_term, (unsigned long long)node->list_revision);
}

/* ---- leadership ---- */

/** A call on the lock. */
typedef struct sim_lock_call {
    sim_node_t *node;
    uint64_t    number;
} sim_lock_call_t;

static sim_lock_call_t *begin_lock_call(sim_node_t *node)
{
    sim_lock_call_t *call = malloc(sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->node = node;
    call->number = node->leadership.call;
    return call;
}

static void continue_assigner(sim_node_t *node)
{
    cw_assigner_loss_t loss = known_loss(node);

    node->assigner_term = node->leadership.lock.term;
    node->tables_version = 0;
    node->world->result->continued++;
    cw_assigner_begin_term(node->assigner, node->assigner_term, &loss);
}

static void on_lock(void *data, const cw_store_reply_t *reply)
{
    sim_lock_call_t *call = data;
    sim_node_t      *node = call->node;
    bool             before = node->leadership.leading;
    uint64_t         term = node->leadership.lock.term;

    cw_leadership_replied(&node->leadership, call->number, reply, node->world->now);
    free(call);
    if (node->leadership.leading && !before) {
        create_assigner(node);
    } else if (node->leadership.leading && node->leadership.lock.term != term) {
        continue_assigner(node);
    } else if (before && !node->leadership.leading) {
        free_assigner(node);
    }
}

static void step_lock(sim_node_t *node)
{
    cw_leadership_action_t action = cw_leadership_tick(&node->leadership, node->world->now);
    json_t                *value;

    if (action == CW_LEADERSHIP_WAIT) {
        return;
    }
    if (action == CW_LEADERSHIP_READ) {
        node->port.read(node->port.context, "leaders", "main", on_lock, begin_lock_call(node));
        return;
    }
    value = cw_lock_to_json(&node->leadership.write);
    if (action == CW_LEADERSHIP_CREATE) {
        node->port.create(node->port.context, "leaders", "main", value, on_lock, begin_lock_call(node));
    } else {
        node->port.replace(node->port.context, "leaders", "main", node->leadership.revision, value, on_lock,
                           begin_lock_call(node));
    }
    json_decref(value);
}

/* ---- plans: forced moves as the planner makes them, and random moves instead of those for balance ---- */

static const cw_server_entry_t *pick_server(sim_node_t *node, const char *except)
{
    const cw_server_list_t *list = sim_list_of(node);
    size_t                  start;
    size_t                  index;

    if (list->count == 0) {
        return NULL;
    }
    start = sim_random_below(node->world, list->count);
    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[(start + index) % list->count];

        if (strcmp(entry->id, except) != 0) {
            return entry;
        }
    }
    return NULL;
}

static bool must_move(const sim_node_t *node, const cw_range_t *range)
{
    cw_time_us_t now = node->world->now;

    if (range->owner_ended) {
        return true;
    }
    if (range->phase == CW_RANGE_RELEASING) {
        return range->hold_until <= now && cw_server_list_find(sim_list_of(node), range->owner.id) == NULL;
    }
    return cw_server_list_find(sim_list_of(node), range->owner.id) == NULL ||
           (range->failing_since != 0 && now - range->failing_since > CW_MS(SERVER_LOST_MS));
}

static bool begins_in_plan(sim_node_t *node, double per_second)
{
    return sim_random_bool(node->world, per_second * PLAN_INTERVAL_MS / 1000);
}

/* Moves a cell in any state, as a caller other than the planner may. */
static void force_move(sim_node_t *node)
{
    uint32_t                 cell = (uint32_t)sim_random_below(node->world, CW_CELLS);
    const cw_range_t        *range = cw_range_list_find(cw_assigner_ranges(node->assigner), cell * CW_CELL_KEYS);
    const cw_server_entry_t *to = pick_server(node, range->owner.id);

    if (to != NULL) {
        cw_assigner_plan_move(node->assigner, cell * CW_CELL_KEYS, (cell + 1) * CW_CELL_KEYS - 1, to);
    }
}

static void plan_moves(sim_node_t *node)
{
    const cw_sim_settings_t *settings = &node->world->settings;
    const cw_range_list_t   *ranges = cw_assigner_ranges(node->assigner);
    const cw_server_list_t  *list = sim_list_of(node);
    bool                     unreachable = cw_assigner_failing_share(node->assigner, node->world->now) > 0.5;
    size_t                   index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t        *range = &ranges->items[index];
        const cw_server_entry_t *to = pick_server(node, range->owner.id);

        if (to != NULL && must_move(node, range) &&
            (!unreachable || cw_server_list_find(list, range->owner.id) == NULL)) {
            cw_assigner_plan_move(node->assigner, range->low, range->last, to);
        }
    }
    if (begins_in_plan(node, settings->moves)) {
        uint32_t                 cell = (uint32_t)sim_random_below(node->world, CW_CELLS);
        const cw_range_t        *range = cw_range_list_find(ranges, cell * CW_CELL_KEYS);
        const cw_server_entry_t *to = pick_server(node, range->owner.id);

        if (to != NULL && cw_assigner_is_settled(node->assigner, range, node->world->now)) {
            cw_assigner_plan_move(node->assigner, cell * CW_CELL_KEYS, (cell + 1) * CW_CELL_KEYS - 1, to);
            node->world->result->moves++;
        }
    }
    if (settings->forced_moves > 0 && begins_in_plan(node, settings->forced_moves)) {
        force_move(node);
    }
    if (begins_in_plan(node, settings->merges)) {
        (void)cw_assigner_plan_merge(node->assigner, (uint32_t)sim_random_below(node->world, CW_CELLS) * CW_CELL_KEYS);
    }
    if (cw_assigner_is_stale(node->assigner, node->world->now)) {
        cw_assigner_plan_rewrite(node->assigner);
    }
    cw_assigner_plan_write(node->assigner, node->world->now);
}

static void plan(sim_node_t *node)
{
    const cw_server_entry_t *entries[CW_SIM_ADDRESSES];
    size_t                   index;

    if (node->world->now < node->next_plan || !cw_assigner_may_plan(node->assigner)) {
        return;
    }
    node->next_plan = node->world->now + CW_MS(PLAN_INTERVAL_MS);
    if (cw_assigner_state(node->assigner) == CW_ASSIGNER_EMPTY) {
        for (index = 0; index < sim_list_of(node)->count && index < CW_SIM_ADDRESSES - 2; index++) {
            entries[index] = &sim_list_of(node)->entries[index];
        }
        /* At most four servers get a range each, so that the bounds of the ranges are bounds of cells. */
        cw_assigner_plan_first(node->assigner, entries, index, node->world->now);
        return;
    }
    plan_moves(node);
}

/* ---- heartbeats and tables of leaders ---- */

static void set_table(sim_table_t *table, const cw_range_list_t *ranges, bool is_from_record)
{
    uint32_t cell;

    for (cell = 0; cell < CW_CELLS; cell++) {
        const cw_range_t *range = cw_range_list_find(ranges, cell * CW_CELL_KEYS);

        snprintf(table->owner[cell], sizeof(table->owner[cell]), "%s", range == NULL ? "" : range->owner.id);
        if (is_from_record) {
            table->routable[cell] = range != NULL && range->former.id[0] == '\0';
        } else {
            table->routable[cell] = range != NULL && cw_range_is_routable(range);
        }
    }
}

static void receive_heartbeat(sim_world_t *world, void *data)
{
    sim_heartbeat_t *heartbeat = data;
    sim_node_t      *node = heartbeat->to;

    if (sim_node_runs(node) && node->incarnation == heartbeat->incarnation) {
        cw_leadership_receive_heartbeat(&node->leadership, heartbeat->term, heartbeat->revision,
                                        heartbeat->has_authority, world->now);
        if (heartbeat->has_authority && !node->leadership.leading &&
            (heartbeat->term > node->table.term ||
             (heartbeat->term == node->table.term && heartbeat->table.version >= node->table.version))) {
            node->table = heartbeat->table;
            node->table.term = heartbeat->term;
            node->table.valid_until = world->now + CW_MS(TABLE_VALID_MS);
            node->heartbeat_at = world->now;
        }
    }
    free(heartbeat);
}

static void send_heartbeats(sim_node_t *node, bool has_authority)
{
    sim_world_t *world = node->world;
    uint32_t     index;

    if (cw_assigner_state(node->assigner) != CW_ASSIGNER_READY ||
        (!node->tables_due && world->now - node->heartbeat_sent_at < CW_MS(HEARTBEAT_INTERVAL_MS))) {
        return;
    }
    node->heartbeat_sent_at = world->now;
    node->tables_due = false;
    if (has_authority) {
        set_table(&node->table, cw_assigner_ranges(node->assigner), false);
        node->table.term = node->assigner_term;
        node->table.version = node->tables_version;
        node->table.valid_until = world->now + CW_MS(TABLE_VALID_MS);
        node->heartbeat_at = world->now;
    }
    for (index = 0; index < CW_SIM_NODES; index++) {
        sim_node_t      *to = &world->nodes[index];
        sim_heartbeat_t *heartbeat;

        if (to == node || !to->up || node->cut_nodes || to->cut_nodes || sim_random_bool(world, 0.05)) {
            continue;
        }
        heartbeat = calloc(1, sizeof(*heartbeat));
        if (heartbeat == NULL) {
            abort();
        }
        heartbeat->to = to;
        heartbeat->incarnation = to->incarnation;
        heartbeat->term = node->assigner_term;
        heartbeat->revision = node->leadership.revision;
        heartbeat->has_authority = has_authority;
        heartbeat->table = node->table;
        sim_schedule(world, world->now + (cw_time_us_t)(LINK_US + sim_random_below(world, LINK_SPREAD_US)),
                     receive_heartbeat, heartbeat);
    }
}

/* ---- reads of the record by nodes that receive no heartbeat of a leader ---- */

/** A read of the record. */
typedef struct sim_read {
    sim_node_t  *node;
    cw_time_us_t sent_at;
} sim_read_t;

static void on_record(void *data, const cw_store_reply_t *reply)
{
    sim_read_t            *read = data;
    sim_node_t            *node = read->node;
    cw_assignment_record_t record;

    if (reply->result == CW_STORE_DONE && !node->leadership.leading && node->heartbeat_at < read->sent_at &&
        cw_assignment_record_from_json(&record, reply->value)) {
        (void)cw_leadership_observe_epoch(&node->leadership, reply->epoch, node->world->now);
        if (!cw_store_epochs_is_outdated(&node->leadership.epochs, record.epoch_stamp)) {
            set_table(&node->table, &record.ranges, true);
            node->table.version = 0;
            node->table.valid_until = read->sent_at + CW_MS(TABLE_VALID_MS);
        }
        cw_range_list_clear(&record.ranges);
    }
    free(read);
}

static void read_record(sim_node_t *node)
{
    sim_read_t *read;

    if (node->world->now - node->heartbeat_at < CW_MS(HEARTBEAT_TIMEOUT_MS) ||
        node->world->now - node->read_at < CW_MS(READ_INTERVAL_MS)) {
        return;
    }
    read = malloc(sizeof(*read));
    if (read == NULL) {
        abort();
    }
    read->node = node;
    read->sent_at = node->world->now;
    node->read_at = node->world->now;
    node->port.read(node->port.context, "assignments", "service", on_record, read);
}

/* ---- starts, kills and ticks ---- */

void sim_node_start(sim_world_t *world, uint32_t index)
{
    sim_node_t              *node = &world->nodes[index];
    cw_leadership_settings_t settings = {
        .hold = CW_MS(3000), .renew_every = CW_MS(750), .heartbeat_timeout = CW_MS(900), .read_every = CW_MS(400)};
    uint64_t incarnation = node->incarnation + 1;

    cw_server_list_release(node->list);
    memset(node, 0, sizeof(*node));
    node->world = world;
    node->index = index;
    node->incarnation = incarnation;
    settings.is_first_start = incarnation == 1;
    node->up = true;
    sim_store_port(node);
    snprintf(settings.node, sizeof(settings.node), "n%u", index);
    snprintf(settings.address, sizeof(settings.address), "10.1.0.%u", index);
    settings.incarnation = incarnation * 1000 + index + 1;
    cw_leadership_init(&node->leadership, &settings, world->now);
    sim_list_init(node);
}

static void restart_node(sim_world_t *world, void *data)
{
    sim_node_t *node = data;

    sim_node_start(world, node->index);
}

void sim_node_kill(sim_world_t *world, uint32_t index, cw_time_us_t down)
{
    sim_node_t *node = &world->nodes[index];

    if (!node->up) {
        return;
    }
    sim_trace(world, "n%u is killed", index);
    node->up = false;
    node->incarnation++;
    node->assigner = NULL; /* not freed: calls in flight still refer to it */
    sim_schedule(world, world->now + down, restart_node, node);
}

void sim_node_freeze(sim_node_t *node, cw_time_us_t until)
{
    node->frozen_until = until;
    sim_trace(node->world, "n%u stands still until %.3f", node->index, (double)until / 1e6);
}

void sim_node_tick(sim_node_t *node)
{
    bool has_authority;

    if (!sim_node_runs(node)) {
        return;
    }
    step_lock(node);
    sim_list_read(node);
    has_authority = cw_leadership_has_authority(&node->leadership, node->world->now);
    if (node->assigner != NULL) {
        if (has_authority && sim_list_of(node)->count > 0) {
            plan(node);
        }
        cw_assigner_tick(node->assigner, sim_list_of(node), has_authority, node->leadership.failures > 0,
                         node->world->now);
        if (cw_assigner_state(node->assigner) == CW_ASSIGNER_DEPOSED) {
            cw_leadership_receive_term(&node->leadership, cw_assigner_later_term(node->assigner), node->world->now);
        }
        send_heartbeats(node, has_authority);
    }
    if (!has_authority) {
        read_record(node);
    }
}
