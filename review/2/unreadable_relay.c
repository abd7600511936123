/**
 * @file unreadable_relay.c
 * @brief Stand-in of a store that keeps entries whose bytes cannot be read, and ends an answer to a listing at 1 MB.
 *
 * It relays calls to cw-store, which keeps readable text only and counts items. In the store's answers it replaces each
 * MARK by bytes that are no text. A listing that is longer than PAGE_BYTES then ends before the item that would make it
 * longer, and says that there is more.
 *
 * Usage: unreadable-relay ADDRESS STORE-ADDRESS STORE-PORT BYTES. BYTES: how many bytes take the place of a MARK.
 * Prints "port N".
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum { PAGE_BYTES = 1024 * 1024, CHUNK_BYTES = 64 * 1024, LINE_BYTES = 64, BACKLOG = 256, NO_TEXT = 0xff };

static const char         mark[] = "UNREADABLE";
static struct sockaddr_in store;
static size_t             mark_bytes; /* that take the place of a mark */

/** Bytes that were received and are not used yet. */
typedef struct stream {
    int    socket;
    char  *bytes;
    size_t length;
} stream_t;

/** A message: its head with the empty line, and its body. */
typedef struct message {
    const char *bytes;
    size_t      head_length;
    size_t      length;
} message_t;

static void *checked(void *memory)
{
    if (memory == NULL) {
        abort();
    }
    return memory;
}

static bool send_all(int socket, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(socket, bytes, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

static bool receive(stream_t *stream)
{
    ssize_t received;

    stream->bytes = checked(realloc(stream->bytes, stream->length + CHUNK_BYTES));
    received = recv(stream->socket, stream->bytes + stream->length, CHUNK_BYTES, 0);
    stream->length += received > 0 ? (size_t)received : 0;
    return received > 0;
}

/* Value of Content-Length; 0 if the head has none. */
static size_t body_length(const char *head, size_t length)
{
    static const char name[] = "\r\nContent-Length:";
    size_t            index;

    for (index = 0; index + sizeof(name) < length; index++) {
        if (strncasecmp(head + index, name, sizeof(name) - 1) == 0) {
            return strtoul(head + index + sizeof(name) - 1, NULL, 10);
        }
    }
    return 0;
}

/* Receives until a whole message is there. */
static bool receive_message(stream_t *stream, message_t *message)
{
    const char *end;

    while (stream->length == 0 || (end = memmem(stream->bytes, stream->length, "\r\n\r\n", 4)) == NULL) {
        if (!receive(stream)) {
            return false;
        }
    }
    message->head_length = (size_t)(end + 4 - stream->bytes);
    message->length = message->head_length + body_length(stream->bytes, message->head_length);
    while (stream->length < message->length) {
        if (!receive(stream)) {
            return false;
        }
    }
    message->bytes = stream->bytes;
    return true;
}

static void drop_message(stream_t *stream, const message_t *message)
{
    stream->length -= message->length;
    memmove(stream->bytes, stream->bytes + message->length, stream->length);
}

/* Ends a listing before the item that would make it longer than PAGE_BYTES. */
static void end_page(json_t *body)
{
    json_t *items = json_object_get(body, "items");
    size_t  total = 0;
    size_t  index;

    for (index = 0; index < json_array_size(items); index++) {
        char *text = checked(json_dumps(json_array_get(items, index), JSON_COMPACT));

        total += strlen(text) + 1 + (strstr(text, mark) == NULL ? 0 : mark_bytes - strlen(mark));
        free(text);
        if (index > 0 && total > PAGE_BYTES) {
            break;
        }
    }
    if (index < json_array_size(items)) {
        json_object_set_new(body, "has-more", json_true());
        while (json_array_size(items) > index) {
            json_array_remove(items, json_array_size(items) - 1);
        }
    }
}

/* Returns the text with the marks replaced, which is freed by the caller. */
static char *replace_marks(const char *text, size_t *length)
{
    const char *end = text + strlen(text);
    char       *replaced = NULL;
    const char *found;

    *length = 0;
    while ((found = strstr(text, mark)) != NULL) {
        replaced = checked(realloc(replaced, *length + (size_t)(found - text) + mark_bytes));
        memcpy(replaced + *length, text, (size_t)(found - text));
        *length += (size_t)(found - text);
        memset(replaced + *length, NO_TEXT, mark_bytes);
        *length += mark_bytes;
        text = found + strlen(mark);
    }
    replaced = checked(realloc(replaced, *length + (size_t)(end - text) + 1));
    memcpy(replaced + *length, text, (size_t)(end - text));
    *length += (size_t)(end - text);
    return replaced;
}

static bool send_head(int socket, const message_t *answer, size_t length)
{
    const char *line = answer->bytes;
    const char *end = answer->bytes + answer->head_length - 2;
    char        text[LINE_BYTES];

    while (line < end) {
        const char *next = (const char *)memchr(line, '\n', (size_t)(end - line)) + 1;

        if (strncasecmp(line, "Content-Length:", strlen("Content-Length:")) != 0 &&
            !send_all(socket, line, (size_t)(next - line))) {
            return false;
        }
        line = next;
    }
    snprintf(text, sizeof(text), "Content-Length: %zu\r\n\r\n", length);
    return send_all(socket, text, strlen(text));
}

/* Sends an answer of the store, changed if it has marks. */
static bool send_answer(int socket, const message_t *answer)
{
    const char *content = answer->bytes + answer->head_length;
    size_t      length = answer->length - answer->head_length;
    json_t     *body = length == 0 || memmem(content, length, mark, strlen(mark)) == NULL
                           ? NULL
                           : json_loadb(content, length, 0, NULL);
    char       *text;
    char       *replaced;
    bool        is_sent;

    if (body == NULL) {
        return send_all(socket, answer->bytes, answer->length);
    }
    end_page(body);
    text = checked(json_dumps(body, JSON_COMPACT));
    replaced = replace_marks(text, &length);
    is_sent = send_head(socket, answer, length) && send_all(socket, replaced, length);
    free(replaced);
    free(text);
    json_decref(body);
    return is_sent;
}

static void relay(stream_t *caller, stream_t *upstream)
{
    message_t call;
    message_t answer;

    while (receive_message(caller, &call) && send_all(upstream->socket, call.bytes, call.length)) {
        drop_message(caller, &call);
        if (!receive_message(upstream, &answer) || !send_answer(caller->socket, &answer)) {
            return;
        }
        drop_message(upstream, &answer);
    }
}

static void *serve(void *data)
{
    stream_t caller = {.socket = *(int *)data};
    stream_t upstream = {.socket = socket(AF_INET, SOCK_STREAM, 0)};
    int      on = 1;

    free(data);
    (void)setsockopt(caller.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (upstream.socket >= 0 && connect(upstream.socket, (const struct sockaddr *)&store, sizeof(store)) == 0 &&
        setsockopt(upstream.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0) {
        relay(&caller, &upstream);
    }
    if (upstream.socket >= 0) {
        close(upstream.socket);
    }
    close(caller.socket);
    free(caller.bytes);
    free(upstream.bytes);
    return NULL;
}

static int listen_at(const char *address)
{
    struct sockaddr_in place = {.sin_family = AF_INET};
    socklen_t          size = sizeof(place);
    int                listener = socket(AF_INET, SOCK_STREAM, 0);

    if (listener < 0 || inet_pton(AF_INET, address, &place.sin_addr) != 1 ||
        bind(listener, (const struct sockaddr *)&place, sizeof(place)) != 0 || listen(listener, BACKLOG) != 0 ||
        getsockname(listener, (struct sockaddr *)&place, &size) != 0) {
        return -1;
    }
    printf("port %u\n", ntohs(place.sin_port));
    fflush(stdout);
    return listener;
}

static bool serve_in_thread(int caller)
{
    int      *data = checked(malloc(sizeof(*data)));
    pthread_t thread;

    *data = caller;
    if (pthread_create(&thread, NULL, serve, data) != 0) {
        free(data);
        return false;
    }
    return pthread_detach(thread) == 0;
}

int main(int argument_count, char **arguments)
{
    int listener;
    int caller;

    if (argument_count != 5) {
        fprintf(stderr, "usage: unreadable-relay ADDRESS STORE-ADDRESS STORE-PORT BYTES\n");
        return 2;
    }
    store.sin_family = AF_INET;
    store.sin_port = htons((uint16_t)strtoul(arguments[3], NULL, 10));
    mark_bytes = strtoul(arguments[4], NULL, 10);
    if (inet_pton(AF_INET, arguments[2], &store.sin_addr) != 1 || mark_bytes < strlen(mark)) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    listener = listen_at(arguments[1]);
    while (listener >= 0 && (caller = accept(listener, NULL, NULL)) >= 0) {
        if (!serve_in_thread(caller)) {
            close(caller);
        }
    }
    return EXIT_FAILURE;
}
