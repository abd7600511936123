/**
 * @file journal_internal.h
 * @brief Private parts of the journal replica: its table of entries, and its map of seals and openings over intervals
 *        of key hashes.
 */
#ifndef CEDARWINCH_JOURNAL_INTERNAL_H
#define CEDARWINCH_JOURNAL_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/journal.h"

/** Key hashes [low, last] of one service with the same seal and opening. */
typedef struct cw_journal_segment {
    cw_service_id_t service;
    cw_key_hash_t   low;
    cw_key_hash_t   last;
    cw_fence_t      sealed;        /**< starts of lower epochs are refused */
    cw_fence_t      opened;        /**< epoch of the last opening */
    uint64_t        opened_set;    /**< digest of the replica set it was opened for */
    cw_fence_t      left;          /**< last epoch that moved the interval to another replica set */
    int64_t         valid_from_ms; /**< older request ids are refused */
} cw_journal_segment_t;

/** Segments in ascending order of (service, low), disjoint, equal neighbours merged. */
typedef struct cw_journal_segments {
    cw_journal_segment_t *items;
    size_t                count;
    size_t                capacity;
} cw_journal_segments_t;

void cw_journal_segments_clear(cw_journal_segments_t *segments);
/** Segment that covers a key hash, or NULL. */
const cw_journal_segment_t *cw_journal_segments_find(const cw_journal_segments_t *segments, cw_service_id_t service,
                                                     cw_key_hash_t key_hash);

typedef void (*cw_journal_segment_change_t)(cw_journal_segment_t *segment, const void *argument);

/** Splits at the borders of [low, last], fills gaps, applies the change to each segment in it, merges neighbours.
 *  Returns CW_ERROR_NO_MEMORY with nothing changed. */
int cw_journal_segments_update(cw_journal_segments_t *segments, cw_service_id_t service, cw_key_hash_t low,
                               cw_key_hash_t last, cw_journal_segment_change_t change, const void *argument);

/** What holds for the whole of [low, last]: the highest seal, leave and validity; the lowest opening, and none when
 *  parts were not opened or were opened for different sets. */
cw_journal_segment_t cw_journal_segments_summary(const cw_journal_segments_t *segments, cw_service_id_t service,
                                                 cw_key_hash_t low, cw_key_hash_t last);

/* ---- entries ---- */

typedef struct cw_journal_key {
    cw_service_id_t service;
    uint8_t         request_id[CW_REQUEST_ID_BYTES];
} cw_journal_key_t;

/** Table order is order of insertion, so sequence ascends along it. */
typedef struct cw_journal_table_entry {
    cw_journal_key_t  key;
    uint64_t          sequence;
    Cw__JournalEntry *message;
    UT_hash_handle    hh;
} cw_journal_table_entry_t;

struct cw_journal {
    cw_journal_options_t      options;
    cw_ports_t                ports;
    cw_journal_table_entry_t *entries;
    uint64_t                  next_sequence;
    cw_journal_segments_t     segments;
    int64_t                   kept_from_ms; /**< request ids older than this are no longer kept; only grows */
    int64_t                   next_prune_ms;
};

/** False when the message lacks a whole request id. */
bool                      cw_journal_key_from_message(cw_journal_key_t *key, const Cw__JournalEntry *message);
cw_journal_table_entry_t *cw_journal_find_entry(const cw_journal_t *journal, const cw_journal_key_t *key);
/** Copies the message into a new entry. CW_ERROR_FULL at the entry limit. */
int  cw_journal_add_entry(cw_journal_t *journal, const cw_journal_key_t *key, const Cw__JournalEntry *message);
int  cw_journal_replace_entry(const cw_journal_t *journal, cw_journal_table_entry_t *entry,
                              const Cw__JournalEntry *message);
void cw_journal_remove_entry(cw_journal_t *journal, cw_journal_table_entry_t *entry);

void cw_journal_send_reply(const cw_journal_t *journal, const Cw__Envelope *request, Cw__JournalReply *reply);
void cw_journal_receive_seal(cw_journal_t *journal, const Cw__Envelope *envelope, const Cw__JournalSeal *seal);
void cw_journal_receive_copy(cw_journal_t *journal, const Cw__Envelope *envelope, const Cw__JournalCopy *copy);

#endif
