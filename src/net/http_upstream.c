/**
 * @file http_upstream.c
 * @brief Calls, connections and pools of idle connections.
 *
 * A call owns its connection from start to end. `sent` is set just before the first write, so if a call ends without
 * it, no byte has been sent. Idle connections are read, so that a close by the peer, or an unexpected byte, after
 * which the connection must not be reused, is detected before the next use.
 */
#include "net/http_upstream_internal.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/loop_clock.h"
#include "base/loop_stall.h"
#include "base/memory.h"
#include "net/ipv4_endpoint.h"

enum { KEEP_ALIVE_SHARE_NUMERATOR = 3, KEEP_ALIVE_SHARE_DENOMINATOR = 5 };

static cw_time_us_t now_us(const cw_upstream_t *upstream)
{
    return cw_loop_now(upstream->loop);
}

/* ---- release of memory ---- */

static void free_if_unused(cw_upstream_target_t *target)
{
    cw_upstream_t *upstream = target->upstream;

    if (!target->released || target->connections > 0) {
        return;
    }
    DL_DELETE(upstream->targets, target);
    free(target);
    if (upstream->released && upstream->targets == NULL) {
        free(upstream);
    }
}

void cw_upstream_free_body(cw_upstream_call_t *call)
{
    cw_answer_memory_t *memory = call->connection->target->upstream->options.memory;

    cw_bytes_clear(&call->body);
    if (memory != NULL) {
        cw_answer_memory_release(memory, &call->share);
    }
}

static void free_call(cw_upstream_call_t *call)
{
    cw_http_fields_clear(&call->fields);
    cw_upstream_free_body(call);
    free(call->match_name);
    free(call->match_value);
    free(call->bytes);
    free(call);
}

static void on_closed(uv_handle_t *handle)
{
    cw_upstream_connection_t *connection = handle->data;
    cw_upstream_target_t     *target = connection->target;

    if (--connection->handles > 0) {
        return;
    }
    free(connection);
    target->connections--;
    free_if_unused(target);
}

static void remove_from_pool(cw_upstream_connection_t *connection)
{
    if (connection->is_idle) {
        DL_DELETE(connection->target->idle, connection);
        connection->target->idle_count--;
        connection->is_idle = false;
    }
}

void cw_upstream_close_connection(cw_upstream_connection_t *connection, bool reset)
{
    if (connection->closing) {
        return;
    }
    connection->closing = true;
    remove_from_pool(connection);
    uv_close((uv_handle_t *)&connection->timer, on_closed);
    if (!reset || uv_tcp_close_reset(&connection->tcp, on_closed) != 0) {
        uv_close((uv_handle_t *)&connection->tcp, on_closed);
    }
}

/* ---- end of a call ---- */

static void on_timer(uv_timer_t *timer);

static void arm_timer(cw_upstream_connection_t *connection, cw_time_us_t due_us)
{
    cw_time_us_t wait_us = due_us - now_us(connection->target->upstream);

    uv_timer_start(&connection->timer, on_timer, wait_us <= 0 ? 0 : (uint64_t)(wait_us / 1000) + 1, 0);
}

static cw_time_us_t idle_time(const cw_upstream_t *upstream, const cw_http_fields_t *fields)
{
    const char  *keep_alive = cw_http_fields_find(fields, "keep-alive");
    const char  *timeout = keep_alive == NULL ? NULL : strcasestr(keep_alive, "timeout=");
    cw_time_us_t stated;

    if (timeout == NULL) {
        return upstream->options.idle_max;
    }
    /* The connection is closed well before the peer closes it, so that no request is sent while the peer closes. */
    stated = CW_SECONDS(atoi(timeout + strlen("timeout="))) * KEEP_ALIVE_SHARE_NUMERATOR / KEEP_ALIVE_SHARE_DENOMINATOR;
    return stated < upstream->options.idle_max ? stated : upstream->options.idle_max;
}

static void keep_idle(cw_upstream_connection_t *connection, cw_time_us_t idle)
{
    connection->used = true;
    connection->is_idle = true;
    DL_PREPEND(connection->target->idle, connection);
    connection->target->idle_count++;
    arm_timer(connection, now_us(connection->target->upstream) + idle);
}

/* True if the server has spoiled its answer. An answer of a stated length that had to make way for others is not its
 * fault; whether one without a length would have ended is not known. */
static bool is_spoiled(const cw_upstream_call_t *call, cw_upstream_result_t result)
{
    bool is_excused = call->lacks_memory && call->stated_length != CW_UPSTREAM_UNSTATED;

    return result == CW_UPSTREAM_BROKEN && call->any_byte && !is_excused;
}

/* True if the connection is reset rather than closed. After an answer that was given up, the reset frees the server's
 * end at once, whatever it still sends. */
static bool resets_connection(const cw_upstream_call_t *call, cw_upstream_result_t result)
{
    const cw_upstream_options_t *options = &call->connection->target->upstream->options;

    return call->failure != NULL || (result == CW_UPSTREAM_TIMED_OUT && options->reset_on_abandon);
}

/* ---- names of requests ---- */

static uint64_t digest_name(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* True if one of the latest calls on the connection had this match value. */
static bool has_carried(const cw_upstream_connection_t *connection, const char *name)
{
    uint64_t digest = digest_name(name);
    size_t   known = connection->named < CW_UPSTREAM_NAMES ? connection->named : CW_UPSTREAM_NAMES;
    size_t   index;

    for (index = 0; index < known; index++) {
        if (connection->names[index] == digest) {
            return true;
        }
    }
    return false;
}

static void remember_name(cw_upstream_connection_t *connection, const char *name)
{
    connection->names[connection->named++ % CW_UPSTREAM_NAMES] = digest_name(name);
}

/* True if the connection may carry another call after this complete answer. */
static bool may_be_kept(const cw_upstream_call_t *call, const cw_upstream_answer_t *answer)
{
    const cw_upstream_connection_t *connection = call->connection;
    const cw_upstream_target_t     *target = connection->target;

    if (!call->complete || call->not_reusable || answer->closing || connection->writing || target->released) {
        return false;
    }
    if (call->may_be_kept != NULL && !call->may_be_kept(call->context, answer)) {
        return false;
    }
    return (answer->names_request || !call->is_match_required) && idle_time(target->upstream, &call->fields) > 0;
}

void cw_upstream_end_call(cw_upstream_call_t *call, cw_upstream_result_t result, const char *failure, bool reset)
{
    cw_upstream_connection_t *connection = call->connection;
    cw_upstream_target_t     *target = connection->target;
    cw_upstream_answer_t      answer = {.result = result,
                                        .failure = failure,
                                        .reused = call->reused,
                                        .reset = reset,
                                        .any_byte = call->any_byte,
                                        .connection = connection->number,
                                        .discarded = call->discarded,
                                        .is_first = !call->reused,
                                        .carried_before = call->carried_before,
                                        .spoiled = is_spoiled(call, result)};

    if (result != CW_UPSTREAM_ANSWERED && result != CW_UPSTREAM_WITHDRAWN && !call->sent) {
        answer.result = CW_UPSTREAM_NOT_SENT;
    }
    connection->call = NULL;
    if (result == CW_UPSTREAM_ANSWERED) {
        answer.status = (int)call->parser.status_code;
        answer.fields = &call->fields;
        answer.body = call->body.data;
        answer.body_length = call->body.length;
        answer.closing = http_should_keep_alive(&call->parser) == 0;
        answer.names_request = cw_upstream_names_request(call);
    }
    if (result == CW_UPSTREAM_ANSWERED && may_be_kept(call, &answer)) {
        keep_idle(connection, idle_time(target->upstream, &call->fields));
    } else {
        cw_upstream_close_connection(connection, resets_connection(call, result));
    }
    call->answered(call->context, &answer);
    free_call(call);
}

void cw_upstream_call_abandon(cw_upstream_call_t *call)
{
    cw_upstream_connection_t *connection = call->connection;

    connection->call = NULL;
    cw_upstream_close_connection(connection, connection->target->upstream->options.reset_on_abandon);
    free_call(call);
}

bool cw_upstream_call_sent(const cw_upstream_call_t *call)
{
    return call->sent;
}

uint64_t cw_upstream_opened(const cw_upstream_t *upstream)
{
    return upstream->opened;
}

static void on_timer(uv_timer_t *timer)
{
    cw_upstream_connection_t *connection = timer->data;

    if (connection->call != NULL && cw_loop_stall_postpone(timer, on_timer, &connection->is_postponed)) {
        return;
    }
    if (connection->call == NULL) {
        cw_upstream_close_connection(connection, false);
    } else if (connection->call->failure != NULL) {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_BROKEN, connection->call->failure, false);
    } else if (!connection->connected) {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_TIMED_OUT, "no connection in time", false);
    } else {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_TIMED_OUT, "no answer in time", false);
    }
}

void cw_upstream_give_up_for_memory(cw_upstream_call_t *call)
{
    cw_upstream_connection_t *connection = call->connection;

    call->failure = "no memory for the answer";
    call->lacks_memory = true;
    cw_upstream_free_body(call);
    uv_read_stop((uv_stream_t *)&connection->tcp);
    arm_timer(connection, now_us(connection->target->upstream));
}

void cw_upstream_extend_timeout(cw_upstream_call_t *call)
{
    cw_time_us_t due = now_us(call->connection->target->upstream) + call->progress_us;

    if (call->progress_us > 0 && call->due_us > 0 && due > call->due_us) {
        call->due_us = due;
        arm_timer(call->connection, due);
    }
}

/* ---- the request ---- */

static void on_written(uv_write_t *write, int status)
{
    cw_upstream_connection_t *connection = write->data;

    connection->writing = false;
    if (connection->closing || status == 0) {
        return;
    }
    if (connection->call != NULL) {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_BROKEN, "connection lost while sending", true);
    }
}

static void skip_sent(uv_buf_t *buffer, size_t *sent)
{
    size_t part = *sent < buffer->len ? *sent : buffer->len;

    buffer->base += part;
    buffer->len -= part;
    *sent -= part;
}

/* A failure to write is reported from the loop, so that cw_upstream_call never calls back. */
static void send_request(cw_upstream_connection_t *connection)
{
    cw_upstream_call_t *call = connection->call;
    uv_buf_t            buffers[] = {uv_buf_init(call->bytes, (unsigned)call->length),
                                     uv_buf_init((char *)call->tail, (unsigned)call->tail_length)};
    unsigned            count = call->tail_length > 0 ? 2 : 1;
    int                 tried;
    size_t              sent;

    call->sent = true;
    if (call->match_value != NULL) {
        call->carried_before = has_carried(connection, call->match_value);
        remember_name(connection, call->match_value);
    }
    tried = uv_try_write((uv_stream_t *)&connection->tcp, buffers, count);
    sent = tried > 0 ? (size_t)tried : 0;
    if (sent == call->length + call->tail_length) {
        return;
    }
    skip_sent(&buffers[0], &sent);
    skip_sent(&buffers[1], &sent);
    connection->writing = true;
    connection->write.data = connection;
    if (uv_write(&connection->write, (uv_stream_t *)&connection->tcp, buffers, count, on_written) != 0) {
        connection->writing = false;
        arm_timer(connection, now_us(connection->target->upstream)); /* the failure is reported from the loop */
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    cw_upstream_connection_t *connection = connect->data;
    int                       fd;
    int                       user_timeout_ms = (int)(connection->target->upstream->options.unacknowledged / 1000);

    if (connection->closing || connection->call == NULL) {
        return;
    }
    if (status != 0) {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_NOT_SENT, "connection refused", true);
        return;
    }
    connection->connected = true;
    connection->opened_at = now_us(connection->target->upstream);
    uv_tcp_nodelay(&connection->tcp, 1);
    if (user_timeout_ms > 0 && uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0) {
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
    }
    uv_read_start((uv_stream_t *)&connection->tcp, cw_upstream_on_allocate, cw_upstream_on_read);
    if (connection->call->due_us > 0) {
        arm_timer(connection, connection->call->due_us);
    } else {
        uv_timer_stop(&connection->timer);
    }
    if (connection->call->may_be_sent != NULL && !connection->call->may_be_sent(connection->call->context)) {
        cw_upstream_end_call(connection->call, CW_UPSTREAM_WITHDRAWN, "not wanted any more", false);
        return;
    }
    send_request(connection);
}

static cw_upstream_connection_t *open_connection(cw_upstream_target_t *target)
{
    cw_upstream_connection_t *connection = cw_memory_zeroed(sizeof(*connection));

    connection->target = target;
    connection->tcp.data = connection;
    connection->timer.data = connection;
    connection->connect.data = connection;
    connection->handles = 2;
    target->connections++;
    connection->number = ++target->upstream->opened;
    uv_tcp_init(target->upstream->loop, &connection->tcp);
    uv_timer_init(target->upstream->loop, &connection->timer);
    return connection;
}

static void begin_on_idle(uv_timer_t *timer)
{
    cw_upstream_connection_t *connection = timer->data;

    if (connection->call->due_us > 0) {
        arm_timer(connection, connection->call->due_us);
    }
    send_request(connection);
}

/* True if the peer has closed the connection or sent unexpected bytes since the loop last polled it. */
static bool is_unusable(const cw_upstream_connection_t *connection)
{
    int  fd;
    char byte;

    if (uv_fileno((const uv_handle_t *)&connection->tcp, &fd) != 0) {
        return true;
    }
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* True if the connection cannot carry this request: it has failed, or it has carried one of the same name. The latter
 * is closed rather than left idle, so that requests of one name cannot pile up connections. */
static bool is_spent(const cw_upstream_connection_t *connection, const cw_upstream_request_t *request)
{
    bool has_carried_name = request->match_value != NULL && has_carried(connection, request->match_value);

    return has_carried_name || is_unusable(connection);
}

static cw_upstream_connection_t *take_idle(cw_upstream_target_t *target, const cw_upstream_request_t *request)
{
    cw_upstream_connection_t *connection;
    cw_upstream_connection_t *next;

    DL_FOREACH_SAFE(target->idle, connection, next)
    {
        if (request->opened_by != 0 && connection->opened_at > request->opened_by) {
            continue;
        }
        remove_from_pool(connection);
        if (!is_spent(connection, request)) {
            return connection;
        }
        cw_upstream_close_connection(connection, false);
    }
    return NULL;
}

static void start_connect(cw_upstream_connection_t *connection, cw_time_us_t timeout)
{
    cw_time_us_t now = now_us(connection->target->upstream);
    cw_time_us_t due = now + timeout;

    if (connection->call->due_us > 0 && connection->call->due_us < due) {
        due = connection->call->due_us;
    }
    arm_timer(connection, due);
    if (uv_tcp_connect(&connection->connect, &connection->tcp,
                       (const struct sockaddr *)&connection->target->socket_address, on_connected) != 0) {
        arm_timer(connection, now); /* the failure is reported from the loop */
    }
}

cw_upstream_call_t *cw_upstream_call(cw_upstream_target_t *target, const cw_upstream_request_t *request,
                                     cw_upstream_answered_t answered, void *context)
{
    bool                      is_alone = request->is_match_required && request->match_value == NULL;
    cw_upstream_connection_t *connection = request->uses_new_connection || is_alone ? NULL : take_idle(target, request);
    cw_upstream_call_t       *call;

    if (connection == NULL && request->opened_by != 0) {
        return NULL;
    }
    call = calloc(1, sizeof(*call));
    if (call == NULL || (call->bytes = malloc(request->length + 1)) == NULL) {
        abort();
    }
    memcpy(call->bytes, request->bytes, request->length);
    call->length = request->length;
    call->tail = request->body;
    call->tail_length = request->body_length;
    call->answered = answered;
    call->context = context;
    call->may_be_sent = request->may_be_sent;
    call->may_be_kept = request->may_be_kept;
    call->is_head = request->is_head;
    call->match_name = request->match_name == NULL ? NULL : strdup(request->match_name);
    call->match_value = request->match_value == NULL ? NULL : strdup(request->match_value);
    call->is_match_required = request->is_match_required;
    call->answer_max = request->answer_max;
    call->stated_length = CW_UPSTREAM_UNSTATED;
    call->progress_us = request->progress;
    call->due_us = request->timeout > 0 ? now_us(target->upstream) + request->timeout : 0;
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    if (connection != NULL) {
        call->connection = connection;
        call->reused = true;
        connection->call = call;
        if (uv_is_active((uv_handle_t *)&connection->timer)) {
            uv_timer_stop(&connection->timer);
        }
        begin_on_idle(&connection->timer);
        return call;
    }
    connection = open_connection(target);
    call->connection = connection;
    connection->call = call;
    start_connect(connection, request->connect_timeout);
    return call;
}

/* ---- targets ---- */

cw_upstream_target_t *cw_upstream_target_create(cw_upstream_t *upstream, const char *address)
{
    cw_upstream_target_t *target;
    struct sockaddr_in    socket_address;

    if (!cw_ipv4_endpoint_read(address, &socket_address)) {
        return NULL;
    }
    target = cw_memory_zeroed(sizeof(*target));
    target->upstream = upstream;
    target->socket_address = socket_address;
    DL_APPEND(upstream->targets, target);
    return target;
}

void cw_upstream_target_release(cw_upstream_target_t *target)
{
    cw_upstream_connection_t *connection;
    cw_upstream_connection_t *next;

    target->released = true;
    DL_FOREACH_SAFE(target->idle, connection, next)
    {
        cw_upstream_close_connection(connection, false);
    }
    free_if_unused(target);
}

size_t cw_upstream_target_idle(const cw_upstream_target_t *target)
{
    return target->idle_count;
}

cw_upstream_t *cw_upstream_create(uv_loop_t *loop, const cw_upstream_options_t *options)
{
    cw_upstream_t *upstream = cw_memory_zeroed(sizeof(*upstream));

    upstream->loop = loop;
    upstream->options = *options;
    return upstream;
}

void cw_upstream_free(cw_upstream_t *upstream)
{
    cw_upstream_target_t *target;
    cw_upstream_target_t *next;

    if (upstream->targets == NULL) {
        free(upstream);
        return;
    }
    upstream->released = true;
    DL_FOREACH_SAFE(upstream->targets, target, next)
    {
        cw_upstream_target_release(target);
    }
}
