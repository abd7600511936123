/**
 * @file journal_seal.c
 * @brief Seals and copies at a journal replica: stopping lower epochs, handing out entries, taking over entries.
 */
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"
#include "core/journal_internal.h"

enum {
    PAGE_ENTRIES = 256,     /**< entries in one answer to a seal */
    PAGE_BYTES = 256 * 1024 /**< stored answers in one answer to a seal, may be exceeded by one entry */
};

typedef struct seal_change {
    cw_fence_t epoch;
    bool       leaving;
} seal_change_t;

static void apply_seal(cw_journal_segment_t *segment, const void *argument)
{
    const seal_change_t *change = argument;

    segment->sealed = cw_fence_max(segment->sealed, change->epoch);
    if (change->leaving) {
        segment->left = cw_fence_max(segment->left, change->epoch);
    }
}

static void fill_fence(Cw__Fence *message, cw_fence_t fence)
{
    message->generation = fence.generation;
    message->index = fence.index;
}

/* Entries of one page: shallow copies that borrow from the table. */
typedef struct page {
    Cw__JournalEntry  copies[PAGE_ENTRIES];
    Cw__JournalEntry *entries[PAGE_ENTRIES];
    size_t            count;
    size_t            bytes;
    uint64_t          next; /**< 0: nothing is left */
} page_t;

static void add_to_page(page_t *page, const Cw__JournalEntry *message, bool omit_answer)
{
    Cw__JournalEntry *copy = &page->copies[page->count];

    *copy = *message;
    if (omit_answer && copy->state == CW__JOURNAL_STATE__JOURNAL_FINISHED) {
        copy->body.len = 0;
        copy->n_headers = 0;
        copy->answer_omitted = true;
    }
    page->bytes += cw_journal_answer_size(copy->headers, copy->n_headers, copy->body.len);
    page->entries[page->count] = copy;
    page->count++;
}

static void fill_page(const cw_journal_t *journal, const Cw__JournalSeal *seal, page_t *page)
{
    const cw_journal_table_entry_t *entry;
    uint64_t                        last_sequence = 0;

    for (entry = journal->entries; entry != NULL; entry = entry->hh.next) {
        const Cw__JournalEntry *message = entry->message;

        if (entry->sequence <= seal->after || message->service != seal->service || message->key_hash < seal->low ||
            message->key_hash > seal->last) {
            continue;
        }
        if (page->count == PAGE_ENTRIES || page->bytes >= PAGE_BYTES) {
            page->next = last_sequence;
            return;
        }
        add_to_page(page, message, seal->started_only);
        last_sequence = entry->sequence;
    }
}

static void describe_segment(const cw_journal_t *journal, const Cw__JournalSeal *seal, Cw__JournalReply *reply)
{
    cw_journal_segment_t summary;

    summary = cw_journal_segments_summary(&journal->segments, seal->service, seal->low, seal->last);
    fill_fence(reply->sealed, summary.sealed);
    fill_fence(reply->opened, summary.opened);
    fill_fence(reply->left, summary.left);
    reply->opened_set = summary.opened_set;
    reply->valid_from_ms =
        summary.valid_from_ms > journal->kept_from_ms ? summary.valid_from_ms : journal->kept_from_ms;
}

static Cw__JournalResult seal_interval(cw_journal_t *journal, const Cw__JournalSeal *seal)
{
    seal_change_t        change = {cw_fence_from_message(seal->epoch), seal->leaving};
    cw_journal_segment_t summary;

    if (seal->replica_incarnation != journal->options.incarnation) {
        return CW__JOURNAL_RESULT__JOURNAL_WRONG_REPLICA;
    }
    summary = cw_journal_segments_summary(&journal->segments, seal->service, seal->low, seal->last);
    if (cw_fence_compare(change.epoch, summary.sealed) < 0) {
        return CW__JOURNAL_RESULT__JOURNAL_SEALED;
    }
    if (cw_journal_segments_update(&journal->segments, seal->service, seal->low, seal->last, apply_seal, &change) !=
        CW_OK) {
        return CW__JOURNAL_RESULT__JOURNAL_FULL;
    }
    return CW__JOURNAL_RESULT__JOURNAL_OK;
}

void cw_journal_receive_seal(cw_journal_t *journal, const Cw__Envelope *envelope, const Cw__JournalSeal *seal)
{
    Cw__JournalReply reply = CW__JOURNAL_REPLY__INIT;
    Cw__Fence        sealed = CW__FENCE__INIT;
    Cw__Fence        opened = CW__FENCE__INIT;
    Cw__Fence        left = CW__FENCE__INIT;
    page_t          *page = calloc(1, sizeof(*page));

    if (page == NULL || seal->low > seal->last) {
        free(page);
        return;
    }
    reply.id = seal->id;
    reply.replica_incarnation = seal->replica_incarnation;
    reply.sealed = &sealed;
    reply.opened = &opened;
    reply.left = &left;
    reply.result = seal_interval(journal, seal);
    describe_segment(journal, seal, &reply);
    if (reply.result == CW__JOURNAL_RESULT__JOURNAL_OK && !seal->without_entries) {
        fill_page(journal, seal, page);
        reply.entries = page->entries;
        reply.n_entries = page->count;
        reply.next = page->next;
    }
    cw_journal_send_reply(journal, envelope, &reply);
    free(page);
}

static void apply_open(cw_journal_segment_t *segment, const void *argument)
{
    const Cw__JournalCopy *copy = argument;
    cw_fence_t             epoch = cw_fence_from_message(copy->epoch);

    segment->sealed = cw_fence_max(segment->sealed, epoch);
    segment->opened = epoch;
    segment->opened_set = copy->replica_set;
    if (copy->valid_from_ms > segment->valid_from_ms) {
        segment->valid_from_ms = copy->valid_from_ms;
    }
}

/* Does a copied entry say more than the one that stands? */
static bool copy_improves(const Cw__JournalEntry *standing, const Cw__JournalEntry *message)
{
    if (message->state != CW__JOURNAL_STATE__JOURNAL_FINISHED) {
        return false;
    }
    return standing->state != CW__JOURNAL_STATE__JOURNAL_FINISHED ||
           (standing->answer_omitted && !message->answer_omitted);
}

static int merge_copied_entry(cw_journal_t *journal, const Cw__JournalEntry *message)
{
    cw_journal_key_t          key;
    cw_journal_table_entry_t *entry;

    if (!cw_journal_key_from_message(&key, message)) {
        return CW_ERROR_INVALID;
    }
    entry = cw_journal_find_entry(journal, &key);
    if (entry != NULL) {
        return copy_improves(entry->message, message) ? cw_journal_replace_entry(journal, entry, message) : CW_OK;
    }
    if (cw_request_id_time_ms(key.request_id) < journal->kept_from_ms) {
        return CW_OK;
    }
    return cw_journal_add_entry(journal, &key, message);
}

static Cw__JournalResult take_copy(cw_journal_t *journal, const Cw__JournalCopy *copy)
{
    cw_journal_segment_t summary;
    size_t               position;

    if (copy->replica_incarnation != journal->options.incarnation) {
        return CW__JOURNAL_RESULT__JOURNAL_WRONG_REPLICA;
    }
    summary = cw_journal_segments_summary(&journal->segments, copy->service, copy->low, copy->last);
    if (cw_fence_compare(cw_fence_from_message(copy->epoch), summary.sealed) < 0) {
        return CW__JOURNAL_RESULT__JOURNAL_SEALED;
    }
    for (position = 0; position < copy->n_entries; position++) {
        if (merge_copied_entry(journal, copy->entries[position]) != CW_OK) {
            return CW__JOURNAL_RESULT__JOURNAL_FULL;
        }
    }
    if (copy->open && cw_journal_segments_update(&journal->segments, copy->service, copy->low, copy->last, apply_open,
                                                 copy) != CW_OK) {
        return CW__JOURNAL_RESULT__JOURNAL_FULL;
    }
    return CW__JOURNAL_RESULT__JOURNAL_OK;
}

void cw_journal_receive_copy(cw_journal_t *journal, const Cw__Envelope *envelope, const Cw__JournalCopy *copy)
{
    Cw__JournalReply reply = CW__JOURNAL_REPLY__INIT;

    if (copy->low > copy->last) {
        return;
    }
    reply.id = copy->id;
    reply.replica_incarnation = copy->replica_incarnation;
    reply.result = take_copy(journal, copy);
    cw_journal_send_reply(journal, envelope, &reply);
}
