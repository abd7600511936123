/**
 * @file journal_entries.c
 * @brief Table of a journal replica's entries by (service, request id).
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/journal_internal.h"

bool cw_journal_key_from_message(cw_journal_key_t *key, const Cw__JournalEntry *message)
{
    if (message == NULL || message->request_id.len != CW_REQUEST_ID_BYTES) {
        return false;
    }
    memset(key, 0, sizeof(*key));
    key->service = message->service;
    memcpy(key->request_id, message->request_id.data, CW_REQUEST_ID_BYTES);
    return true;
}

cw_journal_table_entry_t *cw_journal_find_entry(const cw_journal_t *journal, const cw_journal_key_t *key)
{
    cw_journal_table_entry_t *entry = NULL;

    HASH_FIND(hh, journal->entries, key, sizeof(*key), entry);
    return entry;
}

void cw_journal_remove_entry(cw_journal_t *journal, cw_journal_table_entry_t *entry)
{
    HASH_DEL(journal->entries, entry);
    cw__journal_entry__free_unpacked(entry->message, NULL);
    free(entry);
}

size_t cw_journal_answer_size(Cw__Header *const *headers, size_t header_count, size_t body_length)
{
    size_t size = body_length;
    size_t position;

    for (position = 0; position < header_count; position++) {
        size += strlen(headers[position]->name) + strlen(headers[position]->value);
    }
    return size;
}

/* Removes the stored answer when it is larger than this replica keeps. */
static void bound_answer(const cw_journal_t *journal, Cw__JournalEntry *message)
{
    size_t size = cw_journal_answer_size(message->headers, message->n_headers, message->body.len);
    size_t position;

    if (size <= journal->options.body_limit) {
        return;
    }
    free(message->body.data);
    message->body.data = NULL;
    message->body.len = 0;
    for (position = 0; position < message->n_headers; position++) {
        cw__header__free_unpacked(message->headers[position], NULL);
    }
    free(message->headers);
    message->headers = NULL;
    message->n_headers = 0;
    message->answer_omitted = true;
}

static Cw__JournalEntry *copy_message(const cw_journal_t *journal, const Cw__JournalEntry *message)
{
    Cw__JournalEntry *copy = (Cw__JournalEntry *)cw_message_copy(&message->base);

    if (copy != NULL) {
        bound_answer(journal, copy);
    }
    return copy;
}

int cw_journal_add_entry(cw_journal_t *journal, const cw_journal_key_t *key, const Cw__JournalEntry *message)
{
    cw_journal_table_entry_t *entry;

    if (HASH_COUNT(journal->entries) >= journal->options.entry_limit) {
        return CW_ERROR_FULL;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    entry->message = copy_message(journal, message);
    if (entry->message == NULL) {
        free(entry);
        return CW_ERROR_NO_MEMORY;
    }
    entry->key = *key;
    entry->sequence = journal->next_sequence++;
    HASH_ADD(hh, journal->entries, key, sizeof(entry->key), entry);
    return CW_OK;
}

int cw_journal_replace_entry(const cw_journal_t *journal, cw_journal_table_entry_t *entry,
                             const Cw__JournalEntry *message)
{
    Cw__JournalEntry *copy = copy_message(journal, message);

    if (copy == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    cw__journal_entry__free_unpacked(entry->message, NULL);
    entry->message = copy;
    return CW_OK;
}
