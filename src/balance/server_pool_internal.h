/**
 * @file server_pool_internal.h
 * @brief State shared by the pool's parts: servers and this node's requests (server_pool.c), what other nodes report
 * (server_reports.c), the choice of a server (server_choice.c).
 */
#ifndef CEDARWINCH_BALANCE_SERVER_POOL_INTERNAL_H
#define CEDARWINCH_BALANCE_SERVER_POOL_INTERNAL_H

#include "balance/leaving_servers.h"
#include "balance/server_pool.h"

enum { CW_AVOID_FIRST_MS = 300 /**< a server that failed is passed over for so long, at first */ };

/** Weight of one answer in a server's latency factor; measured on the users' bench, docs/MEASUREMENTS.md. */
#define CW_PACE_WEIGHT 0.15

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

/** How the servers of a service start. */
typedef struct service_warm_up {
    char          *service;
    cw_warm_up_t   warm_up;
    UT_hash_handle hh;
} service_warm_up_t;

/** Servers of one service. Lives as long as the pool: services are few, and come back. */
typedef struct service_servers {
    uint32_t       service_hash;
    cw_server_t   *servers;
    UT_hash_handle hh;
} service_servers_t;

struct cw_server_pool {
    char                 *zone;
    cw_zone_region_t     *regions; /* of each zone */
    size_t                region_count;
    cw_region_table_t     region_table;
    uint64_t              node; /* hash of this node's name */
    cw_server_dropped_t   dropped;
    void                 *context;
    cw_server_t          *by_id;
    cw_server_t          *by_hash;
    service_servers_t    *by_service;
    peer_report_t        *peers;
    service_warm_up_t    *warm_ups;
    cw_leave_memory_t    *leaves;
    const cw_cold_rate_t *cold_rate; /* NULL: this node sends nothing to cold servers whose rate is bounded */
};

/** Server of this hash, listed or not; NULL: none. */
cw_server_t *cw_server_pool_by_hash(cw_server_pool_t *pool, uint32_t hash);
/** Hash of a service's name, as in server->service_hash. */
uint32_t cw_server_pool_service_hash(const char *service);
/** Moves a server's latency factor towards a ratio that was measured. */
void cw_server_learn_pace(cw_server_t *server, double ratio, double weight);

/* ---- server_reports.c ---- */
/** Counts into a server that is new here what other nodes have reported of it. */
void cw_server_pool_count_others(cw_server_pool_t *pool, cw_server_t *server);
/** Servers come and go for as long as the process runs: what was reported of those that are gone goes too. */
void cw_server_pool_forget_paces(cw_server_pool_t *pool);
void cw_server_pool_free_peer(cw_server_pool_t *pool, peer_report_t *peer);

#endif
