/**
 * @file test_platform_bodies.c
 * @brief Decoding of answers of the platform's store: accepted bodies, and the place and reason of each refusal.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "loop_fixture.h"
#include "platform_internal.h"
#include "platform_salvage.h"

#define SERVICE  "\"service\":\"maps\","
#define ADDRESS  "\"address\":\"10.0.0.1:80\","
#define ZONE     "\"zone\":\"quay\","
#define CAPACITY "\"capacity\":4,"
#define STATE    "\"state\":\"ready\","
#define COLD     "\"cold_ms\":0,"
#define SEQUENCE "\"sequence\":7"
#define METADATA "\"metadata\":{\"name\":\"i-a\",\"revision\":3}"
#define SPEC     "{" SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE "}"
#define OBJECT   "{" METADATA ",\"spec\":" SPEC "}"

/** A body that is refused, and the place and reason that the problem names. */
typedef struct refusal {
    const char *body;
    const char *problem;
} refusal_t;

static json_t *load(const char *text)
{
    json_t *body = json_loads(text, 0, NULL);

    ck_assert_msg(body != NULL, "%s", text);
    return body;
}

/* ---- servers ---- */

/* Returns a list with the one server that an entry describes; NULL: the entry is refused. */
static cw_server_list_t *read_server(const char *text, cw_platform_problem_t *problem)
{
    cw_server_list_t  *list = cw_server_list_create();
    json_t            *body = load(text);
    cw_stored_object_t object;
    bool is_read = cw_platform_decode_object(&object, body, problem) && cw_platform_decode_server(list, &object);

    json_decref(body);
    ck_assert_uint_eq(list->count, is_read ? 1 : 0);
    if (!is_read) {
        cw_server_list_release(list);
        return NULL;
    }
    cw_server_list_seal(list);
    return list;
}

START_TEST(decodes_all_fields_of_an_entry)
{
    cw_platform_problem_t    problem;
    cw_server_list_t        *list = read_server("{" METADATA ",\"spec\":{" SERVICE ADDRESS ZONE CAPACITY
                                                "\"state\":\"draining\",\"cold_ms\":1500.5,\"sequence\":6000000000,"
                                                       "\"version\":\"v1\"}}",
                                                &problem);
    const cw_server_entry_t *entry;

    ck_assert_msg(list != NULL, "%s", problem.text);
    entry = cw_server_list_find(list, "i-a");
    ck_assert_str_eq(entry->service, "maps");
    ck_assert_str_eq(entry->address, "10.0.0.1:80");
    ck_assert_str_eq(entry->zone, "quay");
    ck_assert_uint_eq(entry->capacity, 4);
    ck_assert(entry->draining);
    ck_assert_uint_eq(entry->sequence, 6000000000);
    ck_assert_int_eq(entry->cold_time, 1500500);
    cw_server_list_release(list);
}
END_TEST

#define REFUSED_ENTRY(fields, reason)                                                                                  \
    {                                                                                                                  \
        "{" METADATA ",\"spec\":{" fields "}}", reason                                                                 \
    }

static const refusal_t server_refusals[] = {
    {"{}", "metadata: missing"},
    {"{\"metadata\":7}", "metadata: not an object"},
    {"{\"metadata\":{}}", "metadata.name: missing"},
    {"{\"metadata\":{\"name\":7}}", "metadata.name: not a text"},
    {"{\"metadata\":{\"name\":\"\"}}", "metadata.name: empty"},
    {"{\"metadata\":{\"name\":\"i-a\",\"revision\":\"3\"}}", "metadata.revision: not a whole number"},
    {"{" METADATA "}", "spec: missing"},
    {"{" METADATA ",\"spec\":null}", "spec: missing"},
    {"{" METADATA ",\"spec\":[]}", "spec: not an object"},
    {"{" METADATA "," SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE "}", "spec: missing"},
    REFUSED_ENTRY(ADDRESS ZONE CAPACITY STATE COLD SEQUENCE, "spec.service: missing"),
    REFUSED_ENTRY("\"service\":7," ADDRESS ZONE CAPACITY STATE COLD SEQUENCE, "spec.service: not a text"),
    REFUSED_ENTRY("\"service\":\"\"," ADDRESS ZONE CAPACITY STATE COLD SEQUENCE, "spec.service: empty"),
    REFUSED_ENTRY(SERVICE ZONE CAPACITY STATE COLD SEQUENCE, "spec.address: missing"),
    REFUSED_ENTRY(SERVICE "\"address\":80," ZONE CAPACITY STATE COLD SEQUENCE, "spec.address: not a text"),
    REFUSED_ENTRY(SERVICE ADDRESS CAPACITY STATE COLD SEQUENCE, "spec.zone: missing"),
    REFUSED_ENTRY(SERVICE ADDRESS "\"zone\":[]," CAPACITY STATE COLD SEQUENCE, "spec.zone: not a text"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE STATE COLD SEQUENCE, "spec.capacity: missing"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE "\"capacity\":\"4\"," STATE COLD SEQUENCE, "spec.capacity: not a number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE "\"capacity\":-4," STATE COLD SEQUENCE, "spec.capacity: below zero"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE "\"capacity\":1.5," STATE COLD SEQUENCE,
                  "spec.capacity: not a whole number, or too large"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE "\"capacity\":1e10," STATE COLD SEQUENCE,
                  "spec.capacity: not a whole number, or too large"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY COLD SEQUENCE, "spec.state: missing"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY "\"state\":true," COLD SEQUENCE, "spec.state: not a text"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY "\"state\":\"Ready\"," COLD SEQUENCE,
                  "spec.state: neither ready nor draining"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE SEQUENCE, "spec.cold_ms: missing"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE "\"cold_ms\":\"0\"," SEQUENCE, "spec.cold_ms: not a number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE "\"cold_ms\":-1," SEQUENCE, "spec.cold_ms: below zero"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE "\"cold_ms\":1e300," SEQUENCE, "spec.cold_ms: too large"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE "\"cold_ms\":0", "spec.sequence: missing"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD "\"sequence\":\"7\"", "spec.sequence: not a whole number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD "\"sequence\":7.5", "spec.sequence: not a whole number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD "\"sequence\":-7", "spec.sequence: not a whole number"),
    REFUSED_ENTRY(SERVICE
                  "\"address\":\"10.0.0.1:80 of a machine with a long name\"," ZONE CAPACITY STATE COLD SEQUENCE,
                  "spec.address: too long"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE ",\"born\":\"7\"", "spec.born: not a whole number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE ",\"born\":1.5", "spec.born: not a whole number"),
    REFUSED_ENTRY(SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE ",\"born\":-1", "spec.born: not a whole number"),
    {"{\"metadata\":{\"name\":\"i-0123456789abcdef0123456789abcdef0123456789abcdef\"},\"spec\":" SPEC "}",
     "spec: the name of its object is too long"},
};

START_TEST(refuses_an_entry_with_a_malformed_field_and_names_its_place)
{
    cw_platform_problem_t problem;

    ck_assert_ptr_null(read_server(server_refusals[_i].body, &problem));
    ck_assert_str_eq(problem.text, server_refusals[_i].problem);
}
END_TEST

START_TEST(start_time_of_a_server_is_part_of_its_id)
{
    cw_platform_problem_t problem;
    cw_server_list_t *list = read_server("{" METADATA ",\"spec\":{" SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE
                                         ",\"born\":1796276400123}}",
                                         &problem);

    ck_assert_ptr_nonnull(list);
    ck_assert_str_eq(list->entries[0].id, "i-a@1796276400123");
    cw_server_list_release(list);
}
END_TEST

/* ---- listings ---- */

START_TEST(decodes_a_page_of_a_listing)
{
    json_t               *body = load("{\"items\":[" OBJECT "],\"has-more\":true,\"at\":530}");
    cw_platform_problem_t problem;
    cw_listing_page_t     page;
    cw_stored_object_t    object;

    ck_assert(cw_platform_decode_page(&page, body, 0, &problem));
    ck_assert_uint_eq(json_array_size(page.objects), 1);
    ck_assert(page.has_more);
    ck_assert_uint_eq(page.revision, 530);
    ck_assert(cw_platform_decode_listed(&object, body, 0, &problem));
    ck_assert_str_eq(object.name, "i-a");
    ck_assert_uint_eq(object.count, 3);
    json_decref(body);
}
END_TEST

static const refusal_t page_refusals[] = {
    {"[]", "body: not an object"},
    {"{\"has-more\":false,\"at\":3}", "items: missing"},
    {"{\"items\":{},\"has-more\":false,\"at\":3}", "items: not a list"},
    {"{\"items\":[],\"at\":3}", "has-more: missing"},
    {"{\"items\":[],\"has-more\":0,\"at\":3}", "has-more: neither true nor false"},
    {"{\"items\":[],\"has-more\":true,\"at\":3}", "items: empty, though there are more"},
    {"{\"items\":[],\"has-more\":false}", "at: missing"},
    {"{\"items\":[],\"has-more\":false,\"at\":\"3\"}", "at: not a whole number"},
    {"{\"items\":[],\"has-more\":false,\"at\":-3}", "at: not a whole number"},
    {"{\"items\":[],\"has-more\":false,\"at\":3.5}", "at: not a whole number"},
};

START_TEST(refuses_a_page_with_a_malformed_field)
{
    json_t               *body = load(page_refusals[_i].body);
    cw_platform_problem_t problem;
    cw_listing_page_t     page;

    ck_assert(!cw_platform_decode_page(&page, body, 0, &problem));
    ck_assert_str_eq(problem.text, page_refusals[_i].problem);
    json_decref(body);
}
END_TEST

START_TEST(refuses_a_malformed_listed_object_with_its_position)
{
    json_t               *body = load("{\"items\":[" OBJECT ",{\"metadata\":{}},7],\"has-more\":false,\"at\":530}");
    cw_platform_problem_t problem;
    cw_stored_object_t    object;

    ck_assert(!cw_platform_decode_listed(&object, body, 1, &problem));
    ck_assert_str_eq(problem.text, "items[1].metadata.name: missing");
    ck_assert(!cw_platform_decode_listed(&object, body, 2, &problem));
    ck_assert_str_eq(problem.text, "items[2]: not an object");
    ck_assert(cw_platform_decode_listed(&object, body, 0, &problem)); /* the earlier problem is cleared */
    json_decref(body);
}
END_TEST

/* ---- watches ---- */

START_TEST(decodes_changes)
{
    json_t               *body = load("{\"events\":[{\"gone\":true,\"object\":" OBJECT "}],\"at\":533}");
    cw_platform_problem_t problem;
    cw_object_changes_t   changes;
    cw_object_change_t    change;

    ck_assert(cw_platform_decode_changes(&changes, body, 0, &problem));
    ck_assert_uint_eq(json_array_size(changes.events), 1);
    ck_assert_uint_eq(changes.revision, 533);
    ck_assert(cw_platform_decode_change(&change, body, 0, &problem));
    ck_assert(change.is_gone);
    ck_assert_str_eq(change.object.name, "i-a");
    json_decref(body);
}
END_TEST

static const refusal_t changes_refusals[] = {
    {"{\"at\":3}", "events: missing"},
    {"{\"events\":7,\"at\":3}", "events: not a list"},
    {"{\"events\":[]}", "at: missing"},
    {"{\"events\":[],\"at\":true}", "at: not a whole number"},
};

START_TEST(refuses_changes_with_a_malformed_field)
{
    json_t               *body = load(changes_refusals[_i].body);
    cw_platform_problem_t problem;
    cw_object_changes_t   changes;

    ck_assert(!cw_platform_decode_changes(&changes, body, 0, &problem));
    ck_assert_str_eq(problem.text, changes_refusals[_i].problem);
    json_decref(body);
}
END_TEST

static const refusal_t change_refusals[] = {
    {"{\"events\":[7]}", "events[0]: not an object"},
    {"{\"events\":[{\"gone\":false}]}", "events[0].object: missing"},
    {"{\"events\":[{\"gone\":false,\"object\":[]}]}", "events[0].object: not an object"},
    {"{\"events\":[{\"object\":" OBJECT "}]}", "events[0].gone: missing"},
    {"{\"events\":[{\"gone\":\"false\",\"object\":" OBJECT "}]}", "events[0].gone: neither true nor false"},
    {"{\"events\":[{\"gone\":false,\"object\":{\"metadata\":{\"name\":7}}}]}",
     "events[0].object.metadata.name: not a text"},
};

START_TEST(refuses_a_change_with_a_malformed_field)
{
    json_t               *body = load(change_refusals[_i].body);
    cw_platform_problem_t problem;
    cw_object_change_t    change;

    ck_assert(!cw_platform_decode_change(&change, body, 0, &problem));
    ck_assert_str_eq(problem.text, change_refusals[_i].problem);
    json_decref(body);
}
END_TEST

static bool is_complete; /* each change that was applied last names its entry */

static cw_server_list_t *apply(const cw_server_list_t *list, const char *events)
{
    char              text[2048];
    json_t           *body;
    cw_server_list_t *changed;

    snprintf(text, sizeof(text), "{\"events\":[%s],\"at\":9}", events);
    body = load(text);
    changed = cw_platform_apply_changes(list, body, &is_complete);
    json_decref(body);
    return changed;
}

#define EVENT(gone, object) "{\"gone\":" gone ",\"object\":" object "}"

START_TEST(skips_malformed_changes_and_applies_the_others)
{
    cw_server_list_t *empty = cw_server_list_create();
    cw_server_list_t *list =
        apply(empty, "null,7," EVENT("false", "{\"spec\":{}}") "," EVENT("false", OBJECT) "," EVENT(
                         "false", "{\"metadata\":{\"name\":\"i-b\"},\"spec\":{\"service\":7}}"));

    ck_assert_uint_eq(list->count, 1);
    ck_assert_str_eq(list->entries[0].id, "i-a");
    ck_assert(!is_complete);
    cw_server_list_release(list);
    list = apply(empty, EVENT("false", OBJECT) "," EVENT("7", "{\"metadata\":{\"name\":\"i-b\"}}"));
    ck_assert_uint_eq(list->count, 1);
    ck_assert(is_complete);
    cw_server_list_release(list);
    cw_server_list_release(empty);
}
END_TEST

START_TEST(last_of_several_changes_of_a_server_counts)
{
    cw_server_list_t *empty = cw_server_list_create();
    cw_server_list_t *list =
        apply(empty, EVENT("false", "{" METADATA ",\"spec\":{" SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE
                                    ",\"born\":1000}}") "," EVENT("true", OBJECT) "," EVENT("false", OBJECT));
    cw_server_list_t *without;

    ck_assert_uint_eq(list->count, 1);
    ck_assert_str_eq(list->entries[0].id, "i-a");
    without = apply(list, EVENT("true", OBJECT));
    ck_assert_uint_eq(without->count, 0);
    cw_server_list_release(without);
    cw_server_list_release(list);
    cw_server_list_release(empty);
}
END_TEST

START_TEST(restarted_server_replaces_its_former_incarnation)
{
    cw_server_list_t *empty = cw_server_list_create();
    cw_server_list_t *list =
        apply(empty, EVENT("false", "{" METADATA ",\"spec\":{" SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE
                                    ",\"born\":1000}}"));
    cw_server_list_t *again =
        apply(list, EVENT("false", "{" METADATA ",\"spec\":{" SERVICE ADDRESS ZONE CAPACITY STATE COLD SEQUENCE
                                   ",\"born\":2000}}"));

    ck_assert_uint_eq(again->count, 1);
    ck_assert_str_eq(again->entries[0].id, "i-a@2000");
    cw_server_list_release(again);
    cw_server_list_release(list);
    cw_server_list_release(empty);
}
END_TEST

/* ---- entries with invalid bytes ---- */

static const char *const unreadable[] = {
    "{\"metadata\":{\"name\":\"i-x\"},\"spec\":{\"service\":\"\xff\xfe\"}}",          /* invalid UTF-8 */
    "{\"metadata\":{\"name\":\"i-x\"},\"spec\":{\"sequence\":99999999999999999999}}", /* beyond the range of integers */
    "{\"metadata\":{\"name\":\"i-\\u0000x\"},\"spec\":{}}",                           /* a zero byte in a text */
    "nonsense",
    "{\"a\":}",
};

/* Names that are found in these entries; NULL: none. */
static const char *const unreadable_names[] = {"i-x", "i-x", NULL, NULL, NULL};

static const char *const unreadable_problems[] = {NULL, NULL, "items[0].metadata.name: missing",
                                                  "items[0]: not an object", "items[0]: not an object"};
static const bool        is_structure_broken[] = {false, false, false, false, true};

START_TEST(entry_with_invalid_bytes_does_not_affect_the_others)
{
    cw_server_list_t     *none = cw_server_list_create();
    char                  text[2048];
    json_t               *body;
    cw_salvaged_t         salvaged;
    cw_platform_problem_t problem;
    cw_listing_page_t     page;
    cw_stored_object_t    object;

    snprintf(text, sizeof(text), "{\"items\":[%s,%s],\"has-more\":true,\"at\":530}", unreadable[_i], OBJECT);
    ck_assert_ptr_null(json_loads(text, 0, NULL));
    salvaged = cw_platform_salvage(text, strlen(text));
    body = salvaged.body;
    ck_assert_uint_eq(salvaged.broken_at, is_structure_broken[_i] ? 0 : 2);
    ck_assert(cw_platform_decode_page(&page, body, 0, &problem));
    ck_assert(page.has_more);
    ck_assert_uint_eq(page.revision, 530);
    ck_assert_uint_eq(json_array_size(page.objects), 2);
    if (unreadable_names[_i] == NULL) {
        ck_assert(!cw_platform_decode_listed(&object, body, 0, &problem));
        ck_assert_str_eq(problem.text, unreadable_problems[_i]);
    } else { /* it names no server, but the place after which the listing goes on */
        ck_assert(cw_platform_decode_listed(&object, body, 0, &problem));
        ck_assert_str_eq(object.name, unreadable_names[_i]);
        ck_assert(!cw_platform_decode_server(none, &object));
        ck_assert_uint_eq(none->count, 0);
    }
    ck_assert(cw_platform_decode_listed(&object, body, 1, &problem));
    ck_assert_str_eq(object.name, "i-a");
    cw_server_list_release(none);
    json_decref(body);
}
END_TEST

static const char *const broken[] = {"", "[]", "{", "{\"items\":[", "{\"items\":[{]}", "{\"items", "{\"items\"}"};

START_TEST(body_with_a_broken_structure_is_refused)
{
    cw_salvaged_t         salvaged = cw_platform_salvage(broken[_i], strlen(broken[_i]));
    cw_platform_problem_t problem;
    cw_listing_page_t     page;

    ck_assert(salvaged.body == NULL || salvaged.is_broken);
    ck_assert(!cw_platform_decode_page(&page, salvaged.body, 0, &problem));
    json_decref(salvaged.body);
}
END_TEST

START_TEST(logs_a_malformed_entry_once_and_counts_each_reading)
{
    cw_platform_problem_t problem = {.text = "items[0].spec.born: not a whole number"};
    uint64_t              before = cw_metric_value(CW_METRIC_STORE_BODIES_MALFORMED);
    int                   pipe_ends[2];
    char                  log[4096];
    ssize_t               length;
    const char           *first;

    ck_assert_int_eq(pipe(pipe_ends), 0);
    cw_event_log_open(pipe_ends[1], "n1", CW_EVENT_INFO);
    cw_platform_log_malformed_entry("servers", "i-seen-once", &problem);
    cw_platform_log_malformed_entry("servers", "i-seen-once", &problem);
    cw_event_log_flush(CW_SECONDS(1));
    length = read(pipe_ends[0], log, sizeof(log) - 1);
    ck_assert_int_gt(length, 0);
    log[length] = '\0';
    first = strstr(log, "i-seen-once");
    ck_assert_ptr_nonnull(first);
    ck_assert_ptr_null(strstr(first + 1, "i-seen-once"));
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_STORE_BODIES_MALFORMED), before + 2);
}
END_TEST

#define COUNT(list) ((int)(sizeof(list) / sizeof((list)[0])))

static cw_changes_step_t step_after(size_t events, uint32_t answers)
{
    return cw_platform_changes_step(&(cw_changes_answer_t){.events = events, .answers = answers});
}

START_TEST(requests_further_changes_at_once_after_a_truncated_answer)
{
    ck_assert_int_eq(step_after(1, 1), CW_CHANGES_ALL);
    ck_assert_int_eq(step_after(500, 1), CW_CHANGES_CONTINUE);
    ck_assert_int_eq(step_after(500, 20), CW_CHANGES_CONTINUE); /* 10,000 servers that start at once: 20 answers */
    ck_assert_int_eq(step_after(3, 20), CW_CHANGES_ALL);
    ck_assert_int_eq(step_after(500, CW_CHANGES_ANSWERS_MAX), CW_CHANGES_TOO_MANY);
}
END_TEST

/* Guards against: an answer that the store ends since an entry has many bytes is taken for all changes. */
START_TEST(requests_further_changes_after_an_answer_that_many_bytes_may_have_ended)
{
    cw_changes_answer_t full = {.events = 1, .answers = 1, .bytes = CW_CHANGES_TRUNCATION_BYTES};
    cw_changes_answer_t before = {.events = 1, .answers = 1, .has_large = true, .is_latest = true};
    cw_changes_answer_t not_latest = {.events = 1, .answers = 1, .has_large = true};
    cw_changes_answer_t none = {.events = 0, .answers = 1, .has_large = true, .is_latest = true};

    ck_assert_int_eq(cw_platform_changes_step(&full), CW_CHANGES_CONTINUE);
    ck_assert_int_eq(cw_platform_changes_step(&before), CW_CHANGES_CONTINUE);
    ck_assert_int_eq(cw_platform_changes_step(&not_latest), CW_CHANGES_ALL);
    ck_assert_int_eq(cw_platform_changes_step(&none), CW_CHANGES_ALL);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("platform bodies");
    TCase *cases = tcase_create("bodies");

    tcase_add_test(cases, decodes_all_fields_of_an_entry);
    tcase_add_loop_test(cases, refuses_an_entry_with_a_malformed_field_and_names_its_place, 0, COUNT(server_refusals));
    tcase_add_test(cases, decodes_a_page_of_a_listing);
    tcase_add_loop_test(cases, refuses_a_page_with_a_malformed_field, 0, COUNT(page_refusals));
    tcase_add_test(cases, refuses_a_malformed_listed_object_with_its_position);
    tcase_add_test(cases, decodes_changes);
    tcase_add_loop_test(cases, refuses_changes_with_a_malformed_field, 0, COUNT(changes_refusals));
    tcase_add_loop_test(cases, refuses_a_change_with_a_malformed_field, 0, COUNT(change_refusals));
    tcase_add_test(cases, start_time_of_a_server_is_part_of_its_id);
    tcase_add_test(cases, skips_malformed_changes_and_applies_the_others);
    tcase_add_test(cases, last_of_several_changes_of_a_server_counts);
    tcase_add_test(cases, restarted_server_replaces_its_former_incarnation);
    tcase_add_loop_test(cases, entry_with_invalid_bytes_does_not_affect_the_others, 0, COUNT(unreadable));
    tcase_add_loop_test(cases, body_with_a_broken_structure_is_refused, 0, COUNT(broken));
    tcase_add_test(cases, logs_a_malformed_entry_once_and_counts_each_reading);
    tcase_add_test(cases, requests_further_changes_at_once_after_a_truncated_answer);
    tcase_add_test(cases, requests_further_changes_after_an_answer_that_many_bytes_may_have_ended);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
