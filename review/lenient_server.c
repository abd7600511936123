/**
 * @file lenient_server.c
 * @brief Stand-in of a server without keys, as the users' pages describe one. It reads requests with the library that
 *        the router itself uses (http_parser), and obeys RFC 9112, 6.3: if a request has both Transfer-Encoding and
 *        Content-Length, Transfer-Encoding overrides Content-Length.
 *
 * Usage: lenient-server ADDRESS ID. Prints "port N" first, then one line for each request that it runs:
 * "run ID METHOD TARGET BODY-BYTES MS", with the machine's monotonic time in milliseconds. It serves one connection a
 * thread, and one request at a time on a connection.
 */
#include <arpa/inet.h>
#include <http_parser.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
    TEXT_BYTES = 256,
    ANSWER_BYTES = 1024,
    CHUNK_BYTES = 16 * 1024,
    BACKLOG = 64,
    WORK_US = 110000, /* as the unlocks of the small deployment take */
    MS_PER_S = 1000,
    NS_PER_MS = 1000000
};

/** One connection, and the request that is being read. */
typedef struct connection {
    int         socket;
    http_parser parser;
    char        target[TEXT_BYTES];
    char        name[TEXT_BYTES];
    char        id[TEXT_BYTES];     /**< X-Request-Id; empty: none */
    char        wanted[TEXT_BYTES]; /**< X-Target-Instance; empty: none */
    bool        in_value;
    size_t      body_bytes;
} connection_t;

static const char *own_id;

static connection_t *connection_of(const http_parser *parser)
{
    return parser->data;
}

static void append(char *text, const char *bytes, size_t length)
{
    size_t before = strlen(text);
    size_t room = TEXT_BYTES - 1 - before;

    length = length < room ? length : room;
    memcpy(text + before, bytes, length);
    text[before + length] = '\0';
}

/* ---- reading ---- */

static int on_begin(http_parser *parser)
{
    connection_t *connection = connection_of(parser);

    connection->target[0] = '\0';
    connection->name[0] = '\0';
    connection->id[0] = '\0';
    connection->wanted[0] = '\0';
    connection->in_value = false;
    connection->body_bytes = 0;
    return 0;
}

static int on_target(http_parser *parser, const char *bytes, size_t length)
{
    append(connection_of(parser)->target, bytes, length);
    return 0;
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
    connection_t *connection = connection_of(parser);

    if (connection->in_value) {
        connection->name[0] = '\0';
        connection->in_value = false;
    }
    append(connection->name, bytes, length);
    return 0;
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
    connection_t *connection = connection_of(parser);

    connection->in_value = true;
    if (strcasecmp(connection->name, "X-Request-Id") == 0) {
        append(connection->id, bytes, length);
    } else if (strcasecmp(connection->name, "X-Target-Instance") == 0) {
        append(connection->wanted, bytes, length);
    }
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
    (void)bytes;
    connection_of(parser)->body_bytes += length;
    return 0;
}

/* ---- answers ---- */

static int answer(const connection_t *connection, const char *status, const char *fields, const char *body)
{
    char text[ANSWER_BYTES];
    int  length = snprintf(text, sizeof(text), "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
                           status, own_id, fields, strlen(body), body);

    return send(connection->socket, text, (size_t)length, MSG_NOSIGNAL) == length ? 0 : -1;
}

static long long monotonic_ms(void)
{
    struct timespec now = {0};

    (void)clock_gettime(CLOCK_MONOTONIC, &now); /* fails for unknown clocks only */
    return (long long)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static int on_message(http_parser *parser)
{
    const connection_t *connection = connection_of(parser);
    char                fields[ANSWER_BYTES / 2];

    if (strcmp(connection->target, "/health") == 0) {
        return answer(connection, "200 OK", "", "");
    }
    if (connection->id[0] == '\0') {
        return answer(connection, "400 Bad Request", "X-Not-Executed: 1\r\n", "");
    }
    if (connection->wanted[0] != '\0' && strcmp(connection->wanted, own_id) != 0) {
        snprintf(fields, sizeof(fields), "X-Request-Id: %.80s\r\nX-Not-Executed: 1\r\n", connection->id);
        return answer(connection, "421 Misdirected Request", fields, "");
    }
    printf("run %s %s %s %zu %lld\n", connection->id, http_method_str((enum http_method)parser->method),
           connection->target, connection->body_bytes, monotonic_ms());
    fflush(stdout);
    usleep(WORK_US);
    snprintf(fields, sizeof(fields), "X-Request-Id: %.80s\r\nX-Server-Signature: %.40s.%.80s\r\n", connection->id,
             own_id, connection->id);
    return answer(connection, "200 OK", fields, connection->id);
}

static const http_parser_settings parser_settings = {.on_message_begin = on_begin,
                                                     .on_url = on_target,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message};

/* ---- connections ---- */

static void *serve(void *data)
{
    connection_t *connection = data;
    char          bytes[CHUNK_BYTES];
    ssize_t       length;

    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    connection->parser.allow_chunked_length = 1; /* RFC 9112, 6.3 */
    while ((length = recv(connection->socket, bytes, sizeof(bytes), 0)) > 0) {
        if (http_parser_execute(&connection->parser, &parser_settings, bytes, (size_t)length) != (size_t)length) {
            (void)answer(connection, "400 Bad Request", "X-Not-Executed: 1\r\nConnection: close\r\n", "");
            break;
        }
    }
    close(connection->socket);
    free(connection);
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

static bool serve_in_thread(int socket)
{
    connection_t *connection = calloc(1, sizeof(*connection));
    pthread_t     thread;

    if (connection == NULL) {
        return false;
    }
    connection->socket = socket;
    if (pthread_create(&thread, NULL, serve, connection) != 0) {
        free(connection);
        return false;
    }
    return pthread_detach(thread) == 0;
}

int main(int argument_count, char **arguments)
{
    int listener;
    int socket;

    if (argument_count != 3) {
        fprintf(stderr, "usage: lenient-server ADDRESS ID\n");
        return 2;
    }
    own_id = arguments[2];
    (void)signal(SIGPIPE, SIG_IGN);
    listener = listen_at(arguments[1]);
    while (listener >= 0 && (socket = accept(listener, NULL, NULL)) >= 0) {
        if (!serve_in_thread(socket)) {
            close(socket);
        }
    }
    return EXIT_FAILURE;
}
