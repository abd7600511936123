/**
 * @file test_config.c
 * @brief Tests of settings and intent reading: every finding is reported, with its place.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "cedarwinch/settings.h"

#define DIGEST "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char good_intent[] = "tenant: liffeyspoke\n"
                                  "operator_tokens: [" DIGEST "]\n"
                                  "caller_tokens: [" DIGEST "]\n"
                                  "services:\n"
                                  "  - name: refunds\n"
                                  "    slots_per_server: 2\n"
                                  "    non_repeatable: [{method: POST, path_prefix: /}]\n"
                                  "    servers:\n"
                                  "      - {name: r1, address: 127.0.0.1, port: 9001, zone: a}\n";

static const cw_finding_t *find(const cw_findings_t *findings, const char *part)
{
    size_t position;

    for (position = 0; position < findings->count; position++) {
        if (strstr(findings->items[position].message, part) != NULL) {
            return &findings->items[position];
        }
    }
    return NULL;
}

START_TEST(good_intent_is_read_with_defaults)
{
    cw_findings_t            findings;
    Cw__TenantConfiguration *tenant;

    cw_findings_init(&findings);
    tenant = cw_intent_read(good_intent, strlen(good_intent), "intent.yaml", &findings);
    cw_findings_print(&findings, stderr);
    ck_assert_ptr_nonnull(tenant);
    ck_assert_uint_eq(tenant->n_services, 1);
    ck_assert_uint_eq(tenant->services[0]->lease_ms, 1500);
    ck_assert_uint_eq(tenant->services[0]->id, cw_hash_service("liffeyspoke", "refunds"));
    ck_assert_uint_eq(tenant->services[0]->servers[0]->id, cw_hash_server("liffeyspoke", "refunds", "r1"));
    cw__tenant_configuration__free_unpacked(tenant, NULL);
}
END_TEST

START_TEST(all_findings_of_an_intent_are_reported_together)
{
    static const char text[] = "tenant: bad name!\n"
                               "operator_tokens: [xyz]\n"
                               "caller_tokens: [" DIGEST "]\n"
                               "colour: blue\n"
                               "services:\n"
                               "  - name: refunds\n"
                               "    slots_per_server: 0\n"
                               "    servers:\n"
                               "      - {name: r1, address: somewhere, port: 9001, zone: a}\n"
                               "      - {name: r1, address: 127.0.0.1, port: 9001, zone: a}\n";
    cw_findings_t     findings;

    cw_findings_init(&findings);
    ck_assert_ptr_null(cw_intent_read(text, strlen(text), "intent.yaml", &findings));
    ck_assert_uint_eq(find(&findings, "'tenant' must be a name")->line, 1);
    ck_assert_uint_eq(find(&findings, "SHA-256")->line, 2);
    ck_assert_uint_eq(find(&findings, "unknown key 'colour'")->line, 4);
    ck_assert_uint_eq(find(&findings, "'slots_per_server' must be")->line, 7);
    ck_assert_uint_eq(find(&findings, "IP number")->line, 9);
    ck_assert_uint_eq(find(&findings, "named twice")->line, 10);
    ck_assert_uint_eq(findings.count, 6);
    cw_findings_clear(&findings);
}
END_TEST

START_TEST(broken_yaml_is_a_finding_with_its_line)
{
    static const char text[] = "tenant: [a\nservices: }\n";
    cw_findings_t     findings;

    cw_findings_init(&findings);
    ck_assert_ptr_null(cw_intent_read(text, strlen(text), "intent.yaml", &findings));
    ck_assert_uint_eq(findings.count, 1);
    ck_assert_uint_eq(findings.items[0].line, 2);
    cw_findings_clear(&findings);
}
END_TEST

static int read_settings(cw_settings_t *settings, const char *text, cw_findings_t *findings)
{
    char name[] = "/tmp/cedarwinch-settings-XXXXXX";
    int  descriptor = mkstemp(name);
    int  error;

    ck_assert_int_ge(descriptor, 0);
    ck_assert_int_eq(write(descriptor, text, strlen(text)), (ssize_t)strlen(text));
    close(descriptor);
    error = cw_settings_read(settings, name, findings);
    unlink(name);
    return error;
}

START_TEST(settings_are_read_overridden_and_checked)
{
    static const char text[] = "node_id: 3\n"
                               "address: 127.0.0.1\n"
                               "zone: a\n"
                               "store_address: 127.0.0.1\n"
                               "store_port: 7000\n"
                               "control_size: 1\n"
                               "seeds: [{id: 3, address: 127.0.0.1, peer_port: 7100, zone: a}]\n";
    cw_settings_t     settings;
    cw_findings_t     findings;

    cw_findings_init(&findings);
    cw_settings_default(&settings);
    ck_assert_int_eq(read_settings(&settings, text, &findings), CW_OK);
    ck_assert_int_eq(cw_settings_override(&settings, "zone=b", &findings), CW_OK);
    ck_assert_int_eq(cw_settings_check(&settings, "file", &findings), CW_OK);
    ck_assert_str_eq(settings.zone, "b");
    ck_assert_uint_eq(settings.seeds[0].peer_port, 7100);
    ck_assert_int_eq(cw_settings_override(&settings, "zone", &findings), CW_ERROR_PARSE);
    ck_assert_int_eq(cw_settings_override(&settings, "heartbeat_ms=5", &findings), CW_ERROR_PARSE);
    ck_assert_int_eq(cw_settings_override(&settings, "unfinished_first=maybe", &findings), CW_ERROR_PARSE);
    ck_assert(!settings.journal_everything && settings.unfinished_first);
    ck_assert_int_eq(cw_settings_override(&settings, "journal_everything=true", &findings), CW_OK);
    ck_assert_int_eq(cw_settings_override(&settings, "unfinished_first=false", &findings), CW_OK);
    ck_assert(settings.journal_everything && !settings.unfinished_first);
    ck_assert_uint_eq(findings.count, 3);
    cw_findings_clear(&findings);
    cw_settings_clear(&settings);
}
END_TEST

START_TEST(checks_that_span_keys_report_every_fault)
{
    cw_settings_t settings;
    cw_findings_t findings;

    cw_findings_init(&findings);
    cw_settings_default(&settings);
    settings.control_size = 4;
    settings.node_silence_ms = settings.heartbeat_ms;
    settings.out_of_touch_ms = 100;
    ck_assert_int_eq(cw_settings_check(&settings, "file", &findings), CW_ERROR_PARSE);
    ck_assert_ptr_nonnull(find(&findings, "'node_id' is missing"));
    ck_assert_ptr_nonnull(find(&findings, "'seeds' is missing"));
    ck_assert_ptr_nonnull(find(&findings, "must be 1, 3 or 5"));
    ck_assert_ptr_nonnull(find(&findings, "must be at least 2 heartbeats"));
    ck_assert_ptr_nonnull(find(&findings, "must not be below node_silence_ms"));
    cw_findings_clear(&findings);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("config");
    TCase   *tests = tcase_create("config");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, good_intent_is_read_with_defaults);
    tcase_add_test(tests, all_findings_of_an_intent_are_reported_together);
    tcase_add_test(tests, broken_yaml_is_a_finding_with_its_line);
    tcase_add_test(tests, settings_are_read_overridden_and_checked);
    tcase_add_test(tests, checks_that_span_keys_report_every_fault);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
