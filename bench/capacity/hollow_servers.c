/**
 * @file hollow_servers.c
 * @brief Modelled back-end servers.
 */
#include "hollow_servers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { FIRST_CAPACITY = 64, SERVER_INCARNATION = 77 };

static void fail_without_memory(const void *memory)
{
    if (memory == NULL) {
        fprintf(stderr, "capacity: no memory\n");
        exit(EXIT_FAILURE);
    }
}

static cw_hollow_server_t *open_server(cw_hollow_servers_t *servers, cw_server_id_t id)
{
    cw_hollow_server_t *server;

    HASH_FIND(hh, servers->servers, &id, sizeof(id), server);
    if (server == NULL) {
        server = calloc(1, sizeof(*server));
        fail_without_memory(server);
        server->id = id;
        HASH_ADD(hh, servers->servers, id, sizeof(id), server);
    }
    return server;
}

void cw_hollow_servers_clear(cw_hollow_servers_t *servers)
{
    cw_hollow_server_t *server = servers->servers;
    cw_hollow_server_t *next;
    size_t              position;

    HASH_CLEAR(hh, servers->servers);
    for (; server != NULL; server = next) {
        next = server->hh.next;
        free(server);
    }
    for (position = 0; position < servers->answer_count; position++) {
        free(servers->answers[position].ranges);
    }
    free(servers->answers);
    memset(servers, 0, sizeof(*servers));
}

static cw_hollow_answer_t *add_answer(cw_hollow_servers_t *servers)
{
    cw_hollow_answer_t *grown;

    if (servers->answer_count == servers->answer_capacity) {
        servers->answer_capacity = servers->answer_capacity == 0 ? FIRST_CAPACITY : 2 * servers->answer_capacity;
        grown = realloc(servers->answers, servers->answer_capacity * sizeof(*grown));
        fail_without_memory(grown);
        servers->answers = grown;
    }
    memset(&servers->answers[servers->answer_count], 0, sizeof(*servers->answers));
    return &servers->answers[servers->answer_count++];
}

/** All ranges that the call names. */
static void list_ranges(cw_hollow_answer_t *answer, const cw_server_call_t *call)
{
    size_t position;

    answer->ranges = calloc(call->grant_count + 1, sizeof(cw_range_id_t));
    fail_without_memory(answer->ranges);
    for (position = 0; position < call->grant_count; position++) {
        answer->ranges[position] = call->grants[position]->range;
    }
    answer->completion.accepted = answer->ranges;
    answer->completion.accepted_count = call->grant_count;
}

void cw_hollow_servers_call(cw_hollow_servers_t *servers, cw_node_id_t node, const cw_server_call_t *call,
                            cw_time_us_t now)
{
    cw_hollow_server_t *server = open_server(servers, call->server->id);
    cw_hollow_answer_t *answer;

    servers->calls++;
    if (server->lost) {
        return;
    }
    answer = add_answer(servers);
    if (call->lease_end_us > server->lease_end_us) {
        server->lease_end_us = call->lease_end_us;
    }
    answer->node = node;
    answer->completion.id = call->id;
    answer->completion.incarnation = SERVER_INCARNATION;
    answer->completion.clock_us = now;
    answer->completion.lease_end_us = server->lease_end_us;
    if (call->kind == CW_SERVER_GRANT || call->kind == CW_SERVER_REVOKE) {
        list_ranges(answer, call);
    }
}

void cw_hollow_servers_lose(cw_hollow_servers_t *servers, cw_server_id_t server)
{
    open_server(servers, server)->lost = true;
}

cw_hollow_answer_t *cw_hollow_servers_take(cw_hollow_servers_t *servers, size_t *count)
{
    cw_hollow_answer_t *answers = servers->answers;

    *count = servers->answer_count;
    servers->answers = NULL;
    servers->answer_count = servers->answer_capacity = 0;
    return answers;
}
