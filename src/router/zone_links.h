/**
 * @file zone_links.h
 * @brief Tracks from which other zones this node receives summaries, and which of these zones receive this zone's.
 *
 * A node need not report to the nodes of another zone while relays exchange summaries for the whole zone. Rules:
 *  - A zone is covered while a recent summary of it states that the zone has recently received a summary of this zone.
 *    Both directions work then. Otherwise each node reports directly to each node of that zone, as nodes of a small
 *    fleet always do.
 *  - The time after which a zone is no longer covered is shorter than the timeout after which a node counts as lost, so
 *    that no node counts as lost because relays have stopped.
 *  - A summary that is not newer than the last one of the same relay is ignored: it was delayed, or received twice.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_ZONE_LINKS_H
#define CEDARWINCH_ROUTER_ZONE_LINKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"
#include "model/zone_region.h"

enum {
    CW_SUMMARY_INTERVAL_MS = 250, /**< interval between two summaries of one relay */
    CW_SUMMARY_RECENT_MS = 700,   /**< a summary counts as recent for so long: each of the two relays may lose two */
    CW_SUMMARY_SENDERS_MAX = 4    /**< relays of one zone that are remembered: two, and their successors */
};

/** The last summary received from one relay. */
typedef struct cw_summary_sender {
    uint32_t address; /**< 0: none */
    uint64_t incarnation;
    uint32_t sequence;
} cw_summary_sender_t;

/** Summaries received from one other zone. */
typedef struct cw_zone_link {
    char                zone[64];
    cw_time_us_t        received_at;     /**< last summary of that zone; 0: none */
    cw_time_us_t        acknowledged_at; /**< last one that states that its zone receives this zone's; 0: none */
    cw_summary_sender_t senders[CW_SUMMARY_SENDERS_MAX];
    size_t              next_sender; /**< index of the oldest entry, which the next unknown relay replaces */
} cw_zone_link_t;

/** Summaries received from all other zones. All zeros: none yet. */
typedef struct cw_zone_links {
    cw_zone_link_t items[CW_ZONES_MAX];
    size_t         count;
} cw_zone_links_t;

/** Fields of a summary that identify it. */
typedef struct cw_summary_header {
    const char *zone;
    uint32_t    relay;
    uint64_t    incarnation;
    uint32_t    sequence;
    bool        acknowledges; /**< its relay has recently received a summary of this node's zone */
} cw_summary_header_t;

/** Records a received summary. False: the summary is to be ignored, since it is not newer than the last one of its
 * relay or there is no room for its zone. */
bool cw_zone_links_record(cw_zone_links_t *links, const cw_summary_header_t *header, cw_time_us_t now);
/** Whether relays currently exchange summaries between this node's zone and that zone, in both directions. */
bool cw_zone_links_is_covered(const cw_zone_links_t *links, const char *zone, cw_time_us_t now);
/** Whether a summary of that zone was received recently. If so, the requests of its nodes are included in its sums, and
 * those in reports of these nodes must not be counted again. */
bool cw_zone_links_is_summarized(const cw_zone_links_t *links, const char *zone, cw_time_us_t now);

#endif
