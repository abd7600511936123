/**
 * @file test_journal.c
 * @brief Tests of the journal replica: starts, seals, copies, expiry and bounds.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "cedarwinch/journal.h"
#include "core/journal_internal.h"

enum { REPLICA = 77, WINDOW_MS = 10000, WALL_MS = 1000000, SERVICE = 5, LIMIT = 600, MODEL_KEYS = 24 };

static cw_journal_t     *journal;
static Cw__JournalReply *reply;
static cw_instant_t      now = {0, WALL_MS};

static void record_reply(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    (void)context;
    (void)to;
    if (reply != NULL) {
        cw__journal_reply__free_unpacked(reply, NULL);
    }
    reply = (Cw__JournalReply *)cw_message_copy(&envelope->journal_reply->base);
}

static void setup(void)
{
    cw_ports_t           ports = {.send = record_reply};
    cw_journal_options_t options = {REPLICA, WINDOW_MS, LIMIT, 16};

    now.wall_ms = WALL_MS;
    ck_assert_int_eq(cw_journal_create(&journal, &options, &ports), 0);
}

static void teardown(void)
{
    cw_journal_free(journal);
    if (reply != NULL) {
        cw__journal_reply__free_unpacked(reply, NULL);
        reply = NULL;
    }
}

/* Entry with its own storage, so that tests can state one in a line. */
typedef struct entry {
    Cw__JournalEntry message;
    Cw__Fence        epoch;
    uint8_t          id[CW_REQUEST_ID_BYTES];
} entry_t;

static Cw__JournalEntry *make_entry(entry_t *entry, uint32_t number, int64_t time_ms, uint64_t epoch, uint64_t exchange)
{
    int position;

    cw__journal_entry__init(&entry->message);
    cw__fence__init(&entry->epoch);
    memset(entry->id, 0, sizeof(entry->id));
    for (position = 0; position < 6; position++) {
        entry->id[position] = (uint8_t)(time_ms >> (8 * (5 - position)));
    }
    entry->id[6] = 0x70;
    entry->id[8] = 0x80;
    memcpy(&entry->id[12], &number, sizeof(number));
    entry->epoch.generation = 1;
    entry->epoch.index = epoch;
    entry->message.request_id.data = entry->id;
    entry->message.request_id.len = sizeof(entry->id);
    entry->message.service = SERVICE;
    entry->message.key_hash = number;
    entry->message.digest = number;
    entry->message.epoch = &entry->epoch;
    entry->message.exchange = exchange;
    return &entry->message;
}

static void receive(Cw__Envelope__BodyCase body_case, void *body)
{
    Cw__Envelope envelope = CW__ENVELOPE__INIT;

    envelope.body_case = body_case;
    envelope.journal_start = body;
    cw_journal_receive(journal, &envelope, now);
}

static Cw__JournalResult start_with(Cw__JournalEntry *message, uint64_t replica, uint64_t first, uint64_t supersedes)
{
    Cw__JournalStart start = CW__JOURNAL_START__INIT;

    start.id = message->exchange;
    start.replica_incarnation = replica;
    start.entry = message;
    start.supersedes = supersedes;
    start.supersedes_first = first;
    receive(CW__ENVELOPE__BODY_JOURNAL_START, &start);
    return reply->result;
}

static Cw__JournalResult start(uint32_t number, uint64_t epoch, uint64_t exchange)
{
    entry_t entry;

    return start_with(make_entry(&entry, number, WALL_MS, epoch, exchange), REPLICA, 0, 0);
}

static void finish(uint32_t number, uint64_t epoch, uint64_t exchange, Cw__JournalState state, size_t body_length)
{
    Cw__JournalFinish message = CW__JOURNAL_FINISH__INIT;
    uint8_t           body[64] = {0};
    entry_t           entry;

    message.replica_incarnation = REPLICA;
    message.entry = make_entry(&entry, number, WALL_MS, epoch, exchange);
    message.entry->state = state;
    message.entry->status = 200;
    message.entry->body.data = body;
    message.entry->body.len = body_length;
    receive(CW__ENVELOPE__BODY_JOURNAL_FINISH, &message);
}

static Cw__JournalResult seal(uint64_t low, uint64_t last, uint64_t epoch, uint64_t after)
{
    Cw__JournalSeal message = CW__JOURNAL_SEAL__INIT;
    Cw__Fence       fence = CW__FENCE__INIT;

    fence.generation = 1;
    fence.index = epoch;
    message.replica_incarnation = REPLICA;
    message.service = SERVICE;
    message.low = low;
    message.last = last;
    message.epoch = &fence;
    message.after = after;
    receive(CW__ENVELOPE__BODY_JOURNAL_SEAL, &message);
    return reply->result;
}

static Cw__JournalResult copy_open(uint64_t low, uint64_t last, uint64_t epoch, Cw__JournalEntry *entry,
                                   int64_t valid_from_ms)
{
    Cw__JournalCopy message = CW__JOURNAL_COPY__INIT;
    Cw__Fence       fence = CW__FENCE__INIT;

    fence.generation = 1;
    fence.index = epoch;
    message.replica_incarnation = REPLICA;
    message.service = SERVICE;
    message.low = low;
    message.last = last;
    message.epoch = &fence;
    message.open = true;
    message.replica_set = 99;
    message.valid_from_ms = valid_from_ms;
    message.entries = &entry;
    message.n_entries = entry == NULL ? 0 : 1;
    receive(CW__ENVELOPE__BODY_JOURNAL_COPY, &message);
    return reply->result;
}

START_TEST(second_start_is_a_duplicate_and_same_exchange_is_not)
{
    ck_assert_int_eq(start(1, 4, 10), CW__JOURNAL_RESULT__JOURNAL_OK);
    ck_assert_int_eq(start(1, 4, 10), CW__JOURNAL_RESULT__JOURNAL_OK);
    ck_assert_int_eq(start(1, 4, 11), CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_uint_eq(reply->entries[0]->exchange, 10);
    ck_assert_int_eq(start(1, 5, 10), CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_uint_eq(cw_journal_entry_count(journal), 1);
}
END_TEST

START_TEST(other_incarnation_is_refused)
{
    entry_t entry;

    ck_assert_int_eq(start_with(make_entry(&entry, 1, WALL_MS, 4, 1), REPLICA + 1, 0, 0),
                     CW__JOURNAL_RESULT__JOURNAL_WRONG_REPLICA);
    ck_assert_uint_eq(cw_journal_entry_count(journal), 0);
}
END_TEST

START_TEST(only_exchanges_declared_unsent_are_superseded)
{
    entry_t entry;

    start(1, 4, 10);
    ck_assert_int_eq(start_with(make_entry(&entry, 1, WALL_MS, 4, 12), REPLICA, 8, 9),
                     CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_int_eq(start_with(make_entry(&entry, 1, WALL_MS, 4, 12), REPLICA, 11, 11),
                     CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_int_eq(start_with(make_entry(&entry, 1, WALL_MS, 5, 12), REPLICA, 10, 11),
                     CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_int_eq(start_with(make_entry(&entry, 1, WALL_MS, 4, 12), REPLICA, 10, 11),
                     CW__JOURNAL_RESULT__JOURNAL_OK);
    finish(1, 4, 10, CW__JOURNAL_STATE__JOURNAL_RELEASED, 0); /* late release of the superseded exchange */
    ck_assert_uint_eq(cw_journal_entry_count(journal), 1);
    finish(1, 4, 12, CW__JOURNAL_STATE__JOURNAL_RELEASED, 0);
    ck_assert_uint_eq(cw_journal_entry_count(journal), 0);
}
END_TEST

START_TEST(finished_entry_is_replayed_and_never_released)
{
    start(1, 4, 10);
    finish(1, 4, 10, CW__JOURNAL_STATE__JOURNAL_FINISHED, 7);
    finish(1, 4, 10, CW__JOURNAL_STATE__JOURNAL_RELEASED, 0);
    ck_assert_int_eq(start(1, 4, 11), CW__JOURNAL_RESULT__JOURNAL_DUPLICATE);
    ck_assert_int_eq(reply->entries[0]->state, CW__JOURNAL_STATE__JOURNAL_FINISHED);
    ck_assert_uint_eq(reply->entries[0]->body.len, 7);
    finish(2, 4, 12, CW__JOURNAL_STATE__JOURNAL_FINISHED, 17);
    start(2, 4, 13);
    ck_assert(reply->entries[0]->answer_omitted);
    ck_assert_uint_eq(reply->entries[0]->body.len, 0);
}
END_TEST

START_TEST(seal_stops_lower_epochs_on_its_interval_only)
{
    start(10, 4, 1);
    start(30, 4, 2);
    ck_assert_int_eq(seal(5, 20, 6, 0), CW__JOURNAL_RESULT__JOURNAL_OK);
    ck_assert_uint_eq(reply->n_entries, 1);
    ck_assert_uint_eq(reply->entries[0]->key_hash, 10);
    ck_assert_int_eq(start(20, 5, 3), CW__JOURNAL_RESULT__JOURNAL_SEALED);
    ck_assert_uint_eq(reply->sealed->index, 6);
    ck_assert_int_eq(start(10, 4, 1), CW__JOURNAL_RESULT__JOURNAL_SEALED);
    ck_assert_int_eq(start(21, 5, 4), CW__JOURNAL_RESULT__JOURNAL_OK);
    ck_assert_int_eq(start(20, 6, 5), CW__JOURNAL_RESULT__JOURNAL_OK);
    ck_assert_int_eq(seal(20, 40, 5, 0), CW__JOURNAL_RESULT__JOURNAL_SEALED);
    ck_assert_int_eq(copy_open(20, 40, 5, NULL, 0), CW__JOURNAL_RESULT__JOURNAL_SEALED);
}
END_TEST

START_TEST(dropped_entry_cannot_start_again_when_the_clock_steps_back)
{
    start(1, 4, 1);
    now.wall_ms = WALL_MS + WINDOW_MS + 1;
    cw_journal_tick(journal, now);
    ck_assert_uint_eq(cw_journal_entry_count(journal), 0);
    now.wall_ms = WALL_MS;
    ck_assert_int_eq(start(1, 4, 2), CW__JOURNAL_RESULT__JOURNAL_TOO_OLD);
}
END_TEST

START_TEST(seal_pages_hand_out_each_entry_once)
{
    bool     seen[LIMIT] = {false};
    uint64_t after = 0;
    size_t   total = 0;
    size_t   position;
    uint32_t number;

    for (number = 0; number < LIMIT; number++) {
        start(number, 4, number + 1);
    }
    ck_assert_int_eq(start(LIMIT, 4, 1), CW__JOURNAL_RESULT__JOURNAL_FULL);
    do {
        seal(0, UINT64_MAX, 6, after);
        for (position = 0; position < reply->n_entries; position++) {
            ck_assert(!seen[reply->entries[position]->key_hash]);
            seen[reply->entries[position]->key_hash] = true;
        }
        total += reply->n_entries;
        after = reply->next;
        finish((uint32_t)after, 4, after + 1, CW__JOURNAL_STATE__JOURNAL_RELEASED, 0);
    } while (after != 0);
    ck_assert_uint_eq(total, LIMIT - 2); /* the two released between pages had not been read yet */
}
END_TEST

START_TEST(copy_opens_and_finished_beats_started)
{
    entry_t entry;

    start(1, 4, 1);
    make_entry(&entry, 1, WALL_MS, 4, 1)->state = CW__JOURNAL_STATE__JOURNAL_FINISHED;
    ck_assert_int_eq(copy_open(0, 9, 6, &entry.message, WALL_MS + 5), CW__JOURNAL_RESULT__JOURNAL_OK);
    make_entry(&entry, 1, WALL_MS, 4, 1);
    ck_assert_int_eq(copy_open(0, 9, 6, &entry.message, 0), CW__JOURNAL_RESULT__JOURNAL_OK);
    seal(2, 8, 7, 0);
    ck_assert_uint_eq(reply->opened->index, 6);
    ck_assert_uint_eq(reply->opened_set, 99);
    ck_assert_int_eq(reply->valid_from_ms, WALL_MS + 5);
    ck_assert_int_eq(start(3, 7, 2), CW__JOURNAL_RESULT__JOURNAL_TOO_OLD);
    seal(0, 12, 7, 0); /* reaches beyond what was opened */
    ck_assert_uint_eq(reply->opened->index, 0);
    ck_assert_int_eq(reply->entries[0]->state, CW__JOURNAL_STATE__JOURNAL_FINISHED);
}
END_TEST

static void raise_seal(cw_journal_segment_t *segment, const void *argument)
{
    segment->sealed = cw_fence_max(segment->sealed, *(const cw_fence_t *)argument);
}

START_TEST(segments_equal_a_plain_array)
{
    uint64_t random_state = (uint64_t)_i + 1;
    uint64_t model[MODEL_KEYS] = {0};
    int      step;

    cw_journal_segments_t segments = {0};

    for (step = 0; step < 60; step++) {
        uint64_t   low = cw_random_below(&random_state, MODEL_KEYS);
        uint64_t   last = low + cw_random_below(&random_state, MODEL_KEYS - low);
        cw_fence_t epoch = {1, 1 + cw_random_below(&random_state, 6)};
        uint64_t   key;
        uint64_t   highest = 0;

        ck_assert_int_eq(cw_journal_segments_update(&segments, SERVICE, low, last, raise_seal, &epoch), 0);
        for (key = 0; key < MODEL_KEYS; key++) {
            const cw_journal_segment_t *found = cw_journal_segments_find(&segments, SERVICE, key);

            if (key >= low && key <= last && model[key] < epoch.index) {
                model[key] = epoch.index;
            }
            if (key >= low && key <= last && model[key] > highest) {
                highest = model[key];
            }
            ck_assert_uint_eq(found == NULL ? 0 : found->sealed.index, model[key]);
        }
        ck_assert_uint_eq(cw_journal_segments_summary(&segments, SERVICE, low, last).sealed.index, highest);
        ck_assert_uint_le(segments.count, MODEL_KEYS);
    }
    cw_journal_segments_clear(&segments);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("journal");
    TCase   *tests = tcase_create("journal");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, second_start_is_a_duplicate_and_same_exchange_is_not);
    tcase_add_test(tests, other_incarnation_is_refused);
    tcase_add_test(tests, only_exchanges_declared_unsent_are_superseded);
    tcase_add_test(tests, finished_entry_is_replayed_and_never_released);
    tcase_add_test(tests, seal_stops_lower_epochs_on_its_interval_only);
    tcase_add_test(tests, dropped_entry_cannot_start_again_when_the_clock_steps_back);
    tcase_add_test(tests, seal_pages_hand_out_each_entry_once);
    tcase_add_test(tests, copy_opens_and_finished_beats_started);
    tcase_add_loop_test(tests, segments_equal_a_plain_array, 0, 50);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
