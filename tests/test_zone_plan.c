/**
 * @file test_zone_plan.c
 * @brief Tests of plans for taking zones out of service and putting them back.
 */
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "intent/zone_plan.h"
#include "loop_fixture.h"

static cw_server_list_t *list;
static char              findings_text[1024];
static char              lines_text[1024];

static void add(const char *id, const char *service, const char *zone)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup(service);
    entry->address = strdup("10.0.0.1:1");
    entry->zone = strdup(zone);
}

static void setup(void)
{
    list = cw_server_list_create();
    add("a", "maps", "z1");
    add("b", "maps", "z1");
    add("c", "maps", "z2");
    add("d", "maps", "z3");
    add("e", "hires", "z1");
    add("f", "hires", "z2");
    add("g", "rides", "z3");
}

static void teardown(void)
{
    cw_server_list_release(list);
}

static int make(const char *zone, cw_zone_change_t change, char id[20])
{
    const cw_zone_keys_t keys[] = {{.service = "maps", .share = 0.625}};
    FILE                *out = fmemopen(findings_text, sizeof(findings_text), "w");
    cw_findings_t        findings;
    cw_zone_plan_t       plan;
    int                  error;

    memset(findings_text, 0, sizeof(findings_text));
    cw_findings_init(&findings);
    error = cw_zone_plan_make(&plan, zone, change, list, keys, 1, &findings);
    cw_findings_print(&findings, out);
    fclose(out);
    snprintf(lines_text, sizeof(lines_text), "%.*s", (int)plan.lines.length,
             plan.lines.data == NULL ? "" : plan.lines.data);
    memcpy(id, plan.id, sizeof(plan.id));
    cw_zone_plan_clear(&plan);
    cw_findings_clear(&findings);
    return error;
}

START_TEST(plan_shows_servers_in_the_zone_and_servers_left)
{
    char id[20];

    ck_assert_int_eq(make("z1", CW_ZONE_TAKEN_OUT, id), CW_OK);
    ck_assert_str_eq(lines_text, "- service hires: 1 of 2 servers; 1 left in z2\n"
                                 "- service maps: 2 of 4 servers, 62.5 % of its keys; 2 left in z2, z3\n");
    cw_name_set_add(&list->zones_out, "z1");
    ck_assert_int_eq(make("z1", CW_ZONE_PUT_BACK, id), CW_OK);
    ck_assert_str_eq(lines_text, "+ service hires: 1 servers, cold at first, beside 1\n"
                                 "+ service maps: 2 servers, cold at first, beside 2\n");
}
END_TEST

START_TEST(taking_out_the_last_zone_of_a_service_is_a_finding)
{
    char id[20];

    ck_assert_int_eq(make("z3", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(findings_text, "service 'rides' has no server in any other zone in service"));
    cw_name_set_add(&list->zones_out, "z2"); /* servers in a zone out of service do not count as left */
    ck_assert_int_eq(make("z1", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(findings_text, "service 'hires' has no server"));
    ck_assert_ptr_null(strstr(findings_text, "maps"));
}
END_TEST

START_TEST(draining_or_missing_servers_do_not_count_as_left)
{
    char id[20];

    list->entries[5].draining = true;
    ck_assert_int_eq(make("z1", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
    list->entries[5].draining = false;
    list->entries[5].missing_since = 1;
    ck_assert_int_eq(make("z1", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
}
END_TEST

START_TEST(change_that_is_made_already_or_unknown_zone_is_a_finding)
{
    char id[20];

    ck_assert_int_eq(make("z9", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(findings_text, "no server is in such a zone"));
    ck_assert_int_eq(make("z1", CW_ZONE_PUT_BACK, id), CW_ERROR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(findings_text, "is not out of service"));
    cw_name_set_add(&list->zones_out, "z1");
    ck_assert_int_eq(make("z1", CW_ZONE_TAKEN_OUT, id), CW_ERROR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(findings_text, "is out of service already"));
}
END_TEST

START_TEST(plan_id_depends_on_the_zones_left)
{
    char first[20];
    char again[20];
    char other[20];
    char later[20];

    (void)make("z1", CW_ZONE_TAKEN_OUT, first);
    add("h", "maps", "z2"); /* a new server in a zone that has servers of the service does not change the id */
    (void)make("z1", CW_ZONE_TAKEN_OUT, again);
    (void)make("z2", CW_ZONE_TAKEN_OUT, other);
    cw_name_set_add(&list->zones_out, "z3");
    (void)make("z1", CW_ZONE_TAKEN_OUT, later);
    ck_assert_str_eq(first, again);
    ck_assert_str_ne(first, other);
    ck_assert_str_ne(first, later);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("zone_plan");
    TCase *cases = tcase_create("zone_plan");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, plan_shows_servers_in_the_zone_and_servers_left);
    tcase_add_test(cases, taking_out_the_last_zone_of_a_service_is_a_finding);
    tcase_add_test(cases, draining_or_missing_servers_do_not_count_as_left);
    tcase_add_test(cases, change_that_is_made_already_or_unknown_zone_is_a_finding);
    tcase_add_test(cases, plan_id_depends_on_the_zones_left);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
