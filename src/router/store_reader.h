/**
 * @file store_reader.h
 * @brief Which nodes read the store for the others of their zone.
 *
 * A call to the store costs as much as dozens of datagrams, so most nodes do not call it: a few in each zone do, and
 * send what they have read (router_share.c). Rules:
 *  - In each zone the most capable nodes that reach the store are its readers; by address among equals. Nodes that
 *    stop, that have not been received from lately, or that say that the store does not serve them, are passed over.
 *  - Each node works this out from what it knows. Two that know different nodes may both read, or both not read for a
 *    moment: a node that receives from no reader and no leader for CW_READER_TRUST_MS reads for itself.
 *  - A leader always reads.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_STORE_READER_H
#define CEDARWINCH_ROUTER_STORE_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CW_READER_NOTICE_MS = 400, /**< pause between a reader's notices to its zone */
    CW_READER_TRUST_MS = 1500  /**< three of them may be lost */
};

/** A node that may read for its zone. */
typedef struct cw_reader_candidate {
    uint32_t address;
    uint32_t capability;
} cw_reader_candidate_t;

/** Readers that a zone of so many nodes has. */
uint32_t cw_readers_wanted(size_t zone_nodes);
/** Does `candidate` come before `other`? */
bool cw_reader_precedes(const cw_reader_candidate_t *candidate, const cw_reader_candidate_t *other);

#endif
