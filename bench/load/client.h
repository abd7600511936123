/**
 * @file client.h
 * @brief HTTP/1.1 client of the load tool: calls to one gateway over a bounded set of kept connections.
 */
#ifndef CEDARWINCH_BENCH_CLIENT_H
#define CEDARWINCH_BENCH_CLIENT_H

#include <uv.h>

#include <h2o.h>

#include <h2o/http1client.h>

#include "../common/call_end.h"
#include "cedarwinch/types.h"

enum {
    CW_REASON_TEXT = 48,
    CW_REQUEST_ID_SIZE = 37,
    CW_ANSWER_KEPT = 4096 /**< bytes of an answer's body that are kept */
};

typedef struct cw_client         cw_client_t;
typedef struct cw_gateway_target cw_gateway_target_t;

/** One request and its answer. */
typedef struct cw_call {
    /* set by the caller */
    char   *text; /**< head and body; malloc()ed, freed with the call */
    size_t  text_length;
    int64_t wait_ms;     /**< for the answer, from its sending */
    bool    from_server; /**< the answer comes from a back-end server, which says cw-not-run or nothing */
    void (*ended)(struct cw_call *call);
    /* set by the client */
    cw_call_end_t end;
    int           status; /**< 0: no answer */
    int64_t       sent_us;
    int64_t       ended_us;
    char          reason[CW_REASON_TEXT];
    char          answered_id[CW_REQUEST_ID_SIZE]; /**< request-id header of the answer */
    char          body[CW_ANSWER_KEPT];
    size_t        body_length;
    /* the client's own */
    cw_gateway_target_t *target;
    h2o_http1client_t   *http;
    h2o_iovec_t          buffer;
    uv_timer_t           timer;
    struct cw_call      *prev;
    struct cw_call      *next;
} cw_call_t;

int         cw_client_create(cw_client_t **client, uv_loop_t *loop, uint32_t connections_per_gateway);
int         cw_client_add_gateway(cw_client_t *client, const char *address, uint16_t port);
size_t      cw_client_gateways(const cw_client_t *client);
const char *cw_client_gateway_name(const cw_client_t *client, size_t gateway);
/** Sends a zeroed, filled in call; it waits for a connection when all are in use. ended() is called exactly once,
 *  later; the call is freed after it returns. */
void cw_client_send(cw_client_t *client, size_t gateway, cw_call_t *call);

#endif
