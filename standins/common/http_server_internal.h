/**
 * @file http_server_internal.h
 * @brief Structures shared by http_server.c and exchange.c.
 */
#ifndef CEDARWINCH_STANDINS_HTTP_SERVER_INTERNAL_H
#define CEDARWINCH_STANDINS_HTTP_SERVER_INTERNAL_H

#include <uv.h>

#include <h2o.h>

#include "http_server.h"

/** An accepted connection; tcp is first, so that its handle can be cast back. */
typedef struct connection {
    uv_tcp_t             tcp;
    uv_timer_t           timer; /**< pays the connection's cost */
    cw_standin_server_t *server;
    struct connection   *prev;
    struct connection   *next;
} connection_t;

struct cw_standin_server {
    uv_loop_t                  *loop;
    cw_standin_server_options_t options;
    h2o_globalconf_t            configuration;
    h2o_context_t               h2o;
    h2o_accept_ctx_t            accept;
    uv_tcp_t                    listener;
    connection_t               *connections;
    uint64_t                    accepted;
    uint64_t                    open;
    uint32_t                    answer_delay_ms;
    uint16_t                    port;
};

cw_standin_exchange_t *cw_standin_exchange_create(cw_standin_server_t *server, h2o_req_t *request);
/** Breaks a connection in both directions; its owner notices on the next read or write. */
void cw_standin_connection_cut(uv_tcp_t *tcp);

#endif
