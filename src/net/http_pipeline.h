/**
 * @file http_pipeline.h
 * @brief Order of the requests of one connection: which one is handed over next, which answer is written next.
 *
 * Rules:
 *  - Requests are handed over in their order, side by side, and their answers are written in that order.
 *  - One that may not be repeated is handed over only when all before it are answered, and nothing behind it is handed
 *    over before it is answered. So an answer that closes the connection never hides that a later request ran.
 *  - The answer that closes the connection is the one to the last request that was handed over. What is behind it has
 *    not been read: its caller may send it again, whatever it is.
 *
 * No I/O, no clock. Entries belong to their owner, which embeds them.
 */
#ifndef CEDARWINCH_NET_HTTP_PIPELINE_H
#define CEDARWINCH_NET_HTTP_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>

typedef enum cw_pipeline_state {
    CW_PIPELINE_WAITING,     /**< read, not handed over yet */
    CW_PIPELINE_HANDED_OVER, /**< the handler's */
    CW_PIPELINE_ANSWERED     /**< its answer waits for its turn, or is being written */
} cw_pipeline_state_t;

typedef struct cw_pipeline_entry {
    cw_pipeline_state_t       state;
    bool                      is_safe;      /**< by its method (RFC 9110, 9.2.1) */
    bool                      last;         /**< nothing behind it is read */
    size_t                    answer_bytes; /**< of an answered one */
    struct cw_pipeline_entry *prev;         /* utlist's names */
    struct cw_pipeline_entry *next;
} cw_pipeline_entry_t;

typedef struct cw_pipeline {
    cw_pipeline_entry_t *entries; /**< oldest first */
    size_t               count;
    size_t               answer_bytes; /**< of answers that are not written yet */
    bool                 ended;        /**< no further request is taken up */
} cw_pipeline_t;

typedef struct cw_pipeline_limits {
    size_t depth; /**< requests of one connection that are taken up at once */
    size_t bytes; /**< no further one is taken up while answers that wait take this much */
} cw_pipeline_limits_t;

/** May the next request of the connection be read? */
bool cw_pipeline_has_room(const cw_pipeline_t *pipeline, const cw_pipeline_limits_t *limits);
/** A request was read, or refused (then its state is ANSWERED and it is the last one). */
void cw_pipeline_append(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry);
/** The request that may be handed over now; NULL: none. */
cw_pipeline_entry_t *cw_pipeline_next_to_hand_over(const cw_pipeline_t *pipeline);
/** The oldest request, if it is answered; NULL otherwise. */
cw_pipeline_entry_t *cw_pipeline_next_to_write(const cw_pipeline_t *pipeline);
void                 cw_pipeline_answered(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry, size_t answer_bytes);
/** Does the answer to this entry, the oldest, close the connection? */
bool cw_pipeline_closes(const cw_pipeline_t *pipeline, const cw_pipeline_entry_t *entry);
/** The newest request that was handed over or answered; NULL: none. Those behind it wait. */
cw_pipeline_entry_t *cw_pipeline_newest_begun(const cw_pipeline_t *pipeline);
/** Takes an entry out: its answer is written, or nobody waits for it. */
void cw_pipeline_remove(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry);
/** No further request is taken up. Gives one entry that was not handed over, or is behind such a one, taken out; to be
 * called until it gives NULL. */
cw_pipeline_entry_t *cw_pipeline_end(cw_pipeline_t *pipeline);

#endif
