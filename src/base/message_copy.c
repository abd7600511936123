/**
 * @file message_copy.c
 * @brief Deep copy of protobuf-c messages.
 */
#include <stdlib.h>

#include "cedarwinch/intent.h"

ProtobufCMessage *cw_message_copy(const ProtobufCMessage *message)
{
    size_t            length = protobuf_c_message_get_packed_size(message);
    uint8_t          *bytes = malloc(length == 0 ? 1 : length);
    ProtobufCMessage *copy;

    if (bytes == NULL) {
        return NULL;
    }
    protobuf_c_message_pack(message, bytes);
    copy = protobuf_c_message_unpack(message->descriptor, NULL, length, bytes);
    free(bytes);
    return copy;
}
