/**
 * @file http_listener_exchange.c
 * @brief One request: allocation, call of the handler, end without an answer.
 */
#include <stdlib.h>

#include "base/memory.h"
#include "base/metrics.h"
#include "net/http_listener_internal.h"

cw_http_exchange_t *cw_listener_exchange_create(cw_http_connection_t *connection)
{
    cw_http_exchange_t *exchange = cw_memory_zeroed(sizeof(*exchange));

    exchange->connection = connection;
    return exchange;
}

void cw_listener_exchange_free(cw_http_exchange_t *exchange)
{
    if (exchange->in_handler) {
        exchange->free_after_handler = true;
        return;
    }
    cw_listener_release(exchange, exchange->reserved);
    cw_http_fields_clear(&exchange->fields);
    cw_bytes_clear(&exchange->target);
    cw_bytes_clear(&exchange->body);
    cw_bytes_clear(&exchange->answer_head);
    cw_bytes_clear(&exchange->answer_body);
    free(exchange);
}

cw_http_inbound_t cw_listener_inbound(const cw_http_exchange_t *exchange)
{
    return (cw_http_inbound_t){.method = exchange->method,
                               .target = exchange->target.data,
                               .fields = &exchange->fields,
                               .body = exchange->body.data,
                               .body_length = exchange->body.length,
                               .arrived_us = exchange->arrived_us,
                               .body_unread = exchange->body_unread};
}

static void dispatch(cw_http_connection_t *connection, cw_http_exchange_t *exchange)
{
    cw_http_listener_t *listener = connection->listener;
    cw_http_inbound_t   inbound = cw_listener_inbound(exchange);

    exchange->entry.state = CW_PIPELINE_DISPATCHED;
    exchange->in_handler = true;
    listener->handler.request(listener->handler.context, exchange, &inbound);
    exchange->in_handler = false;
    if (exchange->free_after_handler) {
        cw_listener_exchange_free(exchange);
    }
}

void cw_listener_dispatch(cw_http_connection_t *connection)
{
    cw_pipeline_entry_t *entry;

    while (connection->state == CW_CONNECTION_OPEN &&
           (entry = cw_pipeline_next_to_dispatch(&connection->pipeline)) != NULL) {
        if (entry != connection->pipeline.entries) {
            cw_metric_add(CW_METRIC_PIPELINED, 1);
        }
        if (connection->listener->ending) { /* the answer closes the connection */
            entry->state = CW_PIPELINE_DISPATCHED;
            cw_listener_end_pipeline(connection);
        }
        dispatch(connection, (cw_http_exchange_t *)entry);
    }
}

void cw_listener_end_pipeline(cw_http_connection_t *connection)
{
    cw_pipeline_entry_t *entry;

    while ((entry = cw_pipeline_end(&connection->pipeline)) != NULL) {
        cw_metric_add(CW_METRIC_REQUESTS_DROPPED, 1);
        cw_listener_exchange_free((cw_http_exchange_t *)entry);
    }
    cw_listener_stop_waiting(connection);
    if (connection->incoming != NULL) {
        cw_metric_add(CW_METRIC_REQUESTS_DROPPED, 1);
        cw_listener_exchange_free(connection->incoming);
        connection->incoming = NULL;
    }
}

/* Drops all requests after one that will have no answer, and ends those that are with the handler. */
static void drop_later_requests(cw_http_connection_t *connection, const cw_http_exchange_t *exchange)
{
    cw_http_listener_t *listener = connection->listener;

    cw_listener_end_pipeline(connection);
    while (exchange->entry.next != NULL) {
        cw_http_exchange_t *newest = (cw_http_exchange_t *)connection->pipeline.entries->prev;
        bool                with_handler = newest->entry.state == CW_PIPELINE_DISPATCHED;

        cw_pipeline_remove(&connection->pipeline, &newest->entry);
        if (with_handler) {
            newest->entry.state = CW_PIPELINE_ANSWERED;
            listener->handler.cancelled(listener->handler.context, newest);
        }
        cw_listener_exchange_free(newest);
    }
}

void cw_http_exchange_abort(cw_http_exchange_t *exchange)
{
    cw_http_connection_t *connection = exchange->connection;

    if (exchange->entry.state != CW_PIPELINE_DISPATCHED || connection->state != CW_CONNECTION_OPEN) {
        return;
    }
    exchange->aborted = true;
    cw_pipeline_answered(&connection->pipeline, &exchange->entry, 0);
    drop_later_requests(connection, exchange);
    cw_listener_write(connection);
}

bool cw_http_exchange_is_caller_gone(const cw_http_exchange_t *exchange)
{
    return cw_listener_is_hung_up(exchange->connection);
}

void cw_http_exchange_set_data(cw_http_exchange_t *exchange, void *data)
{
    exchange->data = data;
}

void *cw_http_exchange_data(const cw_http_exchange_t *exchange)
{
    return exchange->data;
}
