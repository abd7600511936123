/**
 * @file quota_sim.c
 * @brief The nodes, their messages, and the load.
 */
#include "quota_sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "router/broker_choice.h"

enum { DECLINING_MOST = 2 /* as in router_quota_choice.c */ };
enum { COUNTING_S = 10 /* until a node goes by its own count of the others */ };
enum {
    METERED_MOST = 8,
    DELAY_LEAST_US = 1000,
    DELAY_SPREAD_US = 9000,
    START_US = 1000000,
    DIRECT = QUOTA_WORLD_NODES
};

typedef enum { REPORT, STATUS, ASK, GRANT, RETURN, PROBE, PROBE_REPLY, DECLINED } message_kind_t;

struct world_message {
    message_kind_t    kind;
    size_t            from;
    size_t            to;
    size_t            via;            /* DIRECT: none */
    bool              is_passed;      /* the node in between has sent it on */
    uint64_t          to_incarnation; /* of the process that it is meant for */
    cw_time_us_t      due;
    uint64_t          incarnation;
    uint32_t          sequence;
    cw_quota_usage_t  usages[48];
    size_t            count;
    cw_quota_ask_t    ask;
    cw_quota_grant_t  grant;
    cw_quota_return_t returned;
    uint32_t          metered[METERED_MOST];
    size_t            metered_count;
    uint32_t          redirected[METERED_MOST];
    uint32_t          counters[METERED_MOST];
    size_t            redirected_count;
    world_message_t  *prev;
    world_message_t  *next;
};

static double draw(quota_world_t *world)
{
    world->random = world->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (double)(world->random >> 11) / (double)(1ULL << 53);
}

static uint32_t draw_poisson(quota_world_t *world, double mean)
{
    double   limit = exp(-mean);
    double   product = draw(world);
    uint32_t count = 0;

    while (product > limit) {
        product *= draw(world);
        count++;
    }
    return count;
}

/* ---- messages ---- */

static size_t index_of(uint32_t address)
{
    return address - 1;
}

static bool passes(quota_world_t *world, size_t from, size_t to)
{
    const world_node_t *sender = &world->nodes[from];

    if (from == to) {
        return true;
    }
    world->sent++;
    return draw(world) >= world->loss && sender->group == world->nodes[to].group &&
           (sender->loss_to[to] == 0 || draw(world) >= sender->loss_to[to]);
}

/* On its way to `next`, which is where it goes, or a node in between. */
static void carry(quota_world_t *world, const world_message_t *message, size_t last, size_t next)
{
    world_message_t *copy;

    if (!passes(world, last, next)) {
        return;
    }
    copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    *copy = *message;
    copy->due = world->now + (last == next ? 0 : DELAY_LEAST_US + (cw_time_us_t)(draw(world) * DELAY_SPREAD_US));
    DL_APPEND(world->messages, copy);
}

static void post_by(quota_world_t *world, const world_message_t *message, size_t via)
{
    world_message_t sent = *message;

    sent.via = via;
    sent.is_passed = false;
    sent.to_incarnation = world->nodes[message->to].incarnation;
    carry(world, &sent, sent.from, via == DIRECT ? sent.to : via);
}

static bool     is_suspect(const world_node_t *node, size_t other);
static uint32_t known_choice(const world_node_t *node, uint32_t tenant);
static bool     still_declines(world_node_t *node);

static void post(quota_world_t *world, const world_message_t *message)
{
    const world_node_t *from = &world->nodes[message->from];
    uint32_t            via = 0;

    if (message->from != message->to && is_suspect(from, message->to)) {
        via = cw_detours_via(from->detours, world->nodes[message->to].address, world->now);
    }
    post_by(world, message, via == 0 ? DIRECT : index_of(via));
}

/* What a node does with a report: it counts the tenants that it would ask itself about, and names who counts others. */
static void take_report(world_node_t *node, size_t to, uint64_t incarnation, uint32_t sequence,
                        const cw_quota_usage_t *usages, size_t count)
{
    world_message_t message = {.kind = STATUS, .from = index_of(node->address), .to = to, .sequence = sequence};
    size_t          index;

    for (index = 0; index < count; index++) {
        uint32_t tenant = usages[index].tenant;
        uint32_t counter = known_choice(node, tenant);

        if (counter != node->address) {
            message.redirected[message.redirected_count] = tenant;
            message.counters[message.redirected_count++] = counter;
            continue;
        }
        cw_quota_counter_report(node->counter, node->world->nodes[to].address, incarnation, &usages[index], 1,
                                node->world->now);
        if (cw_quota_counter_is_metered(node->counter, tenant, node->world->now)) {
            message.metered[message.metered_count++] = tenant;
        }
    }
    post(node->world, &message);
}

static void take_status(world_node_t *node, uint32_t from, const world_message_t *message)
{
    cw_quota_status_t status = {.sequence = message->sequence,
                                .metered = message->metered,
                                .metered_count = message->metered_count,
                                .redirected = message->redirected,
                                .counters = message->counters,
                                .redirected_count = message->redirected_count};

    cw_quota_share_status(node->share, from, &status, node->world->now);
}

static void deliver(quota_world_t *world, const world_message_t *message)
{
    world_node_t   *node = &world->nodes[message->to];
    world_message_t reply = {.from = message->to, .to = message->from};
    uint32_t        from = world->nodes[message->from].address;

    if (!node->is_up || node->incarnation != message->to_incarnation) {
        return;
    }
    if (message->via != DIRECT && message->kind != PROBE) {
        cw_detours_received(node->detours, from, world->nodes[message->via].address, world->now);
    }
    if ((message->kind == REPORT || message->kind == ASK) && still_declines(node)) {
        reply.kind = DECLINED;
        post(world, &reply);
        return;
    }
    switch (message->kind) {
    case REPORT:
        take_report(node, message->from, message->incarnation, message->sequence, message->usages, message->count);
        break;
    case STATUS:
        take_status(node, from, message);
        break;
    case ASK:
        if (known_choice(node, message->ask.usage.tenant) != node->address) {
            reply.kind = STATUS;
            reply.redirected_count = 1;
            reply.redirected[0] = message->ask.usage.tenant;
            reply.counters[0] = known_choice(node, message->ask.usage.tenant);
            post(world, &reply);
            break;
        }
        reply.kind = GRANT;
        reply.grant = cw_quota_counter_ask(node->counter, from, &message->ask, world->now);
        post(world, &reply);
        break;
    case GRANT:
        cw_quota_share_granted(node->share, from, &message->grant, world->now);
        break;
    case RETURN:
        cw_quota_counter_give_back(node->counter, from, &message->returned, world->now);
        break;
    case PROBE:
        reply.kind = PROBE_REPLY;
        post_by(world, &reply, message->via);
        break;
    case PROBE_REPLY:
        break;
    case DECLINED:
        cw_quota_share_declined(node->share, from, world->now);
        break;
    }
}

/* The node in between sends it on, if it receives from where it goes. */
static bool is_passed_on(quota_world_t *world, const world_message_t *message)
{
    world_message_t passed = *message;

    if (message->via == DIRECT || message->is_passed) {
        return false;
    }
    passed.is_passed = true;
    if (world->nodes[message->via].is_up && world->nodes[message->via].reaches[message->to]) {
        carry(world, &passed, message->via, message->to);
    }
    return true;
}

static void deliver_due(quota_world_t *world)
{
    world_message_t *message;
    world_message_t *next;

    DL_FOREACH_SAFE(world->messages, message, next)
    {
        size_t at = message->via == DIRECT || message->is_passed ? message->to : message->via;

        if (message->due > world->now || world->nodes[at].is_frozen) {
            continue;
        }
        DL_DELETE(world->messages, message);
        if (!is_passed_on(world, message)) {
            deliver(world, message);
        }
        free(message);
        next = world->messages; /* what is delivered may have posted more */
    }
}

/* ---- a node's port ---- */

/* Does the node count the other one as received from? */
static bool hears(const world_node_t *node, size_t other)
{
    cw_time_us_t since = node->world->now - node->reach_changed[other];

    if (index_of(node->address) == other) {
        return true;
    }
    return node->reaches[other] ? since >= CW_MS(QUOTA_WORLD_BACK_LAG_MS) : since < CW_MS(QUOTA_WORLD_PEER_LAG_MS);
}

/* By the reports of the other one, which arrive. */
static bool is_missed_by(const world_node_t *node, size_t other)
{
    const world_node_t *peer = &node->world->nodes[other];
    size_t              own = index_of(node->address);

    if (node->world->now - node->fleet_size.started_at < CW_MS(QUOTA_WORLD_PEER_LAG_MS)) {
        return false; /* all miss it, since the process before it ended */
    }
    return hears(node, other) && peer->is_up && !peer->reaches[own] && !hears(peer, own);
}

static bool is_suspect(const world_node_t *node, size_t other)
{
    cw_time_us_t since = node->world->now - node->reach_changed[other];

    return (!node->reaches[other] && since >= CW_MS(QUOTA_WORLD_SUSPECT_MS)) || is_missed_by(node, other);
}

static bool has_way(const world_node_t *node, size_t other)
{
    return cw_detours_via(node->detours, node->world->nodes[other].address, node->world->now) != 0;
}

static bool knows(const world_node_t *node, size_t other)
{
    return hears(node, other) || has_way(node, other);
}

static bool is_in_touch(const world_node_t *node, size_t other)
{
    bool is_late =
        !node->reaches[other] && node->world->now - node->reach_changed[other] >= CW_MS(QUOTA_WORLD_SUSPECT_MS);

    return (hears(node, other) && !is_late && !is_missed_by(node, other)) || has_way(node, other);
}

static uint32_t count_in_touch(const world_node_t *node)
{
    uint32_t count = 0;
    size_t   other;

    for (other = 0; other < node->world->node_count; other++) {
        count += is_in_touch(node, other) ? 1 : 0;
    }
    return count;
}

static bool declines(const world_node_t *node)
{
    return node->world->new_ones_decline &&
           !cw_fleet_size_is_reached(&node->fleet_size, node->in_touch, node->world->now);
}

/* Nodes that share the limits, as it knows by now. */
static uint32_t nodes_of(const world_node_t *node)
{
    uint32_t nodes = cw_fleet_size_nodes(&node->fleet_size, node->in_touch_most, node->world->now);

    return declines(node) && node->fleet_size.stated == 0 ? CW_FLEET_NODES_MAX : nodes;
}

static void probe(world_node_t *node, size_t suspect, uint32_t turn)
{
    quota_world_t  *world = node->world;
    world_message_t message = {.kind = PROBE, .from = index_of(node->address), .to = suspect};
    uint32_t        via = cw_detours_via(node->detours, world->nodes[suspect].address, world->now);
    size_t          way;

    if (via != 0) {
        post_by(world, &message, index_of(via));
    }
    for (way = 0; way < CW_DETOUR_INDIRECT_PROBES; way++) {
        size_t between = (turn * CW_DETOUR_INDIRECT_PROBES + way) % world->node_count;

        if (between != suspect && between != message.from && hears(node, between)) {
            post_by(world, &message, between);
        }
    }
}

static void look_for_ways(world_node_t *node)
{
    quota_world_t *world = node->world;
    uint32_t       turn;
    size_t         other;

    for (other = 0; other < world->node_count; other++) {
        if (other != index_of(node->address) && is_suspect(node, other) &&
            cw_detours_begin_probe(node->detours, world->nodes[other].address, world->now, &turn)) {
            probe(node, other, turn);
        }
    }
}

static uint32_t choose(const world_node_t *node, uint32_t tenant, bool passes_over_silent)
{
    const quota_world_t  *world = node->world;
    cw_broker_candidate_t candidates[QUOTA_WORLD_NODES];
    size_t                count = 0;
    size_t                index;

    for (index = 0; index < world->node_count; index++) {
        uint32_t address = world->nodes[index].address;
        bool     is_own = address == node->address;
        bool     is_left_out = passes_over_silent ? cw_quota_share_is_silent(node->share, address, world->now)
                                                  : cw_quota_share_has_declined(node->share, address, world->now);

        if ((is_own ? !declines(node) : knows(node, index)) && !is_left_out) {
            candidates[count++] =
                (cw_broker_candidate_t){.address = address, .capability = index < world->capable ? 2 : 1, .zone = ""};
        }
    }
    return cw_broker_choose(candidates, count, "", tenant);
}

/* As router_quota_choice.c does, for those that ask this node, and for its own. */
static uint32_t known_choice(const world_node_t *node, uint32_t tenant)
{
    uint32_t first = choose(node, tenant, false);
    uint32_t next;

    if (!cw_quota_share_is_silent(node->share, first, node->world->now)) {
        return first;
    }
    next = choose(node, tenant, true);
    return next == node->address ? 0 : next;
}

static uint32_t counter_of(void *context, uint32_t tenant)
{
    const world_node_t *node = context;
    bool                nobody_counts = cw_quota_share_declined_count(node->share, node->world->now) >= DECLINING_MOST;

    return nobody_counts ? 0 : known_choice(node, tenant);
}

static void report(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count)
{
    world_node_t   *node = context;
    world_message_t message = {.kind = REPORT,
                               .from = index_of(node->address),
                               .to = index_of(counter),
                               .incarnation = node->incarnation,
                               .sequence = sequence,
                               .count = count};

    node->world->reports += message.from == message.to ? 0 : 1;
    memcpy(message.usages, usages, count * sizeof(*usages));
    post(node->world, &message);
}

static void ask(void *context, uint32_t counter, const cw_quota_ask_t *asked)
{
    world_node_t   *node = context;
    world_message_t message = {.kind = ASK, .from = index_of(node->address), .to = index_of(counter), .ask = *asked};

    node->world->asks += message.from == message.to ? 0 : 1;
    post(node->world, &message);
}

static void give_back(void *context, uint32_t counter, const cw_quota_return_t *returned)
{
    world_node_t   *node = context;
    world_message_t message = {
        .kind = RETURN, .from = index_of(node->address), .to = index_of(counter), .returned = *returned};

    post(node->world, &message);
}

static void run(world_node_t *node, world_tenant_t *tenant)
{
    quota_world_t *world = node->world;

    if (tenant->not_run > 0 && draw(world) < tenant->not_run) {
        cw_quota_share_give_back(node->share, tenant->hash, world->now);
        return;
    }
    tenant->ran++;
    tenant->runs[world->step]++;
}

static void settle(world_node_t *node, world_tenant_t *tenant, cw_quota_answer_t answer)
{
    if (answer == CW_QUOTA_ADMITTED) {
        run(node, tenant);
    } else if (answer == CW_QUOTA_REFUSED) {
        tenant->refused++;
        tenant->refused_alone += cw_quota_share_mode(node->share, tenant->hash) == CW_QUOTA_ALONE ? 1 : 0;
    }
}

static void decide_waiting(world_node_t *node, size_t index)
{
    quota_world_t  *world = node->world;
    world_tenant_t *tenant = &world->tenants[index];

    while (node->waiting[index] > 0) {
        cw_time_us_t      retry_after;
        cw_quota_answer_t answer = cw_quota_share_decide(node->share, tenant->hash, world->now, &retry_after);

        if (answer == CW_QUOTA_WAIT) {
            return;
        }
        node->waiting[index]--;
        settle(node, tenant, answer);
    }
}

static void decided(void *context, uint32_t hash)
{
    world_node_t  *node = context;
    quota_world_t *world = node->world;
    size_t         index;

    for (index = 0; index < world->tenant_count; index++) {
        world_tenant_t *tenant = &world->tenants[index];

        if (tenant->hash == hash && node->waiting[index] > 0) {
            cw_time_us_t waited = world->now - node->waiting_since[index];

            tenant->waited_most = waited > tenant->waited_most ? waited : tenant->waited_most;
            decide_waiting(node, index);
            node->waiting_since[index] = world->now;
        }
    }
}

static void mode_changed(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age)
{
    (void)context, (void)tenant, (void)mode, (void)counter, (void)age;
}

/* ---- the world ---- */

static void give_limits(world_node_t *node)
{
    quota_world_t          *world = node->world;
    cw_quota_tenant_limit_t limits[QUOTA_WORLD_TENANTS];
    size_t                  index;

    for (index = 0; index < world->tenant_count; index++) {
        limits[index].tenant = world->tenants[index].hash;
        limits[index].limit = node->is_late ? world->before[index] : world->tenants[index].limit;
    }
    cw_quota_counter_set_limits(node->counter, limits, world->tenant_count, world->now);
}

static void update_reach(quota_world_t *world)
{
    size_t one;
    size_t other;

    for (one = 0; one < world->node_count; one++) {
        world_node_t *node = &world->nodes[one];

        for (other = 0; other < world->node_count; other++) {
            const world_node_t *peer = &world->nodes[other];
            bool reaches = peer->is_up && !peer->is_frozen && peer->group == node->group && !node->is_frozen &&
                           peer->loss_to[one] < 1;

            if (reaches != node->reaches[other]) {
                node->reaches[other] = reaches;
                node->reach_changed[other] =
                    world->now + (reaches ? (cw_time_us_t)(draw(world) * (double)world->back_spread) : 0);
            }
        }
    }
}

/* A leader's statement comes a while after the start, or never. */
static void learn_size(world_node_t *node)
{
    const quota_world_t *world = node->world;

    if (world->stated_after >= 0 && world->now - node->fleet_size.started_at >= world->stated_after) {
        cw_fleet_size_note(&node->fleet_size, (uint32_t)world->node_count);
    }
}

static void tell_nodes(world_node_t *node)
{
    learn_size(node);
    node->in_touch = count_in_touch(node);
    node->in_touch_most = node->in_touch > node->in_touch_most ? node->in_touch : node->in_touch_most;
    cw_quota_counter_set_nodes(node->counter, nodes_of(node), node->in_touch);
    cw_quota_share_set_nodes(node->share, nodes_of(node));
}

static bool still_declines(world_node_t *node)
{
    if (declines(node)) {
        tell_nodes(node);
    }
    return declines(node);
}

/* It has received from none yet. */
static void forget_others(world_node_t *node)
{
    size_t other;

    for (other = 0; other < node->world->node_count; other++) {
        node->reaches[other] = false;
        node->reach_changed[other] = node->world->now - CW_MS(QUOTA_WORLD_PEER_LAG_MS);
    }
}

void quota_world_start(quota_world_t *world, size_t index)
{
    world_node_t   *node = &world->nodes[index];
    cw_quota_port_t port = {.context = node,
                            .counter_of = counter_of,
                            .report = report,
                            .ask = ask,
                            .give_back = give_back,
                            .decided = decided,
                            .mode_changed = mode_changed};

    node->is_up = true;
    node->incarnation = (uint64_t)world->now + 1;
    node->share = cw_quota_share_create(&world->settings, &port, node->address, node->incarnation);
    node->counter = cw_quota_counter_create(&world->settings);
    node->detours = cw_detours_create();
    node->in_touch = 1;
    node->in_touch_most = 1;
    cw_fleet_size_init(&node->fleet_size, CW_SECONDS(COUNTING_S), world->now);
    forget_others(node);
    give_limits(node);
    tell_nodes(node);
}

void quota_world_kill(quota_world_t *world, size_t index)
{
    world_node_t *node = &world->nodes[index];

    node->is_up = false;
    memset(node->waiting, 0, sizeof(node->waiting));
    cw_quota_share_free(node->share);
    cw_quota_counter_free(node->counter);
    cw_detours_free(node->detours);
    node->detours = NULL;
    node->share = NULL;
    node->counter = NULL;
}

void quota_world_lose(quota_world_t *world, size_t from, size_t to, double part)
{
    world->nodes[from].loss_to[to] = part;
}

/* The nodes have run for long. */
static void know_one_another(quota_world_t *world)
{
    size_t one;
    size_t other;

    for (one = 0; one < world->node_count; one++) {
        world->nodes[one].fleet_size.started_at -= CW_MS(CW_FLEET_DISCOVERY_MS);
        for (other = 0; other < world->node_count; other++) {
            world->nodes[one].reaches[other] = true;
            world->nodes[one].reach_changed[other] = world->now - CW_SECONDS(1);
        }
    }
    for (one = 0; one < world->node_count; one++) {
        tell_nodes(&world->nodes[one]);
    }
}

quota_world_t *quota_world_create(size_t nodes, size_t capable, uint64_t seed)
{
    quota_world_t *world = calloc(1, sizeof(*world));
    size_t         index;
    size_t         other;

    if (world == NULL) {
        abort();
    }
    world->now = START_US;
    world->random = seed * 2 + 1;
    world->settings = (cw_quota_settings_t){.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    world->node_count = nodes;
    world->capable = capable;
    for (index = 0; index < QUOTA_WORLD_NODES; index++) {
        world->nodes[index].address = (uint32_t)index + 1;
        world->nodes[index].world = world;
        for (other = 0; other < nodes; other++) {
            world->nodes[index].reaches[other] = true;
        }
    }
    for (index = 0; index < nodes; index++) {
        quota_world_start(world, index);
    }
    know_one_another(world);
    return world;
}

void quota_world_free(quota_world_t *world)
{
    world_message_t *message;
    world_message_t *next;
    size_t           index;

    for (index = 0; index < world->node_count; index++) {
        if (world->nodes[index].is_up) {
            quota_world_kill(world, index);
        }
    }
    DL_FOREACH_SAFE(world->messages, message, next)
    {
        DL_DELETE(world->messages, message);
        free(message);
    }
    free(world);
}

size_t quota_world_add_tenant(quota_world_t *world, double rate_per_s, double burst, double load_per_s)
{
    size_t index = world->tenant_count++;

    world->tenants[index].hash = 0x1000u + (uint32_t)index * 77u;
    world->tenants[index].limit = (cw_quota_limit_t){.rate_per_s = rate_per_s, .burst = burst};
    world->tenants[index].load_per_s = load_per_s;
    quota_world_set_limit(world, index, rate_per_s, burst);
    world->before[index] = world->tenants[index].limit;
    return index;
}

void quota_world_set_limit(quota_world_t *world, size_t tenant, double rate_per_s, double burst)
{
    size_t index;

    world->before[tenant] = world->tenants[tenant].limit;
    world->tenants[tenant].limit = (cw_quota_limit_t){.rate_per_s = rate_per_s, .burst = burst};
    for (index = 0; index < world->node_count; index++) {
        if (world->nodes[index].is_up) {
            give_limits(&world->nodes[index]);
        }
    }
}

static void come(world_node_t *node, size_t index)
{
    quota_world_t    *world = node->world;
    world_tenant_t   *tenant = &world->tenants[index];
    cw_time_us_t      retry_after;
    cw_quota_answer_t answer;

    tenant->came++;
    answer = cw_quota_share_enter(node->share, tenant->hash, node->is_late ? &world->before[index] : &tenant->limit,
                                  world->now, &retry_after);
    if (answer == CW_QUOTA_WAIT) {
        node->waiting_since[index] = node->waiting[index] == 0 ? world->now : node->waiting_since[index];
        node->waiting[index]++;
    }
    settle(node, tenant, answer);
}

static void bring_load(quota_world_t *world, size_t index)
{
    const world_tenant_t *tenant = &world->tenants[index];
    size_t                nodes = tenant->nodes == 0 ? world->node_count : tenant->nodes;
    uint32_t              count = draw_poisson(world, tenant->load_per_s * QUOTA_WORLD_STEP_MS / 1000.0);

    while (count-- > 0) {
        world_node_t *node = &world->nodes[tenant->first_node + (size_t)(draw(world) * (double)nodes)];

        if (node->is_up && !node->is_frozen) {
            come(node, index);
        }
    }
}

static void tell_metered(void *context, uint32_t to, uint32_t tenant)
{
    world_node_t   *node = context;
    world_message_t message = {
        .kind = STATUS, .from = index_of(node->address), .to = index_of(to), .metered = {tenant}, .metered_count = 1};

    post(node->world, &message);
}

static void step(quota_world_t *world)
{
    size_t index;

    update_reach(world);
    deliver_due(world);
    for (index = 0; index < world->node_count; index++) {
        world_node_t *node = &world->nodes[index];

        if (!node->is_up || node->is_frozen) {
            continue;
        }
        if (world->step % 4 == 0) {
            look_for_ways(node);
            tell_nodes(node);
            cw_quota_counter_tick(node->counter, world->now, tell_metered, node);
            cw_quota_share_tick(node->share, world->now);
        }
    }
    for (index = 0; index < world->tenant_count; index++) {
        bring_load(world, index);
    }
    world->step++;
    world->now += CW_MS(QUOTA_WORLD_STEP_MS);
}

void quota_world_run(quota_world_t *world, double seconds)
{
    size_t steps = (size_t)(seconds * 1000 / QUOTA_WORLD_STEP_MS);

    for (; steps > 0 && world->step < QUOTA_WORLD_STEPS; steps--) {
        step(world);
    }
}

size_t quota_world_counter_of(const quota_world_t *world, size_t node, size_t tenant)
{
    return index_of(counter_of((void *)&world->nodes[node], world->tenants[tenant].hash));
}

/* ---- what ran ---- */

uint64_t quota_world_ran(const quota_world_t *world, size_t tenant, double from_s, double to_s)
{
    size_t   from = (size_t)(from_s * 1000 / QUOTA_WORLD_STEP_MS);
    size_t   to = (size_t)(to_s * 1000 / QUOTA_WORLD_STEP_MS);
    uint64_t sum = 0;

    for (; from < to && from < world->step; from++) {
        sum += world->tenants[tenant].runs[from];
    }
    return sum;
}

double quota_world_excess(const quota_world_t *world, size_t tenant, double from_s)
{
    const world_tenant_t *judged = &world->tenants[tenant];
    double                window_s = (double)world->settings.window / 1e6;
    double allowed = (judged->limit.rate_per_s * window_s + judged->limit.burst) * (1 + world->settings.overshoot) +
                     world->settings.slack;
    size_t  window = (size_t)(window_s * 1000 / QUOTA_WORLD_STEP_MS);
    size_t  from = (size_t)(from_s * 1000 / QUOTA_WORLD_STEP_MS);
    size_t  index;
    int64_t sum = 0;
    int64_t most = 0;

    for (index = from; index < world->step; index++) {
        sum += judged->runs[index];
        if (index >= from + window) {
            sum -= judged->runs[index - window];
        }
        most = sum > most ? sum : most;
    }
    return (double)most - allowed;
}
