/**
 * @file datagram_batch.c
 * @brief Packed datagrams, one after the other.
 */
#include "peer/datagram_batch.h"

#include <stdlib.h>

#include "base/memory.h"

enum { LENGTHS_FIRST = 64 };

void cw_datagram_batch_clear(cw_datagram_batch_t *batch)
{
    batch->bytes.length = 0;
    batch->count = 0;
}

static void make_place(cw_datagram_batch_t *batch)
{
    if (batch->count < batch->capacity) {
        return;
    }
    batch->capacity = batch->capacity == 0 ? LENGTHS_FIRST : 2 * batch->capacity;
    batch->lengths = cw_memory_resize(batch->lengths, batch->capacity * sizeof(*batch->lengths));
}

void cw_datagram_batch_add(cw_datagram_batch_t *batch, uint32_t kind, const uint8_t *packed, size_t length)
{
    make_place(batch);
    batch->kind = kind;
    batch->lengths[batch->count++] = length;
    cw_bytes_append(&batch->bytes, packed, length);
}
