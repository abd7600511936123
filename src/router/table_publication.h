/**
 * @file table_publication.h
 * @brief When the leader publishes changes of its assignments in the tables by which all nodes route.
 *
 * Each answered grant may change a table, and tables are built and sent with a new version. A change is published at
 * once if none was published recently. Otherwise it is published together with the changes that follow it, after an
 * interval that grows with the number of nodes to send to. So thousands of first grants lead to tens of tables, whose
 * datagrams stay within the leader's budget.
 *
 * From the first unpublished change on, the last tables are outdated. A leader announces that in its heartbeats before
 * it publishes the next tables.
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
    cw_time_us_t changed_at;   /**< first change that is not published yet */
    cw_time_us_t published_at; /**< last publication; 0: never */
} cw_table_publication_t;

/** Records that an assignment has changed. */
void cw_table_publication_record_change(cw_table_publication_t *publication, cw_time_us_t now);
/** True if tables are to be published now. targets: number of nodes to send to; datagrams_per_second: how many the
 * leader may send. */
bool cw_table_publication_is_due(const cw_table_publication_t *publication, size_t targets, double datagrams_per_second,
                                 cw_time_us_t now);
/** Records that the tables have been published. */
void cw_table_publication_done(cw_table_publication_t *publication, cw_time_us_t now);

#endif
