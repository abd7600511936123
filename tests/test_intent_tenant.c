/**
 * @file test_intent_tenant.c
 * @brief Tests of callers' keys, limits, priority, regions and open routes in intents, and of their display in plans.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "intent/plan.h"
#include "loop_fixture.h"

#define SESAME        "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272"
#define OTHER         "11223344aabbccdd11223344aabbccdd11223344aabbccdd11223344aabbccdd"
#define EMPTY         "services: []\nroutes: []\n"
#define ROUTE(fields) "services: [{name: s}]\nroutes: [{name: r, host: h, prefix: /x/, service: s" fields "}]\n"

/* Returns the findings of an intent as they are printed; "" if there are none. */
static const char *findings_of(const char *text, const char *file_name, const cw_name_set_t *regions)
{
    static char   printed[4096];
    FILE         *stream = fmemopen(printed, sizeof(printed), "w");
    cw_findings_t findings;
    cw_intent_t   intent;

    memset(printed, 0, sizeof(printed));
    cw_findings_init(&findings);
    (void)cw_intent_parse(&intent, text, strlen(text), file_name, regions, &findings);
    cw_findings_print(&findings, stream);
    fclose(stream);
    cw_intent_clear(&intent);
    cw_findings_clear(&findings);
    return printed;
}

static void expect(const char *text, const char *finding)
{
    const char *printed = findings_of(text, "t.yaml", NULL);

    ck_assert_msg(strstr(printed, finding) != NULL, "'%s' is not in '%s'", finding, printed);
}

/* Set by make(): the changes of the plan as text, and its findings as text ("" if there are none). */
static char plan_text[4096];
static char plan_findings[4096];

static int make(cw_plan_t *plan, const char *text, const cw_configuration_t *present)
{
    FILE         *stream = fmemopen(plan_findings, sizeof(plan_findings), "w");
    cw_findings_t findings;
    cw_intent_t   intent;
    int           error;

    memset(plan_findings, 0, sizeof(plan_findings));
    cw_findings_init(&findings);
    ck_assert_int_eq(cw_intent_parse(&intent, text, strlen(text), "t.yaml", NULL, &findings), CW_OK);
    error = cw_plan_make(plan, &intent, present, 1, "t.yaml", &findings);
    cw_findings_print(&findings, stream);
    fclose(stream);
    snprintf(plan_text, sizeof(plan_text), "%.*s", (int)plan->changes.length, plan->changes.data);
    cw_intent_clear(&intent);
    cw_findings_clear(&findings);
    return error;
}

/* Returns the changes that a plan for the second intent shows after the first intent was accepted. */
static const char *change(const char *first_text, const char *second_text)
{
    cw_plan_t first;
    cw_plan_t second;

    ck_assert_int_eq(make(&first, first_text, NULL), CW_OK);
    ck_assert_int_eq(make(&second, second_text, first.configuration), CW_OK);
    cw_plan_clear(&first);
    cw_plan_clear(&second);
    return plan_text;
}

/* ---- reading ---- */

START_TEST(keys_limits_priority_regions_and_open_routes_are_read)
{
    static const char  text[] = "tenant: a\nkeys: [" SESAME ", " OTHER "]\nrequests_per_s: 0.25\nburst: 2.5\n"
                                "priority: 3\nregions: [north, south]\n" ROUTE(", open: true, regions: [north]");
    cw_plan_t          plan;
    const cw_tenant_t *tenant;

    ck_assert_int_eq(make(&plan, text, NULL), CW_OK);
    tenant = &plan.configuration->tenants[0];
    ck_assert_uint_eq(tenant->key_count, 2);
    ck_assert(tenant->needs_key);
    ck_assert_double_eq(tenant->rate_per_s, 0.25);
    ck_assert_double_eq(tenant->burst, 2.5);
    ck_assert_uint_eq(tenant->priority, 3);
    ck_assert_uint_eq(tenant->regions.count, 2);
    ck_assert(plan.configuration->routes[0].allows_anonymous);
    ck_assert_uint_eq(plan.configuration->routes[0].regions.count, 1);
    cw_plan_clear(&plan);
}
END_TEST

START_TEST(wrong_types_and_ranges_are_findings_with_line_and_column)
{
    expect("tenant: a\nkeys: " SESAME "\n" EMPTY, "t.yaml:2:7: 'keys' must be a list");
    expect("tenant: a\nkeys: [abc]\n" EMPTY, "t.yaml:2:8: must be the SHA-256 digest");
    expect("tenant: a\nkeys: []\ntokens: []\n" EMPTY, "t.yaml:3:9: 'tokens' is an older name");
    expect("tenant: a\nrequests_per_s: many\n" EMPTY, "t.yaml:2:17: 'requests_per_s' must be a number");
    expect("tenant: a\nrequests_per_s: -1\n" EMPTY, "t.yaml:2:17: 'requests_per_s' must be a number");
    expect("tenant: a\nrequests_per_s: nan\n" EMPTY, "t.yaml:2:17: 'requests_per_s' must be a number");
    expect("tenant: a\nrequests_per_s: [1]\n" EMPTY, "t.yaml:2:17: 'requests_per_s' must be a single value");
    expect("tenant: a\nrequests_per_s: 1\nburst: -2\n" EMPTY, "t.yaml:3:8: 'burst' must be a number");
    expect("tenant: a\nburst: 5\n" EMPTY, "t.yaml:2:8: 'burst' says nothing without 'requests_per_s'");
    expect("tenant: a\npriority: high\n" EMPTY, "t.yaml:2:11: 'priority' must be a whole number");
    expect("tenant: a\nregions: north\n" EMPTY, "t.yaml:2:10: 'regions' must be a list");
    expect("tenant: a\nregions: [[north]]\n" EMPTY, "t.yaml:2:11: a region must be a name");
    expect("tenant: a\n" ROUTE(", open: maybe"), "'open' is 'maybe'; must be true or false");
}
END_TEST

START_TEST(unknown_region_is_a_finding_if_the_regions_are_known)
{
    static const char text[] = "tenant: a\nregions: [north]\n" ROUTE(", regions: [north, nroth]");
    cw_name_set_t     regions = {0};

    ck_assert_str_eq(findings_of(text, "t.yaml", NULL), "");
    cw_name_set_add(&regions, "north");
    ck_assert_str_eq(findings_of(text, "t.yaml", &regions), "t.yaml:4:71: there is no region 'nroth'\n");
    cw_name_set_clear(&regions);
}
END_TEST

/* ---- keys in files ---- */

static char folder[] = "/tmp/test_intent_tenant_XXXXXX";
static char intent_name[64];
static char key_name[64];

static void setup(void)
{
    memcpy(folder + sizeof(folder) - sizeof("XXXXXX"), "XXXXXX", sizeof("XXXXXX"));
    ck_assert_ptr_nonnull(mkdtemp(folder));
    snprintf(intent_name, sizeof(intent_name), "%s/a.yaml", folder);
    snprintf(key_name, sizeof(key_name), "%s/key", folder);
}

static void teardown(void)
{
    unlink(key_name);
    rmdir(folder);
}

static void write_key(const void *content, size_t length)
{
    FILE *file = fopen(key_name, "wb");

    ck_assert_uint_eq(fwrite(content, 1, length, file), length);
    fclose(file);
}

START_TEST(key_in_a_file_beside_the_intent_is_read_as_its_digest)
{
    static const char text[] = "tenant: a\nkeys: [{file: key}]\n" EMPTY;
    cw_key_digest_t   wanted;
    cw_findings_t     findings;
    cw_intent_t       intent;

    write_key(" sesame\r\n\n", strlen(" sesame\r\n\n"));
    ck_assert(cw_tenant_digest_from_text(&wanted, SESAME));
    cw_findings_init(&findings);
    ck_assert_int_eq(cw_intent_parse(&intent, text, strlen(text), intent_name, NULL, &findings), CW_OK);
    ck_assert_uint_eq(intent.configuration->tenants[0].key_count, 1);
    ck_assert_mem_eq(&intent.configuration->tenants[0].keys[0], &wanted, sizeof(wanted));
    cw_intent_clear(&intent);
    cw_findings_clear(&findings);
}
END_TEST

START_TEST(file_without_a_valid_key_is_a_finding_without_its_content)
{
    static const char text[] = "tenant: a\nkeys:\n  - {file: key}\n" EMPTY;
    static const struct {
        const char *content;
        size_t      length;
        const char *finding;
    } cases[] = {{"\n ", 2, "holds no key"},
                 {"sesame\nsesame2", 14, "holds more than one key"},
                 {"sesame,b", 8, "holds more than one key"},
                 {"sesame\0b", 8, "holds a zero byte"}};
    static char long_key[5000];
    size_t      index;

    for (index = 0; index < sizeof(cases) / sizeof(cases[0]); index++) {
        const char *printed;

        write_key(cases[index].content, cases[index].length);
        printed = findings_of(text, intent_name, NULL);
        ck_assert_ptr_nonnull(strstr(printed, cases[index].finding));
        ck_assert_ptr_nonnull(strstr(printed, "a.yaml:3:5: "));
        ck_assert_ptr_null(strstr(printed, "sesame"));
    }
    memset(long_key, 'k', sizeof(long_key));
    write_key(long_key, sizeof(long_key));
    ck_assert_ptr_nonnull(strstr(findings_of(text, intent_name, NULL), "is too long for a key"));
    unlink(key_name);
    ck_assert_ptr_nonnull(strstr(findings_of(text, intent_name, NULL), "cannot be read"));
    ck_assert_ptr_nonnull(
        strstr(findings_of("tenant: a\nkeys: [{file: /dev/null}]\n" EMPTY, intent_name, NULL), "cannot be read"));
}
END_TEST

/* ---- plans ---- */

START_TEST(another_tenants_key_is_a_finding_with_line_and_column)
{
    cw_plan_t first;
    cw_plan_t second;

    ck_assert_int_eq(make(&first, "tenant: a\nkeys: [" SESAME "]\n" EMPTY, NULL), CW_OK);
    ck_assert_int_eq(make(&second, "tenant: b\nkeys:\n  - " OTHER "\n  - " SESAME "\n" EMPTY, first.configuration),
                     CW_ERROR_CONFLICT);
    ck_assert_str_eq(plan_findings, "t.yaml:4:5: the key with the fingerprint d0c04f4b is another tenant's\n");
    cw_plan_clear(&first);
    cw_plan_clear(&second);
}
END_TEST

START_TEST(plan_shows_fingerprints_of_keys_and_old_and_new_limits)
{
    ck_assert_str_eq(change("tenant: a\nkeys: [" SESAME "]\nrequests_per_s: 10\n" EMPTY,
                            "tenant: a\nkeys: [" OTHER
                            "]\nrequests_per_s: 2.5\nburst: 20\npriority: 1\nregions: [north]\n" EMPTY),
                     "~ tenant a: keys added 11223344, keys taken away d0c04f4b, requests_per_s 10 -> 2.5, "
                     "burst 0 -> 20, priority 0 -> 1, regions anywhere -> north\n");
    ck_assert_str_eq(change("tenant: a\nkeys: [" SESAME "]\n" EMPTY, "tenant: a\n" EMPTY),
                     "~ tenant a: callers need no keys any longer, keys taken away d0c04f4b\n");
    ck_assert_str_eq(change("tenant: a\n" EMPTY, "tenant: a\n" EMPTY), "");
}
END_TEST

START_TEST(plan_shows_regions_of_a_route_and_that_it_is_open)
{
    ck_assert_str_eq(change("tenant: a\n" ROUTE(", regions: [north]"), "tenant: a\n" ROUTE(", open: true")),
                     "~ route a/r: regions north -> anywhere, open to callers without a key from now on\n");
    ck_assert_str_eq(change("tenant: a\n" ROUTE(", open: true"), "tenant: a\n" ROUTE("")),
                     "~ route a/r: no longer open to callers without a key\n");
}
END_TEST

START_TEST(plan_id_depends_on_regions_and_open_routes)
{
    static const char *const texts[] = {"tenant: a\n" ROUTE(""), "tenant: a\n" ROUTE(", open: true"),
                                        "tenant: a\nregions: [north]\n" ROUTE(""),
                                        "tenant: a\n" ROUTE(", regions: [north]")};
    enum { TEXTS = sizeof(texts) / sizeof(texts[0]) };
    cw_plan_t plans[TEXTS];
    size_t    index;
    size_t    other;

    for (index = 0; index < TEXTS; index++) {
        ck_assert_int_eq(make(&plans[index], texts[index], NULL), CW_OK);
        for (other = 0; other < index; other++) {
            ck_assert_str_ne(plans[index].id, plans[other].id);
        }
    }
    for (index = 0; index < TEXTS; index++) {
        cw_plan_clear(&plans[index]);
    }
}
END_TEST

START_TEST(plan_shows_the_first_of_many_keys_and_their_number)
{
    cw_bytes_t text = {0};
    size_t     index;

    cw_bytes_append_text(&text, "tenant: a\nkeys:\n");
    for (index = 0; index < 300; index++) {
        cw_bytes_append_format(&text, "  - %064zx\n", index);
    }
    cw_bytes_append(&text, EMPTY, sizeof(EMPTY));
    ck_assert_ptr_nonnull(strstr(change("tenant: a\nkeys: []\n" EMPTY, text.data), " and 292 more\n"));
    cw_bytes_clear(&text);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("intent's tenant");
    TCase *cases = tcase_create("intent's tenant");

    tcase_add_checked_fixture(cases, setup, teardown);
    tcase_add_test(cases, keys_limits_priority_regions_and_open_routes_are_read);
    tcase_add_test(cases, wrong_types_and_ranges_are_findings_with_line_and_column);
    tcase_add_test(cases, unknown_region_is_a_finding_if_the_regions_are_known);
    tcase_add_test(cases, key_in_a_file_beside_the_intent_is_read_as_its_digest);
    tcase_add_test(cases, file_without_a_valid_key_is_a_finding_without_its_content);
    tcase_add_test(cases, another_tenants_key_is_a_finding_with_line_and_column);
    tcase_add_test(cases, plan_shows_fingerprints_of_keys_and_old_and_new_limits);
    tcase_add_test(cases, plan_shows_regions_of_a_route_and_that_it_is_open);
    tcase_add_test(cases, plan_id_depends_on_regions_and_open_routes);
    tcase_add_test(cases, plan_shows_the_first_of_many_keys_and_their_number);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
