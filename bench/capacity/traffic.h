/**
 * @file traffic.h
 * @brief Count of messages and bytes by kind of message, as they would leave on the wire.
 */
#ifndef CEDARWINCH_CAPACITY_TRAFFIC_H
#define CEDARWINCH_CAPACITY_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

#include "cedarwinch/types.h"

enum {
    CW_CAPACITY_KINDS = 64,       /**< above all field numbers of the envelope's body */
    CW_CAPACITY_CHANGES = 63,     /**< route updates that carry changes, counted apart from those that do not */
    CW_CAPACITY_FRAME_BYTES = 4,  /**< in front of each message between nodes */
    CW_CAPACITY_HEADER_BYTES = 52 /**< IPv4 and TCP with time stamps, for each message sent alone */
};

typedef struct cw_capacity_traffic {
    uint64_t messages[CW_CAPACITY_KINDS];
    uint64_t bytes[CW_CAPACITY_KINDS]; /**< packed message and frame, without IP and TCP headers */
} cw_capacity_traffic_t;

/** Kind that an envelope counts under. */
size_t cw_capacity_kind(const Cw__Envelope *envelope);
void   cw_capacity_traffic_add(cw_capacity_traffic_t *traffic, size_t kind, size_t packed_length);
void   cw_capacity_traffic_merge(cw_capacity_traffic_t *into, const cw_capacity_traffic_t *from);
double cw_capacity_traffic_messages(const cw_capacity_traffic_t *traffic);
double cw_capacity_traffic_bytes(const cw_capacity_traffic_t *traffic);
/** Bytes with IP and TCP headers. */
double cw_capacity_traffic_wire_bytes(const cw_capacity_traffic_t *traffic);

#endif
