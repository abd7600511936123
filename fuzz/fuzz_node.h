/**
 * @file fuzz_node.h
 * @brief A node for fuzzing: it leads a control group of one and owns, forwards and journals for one service of one
 *        server, whose answers are modelled here.
 */
#ifndef CEDARWINCH_FUZZ_NODE_H
#define CEDARWINCH_FUZZ_NODE_H

#include "cedarwinch/node.h"

enum {
    CW_FUZZ_SELF = 1,
    CW_FUZZ_PEER = 2,
    CW_FUZZ_SELF_INCARNATION = 11,
    CW_FUZZ_PEER_INCARNATION = 12,
    CW_FUZZ_SERVER_INCARNATION = 7,
    CW_FUZZ_PASS_MAX_MS = 3000
};

typedef struct cw_fuzz_node cw_fuzz_node_t;

cw_fuzz_node_t *cw_fuzz_node_create(void);
void            cw_fuzz_node_free(cw_fuzz_node_t *node);
void            cw_fuzz_node_deliver(cw_fuzz_node_t *node, const Cw__Envelope *envelope);
void            cw_fuzz_node_pass_time(cw_fuzz_node_t *node, cw_time_us_t duration_us);
/** Does the node lead and does the service have an owner: what the harness is meant to set up. */
bool cw_fuzz_node_serves(const cw_fuzz_node_t *node);

#endif
