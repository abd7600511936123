/**
 * @file http_listener_answer.c
 * @brief Answers of the HTTP server: format, order, writing.
 *
 * An answer is kept as its body and its head without the last lines, since whether it closes the connection is
 * decided only when its turn comes. It is written from these two buffers, so that no byte is copied a second time.
 */
#include <stdlib.h>
#include <string.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "net/http_hop_names.h"
#include "net/http_listener_internal.h"

enum {
    WAIT_LOGGED_MS = 50, /* shorter waits for an earlier answer are counted, but not logged */
    NO_CONTENT = 204,
    NOT_MODIFIED = 304
};

/* ---- format ---- */

static bool has_body(const cw_http_exchange_t *exchange, int status)
{
    return !exchange->is_head && status != NO_CONTENT && status != NOT_MODIFIED;
}

static void write_fields(cw_bytes_t *output, const cw_http_fields_t *fields)
{
    cw_http_hop_names_t hop_names = cw_http_hop_names_of(fields);
    size_t              index;

    for (index = 0; index < fields->count; index++) {
        const cw_http_field_t *field = &fields->items[index];

        if (cw_http_hop_names_have(&hop_names, field->name)) {
            continue;
        }
        cw_bytes_append_text(output, field->name);
        cw_bytes_append(output, ": ", 2);
        cw_bytes_append_text(output, field->value == NULL ? "" : field->value);
        cw_bytes_append(output, "\r\n", 2);
    }
    cw_http_hop_names_clear(&hop_names);
}

static void write_head(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound)
{
    cw_bytes_t *output = &exchange->answer_head;

    cw_bytes_append_format(output, "HTTP/1.1 %d %s\r\n", outbound->status,
                           http_status_str((enum http_status)outbound->status));
    if (outbound->fields != NULL) {
        write_fields(output, outbound->fields);
    }
    if (outbound->added_value != NULL) {
        cw_bytes_append_format(output, "%s: ", outbound->added_name);
        cw_bytes_append_text(output, outbound->added_value);
        cw_bytes_append(output, "\r\n", 2);
    }
    if (outbound->retry_after_s >= 0) {
        cw_bytes_append_format(output, "Retry-After: %.3f\r\n", outbound->retry_after_s);
    }
    if (outbound->status != NO_CONTENT && outbound->status != NOT_MODIFIED) {
        cw_bytes_append_format(output, "Content-Length: %zu\r\n", outbound->body_length);
    }
}

static void finish_head(cw_http_exchange_t *exchange, bool closes)
{
    exchange->answer_head_done = true;
    exchange->closes = closes;
    if (closes) {
        cw_bytes_append_text(&exchange->answer_head, "Connection: close\r\n");
    } else if (exchange->http_1_0) {
        cw_bytes_append_text(&exchange->answer_head, "Connection: keep-alive\r\n");
    }
    cw_bytes_append(&exchange->answer_head, "\r\n", 2);
}

/* ---- order ---- */

const char *cw_listener_request_name(const cw_http_exchange_t *exchange)
{
    const char *name = exchange->connection->listener->options.request_id_name;

    return name == NULL ? NULL : cw_http_fields_find(&exchange->fields, name);
}

/* Called when the oldest request is answered and others follow: saves its name as the one for which they waited. */
static void save_blocking_request(const cw_http_exchange_t *exchange)
{
    cw_http_connection_t *connection = exchange->connection;
    const char           *name = cw_listener_request_name(exchange);

    free(connection->blocking_request);
    connection->blocking_request = name == NULL ? NULL : strdup(name);
}

/* Counts and logs an answer whose turn has come after it waited for earlier ones. */
static void record_wait(const cw_http_exchange_t *exchange)
{
    cw_time_us_t waited = cw_listener_now(exchange->connection->listener) - exchange->answered_us;
    cw_event_t   event;

    cw_metric_add(CW_METRIC_ANSWERS_WAITED, 1);
    cw_histogram_add(CW_HISTOGRAM_TURN, "all", waited);
    if (waited < CW_MS(WAIT_LOGGED_MS) || !cw_event_begin(&event, CW_EVENT_ANSWER_WAITED)) {
        return;
    }
    cw_event_text(&event, CW_FIELD_REQUEST, cw_listener_request_name(exchange));
    cw_event_ms(&event, CW_FIELD_WAITED_MS, waited);
    cw_event_text(&event, CW_FIELD_WAITED_FOR, exchange->connection->blocking_request);
    cw_event_end(&event);
}

/* ---- writing ---- */

static void on_shutdown(uv_shutdown_t *request, int status)
{
    (void)request;
    (void)status;
}

static void linger(cw_http_connection_t *connection)
{
    connection->state = CW_CONNECTION_LINGERING;
    connection->linger_until = cw_listener_now(connection->listener) + CW_MS(CW_LINGER_MS);
    connection->linger_deadline = cw_listener_now(connection->listener) + CW_SECONDS(CW_LINGER_MAX_S);
    cw_listener_end_pipeline(connection);
    if (uv_shutdown(&connection->shutdown, (uv_stream_t *)&connection->tcp, on_shutdown) != 0) {
        cw_listener_close_connection(connection);
    }
}

static void finish_written(cw_http_exchange_t *exchange)
{
    cw_http_connection_t *connection = exchange->connection;
    bool                  closes = exchange->closes;

    cw_pipeline_remove(&connection->pipeline, &exchange->entry);
    cw_listener_exchange_free(exchange);
    if (closes) {
        linger(connection);
    } else if (cw_listener_is_idle(connection)) {
        cw_listener_begin_idle(connection);
    }
}

static void on_written(uv_write_t *write, int status)
{
    cw_http_connection_t *connection = write->data;

    connection->is_writing = false;
    if (connection->state != CW_CONNECTION_OPEN) {
        return;
    }
    if (status != 0) {
        cw_listener_close_connection(connection);
        return;
    }
    finish_written((cw_http_exchange_t *)connection->pipeline.entries);
    cw_listener_write(connection);
}

static void skip_sent(uv_buf_t *buffer, size_t *sent)
{
    size_t part = *sent < buffer->len ? *sent : buffer->len;

    if (part == 0) { /* a body that is empty has no address */
        return;
    }
    buffer->base += part;
    buffer->len -= part;
    *sent -= part;
}

/* Returns true if the kernel accepted the complete answer at once; otherwise libuv writes the rest. */
static bool write_answer(cw_http_connection_t *connection, cw_http_exchange_t *exchange)
{
    uv_buf_t buffers[] = {uv_buf_init(exchange->answer_head.data, (unsigned)exchange->answer_head.length),
                          uv_buf_init(exchange->answer_body.data, (unsigned)exchange->answer_body.length)};
    size_t   whole = buffers[0].len + buffers[1].len;
    unsigned count = buffers[1].len > 0 ? 2 : 1;
    int      tried = uv_try_write((uv_stream_t *)&connection->tcp, buffers, count);
    size_t   sent = tried > 0 ? (size_t)tried : 0;

    if (sent == whole) {
        return true;
    }
    skip_sent(&buffers[0], &sent);
    skip_sent(&buffers[1], &sent);
    connection->write.data = connection;
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, buffers, count, on_written) != 0) {
        cw_listener_close_connection(connection);
        return false;
    }
    connection->is_writing = true;
    connection->write_left = uv_stream_get_write_queue_size((const uv_stream_t *)&connection->tcp);
    connection->write_check_us = cw_listener_now(connection->listener) + connection->listener->limits.idle_timeout;
    return false;
}

void cw_listener_write(cw_http_connection_t *connection)
{
    cw_pipeline_entry_t *entry;

    while (connection->state == CW_CONNECTION_OPEN && !connection->is_writing &&
           (entry = cw_pipeline_next_to_write(&connection->pipeline)) != NULL) {
        cw_http_exchange_t *exchange = (cw_http_exchange_t *)entry;

        if (exchange->aborted) {
            cw_listener_close_connection(connection);
            return;
        }
        if (exchange->is_early) {
            record_wait(exchange);
        }
        finish_head(exchange, cw_pipeline_closes(&connection->pipeline, entry));
        if (write_answer(connection, exchange)) {
            finish_written(exchange);
        }
    }
    if (!connection->is_advancing && cw_listener_has_more(connection)) {
        connection->resume_due = true;
    }
    cw_listener_arm_timer(connection);
}

void cw_listener_send_continue(cw_http_connection_t *connection)
{
    static char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
    uv_buf_t    buffer = uv_buf_init(interim, sizeof(interim) - 1);

    if (connection->incoming == NULL || !connection->incoming->wants_continue || connection->memory_wanted > 0 ||
        connection->pipeline.count > 0) {
        return;
    }
    connection->incoming->wants_continue = false;
    (void)uv_try_write((uv_stream_t *)&connection->tcp, &buffer, 1);
}

/* ---- answers of the handler and of the listener ---- */

static void store_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound)
{
    cw_http_connection_t *connection = exchange->connection;

    write_head(exchange, outbound);
    if (has_body(exchange, outbound->status) && outbound->body_length > 0) {
        cw_bytes_append(&exchange->answer_body, outbound->body, outbound->body_length);
    }
    exchange->answered_us = cw_listener_now(connection->listener);
    cw_pipeline_answered(&connection->pipeline, &exchange->entry,
                         exchange->answer_head.length + exchange->answer_body.length);
    exchange->is_early = connection->pipeline.entries != &exchange->entry;
    if (!exchange->is_early && exchange->entry.next != NULL) {
        save_blocking_request(exchange);
    }
    if (!exchange->in_handler) { /* the body was kept for repeated sending until now */
        cw_listener_release(exchange, exchange->reserved);
        cw_bytes_clear(&exchange->body);
    }
    cw_listener_write(connection);
}

void cw_http_exchange_answer(cw_http_exchange_t *exchange, const cw_http_outbound_t *outbound)
{
    if (exchange->entry.state == CW_PIPELINE_DISPATCHED && exchange->connection->state == CW_CONNECTION_OPEN) {
        store_answer(exchange, outbound);
    }
}

static void log_refusal(const cw_http_exchange_t *exchange, int status, const char *reason)
{
    cw_event_t event;

    if (cw_event_begin(&event, CW_EVENT_REQUEST_REFUSED)) {
        cw_event_text(&event, CW_FIELD_REQUEST, cw_listener_request_name(exchange));
        cw_event_number(&event, CW_FIELD_STATUS, status);
        cw_event_text(&event, CW_FIELD_REASON, reason);
        cw_event_end(&event);
    }
}

void cw_listener_refuse(cw_http_connection_t *connection, int status, double retry_after_s, const char *reason)
{
    cw_http_outbound_t  outbound = {.status = status, .retry_after_s = retry_after_s};
    cw_http_exchange_t *exchange = connection->incoming;

    log_refusal(exchange, status, reason);
    cw_listener_stop_waiting(connection);
    connection->incoming = NULL;
    exchange->entry.last = true;
    cw_pipeline_append(&connection->pipeline, &exchange->entry);
    store_answer(exchange, &outbound);
}
