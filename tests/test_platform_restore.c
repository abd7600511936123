/**
 * @file test_platform_restore.c
 * @brief Tests the adapter against a scripted store that comes back from a copy: what was answered in one epoch is
 * never continued in another.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "model/store_epoch.h"
#include "net/http_listener.h"
#include "router/adapter.h"

enum { LOG_MAX = 64, TARGET_BYTES = 128, REQUEST_BYTES_MAX = 65536 };

/** A store with one configuration, one lock and two servers in two pages; calls are logged. */
typedef struct scripted_store {
    uv_loop_t           loop;
    cw_http_listener_t *listener;
    const char         *epoch; /**< value of the header; NULL: no header */
    uint64_t            count; /**< revision as the store counts it */
    uint64_t            lock_count;
    uint64_t            version;              /**< of the configuration */
    bool                restores_within_list; /**< the epoch rises between the pages of the list */
    char                targets[LOG_MAX][TARGET_BYTES];
    size_t              calls;
    cw_http_exchange_t *held; /**< a watch of the configuration that waits; NULL: none */
} scripted_store_t;

static scripted_store_t store;
static void            *adapter;
static cw_store_port_t *port;
static uint64_t         epochs_seen[LOG_MAX];
static size_t           epoch_count;
static uint64_t         version_seen;
static uint64_t         evidence_version;
static size_t           evidence_count;
static size_t           lists_read;
static size_t           lists_failed;
static uint64_t         list_revision;
static cw_store_reply_t replied;
static bool             is_replied;

/* ---- the store ---- */

static void answer(cw_http_exchange_t *exchange, int status, json_t *body)
{
    cw_http_field_t    field = {.name = "Store-Era", .value = (char *)store.epoch};
    cw_http_fields_t   fields = {.items = &field, .count = store.epoch == NULL ? 0 : 1};
    char              *text = body == NULL ? strdup("") : json_dumps(body, JSON_COMPACT);
    cw_http_outbound_t outbound = {
        .status = status, .fields = &fields, .body = text, .body_length = strlen(text), .retry_after_s = -1};

    cw_http_exchange_answer(exchange, &outbound);
    json_decref(body);
    free(text);
}

static json_t *object(const char *name, uint64_t count, json_t *spec)
{
    return json_pack("{s:{s:s, s:I}, s:o}", "metadata", "name", name, "revision", (json_int_t)count, "spec", spec);
}

static json_t *configuration_object(void)
{
    return object("main", 3,
                  json_pack("{s:I, s:[], s:[]}", "version", (json_int_t)store.version, "routes", "services"));
}

static json_t *page(json_t *item, bool has_more)
{
    return json_pack("{s:[o], s:b, s:I}", "items", item, "has-more", has_more, "at", (json_int_t)store.count);
}

static json_t *server_object(const char *id)
{
    return object(id, 3,
                  json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i}", "service", "maps", "address", "10.0.0.1:80", "zone",
                            "z1", "version", "v1", "capacity", 2, "state", "ready", "sequence", 4));
}

static void handle_servers(cw_http_exchange_t *exchange, const char *target)
{
    if (strstr(target, "watch=") != NULL) {
        answer(exchange, 200, json_pack("{s:[], s:I}", "events", "at", (json_int_t)store.count));
    } else if (strstr(target, "after=") != NULL) {
        answer(exchange, 200, page(server_object("i-b"), false));
    } else {
        answer(exchange, 200, page(server_object("i-a"), true));
        store.epoch = store.restores_within_list ? "9" : store.epoch;
    }
}

static void handle_lock(cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    json_t *body = json_loadb(inbound->body == NULL ? "" : inbound->body, inbound->body_length, 0, NULL);
    json_t *revision = json_object_get(json_object_get(body, "metadata"), "revision");

    if (strcmp(inbound->method, "PUT") == 0 && (uint64_t)json_integer_value(revision) == store.lock_count) {
        store.lock_count++;
        answer(exchange, 200, object("main", store.lock_count, json_object()));
    } else {
        answer(exchange, strcmp(inbound->method, "PUT") == 0 ? 409 : 200,
               object("main", store.lock_count, json_object()));
    }
    json_decref(body);
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    (void)context;
    ck_assert_uint_lt(store.calls, LOG_MAX);
    snprintf(store.targets[store.calls++], TARGET_BYTES, "%s", inbound->target);
    if (strstr(inbound->target, "/servers") != NULL) {
        handle_servers(exchange, inbound->target);
    } else if (strstr(inbound->target, "cedarwinch-leaders") != NULL) {
        handle_lock(exchange, inbound);
    } else if (strstr(inbound->target, "config?watch=") != NULL) {
        store.held = exchange;
    } else {
        answer(exchange, 200, page(configuration_object(), false));
    }
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    store.held = store.held == exchange ? NULL : store.held;
}

/* ---- the adapter's user ---- */

static void on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    (void)context;
    ck_assert_msg(configuration != NULL, "%s", problem);
    version_seen = configuration->version;
    cw_configuration_release(configuration);
}

static void on_newest(void *context, uint64_t version, cw_time_us_t at)
{
    (void)context;
    (void)at;
    evidence_version = version;
    evidence_count++;
}

static void on_epoch(void *context, uint64_t epoch)
{
    (void)context;
    epochs_seen[epoch_count++] = epoch;
}

static void on_answered(void *context, bool is_answered, cw_time_us_t asked_at)
{
    (void)asked_at;
    (void)context;
    (void)is_answered;
}

static void on_servers(void *context, const cw_servers_read_t *read)
{
    (void)context;
    lists_read += read->list != NULL ? 1 : 0;
    lists_failed += read->list == NULL ? 1 : 0;
    list_revision = read->list != NULL ? read->revision : list_revision;
    cw_server_list_release(read->list);
}

static void on_replied(void *context, const cw_store_reply_t *reply)
{
    (void)context;
    replied = *reply;
    is_replied = true;
}

static bool has_configuration(void *context)
{
    (void)context;
    return version_seen == store.version;
}

static bool is_watching(void *context)
{
    (void)context;
    return store.held != NULL;
}

static bool has_list_ended(void *context)
{
    return lists_read + lists_failed == *(const size_t *)context;
}

static void setup(void)
{
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(10),
                                         .idle_timeout = CW_SECONDS(10)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_cancelled};
    cw_store_callbacks_t       readers = {.configuration = on_configuration,
                                          .configuration_newest = on_newest,
                                          .configuration_within = CW_SECONDS(2),
                                          .epoch = on_epoch,
                                          .answered = on_answered,
                                          .servers = on_servers};
    char                       address[32];

    memset(&store, 0, sizeof(store));
    epoch_count = 0;
    version_seen = 0;
    evidence_count = 0;
    lists_read = 0;
    lists_failed = 0;
    is_replied = false;
    store.epoch = "1";
    store.count = 80;
    store.lock_count = 70;
    store.version = 23;
    uv_loop_init(&store.loop);
    ck_assert_int_eq(cw_http_listener_create(&store.listener, &store.loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(store.listener));
    adapter = cw_adapter.create(&store.loop, address, &readers);
    port = cw_adapter.store(adapter);
    cw_test_run_until(&store.loop, has_configuration, NULL);
}

static void teardown(void)
{
    cw_adapter.close(adapter);
}

static void read_list(void)
{
    size_t ended = lists_read + lists_failed + 1;

    port->read_servers(port->context, CW_LIST_READ);
    cw_test_run_until(&store.loop, has_list_ended, &ended);
}

static void write_lock(uint64_t revision)
{
    json_t *value = json_object();

    is_replied = false;
    port->replace(port->context, "leaders", "main", revision, value, on_replied, NULL);
    json_decref(value);
    cw_test_run_until_set(&store.loop, &is_replied);
}

/* The store comes back from a copy. */
static void restore(uint64_t count)
{
    store.epoch = "2";
    store.count = count;
}

static bool was_called(const char *text, size_t from)
{
    size_t index;

    for (index = from; index < store.calls; index++) {
        if (strstr(store.targets[index], text) != NULL) {
            return true;
        }
    }
    return false;
}

/* ---- tests ---- */

START_TEST(each_later_epoch_is_reported_once)
{
    read_list();
    ck_assert_uint_eq(epoch_count, 1);
    ck_assert_uint_eq(epochs_seen[0], 1);
    restore(60);
    read_list();
    read_list();
    ck_assert_uint_eq(epoch_count, 2);
    ck_assert_uint_eq(epochs_seen[1], 2);
}
END_TEST

START_TEST(an_answer_without_a_valid_epoch_is_of_the_latest_one)
{
    restore(60);
    read_list();
    store.epoch = NULL;
    write_lock(cw_store_revision_join(2, 70));
    ck_assert_int_eq(replied.result, CW_STORE_DONE);
    ck_assert_uint_eq(cw_store_revision_epoch(replied.revision), 2);
    store.epoch = "two";
    write_lock(cw_store_revision_join(2, 71));
    ck_assert_uint_eq(cw_store_revision_epoch(replied.revision), 2);
    ck_assert_uint_eq(epoch_count, 2);
}
END_TEST

START_TEST(a_revision_is_joined_with_the_epoch_and_sent_without_it)
{
    write_lock(cw_store_revision_join(1, 70));
    ck_assert_int_eq(replied.result, CW_STORE_DONE);
    ck_assert_uint_eq(replied.revision, cw_store_revision_join(1, 71));
    ck_assert_uint_eq(replied.epoch, 1);
}
END_TEST

START_TEST(a_write_that_is_done_in_another_epoch_has_an_unknown_outcome)
{
    restore(60);
    store.lock_count = 70; /* the count of the condition is given out again */
    write_lock(cw_store_revision_join(1, 70));
    ck_assert_int_eq(replied.result, CW_STORE_UNKNOWN);
    ck_assert_uint_eq(replied.epoch, 2);
}
END_TEST

START_TEST(a_conflict_in_another_epoch_shows_the_present_object)
{
    restore(60);
    store.lock_count = 50;
    write_lock(cw_store_revision_join(1, 70));
    ck_assert_int_eq(replied.result, CW_STORE_CONFLICT);
    ck_assert_uint_eq(replied.revision, cw_store_revision_join(2, 50));
}
END_TEST

START_TEST(changes_of_the_list_in_another_epoch_are_not_used)
{
    size_t calls;

    read_list();
    ck_assert_uint_eq(list_revision, cw_store_revision_join(1, 80));
    calls = store.calls;
    restore(90); /* beyond the count of the list: the store has changes to report */
    read_list();
    ck_assert(was_called("servers?watch=80&", calls));
    ck_assert(was_called("servers?after=i-a", calls)); /* the list is read whole */
    ck_assert_uint_eq(list_revision, cw_store_revision_join(2, 90));
}
END_TEST

START_TEST(a_list_is_not_put_together_from_pages_of_two_epochs)
{
    store.restores_within_list = true;
    read_list();
    ck_assert_uint_eq(lists_failed, 1);
    store.restores_within_list = false;
    read_list();
    ck_assert_uint_eq(lists_read, 1);
}
END_TEST

START_TEST(a_watch_that_is_answered_in_another_epoch_is_not_continued)
{
    size_t calls;

    port->watch_configuration(port->context, CW_SECONDS(1));
    cw_test_run_until(&store.loop, is_watching, NULL);
    calls = store.calls;
    restore(85);
    store.version = 26; /* written between the copy and the watch's revision: no event shows it */
    answer(store.held, 200, json_pack("{s:[], s:I}", "events", "at", (json_int_t)store.count));
    store.held = NULL;
    cw_test_run_until(&store.loop, has_configuration, NULL);
    ck_assert_str_eq(store.targets[calls], "/api/objects/config"); /* read whole at once, not watched on */
}
END_TEST

START_TEST(an_older_configuration_than_the_one_in_force_is_no_evidence)
{
    size_t evidence;

    port->read_configuration(port->context);
    while (evidence_count == 0) {
        uv_run(&store.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(evidence_version, 23);
    restore(60);
    store.version = 20;
    port->watch_configuration(port->context, CW_SECONDS(1)); /* begins with a listing */
    evidence = evidence_count;
    port->read_configuration(port->context);
    cw_test_run_until(&store.loop, is_watching, NULL);
    ck_assert_uint_eq(version_seen, 23);
    ck_assert_uint_eq(evidence_count, evidence);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("adapter after a restore");
    TCase *cases = tcase_create("adapter after a restore");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, each_later_epoch_is_reported_once);
    tcase_add_test(cases, an_answer_without_a_valid_epoch_is_of_the_latest_one);
    tcase_add_test(cases, a_revision_is_joined_with_the_epoch_and_sent_without_it);
    tcase_add_test(cases, a_write_that_is_done_in_another_epoch_has_an_unknown_outcome);
    tcase_add_test(cases, a_conflict_in_another_epoch_shows_the_present_object);
    tcase_add_test(cases, changes_of_the_list_in_another_epoch_are_not_used);
    tcase_add_test(cases, a_list_is_not_put_together_from_pages_of_two_epochs);
    tcase_add_test(cases, a_watch_that_is_answered_in_another_epoch_is_not_continued);
    tcase_add_test(cases, an_older_configuration_than_the_one_in_force_is_no_evidence);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
