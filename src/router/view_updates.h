/**
 * @file view_updates.h
 * @brief Updates of the list of servers and of the tables of keys that are being received page by page.
 *
 * Pages are collected as they arrive, in any order. An update is applied to the list or tables that this node has when
 * the last page has been received, since the node may then have a later list than the base of the update.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_VIEW_UPDATES_H
#define CEDARWINCH_ROUTER_VIEW_UPDATES_H

#include "model/server_list.h"
#include "peer.pb-c.h"
#include "router/key_tables.h"
#include "router/view_assembly.h"

/** An update of the list that is being received. */
typedef struct cw_list_update {
    cw_view_assembly_t assembly;
    cw_server_list_t  *entries;   /**< entries that changed, or all of them */
    cw_name_set_t      removed;   /**< ids of removed servers */
    cw_name_set_t      zones_out; /**< zones out of service */
} cw_list_update_t;

/** An update of the tables that is being received. */
typedef struct cw_table_update {
    cw_view_assembly_t assembly;
    cw_key_tables_t    tables;
} cw_table_update_t;

/** All updates that are being received. */
typedef struct cw_view_updates cw_view_updates_t;

/** Creates the collection without any update. */
cw_view_updates_t *cw_view_updates_create(void);
/** Frees the collection with all updates. */
void cw_view_updates_free(cw_view_updates_t *updates);

/** Adds a page of the list to its update and returns the update; NULL: the page was received before, or is invalid. */
cw_list_update_t *cw_view_updates_add_list_page(cw_view_updates_t *updates, const Cwp__ServersPage *page,
                                                cw_time_us_t now);
/** The list that results from a complete update, applied to the known list (NULL: none). Empties the update. */
cw_server_list_t *cw_list_update_finish(cw_list_update_t *update, const cw_server_list_t *known);

/** Adds a page of tables to its update and returns the update; NULL: the page was received before, or is invalid. */
cw_table_update_t *cw_view_updates_add_table_page(cw_view_updates_t *updates, const Cwp__TablePage *page,
                                                  cw_time_us_t now);
/** Frees the collected tables; the update is unused afterwards. */
void cw_table_update_clear(cw_table_update_t *tables);

#endif
