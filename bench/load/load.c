/**
 * @file load.c
 * @brief Arrivals of the load tool: a timer wakes the loop at the next intended time, to the microsecond.
 */
#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "../../standins/common/codec.h"
#include "cedarwinch/error.h"

enum { NANOSECONDS_PER_US = 1000 };

static int64_t duration_us(const cw_load_t *load)
{
    return (int64_t)(load->options.duration_s * CW_US_PER_S);
}

/* Earliest stream, by its next arrival; stream_count: none. */
static size_t earliest_stream(const cw_load_t *load, int64_t *offset_us)
{
    size_t  best = load->stream_count;
    size_t  i;
    int64_t next_us;

    *offset_us = INT64_MAX;
    for (i = 0; i < load->stream_count; i++) {
        next_us = cw_stream_next_us(load->streams[i]);
        if (next_us < *offset_us) {
            *offset_us = next_us;
            best = i;
        }
    }
    return best;
}

static int64_t trace_offset_us(const cw_load_t *load)
{
    return load->trace.next < load->trace.count ? load->trace.entries[load->trace.next].offset_us : INT64_MAX;
}

/* Time of the next arrival since the start; INT64_MAX: none within the duration. */
static int64_t next_offset_us(const cw_load_t *load)
{
    int64_t offset_us;
    int64_t trace_us = trace_offset_us(load);

    earliest_stream(load, &offset_us);
    if (trace_us < offset_us) {
        offset_us = trace_us;
    }
    return load->stopped || offset_us >= duration_us(load) ? INT64_MAX : offset_us;
}

static void send_from_stream(cw_load_t *load, size_t stream, int64_t offset_us)
{
    char key[CW_KEY_TEXT];

    snprintf(key, sizeof(key), "%s-%u", cw_stream_options(load->streams[stream])->service,
             (unsigned)cw_stream_take(load->streams[stream]));
    cw_request_send(load, stream, key, load->start_us + offset_us);
}

static void send_next(cw_load_t *load)
{
    const cw_trace_entry_t *entry;
    int64_t                 offset_us;
    size_t                  stream = earliest_stream(load, &offset_us);

    if (trace_offset_us(load) < offset_us) {
        entry = &load->trace.entries[load->trace.next++];
        cw_request_send(load, entry->stream, entry->key, load->start_us + entry->offset_us);
        return;
    }
    send_from_stream(load, stream, offset_us);
}

static void end_arrivals(cw_load_t *load)
{
    uv_poll_stop(&load->arrivals);
    uv_unref((uv_handle_t *)&load->arrivals);
}

static void set_timer(cw_load_t *load, int64_t real_us)
{
    struct itimerspec at = {0};

    at.it_value.tv_sec = real_us / CW_US_PER_S;
    at.it_value.tv_nsec = real_us % CW_US_PER_S * NANOSECONDS_PER_US;
    timerfd_settime(load->timer_file, TFD_TIMER_ABSTIME, &at, NULL);
}

static void send_due(cw_load_t *load)
{
    int64_t offset_us = next_offset_us(load);

    while (offset_us != INT64_MAX && load->start_us + offset_us <= cw_real_us()) {
        send_next(load);
        offset_us = next_offset_us(load);
    }
    if (offset_us == INT64_MAX) {
        end_arrivals(load);
        return;
    }
    set_timer(load, load->start_us + offset_us);
}

static void on_arrivals_due(uv_poll_t *handle, int status, int events)
{
    cw_load_t *load = handle->data;
    uint64_t   expirations;

    (void)status;
    (void)events;
    if (read(load->timer_file, &expirations, sizeof(expirations)) < 0) {
        return; /* the timer was set anew in between */
    }
    send_due(load);
}

int cw_load_run(cw_load_t *load)
{
    load->timer_file = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (load->timer_file < 0 || uv_poll_init(load->loop, &load->arrivals, load->timer_file) != 0) {
        return CW_ERROR_IO;
    }
    load->arrivals.data = load;
    uv_poll_start(&load->arrivals, UV_READABLE, on_arrivals_due);
    load->start_us = cw_real_us();
    send_due(load);
    while (uv_is_active((uv_handle_t *)&load->arrivals) || load->in_flight > 0) {
        uv_run(load->loop, UV_RUN_ONCE);
    }
    close(load->timer_file);
    return CW_OK;
}

void cw_load_stop(cw_load_t *load)
{
    load->stopped = true;
    end_arrivals(load);
}
