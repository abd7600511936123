/**
 * @file raft_log.h
 * @brief In-memory log of a raft replica: a base (index, term and membership up to which entries were dropped) and
 *        the entries after it.
 */
#ifndef CEDARWINCH_RAFT_LOG_H
#define CEDARWINCH_RAFT_LOG_H

#include "cedarwinch/types.h"

typedef struct raft_log {
    uint64_t        base_index; /**< 0: a learner that has received nothing yet */
    uint64_t        base_term;
    Cw__Membership *base_membership; /**< membership in force at base_index; NULL with base_index 0 */
    Cw__LogEntry  **entries;
    size_t          count;
    size_t          capacity;
} raft_log_t;

void raft_log_clear(raft_log_t *log);
/** Drops everything and starts anew after a snapshot. Takes over the membership. */
void raft_log_reset(raft_log_t *log, uint64_t index, uint64_t term, Cw__Membership *membership);

uint64_t raft_log_last_index(const raft_log_t *log);
uint64_t raft_log_last_term(const raft_log_t *log);
/** Term of an index in [base_index, last_index]; 0 outside. */
uint64_t raft_log_term(const raft_log_t *log, uint64_t index);
/** Entry of an index in (base_index, last_index]; NULL outside. */
Cw__LogEntry *raft_log_entry(const raft_log_t *log, uint64_t index);

/** Appends a copy of an entry at last_index + 1. */
int raft_log_append(raft_log_t *log, uint64_t term, Cw__LogEntryKind kind, const uint8_t *data, size_t length);
/** Removes the entries after index. */
void raft_log_truncate(raft_log_t *log, uint64_t index);
/** Moves the base up to index, dropping the entries up to it. */
int raft_log_compact(raft_log_t *log, uint64_t index);

/** Largest index, not above the given one, whose term is not above the given one; at least base_index. */
uint64_t raft_log_find_term(const raft_log_t *log, uint64_t index, uint64_t term);
/** Index of the last membership entry not above the given index; 0: the base's membership is in force. */
uint64_t raft_log_membership_index(const raft_log_t *log, uint64_t index);
/** Copy of the membership in force at an index; NULL without one or without memory. */
Cw__Membership *raft_log_membership(const raft_log_t *log, uint64_t index);

#endif
