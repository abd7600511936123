/**
 * @file peer_frame.c
 * @brief Frames between nodes: a length of four bytes in network order, then one packed Envelope.
 */
#include "daemon/peer_internal.h"

#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY = 4096 };

int cw_bytes_reserve(cw_bytes_t *bytes, size_t more)
{
    size_t   capacity = bytes->capacity == 0 ? FIRST_CAPACITY : bytes->capacity;
    uint8_t *data;

    if (bytes->capacity - bytes->length >= more) {
        return CW_OK;
    }
    while (capacity - bytes->length < more) {
        capacity *= 2;
    }
    data = realloc(bytes->data, capacity);
    if (data == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    bytes->data = data;
    bytes->capacity = capacity;
    return CW_OK;
}

void cw_bytes_clear(cw_bytes_t *bytes)
{
    free(bytes->data);
    memset(bytes, 0, sizeof(*bytes));
}

static void put_length(uint8_t *target, size_t length)
{
    target[0] = (uint8_t)(length >> 24);
    target[1] = (uint8_t)(length >> 16);
    target[2] = (uint8_t)(length >> 8);
    target[3] = (uint8_t)length;
}

int cw_peer_frame_append(cw_bytes_t *bytes, const Cw__Envelope *envelope)
{
    size_t length = cw__envelope__get_packed_size(envelope);
    int    error;

    if (length == 0 || length > CW_PEER_FRAME_MAX) {
        return CW_ERROR_INVALID;
    }
    error = cw_bytes_reserve(bytes, CW_PEER_FRAME_HEADER_BYTES + length);
    if (error != CW_OK) {
        return error;
    }
    put_length(bytes->data + bytes->length, length);
    cw__envelope__pack(envelope, bytes->data + bytes->length + CW_PEER_FRAME_HEADER_BYTES);
    bytes->length += CW_PEER_FRAME_HEADER_BYTES + length;
    return CW_OK;
}

int64_t cw_peer_frame_find(const uint8_t *data, size_t length)
{
    uint32_t payload;

    if (length < CW_PEER_FRAME_HEADER_BYTES) {
        return 0;
    }
    payload = (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 | (uint32_t)data[2] << 8 | (uint32_t)data[3];
    if (payload == 0 || payload > CW_PEER_FRAME_MAX) {
        return CW_ERROR_PARSE;
    }
    return length - CW_PEER_FRAME_HEADER_BYTES < payload ? 0 : (int64_t)payload;
}
