/**
 * @file invariants.c
 * @brief Invariants of ownership, fences, the replicated log and configurations, checked as the run goes.
 *
 * - No key range is held by two servers at a moment of true time. A server holds a range while it has the grant and its
 *   own clock has not reached the lease's end. Holding begins only with an accepted grant, so that is when to look.
 * - No execution under a lower fence after one under a higher fence, for each key.
 * - Control replicas of a generation that are at the same version hold the same state; the newest leader that is ready
 *   holds every version that was applied anywhere; a server holds only fences that were applied at some replica.
 * - The configuration version in force at a node never goes down within its life. An acknowledged version is in the
 *   newest ready leader's state, and in force at every node once faults are healed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "cedarwinch/raft.h"
#include "world.h"

enum { GENERATIONS_MAX = 8 };

typedef struct state_digest {
    struct {
        uint64_t generation;
        uint64_t version;
    } key;
    uint64_t       digest;
    UT_hash_handle hh;
} state_digest_t;

typedef struct generation_view {
    uint64_t applied; /**< highest version applied at any replica */
    uint64_t term;    /**< highest term seen */
} generation_view_t;

struct sim_checks {
    cw_fence_t        executed[SIM_SERVICES][SIM_KEYS_PER_SERVICE];
    uint64_t          acknowledged[SIM_TENANTS];
    state_digest_t   *states;
    generation_view_t generations[GENERATIONS_MAX];
    uint64_t          granted_before[SIM_SERVERS_MAX];
    uint64_t          granted_life[SIM_SERVERS_MAX];
};

void sim_checks_start(sim_world_t *world)
{
    world->checks = calloc(1, sizeof(*world->checks));
    if (world->checks == NULL) {
        abort();
    }
}

void sim_checks_free(sim_world_t *world)
{
    state_digest_t *state = world->checks->states;
    state_digest_t *next;

    HASH_CLEAR(hh, world->checks->states);
    for (; state != NULL; state = next) {
        next = state->hh.next;
        free(state);
    }
    free(world->checks);
}

/* ---- ownership ---- */

static bool lease_is_alive(const sim_server_t *server)
{
    return server->process.running &&
           sim_process_clock(server->world, &server->process) < model_server_lease_end(server->model);
}

static bool grants_overlap(const model_grant_t *left, const model_grant_t *right)
{
    return left->service == right->service && left->low <= right->last && right->low <= left->last;
}

static void check_pair(const sim_server_t *server, const sim_server_t *other)
{
    const model_grant_t *own;
    const model_grant_t *foreign;
    size_t               own_count;
    size_t               foreign_count;
    size_t               left;
    size_t               right;

    own = model_server_grants(server->model, &own_count);
    foreign = model_server_grants(other->model, &foreign_count);
    for (left = 0; left < own_count; left++) {
        for (right = 0; right < foreign_count; right++) {
            if (grants_overlap(&own[left], &foreign[right])) {
                sim_violation(server->world, "range %lu held by %s (fence %lu.%lu) and %s (fence %lu.%lu)",
                              (unsigned long)own[left].range, server->name, (unsigned long)own[left].fence.generation,
                              (unsigned long)own[left].fence.index, other->name,
                              (unsigned long)foreign[right].fence.generation,
                              (unsigned long)foreign[right].fence.index);
            }
        }
    }
}

static void check_fences_applied(const sim_server_t *server)
{
    const sim_checks_t  *checks = server->world->checks;
    const model_grant_t *grants;
    size_t               count;
    size_t               index;

    grants = model_server_grants(server->model, &count);
    for (index = 0; index < count; index++) {
        cw_fence_t fence = grants[index].fence;

        if (fence.generation >= GENERATIONS_MAX || fence.index > checks->generations[fence.generation].applied) {
            sim_violation(server->world, "%s holds fence %lu.%lu that no replica applied", server->name,
                          (unsigned long)fence.generation, (unsigned long)fence.index);
        }
    }
}

void sim_checks_granted(sim_server_t *server)
{
    sim_world_t  *world = server->world;
    sim_checks_t *checks = world->checks;
    size_t        index = server->process.endpoint - SIM_NODES_MAX;
    uint64_t      granted = model_server_granted_count(server->model);
    size_t        other;

    if (checks->granted_life[index] == server->process.life && checks->granted_before[index] == granted) {
        return;
    }
    world->result->grants +=
        checks->granted_life[index] == server->process.life ? granted - checks->granted_before[index] : granted;
    checks->granted_life[index] = server->process.life;
    checks->granted_before[index] = granted;
    check_fences_applied(server);
    for (other = 0; other < world->server_count && lease_is_alive(server); other++) {
        if (other != index && lease_is_alive(&world->servers[other])) {
            check_pair(server, &world->servers[other]);
        }
    }
}

void sim_checks_effect(sim_server_t *server, const model_job_t *job)
{
    sim_world_t *world = server->world;
    const char  *dash = strrchr(job->key, '-');
    size_t       key = dash == NULL ? 0 : (size_t)strtoul(dash + 1, NULL, 10);
    cw_fence_t  *executed = &world->checks->executed[server->service][key % SIM_KEYS_PER_SERVICE];

    sim_trace(world, "effect at %s of attempt %ld, key %s, fence %lu.%lu", server->name, (long)job->attempt, job->key,
              (unsigned long)job->fence.generation, (unsigned long)job->fence.index);
    if (!lease_is_alive(server)) {
        sim_violation(world, "effect at %s without a lease", server->name);
    }
    if (cw_fence_compare(job->fence, *executed) < 0) {
        sim_violation(world, "key %s executed under fence %lu.%lu after %lu.%lu", job->key,
                      (unsigned long)job->fence.generation, (unsigned long)job->fence.index,
                      (unsigned long)executed->generation, (unsigned long)executed->index);
    }
    *executed = cw_fence_max(*executed, job->fence);
    sim_callers_effect(world, job);
}

/* ---- replicated state ---- */

static uint64_t digest_state(const cw_control_state_t *state)
{
    uint8_t *data = NULL;
    size_t   length = 0;
    uint64_t digest;

    if (cw_control_state_pack(state, &data, &length) != CW_OK) {
        abort();
    }
    digest = XXH3_64bits(data, length);
    free(data);
    return digest;
}

static void check_same_state(sim_host_t *host, uint64_t generation, const cw_control_state_t *state)
{
    sim_checks_t   *checks = host->world->checks;
    state_digest_t *known;
    state_digest_t  wanted;
    uint64_t        digest = digest_state(state);

    memset(&wanted, 0, sizeof(wanted));
    wanted.key.generation = generation;
    wanted.key.version = cw_control_state_version(state);
    HASH_FIND(hh, checks->states, &wanted.key, sizeof(wanted.key), known);
    if (known == NULL) {
        known = calloc(1, sizeof(*known));
        if (known == NULL) {
            abort();
        }
        known->key = wanted.key;
        known->digest = digest;
        HASH_ADD(hh, checks->states, key, sizeof(known->key), known);
        return;
    }
    if (known->digest != digest) {
        sim_violation(host->world, "node %u has another state at version %lu of generation %lu", host->info.id,
                      (unsigned long)wanted.key.version, (unsigned long)generation);
    }
}

static void check_leader(sim_host_t *host, const generation_view_t *view, const cw_control_state_t *state,
                         uint64_t term)
{
    sim_world_t *world = host->world;
    size_t       tenant;

    world->result->leaders++;
    sim_trace(world, "node %u ready to lead, term %lu, version %lu", host->info.id, (unsigned long)term,
              (unsigned long)cw_control_state_version(state));
    if (term < view->term) {
        return; /* deposed already, and does not know */
    }
    if (cw_control_state_version(state) < view->applied) {
        sim_violation(world, "leader %u has version %lu, but %lu was applied", host->info.id,
                      (unsigned long)cw_control_state_version(state), (unsigned long)view->applied);
    }
    for (tenant = 0; tenant < SIM_TENANTS; tenant++) {
        const Cw__TenantConfiguration *configuration = cw_control_state_tenant(state, sim_tenants[tenant]);

        if (world->checks->acknowledged[tenant] > (configuration == NULL ? 0 : configuration->version)) {
            sim_violation(world, "leader %u lost the acknowledged configuration of %s", host->info.id,
                          sim_tenants[tenant]);
        }
    }
}

static void check_control(sim_host_t *host, const cw_control_t *control)
{
    cw_raft_t                *raft = cw_control_raft((cw_control_t *)control);
    uint64_t                  generation = cw_raft_generation(raft);
    const cw_control_state_t *state = cw_control_state(control);
    bool                      ready = cw_raft_leader_ready(raft);
    generation_view_t        *view;

    if (generation >= GENERATIONS_MAX) {
        return;
    }
    view = &host->world->checks->generations[generation];
    view->term = cw_raft_term(raft) > view->term ? cw_raft_term(raft) : view->term;
    if (cw_control_state_version(state) != host->seen_state_version) {
        host->seen_state_version = cw_control_state_version(state);
        check_same_state(host, generation, state);
    }
    if (ready && !host->was_ready_leader) {
        check_leader(host, view, state, cw_raft_term(raft));
    }
    host->was_ready_leader = ready;
    if (cw_control_state_version(state) > view->applied) {
        view->applied = cw_control_state_version(state);
    }
}

/* ---- configurations ---- */

static void check_routes(sim_host_t *host)
{
    const cw_control_state_t *routes = cw_relay_routes(cw_node_relay(host->node));
    size_t                    tenant;

    for (tenant = 0; tenant < SIM_TENANTS; tenant++) {
        const Cw__TenantConfiguration *configuration = cw_control_state_tenant(routes, sim_tenants[tenant]);
        uint64_t                       version = configuration == NULL ? 0 : configuration->version;

        if (version < host->seen.tenant[tenant]) {
            sim_violation(host->world, "configuration of %s went back from %lu to %lu at node %u", sim_tenants[tenant],
                          (unsigned long)host->seen.tenant[tenant], (unsigned long)version, host->info.id);
        }
        host->seen.tenant[tenant] = version;
    }
}

void sim_checks_host(sim_host_t *host)
{
    const cw_control_t *control = cw_node_control(host->node);
    uint64_t            version = cw_relay_version(cw_node_relay(host->node));

    if (version != host->seen_route_version) {
        host->seen_route_version = version;
        check_routes(host);
    }
    if (control != NULL) {
        check_control(host, control);
    }
}

void sim_checks_acknowledged(sim_world_t *world, size_t tenant, uint64_t version)
{
    if (version > world->checks->acknowledged[tenant]) {
        world->checks->acknowledged[tenant] = version;
    }
}

static void trace_replica(const sim_host_t *host)
{
    const cw_raft_t      *raft = cw_control_raft((cw_control_t *)cw_node_control(host->node));
    const Cw__Membership *membership = cw_raft_membership(raft);
    char                  voters[128] = "";
    size_t                index;

    for (index = 0; index < membership->n_voters && index < 8; index++) {
        snprintf(voters + strlen(voters), sizeof(voters) - strlen(voters), " %u/%lu", membership->voters[index]->id,
                 (unsigned long)(membership->voters[index]->incarnation & UINT32_MAX));
    }
    sim_trace(host->world, "node %u life %lu: generation %lu, role %d, term %lu, last %lu, commit %lu, voters%s",
              host->info.id, (unsigned long)host->process.life, (unsigned long)cw_raft_generation(raft),
              (int)cw_raft_role(raft), (unsigned long)cw_raft_term(raft), (unsigned long)cw_raft_last_index(raft),
              (unsigned long)cw_raft_commit_index(raft), voters);
}

void sim_checks_end(sim_world_t *world)
{
    size_t index;
    size_t tenant;

    for (index = 0; index < world->host_count; index++) {
        const sim_host_t *host = &world->hosts[index];

        if (host->process.running && cw_node_control(host->node) != NULL) {
            trace_replica(host);
        }
        if (!host->process.running || !cw_node_ready(host->node, sim_host_now(host))) {
            continue;
        }
        for (tenant = 0; tenant < SIM_TENANTS; tenant++) {
            if (host->seen.tenant[tenant] < world->checks->acknowledged[tenant]) {
                sim_violation(world, "node %u has not the acknowledged configuration of %s in force", host->info.id,
                              sim_tenants[tenant]);
            }
        }
    }
}
