/**
 * @file pipeline.c
 * @brief Sends pipelined requests on a connection, and parses their answers.
 */
#include "pipeline.h"

#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"

enum { REQUESTS_MAX = 32, CHUNK = 16 * 1024 };

/** A connection with its requests. */
typedef struct pipeline {
    uv_tcp_t                tcp;
    uv_connect_t            connect;
    uv_write_t              write;
    cw_bytes_t              bytes;
    void                   *requests[REQUESTS_MAX];
    size_t                  count;
    size_t                  done; /* requests that have ended */
    pipeline_callback_t     answered;
    http_parser             parser;
    cw_http_fields_t        fields;
    cw_http_field_builder_t builder;
    cw_bytes_t              body;
    bool                    closes; /* the latest answer announced that the connection closes */
    char                    chunk[CHUNK];
} pipeline_t;

static void on_closed(uv_handle_t *handle)
{
    pipeline_t *pipeline = handle->data;

    cw_bytes_clear(&pipeline->bytes);
    cw_bytes_clear(&pipeline->body);
    cw_http_fields_clear(&pipeline->fields);
    free(pipeline);
}

static void end_pipeline(pipeline_t *pipeline, pipeline_end_t kind)
{
    pipeline_answer_t answer = {.end = kind};

    if (uv_is_closing((uv_handle_t *)&pipeline->tcp)) {
        return;
    }
    while (pipeline->done < pipeline->count) {
        pipeline->answered(pipeline->requests[pipeline->done++], &answer);
    }
    uv_close((uv_handle_t *)&pipeline->tcp, on_closed);
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
    pipeline_t *pipeline = parser->data;

    cw_http_field_builder_name(&pipeline->builder, &pipeline->fields, bytes, length);
    return 0;
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
    pipeline_t *pipeline = parser->data;

    cw_http_field_builder_value(&pipeline->builder, &pipeline->fields, bytes, length);
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
    cw_bytes_append(&((pipeline_t *)parser->data)->body, bytes, length);
    return 0;
}

static int on_message_end(http_parser *parser)
{
    pipeline_t       *pipeline = parser->data;
    pipeline_answer_t answer = {.end = PIPELINE_ANSWERED,
                                .status = (int)parser->status_code,
                                .fields = &pipeline->fields,
                                .body = pipeline->body.data,
                                .body_length = pipeline->body.length};

    if (pipeline->done == pipeline->count) {
        return -1; /* more answers than requests */
    }
    pipeline->answered(pipeline->requests[pipeline->done++], &answer);
    pipeline->closes = http_should_keep_alive(parser) == 0;
    cw_http_fields_clear(&pipeline->fields);
    pipeline->builder.in_value = false;
    pipeline->body.length = 0;
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_name, .on_header_value = on_value, .on_body = on_body, .on_message_complete = on_message_end};

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    pipeline_t *pipeline = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(pipeline->chunk, CHUNK);
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    pipeline_t *pipeline = stream->data;

    if (length == 0) {
        return;
    }
    if (length > 0) {
        (void)http_parser_execute(&pipeline->parser, &parser_settings, buffer->base, (size_t)length);
    }
    if (pipeline->done == pipeline->count || length < 0 || pipeline->closes ||
        HTTP_PARSER_ERRNO(&pipeline->parser) != HPE_OK) {
        end_pipeline(pipeline, pipeline->closes ? PIPELINE_UNREAD : PIPELINE_CUT);
    }
}

static void on_written(uv_write_t *write, int status)
{
    pipeline_t *pipeline = write->data;

    if (status != 0) {
        end_pipeline(pipeline, PIPELINE_CUT);
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    pipeline_t *pipeline = connect->data;
    uv_buf_t    buffer = uv_buf_init(pipeline->bytes.data, (unsigned)pipeline->bytes.length);

    if (status != 0) {
        end_pipeline(pipeline, PIPELINE_NOT_SENT);
        return;
    }
    pipeline->write.data = pipeline;
    uv_read_start((uv_stream_t *)&pipeline->tcp, on_allocate, on_read);
    if (uv_write(&pipeline->write, (uv_stream_t *)&pipeline->tcp, &buffer, 1, on_written) != 0) {
        end_pipeline(pipeline, PIPELINE_NOT_SENT);
    }
}

void pipeline_send(uv_loop_t *loop, const char *address, const char *bytes, size_t length, void *const *requests,
                   size_t count, pipeline_callback_t answered)
{
    pipeline_t        *pipeline = calloc(1, sizeof(*pipeline));
    struct sockaddr_in node_address;
    char               host[64] = "";
    int                port = 0;

    if (pipeline == NULL || count > REQUESTS_MAX || sscanf(address, "%63[^:]:%d", host, &port) != 2 ||
        uv_ip4_addr(host, port, &node_address) != 0) {
        abort();
    }
    memcpy(pipeline->requests, requests, count * sizeof(*requests));
    pipeline->count = count;
    pipeline->answered = answered;
    cw_bytes_append(&pipeline->bytes, bytes, length);
    http_parser_init(&pipeline->parser, HTTP_RESPONSE);
    pipeline->parser.data = pipeline;
    uv_tcp_init(loop, &pipeline->tcp);
    pipeline->tcp.data = pipeline;
    pipeline->connect.data = pipeline;
    if (uv_tcp_connect(&pipeline->connect, &pipeline->tcp, (const struct sockaddr *)&node_address, on_connected) != 0) {
        end_pipeline(pipeline, PIPELINE_NOT_SENT);
    }
}
