/**
 * @file datagram_batch.c
 * @brief Batch of packed datagrams.
 */
#include "peer/datagram_batch.h"

#include <stdlib.h>

#include "base/memory.h"

enum { INITIAL_CAPACITY = 64 };

void cw_datagram_batch_clear(cw_datagram_batch_t *batch)
{
    batch->bytes.length = 0;
    batch->count = 0;
}

static void reserve_entry(cw_datagram_batch_t *batch)
{
    if (batch->count < batch->capacity) {
        return;
    }
    batch->capacity = batch->capacity == 0 ? INITIAL_CAPACITY : 2 * batch->capacity;
    batch->lengths = cw_memory_resize(batch->lengths, batch->capacity * sizeof(*batch->lengths));
}

void cw_datagram_batch_add(cw_datagram_batch_t *batch, uint32_t kind, const uint8_t *packed, size_t length)
{
    reserve_entry(batch);
    batch->kind = kind;
    batch->lengths[batch->count++] = length;
    cw_bytes_append(&batch->bytes, packed, length);
}
