/**
 * @file raft_log.c
 * @brief In-memory log of a raft replica.
 */
#include "core/raft_log.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"

enum { FIRST_CAPACITY = 64 };

static void entry_free(Cw__LogEntry *entry)
{
    free(entry->data.data);
    free(entry);
}

static Cw__LogEntry *entry_create(uint64_t index, uint64_t term, Cw__LogEntryKind kind, const uint8_t *data,
                                  size_t length)
{
    Cw__LogEntry *entry = malloc(sizeof(*entry));

    if (entry == NULL) {
        return NULL;
    }
    cw__log_entry__init(entry);
    entry->index = index;
    entry->term = term;
    entry->kind = kind;
    if (length == 0) {
        return entry;
    }
    entry->data.data = malloc(length);
    if (entry->data.data == NULL) {
        free(entry);
        return NULL;
    }
    memcpy(entry->data.data, data, length);
    entry->data.len = length;
    return entry;
}

static void free_membership(Cw__Membership *membership)
{
    if (membership != NULL) {
        cw__membership__free_unpacked(membership, NULL);
    }
}

void raft_log_clear(raft_log_t *log)
{
    raft_log_truncate(log, log->base_index);
    free_membership(log->base_membership);
    free(log->entries);
    memset(log, 0, sizeof(*log));
}

void raft_log_reset(raft_log_t *log, uint64_t index, uint64_t term, Cw__Membership *membership)
{
    raft_log_truncate(log, log->base_index);
    free_membership(log->base_membership);
    log->base_index = index;
    log->base_term = term;
    log->base_membership = membership;
}

uint64_t raft_log_last_index(const raft_log_t *log)
{
    return log->base_index + log->count;
}

uint64_t raft_log_last_term(const raft_log_t *log)
{
    return raft_log_term(log, raft_log_last_index(log));
}

Cw__LogEntry *raft_log_entry(const raft_log_t *log, uint64_t index)
{
    if (index <= log->base_index || index > raft_log_last_index(log)) {
        return NULL;
    }
    return log->entries[index - log->base_index - 1];
}

uint64_t raft_log_term(const raft_log_t *log, uint64_t index)
{
    const Cw__LogEntry *entry;

    if (index == log->base_index) {
        return log->base_term;
    }
    entry = raft_log_entry(log, index);
    return entry == NULL ? 0 : entry->term;
}

static int reserve(raft_log_t *log)
{
    size_t         capacity = log->capacity == 0 ? FIRST_CAPACITY : log->capacity * 2;
    Cw__LogEntry **entries;

    if (log->count < log->capacity) {
        return CW_OK;
    }
    entries = realloc(log->entries, capacity * sizeof(Cw__LogEntry *));
    if (entries == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    log->entries = entries;
    log->capacity = capacity;
    return CW_OK;
}

int raft_log_append(raft_log_t *log, uint64_t term, Cw__LogEntryKind kind, const uint8_t *data, size_t length)
{
    Cw__LogEntry *entry;

    if (reserve(log) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    entry = entry_create(raft_log_last_index(log) + 1, term, kind, data, length);
    if (entry == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    log->entries[log->count] = entry;
    log->count++;
    return CW_OK;
}

void raft_log_truncate(raft_log_t *log, uint64_t index)
{
    while (raft_log_last_index(log) > index && log->count > 0) {
        log->count--;
        entry_free(log->entries[log->count]);
    }
}

int raft_log_compact(raft_log_t *log, uint64_t index)
{
    Cw__Membership *membership;
    uint64_t        term = raft_log_term(log, index);
    size_t          dropped = index - log->base_index;
    size_t          position;

    if (index <= log->base_index || index > raft_log_last_index(log)) {
        return CW_ERROR_INVALID;
    }
    membership = raft_log_membership(log, index);
    if (membership == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    for (position = 0; position < dropped; position++) {
        entry_free(log->entries[position]);
    }
    memmove(log->entries, log->entries + dropped, (log->count - dropped) * sizeof(Cw__LogEntry *));
    log->count -= dropped;
    free_membership(log->base_membership);
    log->base_membership = membership;
    log->base_index = index;
    log->base_term = term;
    return CW_OK;
}

uint64_t raft_log_find_term(const raft_log_t *log, uint64_t index, uint64_t term)
{
    if (index > raft_log_last_index(log)) {
        index = raft_log_last_index(log);
    }
    while (index > log->base_index && raft_log_term(log, index) > term) {
        index--;
    }
    return index < log->base_index ? log->base_index : index;
}

uint64_t raft_log_membership_index(const raft_log_t *log, uint64_t index)
{
    while (index > log->base_index) {
        if (raft_log_entry(log, index)->kind == CW__LOG_ENTRY_KIND__ENTRY_MEMBERSHIP) {
            return index;
        }
        index--;
    }
    return 0;
}

Cw__Membership *raft_log_membership(const raft_log_t *log, uint64_t index)
{
    uint64_t            found = raft_log_membership_index(log, index);
    const Cw__LogEntry *entry;

    if (found != 0) {
        entry = raft_log_entry(log, found);
        return cw__membership__unpack(NULL, entry->data.len, entry->data.data);
    }
    if (log->base_membership == NULL) {
        return NULL;
    }
    return (Cw__Membership *)cw_message_copy(&log->base_membership->base);
}
