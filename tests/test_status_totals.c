/**
 * @file test_status_totals.c
 * @brief Tests of the sums over nodes that `cedarwinch status` prints.
 */
#include <stdio.h>
#include <string.h>

#include "cli/status_totals.h"
#include "loop_fixture.h"

static cw_status_totals_t totals;

static void add(const char *text)
{
    json_t *status = json_loads(text, 0, NULL);

    ck_assert_ptr_nonnull(status);
    cw_status_totals_add(&totals, status);
    json_decref(status);
}

static const char *printed(void)
{
    static char text[8192];
    FILE       *out = fmemopen(text, sizeof(text), "w");

    memset(text, 0, sizeof(text));
    cw_status_totals_print(&totals, out);
    fclose(out);
    cw_status_totals_clear(&totals);
    return text;
}

START_TEST(sums_the_statuses_of_nodes)
{
    add("{\"refused\":{\"401 unknown key\":2,\"503 no server\":1},\"sent\":{\"zone\":10,\"region\":5,\"remote\":1},"
        "\"pipelines\":{\"pipelined\":7,\"answers_waited\":3},\"tenants\":[{\"tenant\":\"a\",\"requests\":9,"
        "\"refused\":4,\"requests_per_s\":2.5,\"burst\":10,\"mode\":\"metered\",\"counted_by\":\"n2\"},"
        "{\"tenant\":\"(others)\",\"requests\":1,\"refused\":0}]}");
    add("{\"refused\":{\"401 unknown key\":1},\"sent\":{\"zone\":1,\"region\":1,\"remote\":1},"
        "\"pipelines\":{\"pipelined\":1,\"answers_waited\":0},\"tenants\":[{\"tenant\":\"a\",\"requests\":1,"
        "\"refused\":1,\"requests_per_s\":2.5,\"burst\":10,\"mode\":\"alone\",\"counted_by\":\"\"},"
        "{\"tenant\":\"b\",\"requests\":100,\"refused\":0}]}");
    ck_assert_str_eq(printed(),
                     "all that answered, since their starts:\n"
                     "  refused 401 unknown key: 3\n"
                     "  refused 503 no server: 1\n"
                     "  tenant a: 10 requests, 5 refused; limit 2.5 a second, burst 10, metered (1 nodes), alone (1 "
                     "nodes), counted by n2 (1 nodes)\n"
                     "  tenant b: 100 requests, 0 refused\n"
                     "  other tenants: 1 requests, 0 refused\n"
                     "  bytes to other nodes: 11 within zones, 6 to other zones of a region, 2 to other regions\n"
                     "  pipelined requests: 8; answers that waited for their turn: 3\n");
}
END_TEST

START_TEST(names_the_largest_tenants_and_sums_the_others)
{
    const char *text;
    const char *place;
    char        status[160];
    size_t      tenant;
    size_t      named = 0;

    for (tenant = 0; tenant < 100; tenant++) {
        snprintf(status, sizeof(status), "{\"tenants\":[{\"tenant\":\"t%zu\",\"requests\":2,\"refused\":%zu}]}", tenant,
                 tenant);
        add(status);
    }
    text = printed();
    for (place = strstr(text, "  tenant "); place != NULL; place = strstr(place + 1, "  tenant ")) {
        named++;
    }
    ck_assert_uint_eq(named, CW_STATUS_TENANTS_NAMED);
    ck_assert_ptr_nonnull(strstr(text, "  tenant t99: 2 requests, 99 refused\n"));
    ck_assert_ptr_nonnull(strstr(text, "  other tenants: 160 requests, 3160 refused\n")); /* 0 + 1 + ... + 79 */
}
END_TEST

START_TEST(missing_fields_of_a_node_count_as_zero)
{
    add("{\"node\":\"n1\"}");
    ck_assert_ptr_nonnull(strstr(printed(), "bytes to other nodes: 0 within zones"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("status_totals");
    TCase *cases = tcase_create("status_totals");

    tcase_add_test(cases, sums_the_statuses_of_nodes);
    tcase_add_test(cases, names_the_largest_tenants_and_sums_the_others);
    tcase_add_test(cases, missing_fields_of_a_node_count_as_zero);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
