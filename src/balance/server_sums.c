/**
 * @file server_sums.c
 * @brief Sums the requests in flight of one zone's nodes at each server, for the summary sent to other zones.
 */
#include "balance/server_pool_internal.h"

static void begin_sums(cw_server_pool_t *pool, const cw_sum_filter_t *filter, cw_time_us_t now)
{
    cw_server_t *server;
    cw_server_t *next;

    HASH_ITER(by_id, pool->by_id, server, next)
    {
        server->sum = (cw_server_report_t){.hash = server->hash};
        if (filter->includes_own(filter->context, server)) {
            server->sum.in_flight = server->own;
            server->sum.waiting = server->own_waiting;
            server->sum.unreachable = server->faults > 0 && server->avoid_until > now;
        }
    }
}

static void add_reports(cw_server_pool_t *pool, const peer_report_t *peer)
{
    size_t index;

    for (index = 0; index < peer->count; index++) {
        cw_server_t *server = cw_server_pool_by_hash(pool, peer->reports[index].hash);

        if (server != NULL) {
            server->sum.in_flight += peer->reports[index].in_flight;
            server->sum.waiting += peer->reports[index].waiting;
            server->sum.unreachable = server->sum.unreachable || peer->reports[index].unreachable;
        }
    }
}

size_t cw_server_pool_sum(cw_server_pool_t *pool, const cw_sum_filter_t *filter, cw_server_report_t *sums, size_t room,
                          cw_time_us_t now, size_t *left_out)
{
    peer_report_t *peer;
    peer_report_t *next_peer;
    cw_server_t   *server;
    cw_server_t   *next;
    size_t         count = 0;

    *left_out = 0;
    begin_sums(pool, filter, now);
    HASH_ITER(hh, pool->peers, peer, next_peer)
    {
        if (filter->includes_node(filter->context, peer->node)) {
            add_reports(pool, peer);
        }
    }
    HASH_ITER(by_id, pool->by_id, server, next)
    {
        bool is_reported = server->sum.in_flight > 0 || server->sum.waiting > 0 || server->sum.unreachable;

        if (!is_reported || !filter->includes_server(filter->context, server)) {
            continue;
        }
        if (count < room) {
            sums[count++] = server->sum;
        } else {
            (*left_out)++;
        }
    }
    return count;
}
