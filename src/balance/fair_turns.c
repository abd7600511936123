/**
 * @file fair_turns.c
 * @brief Stores the turns by group and tenant.
 */
#include "balance/fair_turns.h"

#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

typedef struct turn_tenant {
    uint32_t       tenant;    /* hash of its name; 0: all requests without a tenant */
    uint32_t       waiting;   /* number of requests */
    uint64_t       last_turn; /* turn of its latest request */
    UT_hash_handle hh;
} turn_tenant_t;

typedef struct turn_group {
    cw_turn_group_t key;
    uint32_t        waiting;      /* number of requests */
    uint64_t        current_turn; /* greatest turn served so far */
    turn_tenant_t  *tenants;      /* with waiting requests */
    UT_hash_handle  hh;
} turn_group_t;

struct cw_fair_turns {
    turn_group_t *groups; /* with waiting requests */
};

cw_fair_turns_t *cw_fair_turns_create(void)
{
    cw_fair_turns_t *turns = cw_memory_zeroed(sizeof(*turns));

    return turns;
}

static void drop_tenant(turn_group_t *group, turn_tenant_t *tenant)
{
    HASH_DEL(group->tenants, tenant); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
    free(tenant);
}

static void drop_group(cw_fair_turns_t *turns, turn_group_t *group)
{
    turn_tenant_t *tenant;
    turn_tenant_t *next;

    HASH_ITER(hh, group->tenants, tenant, next)
    {
        drop_tenant(group, tenant);
    }
    HASH_DEL(turns->groups, group); /* NOLINT(clang-analyzer-unix.Malloc) */
    free(group);
}

void cw_fair_turns_free(cw_fair_turns_t *turns)
{
    turn_group_t *group;
    turn_group_t *next;

    HASH_ITER(hh, turns->groups, group, next)
    {
        drop_group(turns, group);
    }
    free(turns);
}

cw_turn_group_t cw_fair_turns_group(uint32_t service, uint32_t rank)
{
    return (cw_turn_group_t)service << 32 | rank;
}

static turn_group_t *find_group(const cw_fair_turns_t *turns, cw_turn_group_t key)
{
    turn_group_t *group;

    HASH_FIND(hh, turns->groups, &key, sizeof(key), group);
    return group;
}

static turn_tenant_t *find_tenant(const turn_group_t *group, uint32_t hash)
{
    turn_tenant_t *tenant;

    HASH_FIND(hh, group->tenants, &hash, sizeof(hash), tenant);
    return tenant;
}

static bool has_tenants(const turn_group_t *group)
{
    return HASH_COUNT(group->tenants) > (find_tenant(group, 0) == NULL ? 0u : 1u);
}

/* Turn of a request without a tenant while no tenant's requests wait: that of the latest request without a tenant, so
 * that none overtakes an earlier one. */
static uint64_t turn_without_tenants(const turn_group_t *group)
{
    const turn_tenant_t *others = find_tenant(group, 0);

    return others == NULL || others->last_turn < group->current_turn ? group->current_turn : others->last_turn;
}

uint64_t cw_fair_turns_next(const cw_fair_turns_t *turns, cw_turn_group_t key, uint32_t hash)
{
    const turn_group_t  *group = find_group(turns, key);
    const turn_tenant_t *tenant;

    if (group == NULL) {
        return 0;
    }
    if (hash == 0 && !has_tenants(group)) {
        return turn_without_tenants(group);
    }
    tenant = find_tenant(group, hash);
    return tenant == NULL || tenant->last_turn + 1 < group->current_turn ? group->current_turn : tenant->last_turn + 1;
}

static turn_group_t *get_or_add_group(cw_fair_turns_t *turns, cw_turn_group_t key)
{
    turn_group_t *group = find_group(turns, key);

    if (group == NULL) {
        group = cw_memory_zeroed(sizeof(*group));
        group->key = key;
        HASH_ADD(hh, turns->groups, key, sizeof(group->key), group);
    }
    return group;
}

static turn_tenant_t *get_or_add_tenant(turn_group_t *group, uint32_t hash)
{
    turn_tenant_t *tenant = find_tenant(group, hash);

    if (tenant == NULL) {
        tenant = cw_memory_zeroed(sizeof(*tenant));
        tenant->tenant = hash;
        HASH_ADD(hh, group->tenants, tenant, sizeof(tenant->tenant), tenant);
    }
    return tenant;
}

void cw_fair_turns_wait(cw_fair_turns_t *turns, cw_turn_group_t key, uint32_t hash, uint64_t turn)
{
    turn_group_t  *group = get_or_add_group(turns, key);
    turn_tenant_t *tenant = get_or_add_tenant(group, hash);

    group->waiting++;
    tenant->waiting++;
    tenant->last_turn = turn;
}

static void end_wait(cw_fair_turns_t *turns, turn_group_t *group, turn_tenant_t *tenant)
{
    if (tenant != NULL && --tenant->waiting == 0) {
        drop_tenant(group, tenant);
    }
    if (--group->waiting == 0) {
        drop_group(turns, group);
    }
}

void cw_fair_turns_serve(cw_fair_turns_t *turns, cw_turn_group_t key, uint32_t hash, uint64_t turn)
{
    turn_group_t *group = find_group(turns, key);

    if (group != NULL) {
        group->current_turn = turn > group->current_turn ? turn : group->current_turn;
        end_wait(turns, group, find_tenant(group, hash));
    }
}

void cw_fair_turns_leave(cw_fair_turns_t *turns, cw_turn_group_t key, uint32_t hash)
{
    turn_group_t  *group = find_group(turns, key);
    turn_tenant_t *tenant = group == NULL ? NULL : find_tenant(group, hash);

    if (group == NULL) {
        return;
    }
    /* Requests without a tenant may share the last turn while no tenants wait; then the others still hold it. */
    if (tenant != NULL && tenant->last_turn > group->current_turn && (hash != 0 || has_tenants(group))) {
        tenant->last_turn--;
    }
    end_wait(turns, group, tenant);
}

size_t cw_fair_turns_tenant_count(const cw_fair_turns_t *turns)
{
    const turn_group_t *group;
    size_t              count = 0;

    for (group = turns->groups; group != NULL; group = group->hh.next) {
        count += HASH_COUNT(group->tenants);
    }
    return count;
}
