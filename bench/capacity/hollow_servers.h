/**
 * @file hollow_servers.h
 * @brief Modelled back-end servers: their control calls, answered in the next step of time.
 */
#ifndef CEDARWINCH_CAPACITY_HOLLOW_SERVERS_H
#define CEDARWINCH_CAPACITY_HOLLOW_SERVERS_H

#include <uthash.h>

#include "cedarwinch/ports.h"

typedef struct cw_hollow_server {
    cw_server_id_t id;
    int64_t        lease_end_us; /**< its clock is the time of the run */
    bool           lost;         /**< answers nothing any more */
    UT_hash_handle hh;
} cw_hollow_server_t;

/** Answer that is on its way to a node. */
typedef struct cw_hollow_answer {
    cw_node_id_t           node;
    cw_server_completion_t completion;
    cw_range_id_t         *ranges; /**< accepted or released */
} cw_hollow_answer_t;

typedef struct cw_hollow_servers {
    cw_hollow_server_t *servers;
    cw_hollow_answer_t *answers;
    size_t              answer_count;
    size_t              answer_capacity;
    uint64_t            calls;
} cw_hollow_servers_t;

void cw_hollow_servers_clear(cw_hollow_servers_t *servers);
/** Takes a call of a node's agent. */
void cw_hollow_servers_call(cw_hollow_servers_t *servers, cw_node_id_t node, const cw_server_call_t *call,
                            cw_time_us_t now);
/** From now on the server answers nothing. */
void cw_hollow_servers_lose(cw_hollow_servers_t *servers, cw_server_id_t server);
/** Hands over the answers collected so far; the caller frees each one's ranges and the array. */
cw_hollow_answer_t *cw_hollow_servers_take(cw_hollow_servers_t *servers, size_t *count);

#endif
