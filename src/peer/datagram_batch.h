/**
 * @file datagram_batch.h
 * @brief Batch of datagrams of one kind that are packed once and sent to several peers.
 *
 * No I/O.
 */
#ifndef CEDARWINCH_PEER_DATAGRAM_BATCH_H
#define CEDARWINCH_PEER_DATAGRAM_BATCH_H

#include <stdint.h>

#include "base/byte_buffer.h"

/** A batch. All zeros is an empty one. */
typedef struct cw_datagram_batch {
    cw_bytes_t bytes;   /**< the packed datagrams, concatenated */
    size_t    *lengths; /**< length of each datagram */
    size_t     count;
    size_t     capacity; /**< allocated entries of lengths */
    uint32_t   kind;     /**< kind of the datagrams: field number in peer.proto */
} cw_datagram_batch_t;

/** Removes all datagrams. The memory is kept for the next ones. */
void cw_datagram_batch_clear(cw_datagram_batch_t *batch);
/** Adds a packed datagram. */
void cw_datagram_batch_add(cw_datagram_batch_t *batch, uint32_t kind, const uint8_t *packed, size_t length);

#endif
