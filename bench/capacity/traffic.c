/**
 * @file traffic.c
 * @brief Sums over kinds of messages.
 */
#include "traffic.h"

size_t cw_capacity_kind(const Cw__Envelope *envelope)
{
    if (envelope->body_case == CW__ENVELOPE__BODY_ROUTE_UPDATE && envelope->route_update->changes != NULL) {
        return CW_CAPACITY_CHANGES;
    }
    return (size_t)envelope->body_case;
}

void cw_capacity_traffic_add(cw_capacity_traffic_t *traffic, size_t kind, size_t packed_length)
{
    traffic->messages[kind]++;
    traffic->bytes[kind] += packed_length + CW_CAPACITY_FRAME_BYTES;
}

void cw_capacity_traffic_merge(cw_capacity_traffic_t *into, const cw_capacity_traffic_t *from)
{
    size_t kind;

    for (kind = 0; kind < CW_CAPACITY_KINDS; kind++) {
        into->messages[kind] += from->messages[kind];
        into->bytes[kind] += from->bytes[kind];
    }
}

double cw_capacity_traffic_messages(const cw_capacity_traffic_t *traffic)
{
    uint64_t sum = 0;
    size_t   kind;

    for (kind = 0; kind < CW_CAPACITY_KINDS; kind++) {
        sum += traffic->messages[kind];
    }
    return (double)sum;
}

double cw_capacity_traffic_bytes(const cw_capacity_traffic_t *traffic)
{
    uint64_t sum = 0;
    size_t   kind;

    for (kind = 0; kind < CW_CAPACITY_KINDS; kind++) {
        sum += traffic->bytes[kind];
    }
    return (double)sum;
}

double cw_capacity_traffic_wire_bytes(const cw_capacity_traffic_t *traffic)
{
    return cw_capacity_traffic_bytes(traffic) + CW_CAPACITY_HEADER_BYTES * cw_capacity_traffic_messages(traffic);
}
