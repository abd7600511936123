/**
 * @file fair_turns.h
 * @brief Start-time fair queueing between the tenants of a group of waiting requests; all requests have equal cost.
 *
 * A request's turn (its start tag) is the greater of the group's current turn and its tenant's last turn plus one. So a
 * tenant with many requests delays only its own, and a tenant with few is served soon, however many requests of others
 * wait. While requests of tenants wait in the group, all requests without a tenant count as those of one more tenant.
 * While none do, requests without a tenant all have the same turn, and the caller's other criteria order them.
 * A request that leaves without having been served gives its turn back, to the next request of its tenant.
 *
 * State exists only for groups and tenants with waiting requests. No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_FAIR_TURNS_H
#define CEDARWINCH_BALANCE_FAIR_TURNS_H

#include <stddef.h>
#include <stdint.h>

/** Turns of all groups. */
typedef struct cw_fair_turns cw_fair_turns_t;

/** Identifies requests that wait for the same resource: hash of the service, and the priority within it. */
typedef uint64_t cw_turn_group_t;

/** Creates an empty set of groups. */
cw_fair_turns_t *cw_fair_turns_create(void);
/** Frees all groups. */
void cw_fair_turns_free(cw_fair_turns_t *turns);
/** Group of the requests that wait for a service with this rank, which is their priority within the service. */
cw_turn_group_t cw_fair_turns_group(uint32_t service, uint32_t rank);
/** Returns the turn that a request would get now; a lower one is served first. tenant: hash of its name; 0: none. */
uint64_t cw_fair_turns_next(const cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant);
/** Adds a waiting request with the turn that cw_fair_turns_next returned. */
void cw_fair_turns_wait(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant, uint64_t turn);
/** Removes a waiting request that is being served. */
void cw_fair_turns_serve(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant, uint64_t turn);
/** Removes a waiting request that was refused or cancelled. */
void cw_fair_turns_leave(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant);
/** Number of tenants with waiting requests, summed over all groups; requests without a tenant count as one tenant. */
size_t cw_fair_turns_tenant_count(const cw_fair_turns_t *turns);

#endif
