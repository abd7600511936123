/**
 * @file traffic_account.h
 * @brief Counts of bytes and datagrams that this node has sent to other nodes, by kind of message and by distance.
 *
 * The counts are served as metrics; their sum over the nodes of a zone is the traffic that the zone sends. Bytes are
 * those of the datagrams' payload; each datagram takes 28 more on the network (headers of IP and UDP). A kind has the
 * name of its field in peer.proto.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H
#define CEDARWINCH_PEER_TRAFFIC_ACCOUNT_H

#include <stddef.h>
#include <stdint.h>

#include "base/byte_buffer.h"
#include "model/zone_region.h"

enum { CW_TRAFFIC_KINDS = 32 /**< limit of the kinds of datagrams: field numbers in peer.proto are below it */ };

/** Counts since the node's start. All zeros: none. */
typedef struct cw_traffic_account {
    uint64_t bytes[CW_TRAFFIC_KINDS][CW_DISTANCES];
    uint64_t datagrams[CW_TRAFFIC_KINDS][CW_DISTANCES];
} cw_traffic_account_t;

/** Counts a datagram that is sent. */
void cw_traffic_account_add(cw_traffic_account_t *account, uint32_t kind, cw_distance_t distance, size_t bytes);
/** Name of a kind; "other" for a number that is not in peer.proto. */
const char *cw_traffic_kind_name(uint32_t kind);
/** "zone", "region" or "remote". */
const char *cw_traffic_distance_name(cw_distance_t distance);
/** Writes Prometheus text: two counters, labelled by kind and distance. Kinds that were never sent are left out. */
void cw_traffic_account_metrics(const cw_traffic_account_t *account, cw_bytes_t *text);
/** Writes a short text for the log: the sum of bytes at this distance, then the kinds with the most bytes, as many as
 * fit into `room` bytes. */
void cw_traffic_account_summary(const cw_traffic_account_t *account, cw_distance_t distance, char *text, size_t room);

#endif
