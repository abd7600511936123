/**
 * @file body_budget.h
 * @brief Limit of the memory for request bodies of callers over all connections of a node.
 *
 * Memory for a body is reserved as soon as its length is known, or piece by piece for a chunked body. While there is
 * not enough memory, the body waits: its connection is not read, which slows its sender down by TCP flow control. A
 * body that does not get its memory in time is refused with 503 before any of it is forwarded.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_NET_BODY_BUDGET_H
#define CEDARWINCH_NET_BODY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/** The limit and the bytes in use. */
typedef struct cw_body_budget {
    size_t limit_bytes;    /**< limit, in bytes */
    size_t reserved_bytes; /**< bytes reserved now */
} cw_body_budget_t;

/** Reserves bytes. Returns false, and reserves nothing, if the limit would be exceeded. */
bool cw_body_budget_reserve(cw_body_budget_t *budget, size_t bytes);
/** Returns reserved bytes. */
void cw_body_budget_release(cw_body_budget_t *budget, size_t bytes);

#endif
