/**
 * @file table_publication.h
 * @brief When the leader brings changes of its assignments into the tables that all nodes go by.
 *
 * Each grant that is answered may change a table; a table is made and sent as a whole number. A change is published at
 * once where none was lately, and else together with those that follow, after a pause that grows with the nodes it is
 * sent to: so thousands of first grants make tens of tables, whose datagrams stay within the leader's budget.
 *
 * From its first change on, the last tables are no longer true: a leader states so before it has published the next.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_TABLE_PUBLICATION_H
#define CEDARWINCH_ROUTER_TABLE_PUBLICATION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/time.h"

/** All zeros: nothing to publish. */
typedef struct cw_table_publication {
    bool         is_due;
    cw_time_us_t changed_at;   /**< first change that is not published */
    cw_time_us_t published_at; /**< last; 0: never */
} cw_table_publication_t;

/** An assignment has changed. */
void cw_table_publication_note_change(cw_table_publication_t *publication, cw_time_us_t now);
/** Are tables to be published now? targets: nodes that they are sent to, datagrams_a_second: that the leader may send.
 */
bool cw_table_publication_is_due(const cw_table_publication_t *publication, size_t targets, double datagrams_a_second,
                                 cw_time_us_t now);
/** They are. */
void cw_table_publication_done(cw_table_publication_t *publication, cw_time_us_t now);

#endif
