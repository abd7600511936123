/**
 * @file fuzz_peer.c
 * @brief Fuzzes a whole node with the inputs that it gets from other processes, in any order: datagrams of other nodes,
 *        answers of the store and of servers, lists of servers and configurations.
 *
 * Each input is handled twice: as one datagram, and as a sequence of steps. A step has a byte for its kind, a byte for
 * an amount, and for a datagram its bytes.
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node_fixture.h"
#include "router/router_status.h"

enum {
    INPUTS_PER_NODE = 64, /* then a new node is created; the old one's memory is not freed completely */
    PEERS = 24,           /* more nodes than needed for slots to be handed out */
    STEP_KINDS = 8,
    TICK_UNIT_MS = 40,
    LIST_UNIT = 3,
    VERSIONS = 7
};

static void handle_datagram(node_fixture_t *node, uint8_t peer, const uint8_t *bytes, size_t length)
{
    char           address[24];
    Cwp__Datagram *datagram = cwp__datagram__unpack(NULL, length, bytes);
    cw_peer_t     *from;

    if (datagram == NULL) {
        return;
    }
    snprintf(address, sizeof(address), "10.0.0.%u", peer % PEERS + 2);
    from = cw_peer_link_learn_text(node->router.link, address, cw_router_now(&node->router));
    from->sequence = 0;
    cw_router_on_datagram(&node->router, from, datagram);
    cwp__datagram__free_unpacked(datagram, NULL);
}

/* Answers orders and calls that the input leaves unanswered, since the fixture keeps a bounded number of them. */
static void answer_pending(node_fixture_t *node)
{
    if (node->order_count > NODE_FIXTURE_ORDERS_MAX / 2) {
        node_fixture_answer_orders(node, CW_ORDER_UNANSWERED);
    }
    if (node->call_count > NODE_FIXTURE_CALLS_MAX / 2) {
        node_fixture_answer_store(node);
    }
}

static void run_step(node_fixture_t *node, uint8_t kind, uint8_t amount)
{
    switch (kind % STEP_KINDS) {
    case 0:
        node_fixture_tick(node, amount);
        break;
    case 1:
        node_fixture_tick(node, (int64_t)amount * TICK_UNIT_MS);
        break;
    case 2:
        node_fixture_answer_store(node);
        break;
    case 3:
        node_fixture_read_servers(node, "s", (size_t)amount * LIST_UNIT, amount == 1 ? "" : "10.0.1.1:80");
        break;
    case 4:
        (void)cw_router_apply_configuration(&node->router, node_fixture_configuration(amount % VERSIONS, "s"), "store");
        break;
    case 5:
        node_fixture_answer_orders(node, (cw_order_result_t)(amount % (CW_ORDER_UNANSWERED + 1)));
        break;
    case 6:
        node_fixture_receive_report(node, amount % 2 == 0 ? "10.0.0.3" : "10.0.0.4", "z2", amount);
        break;
    default:
        free(cw_router_status(&node->router));
        break;
    }
    answer_pending(node);
}

static void run_steps(node_fixture_t *node, const uint8_t *data, size_t size)
{
    size_t offset = 0;

    while (offset + 2 <= size) {
        uint8_t kind = data[offset];
        size_t  length = data[offset + 1];

        offset += 2;
        if (kind < UINT8_MAX / 2) {
            run_step(node, kind, (uint8_t)length);
            continue;
        }
        length = length < size - offset ? length : size - offset;
        handle_datagram(node, kind, data + offset, length);
        offset += length;
    }
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static node_fixture_t *node;
    static uint32_t        inputs;

    if (node == NULL) {
        node = node_fixture_create();
    }
    handle_datagram(node, 0, data, size);
    run_steps(node, data, size);
    if (++inputs % INPUTS_PER_NODE == 0) {
        node_fixture_free(node);
        node = NULL;
    }
    return 0;
}
