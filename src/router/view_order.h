/**
 * @file view_order.h
 * @brief Which page sent by a leader, and which record read from the store, may replace the list or the tables that a
 * node uses.
 *
 * The term rises with each change of leader, and the version with each change within a term. A record carries the term
 * of the leader that wrote it. After reading it, a node accepts no page of an earlier leader, however late the page
 * arrives.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_ORDER_H
#define CEDARWINCH_ROUTER_VIEW_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/** Which update a page is part of: pages of the same term, version and base form one list, or one set of tables. */
typedef struct cw_page_position {
    uint64_t term;
    uint64_t version;
    uint64_t base; /**< 0: the page is part of the whole content; otherwise only of the changes since this version */
    uint32_t page;
    uint32_t pages;
} cw_page_position_t;

/** True if the page is newer than the list or tables of a node (version `has` of term `term`) and can be applied to
 * them. */
bool cw_page_is_usable(const cw_page_position_t *position, uint64_t term, uint64_t has);
/** True if a record of this term may replace tables of term `term`. */
bool cw_record_is_usable(uint64_t record_term, uint64_t term);

#endif
