/**
 * @file router_quota_choice.c
 * @brief Chooses the node that counts a tenant, and determines the number of nodes that share the limits.
 *
 * The most capable nodes of all zones count; each tenant's node is found by rendezvous hashing. Nodes that reach
 * different sets of nodes choose differently, and two nodes that count the same tenant would each give out its whole
 * limit. Therefore:
 *  - A node also counts as alive if others reach it on behalf of this one (router_detours.c).
 *  - A node that is asked, although it would ask another one itself, names that one and does not count
 *    (router_quota.c).
 *  - A process that has just started does not count. Until a leader has announced the number of nodes, it assumes that
 *    the limits are shared by as many nodes as there may be at most.
 *  - The first leader of a deployment counts all tenants until it announces a number of nodes (interim_counter.h).
 */
#include <stdlib.h>
#include <xxhash.h>

#include "base/memory.h"
#include "router/router_quota.h"

enum {
    INITIAL_CANDIDATES = 64,   /* initial capacity of the arrays, which doubles */
    DECLINING_NODES_LIMIT = 2, /* if so many decline, no node counts yet; a single one may just have restarted */
    ISOLATED_AFTER_MS = 500,   /* the longest interval between reports of few nodes is 300 ms (router_peers.c) */
    CHOICE_EXPIRY_S = 10
};

static cw_time_us_t now_of(const cw_router_quota_t *quota)
{
    return cw_router_now(quota->router);
}

static bool is_alive_at(const cw_router_t *router, uint32_t address, cw_time_us_t now)
{
    const cw_peer_t *peer = address == 0 ? NULL : cw_peer_link_find(router->link, address);

    return peer != NULL && cw_router_is_alive(router, peer, now) && !peer->stopping;
}

bool cw_router_quota_is_new(const cw_router_quota_t *quota)
{
    const cw_router_t *router = quota->router;

    return router->settings.seed_count > 0 &&
           !cw_fleet_size_is_reached(&router->fleet_size, quota->in_reach, now_of(quota));
}

/* Whether nothing has been received from any other node recently. The others may then be counting the tenants that this
 * node would count. Peers count as lost only later than this. */
static bool is_isolated(const cw_router_quota_t *quota)
{
    return quota->nodes > 1 && now_of(quota) - quota->last_received_at >= CW_MS(ISOLATED_AFTER_MS);
}

/* ---- the first leader, which counts all tenants for a while ---- */

/* A leader that has lost the store must not count until the next update notices it. */
static bool is_interim_counter(const cw_router_quota_t *quota)
{
    return quota->interim_address == cw_peer_link_own_address(quota->router->link) && !is_isolated(quota) &&
           cw_router_has_authority(quota->router, now_of(quota));
}

/* Whether the first leader counts all tenants, in the view of this node. */
static bool has_interim_counter(const cw_router_quota_t *quota)
{
    if (quota->interim_address == 0) {
        return false;
    }
    return quota->interim_address == cw_peer_link_own_address(quota->router->link)
               ? is_interim_counter(quota)
               : !cw_quota_share_has_declined(quota->share, quota->interim_address, now_of(quota));
}

static void update_interim_counter(cw_router_quota_t *quota, cw_time_us_t now)
{
    cw_router_t *router = quota->router;
    uint32_t     own = cw_peer_link_own_address(router->link);
    uint32_t     address;

    if (router->leadership.leading) {
        uint32_t nodes = cw_fleet_size_to_announce(&router->fleet_size, router->peak_nodes.count, now);

        (void)cw_interim_counter_record(&quota->interim, own, router->leadership.lock.term,
                                        cw_router_has_authority(router, now), nodes);
    }
    address = cw_interim_counter_address(&quota->interim, router->fleet_size.announced, quota->in_reach);
    quota->interim_address = address == own || is_alive_at(router, address, now) ? address : 0;
}

void cw_router_quota_record_leader(cw_router_t *router, const cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat)
{
    cw_router_quota_t *quota = router->quota;

    if (cw_interim_counter_record(&quota->interim, leader->address, heartbeat->term, heartbeat->able,
                                  heartbeat->nodes)) {
        cw_router_quota_update_nodes(quota, now_of(quota));
    }
}

/* Without a configuration this node declines, too: no tenant would seem to have a limit. */
bool cw_router_quota_declines(const cw_router_quota_t *quota)
{
    bool is_too_new = cw_router_quota_is_new(quota) && !is_interim_counter(quota);

    return is_too_new || quota->router->stopping_at != 0 || quota->router->configuration == NULL;
}

/* ---- the node that counts a tenant ---- */

static bool is_unresponsive(const cw_router_quota_t *quota, uint32_t address)
{
    return cw_quota_share_is_skipped(quota->share, address, now_of(quota));
}

static uint32_t choose(cw_router_quota_t *quota, uint32_t tenant, bool excludes_unresponsive)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < quota->candidate_count; index++) {
        uint32_t address = quota->candidates[index].address;
        bool     is_excluded = excludes_unresponsive ? is_unresponsive(quota, address)
                                                     : cw_quota_share_has_declined(quota->share, address, now_of(quota));

        if (!is_excluded) {
            quota->eligible[count++] = quota->candidates[index];
        }
    }
    return cw_broker_choose(quota->eligible, count, CW_BROKER_ANY_ZONE, tenant);
}

/* Chooses another node in place of one that does not reply. This node never takes its place, since the unresponsive
 * node may still be counting for all others. */
static uint32_t choose_counter(cw_router_quota_t *quota, uint32_t tenant)
{
    uint32_t first;
    uint32_t next;

    if (has_interim_counter(quota)) {
        return is_unresponsive(quota, quota->interim_address) ? 0 : quota->interim_address;
    }
    first = choose(quota, tenant, false);
    if (!is_unresponsive(quota, first)) {
        return first;
    }
    next = choose(quota, tenant, true);
    return next == cw_peer_link_own_address(quota->router->link) ? 0 : next;
}

uint32_t cw_router_quota_counting_node(cw_router_quota_t *quota, uint32_t tenant)
{
    bool nobody_counts = !has_interim_counter(quota) &&
                         cw_quota_share_declined_count(quota->share, now_of(quota)) >= DECLINING_NODES_LIMIT;

    return nobody_counts || is_isolated(quota) ? 0 : choose_counter(quota, tenant);
}

static cw_quota_choice_t *get_choice(cw_router_quota_t *quota, uint32_t tenant)
{
    cw_quota_choice_t *choice;

    HASH_FIND(hh, quota->choices, &tenant, sizeof(tenant), choice);
    if (choice == NULL) {
        choice = cw_memory_zeroed(sizeof(*choice));
        choice->tenant = tenant;
        HASH_ADD(hh, quota->choices, tenant, sizeof(choice->tenant), choice);
    }
    return choice;
}

uint32_t cw_router_quota_cached_counter(cw_router_quota_t *quota, uint32_t tenant)
{
    cw_quota_choice_t *choice;

    if (quota->gathered_at == 0) {
        cw_router_quota_update_nodes(quota, now_of(quota));
    }
    if (has_interim_counter(quota)) { /* not cached: a leader's authority may end at any time */
        return is_isolated(quota) ? 0 : choose_counter(quota, tenant);
    }
    choice = get_choice(quota, tenant);
    if (choice->chosen_at == 0 || choice->chosen_at <= quota->changed_at) {
        choice->counter = is_isolated(quota) ? 0 : choose_counter(quota, tenant);
        choice->chosen_at = now_of(quota);
    }
    return choice->counter;
}

static void expire_choices(cw_router_quota_t *quota, cw_time_us_t before)
{
    cw_quota_choice_t *choice;
    cw_quota_choice_t *next;

    HASH_ITER(hh, quota->choices, choice, next)
    {
        if (choice->chosen_at < before) {
            HASH_DEL(quota->choices, choice); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow its macros */
            free(choice);
        }
    }
}

/* ---- the nodes that may count ---- */

static void add_candidate(cw_router_quota_t *quota, const cw_broker_candidate_t *candidate)
{
    size_t bytes;

    if (quota->candidate_count == quota->candidate_capacity) {
        quota->candidate_capacity = quota->candidate_capacity == 0 ? INITIAL_CANDIDATES : 2 * quota->candidate_capacity;
        bytes = quota->candidate_capacity * sizeof(cw_broker_candidate_t);
        quota->candidates = cw_memory_resize(quota->candidates, bytes);
        quota->eligible = cw_memory_resize(quota->eligible, bytes);
    }
    quota->candidates[quota->candidate_count++] = *candidate;
}

/* The number of candidates is not bounded: nodes with different sets would disagree on which one counts. */
static void update_candidates(cw_router_quota_t *quota, cw_time_us_t now)
{
    cw_router_t          *router = quota->router;
    const cw_peer_t      *peer;
    cw_broker_candidate_t candidate = {.address = cw_peer_link_own_address(router->link),
                                       .capability = cw_router_capability(router),
                                       .zone = router->settings.zone};

    quota->candidate_count = 0;
    if (!cw_router_quota_declines(quota)) {
        add_candidate(quota, &candidate);
    }
    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (peer->last_received_at > quota->last_received_at) {
            quota->last_received_at = peer->last_received_at;
        }
        if (cw_router_is_alive(router, peer, now) && !peer->stopping && peer->zone[0] != '\0') {
            candidate =
                (cw_broker_candidate_t){.address = peer->address, .capability = peer->capability, .zone = peer->zone};
            add_candidate(quota, &candidate);
        }
    }
}

/* Hash of all that a choice depends on: while it is the same, cached choices are valid. */
static uint64_t fingerprint_of_candidates(const cw_router_quota_t *quota)
{
    uint64_t state = is_isolated(quota) ? 1 : 0;
    size_t   index;

    for (index = 0; index < quota->candidate_count; index++) {
        const cw_broker_candidate_t *candidate = &quota->candidates[index];
        uint32_t                     fields[] = {candidate->address, candidate->capability,
                             is_unresponsive(quota, candidate->address) ? 1 : 0,
                             cw_quota_share_has_declined(quota->share, candidate->address, now_of(quota)) ? 1 : 0};

        state = XXH3_64bits_withSeed(fields, sizeof(fields), state);
    }
    return state;
}

static void record_changes(cw_router_quota_t *quota, cw_time_us_t now)
{
    uint64_t state = fingerprint_of_candidates(quota);

    if (state != quota->candidates_fingerprint) {
        quota->candidates_fingerprint = state;
        quota->changed_at = now;
    }
}

/* ---- the number of nodes that share the limits ---- */

/* The largest number of nodes that this node, or any node that reports to it, has recently received from. */
static uint32_t count_known_nodes(const cw_router_quota_t *quota)
{
    const cw_router_t *router = quota->router;
    const cw_peer_t   *peer;
    uint32_t           counted = router->peak_nodes.count > 0 ? router->peak_nodes.count : 1;
    uint32_t           nodes = cw_fleet_size_nodes(&router->fleet_size, counted, now_of(quota));

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        if (!peer->is_lost && peer->last_received_at != 0 && peer->peers + 1 > nodes) {
            nodes = peer->peers + 1;
        }
    }
    return nodes;
}

static uint32_t count_sharing_nodes(const cw_router_quota_t *quota)
{
    bool is_unknown = cw_router_quota_is_new(quota) && quota->router->fleet_size.announced == 0;

    return is_unknown ? CW_FLEET_NODES_MAX : count_known_nodes(quota);
}

/* Sets the part of the limits that this node gives out if it counts. The first leader gives out all of them although it
 * knows few nodes at first: those that it does not know have next to nothing until they ask it. */
static void set_counter_nodes(cw_router_quota_t *quota)
{
    uint32_t nodes = is_interim_counter(quota) ? count_known_nodes(quota) : quota->nodes;

    cw_quota_counter_set_nodes(quota->counter, nodes, quota->in_reach);
}

static uint32_t count_reachable(const cw_router_t *router, cw_time_us_t now)
{
    const cw_peer_t *peer;
    uint32_t         count = 1; /* this node */

    for (peer = cw_peer_link_peers(router->link); peer != NULL; peer = peer->next) {
        count += cw_router_is_reachable(router, peer, now) ? 1 : 0;
    }
    return count;
}

/* Limits follow a changed number at once: until a leader announces one, a process that has just started divides them by
 * an assumed number, and requests may be waiting already. */
void cw_router_record_nodes(cw_router_t *router, uint32_t nodes)
{
    uint32_t before = router->fleet_size.announced;

    cw_fleet_size_record(&router->fleet_size, nodes);
    if (router->fleet_size.announced != before) {
        cw_router_quota_update_nodes(router->quota, cw_router_now(router));
    }
}

double cw_router_quota_share(const cw_router_t *router)
{
    const cw_router_quota_t *quota = router->quota;
    uint32_t                 nodes = quota->nodes == 0 ? CW_FLEET_NODES_MAX : quota->nodes;
    uint32_t                 in_reach = quota->in_reach == 0 ? 1 : quota->in_reach;

    return in_reach * 100 >= nodes * CW_FLEET_REACHED_PERCENT ? 1 : (double)in_reach / nodes;
}

void cw_router_quota_update_nodes(cw_router_quota_t *quota, cw_time_us_t now)
{
    quota->gathered_at = now;
    quota->in_reach = count_reachable(quota->router, now);
    quota->nodes = count_sharing_nodes(quota);
    update_interim_counter(quota, now);
    update_candidates(quota, now);
    record_changes(quota, now);
    expire_choices(quota, now - CW_SECONDS(CHOICE_EXPIRY_S));
    set_counter_nodes(quota);
    cw_quota_share_set_nodes(quota->share, quota->nodes);
}
