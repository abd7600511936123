/**
 * @file answer_faults.c
 * @brief Forwards bytes between callers and the server's own listener, with faults of the answers.
 */
#include "answer_faults.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "base/memory.h"

enum { BACKLOG = 512, CHUNK_BYTES = 64 * 1024, ID_BYTES = 80, HEAD_BYTES = 4096, RANDOM_BITS = 31 };

/** How the end of an answer is told. */
typedef enum framing { FRAMING_LENGTH, FRAMING_CHUNKS, FRAMING_CLOSE, FRAMINGS } framing_t;

/** One side of a forwarded connection. */
typedef struct end {
    uv_tcp_t      tcp;
    uv_connect_t  connect;
    uv_shutdown_t shutdown;
    struct pair  *pair;
    bool          is_open;
} end_t;

/** A caller's connection, and the one to the server that belongs to it. */
typedef struct pair {
    answer_faults_t *faults;
    end_t            caller;
    end_t            server;
    bool             is_connected;
    int              handles;
    cw_bytes_t       request; /**< bytes of the caller that were not passed to the server yet */
    cw_bytes_t       answer;  /**< bytes of an answer that is not whole yet */
    cw_bytes_t       second;  /**< an answer that is to be sent a second time; empty: none */
    answer_fault_t   second_fault;
    char             second_id[ID_BYTES];
} pair_t;

/** A write, with its copy of the bytes. */
typedef struct copied_write {
    uv_write_t write;
    char       bytes[];
} copied_write_t;

static const char *const names[ANSWER_FAULTS] = {"second", "unnamed", "cut", "page", "orders", "deny"};

const char *answer_fault_name(answer_fault_t fault)
{
    return names[fault];
}

/* ---- draws ---- */

static uint64_t draw(answer_faults_t *faults)
{
    faults->random = faults->random * 6364136223846793005u + 1442695040888963407u;
    return faults->random >> (64 - RANDOM_BITS);
}

bool answer_faults_draw(answer_faults_t *faults, answer_fault_t fault)
{
    return (double)draw(faults) < faults->shares[fault] * (double)(1ULL << RANDOM_BITS);
}

static bool read_share(answer_faults_t *faults, const char *part, size_t length)
{
    size_t index;

    for (index = 0; index < ANSWER_FAULTS; index++) {
        size_t name_length = strlen(names[index]);

        if (length > name_length + 1 && strncmp(part, names[index], name_length) == 0 && part[name_length] == '=') {
            faults->shares[index] = atof(part + name_length + 1);
            return faults->shares[index] >= 0 && faults->shares[index] <= 1;
        }
    }
    return false;
}

bool answer_faults_init(answer_faults_t *faults, const char *text, uint64_t seed)
{
    memset(faults, 0, sizeof(*faults));
    faults->random = seed * 2654435761u + 1;
    faults->is_used = text != NULL;
    while (text != NULL && *text != '\0') {
        size_t length = strcspn(text, ",");

        if (!read_share(faults, text, length)) {
            return false;
        }
        text += length + (text[length] == ',' ? 1 : 0);
    }
    return true;
}

/* ---- connections ---- */

static void on_closed(uv_handle_t *handle)
{
    end_t  *end = handle->data;
    pair_t *pair = end->pair;

    if (--pair->handles > 0) {
        return;
    }
    cw_bytes_clear(&pair->request);
    cw_bytes_clear(&pair->answer);
    cw_bytes_clear(&pair->second);
    free(pair);
}

static void close_end(end_t *end, bool with_reset)
{
    if (!end->is_open) {
        return;
    }
    end->is_open = false;
    if (!with_reset || uv_tcp_close_reset(&end->tcp, on_closed) != 0) {
        uv_close((uv_handle_t *)&end->tcp, on_closed);
    }
}

static void on_shut_down(uv_shutdown_t *shutdown, int status)
{
    (void)status;
    close_end(shutdown->data, false);
}

/* Closes the end once what was written has left. */
static void finish_end(end_t *end)
{
    end->shutdown.data = end;
    if (end->is_open && uv_shutdown(&end->shutdown, (uv_stream_t *)&end->tcp, on_shut_down) != 0) {
        close_end(end, false);
    }
}

static void on_written(uv_write_t *write, int status)
{
    end_t *end = write->data;

    free(write);
    if (status != 0) {
        close_end(end, false);
    }
}

static void send_bytes(end_t *end, const char *bytes, size_t length)
{
    copied_write_t *copy;
    uv_buf_t        buffer;

    if (!end->is_open || length == 0) {
        return;
    }
    copy = cw_memory_zeroed(sizeof(*copy) + length);
    memcpy(copy->bytes, bytes, length);
    buffer = uv_buf_init(copy->bytes, (unsigned)length);
    copy->write.data = end;
    if (uv_write(&copy->write, (uv_stream_t *)&end->tcp, &buffer, 1, on_written) != 0) {
        free(copy);
        close_end(end, false);
    }
}

/* ---- answers ---- */

/* Start of a field's value in a head; NULL: there is none. */
static const char *field_in(const char *head, const char *name)
{
    char        line[ID_BYTES];
    const char *field;

    snprintf(line, sizeof(line), "\r\n%s: ", name);
    field = strcasestr(head, line);
    return field == NULL ? NULL : field + strlen(line);
}

/* Copies the head of an answer, its last line included, as text. Returns its length; 0: it is not whole yet. */
static size_t copy_head(const cw_bytes_t *answer, char *head, size_t size)
{
    const char *end = answer->length == 0 ? NULL : memmem(answer->data, answer->length, "\r\n\r\n", 4);
    size_t      length = end == NULL ? 0 : (size_t)(end - answer->data) + 4;

    if (length >= size) {
        abort(); /* heads of this stand-in are short */
    }
    memcpy(head, answer->data == NULL ? "" : answer->data, length);
    head[length] = '\0';
    return length;
}

static void copy_id(const char *head, char *id)
{
    const char *value = field_in(head, "X-Request-Id");

    snprintf(id, ID_BYTES, "%.*s", value == NULL ? 0 : (int)strcspn(value, "\r\n"), value == NULL ? "" : value);
}

/* Appends a head without the line of this field. */
static void append_without(cw_bytes_t *out, const char *head, const char *name)
{
    const char *value = field_in(head, name);
    const char *line = value == NULL ? NULL : value - strlen(name) - 2;

    if (line == NULL) {
        cw_bytes_append_text(out, head);
        return;
    }
    cw_bytes_append(out, head, (size_t)(line - head));
    cw_bytes_append_text(out, value + strcspn(value, "\r") + 2);
}

/* Appends the answer with its end told in this way. */
static void append_framed(cw_bytes_t *out, const char *head, const char *body, size_t length, framing_t framing)
{
    cw_bytes_t rest = {0};

    if (framing == FRAMING_LENGTH) {
        cw_bytes_append_text(out, head);
        cw_bytes_append(out, body, length);
        return;
    }
    append_without(&rest, head, "Content-Length");
    cw_bytes_append(out, rest.data, rest.length - 2);
    cw_bytes_clear(&rest);
    if (framing == FRAMING_CLOSE) {
        cw_bytes_append_text(out, "Connection: close\r\n\r\n");
        cw_bytes_append(out, body, length);
        return;
    }
    cw_bytes_append_text(out, "Transfer-Encoding: chunked\r\n\r\n");
    if (length > 0) {
        cw_bytes_append_format(out, "%zx\r\n", length);
        cw_bytes_append(out, body, length);
        cw_bytes_append_text(out, "\r\n");
    }
    cw_bytes_append_text(out, "0\r\n\r\n");
}

static void report(const pair_t *pair, answer_fault_t fault, const char *id)
{
    pair->faults->on_fault(pair->faults->context, fault, id);
}

static void send_second(pair_t *pair)
{
    if (pair->second.length > 0) {
        report(pair, pair->second_fault, pair->second_id);
        send_bytes(&pair->caller, pair->second.data, pair->second.length);
        cw_bytes_clear(&pair->second);
    }
}

static void draw_second(pair_t *pair, const char *head, const char *body, size_t length)
{
    bool is_named = answer_faults_draw(pair->faults, ANSWER_FAULT_SECOND);

    if (!is_named && !answer_faults_draw(pair->faults, ANSWER_FAULT_UNNAMED)) {
        return;
    }
    pair->second_fault = is_named ? ANSWER_FAULT_SECOND : ANSWER_FAULT_UNNAMED;
    copy_id(head, pair->second_id);
    cw_bytes_clear(&pair->second);
    if (is_named) {
        cw_bytes_append_text(&pair->second, head);
    } else {
        append_without(&pair->second, head, "X-Request-Id");
    }
    cw_bytes_append(&pair->second, body, length);
}

static void cut_off(pair_t *pair, const cw_bytes_t *framed, framing_t framing)
{
    size_t kept = (size_t)draw(pair->faults) % framed->length;
    bool   with_reset = framing == FRAMING_CLOSE || draw(pair->faults) % 2 == 0;

    send_bytes(&pair->caller, framed->data, kept);
    if (with_reset) {
        close_end(&pair->caller, true);
    } else {
        finish_end(&pair->caller);
    }
    close_end(&pair->server, false);
}

/* Forwards one whole answer of the server. */
static void forward(pair_t *pair, const char *head, const char *body, size_t length)
{
    framing_t  framing = draw(pair->faults) % FRAMINGS;
    bool       is_cut = answer_faults_draw(pair->faults, ANSWER_FAULT_CUT);
    cw_bytes_t framed = {0};
    char       id[ID_BYTES];

    copy_id(head, id);
    if (!is_cut && framing == FRAMING_CLOSE) { /* connections are kept as a rule */
        framing = FRAMING_LENGTH;
    }
    append_framed(&framed, head, body, length, framing);
    if (is_cut) {
        report(pair, ANSWER_FAULT_CUT, id);
        cut_off(pair, &framed, framing);
    } else {
        send_bytes(&pair->caller, framed.data, framed.length);
        draw_second(pair, head, body, length);
    }
    cw_bytes_clear(&framed);
}

/* Forwards the next whole answer, if there is one. */
static bool forward_next(pair_t *pair)
{
    char        head[HEAD_BYTES];
    size_t      head_length = copy_head(&pair->answer, head, sizeof(head));
    const char *stated = field_in(head, "Content-Length");
    size_t      length = stated == NULL ? 0 : strtoul(stated, NULL, 10);

    if (head_length == 0 || pair->answer.length < head_length + length) {
        return false;
    }
    forward(pair, head, pair->answer.data + head_length, length);
    cw_bytes_consume(&pair->answer, head_length + length);
    return pair->caller.is_open;
}

/* ---- bytes ---- */

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char chunk[CHUNK_BYTES];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(chunk, sizeof(chunk));
}

static void on_answer_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    pair_t *pair = ((end_t *)stream->data)->pair;

    if (length < 0) {
        close_end(&pair->server, false);
        finish_end(&pair->caller);
        return;
    }
    cw_bytes_append(&pair->answer, buffer->base, (size_t)length);
    while (forward_next(pair)) {
    }
}

/* Sends the page of another program, which a server's framework may have given the request's id. */
static void send_page(pair_t *pair, answer_fault_t fault, const char *head)
{
    static const char *const status_lines[] = {"200 OK",    "200 OK",   "200 OK", "201 Created", "404 Not Found",
                                               "500 Error", "503 Busy", "000 ",   "600 ",        "999 "};
    static const char        text[] = "<html><body>It works!</body></html>";
    size_t                   count = sizeof(status_lines) / sizeof(status_lines[0]);
    bool                     is_named = draw(pair->faults) % 2 == 0;
    cw_bytes_t               page = {0};
    char                     id[ID_BYTES];

    copy_id(head, id);
    report(pair, fault, id);
    cw_bytes_append_format(&page, "HTTP/1.1 %s\r\n", status_lines[draw(pair->faults) % count]);
    if (is_named && id[0] != '\0') {
        cw_bytes_append_format(&page, "X-Request-Id: %s\r\n", id);
    }
    cw_bytes_append_format(&page, "Content-Type: text/html\r\nContent-Length: %zu\r\n\r\n%s", strlen(text), text);
    send_bytes(&pair->caller, page.data, page.length);
    cw_bytes_clear(&page);
}

/* Passes the next whole request to the server, or answers it with a page. False: there is none. */
static bool pass_next_request(pair_t *pair)
{
    static const char order_path[] = "POST /api/";
    char              head[HEAD_BYTES];
    size_t            head_length = copy_head(&pair->request, head, sizeof(head));
    const char       *stated = field_in(head, "Content-Length");
    answer_fault_t    fault;
    size_t            length = head_length + (stated == NULL ? 0 : strtoul(stated, NULL, 10));

    if (head_length == 0 || pair->request.length < length) {
        return false;
    }
    fault = strncmp(head, order_path, strlen(order_path)) == 0 ? ANSWER_FAULT_ORDERS : ANSWER_FAULT_PAGE;
    if (answer_faults_draw(pair->faults, fault)) {
        send_page(pair, fault, head);
    } else {
        send_bytes(&pair->server, pair->request.data, length);
        send_second(pair); /* while the server has the request */
    }
    cw_bytes_consume(&pair->request, length);
    return true;
}

static void on_request_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    pair_t *pair = ((end_t *)stream->data)->pair;

    if (length < 0) {
        close_end(&pair->caller, false);
        close_end(&pair->server, false);
        return;
    }
    cw_bytes_append(&pair->request, buffer->base, (size_t)length);
    while (pair->is_connected && pass_next_request(pair)) {
    }
}

static void on_connected(uv_connect_t *connect, int status)
{
    pair_t *pair = ((end_t *)connect->handle->data)->pair;

    if (status != 0 || !pair->server.is_open) {
        close_end(&pair->caller, true);
        close_end(&pair->server, false);
        return;
    }
    pair->is_connected = true;
    uv_read_start((uv_stream_t *)&pair->server.tcp, on_allocate, on_answer_bytes);
    while (pass_next_request(pair)) {
    }
}

static void open_end(pair_t *pair, end_t *end)
{
    end->pair = pair;
    end->is_open = true;
    uv_tcp_init(pair->faults->loop, &end->tcp);
    end->tcp.data = end;
    uv_tcp_nodelay(&end->tcp, 1);
    pair->handles++;
}

static void on_connection(uv_stream_t *stream, int status)
{
    answer_faults_t *faults = stream->data;
    pair_t          *pair = cw_memory_zeroed(sizeof(*pair));

    pair->faults = faults;
    open_end(pair, &pair->caller);
    open_end(pair, &pair->server);
    if (status != 0 || uv_accept(stream, (uv_stream_t *)&pair->caller.tcp) != 0 ||
        uv_tcp_connect(&pair->server.connect, &pair->server.tcp, (const struct sockaddr *)&faults->server,
                       on_connected) != 0) {
        close_end(&pair->caller, false);
        close_end(&pair->server, false);
        return;
    }
    uv_read_start((uv_stream_t *)&pair->caller.tcp, on_allocate, on_request_bytes);
}

int answer_faults_start(answer_faults_t *faults, uv_loop_t *loop, const char *address, uint16_t *port,
                        uint16_t server_port)
{
    struct sockaddr_in bound;
    int                length = sizeof(bound);
    int                error;

    faults->loop = loop;
    uv_tcp_init(loop, &faults->listener);
    faults->listener.data = faults;
    error = uv_ip4_addr(address, server_port, &faults->server);
    if (error == 0) {
        error = uv_ip4_addr(address, *port, &bound);
    }
    if (error == 0) {
        error = uv_tcp_bind(&faults->listener, (const struct sockaddr *)&bound, 0);
    }
    if (error == 0) {
        error = uv_listen((uv_stream_t *)&faults->listener, BACKLOG, on_connection);
    }
    if (error == 0) {
        error = uv_tcp_getsockname(&faults->listener, (struct sockaddr *)&bound, &length);
    }
    *port = error == 0 ? ntohs(bound.sin_port) : 0;
    return error;
}
