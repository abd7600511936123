/**
 * @file journal.c
 * @brief Journal replica: entries of started requests, and the messages that read and change them.
 *
 * Rules:
 * - A start is taken only when its epoch is not below the seal on its key hash, its request id is not older than what
 *   this replica still keeps, and there is no entry for (service, request id) yet. The same exchange sent again is
 *   taken again. Exchanges that the forwarder of the same epoch declares never sent are superseded.
 * - A seal raises the sealed epoch on its interval before the entries are read, so an entry taken later has an epoch
 *   at or above the seal.
 * - Entries are dropped by the time in the request id. The bound only grows, whatever the wall clock does, and starts
 *   below it are refused: a dropped entry cannot be started anew here.
 * - A finished entry never turns back into a started one. Only a release by the epoch and exchange that started the
 *   entry removes it early.
 * - Everything is lost with the process. The incarnation in each message keeps an empty successor from answering for
 *   the replica that it replaced.
 *
 * Invariant: for a (service, request id) at most one exchange is ever acknowledged by a majority of a replica set
 * under all epochs together, unless the former one was released or superseded.
 */
#include "cedarwinch/journal.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"
#include "core/journal_internal.h"

enum { PRUNES_PER_WINDOW = 16 /**< how often expired entries are looked for */ };

int cw_journal_create(cw_journal_t **journal, const cw_journal_options_t *options, const cw_ports_t *ports)
{
    cw_journal_t *created = calloc(1, sizeof(*created));

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->options = *options;
    created->ports = *ports;
    created->next_sequence = 1;
    *journal = created;
    return CW_OK;
}

void cw_journal_free(cw_journal_t *journal)
{
    cw_journal_table_entry_t *entry;
    cw_journal_table_entry_t *next;

    if (journal == NULL) {
        return;
    }
    HASH_ITER(hh, journal->entries, entry, next)
    {
        cw_journal_remove_entry(journal, entry);
    }
    cw_journal_segments_clear(&journal->segments);
    free(journal);
}

size_t cw_journal_entry_count(const cw_journal_t *journal)
{
    return HASH_COUNT(journal->entries);
}

void cw_journal_send_reply(const cw_journal_t *journal, const Cw__Envelope *request, Cw__JournalReply *reply)
{
    Cw__Envelope envelope = CW__ENVELOPE__INIT;

    envelope.from = request->to;
    envelope.from_incarnation = journal->options.incarnation;
    envelope.to = request->from;
    envelope.body_case = CW__ENVELOPE__BODY_JOURNAL_REPLY;
    envelope.journal_reply = reply;
    journal->ports.send(journal->ports.context, request->from, &envelope);
}

/* Is a start for an entry that stands allowed to take it over: only within the same epoch, that is by the same
 * forwarder, and only when nothing was sent to the server for the exchange that made the entry. */
static bool may_take_over(const Cw__JournalEntry *standing, const Cw__JournalStart *start)
{
    cw_fence_t standing_epoch = cw_fence_from_message(standing->epoch);
    cw_fence_t epoch = cw_fence_from_message(start->entry->epoch);

    if (standing->state != CW__JOURNAL_STATE__JOURNAL_STARTED || cw_fence_compare(standing_epoch, epoch) != 0) {
        return false;
    }
    if (standing->digest != start->entry->digest || standing->key_hash != start->entry->key_hash) {
        return false;
    }
    if (standing->exchange == start->id) {
        return true;
    }
    return standing->exchange >= start->supersedes_first && standing->exchange <= start->supersedes;
}

static Cw__JournalResult start_over_entry(const cw_journal_t *journal, cw_journal_table_entry_t *entry,
                                          const Cw__JournalStart *start)
{
    if (!may_take_over(entry->message, start)) {
        return CW__JOURNAL_RESULT__JOURNAL_DUPLICATE;
    }
    if (entry->message->exchange != start->id && cw_journal_replace_entry(journal, entry, start->entry) != CW_OK) {
        return CW__JOURNAL_RESULT__JOURNAL_FULL;
    }
    return CW__JOURNAL_RESULT__JOURNAL_OK;
}

static Cw__JournalResult check_start(const cw_journal_t *journal, const Cw__JournalEntry *message, cw_fence_t *sealed)
{
    const cw_journal_segment_t *segment;
    int64_t                     time_ms = cw_request_id_time_ms(message->request_id.data);

    segment = cw_journal_segments_find(&journal->segments, message->service, message->key_hash);
    if (segment != NULL && cw_fence_compare(cw_fence_from_message(message->epoch), segment->sealed) < 0) {
        *sealed = segment->sealed;
        return CW__JOURNAL_RESULT__JOURNAL_SEALED;
    }
    if (time_ms < journal->kept_from_ms || (segment != NULL && time_ms < segment->valid_from_ms)) {
        return CW__JOURNAL_RESULT__JOURNAL_TOO_OLD;
    }
    return CW__JOURNAL_RESULT__JOURNAL_OK;
}

static void receive_start(cw_journal_t *journal, const Cw__Envelope *envelope, const Cw__JournalStart *start)
{
    Cw__JournalReply          reply = CW__JOURNAL_REPLY__INIT;
    Cw__Fence                 sealed_message = CW__FENCE__INIT;
    Cw__JournalEntry         *duplicate = NULL;
    cw_fence_t                sealed = {0, 0};
    cw_journal_key_t          key;
    cw_journal_table_entry_t *entry;

    if (!cw_journal_key_from_message(&key, start->entry)) {
        return;
    }
    reply.id = start->id;
    reply.replica_incarnation = start->replica_incarnation;
    entry = cw_journal_find_entry(journal, &key);
    if (start->replica_incarnation != journal->options.incarnation) {
        reply.result = CW__JOURNAL_RESULT__JOURNAL_WRONG_REPLICA;
    } else if (entry != NULL) {
        reply.result = check_start(journal, start->entry, &sealed);
        if (reply.result == CW__JOURNAL_RESULT__JOURNAL_OK) {
            reply.result = start_over_entry(journal, entry, start);
        }
    } else {
        reply.result = check_start(journal, start->entry, &sealed);
        if (reply.result == CW__JOURNAL_RESULT__JOURNAL_OK &&
            cw_journal_add_entry(journal, &key, start->entry) != CW_OK) {
            reply.result = CW__JOURNAL_RESULT__JOURNAL_FULL;
        }
    }
    if (reply.result == CW__JOURNAL_RESULT__JOURNAL_DUPLICATE && entry != NULL) {
        duplicate = entry->message;
        reply.entries = &duplicate;
        reply.n_entries = 1;
    }
    sealed_message.generation = sealed.generation;
    sealed_message.index = sealed.index;
    reply.sealed = &sealed_message;
    cw_journal_send_reply(journal, envelope, &reply);
}

static void release_entry(cw_journal_t *journal, cw_journal_table_entry_t *entry, const Cw__JournalEntry *message)
{
    const Cw__JournalEntry *standing = entry->message;

    if (standing->state == CW__JOURNAL_STATE__JOURNAL_STARTED && standing->exchange == message->exchange &&
        cw_fence_compare(cw_fence_from_message(standing->epoch), cw_fence_from_message(message->epoch)) == 0) {
        cw_journal_remove_entry(journal, entry);
    }
}

/* A finish is the truth about a request that ran, so it is kept also where the start did not arrive or is sealed. */
static void receive_finish(cw_journal_t *journal, const Cw__JournalFinish *finish)
{
    cw_journal_key_t          key;
    cw_journal_table_entry_t *entry;

    if (finish->replica_incarnation != journal->options.incarnation ||
        !cw_journal_key_from_message(&key, finish->entry)) {
        return;
    }
    entry = cw_journal_find_entry(journal, &key);
    if (finish->entry->state == CW__JOURNAL_STATE__JOURNAL_RELEASED) {
        if (entry != NULL) {
            release_entry(journal, entry, finish->entry);
        }
    } else if (finish->entry->state == CW__JOURNAL_STATE__JOURNAL_FINISHED) {
        if (entry != NULL && entry->message->digest == finish->entry->digest) {
            (void)cw_journal_replace_entry(journal, entry, finish->entry);
        } else if (entry == NULL && cw_request_id_time_ms(key.request_id) >= journal->kept_from_ms) {
            (void)cw_journal_add_entry(journal, &key, finish->entry);
        }
    }
}

static void advance_window(cw_journal_t *journal, cw_instant_t now)
{
    int64_t kept_from_ms = now.wall_ms - journal->options.window_ms;

    if (kept_from_ms > journal->kept_from_ms) {
        journal->kept_from_ms = kept_from_ms;
    }
}

void cw_journal_receive(cw_journal_t *journal, const Cw__Envelope *envelope, cw_instant_t now)
{
    advance_window(journal, now);
    switch (envelope->body_case) {
    case CW__ENVELOPE__BODY_JOURNAL_START:
        receive_start(journal, envelope, envelope->journal_start);
        break;
    case CW__ENVELOPE__BODY_JOURNAL_FINISH:
        receive_finish(journal, envelope->journal_finish);
        break;
    case CW__ENVELOPE__BODY_JOURNAL_SEAL:
        cw_journal_receive_seal(journal, envelope, envelope->journal_seal);
        break;
    case CW__ENVELOPE__BODY_JOURNAL_COPY:
        cw_journal_receive_copy(journal, envelope, envelope->journal_copy);
        break;
    default:
        break;
    }
}

void cw_journal_tick(cw_journal_t *journal, cw_instant_t now)
{
    cw_journal_table_entry_t *entry;
    cw_journal_table_entry_t *next;

    advance_window(journal, now);
    if (journal->kept_from_ms < journal->next_prune_ms) {
        return;
    }
    journal->next_prune_ms = journal->kept_from_ms + journal->options.window_ms / PRUNES_PER_WINDOW;
    HASH_ITER(hh, journal->entries, entry, next)
    {
        if (cw_request_id_time_ms(entry->key.request_id) < journal->kept_from_ms) {
            cw_journal_remove_entry(journal, entry);
        }
    }
}
