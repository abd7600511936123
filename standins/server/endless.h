/**
 * @file endless.h
 * @brief Answers each request with bytes without end, until the caller closes the connection. Says on its health path
 *        that it is well.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_ENDLESS_H
#define CEDARWINCH_STANDINS_SERVER_ENDLESS_H

#include <stdint.h>
#include <uv.h>

/** What has no end. */
typedef struct endless_kind {
    const char *name;  /**< interim, head, body, chunks or noise */
    const char *begin; /**< sent once for each request */
    const char *unit;  /**< repeated after it */
} endless_kind_t;

/** A listener. */
typedef struct endless {
    uv_loop_t            *loop;
    uv_tcp_t              listener;
    const endless_kind_t *kind;
    const char           *instance; /**< id of the server, for its health path */
    void                 *context;
    void (*on_begin)(void *context, const char *id); /**< a request has arrived; id: empty if it has none */
    void (*on_end)(void *context, const char *id, uint64_t bytes); /**< its caller has closed; bytes that were sent */
} endless_t;

/** The kind of this name; NULL: there is none. */
const endless_kind_t *endless_kind(const char *name);
/** Listens; the fields from kind on are set. Returns a negative error of libuv, or 0. port: set to the one in use. */
int endless_start(endless_t *endless, uv_loop_t *loop, const char *address, uint16_t *port);

#endif
