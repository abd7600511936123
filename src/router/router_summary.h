/**
 * @file router_summary.h
 * @brief Making a summary of this zone for other zones; private to the router's relay.
 */
#ifndef CEDARWINCH_ROUTER_ROUTER_SUMMARY_H
#define CEDARWINCH_ROUTER_ROUTER_SUMMARY_H

#include "router/router_internal.h"
#include "router/zone_links.h"

enum { CW_SUMMARY_SERVERS_MAX = 512 /**< owners of keys in one summary; 6 bytes each */ };

/** What this node's summaries have told, and when. All zeros: nothing yet. */
typedef struct cw_summary_times {
    uint32_t     sequence;
    cw_time_us_t nodes_at;
    cw_time_us_t loads_at;
    cw_time_us_t details_at;    /**< when details of all nodes were begun */
    size_t       details_place; /**< among the nodes known: those before it have had theirs since */
} cw_summary_times_t;

/** Numbers of zones stand above those of nodes, which are IPv4 addresses: what a zone's sums are kept under. */
static const uint64_t cw_zone_numbers = (uint64_t)1 << 32;

/** Packs a summary of this node's zone, for cw_peer_link_send_packed. links: whose summaries have come. */
size_t cw_router_pack_summary(cw_router_t *router, cw_summary_times_t *times, const cw_zone_links_t *links,
                              cw_time_us_t now);

#endif
