/**
 * @file pipeline.h
 * @brief A caller's connection on which several requests are sent before the first is answered.
 */
#ifndef CEDARWINCH_STANDINS_CALLERS_PIPELINE_H
#define CEDARWINCH_STANDINS_CALLERS_PIPELINE_H

#include <stddef.h>
#include <uv.h>

#include "net/http_header.h"

/** How a request of the connection ended. */
typedef enum pipeline_end {
    PIPELINE_ANSWERED,
    PIPELINE_UNREAD,  /**< it followed a request whose answer closed the connection, so the node has not read it */
    PIPELINE_CUT,     /**< the connection ended though no answer had announced that */
    PIPELINE_NOT_SENT /**< the connection could not be made */
} pipeline_end_t;

/** The end of one request; the fields besides `end` are set for PIPELINE_ANSWERED only. */
typedef struct pipeline_answer {
    pipeline_end_t          end;
    int                     status;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
} pipeline_answer_t;

/** Called at the end of a request. */
typedef void (*pipeline_callback_t)(void *request, const pipeline_answer_t *answer);

/** Sends bytes that contain `count` requests on a new connection. `answered` is called once for each of `requests`, in
 * order. */
void pipeline_send(uv_loop_t *loop, const char *address, const char *bytes, size_t length, void *const *requests,
                   size_t count, pipeline_callback_t answered);

#endif
