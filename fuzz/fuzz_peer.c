/**
 * @file fuzz_peer.c
 * @brief Fuzz target: frames from another node, unpacked and taken in by a whole node that leads a group of one and
 *        serves one service. A message whose sender field is 0 lets time pass instead of being delivered.
 */
#include "daemon/peer_internal.h"
#include "fuzz.h"
#include "fuzz_node.h"

/* Messages of one input at most: a longer one adds time, not states. */
enum { MESSAGES_MAX = 16 };

static void take(cw_fuzz_node_t *node, const uint8_t *data, size_t length)
{
    Cw__Envelope *envelope = cw__envelope__unpack(NULL, length, data);

    if (envelope == NULL) {
        return;
    }
    if (envelope->from == 0) { /* the transport closes such a connection */
        cw_fuzz_node_pass_time(node, (envelope->from_incarnation % CW_FUZZ_PASS_MAX_MS) * CW_US_PER_MS);
    } else {
        cw_fuzz_node_deliver(node, envelope);
    }
    cw__envelope__free_unpacked(envelope, NULL);
}

int LLVMFuzzerInitialize(int *argument_count, char ***arguments)
{
    (void)argument_count;
    (void)arguments;
    cw_log_set_level(CW_LOG_ERROR);
    return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    cw_fuzz_node_t *node = cw_fuzz_node_create();
    size_t          position = 0;
    unsigned        messages;
    int64_t         payload;

    for (messages = 0; messages < MESSAGES_MAX && position < size; messages++) {
        payload = cw_peer_frame_find(data + position, size - position);
        if (payload <= 0) {
            break;
        }
        take(node, data + position + CW_PEER_FRAME_HEADER_BYTES, (size_t)payload);
        position += CW_PEER_FRAME_HEADER_BYTES + (size_t)payload;
    }
    cw_fuzz_node_pass_time(node, CW_FUZZ_PASS_MAX_MS * CW_US_PER_MS);
    cw_fuzz_node_free(node);
    return 0;
}
