/**
 * @file view_order.h
 * @brief Which page of a leader, and which record read from the store, may replace what a node goes by.
 *
 * Terms rise with each change of leader, numbers with each change within a term. A record carries the term of the
 * leader that wrote it: having read one, a node takes no page of an earlier leader any more, however late it comes.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_ORDER_H
#define CEDARWINCH_ROUTER_VIEW_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/** Where a page belongs: pages of one term, number and base make one list, or one set of tables. */
typedef struct cw_page_place {
    uint64_t term;
    uint64_t number;
    uint64_t base; /**< 0: the whole; else what changed since the one of this number */
    uint32_t page;
    uint32_t pages;
} cw_page_place_t;

/** Is it newer than what a node has (number `has` of term `term`), and can it be laid over that? */
bool cw_page_is_usable(const cw_page_place_t *place, uint64_t term, uint64_t has);
/** May a record of this term replace tables of term `term`? */
bool cw_record_is_usable(uint64_t record_term, uint64_t term);

#endif
