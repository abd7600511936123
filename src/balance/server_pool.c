/**
 * @file server_pool.c
 * @brief Servers, their load and the choice among them.
 */
#include "balance/server_pool.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { AVOID_FIRST_MS = 300, AVOID_MAX_MS = 2000, AVOID_DOUBLINGS_MAX = 3, PACE_FORGET_S = 6, LEARN_AT_ONCE = 4 };

static const double pace_weight = 0.15;
static const double busy_weight = 0.45; /* a server with all slots taken costs so much more */
static const double pace_low = 0.25;
static const double pace_high = 20.0;
static const double cold_pace = 1.5; /* taken on while a server has just started */

/** What one node reported last. */
typedef struct peer_report {
    uint64_t            node;
    cw_time_us_t        at;
    cw_server_report_t *reports;
    size_t              count;
    cw_server_pace_t   *paces; /* last told for each server */
    size_t              pace_count;
    cw_time_us_t        paces_at; /* when it last told any */
    UT_hash_handle      hh;
} peer_report_t;

struct cw_server_pool {
    char               *zone;
    uint64_t            node; /* hash of this node's name */
    cw_server_dropped_t dropped;
    void               *context;
    cw_server_t        *by_id;
    cw_server_t        *by_hash;
    peer_report_t      *peers;
};

cw_server_pool_t *cw_server_pool_create(const char *zone, cw_server_dropped_t dropped, void *context)
{
    cw_server_pool_t *pool = calloc(1, sizeof(*pool));

    if (pool == NULL) {
        abort();
    }
    pool->zone = strdup(zone);
    pool->dropped = dropped;
    pool->context = context;
    return pool;
}

void cw_server_pool_set_node(cw_server_pool_t *pool, const char *node)
{
    pool->node = XXH3_64bits(node, strlen(node));
}

static void drop(cw_server_pool_t *pool, cw_server_t *server)
{
    HASH_DELETE(by_id, pool->by_id, server);
    HASH_DELETE(by_hash, pool->by_hash, server);
    pool->dropped(pool->context, server);
    free(server->id);
    free(server->service);
    free(server->address);
    free(server->zone);
    free(server);
}

static void free_peer(cw_server_pool_t *pool, peer_report_t *peer)
{
    HASH_DEL(pool->peers, peer); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(peer->reports);
    free(peer->paces);
    free(peer);
}

void cw_server_pool_free(cw_server_pool_t *pool)
{
    while (pool->by_id != NULL) {
        drop(pool, pool->by_id);
    }
    while (pool->peers != NULL) {
        free_peer(pool, pool->peers);
    }
    free(pool->zone);
    free(pool);
}

/* ---- the list ---- */

cw_server_t *cw_server_pool_find(cw_server_pool_t *pool, const char *id)
{
    cw_server_t *server;

    HASH_FIND(by_id, pool->by_id, id, strlen(id), server);
    return server;
}

static cw_server_t *by_hash(cw_server_pool_t *pool, uint32_t hash)
{
    cw_server_t *server;

    HASH_FIND(by_hash, pool->by_hash, &hash, sizeof(hash), server);
    return server;
}

const cw_server_t *cw_server_pool_find_hash(cw_server_pool_t *pool, uint32_t hash)
{
    const cw_server_t *server = by_hash(pool, hash);

    return server != NULL && server->listed ? server : NULL;
}

cw_server_t *cw_server_pool_all(cw_server_pool_t *pool)
{
    return pool->by_id;
}

static cw_server_t *add(cw_server_pool_t *pool, const cw_server_entry_t *entry, cw_time_us_t now)
{
    cw_server_t *server = calloc(1, sizeof(*server));

    if (server == NULL) {
        abort();
    }
    server->id = strdup(entry->id);
    server->service = strdup(entry->service);
    server->address = strdup(entry->address);
    server->zone = strdup(entry->zone);
    server->hash = (uint32_t)XXH3_64bits(entry->id, strlen(entry->id));
    server->affinity = (double)(XXH3_64bits_withSeed(entry->id, strlen(entry->id), pool->node) >> 11) * 0x1.0p-53;
    server->pace = 1;
    server->slow_until = now + entry->cold_time;
    HASH_ADD_KEYPTR(by_id, pool->by_id, server->id, strlen(server->id), server);
    HASH_ADD(by_hash, pool->by_hash, hash, sizeof(server->hash), server);
    return server;
}

static void count_others(cw_server_pool_t *pool, cw_server_t *server)
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

/* Servers come and go for as long as the process runs: what was told of those that are gone goes too. */
static void forget_paces(cw_server_pool_t *pool)
{
    peer_report_t *peer;
    peer_report_t *next;
    size_t         index;

    HASH_ITER(hh, pool->peers, peer, next)
    {
        size_t kept = 0;

        for (index = 0; index < peer->pace_count; index++) {
            if (by_hash(pool, peer->paces[index].hash) != NULL) {
                peer->paces[kept++] = peer->paces[index];
            }
        }
        peer->pace_count = kept;
    }
}

size_t cw_server_pool_paces(const cw_server_pool_t *pool)
{
    const peer_report_t *peer;
    size_t               count = 0;

    for (peer = pool->peers; peer != NULL; peer = peer->hh.next) {
        count += peer->pace_count;
    }
    return count;
}

void cw_server_pool_update(cw_server_pool_t *pool, const cw_server_list_t *list, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    size_t       index;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        server->listed = false;
    }
    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[index];

        server = cw_server_pool_find(pool, entry->id);
        if (server == NULL) {
            server = add(pool, entry, now);
            count_others(pool, server);
        }
        server->listed = true;
        server->draining = entry->draining;
        server->capacity = entry->capacity;
    }
    HASH_ITER(by_id, pool->by_id, server, next)
    {
        if (!server->listed && server->own == 0) {
            drop(pool, server);
        }
    }
    forget_paces(pool);
}

/* ---- this node's requests ---- */

void cw_server_pool_begin(cw_server_t *server)
{
    server->own++;
}

void cw_server_pool_end(cw_server_pool_t *pool, cw_server_t *server)
{
    server->own--;
    if (!server->listed && server->own == 0) {
        drop(pool, server);
    }
}

static void learn_pace(cw_server_t *server, double ratio, double weight)
{
    ratio = ratio < pace_low ? pace_low : ratio > pace_high ? pace_high : ratio;
    server->pace += weight * (ratio - server->pace);
}

void cw_server_pool_served(cw_server_t *server, cw_time_us_t took, cw_time_us_t usual, cw_time_us_t now)
{
    double ratio = usual <= 0 ? 1 : (double)took / (double)usual;

    learn_pace(server, ratio, pace_weight);
    server->pace_at = now;
    server->served++;
    server->served_time += (uint64_t)(ratio * 1000);
    server->faults = 0;
    server->avoid_until = 0;
}

void cw_server_pool_slow(cw_server_t *server, cw_time_us_t waited, cw_time_us_t usual, cw_time_us_t now)
{
    double ratio = usual <= 0 ? 1 : (double)waited / (double)usual;

    if (ratio > server->pace) {
        learn_pace(server, ratio, pace_weight);
        server->pace_at = now;
    }
}

void cw_server_pool_fault(cw_server_t *server, cw_time_us_t now)
{
    uint32_t doublings = server->faults < AVOID_DOUBLINGS_MAX ? server->faults : AVOID_DOUBLINGS_MAX;
    int64_t  avoid_ms = (int64_t)AVOID_FIRST_MS << doublings;

    server->faults++;
    server->avoid_until = now + CW_MS(avoid_ms > AVOID_MAX_MS ? AVOID_MAX_MS : avoid_ms);
}

/* ---- other nodes' reports ---- */

static uint32_t less(uint32_t sum, uint32_t part)
{
    return part < sum ? sum - part : 0;
}

static void take_back(cw_server_pool_t *pool, const peer_report_t *peer)
{
    size_t index;

    for (index = 0; index < peer->count; index++) {
        cw_server_t *server = by_hash(pool, peer->reports[index].hash);

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
        peer = calloc(1, sizeof(*peer));
        if (peer == NULL) {
            abort();
        }
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
    peer->paces = realloc(peer->paces, (peer->pace_count + 1) * sizeof(*peer->paces));
    if (peer->paces == NULL) {
        abort();
    }
    peer->paces[peer->pace_count] = (cw_server_pace_t){.hash = hash};
    return &peer->paces[peer->pace_count++];
}

void cw_server_pool_learn(cw_server_pool_t *pool, uint64_t node, const cw_server_pace_t *paces, size_t count,
                          cw_time_us_t now)
{
    peer_report_t *peer = peer_of(pool, node);
    size_t         index;

    for (index = 0; index < count; index++) {
        cw_server_pace_t *last = last_pace(peer, paces[index].hash);
        cw_server_t      *server = by_hash(pool, paces[index].hash);

        if (server != NULL && paces[index].served > last->served && paces[index].time >= last->time) {
            uint32_t answers = paces[index].served - last->served;

            if (peer->paces_at > server->answered_others_at) {
                server->answered_others_at = peer->paces_at; /* the answers came since its last report */
            }
            learn_pace(server, (double)(paces[index].time - last->time) / answers / 1000,
                       pace_weight * (answers > LEARN_AT_ONCE ? LEARN_AT_ONCE : answers));
        }
        *last = paces[index];
    }
    peer->paces_at = now;
}

void cw_server_pool_report(cw_server_pool_t *pool, uint64_t node, const cw_server_report_t *reports, size_t count,
                           cw_time_us_t now)
{
    peer_report_t *peer = peer_of(pool, node);
    size_t         index;

    take_back(pool, peer);
    for (index = 0; index < count; index++) {
        cw_server_t *server = by_hash(pool, reports[index].hash);

        if (server == NULL) {
            continue;
        }
        server->others += reports[index].under_way;
        server->others_waiting += reports[index].waiting;
        if (reports[index].unreachable && server->avoid_until < now + CW_MS(AVOID_FIRST_MS)) {
            server->avoid_until = now + CW_MS(AVOID_FIRST_MS);
        }
    }
    peer->at = now;
    if (count != peer->count) {
        peer->reports = realloc(peer->reports, (count + 1) * sizeof(*peer->reports));
        if (peer->reports == NULL) {
            abort();
        }
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
            free_peer(pool, peer);
        }
    }
}

/* ---- the choice ---- */

bool cw_server_has_slot(const cw_server_t *server, double extra_slots)
{
    return server->own + server->others < server->capacity + extra_slots;
}

static double present_pace(const cw_server_t *server, cw_time_us_t now)
{
    double pace = server->pace;

    if (now - server->pace_at > CW_SECONDS(PACE_FORGET_S) && pace > 1) {
        pace = 1 + (pace - 1) / 2; /* worth another look */
    }
    return now < server->slow_until && pace < cold_pace ? cold_pace : pace;
}

static double cost(const cw_server_pool_t *pool, const cw_server_t *server, const cw_choice_settings_t *settings,
                   cw_time_us_t now)
{
    double busy = (double)(server->own + server->others) / (server->capacity == 0 ? 1 : server->capacity);
    double value = present_pace(server, now) * (1 + busy_weight * busy) + settings->affinity * server->affinity;

    if (strcmp(server->zone, pool->zone) != 0) {
        value += settings->zone_penalty;
    }
    if (server->avoid_until > now) {
        value += 1000;
    }
    return value;
}

cw_server_t *cw_server_pool_choose(cw_server_pool_t *pool, const char *service, const cw_choice_settings_t *settings,
                                   const cw_server_t *except, cw_time_us_t now, bool *full)
{
    cw_server_t *best = NULL;
    double       best_cost = 0;
    cw_server_t *server;
    cw_server_t *next;

    *full = false;
    HASH_ITER(by_id, pool->by_id, server, next)
    {
        double value;

        if (!server->listed || server->draining || server->ended || strcmp(server->service, service) != 0) {
            continue;
        }
        if (!cw_server_has_slot(server, settings->extra_slots)) {
            *full = true;
            continue;
        }
        value = cost(pool, server, settings, now) + (server == except ? 500 : 0);
        if (best == NULL || value < best_cost) {
            best = server;
            best_cost = value;
        }
    }
    return best;
}

double cw_server_pool_speed(cw_server_pool_t *pool, const char *service, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;
    double       speed = 0;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        if (server->listed && !server->draining && !server->ended && server->avoid_until <= now &&
            strcmp(server->service, service) == 0) {
            speed += server->capacity / present_pace(server, now);
        }
    }
    return speed;
}

uint32_t cw_server_pool_under_way(cw_server_pool_t *pool, const char *service)
{
    cw_server_t *server;
    cw_server_t *next;
    uint32_t     sum = 0;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        if (server->listed && strcmp(server->service, service) == 0) {
            sum += server->own + server->others;
        }
    }
    return sum;
}
