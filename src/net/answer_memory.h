/**
 * @file answer_memory.h
 * @brief Limit of the memory for the bodies of servers' answers that are being read, over all connections of a node.
 *
 * Memory is reserved as a body arrives (body_budget.h). If the limit would be exceeded, the answer that holds most is
 * given up, which may be the one that asks. An answer does not wait for memory as a caller's body does: several that
 * wait for one another would all run into their time limits, and those of other servers with them. Under this rule a
 * body without end ends first, and a small answer never ends for a large one.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_NET_ANSWER_MEMORY_H
#define CEDARWINCH_NET_ANSWER_MEMORY_H

#include "net/body_budget.h"

/** Memory of one answer. All zeros: none. */
typedef struct cw_answer_share {
    size_t                  bytes; /**< reserved */
    struct cw_answer_share *prev;  /**< names required by utlist */
    struct cw_answer_share *next;
} cw_answer_share_t;

/** The limit, and the answers that have memory. All zeros with a limit: none has. */
typedef struct cw_answer_memory {
    cw_body_budget_t   budget;
    cw_answer_share_t *shares;
} cw_answer_memory_t;

/** Reserves more bytes for an answer. Returns false, and reserves nothing, if the limit would be exceeded. */
bool cw_answer_memory_reserve(cw_answer_memory_t *memory, cw_answer_share_t *share, size_t bytes);
/** Returns all bytes of an answer. */
void cw_answer_memory_release(cw_answer_memory_t *memory, cw_answer_share_t *share);
/** The answer that has most memory; NULL: none has any. */
cw_answer_share_t *cw_answer_memory_largest(const cw_answer_memory_t *memory);

#endif
