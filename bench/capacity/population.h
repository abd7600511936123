/**
 * @file population.h
 * @brief Replicated states of a given size, with names, tokens, reasons and journal sets as long as in real use.
 */
#ifndef CEDARWINCH_CAPACITY_POPULATION_H
#define CEDARWINCH_CAPACITY_POPULATION_H

#include "cedarwinch/control_state.h"

enum { CW_CAPACITY_GENERATION = 1, CW_CAPACITY_INCARNATIONS = 1000 /**< incarnation of a node: this + its id */ };

typedef struct cw_capacity_population {
    size_t nodes;
    size_t tenants; /**< with one service each */
    size_t servers_per_tenant;
    size_t ranges_per_server;
} cw_capacity_population_t;

/** A node and the memory of its strings. */
typedef struct cw_capacity_node {
    Cw__NodeInfo info;
    char         address[16];
    char         zone[24];
    char         region[24];
} cw_capacity_node_t;

void cw_capacity_node_init(cw_capacity_node_t *node, cw_node_id_t id);

/** NULL: no memory. Node ids are 1 to the number of nodes, which is not 0, over ten zones in four regions. A journal
 *  set is in three zones when there are ten nodes or more. */
cw_control_state_t *cw_capacity_population_create(const cw_capacity_population_t *population);

/** Names of a tenant's parts, as text. */
void        cw_capacity_tenant_name(char *text, size_t room, size_t tenant);
void        cw_capacity_server_name(char *text, size_t room, size_t server);
const char *cw_capacity_service_name(void);
const char *cw_capacity_caller_token(void); /**< one of those that every tenant accepts */

/* Changes of one object, applied at the next log index. */
void cw_capacity_change_node(cw_control_state_t *state, cw_node_id_t id, Cw__NodeState node_state);
void cw_capacity_change_range(cw_control_state_t *state, cw_range_id_t range);
void cw_capacity_change_tenant(cw_control_state_t *state, size_t tenant);

#endif
