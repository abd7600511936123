/**
 * @file report.c
 * @brief Reports of the load tool: a table for people and JSON for programs.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "load.h"

static const double us_per_ms = CW_US_PER_MS;

int cw_report_init(cw_stream_report_t *report)
{
    *report = (cw_stream_report_t){0};
    report->answered_us = cw_histogram_create();
    report->refused_us = cw_histogram_create();
    return report->answered_us == NULL || report->refused_us == NULL ? CW_ERROR_NO_MEMORY : CW_OK;
}

static double quantile_ms(const cw_histogram_t *histogram, double share)
{
    return (double)cw_histogram_quantile(histogram, share) / us_per_ms;
}

static double counted_seconds(const cw_load_t *load)
{
    return load->options.duration_s - load->options.warmup_s;
}

static void print_stream(const cw_load_t *load, size_t index, FILE *stream)
{
    const cw_stream_options_t *options = cw_stream_options(load->streams[index]);
    const cw_stream_report_t  *report = &load->reports[index];
    char                       name[CW_KEY_TEXT];

    snprintf(name, sizeof(name), "%s/%s", options->tenant, options->service);
    fprintf(stream,
            "%-28s %8" PRIu64 " %8" PRIu64 " %7" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6" PRIu64 " %8.1f %8.2f %8.2f "
            "%8.2f %8.2f\n",
            name, report->intended, report->ends[CW_CALL_ANSWERED], report->ends[CW_CALL_NOT_RUN],
            report->ends[CW_CALL_UNKNOWN], report->ends[CW_CALL_IN_PROGRESS],
            report->ends[CW_CALL_NOT_SENT] + report->ends[CW_CALL_LOST] + report->ends[CW_CALL_TIMED_OUT] +
                report->ends[CW_CALL_OTHER],
            (double)report->ends[CW_CALL_ANSWERED] / counted_seconds(load), quantile_ms(report->answered_us, 0.5),
            quantile_ms(report->answered_us, 0.99), quantile_ms(report->answered_us, 0.999),
            (double)report->answered_us->maximum / us_per_ms);
}

static void print_details(const cw_load_t *load, size_t index, FILE *stream)
{
    const cw_stream_options_t *options = cw_stream_options(load->streams[index]);
    const cw_stream_report_t  *report = &load->reports[index];
    cw_call_end_t              end;
    size_t                     i;

    for (end = 0; end < CW_CALL_END_COUNT; end++) {
        if (end >= CW_CALL_NOT_SENT && report->ends[end] > 0) {
            fprintf(stream, "  %s/%s %s: %" PRIu64 "\n", options->tenant, options->service, cw_call_end_text(end),
                    report->ends[end]);
        }
        if (report->repeat_ends[end] > 0) {
            fprintf(stream, "  %s/%s repeats %s: %" PRIu64 "\n", options->tenant, options->service,
                    cw_call_end_text(end), report->repeat_ends[end]);
        }
    }
    for (i = 0; i < CW_REASONS_COUNTED && report->reasons[i].count > 0; i++) {
        fprintf(stream, "  %s/%s reason %s: %" PRIu64 "\n", options->tenant, options->service,
                report->reasons[i].reason, report->reasons[i].count);
    }
    if (report->held_back > 0) {
        fprintf(stream, "  %s/%s held back by the tool's bound on requests in flight: %" PRIu64 "\n", options->tenant,
                options->service, report->held_back);
    }
    if (report->foreign > 0) {
        fprintf(stream, "  %s/%s ANSWERS OF ANOTHER REQUEST: %" PRIu64 "\n", options->tenant, options->service,
                report->foreign);
    }
}

void cw_report_print(const cw_load_t *load, FILE *stream)
{
    size_t i;

    fprintf(stream, "%-28s %8s %8s %7s %7s %6s %6s %8s %8s %8s %8s %8s\n", "service", "requests", "answered", "not-run",
            "unknown", "in-pr", "failed", "answ/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
    for (i = 0; i < load->stream_count; i++) {
        print_stream(load, i, stream);
    }
    for (i = 0; i < load->stream_count; i++) {
        print_details(load, i, stream);
    }
}

static json_t *histogram_json(const cw_histogram_t *histogram)
{
    return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f,s:f}", "count", (json_int_t)histogram->total, "mean_ms",
                     cw_histogram_mean(histogram) / us_per_ms, "p50_ms", quantile_ms(histogram, 0.5), "p90_ms",
                     quantile_ms(histogram, 0.9), "p99_ms", quantile_ms(histogram, 0.99), "p999_ms",
                     quantile_ms(histogram, 0.999), "max_ms", (double)histogram->maximum / us_per_ms);
}

static json_t *ends_json(const uint64_t ends[CW_CALL_END_COUNT])
{
    json_t       *json = json_object();
    cw_call_end_t end;

    for (end = 0; end < CW_CALL_END_COUNT; end++) {
        json_object_set_new(json, cw_call_end_text(end), json_integer((json_int_t)ends[end]));
    }
    return json;
}

static json_t *stream_json(const cw_load_t *load, size_t index)
{
    const cw_stream_options_t *options = cw_stream_options(load->streams[index]);
    const cw_stream_report_t  *report = &load->reports[index];
    json_t                    *reasons = json_object();
    size_t                     i;

    for (i = 0; i < CW_REASONS_COUNTED && report->reasons[i].count > 0; i++) {
        json_object_set_new(reasons, report->reasons[i].reason, json_integer((json_int_t)report->reasons[i].count));
    }
    return json_pack("{s:s,s:s,s:f,s:i,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o}", "tenant", options->tenant, "service",
                     options->service, "rate", options->rate, "keys", (int)options->keys, "requests",
                     (json_int_t)report->intended, "held_back", (json_int_t)report->held_back, "foreign_answers",
                     (json_int_t)report->foreign, "outcomes", ends_json(report->ends), "repeat_outcomes",
                     ends_json(report->repeat_ends), "reasons", reasons, "answered",
                     histogram_json(report->answered_us), "not_run", histogram_json(report->refused_us));
}

int cw_report_write_json(const cw_load_t *load, const char *file_name)
{
    json_t *streams = json_array();
    json_t *json;
    size_t  i;
    int     error;

    for (i = 0; i < load->stream_count; i++) {
        json_array_append_new(streams, stream_json(load, i));
    }
    json = json_pack("{s:f,s:f,s:I,s:i,s:o}", "duration_s", load->options.duration_s, "warmup_s",
                     load->options.warmup_s, "seed", (json_int_t)load->options.seed, "gateways",
                     (int)cw_client_gateways(load->client), "streams", streams);
    error = json_dump_file(json, file_name, JSON_INDENT(2) | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(9));
    json_decref(json);
    return error == 0 ? CW_OK : CW_ERROR_IO;
}
