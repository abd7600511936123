/**
 * @file test_intent.c
 * @brief Tests of intents, of plans, of configurations in the store's format, and of the gates that limit a tenant's
 * concurrent requests.
 */
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "intent/plan.h"
#include "loop_fixture.h"
#include "platform_internal.h"
#include "tenancy/tenant_gate.h"

static const char valid_intent[] =
    "tenant: liffeyspoke\n"
    "requests_per_s: 100\n"
    "services:\n"
    "  - {name: maps, keyed: true, warm_ms: 2000}\n"
    "  - {name: hires}\n"
    "routes:\n"
    "  - {name: maps, host: maps.example, prefix: /docks/, service: maps, repeatable: true,\n"
    "     timeout_ms: 1000, aim_ms: 500, regions: [leinster, munster]}\n"
    "  - name: hires\n"
    "    host: maps.example\n"
    "    prefix: /hire/\n"
    "    split: [{service: hires, weight: 3}, {service: maps, weight: 1}]\n";

static size_t findings_of(const char *text)
{
    cw_findings_t findings;
    cw_intent_t   intent;
    size_t        count;

    cw_findings_init(&findings);
    (void)cw_intent_parse(&intent, text, strlen(text), "test.yaml", NULL, &findings);
    count = findings.count;
    cw_intent_clear(&intent);
    cw_findings_clear(&findings);
    return count;
}

static void parse(cw_intent_t *intent, const char *text)
{
    cw_findings_t findings;

    cw_findings_init(&findings);
    ck_assert_int_eq(cw_intent_parse(intent, text, strlen(text), "test.yaml", NULL, &findings), CW_OK);
    cw_findings_clear(&findings);
}

START_TEST(valid_intent_is_read_completely)
{
    cw_intent_t intent;

    parse(&intent, valid_intent);
    ck_assert_str_eq(intent.tenant, "liffeyspoke");
    ck_assert_uint_eq(intent.configuration->route_count, 2);
    ck_assert_str_eq(intent.configuration->routes[0].name, "liffeyspoke/maps");
    ck_assert(intent.configuration->routes[0].repeatable);
    ck_assert(!intent.configuration->routes[1].repeatable);
    ck_assert_uint_eq(intent.configuration->routes[1].part_count, 2);
    ck_assert(cw_configuration_service(intent.configuration, "liffeyspoke/maps")->keyed);
    cw_intent_clear(&intent);
}
END_TEST

START_TEST(each_error_of_an_intent_is_a_finding)
{
    ck_assert_uint_ge(findings_of("tenant: a\n"), 2);
    ck_assert_uint_ge(findings_of("tenant: a b\nservices: []\nroutes: []\n"), 1);
    ck_assert_uint_eq(findings_of("tenant: a\nservices: []\nroutes:\n"
                                  "  - {name: r, host: h, prefix: /x, service: s}\n"),
                      2); /* the service does not exist; the prefix does not end with a slash */
    ck_assert_uint_eq(findings_of("tenant: a\nservices: [{name: s}]\nroutes:\n"
                                  "  - {name: r, host: h, prefix: /x/, service: s, aim_ms: 9, timeout_ms: 5}\n"),
                      1);
    ck_assert_uint_eq(findings_of("tenant: a\nservices: [{name: s}]\nroutes:\n"
                                  "  - {name: r, host: h, prefix: /x/, service: s}\n"
                                  "  - {name: q, host: h, prefix: /x/, service: s}\n"),
                      1);
    ck_assert_uint_eq(findings_of("tenant: a\nservices: [{name: s}]\nroutes:\n"
                                  "  - {name: r, host: h, prefix: /x/}\n"),
                      1);
    ck_assert_uint_ge(findings_of(": not yaml ["), 1);
}
END_TEST

static int make(cw_plan_t *plan, const char *text, const cw_configuration_t *present, uint64_t revision)
{
    cw_findings_t findings;
    cw_intent_t   intent;
    int           error;

    cw_findings_init(&findings);
    parse(&intent, text);
    error = cw_plan_make(plan, &intent, present, revision, "test.yaml", &findings);
    cw_intent_clear(&intent);
    cw_findings_clear(&findings);
    return error;
}

START_TEST(plan_lists_changes_and_keeps_other_tenants)
{
    static const char other[] = "tenant: rimac\nservices: [{name: s}]\nroutes:\n"
                                "  - {name: r, host: rimac.example, prefix: /x/, service: s}\n";
    cw_plan_t         first;
    cw_plan_t         second;
    cw_plan_t         third;

    ck_assert_int_eq(make(&first, valid_intent, NULL, 0), CW_OK);
    ck_assert_uint_eq(first.change_count, 5);
    ck_assert_uint_eq(first.configuration->version, 1);
    ck_assert_int_eq(make(&second, other, first.configuration, 10), CW_OK);
    ck_assert_uint_eq(second.configuration->route_count, 3);
    ck_assert_uint_eq(second.configuration->version, 2);
    ck_assert_int_eq(
        make(&third, "tenant: liffeyspoke\nservices: [{name: maps}]\nroutes: []\n", second.configuration, 11), CW_OK);
    ck_assert_uint_eq(third.configuration->route_count, 1);
    cw_bytes_append(&third.changes, "", 1);
    ck_assert_ptr_nonnull(strstr(third.changes.data, "- route liffeyspoke/hires"));
    ck_assert_ptr_nonnull(strstr(third.changes.data, "~ service liffeyspoke/maps"));
    ck_assert_ptr_null(strstr(third.changes.data, "rimac"));
    cw_plan_clear(&first);
    cw_plan_clear(&second);
    cw_plan_clear(&third);
}
END_TEST

START_TEST(plan_id_depends_on_intent_and_present_configuration)
{
    char      changed[2048];
    cw_plan_t plan;
    cw_plan_t same;
    cw_plan_t later;
    cw_plan_t edited;

    snprintf(changed, sizeof(changed), "%s", valid_intent);
    *strstr(changed, "1000") = '2';
    ck_assert_int_eq(make(&plan, valid_intent, NULL, 5), CW_OK);
    ck_assert_int_eq(make(&same, valid_intent, NULL, 5), CW_OK);
    ck_assert_int_eq(make(&later, valid_intent, NULL, 6), CW_OK);
    ck_assert_int_eq(make(&edited, changed, NULL, 5), CW_OK);
    ck_assert_str_eq(plan.id, same.id);
    ck_assert_str_ne(plan.id, later.id);
    ck_assert_str_ne(plan.id, edited.id);
    cw_plan_clear(&plan);
    cw_plan_clear(&same);
    cw_plan_clear(&later);
    cw_plan_clear(&edited);
}
END_TEST

START_TEST(another_tenants_host_and_prefix_are_refused)
{
    cw_plan_t first;
    cw_plan_t second;

    ck_assert_int_eq(make(&first, valid_intent, NULL, 0), CW_OK);
    ck_assert_int_eq(make(&second,
                          "tenant: thief\nservices: [{name: s}]\nroutes:\n"
                          "  - {name: r, host: maps.example, prefix: /docks/, service: s}\n",
                          first.configuration, 1),
                     CW_ERROR_CONFLICT);
    cw_plan_clear(&first);
    cw_plan_clear(&second);
}
END_TEST

#define DIGEST "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272"
#define EMPTY  "services: []\nroutes: []\n"

START_TEST(another_tenants_key_is_refused)
{
    cw_plan_t first;
    cw_plan_t second;

    ck_assert_int_eq(make(&first, "tenant: a\ntokens: [" DIGEST "]\n" EMPTY, NULL, 0), CW_OK);
    ck_assert_int_eq(make(&second, "tenant: b\ntokens: [" DIGEST "]\n" EMPTY, first.configuration, 1),
                     CW_ERROR_CONFLICT);
    cw_plan_clear(&second);
    ck_assert_int_eq(make(&second, "tenant: a\ntokens: [" DIGEST "]\n" EMPTY, first.configuration, 1), CW_OK);
    cw_plan_clear(&first);
    cw_plan_clear(&second);
}
END_TEST

START_TEST(tenant_without_key_list_is_open_and_with_empty_list_is_closed)
{
    cw_plan_t open;
    cw_plan_t closed;

    ck_assert_int_eq(make(&open, "tenant: a\n" EMPTY, NULL, 0), CW_OK);
    ck_assert(!open.configuration->needs_keys);
    ck_assert_int_eq(make(&closed, "tenant: a\ntokens: []\n" EMPTY, open.configuration, 0), CW_OK);
    ck_assert(closed.configuration->needs_keys);
    ck_assert_str_ne(open.id, closed.id);
    cw_bytes_append(&closed.changes, "", 1);
    ck_assert_ptr_nonnull(strstr(closed.changes.data, "~ tenant a"));
    cw_plan_clear(&open);
    cw_plan_clear(&closed);
}
END_TEST

START_TEST(configuration_is_read_back_from_the_store_unchanged)
{
    cw_plan_t             plan;
    cw_configuration_t   *read_back;
    json_t               *value;
    cw_platform_problem_t problem;

    ck_assert_int_eq(make(&plan, valid_intent, NULL, 0), CW_OK);
    value = cw_platform_write_configuration(plan.configuration);
    read_back = cw_platform_parse_configuration(value, &problem);
    ck_assert_ptr_nonnull(read_back);
    ck_assert_uint_eq(read_back->route_count, 2);
    ck_assert_uint_eq(read_back->tenant_count, 1);
    ck_assert_double_eq(read_back->tenants[0].rate_per_s, 100);
    ck_assert_int_eq(cw_configuration_match(read_back, "maps.example", "/docks/1")->timeout, CW_MS(1000));
    ck_assert_uint_eq(cw_configuration_match(read_back, "maps.example", "/docks/1")->regions.count, 2);
    ck_assert(cw_name_set_has(&cw_configuration_match(read_back, "maps.example", "/docks/1")->regions, "munster"));
    ck_assert_uint_eq(cw_configuration_match(read_back, "maps.example", "/hire/1")->regions.count, 0);
    ck_assert_int_eq(cw_configuration_service(read_back, "liffeyspoke/maps")->warm_time, CW_MS(2000));
    json_decref(value);
    cw_configuration_release(read_back);
    cw_plan_clear(&plan);
}
END_TEST

START_TEST(invalid_configuration_is_refused_with_its_problem)
{
    cw_platform_problem_t problem;
    json_t *value = json_loads("{\"version\":3,\"routes\":[{\"host\":\"h\",\"path-prefix\":\"/\"}]}", 0, NULL);

    ck_assert_ptr_null(cw_platform_parse_configuration(value, &problem));
    ck_assert_str_eq(problem.text, "routes[0].name: missing");
    json_decref(value);
    value =
        json_loads("{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\",\"service\":\"s\","
                   "\"allowed-regions\":\"leinster\"}]}",
                   0, NULL); /* if it were read as no restriction, requests would be sent to any region */
    ck_assert_ptr_null(cw_platform_parse_configuration(value, &problem));
    json_decref(value);
    value = json_loads("{\"routes\":[]}", 0, NULL);
    ck_assert_ptr_null(cw_platform_parse_configuration(value, &problem));
    json_decref(value);
}
END_TEST

/* ---- gates ---- */

START_TEST(requests_without_a_tenant_are_not_limited)
{
    cw_tenant_gate_t  *gate = cw_tenant_gate_create();
    cw_tenant_count_t *count;
    cw_time_us_t       wait;

    ck_assert_int_eq(cw_tenant_gate_enter(gate, NULL, 1, &count, &wait), CW_GATE_OPEN);
    ck_assert_ptr_null(count);
    cw_tenant_gate_free(gate);
}
END_TEST

START_TEST(limit_of_concurrent_requests_is_divided_among_nodes)
{
    cw_tenant_gate_t  *gate = cw_tenant_gate_create();
    cw_tenant_t        tenant = {.name = "t", .concurrent = 8};
    cw_tenant_count_t *count;
    cw_tenant_count_t *counts[8];
    cw_time_us_t       wait;
    uint32_t           step;

    for (step = 0; step < 2; step++) {
        ck_assert_int_eq(cw_tenant_gate_enter(gate, &tenant, 4, &counts[step], &wait), CW_GATE_OPEN);
    }
    ck_assert_int_eq(cw_tenant_gate_enter(gate, &tenant, 4, &count, &wait), CW_GATE_CONCURRENCY);
    ck_assert_ptr_null(count);
    cw_tenant_gate_leave(counts[0]);
    ck_assert_int_eq(cw_tenant_gate_enter(gate, &tenant, 4, &count, &wait), CW_GATE_OPEN);
    cw_tenant_gate_leave(counts[1]);
    ck_assert_uint_eq(cw_tenant_gate_counts(gate), 1);
    cw_tenant_gate_leave(count);
    ck_assert_uint_eq(cw_tenant_gate_counts(gate),
                      0); /* no entry is kept for a tenant without a request on this node */
    cw_tenant_gate_free(gate);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("intent");
    TCase *cases = tcase_create("intent");

    tcase_add_test(cases, valid_intent_is_read_completely);
    tcase_add_test(cases, each_error_of_an_intent_is_a_finding);
    tcase_add_test(cases, plan_lists_changes_and_keeps_other_tenants);
    tcase_add_test(cases, plan_id_depends_on_intent_and_present_configuration);
    tcase_add_test(cases, another_tenants_host_and_prefix_are_refused);
    tcase_add_test(cases, another_tenants_key_is_refused);
    tcase_add_test(cases, tenant_without_key_list_is_open_and_with_empty_list_is_closed);
    tcase_add_test(cases, configuration_is_read_back_from_the_store_unchanged);
    tcase_add_test(cases, invalid_configuration_is_refused_with_its_problem);
    tcase_add_test(cases, requests_without_a_tenant_are_not_limited);
    tcase_add_test(cases, limit_of_concurrent_requests_is_divided_among_nodes);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
