/**
 * @file replaced_versions.h
 * @brief Until when earlier lists, or tables, of the leader were true: evidence for nodes that do not have the newest
 * yet.
 *
 * While changes follow one another closely, a large fleet has mostly the last but one or two. A node with an earlier
 * number goes by something that was true until the leader knew better, and the leader tells when that was: so its age
 * counts from then, not from when the node last had the newest.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_REPLACED_VERSIONS_H
#define CEDARWINCH_ROUTER_REPLACED_VERSIONS_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_REPLACED_VERSIONS_MAX = 8 /**< numbers that a heartbeat tells of; 3 bytes each */ };

/** All zeros: none. */
typedef struct cw_replaced_versions {
    uint64_t     newest;                             /**< replaced; 0: none */
    cw_time_us_t valid_at[CW_REPLACED_VERSIONS_MAX]; /**< by number, modulo */
    size_t       count;
} cw_replaced_versions_t;

/** A new term: no number of it has been replaced. */
void cw_replaced_versions_begin(cw_replaced_versions_t *replaced);
/** This number, one more than the last, is replaced; it was surely true until then. */
void cw_replaced_versions_add(cw_replaced_versions_t *replaced, uint64_t number, cw_time_us_t valid_at);
/** Ages of the last numbers that were replaced, the newest first, milliseconds. Returns how many. */
size_t cw_replaced_versions_ages(const cw_replaced_versions_t *replaced, cw_time_us_t now,
                                 uint32_t ages_ms[CW_REPLACED_VERSIONS_MAX]);
/** When the number `has` was surely true, by ages that the leader told with its newest number; 0: not known. */
cw_time_us_t cw_replaced_versions_true_at(uint64_t has, uint64_t newest, const uint32_t *ages_ms, size_t count,
                                          cw_time_us_t now);

#endif
