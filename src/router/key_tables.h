/**
 * @file key_tables.h
 * @brief Tables of keys as nodes send them to each other: the key ranges of each service and the hash of their owners.
 *
 * The leader builds the tables from its assignments and keeps the version in which each entry changed last, so that it
 * can send a node only what changed since the tables that the node has. Applying the entries that changed after version
 * n to tables of version n or later yields the newest ones, since unchanged entries are in both.
 */
#ifndef CEDARWINCH_ROUTER_KEY_TABLES_H
#define CEDARWINCH_ROUTER_KEY_TABLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "assignment/range.h"

enum { CW_TABLE_SERVICES_MAX = 16 /**< services divided by key */ };

/** A range of keys and its owner. */
typedef struct cw_table_entry {
    uint32_t low;        /**< first key */
    uint32_t last;       /**< last key */
    uint32_t server;     /**< hash of the owner's id (cw_name_hash) */
    uint64_t fence;      /**< fencing number of the owner */
    bool     routable;   /**< the owner holds the keys now */
    uint64_t changed_in; /**< version of the tables in which the entry changed last; 0 at nodes that do not lead */
} cw_table_entry_t;

/** The table of one service. */
typedef struct cw_key_table {
    char             *service;
    cw_table_entry_t *entries; /**< in order of keys, once sealed */
    size_t            count;
} cw_key_table_t;

/** The tables of all services. All zeros: empty. */
typedef struct cw_key_tables {
    cw_key_table_t items[CW_TABLE_SERVICES_MAX];
    size_t         count;
} cw_key_tables_t;

/** Frees all tables; the value is empty afterwards. */
void cw_key_tables_clear(cw_key_tables_t *tables);
/** Replaces the tables `to` by a copy of `from`. */
void cw_key_tables_copy(cw_key_tables_t *to, const cw_key_tables_t *from);
/** The table of a service, added if it is missing; NULL: there is no room for another one. */
cw_key_table_t *cw_key_tables_service(cw_key_tables_t *tables, const char *service);
/** Adds entries in any order; cw_key_tables_seal sorts them. */
void cw_key_table_add(cw_key_table_t *table, const cw_table_entry_t *entries, size_t count);
/** Sorts the entries of all tables by key. */
void cw_key_tables_seal(cw_key_tables_t *tables);
/** Replaces a service's table by its assignments; entries that differ are marked with `version`. Returns true if any
 * does. */
bool cw_key_tables_update(cw_key_tables_t *tables, const char *service, const cw_range_list_t *ranges,
                          uint64_t version);
/** Applies each table of `changes` to the one of its service: its ranges replace what they cover. Both are sealed. */
void cw_key_tables_apply_changes(cw_key_tables_t *tables, const cw_key_tables_t *changes);
/** Hash of the contents without changed_in, the same whatever the order of the tables. */
uint64_t cw_key_tables_hash(const cw_key_tables_t *tables);
/** Hash by which nodes refer to a server, a service or a node in datagrams. */
uint32_t cw_name_hash(const char *text);

#endif
