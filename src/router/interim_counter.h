/**
 * @file interim_counter.h
 * @brief Which node counts all tenants while the leader cannot announce a number of nodes yet: the leader itself.
 *
 * When a deployment starts for the first time, no node knows how many there are, so no node can tell that it alone
 * counts a tenant: a node that it has not received from may count it, too. The lock decides who leads, and at most one
 * node has authority at a time. So until the first leader announces a number, it counts all tenants, and the other
 * nodes ask it.
 *
 * Rules:
 *  - Only the leader of the first term counts so. A leader of a later term may have been preceded by one that announced
 *    a number, by which other nodes may be counting.
 *  - A leader counts only while it has authority and has not announced a number.
 *  - The other nodes go by the leader's latest heartbeat, which need not be fresh: as long as the leader is alive, it
 *    either counts or names the node that does.
 *  - From CW_FLEET_MANY_NODES nodes on, a leader does not count: all nodes together would ask too much of it.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_INTERIM_COUNTER_H
#define CEDARWINCH_ROUTER_INTERIM_COUNTER_H

#include <stdbool.h>
#include <stdint.h>

/** Term of the first leader that a deployment ever has. */
enum { CW_INTERIM_COUNTER_TERM = 1 };

/** What the leader of the latest known term last said of itself. Initially all zero. */
typedef struct cw_interim_counter {
    uint64_t term;
    uint32_t leader; /**< address, if that leader counts all tenants; else 0 */
} cw_interim_counter_t;

/** Records a leader's heartbeat. nodes: the number of nodes that it announces; 0: it does not know it. Returns whether
 * the node that counts has changed. Heartbeats of earlier terms are ignored. */
bool cw_interim_counter_record(cw_interim_counter_t *interim, uint32_t leader, uint64_t term, bool has_authority,
                               uint32_t nodes);
/** Returns the address of the node that counts all tenants; 0: each tenant has its own counting node. announced: the
 * number of nodes that this node knows from any leader, 0: none; in_reach: the number of nodes that it reaches. */
uint32_t cw_interim_counter_address(const cw_interim_counter_t *interim, uint32_t announced, uint32_t in_reach);

#endif
