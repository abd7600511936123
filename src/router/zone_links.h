/**
 * @file zone_links.h
 * @brief Which other zones this node learns of by summaries, and which learn of this zone in the same way.
 *
 * A node need not report to the nodes of another zone while relays do it for the whole zone. Rules:
 *  - A zone is covered while a summary of it has come lately that says that it has received one of this zone lately:
 *    so both directions work. Else each node reports to each node of that zone by itself, as few nodes do always.
 *  - That is looked at more often than a node's silence is judged, so that no node counts as lost since relays stopped.
 *  - A summary that is not newer than the last one of the same relay tells nothing: it was late, or came twice.
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
    CW_SUMMARY_PAUSE_MS = 250, /**< between two summaries of one relay */
    CW_SUMMARY_TRUST_MS = 700, /**< two may be lost, of each of the two relays */
    CW_SUMMARY_MAKERS = 4      /**< relays of one zone that are remembered: two, and their successors */
};

/** The last summary of one relay. */
typedef struct cw_summary_maker {
    uint32_t address; /**< 0: none */
    uint64_t incarnation;
    uint32_t sequence;
} cw_summary_maker_t;

typedef struct cw_zone_link {
    char               zone[64];
    cw_time_us_t       received_at; /**< last summary of that zone; 0: none */
    cw_time_us_t       answered_at; /**< last one that says that it has received this zone's */
    cw_summary_maker_t makers[CW_SUMMARY_MAKERS];
    size_t             next_maker;
} cw_zone_link_t;

/** All zeros: none yet. */
typedef struct cw_zone_links {
    cw_zone_link_t items[CW_ZONES_MAX];
    size_t         count;
} cw_zone_links_t;

/** What a summary says of itself. */
typedef struct cw_summary_head {
    const char *zone;
    uint32_t    relay;
    uint64_t    incarnation;
    uint32_t    sequence;
    bool        answers; /**< its relay has received this zone's lately */
} cw_summary_head_t;

/** Notes a summary. False: it is not newer than the last one of its relay, or there is no room for its zone. */
bool cw_zone_links_note(cw_zone_links_t *links, const cw_summary_head_t *head, cw_time_us_t now);
/** Do relays keep this node and the nodes of that zone informed of one another? */
bool cw_zone_links_is_covered(const cw_zone_links_t *links, const char *zone, cw_time_us_t now);
/** Has a summary of that zone come lately? Then what its nodes report by themselves is counted in it. */
bool cw_zone_links_is_summed(const cw_zone_links_t *links, const char *zone, cw_time_us_t now);

#endif
