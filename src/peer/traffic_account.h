/**
 * @file traffic_account.h
 * @brief Bytes and datagrams that this node has sent to other nodes, by kind of message and by how far they went.
 *
 * Served as metrics; the sum over the nodes of a zone is what the zone sends. Bytes are those of the datagrams'
 * contents; each datagram costs 28 more on the way (headers of IP and UDP). A kind is named as in peer.proto.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H
#define CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

#include "base/byte_buffer.h"
#include "model/zone_region.h"

enum { CW_TRAFFIC_KINDS = 32 /**< kinds of datagrams, by their number in peer.proto */ };

typedef struct cw_traffic_account {
    uint64_t bytes[CW_TRAFFIC_KINDS][CW_DISTANCES];
    uint64_t datagrams[CW_TRAFFIC_KINDS][CW_DISTANCES];
} cw_traffic_account_t;

void cw_traffic_account_note(cw_traffic_account_t *account, uint32_t kind, cw_distance_t distance, size_t bytes);
/** Name of a kind; "other" for a number that peer.proto does not have. */
const char *cw_traffic_kind_name(uint32_t kind);
/** "zone", "region" or "remote". */
const char *cw_traffic_distance_name(cw_distance_t distance);
/** Prometheus text: two counters, labelled by kind and distance; kinds that were never sent are left out. */
void cw_traffic_account_metrics(const cw_traffic_account_t *account, cw_bytes_t *text);
/** One short line for the log: for each distance its sum, then the kinds of most bytes, as far as `room` goes. */
void cw_traffic_account_summary(const cw_traffic_account_t *account, cw_distance_t distance, char *text, size_t room);

#endif
