/**
 * @file key_tables.h
 * @brief Tables of keys as nodes tell them to one another: for each service its ranges, by short names of servers.
 *
 * The leader has them from its assignments and remembers under which number each entry changed last, so that it can
 * tell a node just what changed since the tables that it has. Laying the entries changed after number n over any tables
 * from n on gives the newest ones: entries that did not change are in both.
 */
#ifndef CEDARWINCH_ROUTER_KEY_TABLES_H
#define CEDARWINCH_ROUTER_KEY_TABLES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "assignment/range.h"

enum { CW_TABLE_SERVICES_MAX = 16 };

typedef struct cw_table_entry {
    uint32_t low;
    uint32_t last;
    uint32_t server; /**< hash of the owner's id */
    uint64_t fence;
    bool     routable;   /**< the owner holds the keys now */
    uint64_t changed_in; /**< number of the tables in which it last changed; 0 at nodes that do not lead */
} cw_table_entry_t;

typedef struct cw_key_table {
    char             *service;
    cw_table_entry_t *entries; /**< in order of keys */
    size_t            count;
} cw_key_table_t;

/** All zeros: empty. */
typedef struct cw_key_tables {
    cw_key_table_t items[CW_TABLE_SERVICES_MAX];
    size_t         count;
} cw_key_tables_t;

void cw_key_tables_clear(cw_key_tables_t *tables);
void cw_key_tables_copy(cw_key_tables_t *to, const cw_key_tables_t *from);
/** A service's table, added where there is none; NULL: no room. */
cw_key_table_t *cw_key_tables_service(cw_key_tables_t *tables, const char *service);
/** Adds entries in any order; cw_key_tables_seal puts them in order. */
void cw_key_table_add(cw_key_table_t *table, const cw_table_entry_t *entries, size_t count);
void cw_key_tables_seal(cw_key_tables_t *tables);
/** Takes a service's assignments over; entries that differ are marked with `number`. True: any differs. */
bool cw_key_tables_update(cw_key_tables_t *tables, const char *service, const cw_range_list_t *ranges, uint64_t number);
/** Lays each table of `changes` over the one of its service. Both are sealed. */
void cw_key_tables_overlay(cw_key_tables_t *tables, const cw_key_tables_t *changes);
/** Same for the same contents; changed_in is left out. */
uint64_t cw_key_tables_hash(const cw_key_tables_t *tables);
/** Short name of a server or service between nodes. */
uint32_t cw_name_hash(const char *text);

#endif
