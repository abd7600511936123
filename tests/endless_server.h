/**
 * @file endless_server.h
 * @brief Test fixture: a server that sends fixed bytes for each request, and then others without end until its caller
 * closes the connection.
 */
#ifndef CEDARWINCH_TESTS_ENDLESS_SERVER_H
#define CEDARWINCH_TESTS_ENDLESS_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** A server on one loop with its callers. The texts may be changed between requests. */
typedef struct endless_server {
    uv_loop_t  *loop;
    uv_tcp_t    listener;
    char        address[32];
    const char *begin;    /**< sent once for each request */
    const char *unit;     /**< repeated after it without end; NULL: nothing follows */
    bool        closes;   /**< closes the connection after `begin` */
    uint32_t    requests; /**< reads that brought bytes of requests */
    uint32_t    open;     /**< connections that are open now */
    uint64_t    sent;     /**< bytes that the kernel has taken */
} endless_server_t;

/** Starts a server on a port of its own. It ends with the test's process. */
void endless_server_start(endless_server_t *server, uv_loop_t *loop, const char *begin, const char *unit);

#endif
