/**
 * @file test_load_tool.c
 * @brief Tests of the load tool's pure parts: histogram, streams and traces.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../bench/common/histogram.h"
#include "../bench/load/load.h"
#include "../bench/load/stream.h"
#include "cedarwinch/error.h"

enum { SAMPLES = 20000, KEYS = 50, FAULT_SIZE = 100 };

static const char stream_text[] =
    "tenant=t,service=s,token=x,rate=1000,keys=50,zipf=1,method=POST,path=/pay,repeat=0.25";

static int by_value(const void *left, const void *right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;

    return a < b ? -1 : a > b;
}

START_TEST(quantiles_are_within_one_percent)
{
    static const double shares[] = {0.01, 0.5, 0.9, 0.99, 0.999, 1};
    cw_histogram_t     *histogram = cw_histogram_create();
    static int64_t      values[SAMPLES];
    uint64_t            random = 3;
    int64_t             exact;
    int64_t             found;
    size_t              i;

    for (i = 0; i < SAMPLES; i++) {
        values[i] = (int64_t)cw_random_below(&random, UINT64_C(1) << (1 + cw_random_below(&random, 40)));
        cw_histogram_add(histogram, values[i]);
    }
    qsort(values, SAMPLES, sizeof(values[0]), by_value);
    for (i = 0; i < sizeof(shares) / sizeof(shares[0]); i++) {
        exact = values[(size_t)(shares[i] * SAMPLES) - 1];
        found = cw_histogram_quantile(histogram, shares[i]);
        ck_assert_int_ge(found, exact);
        ck_assert_int_le(found, exact + exact / 100);
    }
    ck_assert_int_eq(cw_histogram_quantile(histogram, 1), values[SAMPLES - 1]);
    cw_histogram_merge(histogram, histogram);
    ck_assert_uint_eq(histogram->total, 2 * SAMPLES);
    free(histogram);
}
END_TEST

START_TEST(small_values_are_exact)
{
    cw_histogram_t *histogram = cw_histogram_create();
    int64_t         value;

    for (value = 1; value <= 100; value++) {
        cw_histogram_add(histogram, value);
    }
    ck_assert_int_eq(cw_histogram_quantile(histogram, 0.5), 50);
    ck_assert_int_eq(cw_histogram_quantile(histogram, 0.99), 99);
    ck_assert_int_eq(cw_histogram_quantile(histogram, 0.001), 1);
    free(histogram);
}
END_TEST

static cw_stream_t *make_stream(double hot_share, int64_t hot_move_us, uint64_t seed)
{
    cw_hot_spot_t       hot = {.share = hot_share, .move_us = hot_move_us};
    cw_stream_options_t options;
    char                fault[FAULT_SIZE];

    ck_assert_int_eq(cw_stream_options_parse(&options, stream_text, fault, sizeof(fault)), CW_OK);
    return cw_stream_create(&options, &hot, seed);
}

START_TEST(arrivals_follow_rate_and_seed)
{
    cw_stream_t *stream = make_stream(0, 0, 5);
    cw_stream_t *same = make_stream(0, 0, 5);
    unsigned     counts[KEYS] = {0};
    unsigned     repeats = 0;
    unsigned     i;
    uint32_t     key;
    int64_t      mean_us;

    for (i = 0; i < SAMPLES; i++) {
        ck_assert_int_eq(cw_stream_next_us(stream), cw_stream_next_us(same));
        key = cw_stream_take(stream);
        ck_assert_uint_eq(key, cw_stream_take(same));
        counts[key]++;
        repeats += cw_stream_draws_repeat(stream) ? 1 : 0;
        cw_stream_draws_repeat(same);
    }
    mean_us = cw_stream_next_us(stream) / SAMPLES;
    ck_assert_int_ge(mean_us, 970);
    ck_assert_int_le(mean_us, 1030);
    ck_assert_double_eq_tol((double)counts[0] / counts[9], 10, 3); /* ranks 1 and 10 under Zipf's law */
    ck_assert_double_eq_tol((double)repeats / SAMPLES, 0.25, 0.02);
    cw_stream_free(stream);
    cw_stream_free(same);
}
END_TEST

/* Most frequent key among the arrivals up to a time, and its share. */
static uint32_t most_frequent(cw_stream_t *stream, int64_t until_us, double *share)
{
    unsigned counts[KEYS] = {0};
    unsigned total = 0;
    uint32_t best = 0;
    uint32_t key;

    while (cw_stream_next_us(stream) < until_us) {
        counts[cw_stream_take(stream)]++;
        total++;
    }
    for (key = 0; key < KEYS; key++) {
        best = counts[key] > counts[best] ? key : best;
    }
    *share = (double)counts[best] / total;
    return best;
}

START_TEST(hot_key_takes_its_share_and_moves)
{
    cw_stream_t *stream = make_stream(0.6, 2 * CW_US_PER_S, 5);
    double       share;
    uint32_t     first = most_frequent(stream, 2 * CW_US_PER_S, &share);

    ck_assert_double_ge(share, 0.55);
    ck_assert_uint_ne(first, most_frequent(stream, 4 * CW_US_PER_S, &share));
    ck_assert_double_ge(share, 0.55);
    cw_stream_free(stream);
}
END_TEST

START_TEST(faulty_streams_are_refused)
{
    static const char *const faulty[] = {"tenant=t,service=s",
                                         "tenant=t,service=s,token=x,keys=0",
                                         "tenant=t,service=s,token=x,rate=fast",
                                         "tenant=t,service=s,token=x,colour=red",
                                         "tenant=t,service=s,token=x,path=pay",
                                         "tenant=t,service=s,token=x,repeat=2",
                                         "tenant"};
    cw_stream_options_t      options;
    char                     fault[FAULT_SIZE];
    size_t                   i;

    for (i = 0; i < sizeof(faulty) / sizeof(faulty[0]); i++) {
        ck_assert_int_eq(cw_stream_options_parse(&options, faulty[i], fault, sizeof(fault)), CW_ERROR_PARSE);
    }
}
END_TEST

START_TEST(request_with_a_fence_speaks_the_servers_dialect)
{
    cw_stream_options_t options;
    char                fault[FAULT_SIZE];
    size_t              length;
    char               *text;

    ck_assert_int_eq(
        cw_stream_options_parse(&options, "tenant=t,service=s,token=x,path=/pay,fence=1.2", fault, sizeof(fault)),
        CW_OK);
    text = cw_request_text(&options, "k", "id", "host", &length);
    ck_assert_uint_eq(length, strlen(text));
    ck_assert_ptr_eq(strstr(text, "GET /k/pay HTTP/1.1\r\n"), text);
    ck_assert_ptr_nonnull(strstr(text, "\r\ncw-fence: 1.2\r\n"));
    ck_assert_ptr_null(strstr(text, "authorization"));
    free(text);
    cw_stream_options_clear(&options);
}
END_TEST

static int read_trace(const char *text, cw_trace_t *trace, unsigned *line)
{
    char  name[] = "/tmp/cw-trace-XXXXXX";
    FILE *file = fdopen(mkstemp(name), "w");
    int   error;

    fputs(text, file);
    fclose(file);
    error = cw_trace_read(trace, name, 2, line);
    unlink(name);
    return error;
}

START_TEST(trace_is_read_in_order)
{
    cw_trace_t trace;
    unsigned   line;

    ck_assert_int_eq(read_trace("# comment\n10 0 a\n\n10 1 b/c\n30 0 a\n", &trace, &line), CW_OK);
    ck_assert_uint_eq(trace.count, 3);
    ck_assert_int_eq(trace.entries[2].offset_us, 30);
    ck_assert_str_eq(trace.entries[1].key, "b/c");
    cw_trace_clear(&trace);
    ck_assert_int_eq(read_trace("10 0 a\n5 0 b\n", &trace, &line), CW_ERROR_PARSE);
    ck_assert_uint_eq(line, 2);
    cw_trace_clear(&trace);
    ck_assert_int_eq(read_trace("10 2 a\n", &trace, &line), CW_ERROR_PARSE);
    cw_trace_clear(&trace);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("load_tool");
    TCase   *tests = tcase_create("load");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_test(tests, quantiles_are_within_one_percent);
    tcase_add_test(tests, small_values_are_exact);
    tcase_add_test(tests, arrivals_follow_rate_and_seed);
    tcase_add_test(tests, hot_key_takes_its_share_and_moves);
    tcase_add_test(tests, faulty_streams_are_refused);
    tcase_add_test(tests, request_with_a_fence_speaks_the_servers_dialect);
    tcase_add_test(tests, trace_is_read_in_order);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
