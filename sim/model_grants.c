/**
 * @file model_grants.c
 * @brief Grants of the model server: acceptance by fence, lease, revocation.
 */
#include <stdlib.h>
#include <string.h>

#include "model_server_internal.h"

static bool overlap(const model_grant_t *left, const model_grant_t *right)
{
    return left->service == right->service && left->low <= right->last && right->low <= left->last;
}

static bool covers(const model_grant_t *outer, const model_grant_t *inner)
{
    return outer->service == inner->service && outer->low <= inner->low && inner->last <= outer->last;
}

cw_fence_t model_highest_seen(const model_server_t *server, const model_grant_t *area)
{
    cw_fence_t highest = {0, 0};
    size_t     index;

    for (index = 0; index < server->seen_count; index++) {
        if (overlap(&server->seen[index], area)) {
            highest = cw_fence_max(highest, server->seen[index].fence);
        }
    }
    return highest;
}

static void remember_seen(model_server_t *server, const model_grant_t *grant)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < server->seen_count; index++) {
        const model_grant_t *seen = &server->seen[index];

        if (!covers(grant, seen) || cw_fence_compare(seen->fence, grant->fence) > 0) {
            server->seen[kept++] = *seen;
        }
    }
    if (kept == SEEN_MAX) {
        abort();
    }
    server->seen[kept++] = *grant;
    server->seen_count = kept;
}

static void add_grant(model_server_t *server, const model_grant_t *grant)
{
    if (server->grant_count == GRANTS_MAX) {
        abort();
    }
    server->grants[server->grant_count++] = *grant;
}

/* Takes an area out of what is held, leaving the parts beside it. */
static void cut_out(model_server_t *server, const model_grant_t *area)
{
    model_grant_t held[GRANTS_MAX];
    size_t        count = server->grant_count;
    size_t        index;

    memcpy(held, server->grants, count * sizeof(held[0]));
    server->grant_count = 0;
    for (index = 0; index < count; index++) {
        model_grant_t part = held[index];

        if (!overlap(&part, area)) {
            add_grant(server, &part);
            continue;
        }
        if (part.low < area->low) {
            part.last = area->low - 1;
            add_grant(server, &part);
        }
        part = held[index];
        if (part.last > area->last) {
            part.low = area->last + 1;
            add_grant(server, &part);
        }
    }
}

static bool is_held(const model_server_t *server, const model_grant_t *grant)
{
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        const model_grant_t *held = &server->grants[index];

        if (!held->revoking && held->range == grant->range && held->low == grant->low && held->last == grant->last &&
            held->service == grant->service && cw_fence_compare(held->fence, grant->fence) == 0) {
            return true;
        }
    }
    return false;
}

bool model_take_grant(model_server_t *server, const model_grant_t *grant)
{
    if (is_held(server, grant)) {
        return true;
    }
    if (grant->low > grant->last || cw_fence_compare(grant->fence, model_highest_seen(server, grant)) <= 0) {
        return false;
    }
    cut_out(server, grant);
    add_grant(server, grant);
    remember_seen(server, grant);
    server->granted_count++;
    return true;
}

bool model_server_expire(model_server_t *server, int64_t clock_us)
{
    bool held = server->grant_count > 0;

    if (server->lease_end_us == 0 || clock_us < server->lease_end_us) {
        return false;
    }
    server->lease_end_us = 0;
    server->grant_count = 0;
    server->warm_count = 0;
    return held;
}

void model_begin_revocation(model_server_t *server, const model_grant_t *revoked)
{
    size_t index;

    remember_seen(server, revoked);
    for (index = 0; index < server->grant_count; index++) {
        model_grant_t *held = &server->grants[index];

        if (overlap(held, revoked) && cw_fence_compare(held->fence, revoked->fence) <= 0) {
            held->revoking = true;
        }
    }
}

void model_drop_revoked(model_server_t *server, const model_grant_t *revoked)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        const model_grant_t *held = &server->grants[index];

        if (!(held->revoking && overlap(held, revoked) && cw_fence_compare(held->fence, revoked->fence) <= 0)) {
            server->grants[kept++] = *held;
        }
    }
    server->grant_count = kept;
}

bool model_holds_range(const model_server_t *server, cw_range_id_t range)
{
    size_t index;

    for (index = 0; index < server->grant_count; index++) {
        if (server->grants[index].range == range) {
            return true;
        }
    }
    return false;
}

const model_grant_t *model_server_grants(const model_server_t *server, size_t *count)
{
    *count = server->grant_count;
    return server->grants;
}

int64_t model_server_lease_end(const model_server_t *server)
{
    return server->lease_end_us;
}

uint64_t model_server_granted_count(const model_server_t *server)
{
    return server->granted_count;
}
