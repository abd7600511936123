/**
 * @file adapters.h
 * @brief The daemon's adapters: one for each outside party. Each speaks one dialect (see standins/DIALECT.md) on a
 *        libuv loop and hands typed events to its callbacks. Replacing a dialect replaces one adapter.
 */
#ifndef CEDARWINCH_ADAPTERS_H
#define CEDARWINCH_ADAPTERS_H

#include <uv.h>

#include "cedarwinch/gateway.h"
#include "cedarwinch/ports.h"

/* ---- callers and operators: one HTTP server (src/adapters/http_server.c, caller_http.c, operator_http.c) ---- */

typedef struct cw_http_server cw_http_server_t;

typedef struct cw_http_server_callbacks {
    void *context;
    void (*caller_request)(void *context, const cw_caller_request_t *request);
    void (*caller_cancel)(void *context, uint64_t caller_id); /**< the caller hung up before its answer */
    void (*operator_request)(void *context, uint64_t caller_id, const char *operation, const char *token,
                             const char *file_name, const char *argument);
    bool (*ready)(void *context);
    char *(*metrics)(void *context); /**< malloc()ed text */
} cw_http_server_callbacks_t;

/** Listens on an IP number; port 0 is chosen by the system. */
int      cw_http_server_create(cw_http_server_t **server, uv_loop_t *loop, const char *address, uint16_t port,
                               const cw_http_server_callbacks_t *callbacks);
uint16_t cw_http_server_port(const cw_http_server_t *server);
/** Final answer to a caller; response->request_id (16 bytes) becomes the request-id header. Unknown ids (hung up) are
 *  ignored. */
void cw_http_server_respond(cw_http_server_t *server, uint64_t caller_id, const Cw__ForwardResponse *response);
void cw_http_server_operator_respond(cw_http_server_t *server, uint64_t caller_id,
                                     const Cw__OperatorResponse *response);
/** First step of a planned stop: every answer ends its connection from now on, new ones are still taken. So callers
 *  leave without losing a request that is on its way. */
void cw_http_server_end_connections(cw_http_server_t *server);
/** Second step: no new connections; what is open may still send. */
void cw_http_server_close_listener(cw_http_server_t *server);
/** Stops listening and closes idle connections; busy ones close after their answer. */
void   cw_http_server_stop(cw_http_server_t *server);
size_t cw_http_server_open_connections(const cw_http_server_t *server);
/** Cuts what is left. To be called outside uv_run: it runs the loop until its connections are closed. */
void cw_http_server_free(cw_http_server_t *server);

/* ---- back-end servers (src/adapters/backend_http.c) ---- */

typedef struct cw_backend cw_backend_t;

typedef struct cw_backend_callbacks {
    void *context;
    void (*call_completed)(void *context, const cw_server_completion_t *completion);
    void (*responded)(void *context, const cw_server_response_t *response);
} cw_backend_callbacks_t;

int  cw_backend_create(cw_backend_t **backend, uv_loop_t *loop, const cw_backend_callbacks_t *callbacks);
void cw_backend_call(cw_backend_t *backend, const cw_server_call_t *call);
/** Sends an application request on a pooled connection. Exactly one response follows. */
void cw_backend_request(cw_backend_t *backend, const cw_server_request_t *request);
/** Ends a request that was not sent yet; asks the server to stop one that was. Its one response follows either way. */
void cw_backend_cancel(cw_backend_t *backend, uint64_t request_id);
void cw_backend_free(cw_backend_t *backend);

/* ---- platform: store and machine list (src/adapters/platform_http.c) ---- */

typedef struct cw_platform cw_platform_t;

typedef struct cw_platform_callbacks {
    void *context;
    void (*store_completed)(void *context, const cw_store_completion_t *completion);
    void (*object_changed)(void *context, const char *name, uint64_t version);
    void (*machine_listed)(void *context, const char *name, const char *state);
} cw_platform_callbacks_t;

int  cw_platform_create(cw_platform_t **platform, uv_loop_t *loop, const char *address, uint16_t port,
                        const cw_platform_callbacks_t *callbacks);
void cw_platform_store(cw_platform_t *platform, const cw_store_request_t *request);
/** Starts or stops the watch of the store's objects and the polling of the machine list. */
void cw_platform_watch(cw_platform_t *platform, bool enabled);
void cw_platform_free(cw_platform_t *platform);

/* ---- other nodes (src/daemon/peer_transport.c) ---- */

typedef struct cw_peer_transport cw_peer_transport_t;

typedef struct cw_peer_callbacks {
    void *context;
    void (*received)(void *context, const Cw__Envelope *envelope);
    void (*lost)(void *context, cw_node_id_t node); /**< the connection to a node broke */
} cw_peer_callbacks_t;

int      cw_peer_transport_create(cw_peer_transport_t **transport, uv_loop_t *loop, const char *address, uint16_t port,
                                  const cw_peer_callbacks_t *callbacks);
uint16_t cw_peer_transport_port(const cw_peer_transport_t *transport);
void     cw_peer_transport_learn(cw_peer_transport_t *transport, cw_node_id_t node, const char *address, uint16_t port);
/** Queues a message, connecting first where needed; dropped when the node cannot be reached or its queue is full. */
void cw_peer_transport_send(cw_peer_transport_t *transport, cw_node_id_t to, const Cw__Envelope *envelope);
void cw_peer_transport_free(cw_peer_transport_t *transport);

#endif
