/**
 * @file view_updates.h
 * @brief Updates of the list of servers and of the tables of keys that are being received page by page.
 *
 * Pages are kept as they come, in any order, and are laid over what this node has once the last one is here: by then it
 * may have a later list than the one the update was made for.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_UPDATES_H
#define CEDARWINCH_ROUTER_VIEW_UPDATES_H

#include "model/server_list.h"
#include "peer.pb-c.h"
#include "router/key_tables.h"
#include "router/view_assembly.h"

/** An update of the list. */
typedef struct cw_list_parts {
    cw_view_assembly_t assembly;
    cw_server_list_t  *entries; /**< changed, or all of them */
    cw_name_set_t      removed; /**< ids */
    cw_name_set_t      zones_out;
} cw_list_parts_t;

/** An update of the tables. */
typedef struct cw_table_parts {
    cw_view_assembly_t assembly;
    cw_key_tables_t    tables;
} cw_table_parts_t;

typedef struct cw_view_updates cw_view_updates_t;

cw_view_updates_t *cw_view_updates_create(void);
void               cw_view_updates_free(cw_view_updates_t *parts);

/** The update that this page now belongs to; NULL: the page was here already, or is none. */
cw_list_parts_t *cw_view_updates_take_list(cw_view_updates_t *parts, const Cwp__ServersPage *page, cw_time_us_t now);
/** The list that a whole update leads to from the known one (NULL: none). The parts are empty after that. */
cw_server_list_t *cw_list_parts_finish(cw_list_parts_t *list, const cw_server_list_t *known);

cw_table_parts_t *cw_view_updates_take_tables(cw_view_updates_t *parts, const Cwp__TablePage *page, cw_time_us_t now);
void              cw_table_parts_clear(cw_table_parts_t *tables);

#endif
