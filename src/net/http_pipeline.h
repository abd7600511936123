/**
 * @file http_pipeline.h
 * @brief Pipeline of the requests of one connection: which request is passed to the handler next, and which answer is
 *        written next.
 *
 * Rules:
 *  - Requests are passed to the handler in the order of arrival and processed concurrently. Their answers are written
 *    in the same order.
 *  - A request with an unsafe method is passed on only after all requests before it are answered, and later requests
 *    only after it is answered. So an answer that closes the connection never hides that a later request was
 *    executed.
 *  - The answer that closes the connection is the one to the last request that was passed on. Later requests have not
 *    been processed: the caller may repeat them, whatever their method is.
 *
 * No I/O, no clock. The owner of an entry embeds it in its own type and frees it.
 */
#ifndef CEDARWINCH_NET_HTTP_PIPELINE_H
#define CEDARWINCH_NET_HTTP_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>

/** State of a request. */
typedef enum cw_pipeline_state {
    CW_PIPELINE_WAITING,    /**< read, but not passed to the handler yet */
    CW_PIPELINE_DISPATCHED, /**< with the handler */
    CW_PIPELINE_ANSWERED    /**< its answer waits for its turn or is being written */
} cw_pipeline_state_t;

/** One request of a pipeline. */
typedef struct cw_pipeline_entry {
    cw_pipeline_state_t       state;
    bool                      is_safe;      /**< its method is safe (RFC 9110, 9.2.1) */
    bool                      last;         /**< no request after it is read */
    size_t                    answer_bytes; /**< size of its answer, once it is answered */
    struct cw_pipeline_entry *prev;         /* names required by utlist */
    struct cw_pipeline_entry *next;
} cw_pipeline_entry_t;

/** The requests of one connection. All zeros: none. */
typedef struct cw_pipeline {
    cw_pipeline_entry_t *entries; /**< oldest first */
    size_t               count;
    size_t               answer_bytes; /**< size of the answers that are not written yet */
    bool                 ended;        /**< no further request is accepted */
} cw_pipeline_t;

/** Limits of a pipeline. */
typedef struct cw_pipeline_limits {
    size_t depth; /**< maximum number of requests of one connection at a time */
    size_t bytes; /**< no further request is read while waiting answers take this many bytes */
} cw_pipeline_limits_t;

/** True if the next request of the connection may be read. */
bool cw_pipeline_has_room(const cw_pipeline_t *pipeline, const cw_pipeline_limits_t *limits);
/** Adds a request that was read, or one that was refused: its state becomes ANSWERED and it is the last one. */
void cw_pipeline_append(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry);
/** The request that may be passed to the handler now; NULL: none. */
cw_pipeline_entry_t *cw_pipeline_next_to_dispatch(const cw_pipeline_t *pipeline);
/** The oldest request if it is answered; otherwise NULL. */
cw_pipeline_entry_t *cw_pipeline_next_to_write(const cw_pipeline_t *pipeline);
/** An entry's answer is complete. */
void cw_pipeline_answered(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry, size_t answer_bytes);
/** True if the answer to this entry, the oldest one, closes the connection. */
bool cw_pipeline_closes(const cw_pipeline_t *pipeline, const cw_pipeline_entry_t *entry);
/** The newest request that was passed to the handler or answered; NULL: none. Later requests wait. */
cw_pipeline_entry_t *cw_pipeline_newest_dispatched(const cw_pipeline_t *pipeline);
/** Removes an entry whose answer is written or no longer needed. */
void cw_pipeline_remove(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry);
/** Ends the pipeline: no further request is accepted. Removes and returns one entry that was not passed to the handler
 * or that comes after such an entry. To be called until it returns NULL. */
cw_pipeline_entry_t *cw_pipeline_end(cw_pipeline_t *pipeline);

#endif
