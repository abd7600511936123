/**
 * @file configuration_newest.h
 * @brief The highest version of the configuration that other nodes have, and when this node reads it from the store
 * because no node has sent it.
 *
 * Rules:
 *  - The time to get a version from other nodes counts from when one of them first had a higher one than this node; a
 *    still higher one does not restart it.
 *  - A reading of the store restarts it.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_NEWEST_H
#define CEDARWINCH_ROUTER_CONFIGURATION_NEWEST_H

#include <stdbool.h>

#include "base/time.h"

/** All zeros: no other node is known to have one. */
typedef struct cw_configuration_newest {
    uint64_t     version; /**< highest that another node has in force */
    cw_time_us_t since;   /**< when one was first higher than this node's, or was last read */
    cw_time_us_t read_at; /**< last reading of the store for it; 0: none */
} cw_configuration_newest_t;

/** Another node has `version` in force, this one `own` (0: none). */
void cw_configuration_newest_note(cw_configuration_newest_t *newest, uint64_t version, uint64_t own, cw_time_us_t now);
/** Have other nodes had a higher version than `own` for at least `patience`, and this node not got it? */
bool cw_configuration_newest_is_overdue(const cw_configuration_newest_t *newest, uint64_t own, cw_time_us_t patience,
                                        cw_time_us_t now);
/** It is being read from the store, since it is overdue. */
void cw_configuration_newest_read(cw_configuration_newest_t *newest, cw_time_us_t now);
/** It is too large to come from other nodes. True, and noted: it is to be read now, as the last reading is at least
 * `pause` ago. */
bool cw_configuration_newest_read_large(cw_configuration_newest_t *newest, cw_time_us_t pause, cw_time_us_t now);

#endif
