/**
 * @file datagram_batch.h
 * @brief Datagrams of one kind, packed once and sent to several peers.
 *
 * No I/O. All zeros is an empty batch.
 */
#ifndef CEDARWINCH_PEER_DATAGRAM_BATCH_H
#define CEDARWINCH_PEER_DATAGRAM_BATCH_H

#include <stdint.h>

#include "base/byte_buffer.h"

typedef struct cw_datagram_batch {
    cw_bytes_t bytes;   /**< one datagram after the other */
    size_t    *lengths; /**< of each */
    size_t     count;
    size_t     capacity; /**< of lengths */
    uint32_t   kind;     /**< number in peer.proto */
} cw_datagram_batch_t;

/** Empties it; its memory is kept for the next datagrams. */
void cw_datagram_batch_clear(cw_datagram_batch_t *batch);
/** Adds a packed datagram. */
void cw_datagram_batch_add(cw_datagram_batch_t *batch, uint32_t kind, const uint8_t *packed, size_t length);

#endif
