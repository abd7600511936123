/**
 * @file event_wait.h
 * @brief Runs a loop until a condition holds. A guard far above any expected wait ends a test that would hang.
 */
#ifndef CEDARWINCH_EVENT_WAIT_H
#define CEDARWINCH_EVENT_WAIT_H

#include <stdbool.h>
#include <uv.h>

typedef bool (*cw_condition_t)(void *context);

/** True: the condition holds. False: the guard ran out first. */
bool cw_event_wait(uv_loop_t *loop, cw_condition_t condition, void *context);
/** Runs the loop until all its handles are closed. False: some handle stayed open. */
bool cw_event_drain(uv_loop_t *loop);

/** A raw TCP connection for tests: collects what it receives. */
typedef struct cw_raw_client {
    uv_tcp_t tcp;
    char    *received;
    size_t   length;
    bool     ended;
    bool     closed;
} cw_raw_client_t;

void cw_raw_client_connect(cw_raw_client_t *client, uv_loop_t *loop, uint16_t port);
void cw_raw_client_send(cw_raw_client_t *client, const void *data, size_t length);
void cw_raw_client_close(cw_raw_client_t *client);
/** Number of times a text stands in what was received. */
size_t cw_raw_client_count(const cw_raw_client_t *client, const char *text);

/** A server for tests that answers each connection's first complete request head by a script. */
typedef struct cw_raw_server {
    uv_tcp_t    tcp;
    const char *answer;                         /**< written once the head arrived; NULL: no answer */
    bool        cut;                            /**< close the connection after the answer */
    const char *(*choose)(const char *request); /**< when set: the answer by the request; NULL: none */
    size_t requests;                            /**< heads seen */
    size_t connections;
    char   last[8192]; /**< latest bytes received on any connection */
    size_t open_connections;
} cw_raw_server_t;

uint16_t cw_raw_server_start(cw_raw_server_t *server, uv_loop_t *loop);
void     cw_raw_server_stop(cw_raw_server_t *server);

#endif
