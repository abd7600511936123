/**
 * @file key_table.h
 * @brief State that a server keeps for each key: how many requests took effect since it became the key's owner. A key
 *        with none is cold.
 */
#ifndef CEDARWINCH_STANDINS_KEY_TABLE_H
#define CEDARWINCH_STANDINS_KEY_TABLE_H

#include "cedarwinch/types.h"

typedef struct cw_key_table cw_key_table_t;

cw_key_table_t *cw_key_table_create(void);
bool            cw_key_table_is_cold(const cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t key_hash);
/** Counts an effect; returns the key's new count. */
uint64_t cw_key_table_count(cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t key_hash);
/** Forgets the keys of [low, last]. */
void cw_key_table_forget(cw_key_table_t *table, cw_service_id_t service, cw_key_hash_t low, cw_key_hash_t last);

#endif
