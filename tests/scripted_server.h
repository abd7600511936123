/**
 * @file scripted_server.h
 * @brief A server for tests that sends exactly the bytes that the test gives, and ends connections as the test says.
 * Requests have no body, and each names its id in the field "id".
 */
#ifndef CEDARWINCH_TESTS_SCRIPTED_SERVER_H
#define CEDARWINCH_TESTS_SCRIPTED_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Longest head of a request, and longest id, in bytes. */
enum { SCRIPTED_HEAD_BYTES = 4096, SCRIPTED_ID_BYTES = 64 };

typedef struct scripted_server     scripted_server_t;
typedef struct scripted_connection scripted_connection_t;

/** Called for each request. The connection stays valid until it has ended. */
typedef void (*scripted_request_t)(void *context, scripted_connection_t *connection);

/** One connection, and its latest request. */
struct scripted_connection {
    uv_tcp_t           tcp; /* first member: libuv's callbacks get this pointer */
    scripted_server_t *server;
    char               head[SCRIPTED_HEAD_BYTES];
    size_t             head_length;
    char               id[SCRIPTED_ID_BYTES];
    uint32_t           number;   /**< counted from 1 */
    uint32_t           requests; /**< requests received on it */
};

/** The server. */
struct scripted_server {
    uv_loop_t         *loop;
    uv_tcp_t           listener;
    char               address[32];
    uint32_t           connections;
    uint32_t           requests;
    scripted_request_t on_request;
    void              *context;
};

/** Listens on a free port; sets `address`. */
void scripted_server_start(scripted_server_t *server, uv_loop_t *loop, scripted_request_t on_request, void *context);
/** Sends these bytes. */
void scripted_send(scripted_connection_t *connection, const char *bytes, size_t length);
/** Sends an answer whose head consists of this status line, the id (NULL: none) and a further field line (NULL: none),
 * with a length and this body. */
void scripted_answer(scripted_connection_t *connection, int status, const char *id, const char *field,
                     const char *body);
/** Ends the connection, with a close or with a reset. */
void scripted_end(scripted_connection_t *connection, bool with_reset);

#endif
