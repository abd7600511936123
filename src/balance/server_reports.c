/**
 * @file server_reports.c
 * @brief What other nodes report of the servers: their requests there, and how fast these answered.
 */
#include <stdlib.h>
#include <string.h>

#include "balance/server_pool_internal.h"
#include "base/memory.h"

enum { LEARN_AT_ONCE = 4 /* answers of one report that count for the latency factor */ };

void cw_server_pool_free_peer(cw_server_pool_t *pool, peer_report_t *peer)
{
    HASH_DEL(pool->peers, peer); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(peer->reports);
    free(peer->paces);
    free(peer);
}

void cw_server_pool_count_others(cw_server_pool_t *pool, cw_server_t *server)
{
    peer_report_t *peer;
    peer_report_t *next;
    size_t         index;

    HASH_ITER(hh, pool->peers, peer, next)
    {
        for (index = 0; index < peer->count; index++) {
            if (peer->reports[index].hash == server->hash) {
                server->others += peer->reports[index].under_way;
                server->others_waiting += peer->reports[index].waiting;
            }
        }
    }
}

void cw_server_pool_forget_paces(cw_server_pool_t *pool)
{
    peer_report_t *peer;
    peer_report_t *next;
    size_t         index;

    HASH_ITER(hh, pool->peers, peer, next)
    {
        size_t kept = 0;

        for (index = 0; index < peer->pace_count; index++) {
            if (cw_server_pool_by_hash(pool, peer->paces[index].hash) != NULL) {
                peer->paces[kept++] = peer->paces[index];
            }
        }
        peer->pace_count = kept;
    }
}

size_t cw_server_pool_pace_count(const cw_server_pool_t *pool)
{
    const peer_report_t *peer;
    size_t               count = 0;

    for (peer = pool->peers; peer != NULL; peer = peer->hh.next) {
        count += peer->pace_count;
    }
    return count;
}

static uint32_t less(uint32_t sum, uint32_t part)
{
    return part < sum ? sum - part : 0;
}

static void take_back(cw_server_pool_t *pool, const peer_report_t *peer)
{
    size_t index;

    for (index = 0; index < peer->count; index++) {
        cw_server_t *server = cw_server_pool_by_hash(pool, peer->reports[index].hash);

        if (server != NULL) {
            server->others = less(server->others, peer->reports[index].under_way);
            server->others_waiting = less(server->others_waiting, peer->reports[index].waiting);
        }
    }
}

static peer_report_t *peer_of(cw_server_pool_t *pool, uint64_t node)
{
    peer_report_t *peer;

    HASH_FIND(hh, pool->peers, &node, sizeof(node), peer);
    if (peer == NULL) {
        peer = cw_memory_zeroed(sizeof(*peer));
        peer->node = node;
        HASH_ADD(hh, pool->peers, node, sizeof(peer->node), peer);
    }
    return peer;
}

static cw_server_pace_t *last_pace(peer_report_t *peer, uint32_t hash)
{
    size_t index;

    for (index = 0; index < peer->pace_count; index++) {
        if (peer->paces[index].hash == hash) {
            return &peer->paces[index];
        }
    }
    peer->paces = cw_memory_resize(peer->paces, (peer->pace_count + 1) * sizeof(*peer->paces));
    peer->paces[peer->pace_count] = (cw_server_pace_t){.hash = hash};
    return &peer->paces[peer->pace_count++];
}

void cw_server_pool_apply_paces(cw_server_pool_t *pool, uint64_t node, const cw_server_pace_t *paces, size_t count,
                                cw_time_us_t now)
{
    peer_report_t *peer = peer_of(pool, node);
    size_t         index;

    for (index = 0; index < count; index++) {
        cw_server_pace_t *last = last_pace(peer, paces[index].hash);
        cw_server_t      *server = cw_server_pool_by_hash(pool, paces[index].hash);

        if (server != NULL && paces[index].served > last->served && paces[index].time >= last->time) {
            uint32_t answers = paces[index].served - last->served;

            if (peer->paces_at > server->answered_others_at) {
                server->answered_others_at = peer->paces_at; /* the answers came since its last report */
            }
            cw_server_learn_pace(server, (double)(paces[index].time - last->time) / answers / 1000,
                                 CW_PACE_WEIGHT * (answers > LEARN_AT_ONCE ? LEARN_AT_ONCE : answers));
        }
        *last = paces[index];
    }
    peer->paces_at = now;
}

void cw_server_pool_apply_report(cw_server_pool_t *pool, uint64_t node, const cw_server_report_t *reports, size_t count,
                                 cw_time_us_t now)
{
    peer_report_t *peer = peer_of(pool, node);
    size_t         index;

    take_back(pool, peer);
    for (index = 0; index < count; index++) {
        cw_server_t *server = cw_server_pool_by_hash(pool, reports[index].hash);

        if (server == NULL) {
            continue;
        }
        server->others += reports[index].under_way;
        server->others_waiting += reports[index].waiting;
        if (reports[index].unreachable && server->avoid_until < now + CW_MS(CW_AVOID_FIRST_MS)) {
            server->avoid_until = now + CW_MS(CW_AVOID_FIRST_MS);
        }
    }
    peer->at = now;
    if (count != peer->count) {
        peer->reports = cw_memory_resize(peer->reports, (count + 1) * sizeof(*peer->reports));
    }
    peer->count = count;
    if (count > 0) {
        memcpy(peer->reports, reports, count * sizeof(*reports));
    }
}

void cw_server_pool_expire(cw_server_pool_t *pool, cw_time_us_t life, cw_time_us_t now)
{
    peer_report_t *peer;
    peer_report_t *next;

    HASH_ITER(hh, pool->peers, peer, next)
    {
        if (now - peer->at > life) {
            take_back(pool, peer);
            cw_server_pool_free_peer(pool, peer);
        }
    }
}
