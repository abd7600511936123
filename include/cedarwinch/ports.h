/**
 * @file ports.h
 * @brief What the core's state machines ask of the world around them.
 *
 * The daemon implements these with sockets, the simulator with a modelled network. No call blocks and none calls
 * back into the caller before it returns. Messages stay the caller's: an implementation packs or copies them.
 */
#ifndef CEDARWINCH_PORTS_H
#define CEDARWINCH_PORTS_H

#include "cedarwinch/types.h"

typedef enum cw_store_operation { CW_STORE_READ, CW_STORE_WRITE, CW_STORE_LIST } cw_store_operation_t;

/** Request to the platform's store. */
typedef struct cw_store_request {
    uint64_t             id; /**< echoed in the completion */
    cw_store_operation_t operation;
    const char          *name; /**< object name, or prefix for a list */
    const void          *value;
    size_t               value_length;
    uint64_t             expected_version; /**< of a write; 0: must not exist */
} cw_store_request_t;

/** Object found by a read (one) or a list (all, without values). */
typedef struct cw_store_object {
    const char *name;
    uint64_t    version;
    const void *value;
    size_t      value_length;
} cw_store_object_t;

/** error: 0; CW_ERROR_NOT_FOUND; CW_ERROR_CONFLICT (412); CW_ERROR_UNAVAILABLE (nothing happened);
 *  CW_ERROR_UNKNOWN (a write may have taken effect). */
typedef struct cw_store_completion {
    uint64_t                 id;
    int                      error;
    uint64_t                 version;
    const cw_store_object_t *objects;
    size_t                   object_count;
} cw_store_completion_t;

/** Control call to a back-end server: see the back-end adapter for what each answers. */
typedef enum cw_server_call_kind {
    CW_SERVER_READ_STATE,
    CW_SERVER_RENEW_LEASE,
    CW_SERVER_GRANT,
    CW_SERVER_REVOKE
} cw_server_call_kind_t;

typedef struct cw_server_call {
    uint64_t                       id;
    cw_server_call_kind_t          kind;
    const Cw__ServerConfiguration *server;
    cw_incarnation_t               incarnation;
    int64_t                        lease_end_us;
    const Cw__Grant *const        *grants; /**< grant, revoke */
    size_t                         grant_count;
    int64_t                        timeout_us;
} cw_server_call_t;

typedef struct cw_server_completion {
    uint64_t             id;
    int                  error; /**< 0; CW_ERROR_CONFLICT; CW_ERROR_UNAVAILABLE; CW_ERROR_UNKNOWN; CW_ERROR_TIMEOUT */
    cw_incarnation_t     incarnation;
    int64_t              clock_us;
    int64_t              lease_end_us;
    bool                 draining;
    uint32_t             active_requests;
    const cw_range_id_t *accepted; /**< grant: accepted; revoke: released */
    size_t               accepted_count;
    const cw_range_id_t *refused;
    size_t               refused_count;
    cw_fence_t           highest;
} cw_server_completion_t;

/** Application request to a back-end server. */
typedef struct cw_server_request {
    uint64_t                       id;
    const Cw__ServerConfiguration *server;
    const Cw__ForwardRequest      *request;
    int64_t                        timeout_us;
} cw_server_request_t;

typedef struct cw_ports {
    void *context;
    void (*send)(void *context, cw_node_id_t to, Cw__Envelope *envelope);
    void (*learn_node)(void *context, const Cw__NodeInfo *node); /**< address for later sends */
    void (*store)(void *context, const cw_store_request_t *request);
    void (*server_call)(void *context, const cw_server_call_t *call);
    void (*server_request)(void *context, const cw_server_request_t *request);
    void (*server_cancel)(void *context, uint64_t request_id);
    /** Final answer to a caller, exactly once for each request taken in. */
    void (*respond)(void *context, uint64_t caller_id, const Cw__ForwardResponse *response);
    void (*operator_respond)(void *context, uint64_t caller_id, const Cw__OperatorResponse *response);
} cw_ports_t;

/** Result of an application request, given to the forwarder by the adapter or the simulator. */
typedef enum cw_server_result {
    CW_SERVER_ANSWERED, /**< whole answer, the server ran it */
    CW_SERVER_NOT_SENT, /**< no byte left for the server */
    CW_SERVER_REFUSED,  /**< the server itself said that it did not run it */
    CW_SERVER_BROKEN    /**< connection ended, answer cut short or time over after the first byte: not known */
} cw_server_result_t;

typedef struct cw_server_response {
    uint64_t           id;
    cw_server_result_t result;
    uint32_t           status;
    const char        *reason; /**< cw-not-run word on CW_SERVER_REFUSED */
    Cw__Header       **headers;
    size_t             header_count;
    const void        *body;
    size_t             body_length;
} cw_server_response_t;

#endif
