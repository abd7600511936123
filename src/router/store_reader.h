/**
 * @file store_reader.h
 * @brief Which nodes read the store for the other nodes of their zone.
 *
 * A call to the store costs as much as dozens of datagrams. So only a few nodes of each zone, its readers, call the
 * store and send what they have read to the others (router_share.c). Rules:
 *  - The readers of a zone are its most capable nodes that reach the store; among equals the lower address comes
 *    first. Nodes that are stopping, that have not been received from recently, or that report that the store does
 *    not answer them are skipped.
 *  - Each node computes this from what it knows. Two nodes with different knowledge may both read, or both not read
 *    for a short time: a node that receives from no reader and no leader for CW_READER_TIMEOUT_MS reads for itself.
 *  - A leader always reads.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_STORE_READER_H
#define CEDARWINCH_ROUTER_STORE_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_READER_NOTICE_MS = 400,  /**< interval between the notices of a reader to its zone */
    CW_READER_TIMEOUT_MS = 1500 /**< a reader not received from for so long is skipped; three notices may be lost */
};

/** A node that may read for its zone. */
typedef struct cw_store_reader_candidate {
    uint32_t address;
    uint32_t capability;
} cw_store_reader_candidate_t;

/** What a node does as a reader. */
typedef struct cw_store_reader {
    bool         is_reader;
    cw_time_us_t ranked_at;      /**< last decision whether this node is a reader */
    cw_time_us_t notice_sent_at; /**< last notice to the zone */
} cw_store_reader_t;

/** Number of readers of a zone with so many nodes. */
uint32_t cw_store_reader_count(size_t zone_nodes);
/** True if `candidate` ranks before `other`. */
bool cw_store_reader_precedes(const cw_store_reader_candidate_t *candidate, const cw_store_reader_candidate_t *other);

#endif
