/**
 * @file traffic_account.h
 * @brief Bytes and datagrams that this node has sent to other nodes, by kind of message and by how far they went.
 *
 * Served as metrics; the sum over the nodes of a zone is what the zone sends.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H
#define CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

#include "model/zone_region.h"

enum { CW_TRAFFIC_KINDS = 32 /**< kinds of datagrams, by their number in peer.proto */ };

typedef struct cw_traffic_account {
    uint64_t bytes[CW_TRAFFIC_KINDS][CW_DISTANCES];
    uint64_t datagrams[CW_TRAFFIC_KINDS][CW_DISTANCES];
} cw_traffic_account_t;

void cw_traffic_account_note(cw_traffic_account_t *account, uint32_t kind, cw_distance_t distance, size_t bytes);

#endif
