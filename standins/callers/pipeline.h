/**
 * @file pipeline.h
 * @brief A caller's connection on which several requests are sent before the first is answered.
 */
#ifndef CEDARWINCH_STANDINS_CALLERS_PIPELINE_H
#define CEDARWINCH_STANDINS_CALLERS_PIPELINE_H

#include <stddef.h>
#include <uv.h>

#include "net/http_header.h"

/** Why a request of the connection ended. */
typedef enum pipeline_end {
    PIPELINE_ANSWERED,
    PIPELINE_UNREAD,  /**< it was behind an answer that closed the connection: nobody has read it */
    PIPELINE_CUT,     /**< the connection ended though it had not been said that it would */
    PIPELINE_NOT_SENT /**< no connection */
} pipeline_end_t;

typedef struct pipeline_answer {
    pipeline_end_t          end;
    int                     status;
    const cw_http_fields_t *fields;
    const char             *body;
    size_t                  body_length;
} pipeline_answer_t;

typedef void (*pipeline_answered_t)(void *request, const pipeline_answer_t *answer);

/** Sends these bytes, which hold `count` requests, on a connection of their own. Each of `requests` is called back
 * once, in order. */
void pipeline_send(uv_loop_t *loop, const char *address, const char *bytes, size_t length, void *const *requests,
                   size_t count, pipeline_answered_t answered);

#endif
