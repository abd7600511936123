/**
 * @file http_server.h
 * @brief HTTP/1.1 server shared by the stand-ins: h2o on a libuv loop, with the connection behaviour of a modelled
 *        server (cost of a new connection, bound on connections, cut connections, late or truncated answers).
 */
#ifndef CEDARWINCH_STANDINS_HTTP_SERVER_H
#define CEDARWINCH_STANDINS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

typedef struct cw_standin_server   cw_standin_server_t;
typedef struct cw_standin_exchange cw_standin_exchange_t;

/** A request taken in, until it is answered or dropped. Strings end with NUL and are the exchange's. */
struct cw_standin_exchange {
    const char *method;
    const char *path;  /**< without query, as sent */
    const char *query; /**< behind '?', "" when there is none */
    const char *body;
    size_t      body_length;
};

typedef struct cw_standin_header {
    const char *name; /**< lower case */
    const char *value;
} cw_standin_header_t;

typedef struct cw_standin_answer {
    int                        status;
    const cw_standin_header_t *headers;
    size_t                     header_count;
    const char                *body; /**< copied */
    size_t                     body_length;
    bool                       truncate; /**< announce the whole body, send half of it and close */
} cw_standin_answer_t;

typedef struct cw_standin_server_options {
    const char *address;
    uint16_t    port;             /**< 0: chosen by the system */
    uint32_t    accept_delay_ms;  /**< cost of a new connection */
    uint32_t    connection_limit; /**< further ones are closed at once; 0: none */
    void       *context;
    /** Takes over the exchange: exactly one respond or drop must follow, now or later. */
    void (*request)(void *context, cw_standin_exchange_t *exchange);
} cw_standin_server_options_t;

int cw_standin_server_create(cw_standin_server_t **server, uv_loop_t *loop, const cw_standin_server_options_t *options);
uint16_t cw_standin_server_port(const cw_standin_server_t *server);
/** Stops accepting; open connections go on. */
void     cw_standin_server_stop(cw_standin_server_t *server);
void     cw_standin_server_cut_connections(cw_standin_server_t *server);
void     cw_standin_server_set_answer_delay(cw_standin_server_t *server, uint32_t delay_ms);
uint64_t cw_standin_server_connections_accepted(const cw_standin_server_t *server);
uint64_t cw_standin_server_connections_open(const cw_standin_server_t *server);

/** Value of a request header (lower-case name), NULL: not there. Valid until the answer. */
const char *cw_standin_exchange_header(const cw_standin_exchange_t *exchange, const char *name);
/** Copies a query parameter's value, not percent-decoded; false: not there or too long. */
bool cw_standin_exchange_parameter(const cw_standin_exchange_t *exchange, const char *name, char *value, size_t size);

void cw_standin_respond(cw_standin_exchange_t *exchange, const cw_standin_answer_t *answer);
/** Answers with a JSON object; takes over the reference. */
struct json_t;
void cw_standin_respond_json(cw_standin_exchange_t *exchange, int status, struct json_t *body);
void cw_standin_respond_status(cw_standin_exchange_t *exchange, int status);
void cw_standin_respond_error(cw_standin_exchange_t *exchange, int status, const char *error);
/** Closes the connection without an answer. */
void cw_standin_drop(cw_standin_exchange_t *exchange);

#endif
