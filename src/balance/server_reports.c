/**
 * @file server_reports.c
 * @brief Reports of other nodes about servers: their requests in flight, and how fast the servers answered.
 */
#include <stdlib.h>
#include <string.h>

#include "balance/server_pool_internal.h"
#include "base/memory.h"

enum {
    ANSWERS_PER_REPORT_MAX = 4, /* most answers of one report that count for the pace */
    ANSWER_FRESH_MS = 1000      /* an answer to this node outweighs another node's report for so long */
};

void cw_server_pool_free_peer(cw_server_pool_t *pool, peer_report_t *peer)
{
    HASH_DEL(pool->peers, peer); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
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
                server->others += peer->reports[index].in_flight;
                server->others_waiting += peer->reports[index].waiting;
            }
        }
    }
}

void cw_server_pool_drop_paces(cw_server_pool_t *pool)
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

static uint32_t subtract(uint32_t sum, uint32_t part)
{
    return part < sum ? sum - part : 0;
}

static void subtract_report(cw_server_pool_t *pool, const peer_report_t *peer)
{
    size_t index;

    for (index = 0; index < peer->count; index++) {
        cw_server_t *server = cw_server_pool_by_hash(pool, peer->reports[index].hash);

        if (server != NULL) {
            server->others = subtract(server->others, peer->reports[index].in_flight);
            server->others_waiting = subtract(server->others_waiting, peer->reports[index].waiting);
        }
    }
}

static peer_report_t *get_or_add_peer(cw_server_pool_t *pool, uint64_t node)
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

static cw_server_pace_t *get_or_add_pace(peer_report_t *peer, uint32_t hash)
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
    peer_report_t *peer = get_or_add_peer(pool, node);
    size_t         index;

    for (index = 0; index < count; index++) {
        cw_server_pace_t *last = get_or_add_pace(peer, paces[index].hash);
        cw_server_t      *server = cw_server_pool_by_hash(pool, paces[index].hash);

        if (server != NULL && paces[index].served > last->served && paces[index].time >= last->time) {
            uint32_t answers = paces[index].served - last->served;

            if (peer->paces_at > server->answered_others_at) {
                server->answered_others_at =
                    peer->paces_at; /* the new answers were received after its previous report */
            }
            cw_server_update_pace(server, (double)(paces[index].time - last->time) / answers / 1000,
                                  CW_PACE_WEIGHT *
                                      (answers > ANSWERS_PER_REPORT_MAX ? ANSWERS_PER_REPORT_MAX : answers));
        }
        *last = paces[index];
    }
    peer->paces_at = now;
}

/* A node that does not reach a server may be cut off from it. What this node has received from the server decides. */
static bool has_answered_lately(const cw_server_t *server, cw_time_us_t now)
{
    return server->faults == 0 && server->pace_at != 0 && now - server->pace_at <= CW_MS(ANSWER_FRESH_MS);
}

void cw_server_pool_apply_report(cw_server_pool_t *pool, uint64_t node, const cw_server_report_t *reports, size_t count,
                                 cw_time_us_t now)
{
    peer_report_t *peer = get_or_add_peer(pool, node);
    size_t         index;

    subtract_report(pool, peer);
    for (index = 0; index < count; index++) {
        cw_server_t *server = cw_server_pool_by_hash(pool, reports[index].hash);

        if (server == NULL) {
            continue;
        }
        server->others += reports[index].in_flight;
        server->others_waiting += reports[index].waiting;
        if (reports[index].unreachable && !has_answered_lately(server, now) &&
            server->avoid_until < now + CW_MS(CW_AVOID_INITIAL_MS)) {
            server->avoid_until = now + CW_MS(CW_AVOID_INITIAL_MS);
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

void cw_server_pool_expire(cw_server_pool_t *pool, cw_time_us_t lifetime, cw_time_us_t now)
{
    peer_report_t *peer;
    peer_report_t *next;

    HASH_ITER(hh, pool->peers, peer, next)
    {
        if (now - peer->at > lifetime) {
            subtract_report(pool, peer);
            cw_server_pool_free_peer(pool, peer);
        }
    }
}
