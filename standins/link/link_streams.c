/**
 * @file link_streams.c
 * @brief Each connection has two ways; what a way may not pass is not read, so that its sender sees an open connection.
 */
#include "link_streams.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "link_processes.h"

enum {
    BACKLOG = 128,
    READ_BYTES = 65536,
    QUEUE_BYTES_MOST = 256 * 1024 /* that wait in one way; beyond it nothing is read */
};

/** Bytes that are sent later; none: the sender has ended its side. */
typedef struct late_bytes {
    uint64_t           due_ms;
    struct late_bytes *next;
    size_t             length;
    char               bytes[];
} late_bytes_t;

typedef struct stream stream_t;

/** One direction of a connection. */
typedef struct stream_way {
    stream_t         *stream;
    uv_tcp_t         *source;
    uv_tcp_t         *target;
    const link_end_t *from;
    const link_end_t *to;
    uv_timer_t        timer;
    late_bytes_t     *first;
    late_bytes_t    **last;
    size_t            queued;
    uint64_t          due_ms; /**< of the bytes read last */
    bool              is_reading;
    bool              is_read_out; /**< the sender has ended its side */
    bool              has_ended;   /**< and the receiver has been sent that */
} stream_way_t;

struct stream {
    link_streams_t *streams;
    uv_tcp_t        near; /**< accepted */
    uv_tcp_t        far;
    uv_connect_t    connect;
    stream_way_t    forth;
    stream_way_t    back;
    unsigned        handles; /**< not closed yet */
    bool            is_connected;
    bool            is_stalled;
    bool            is_closing;
    stream_t       *next;
};

typedef struct stream_listener {
    uv_tcp_t           socket;
    link_streams_t    *streams;
    const link_end_t  *from; /**< of connections whose process is no end */
    const link_end_t  *to;
    struct sockaddr_in listen;
    struct sockaddr_in target;
} stream_listener_t;

struct link_streams {
    uv_loop_t    *loop;
    link_rules_t *rules;
    stream_t     *open;
    char          received[READ_BYTES];
};

/** A write under way. */
typedef struct stream_write {
    uv_write_t    request;
    stream_way_t *way;
    late_bytes_t *bytes;
} stream_write_t;

static void update_way(stream_way_t *way);

/* ---- the end of a connection ---- */

static void free_queue(stream_way_t *way)
{
    late_bytes_t *bytes;

    while ((bytes = way->first) != NULL) {
        way->first = bytes->next;
        free(bytes);
    }
}

static void on_closed(uv_handle_t *handle)
{
    stream_t *stream = handle->data;

    if (--stream->handles == 0) {
        free_queue(&stream->forth);
        free_queue(&stream->back);
        free(stream);
    }
}

static void close_socket(uv_tcp_t *socket, bool with_reset)
{
    if (!with_reset || uv_tcp_close_reset(socket, on_closed) != 0) {
        uv_close((uv_handle_t *)socket, on_closed);
    }
}

static void close_timer(stream_way_t *way)
{
    way->timer.data = way->stream; /* as on_closed takes it */
    uv_close((uv_handle_t *)&way->timer, on_closed);
}

static void close_stream(stream_t *stream, bool with_reset)
{
    stream_t **place = &stream->streams->open;

    if (stream->is_closing) {
        return;
    }
    stream->is_closing = true;
    while (*place != stream) {
        place = &(*place)->next;
    }
    *place = stream->next;
    close_socket(&stream->near, with_reset);
    close_socket(&stream->far, with_reset);
    close_timer(&stream->forth);
    close_timer(&stream->back);
}

/* ---- sending ---- */

static void on_written(uv_write_t *request, int status)
{
    stream_write_t *write = request->data;
    stream_t       *stream = write->way->stream;

    write->way->queued -= write->bytes->length;
    if (status != 0) {
        close_stream(stream, true);
    } else {
        update_way(write->way);
    }
    free(write->bytes);
    free(write);
}

static void on_shut(uv_shutdown_t *request, int status)
{
    stream_way_t *way = request->data;
    stream_t     *stream = way->stream;

    (void)status; /* the receiver has gone: its other way ends with an error */
    way->has_ended = true;
    if (stream->forth.has_ended && stream->back.has_ended) {
        close_stream(stream, false);
    }
    free(request);
}

static void end_way(stream_way_t *way)
{
    uv_shutdown_t *request = malloc(sizeof(*request));

    if (request == NULL) {
        abort();
    }
    request->data = way;
    if (uv_shutdown(request, (uv_stream_t *)way->target, on_shut) != 0) {
        free(request);
        close_stream(way->stream, true);
    }
}

static void send_bytes(stream_way_t *way, late_bytes_t *bytes)
{
    stream_write_t *write = calloc(1, sizeof(*write));
    uv_buf_t        buffer = uv_buf_init(bytes->bytes, (unsigned)bytes->length);

    if (write == NULL) {
        abort();
    }
    write->way = way;
    write->bytes = bytes;
    write->request.data = write;
    if (uv_write(&write->request, (uv_stream_t *)way->target, &buffer, 1, on_written) != 0) {
        free(write);
        free(bytes);
        close_stream(way->stream, true);
    }
}

static bool may_pass(const stream_way_t *way)
{
    const stream_t *stream = way->stream;

    return stream->is_connected && !stream->is_closing && !stream->is_stalled &&
           !link_rules_is_cut(stream->streams->rules, way->from, way->to);
}

static void on_due(uv_timer_t *timer);

/* Sends what is due; a way that is cut keeps what it has until it passes again. */
static void send_due(stream_way_t *way)
{
    uint64_t now = uv_now(way->stream->streams->loop);

    while (way->first != NULL && way->first->due_ms <= now && may_pass(way)) {
        late_bytes_t *bytes = way->first;

        way->first = bytes->next;
        if (way->first == NULL) {
            way->last = &way->first;
        }
        if (bytes->length == 0) {
            free(bytes);
            end_way(way);
        } else {
            send_bytes(way, bytes);
        }
    }
    if (way->first != NULL && may_pass(way)) {
        uv_timer_start(&way->timer, on_due, way->first->due_ms - now, 0);
    }
}

static void on_due(uv_timer_t *timer)
{
    stream_way_t *way = timer->data;

    send_due(way);
}

/* ---- receiving ---- */

static uint64_t due_of(stream_way_t *way, size_t length)
{
    const link_rules_t *rules = way->stream->streams->rules;
    uint64_t            due_ms = uv_now(way->stream->streams->loop);
    uint32_t            throttle = link_rules_number(rules, LINK_THROTTLE, way->from, way->to);

    due_ms += link_rules_number(rules, LINK_DELAY, way->from, way->to);
    if (due_ms < way->due_ms) {
        due_ms = way->due_ms; /* bytes stay in order */
    }
    if (throttle != 0) {
        due_ms += length * 1000 / throttle;
    }
    return due_ms;
}

static void queue_bytes(stream_way_t *way, const char *received, size_t length)
{
    late_bytes_t *bytes = malloc(sizeof(*bytes) + length);

    if (bytes == NULL) {
        abort();
    }
    bytes->due_ms = due_of(way, length);
    bytes->next = NULL;
    bytes->length = length;
    memcpy(bytes->bytes, received, length);
    way->due_ms = bytes->due_ms;
    way->queued += length;
    *way->last = bytes;
    way->last = &bytes->next;
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    const stream_t *stream = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(stream->streams->received, READ_BYTES);
}

static void on_read(uv_stream_t *source, ssize_t length, const uv_buf_t *buffer)
{
    stream_t     *stream = source->data;
    stream_way_t *way = source == (uv_stream_t *)&stream->near ? &stream->forth : &stream->back;

    if (length == 0) {
        return;
    }
    if (length < 0 && length != UV_EOF) {
        close_stream(stream, true);
        return;
    }
    if (length == UV_EOF) {
        way->is_read_out = true;
        queue_bytes(way, "", 0);
    } else {
        queue_bytes(way, buffer->base, (size_t)length);
    }
    send_due(way);
    if (!stream->is_closing) {
        update_way(way);
    }
}

/* Reads while the way may pass and has space. */
static void update_way(stream_way_t *way)
{
    bool wanted;

    if (way->stream->is_closing) {
        return;
    }
    wanted = may_pass(way) && !way->is_read_out && way->queued < QUEUE_BYTES_MOST;
    if (wanted == way->is_reading) {
        return;
    }
    way->is_reading = wanted;
    if (!wanted) {
        (void)uv_read_stop((uv_stream_t *)way->source);
    } else if (uv_read_start((uv_stream_t *)way->source, on_allocate, on_read) != 0) {
        close_stream(way->stream, true);
    }
}

/* ---- connections ---- */

static void on_connected(uv_connect_t *request, int status)
{
    stream_t *stream = request->data;

    if (stream->is_closing) {
        return;
    }
    if (status != 0) {
        close_stream(stream, true);
        return;
    }
    stream->is_connected = true;
    update_way(&stream->forth);
    update_way(&stream->back);
}

static void init_way(stream_t *stream, stream_way_t *way, uv_tcp_t *source, uv_tcp_t *target)
{
    way->stream = stream;
    way->source = source;
    way->target = target;
    way->last = &way->first;
    uv_timer_init(stream->streams->loop, &way->timer);
    way->timer.data = way;
}

static stream_t *create_stream(stream_listener_t *listener)
{
    stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        abort();
    }
    stream->streams = listener->streams;
    uv_tcp_init(listener->streams->loop, &stream->near);
    uv_tcp_init(listener->streams->loop, &stream->far);
    stream->near.data = stream;
    stream->far.data = stream;
    stream->connect.data = stream;
    stream->handles = 4;
    init_way(stream, &stream->forth, &stream->near, &stream->far);
    init_way(stream, &stream->back, &stream->far, &stream->near);
    stream->forth.from = listener->from;
    stream->forth.to = listener->to;
    stream->back.from = listener->to;
    stream->back.to = listener->from;
    stream->next = listener->streams->open;
    listener->streams->open = stream;
    return stream;
}

static void on_connection(uv_stream_t *socket, int status)
{
    stream_listener_t *listener = socket->data;
    const link_end_t  *owner;
    stream_t          *stream;

    if (status != 0) {
        fprintf(stderr, "cw-link: a connection to %s: %s\n", listener->to->name, uv_strerror(status));
        return;
    }
    stream = create_stream(listener);
    if (uv_accept(socket, (uv_stream_t *)&stream->near) != 0) {
        close_stream(stream, true);
        return;
    }
    owner = link_process_of(listener->streams->rules, &stream->near, &listener->listen);
    if (owner != NULL) {
        stream->forth.from = owner;
        stream->back.to = owner;
    }
    if (uv_tcp_connect(&stream->connect, &stream->far, (const struct sockaddr *)&listener->target, on_connected) != 0) {
        close_stream(stream, true);
    }
}

link_streams_t *link_streams_create(uv_loop_t *loop, link_rules_t *rules)
{
    link_streams_t *streams = calloc(1, sizeof(*streams));

    if (streams == NULL) {
        abort();
    }
    streams->loop = loop;
    streams->rules = rules;
    return streams;
}

int link_streams_add(link_streams_t *streams, const link_end_t *from, const link_end_t *to,
                     const struct sockaddr_in *listen, const struct sockaddr_in *target)
{
    stream_listener_t *listener = calloc(1, sizeof(*listener)); /* freed with the process */
    int                error;

    if (listener == NULL) {
        abort();
    }
    listener->streams = streams;
    listener->from = from;
    listener->to = to;
    listener->listen = *listen;
    listener->target = *target;
    uv_tcp_init(streams->loop, &listener->socket);
    listener->socket.data = listener;
    error = uv_tcp_bind(&listener->socket, (const struct sockaddr *)listen, 0);
    return error != 0 ? error : uv_listen((uv_stream_t *)&listener->socket, BACKLOG, on_connection);
}

/* ---- faults ---- */

static bool is_between(const stream_t *stream, const char *one, const char *other)
{
    const link_end_t *from = stream->forth.from;
    const link_end_t *to = stream->forth.to;

    return (link_end_matches(from, one) && link_end_matches(to, other)) ||
           (link_end_matches(from, other) && link_end_matches(to, one));
}

unsigned link_streams_stall(link_streams_t *streams, const char *one, const char *other)
{
    stream_t *stream;
    unsigned  count = 0;

    for (stream = streams->open; stream != NULL; stream = stream->next) {
        if (is_between(stream, one, other)) {
            stream->is_stalled = true;
            count++;
        }
    }
    link_streams_update(streams);
    return count;
}

unsigned link_streams_reset(link_streams_t *streams, const char *one, const char *other)
{
    stream_t *stream = streams->open;
    unsigned  count = 0;

    while (stream != NULL) {
        stream_t *next = stream->next;

        if (is_between(stream, one, other)) {
            close_stream(stream, true);
            count++;
        }
        stream = next;
    }
    return count;
}

static bool is_reset(const uv_tcp_t *socket)
{
    uv_os_fd_t descriptor;
    int        error = 0;
    socklen_t  length = sizeof(error);

    if (uv_fileno((const uv_handle_t *)socket, &descriptor) != 0) {
        return false;
    }
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == ECONNRESET;
}

/* What one side has reset passes nothing more: a sender that has no connection any more sends nothing again. */
void link_streams_update(link_streams_t *streams)
{
    stream_t *stream = streams->open;

    while (stream != NULL) {
        stream_t *next = stream->next;

        if (is_reset(&stream->near) || is_reset(&stream->far)) {
            close_stream(stream, true);
        }
        send_due(&stream->forth);
        if (!stream->is_closing) {
            send_due(&stream->back);
        }
        update_way(&stream->forth);
        update_way(&stream->back);
        stream = next;
    }
}

void link_streams_heal(link_streams_t *streams)
{
    stream_t *stream;

    for (stream = streams->open; stream != NULL; stream = stream->next) {
        stream->is_stalled = false;
    }
    link_streams_update(streams);
}
