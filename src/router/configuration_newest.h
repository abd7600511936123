/**
 * @file configuration_newest.h
 * @brief The highest version of the configuration that other nodes have in force, and when this node reads it from the
 * store because no node has sent it.
 *
 * Rules:
 *  - The wait for other nodes to send a version starts when one of them is first known to have a higher version than
 *    this node. A still higher version does not restart it.
 *  - Reading the store restarts the wait.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_CONFIGURATION_NEWEST_H
#define CEDARWINCH_ROUTER_CONFIGURATION_NEWEST_H

#include <stdbool.h>

#include "base/time.h"

/** All zeros: no other node is known to have a configuration. */
typedef struct cw_configuration_newest {
    uint64_t     version; /**< highest version that another node has in force */
    cw_time_us_t since;   /**< start of the wait: first known to be higher than this node's, or last read */
    cw_time_us_t read_at; /**< start of the last read from the store for this reason; 0: none */
} cw_configuration_newest_t;

/** Records that another node has `version` in force while this node has `own` (0: none). */
void cw_configuration_newest_record(cw_configuration_newest_t *newest, uint64_t version, uint64_t own,
                                    cw_time_us_t now);
/** True if other nodes have had a higher version than `own` for at least `max_wait` and none has sent it. */
bool cw_configuration_newest_is_overdue(const cw_configuration_newest_t *newest, uint64_t own, cw_time_us_t max_wait,
                                        cw_time_us_t now);
/** Records that this node now reads the store because the version is overdue. */
void cw_configuration_newest_start_read(cw_configuration_newest_t *newest, cw_time_us_t now);
/** For a version that is too large to be sent by other nodes. Returns true, and records a read of the store, if the
 * last one began at least `interval` ago; the caller then reads. */
bool cw_configuration_newest_try_start_read(cw_configuration_newest_t *newest, cw_time_us_t interval, cw_time_us_t now);

#endif
