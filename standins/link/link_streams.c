/**
 * @file link_streams.c
 * @brief Forwards the two directions of each connection. A direction that may not pass bytes is not read, so that its
 *        sender sees a connection that stays open.
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
    QUEUE_BYTES_MAX = 256 * 1024 /* of one direction; a direction is not read while its queue is full */
};

/** Bytes that are sent at due_ms; length 0: the sender has shut down its side. */
typedef struct delayed_bytes {
    uint64_t              due_ms;
    struct delayed_bytes *next;
    size_t                length;
    char                  bytes[];
} delayed_bytes_t;

typedef struct stream stream_t;

/** One direction of a connection. */
typedef struct stream_direction {
    stream_t         *stream;
    uv_tcp_t         *source;
    uv_tcp_t         *target;
    const link_end_t *from;
    const link_end_t *to;
    uv_timer_t        timer;
    delayed_bytes_t  *first;
    delayed_bytes_t **last;
    size_t            queued; /**< bytes read and not written yet */
    uint64_t          due_ms; /**< due time of the bytes read last */
    bool              is_reading;
    bool              source_ended; /**< the sender has shut down its side */
    bool              target_ended; /**< the shutdown has been forwarded to the receiver */
} stream_direction_t;

/** A connection. */
struct stream {
    link_streams_t    *streams;
    uv_tcp_t           accepted; /**< accepted by the proxy */
    uv_tcp_t           outgoing; /**< made to the target */
    uv_connect_t       connect;
    stream_direction_t forward;
    stream_direction_t backward;
    unsigned           handles; /**< number of handles that are not closed yet */
    bool               is_connected;
    bool               is_stalled; /**< passes nothing until link_streams_heal */
    bool               is_closing;
    stream_t          *next;
};

/** A listener for connections from one end to another. */
typedef struct stream_listener {
    uv_tcp_t           socket;
    link_streams_t    *streams;
    const link_end_t  *from; /**< sender of connections whose process belongs to no end */
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

/** A write that has not completed. */
typedef struct stream_write {
    uv_write_t          request;
    stream_direction_t *direction;
    delayed_bytes_t    *bytes;
} stream_write_t;

static void update_direction(stream_direction_t *direction);

/* ---- the end of a connection ---- */

static void free_queue(stream_direction_t *direction)
{
    delayed_bytes_t *bytes;

    while ((bytes = direction->first) != NULL) {
        direction->first = bytes->next;
        free(bytes);
    }
}

static void on_closed(uv_handle_t *handle)
{
    stream_t *stream = handle->data;

    if (--stream->handles == 0) {
        free_queue(&stream->forward);
        free_queue(&stream->backward);
        free(stream);
    }
}

static void close_socket(uv_tcp_t *socket, bool with_reset)
{
    if (!with_reset || uv_tcp_close_reset(socket, on_closed) != 0) {
        uv_close((uv_handle_t *)socket, on_closed);
    }
}

static void close_timer(stream_direction_t *direction)
{
    direction->timer.data = direction->stream; /* on_closed expects the stream there */
    uv_close((uv_handle_t *)&direction->timer, on_closed);
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
    close_socket(&stream->accepted, with_reset);
    close_socket(&stream->outgoing, with_reset);
    close_timer(&stream->forward);
    close_timer(&stream->backward);
}

/* ---- sending ---- */

static void on_written(uv_write_t *request, int status)
{
    stream_write_t *write = request->data;
    stream_t       *stream = write->direction->stream;

    write->direction->queued -= write->bytes->length;
    if (status != 0) {
        close_stream(stream, true);
    } else {
        update_direction(write->direction);
    }
    free(write->bytes);
    free(write);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
    stream_direction_t *direction = request->data;
    stream_t           *stream = direction->stream;

    (void)status; /* ignored: if the receiver is gone, the other direction ends with an error */
    direction->target_ended = true;
    if (stream->forward.target_ended && stream->backward.target_ended) {
        close_stream(stream, false);
    }
    free(request);
}

static void shut_down_target(stream_direction_t *direction)
{
    uv_shutdown_t *request = malloc(sizeof(*request));

    if (request == NULL) {
        abort();
    }
    request->data = direction;
    if (uv_shutdown(request, (uv_stream_t *)direction->target, on_shutdown) != 0) {
        free(request);
        close_stream(direction->stream, true);
    }
}

static void send_bytes(stream_direction_t *direction, delayed_bytes_t *bytes)
{
    stream_write_t *write = calloc(1, sizeof(*write));
    uv_buf_t        buffer = uv_buf_init(bytes->bytes, (unsigned)bytes->length);

    if (write == NULL) {
        abort();
    }
    write->direction = direction;
    write->bytes = bytes;
    write->request.data = write;
    if (uv_write(&write->request, (uv_stream_t *)direction->target, &buffer, 1, on_written) != 0) {
        free(write);
        free(bytes);
        close_stream(direction->stream, true);
    }
}

static bool may_pass(const stream_direction_t *direction)
{
    const stream_t *stream = direction->stream;

    return stream->is_connected && !stream->is_closing && !stream->is_stalled &&
           !link_rules_is_cut(stream->streams->rules, direction->from, direction->to);
}

static void on_due(uv_timer_t *timer);

/* Sends the bytes that are due. A direction that is cut keeps its bytes until it may pass them again. */
static void send_due(stream_direction_t *direction)
{
    uint64_t now = uv_now(direction->stream->streams->loop);

    while (direction->first != NULL && direction->first->due_ms <= now && may_pass(direction)) {
        delayed_bytes_t *bytes = direction->first;

        direction->first = bytes->next;
        if (direction->first == NULL) {
            direction->last = &direction->first;
        }
        if (bytes->length == 0) {
            free(bytes);
            shut_down_target(direction);
        } else {
            send_bytes(direction, bytes);
        }
    }
    if (direction->first != NULL && may_pass(direction)) {
        uv_timer_start(&direction->timer, on_due, direction->first->due_ms - now, 0);
    }
}

static void on_due(uv_timer_t *timer)
{
    stream_direction_t *direction = timer->data;

    send_due(direction);
}

/* ---- receiving ---- */

static uint64_t due_time(stream_direction_t *direction, size_t length)
{
    const link_rules_t *rules = direction->stream->streams->rules;
    uint64_t            due_ms = uv_now(direction->stream->streams->loop);
    uint32_t            throttle = link_rules_value(rules, LINK_THROTTLE, direction->from, direction->to);

    due_ms += link_rules_value(rules, LINK_DELAY, direction->from, direction->to);
    if (due_ms < direction->due_ms) {
        due_ms = direction->due_ms; /* keeps the order of bytes */
    }
    if (throttle != 0) {
        due_ms += length * 1000 / throttle;
    }
    return due_ms;
}

static void queue_bytes(stream_direction_t *direction, const char *received, size_t length)
{
    delayed_bytes_t *bytes = malloc(sizeof(*bytes) + length);

    if (bytes == NULL) {
        abort();
    }
    bytes->due_ms = due_time(direction, length);
    bytes->next = NULL;
    bytes->length = length;
    memcpy(bytes->bytes, received, length);
    direction->due_ms = bytes->due_ms;
    direction->queued += length;
    *direction->last = bytes;
    direction->last = &bytes->next;
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    const stream_t *stream = handle->data;

    (void)suggested;
    *buffer = uv_buf_init(stream->streams->received, READ_BYTES);
}

static bool has_been_reset(const uv_tcp_t *socket)
{
    uv_os_fd_t descriptor;
    int        error = 0;
    socklen_t  length = sizeof(error);

    if (uv_fileno((const uv_handle_t *)socket, &descriptor) != 0) {
        return false;
    }
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == ECONNRESET;
}

static void on_read(uv_stream_t *source, ssize_t length, const uv_buf_t *buffer)
{
    stream_t           *stream = source->data;
    stream_direction_t *direction = source == (uv_stream_t *)&stream->accepted ? &stream->forward : &stream->backward;

    if (length == 0) {
        return;
    }
    /* libuv reports the end of the stream, not the reset, where both come with the last bytes. */
    if ((length < 0 && length != UV_EOF) || (length == UV_EOF && has_been_reset((const uv_tcp_t *)source))) {
        close_stream(stream, true);
        return;
    }
    if (length == UV_EOF) {
        direction->source_ended = true;
        queue_bytes(direction, "", 0);
    } else {
        queue_bytes(direction, buffer->base, (size_t)length);
    }
    send_due(direction);
    if (!stream->is_closing) {
        update_direction(direction);
    }
}

/* Starts or stops reading: a direction is read while it may pass bytes and its queue has space. */
static void update_direction(stream_direction_t *direction)
{
    bool wanted;

    if (direction->stream->is_closing) {
        return;
    }
    wanted = may_pass(direction) && !direction->source_ended && direction->queued < QUEUE_BYTES_MAX;
    if (wanted == direction->is_reading) {
        return;
    }
    direction->is_reading = wanted;
    if (!wanted) {
        (void)uv_read_stop((uv_stream_t *)direction->source);
    } else if (uv_read_start((uv_stream_t *)direction->source, on_allocate, on_read) != 0) {
        close_stream(direction->stream, true);
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
    update_direction(&stream->forward);
    update_direction(&stream->backward);
}

static void init_direction(stream_t *stream, stream_direction_t *direction, uv_tcp_t *source, uv_tcp_t *target)
{
    direction->stream = stream;
    direction->source = source;
    direction->target = target;
    direction->last = &direction->first;
    uv_timer_init(stream->streams->loop, &direction->timer);
    direction->timer.data = direction;
}

static stream_t *create_stream(stream_listener_t *listener)
{
    stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        abort();
    }
    stream->streams = listener->streams;
    uv_tcp_init(listener->streams->loop, &stream->accepted);
    uv_tcp_init(listener->streams->loop, &stream->outgoing);
    stream->accepted.data = stream;
    stream->outgoing.data = stream;
    stream->connect.data = stream;
    stream->handles = 4;
    init_direction(stream, &stream->forward, &stream->accepted, &stream->outgoing);
    init_direction(stream, &stream->backward, &stream->outgoing, &stream->accepted);
    stream->forward.from = listener->from;
    stream->forward.to = listener->to;
    stream->backward.from = listener->to;
    stream->backward.to = listener->from;
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
    if (uv_accept(socket, (uv_stream_t *)&stream->accepted) != 0) {
        close_stream(stream, true);
        return;
    }
    owner = link_end_of_connection(listener->streams->rules, &stream->accepted, &listener->listen);
    if (owner != NULL) {
        stream->forward.from = owner;
        stream->backward.to = owner;
    }
    if (link_rules_value(listener->streams->rules, LINK_REFUSE, stream->forward.from, stream->forward.to) != 0) {
        close_stream(stream, true);
        return;
    }
    if (uv_tcp_connect(&stream->connect, &stream->outgoing, (const struct sockaddr *)&listener->target, on_connected) !=
        0) {
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
    stream_listener_t *listener = calloc(1, sizeof(*listener)); /* never freed: used until the process ends */
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
    const link_end_t *from = stream->forward.from;
    const link_end_t *to = stream->forward.to;

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

/* Closes connections that one side has reset, before bytes pass again: a real sender that has lost its connection does
 * not send its bytes again either. */
void link_streams_update(link_streams_t *streams)
{
    stream_t *stream = streams->open;

    while (stream != NULL) {
        stream_t *next = stream->next;

        if (has_been_reset(&stream->accepted) || has_been_reset(&stream->outgoing)) {
            close_stream(stream, true);
        }
        send_due(&stream->forward);
        if (!stream->is_closing) {
            send_due(&stream->backward);
        }
        update_direction(&stream->forward);
        update_direction(&stream->backward);
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
