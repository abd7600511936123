/**
 * @file load.h
 * @brief Open-loop load tool: requests are sent when their time has come, whether earlier ones were answered or not,
 *        and latency counts from that time.
 */
#ifndef CEDARWINCH_BENCH_LOAD_H
#define CEDARWINCH_BENCH_LOAD_H

#include <stdio.h>
#include <uv.h>

#include "../common/histogram.h"
#include "client.h"
#include "stream.h"

enum { CW_KEY_TEXT = 128 };

/** A request of a trace file: a line "OFFSET_US STREAM KEY", the stream counted from 0. */
typedef struct cw_trace_entry {
    int64_t  offset_us;
    uint32_t stream;
    char     key[CW_KEY_TEXT];
} cw_trace_entry_t;

typedef struct cw_trace {
    cw_trace_entry_t *entries;
    size_t            count;
    size_t            next;
} cw_trace_t;

typedef struct cw_reason_count {
    char     reason[CW_REASON_TEXT];
    uint64_t count;
} cw_reason_count_t;

enum { CW_REASONS_COUNTED = 32 };

/** What happened to a stream's requests. Repeats are counted apart. */
typedef struct cw_stream_report {
    uint64_t          intended;
    uint64_t          held_back; /**< not sent: the bound on requests in flight was reached */
    uint64_t          ends[CW_CALL_END_COUNT];
    uint64_t          repeat_ends[CW_CALL_END_COUNT];
    uint64_t          foreign; /**< answers that carried another request's id */
    cw_reason_count_t reasons[CW_REASONS_COUNTED];
    cw_histogram_t   *answered_us; /**< from the intended time */
    cw_histogram_t   *refused_us;  /**< not run: how soon that was said */
} cw_stream_report_t;

typedef struct cw_load_options {
    double      duration_s;
    double      warmup_s; /**< requests intended earlier are sent and recorded but not counted */
    uint64_t    seed;
    uint32_t    in_flight_limit;
    uint32_t    connections; /**< for each gateway */
    uint32_t    repeat_after_ms;
    const char *json_file;
    const char *record_file;
} cw_load_options_t;

typedef struct cw_load {
    uv_loop_t          *loop;
    cw_load_options_t   options;
    cw_client_t        *client;
    cw_stream_t       **streams;
    cw_stream_report_t *reports;
    size_t              stream_count;
    cw_trace_t          trace;
    FILE               *record;
    int64_t             start_us;
    uint64_t            random_state;
    uint64_t            in_flight;
    size_t              next_gateway;
    uv_poll_t           arrivals;
    int                 timer_file;
    bool                stopped;
} cw_load_t;

/** Sends all requests and waits for the last answer. */
int cw_load_run(cw_load_t *load);
/** Ends the arrivals early; answers are still waited for. */
void cw_load_stop(cw_load_t *load);

/* ---- trace.c ---- */
/** CW_ERROR_IO, or CW_ERROR_PARSE with the number of the faulty line. */
int  cw_trace_read(cw_trace_t *trace, const char *file_name, size_t stream_count, unsigned *line);
void cw_trace_clear(cw_trace_t *trace);

/* ---- report.c ---- */
int  cw_report_init(cw_stream_report_t *report);
void cw_report_print(const cw_load_t *load, FILE *stream);
int  cw_report_write_json(const cw_load_t *load, const char *file_name);

/* ---- request_text.c ---- */
/** Head and body, malloc()ed; host: "IP:PORT" of the gateway or server. */
char *cw_request_text(const cw_stream_options_t *options, const char *key, const char *request_id, const char *host,
                      size_t *length);

/* ---- request.c: one request from its time to its record ---- */
/** key: text; intended_us: real time. */
void cw_request_send(cw_load_t *load, size_t stream, const char *key, int64_t intended_us);

#endif
