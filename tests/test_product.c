/**
 * @file test_product.c
 * @brief Tests of settings, log lines and metrics, and that the documents list all of them.
 */
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/tenant_metrics.h"
#include "config/router_settings.h"
#include "loop_fixture.h"
#include "peer/traffic_account.h"

static const char valid_settings[] = "node: n1\nzone: z1\naddress: 10.0.0.1\ncallers: 10.0.0.1:8080\n"
                                     "readiness: 10.0.0.1:8081\npeer_port: 7000\nstore: 10.0.0.9:7001\n"
                                     "seeds: [\"10.0.0.2:1\", \"10.0.0.3:1\"]\n";

static size_t findings_of(const char *text, cw_router_settings_t *settings)
{
    cw_findings_t findings;
    size_t        count;

    cw_findings_init(&findings);
    (void)cw_router_settings_parse(settings, text, strlen(text), "test", &findings);
    count = findings.count;
    cw_findings_clear(&findings);
    return count;
}

static size_t findings_with(const char *line, cw_router_settings_t *settings)
{
    char text[1024];

    snprintf(text, sizeof(text), "%s%s\n", valid_settings, line);
    return findings_of(text, settings);
}

START_TEST(valid_settings_have_no_findings)
{
    cw_router_settings_t settings;

    ck_assert_uint_eq(findings_of(valid_settings, &settings), 0);
    ck_assert_str_eq(settings.callers.address, "10.0.0.1");
    ck_assert_uint_eq(settings.callers.port, 8080);
    ck_assert_uint_eq(settings.seed_count, 2);
    ck_assert_int_eq(settings.hold, CW_MS(5000));
}
END_TEST

START_TEST(each_error_is_a_finding)
{
    cw_router_settings_t settings;

    ck_assert_uint_ge(findings_of("node: n1\n", &settings), 6);
    ck_assert_uint_eq(findings_with("unknown_key: 1", &settings), 1);
    ck_assert_uint_eq(findings_with("log_level: loud", &settings), 1);
    ck_assert_uint_eq(findings_with("leader_hold_ms: 4500", &settings), 1);
    ck_assert_uint_eq(findings_with("metrics_path: metrics", &settings), 1);
    ck_assert_uint_eq(findings_with("retry_ratio: 3", &settings), 1);
    ck_assert_uint_eq(findings_with("peer_bind: here", &settings), 1);
    ck_assert_uint_eq(findings_with("peer_bind: '::1'", &settings), 1);
}
END_TEST

START_TEST(peer_bind_defaults_to_the_address)
{
    cw_router_settings_t settings;

    ck_assert_uint_eq(findings_of(valid_settings, &settings), 0);
    ck_assert_str_eq(settings.peer_bind, "10.0.0.1");
    ck_assert_uint_eq(findings_with("peer_bind: 192.168.0.7", &settings), 0);
    ck_assert_str_eq(settings.peer_bind, "192.168.0.7");
    ck_assert_str_eq(settings.address, "10.0.0.1");
}
END_TEST

START_TEST(holds_are_limited_to_hold_max)
{
    cw_router_settings_t settings;

    ck_assert_uint_eq(findings_with("hold_max_ms: 4000", &settings), 0);
    ck_assert_int_eq(settings.hold, CW_MS(4000));
    ck_assert_int_eq(settings.hold_long, CW_MS(4000));
    ck_assert_int_eq(settings.leader_hold, CW_MS(2400));
}
END_TEST

/* ---- log ---- */

typedef struct pipe_pair {
    int read_end;
    int write_end;
} pipe_pair_t;

static pipe_pair_t open_log(cw_event_level_t level)
{
    int         ends[2];
    pipe_pair_t pair;

    ck_assert_int_eq(pipe2(ends, O_NONBLOCK), 0);
    pair.read_end = ends[0];
    pair.write_end = ends[1];
    cw_event_log_open(pair.write_end, "n1", level);
    /* A new second, so the limits of lines restart. */
    cw_event_log_flush(CW_SECONDS(1000) + CW_SECONDS(rand() % 100000) * 2);
    return pair;
}

static void close_log(pipe_pair_t *pair)
{
    cw_event_log_open(open("/dev/null", O_WRONLY), "n1", CW_EVENT_ERROR);
    cw_event_log_flush(0);
    close(pair->read_end);
    close(pair->write_end);
}

static size_t read_all(const pipe_pair_t *pair, char *text, size_t size)
{
    size_t  length = 0;
    ssize_t got;

    while ((got = read(pair->read_end, text + length, size - 1 - length)) > 0) {
        length += (size_t)got;
    }
    text[length] = '\0';
    return length;
}

START_TEST(a_line_is_one_json_object)
{
    static char text[65536];
    pipe_pair_t pair = open_log(CW_EVENT_INFO);
    cw_event_t  event;
    json_t     *line;

    (void)read_all(&pair, text, sizeof(text));
    ck_assert(cw_event_begin(&event, CW_EVENT_REQUEST_REFUSED));
    cw_event_text(&event, CW_FIELD_REQUEST, "a\"b\\c\n\x01\xff");
    cw_event_number(&event, CW_FIELD_STATUS, 503);
    cw_event_real(&event, CW_FIELD_BUDGET, 1.5);
    cw_event_end(&event);
    cw_event_log_flush(0);
    (void)read_all(&pair, text, sizeof(text));
    line = json_loads(text, JSON_DISABLE_EOF_CHECK, NULL);
    ck_assert_ptr_nonnull(line);
    ck_assert_str_eq(json_string_value(json_object_get(line, "event")), "refused");
    ck_assert_int_eq(json_integer_value(json_object_get(line, "status")), 503);
    json_decref(line);
    close_log(&pair);
}
END_TEST

START_TEST(lines_below_the_level_are_not_logged)
{
    pipe_pair_t pair = open_log(CW_EVENT_WARNING);
    cw_event_t  event;

    ck_assert(!cw_event_begin(&event, CW_EVENT_REQUEST_SERVED));
    ck_assert(cw_event_begin(&event, CW_EVENT_STORE_LOST));
    close_log(&pair);
}
END_TEST

START_TEST(log_drops_lines_without_blocking_if_the_reader_does_not_read)
{
    pipe_pair_t pair = open_log(CW_EVENT_INFO);
    uint64_t    before = cw_event_log_dropped();
    cw_event_t  event;
    int         second;
    int         line;

    for (second = 0; second < 60; second++) {
        for (line = 0; line < 200; line++) {
            if (cw_event_begin(&event, CW_EVENT_REQUEST_SERVED)) {
                cw_event_text(&event, CW_FIELD_REQUEST, "0123456789abcdef");
                cw_event_end(&event);
            }
        }
        cw_event_log_flush(CW_SECONDS(second));
    }
    ck_assert_uint_gt(cw_event_log_dropped(), before);
    close_log(&pair);
}
END_TEST

START_TEST(excess_lines_of_an_event_are_dropped_and_reported)
{
    static char text[65536];
    pipe_pair_t pair = open_log(CW_EVENT_INFO);
    cw_event_t  event;
    int         line;
    int         written = 0;

    for (line = 0; line < 5000; line++) {
        if (cw_event_begin(&event, CW_EVENT_REQUEST_GONE)) {
            cw_event_end(&event);
            written++;
        }
    }
    ck_assert_int_le(written, 50);
    cw_event_log_flush(CW_SECONDS(1));
    cw_event_log_flush(CW_SECONDS(2));
    (void)read_all(&pair, text, sizeof(text));
    ck_assert_ptr_nonnull(strstr(text, "lines dropped"));
    close_log(&pair);
}
END_TEST

/* ---- documents ---- */

static char *read_file(const char *name)
{
    FILE  *file = fopen(name, "rb");
    char  *text = calloc(1, 1 << 20);
    size_t length;

    ck_assert_ptr_nonnull(file);
    ck_assert_ptr_nonnull(text);
    length = fread(text, 1, (1 << 20) - 1, file);
    fclose(file);
    ck_assert_uint_gt(length, 0);
    return text;
}

/* Parses examples/node.yaml with its commented defaults uncommented, so with all keys of a node. */
START_TEST(all_settings_of_the_example_are_accepted)
{
    cw_router_settings_t settings;
    char                *text = read_file("examples/node.yaml");
    char                *line;

    for (line = text; line != NULL && *line != '\0';
         line = strchr(line, '\n') == NULL ? NULL : strchr(line, '\n') + 1) {
        size_t name = strspn(line, "# ");

        if (line[0] == '#' && line[name + strspn(line + name, "abcdefghijklmnopqrstuvwxyz_")] == ':') {
            memset(line, ' ', name);
            memmove(line, line + name, strlen(line + name) + 1);
        }
    }
    ck_assert_uint_eq(findings_of(text, &settings), 0);
    free(text);
}
END_TEST

START_TEST(every_event_and_field_is_documented)
{
    char  *page = read_file("docs/OPERATIONS.md");
    char   quoted[96];
    size_t index;

#define FIELD_NAME(symbol, name) name,
    static const char *const fields[] = {CW_EVENT_FIELD_TABLE(FIELD_NAME)};
#undef FIELD_NAME
    for (index = 0; index < CW_EVENT_KINDS; index++) {
        snprintf(quoted, sizeof(quoted), "| `%s` |", cw_event_kind_name((cw_event_kind_t)index));
        ck_assert_msg(strstr(page, quoted) != NULL, "event %s", quoted);
    }
    for (index = 0; index < sizeof(fields) / sizeof(fields[0]); index++) {
        snprintf(quoted, sizeof(quoted), "| `%s` |", fields[index]);
        ck_assert_msg(strstr(page, quoted) != NULL, "field %s", quoted);
    }
    free(page);
}
END_TEST

START_TEST(exactly_the_existing_metrics_are_documented)
{
    cw_traffic_account_t account = {0};
    cw_bytes_t           served_text = {0};
    char                *page = read_file("docs/OPERATIONS.md");
    char                *text;
    char                *line;
    char                 quoted[128];
    size_t               served = 0;
    size_t               documented = 0;

    cw_metrics_reset();
    cw_histogram_add(CW_HISTOGRAM_TOTAL, "r", CW_MS(3));
    cw_metrics_append(&served_text);
    cw_tenant_metrics_write(&served_text);
    cw_traffic_account_metrics(&account, &served_text);
    cw_bytes_append(&served_text, "", 1);
    text = served_text.data;
    for (line = strtok(text, "\n"); line != NULL; line = strtok(NULL, "\n")) {
        char name[96];

        if (sscanf(line, "# TYPE %95s", name) == 1) {
            snprintf(quoted, sizeof(quoted), "| `%s` |", name);
            ck_assert_msg(strstr(page, quoted) != NULL, "metric %s", name);
            served++;
        }
    }
    for (line = page; (line = strstr(line, "| `cedarwinch_")) != NULL; line++) {
        documented++;
    }
    ck_assert_uint_eq(served, documented);
    free(text);
    free(page);
}
END_TEST

START_TEST(buckets_of_histograms_are_cumulative)
{
    char  *text;
    size_t length;

    cw_metrics_reset();
    cw_histogram_add(CW_HISTOGRAM_TOTAL, "r", CW_MS(3));
    cw_histogram_add(CW_HISTOGRAM_TOTAL, "r", CW_MS(60));
    text = cw_metrics_text(&length);
    ck_assert_ptr_nonnull(strstr(text, "cedarwinch_total_seconds_bucket{route=\"r\",le=\"0.005\"} 1"));
    ck_assert_ptr_nonnull(strstr(text, "cedarwinch_total_seconds_bucket{route=\"r\",le=\"+Inf\"} 2"));
    ck_assert_ptr_nonnull(strstr(text, "cedarwinch_total_seconds_count{route=\"r\"} 2"));
    free(text);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("product");
    TCase *cases = tcase_create("product");

    tcase_add_test(cases, valid_settings_have_no_findings);
    tcase_add_test(cases, each_error_is_a_finding);
    tcase_add_test(cases, peer_bind_defaults_to_the_address);
    tcase_add_test(cases, holds_are_limited_to_hold_max);
    tcase_add_test(cases, a_line_is_one_json_object);
    tcase_add_test(cases, lines_below_the_level_are_not_logged);
    tcase_add_test(cases, log_drops_lines_without_blocking_if_the_reader_does_not_read);
    tcase_add_test(cases, excess_lines_of_an_event_are_dropped_and_reported);
    tcase_add_test(cases, all_settings_of_the_example_are_accepted);
    tcase_add_test(cases, every_event_and_field_is_documented);
    tcase_add_test(cases, exactly_the_existing_metrics_are_documented);
    tcase_add_test(cases, buckets_of_histograms_are_cumulative);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
