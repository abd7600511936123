/**
 * @file replaced_versions.h
 * @brief Until when earlier lists, or tables, of the leader were valid: evidence for nodes that do not have the newest
 * one yet.
 *
 * While changes follow each other closely, most nodes of a large fleet are one or two versions behind. The list or
 * tables of such a node were valid until the leader learned of the next change. The leader sends the age of that
 * moment, and the node computes the age of its list from it instead of from the last time at which it had the newest
 * version.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ROUTER_REPLACED_VERSIONS_H
#define CEDARWINCH_ROUTER_REPLACED_VERSIONS_H

#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_REPLACED_VERSIONS_MAX = 8 /**< versions that a heartbeat covers; 3 bytes each */ };

/** The last versions that were replaced. All zeros: none. */
typedef struct cw_replaced_versions {
    uint64_t newest; /**< last version that was replaced; 0: none */
    /** When a version was last valid, at index version % CW_REPLACED_VERSIONS_MAX. */
    cw_time_us_t valid_at[CW_REPLACED_VERSIONS_MAX];
    size_t       count; /**< versions that are kept */
} cw_replaced_versions_t;

/** Starts a new term, in which no version has been replaced. */
void cw_replaced_versions_begin(cw_replaced_versions_t *replaced);
/** Records that this version was replaced; it was certainly valid at `valid_at`. A gap in the versions discards earlier
 * ones. */
void cw_replaced_versions_add(cw_replaced_versions_t *replaced, uint64_t version, cw_time_us_t valid_at);
/** Ages in milliseconds of the last versions that were replaced, the newest first. Returns their count. */
size_t cw_replaced_versions_ages(const cw_replaced_versions_t *replaced, cw_time_us_t now,
                                 uint32_t ages_ms[CW_REPLACED_VERSIONS_MAX]);
/** When the version `has` was certainly valid, from the ages that the leader sent with its newest version; 0:
 * unknown. */
cw_time_us_t cw_replaced_versions_valid_at(uint64_t has, uint64_t newest, const uint32_t *ages_ms, size_t count,
                                           cw_time_us_t now);

#endif
