/**
 * @file router_summary.h
 * @brief Builds the summary of this zone for other zones; private to router_relay.c and router_summary.c.
 */
#ifndef CEDARWINCH_ROUTER_ROUTER_SUMMARY_H
#define CEDARWINCH_ROUTER_ROUTER_SUMMARY_H

#include "router/router_internal.h"
#include "router/zone_links.h"

enum { CW_SUMMARY_SERVERS_MAX = 512 /**< most owners of keys in one summary; 6 bytes each */ };

/** When each part was last included in this node's summaries. All zeros: nothing has been sent yet. */
typedef struct cw_summary_times {
    uint32_t     sequence;      /**< of the last summary */
    cw_time_us_t nodes_at;      /**< last time that the nodes and their ages were included */
    cw_time_us_t loads_at;      /**< last time that the sums of requests were included */
    cw_time_us_t details_at;    /**< start of the current round that sends the details of all nodes */
    size_t       details_index; /**< index in the list of known nodes: earlier ones have been sent in this round */
} cw_summary_times_t;

/** Bit that is set in the sender id under which a zone's sums are kept; the lower bits are a hash of the zone's name.
 * It distinguishes these ids from those of nodes, which are IPv4 addresses of 32 bits. */
static const uint64_t cw_zone_sender_bit = (uint64_t)1 << 32;

/** Packs a summary of this node's zone, for cw_peer_link_send_packed. links: the zones whose summaries this node
 * receives. Returns the length in bytes. */
size_t cw_router_pack_summary(cw_router_t *router, cw_summary_times_t *times, const cw_zone_links_t *links,
                              cw_time_us_t now);

#endif
