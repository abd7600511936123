/**
 * @file server_pool_internal.h
 * @brief State shared by the source files of the pool: servers and this node's requests (server_pool.c), reports of
 * other nodes (server_reports.c) and the choice of a server (server_choice.c).
 */
#ifndef CEDARWINCH_BALANCE_SERVER_POOL_INTERNAL_H
#define CEDARWINCH_BALANCE_SERVER_POOL_INTERNAL_H

#include "balance/leaving_servers.h"
#include "balance/server_pool.h"

enum {
    CW_AVOID_INITIAL_MS = 300, /**< initial time for which a failed server is avoided */
    CW_SUSPECT_FAULTS = 2      /**< in a row; a single fault may be a connection that the server had closed as idle */
};

/** Weight of one answer in the moving average of a server's pace; docs/MEASUREMENTS.md has the measurements.
 */
#define CW_PACE_WEIGHT 0.15

/** Last report of one node. */
typedef struct peer_report {
    uint64_t            node;
    cw_time_us_t        at; /* when the report was received */
    cw_server_report_t *reports;
    size_t              count;
    cw_server_pace_t   *paces; /* last reported for each server */
    size_t              pace_count;
    cw_time_us_t        paces_at; /* when it last reported paces */
    UT_hash_handle      hh;
} peer_report_t;

/** Configured warm-up of a service. */
typedef struct service_warm_up {
    char          *service;
    cw_warm_up_t   warm_up;
    UT_hash_handle hh;
} service_warm_up_t;

/** Servers of one service. Freed only with the pool, since services are few and often get servers again. */
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
    cw_leaving_servers_t *leaving_servers;
    const cw_cold_rate_t *cold_rate; /* NULL: this node sends nothing to cold servers whose rate is bounded */
};

/** Server with this hash, listed or not; NULL: none. */
cw_server_t *cw_server_pool_by_hash(cw_server_pool_t *pool, uint32_t hash);
/** Hash of a service's name, as in server->service_hash. */
uint32_t cw_server_pool_service_hash(const char *service);
/** Moves a server's pace towards a measured ratio. */
void cw_server_update_pace(cw_server_t *server, double ratio, double weight);

/* ---- server_reports.c ---- */
/** Adds to a new server the requests that other nodes have reported for it. */
void cw_server_pool_count_others(cw_server_pool_t *pool, cw_server_t *server);
/** Removes reported paces of servers that the pool no longer has: otherwise they would accumulate while the process
 * runs. */
void cw_server_pool_drop_paces(cw_server_pool_t *pool);
/** Removes and frees a node's report. */
void cw_server_pool_free_peer(cw_server_pool_t *pool, peer_report_t *peer);

#endif
