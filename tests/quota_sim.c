/**
 * @file quota_sim.c
 * @brief The simulated nodes, their messages and their load.
 */
#include "quota_sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "router/broker_choice.h"

enum { MAX_DECLINING = 2 /* as in router_quota_choice.c */ };
enum { OWN_COUNT_S = 10 /* seconds until a node relies on its own count of the other nodes */ };
enum { MAX_METERED = 8, MIN_DELAY_US = 1000, DELAY_RANGE_US = 9000, START_US = 1000000, DIRECT = QUOTA_SIM_MAX_NODES };

typedef enum { REPORT, STATUS, ASK, GRANT, RETURN, PROBE, PROBE_REPLY, DECLINED } message_kind_t;

struct quota_sim_message {
    message_kind_t       kind;
    size_t               from;
    size_t               to;
    size_t               via;            /* index of the relaying node; DIRECT: none */
    bool                 is_relayed;     /* the relaying node has forwarded it */
    uint64_t             to_incarnation; /* incarnation of the process that it is sent to */
    cw_time_us_t         due;
    uint64_t             incarnation;
    uint32_t             sequence;
    cw_quota_usage_t     usages[48];
    size_t               count;
    cw_quota_ask_t       ask;
    cw_quota_grant_t     grant;
    cw_quota_return_t    returned;
    uint32_t             metered[MAX_METERED];
    size_t               metered_count;
    uint32_t             redirected[MAX_METERED];
    uint32_t             counters[MAX_METERED];
    size_t               redirected_count;
    quota_sim_message_t *prev;
    quota_sim_message_t *next;
};

static double draw_unit(quota_sim_t *sim)
{
    sim->random = sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(sim->random >> 11) / (double)(1ULL << 53);
}

static uint32_t draw_poisson(quota_sim_t *sim, double mean)
{
    double   limit = exp(-mean);
    double   product = draw_unit(sim);
    uint32_t count = 0;

    while (product > limit) {
        product *= draw_unit(sim);
        count++;
    }
    return count;
}

/* ---- messages ---- */

static size_t index_of(uint32_t address)
{
    return address - 1;
}

static bool is_delivered(quota_sim_t *sim, size_t from, size_t to)
{
    const quota_sim_node_t *sender = &sim->nodes[from];

    if (from == to) {
        return true;
    }
    sim->sent++;
    return draw_unit(sim) >= sim->loss && sender->group == sim->nodes[to].group &&
           (sender->loss_to[to] == 0 || draw_unit(sim) >= sender->loss_to[to]);
}

/* Sends a copy of a message from node `last` to node `next`, which is its destination or a relaying node. */
static void transmit(quota_sim_t *sim, const quota_sim_message_t *message, size_t last, size_t next)
{
    quota_sim_message_t *copy;

    if (!is_delivered(sim, last, next)) {
        return;
    }
    copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    *copy = *message;
    copy->due = sim->now + (last == next ? 0 : MIN_DELAY_US + (cw_time_us_t)(draw_unit(sim) * DELAY_RANGE_US));
    DL_APPEND(sim->messages, copy);
}

static void send_via(quota_sim_t *sim, const quota_sim_message_t *message, size_t via)
{
    quota_sim_message_t sent = *message;

    sent.via = via;
    sent.is_relayed = false;
    sent.to_incarnation = sim->nodes[message->to].incarnation;
    transmit(sim, &sent, sent.from, via == DIRECT ? sent.to : via);
}

static bool     is_suspect(const quota_sim_node_t *node, size_t other);
static uint32_t choose_counter(const quota_sim_node_t *node, uint32_t tenant);
static bool     still_declines(quota_sim_node_t *node);

static void send_message(quota_sim_t *sim, const quota_sim_message_t *message)
{
    const quota_sim_node_t *from = &sim->nodes[message->from];
    uint32_t                via = 0;

    if (message->from != message->to && is_suspect(from, message->to)) {
        via = cw_detours_via(from->detours, sim->nodes[message->to].address, sim->now);
    }
    send_via(sim, message, via == 0 ? DIRECT : index_of(via));
}

/* Applies a report as a node does: it counts the tenants of which it would choose itself as the counting node, and
 * redirects the others. */
static void apply_report(quota_sim_node_t *node, size_t to, uint64_t incarnation, uint32_t sequence,
                         const cw_quota_usage_t *usages, size_t count)
{
    quota_sim_message_t message = {.kind = STATUS, .from = index_of(node->address), .to = to, .sequence = sequence};
    size_t              index;

    for (index = 0; index < count; index++) {
        uint32_t tenant = usages[index].tenant;
        uint32_t counter = choose_counter(node, tenant);

        if (counter != node->address) {
            message.redirected[message.redirected_count] = tenant;
            message.counters[message.redirected_count++] = counter;
            continue;
        }
        cw_quota_counter_report(node->counter, node->sim->nodes[to].address, incarnation, &usages[index], 1,
                                node->sim->now);
        if (cw_quota_counter_is_metered(node->counter, tenant, node->sim->now)) {
            message.metered[message.metered_count++] = tenant;
        }
    }
    send_message(node->sim, &message);
}

static void apply_status(quota_sim_node_t *node, uint32_t from, const quota_sim_message_t *message)
{
    cw_quota_status_t status = {.sequence = message->sequence,
                                .metered = message->metered,
                                .metered_count = message->metered_count,
                                .redirected = message->redirected,
                                .counters = message->counters,
                                .redirected_count = message->redirected_count};

    cw_quota_share_status(node->share, from, &status, node->sim->now);
}

static void deliver(quota_sim_t *sim, const quota_sim_message_t *message)
{
    quota_sim_node_t   *node = &sim->nodes[message->to];
    quota_sim_message_t reply = {.from = message->to, .to = message->from};
    uint32_t            from = sim->nodes[message->from].address;

    if (!node->is_up || node->incarnation != message->to_incarnation) {
        return;
    }
    if (message->via != DIRECT && message->kind != PROBE) {
        cw_detours_received(node->detours, from, sim->nodes[message->via].address, sim->now);
    }
    if ((message->kind == REPORT || message->kind == ASK) && still_declines(node)) {
        reply.kind = DECLINED;
        send_message(sim, &reply);
        return;
    }
    switch (message->kind) {
    case REPORT:
        apply_report(node, message->from, message->incarnation, message->sequence, message->usages, message->count);
        break;
    case STATUS:
        apply_status(node, from, message);
        break;
    case ASK:
        if (choose_counter(node, message->ask.usage.tenant) != node->address) {
            reply.kind = STATUS;
            reply.redirected_count = 1;
            reply.redirected[0] = message->ask.usage.tenant;
            reply.counters[0] = choose_counter(node, message->ask.usage.tenant);
            send_message(sim, &reply);
            break;
        }
        reply.kind = GRANT;
        reply.grant = cw_quota_counter_ask(node->counter, from, &message->ask, sim->now);
        send_message(sim, &reply);
        break;
    case GRANT:
        cw_quota_share_granted(node->share, from, &message->grant, sim->now);
        break;
    case RETURN:
        cw_quota_counter_give_back(node->counter, from, &message->returned, sim->now);
        break;
    case PROBE:
        reply.kind = PROBE_REPLY;
        send_via(sim, &reply, message->via);
        break;
    case PROBE_REPLY:
        break;
    case DECLINED:
        cw_quota_share_declined(node->share, from, sim->now);
        break;
    }
}

/* Forwards a message at its relaying node, if that node receives from the destination. False: the message has reached
 * its destination. */
static bool relay(quota_sim_t *sim, const quota_sim_message_t *message)
{
    quota_sim_message_t relayed = *message;

    if (message->via == DIRECT || message->is_relayed) {
        return false;
    }
    relayed.is_relayed = true;
    if (sim->nodes[message->via].is_up && sim->nodes[message->via].reaches[message->to]) {
        transmit(sim, &relayed, message->via, message->to);
    }
    return true;
}

static void deliver_due(quota_sim_t *sim)
{
    quota_sim_message_t *message;
    quota_sim_message_t *next;

    DL_FOREACH_SAFE(sim->messages, message, next)
    {
        size_t at = message->via == DIRECT || message->is_relayed ? message->to : message->via;

        if (message->due > sim->now || sim->nodes[at].is_frozen) {
            continue;
        }
        DL_DELETE(sim->messages, message);
        if (!relay(sim, message)) {
            deliver(sim, message);
        }
        free(message);
        next = sim->messages; /* delivering a message may have added others */
    }
}

/* ---- a node's port and its view of the others ---- */

/* True if the node still counts the other one among those that it receives from: a loss or a return is noticed only
 * after QUOTA_SIM_PEER_LOSS_MS or QUOTA_SIM_PEER_RETURN_MS. */
static bool receives_from(const quota_sim_node_t *node, size_t other)
{
    cw_time_us_t since = node->sim->now - node->reach_changed[other];

    if (index_of(node->address) == other) {
        return true;
    }
    return node->reaches[other] ? since >= CW_MS(QUOTA_SIM_PEER_RETURN_MS) : since < CW_MS(QUOTA_SIM_PEER_LOSS_MS);
}

/* True if the other node does not receive from this one, as its reports say, which do arrive. */
static bool is_missed_by(const quota_sim_node_t *node, size_t other)
{
    const quota_sim_node_t *peer = &node->sim->nodes[other];
    size_t                  own = index_of(node->address);

    if (node->sim->now - node->fleet_size.started_at < CW_MS(QUOTA_SIM_PEER_LOSS_MS)) {
        return false; /* all nodes have lost it as a peer, since its previous process ended */
    }
    return receives_from(node, other) && peer->is_up && !peer->reaches[own] && !receives_from(peer, own);
}

static bool is_suspect(const quota_sim_node_t *node, size_t other)
{
    cw_time_us_t since = node->sim->now - node->reach_changed[other];

    return (!node->reaches[other] && since >= CW_MS(QUOTA_SIM_SUSPECT_MS)) || is_missed_by(node, other);
}

static bool has_detour(const quota_sim_node_t *node, size_t other)
{
    return cw_detours_via(node->detours, node->sim->nodes[other].address, node->sim->now) != 0;
}

static bool is_known(const quota_sim_node_t *node, size_t other)
{
    return receives_from(node, other) || has_detour(node, other);
}

static bool is_reachable(const quota_sim_node_t *node, size_t other)
{
    bool is_unresponsive =
        !node->reaches[other] && node->sim->now - node->reach_changed[other] >= CW_MS(QUOTA_SIM_SUSPECT_MS);

    return (receives_from(node, other) && !is_unresponsive && !is_missed_by(node, other)) || has_detour(node, other);
}

static uint32_t count_reachable_nodes(const quota_sim_node_t *node)
{
    uint32_t count = 0;
    size_t   other;

    for (other = 0; other < node->sim->node_count; other++) {
        count += is_reachable(node, other) ? 1 : 0;
    }
    return count;
}

/* Index of the node that counts all tenants, in the view of a node; QUOTA_SIM_MAX_NODES: there is none. */
static size_t interim_counter(const quota_sim_node_t *node)
{
    uint32_t address = cw_interim_counter_address(&node->interim, node->fleet_size.announced, node->reachable_nodes);

    if (address == 0 || !is_known(node, index_of(address)) ||
        cw_quota_share_has_declined(node->share, address, node->sim->now)) {
        return QUOTA_SIM_MAX_NODES;
    }
    return index_of(address);
}

static bool is_interim_counter(const quota_sim_node_t *node)
{
    return interim_counter(node) == index_of(node->address);
}

static bool declines(const quota_sim_node_t *node)
{
    return node->sim->new_nodes_decline && !is_interim_counter(node) &&
           !cw_fleet_size_is_reached(&node->fleet_size, node->reachable_nodes, node->sim->now);
}

/* Number of nodes that share the limits, as far as the node knows. */
static uint32_t node_count_known_to(const quota_sim_node_t *node)
{
    uint32_t nodes = cw_fleet_size_nodes(&node->fleet_size, node->max_reachable_nodes, node->sim->now);

    return declines(node) && node->fleet_size.announced == 0 ? CW_FLEET_NODES_MAX : nodes;
}

/* The number of nodes by which requests are admitted without a counting node. */
static uint32_t sharing_nodes(const quota_sim_node_t *node)
{
    return is_interim_counter(node) ? CW_FLEET_NODES_MAX : node_count_known_to(node);
}

static void probe(quota_sim_node_t *node, size_t suspect, uint32_t turn)
{
    quota_sim_t        *sim = node->sim;
    quota_sim_message_t message = {.kind = PROBE, .from = index_of(node->address), .to = suspect};
    uint32_t            via = cw_detours_via(node->detours, sim->nodes[suspect].address, sim->now);
    size_t              way;

    if (via != 0) {
        send_via(sim, &message, index_of(via));
    }
    for (way = 0; way < CW_DETOUR_INDIRECT_PROBES; way++) {
        size_t between = (turn * CW_DETOUR_INDIRECT_PROBES + way) % sim->node_count;

        if (between != suspect && between != message.from && receives_from(node, between)) {
            send_via(sim, &message, between);
        }
    }
}

static void update_detours(quota_sim_node_t *node)
{
    quota_sim_t *sim = node->sim;
    uint32_t     turn;
    size_t       other;

    for (other = 0; other < sim->node_count; other++) {
        if (other != index_of(node->address) && is_suspect(node, other) &&
            cw_detours_begin_probe(node->detours, sim->nodes[other].address, sim->now, &turn)) {
            probe(node, other, turn);
        }
    }
}

static uint32_t choose(const quota_sim_node_t *node, uint32_t tenant, bool skips_unresponsive)
{
    const quota_sim_t    *sim = node->sim;
    cw_broker_candidate_t candidates[QUOTA_SIM_MAX_NODES];
    size_t                count = 0;
    size_t                index;

    for (index = 0; index < sim->node_count; index++) {
        uint32_t address = sim->nodes[index].address;
        bool     is_own = address == node->address;
        bool     is_left_out = skips_unresponsive ? cw_quota_share_is_skipped(node->share, address, sim->now)
                                                  : cw_quota_share_has_declined(node->share, address, sim->now);

        if ((is_own ? !declines(node) : is_known(node, index)) && !is_left_out) {
            candidates[count++] =
                (cw_broker_candidate_t){.address = address, .capability = index < sim->capable ? 2 : 1, .zone = ""};
        }
    }
    return cw_broker_choose(candidates, count, "", tenant);
}

/* Chooses the counting node as router_quota_choice.c does, for nodes that ask this one and for its own requests. */
static uint32_t choose_counter(const quota_sim_node_t *node, uint32_t tenant)
{
    uint32_t first = choose(node, tenant, false);
    size_t   interim = interim_counter(node);
    uint32_t next;

    if (interim != QUOTA_SIM_MAX_NODES) {
        first = node->sim->nodes[interim].address;
        return cw_quota_share_is_skipped(node->share, first, node->sim->now) ? 0 : first;
    }
    if (!cw_quota_share_is_skipped(node->share, first, node->sim->now)) {
        return first;
    }
    next = choose(node, tenant, true);
    return next == node->address ? 0 : next;
}

static uint32_t on_counter_of(void *context, uint32_t tenant)
{
    const quota_sim_node_t *node = context;
    bool                    nobody_counts = cw_quota_share_declined_count(node->share, node->sim->now) >= MAX_DECLINING;

    return nobody_counts ? 0 : choose_counter(node, tenant);
}

static void on_report(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count)
{
    quota_sim_node_t   *node = context;
    quota_sim_message_t message = {.kind = REPORT,
                                   .from = index_of(node->address),
                                   .to = index_of(counter),
                                   .incarnation = node->incarnation,
                                   .sequence = sequence,
                                   .count = count};

    node->sim->reports += message.from == message.to ? 0 : 1;
    memcpy(message.usages, usages, count * sizeof(*usages));
    send_message(node->sim, &message);
}

static void on_ask(void *context, uint32_t counter, const cw_quota_ask_t *asked)
{
    quota_sim_node_t   *node = context;
    quota_sim_message_t message = {
        .kind = ASK, .from = index_of(node->address), .to = index_of(counter), .ask = *asked};

    node->sim->asks += message.from == message.to ? 0 : 1;
    send_message(node->sim, &message);
}

static void on_give_back(void *context, uint32_t counter, const cw_quota_return_t *returned)
{
    quota_sim_node_t   *node = context;
    quota_sim_message_t message = {
        .kind = RETURN, .from = index_of(node->address), .to = index_of(counter), .returned = *returned};

    send_message(node->sim, &message);
}

static void run_request(quota_sim_node_t *node, quota_sim_tenant_t *tenant)
{
    quota_sim_t *sim = node->sim;

    if (tenant->not_run_part > 0 && draw_unit(sim) < tenant->not_run_part) {
        cw_quota_share_give_back(node->share, tenant->hash, sim->now);
        return;
    }
    tenant->ran++;
    tenant->runs[sim->step]++;
}

static void apply_answer(quota_sim_node_t *node, quota_sim_tenant_t *tenant, cw_quota_answer_t answer)
{
    if (answer == CW_QUOTA_ADMITTED) {
        run_request(node, tenant);
    } else if (answer == CW_QUOTA_REFUSED) {
        tenant->refused++;
        tenant->refused_alone += cw_quota_share_mode(node->share, tenant->hash) == CW_QUOTA_ALONE ? 1 : 0;
    }
}

static void decide_waiting(quota_sim_node_t *node, size_t index)
{
    quota_sim_t        *sim = node->sim;
    quota_sim_tenant_t *tenant = &sim->tenants[index];

    while (node->waiting[index] > 0) {
        cw_time_us_t      retry_after;
        cw_quota_answer_t answer = cw_quota_share_decide(node->share, tenant->hash, sim->now, &retry_after);

        if (answer == CW_QUOTA_WAIT) {
            return;
        }
        node->waiting[index]--;
        apply_answer(node, tenant, answer);
    }
}

static void on_decided(void *context, uint32_t hash)
{
    quota_sim_node_t *node = context;
    quota_sim_t      *sim = node->sim;
    size_t            index;

    for (index = 0; index < sim->tenant_count; index++) {
        quota_sim_tenant_t *tenant = &sim->tenants[index];

        if (tenant->hash == hash && node->waiting[index] > 0) {
            cw_time_us_t waited = sim->now - node->waiting_since[index];

            tenant->longest_wait = waited > tenant->longest_wait ? waited : tenant->longest_wait;
            decide_waiting(node, index);
            node->waiting_since[index] = sim->now;
        }
    }
}

static void on_mode_changed(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age)
{
    (void)context, (void)tenant, (void)mode, (void)counter, (void)age;
}

/* ---- the simulation ---- */

static void set_limits(quota_sim_node_t *node)
{
    quota_sim_t            *sim = node->sim;
    cw_quota_tenant_limit_t limits[QUOTA_SIM_MAX_TENANTS];
    size_t                  index;

    for (index = 0; index < sim->tenant_count; index++) {
        limits[index].tenant = sim->tenants[index].hash;
        limits[index].limit = node->has_old_limits ? sim->old_limits[index] : sim->tenants[index].limit;
    }
    cw_quota_counter_set_limits(node->counter, limits, sim->tenant_count, sim->now);
}

static void update_reach(quota_sim_t *sim)
{
    size_t one;
    size_t other;

    for (one = 0; one < sim->node_count; one++) {
        quota_sim_node_t *node = &sim->nodes[one];

        for (other = 0; other < sim->node_count; other++) {
            const quota_sim_node_t *peer = &sim->nodes[other];
            bool reaches = peer->is_up && !peer->is_frozen && peer->group == node->group && !node->is_frozen &&
                           peer->loss_to[one] < 1;

            if (reaches != node->reaches[other]) {
                node->reaches[other] = reaches;
                node->reach_changed[other] =
                    sim->now + (reaches ? (cw_time_us_t)(draw_unit(sim) * (double)sim->reconnect_range) : 0);
            }
        }
    }
}

/* Sets the number of nodes as a node receives it from the leader, some time after the node's start or never. */
static void receive_fleet_size(quota_sim_node_t *node)
{
    const quota_sim_t *sim = node->sim;

    if (sim->size_known_after >= 0 && sim->now - node->fleet_size.started_at >= sim->size_known_after) {
        cw_fleet_size_record(&node->fleet_size, (uint32_t)sim->node_count);
    }
}

/* The first leader's heartbeat: it announces a number of nodes once it relies on its own count. */
static void receive_heartbeat(quota_sim_node_t *node)
{
    quota_sim_t      *sim = node->sim;
    quota_sim_node_t *leader = &sim->nodes[0];
    uint32_t          nodes;

    if (sim->first_led_at == 0 || sim->now < sim->first_led_at || !leader->is_up || !receives_from(node, 0)) {
        return;
    }
    nodes = cw_fleet_size_to_announce(&leader->fleet_size, leader->max_reachable_nodes, sim->now);
    (void)cw_interim_counter_record(&node->interim, leader->address, CW_INTERIM_COUNTER_TERM, true, nodes);
    cw_fleet_size_record(&node->fleet_size, nodes);
}

static void update_node_counts(quota_sim_node_t *node)
{
    receive_fleet_size(node);
    receive_heartbeat(node);
    node->reachable_nodes = count_reachable_nodes(node);
    node->max_reachable_nodes =
        node->reachable_nodes > node->max_reachable_nodes ? node->reachable_nodes : node->max_reachable_nodes;
    cw_quota_counter_set_nodes(node->counter, node_count_known_to(node), node->reachable_nodes);
    cw_quota_share_set_nodes(node->share, sharing_nodes(node));
}

static bool still_declines(quota_sim_node_t *node)
{
    if (declines(node)) {
        update_node_counts(node);
    }
    return declines(node);
}

/* A node that has just started has received from no other node yet. */
static void forget_peers(quota_sim_node_t *node)
{
    size_t other;

    for (other = 0; other < node->sim->node_count; other++) {
        node->reaches[other] = false;
        node->reach_changed[other] = node->sim->now - CW_MS(QUOTA_SIM_PEER_LOSS_MS);
    }
}

void quota_sim_start(quota_sim_t *sim, size_t index)
{
    quota_sim_node_t *node = &sim->nodes[index];
    cw_quota_port_t   port = {.context = node,
                              .counter_of = on_counter_of,
                              .report = on_report,
                              .ask = on_ask,
                              .give_back = on_give_back,
                              .decided = on_decided,
                              .mode_changed = on_mode_changed};

    node->is_up = true;
    node->incarnation = (uint64_t)sim->now + 1;
    node->share = cw_quota_share_create(&sim->settings, &port, node->address, node->incarnation);
    node->counter = cw_quota_counter_create(&sim->settings);
    node->detours = cw_detours_create();
    node->reachable_nodes = 1;
    node->max_reachable_nodes = 1;
    cw_fleet_size_init(&node->fleet_size, CW_SECONDS(OWN_COUNT_S), sim->now);
    node->interim = (cw_interim_counter_t){.leader = 0};
    forget_peers(node);
    set_limits(node);
    update_node_counts(node);
}

void quota_sim_kill(quota_sim_t *sim, size_t index)
{
    quota_sim_node_t *node = &sim->nodes[index];

    node->is_up = false;
    memset(node->waiting, 0, sizeof(node->waiting));
    cw_quota_share_free(node->share);
    cw_quota_counter_free(node->counter);
    cw_detours_free(node->detours);
    node->detours = NULL;
    node->share = NULL;
    node->counter = NULL;
}

void quota_sim_lose(quota_sim_t *sim, size_t from, size_t to, double part)
{
    sim->nodes[from].loss_to[to] = part;
}

/* At the start of a simulation all nodes have run for long and are connected. */
static void connect_all(quota_sim_t *sim)
{
    size_t one;
    size_t other;

    for (one = 0; one < sim->node_count; one++) {
        sim->nodes[one].fleet_size.started_at -= CW_MS(CW_FLEET_DISCOVERY_MS);
        for (other = 0; other < sim->node_count; other++) {
            sim->nodes[one].reaches[other] = true;
            sim->nodes[one].reach_changed[other] = sim->now - CW_SECONDS(1);
        }
    }
    for (one = 0; one < sim->node_count; one++) {
        update_node_counts(&sim->nodes[one]);
    }
}

quota_sim_t *quota_sim_create(size_t nodes, size_t capable, uint64_t seed)
{
    quota_sim_t *sim = calloc(1, sizeof(*sim));
    size_t       index;
    size_t       other;

    if (sim == NULL) {
        abort();
    }
    sim->now = START_US;
    sim->random = seed * 2 + 1;
    sim->settings = (cw_quota_settings_t){.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    sim->node_count = nodes;
    sim->capable = capable;
    for (index = 0; index < QUOTA_SIM_MAX_NODES; index++) {
        sim->nodes[index].address = (uint32_t)index + 1;
        sim->nodes[index].sim = sim;
        for (other = 0; other < nodes; other++) {
            sim->nodes[index].reaches[other] = true;
        }
    }
    for (index = 0; index < nodes; index++) {
        quota_sim_start(sim, index);
    }
    connect_all(sim);
    return sim;
}

void quota_sim_free(quota_sim_t *sim)
{
    quota_sim_message_t *message;
    quota_sim_message_t *next;
    size_t               index;

    for (index = 0; index < sim->node_count; index++) {
        if (sim->nodes[index].is_up) {
            quota_sim_kill(sim, index);
        }
    }
    DL_FOREACH_SAFE(sim->messages, message, next)
    {
        DL_DELETE(sim->messages, message);
        free(message);
    }
    free(sim);
}

size_t quota_sim_add_tenant(quota_sim_t *sim, double rate_per_s, double burst, double load_per_s)
{
    size_t index = sim->tenant_count++;

    sim->tenants[index].hash = 0x1000u + (uint32_t)index * 77u;
    sim->tenants[index].limit = (cw_quota_limit_t){.rate_per_s = rate_per_s, .burst = burst};
    sim->tenants[index].load_per_s = load_per_s;
    quota_sim_set_limit(sim, index, rate_per_s, burst);
    sim->old_limits[index] = sim->tenants[index].limit;
    return index;
}

void quota_sim_set_limit(quota_sim_t *sim, size_t tenant, double rate_per_s, double burst)
{
    size_t index;

    sim->old_limits[tenant] = sim->tenants[tenant].limit;
    sim->tenants[tenant].limit = (cw_quota_limit_t){.rate_per_s = rate_per_s, .burst = burst};
    for (index = 0; index < sim->node_count; index++) {
        if (sim->nodes[index].is_up) {
            set_limits(&sim->nodes[index]);
        }
    }
}

static void request_arrives(quota_sim_node_t *node, size_t index)
{
    quota_sim_t        *sim = node->sim;
    quota_sim_tenant_t *tenant = &sim->tenants[index];
    cw_time_us_t        retry_after;
    cw_quota_answer_t   answer;

    tenant->arrived++;
    answer =
        cw_quota_share_enter(node->share, tenant->hash, node->has_old_limits ? &sim->old_limits[index] : &tenant->limit,
                             sim->now, &retry_after);
    if (answer == CW_QUOTA_WAIT) {
        node->waiting_since[index] = node->waiting[index] == 0 ? sim->now : node->waiting_since[index];
        node->waiting[index]++;
    }
    apply_answer(node, tenant, answer);
}

static void generate_requests(quota_sim_t *sim, size_t index)
{
    const quota_sim_tenant_t *tenant = &sim->tenants[index];
    size_t                    nodes = tenant->nodes == 0 ? sim->node_count : tenant->nodes;
    uint32_t                  count = draw_poisson(sim, tenant->load_per_s * QUOTA_SIM_STEP_MS / 1000.0);

    while (count-- > 0) {
        quota_sim_node_t *node = &sim->nodes[tenant->first_node + (size_t)(draw_unit(sim) * (double)nodes)];

        if (node->is_up && !node->is_frozen) {
            request_arrives(node, index);
        }
    }
}

static void notify_metered(void *context, uint32_t to, uint32_t tenant)
{
    quota_sim_node_t   *node = context;
    quota_sim_message_t message = {
        .kind = STATUS, .from = index_of(node->address), .to = index_of(to), .metered = {tenant}, .metered_count = 1};

    send_message(node->sim, &message);
}

static void step(quota_sim_t *sim)
{
    size_t index;

    update_reach(sim);
    deliver_due(sim);
    for (index = 0; index < sim->node_count; index++) {
        quota_sim_node_t *node = &sim->nodes[index];

        if (!node->is_up || node->is_frozen) {
            continue;
        }
        if (sim->step % 4 == 0) {
            update_detours(node);
            update_node_counts(node);
            cw_quota_counter_tick(node->counter, sim->now, notify_metered, node);
            cw_quota_share_tick(node->share, sim->now);
        }
    }
    for (index = 0; index < sim->tenant_count; index++) {
        generate_requests(sim, index);
    }
    sim->step++;
    sim->now += CW_MS(QUOTA_SIM_STEP_MS);
}

void quota_sim_run(quota_sim_t *sim, double seconds)
{
    size_t steps = (size_t)(seconds * 1000 / QUOTA_SIM_STEP_MS);

    for (; steps > 0 && sim->step < QUOTA_SIM_MAX_STEPS; steps--) {
        step(sim);
    }
}

size_t quota_sim_counter_of(const quota_sim_t *sim, size_t node, size_t tenant)
{
    return index_of(on_counter_of((void *)&sim->nodes[node], sim->tenants[tenant].hash));
}

/* ---- results ---- */

uint64_t quota_sim_ran(const quota_sim_t *sim, size_t tenant, double from_s, double to_s)
{
    size_t   from = (size_t)(from_s * 1000 / QUOTA_SIM_STEP_MS);
    size_t   to = (size_t)(to_s * 1000 / QUOTA_SIM_STEP_MS);
    uint64_t sum = 0;

    for (; from < to && from < sim->step; from++) {
        sum += sim->tenants[tenant].runs[from];
    }
    return sum;
}

double quota_sim_excess(const quota_sim_t *sim, size_t tenant, double from_s)
{
    const quota_sim_tenant_t *tenant_state = &sim->tenants[tenant];
    double                    window_s = (double)sim->settings.window / 1e6;
    double                    allowed =
        (tenant_state->limit.rate_per_s * window_s + tenant_state->limit.burst) * (1 + sim->settings.overshoot) +
        sim->settings.slack;
    size_t  window = (size_t)(window_s * 1000 / QUOTA_SIM_STEP_MS);
    size_t  from = (size_t)(from_s * 1000 / QUOTA_SIM_STEP_MS);
    size_t  index;
    int64_t sum = 0;
    int64_t most = 0;

    for (index = from; index < sim->step; index++) {
        sum += tenant_state->runs[index];
        if (index >= from + window) {
            sum -= tenant_state->runs[index - window];
        }
        most = sum > most ? sum : most;
    }
    return (double)most - allowed;
}
