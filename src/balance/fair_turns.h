/**
 * @file fair_turns.h
 * @brief Turns of tenants that wait for the same thing: start-time fair queueing, each request of the same cost.
 *
 * A request's turn is the later of the group's present turn and one after its tenant's last. So a tenant of many
 * requests waits behind itself, and one of few gets its turn next, however many others wait. While tenants wait in the
 * group, all requests without one count as one more tenant. While none does, these all have the same
 * turn, and what orders them otherwise does.
 * A request that leaves without having been served gives its turn to the tenant's next one.
 *
 * Only what waits is kept. No I/O, no clock.
 */
#ifndef CEDARWINCH_BALANCE_FAIR_TURNS_H
#define CEDARWINCH_BALANCE_FAIR_TURNS_H

#include <stddef.h>
#include <stdint.h>

typedef struct cw_fair_turns cw_fair_turns_t;

/** What waits for the same thing: a service, and a rank within it. */
typedef uint64_t cw_turn_group_t;

cw_fair_turns_t *cw_fair_turns_create(void);
void             cw_fair_turns_free(cw_fair_turns_t *turns);
cw_turn_group_t  cw_fair_turns_group(uint32_t service, uint32_t rank);
/** The turn that a request would get now. tenant: hash of its name; 0: none. */
uint64_t cw_fair_turns_next(const cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant);
/** It waits with the turn that cw_fair_turns_next told. */
void cw_fair_turns_wait(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant, uint64_t turn);
/** It no longer waits: it was served. */
void cw_fair_turns_serve(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant, uint64_t turn);
/** It no longer waits: it was refused, or left. */
void cw_fair_turns_leave(cw_fair_turns_t *turns, cw_turn_group_t group, uint32_t tenant);
/** Tenants of which something is kept, in all groups; those without one count as one. */
size_t cw_fair_turns_kept(const cw_fair_turns_t *turns);

#endif
