/**
 * @file relay.h
 * @brief TCP relay whose connections can be cut, held in one direction, or delayed, to test what networks do.
 */
#ifndef CEDARWINCH_BENCH_RELAY_H
#define CEDARWINCH_BENCH_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Direction of bytes; the source is who connected to the relay. */
typedef enum cw_direction { CW_TO_TARGET, CW_TO_SOURCE, CW_DIRECTION_COUNT } cw_direction_t;

/** What the relay does to all its connections, present and future. */
typedef struct cw_relay_condition {
    bool     held[CW_DIRECTION_COUNT]; /**< bytes wait and flow on when no longer held, as TCP would send them again */
    uint32_t delay_ms;                 /**< of each piece, in both directions */
    bool     refuse;                   /**< connections are closed at once */
} cw_relay_condition_t;

typedef struct cw_relay_statistics {
    uint64_t accepted;
    uint64_t open;
    uint64_t bytes[CW_DIRECTION_COUNT]; /**< passed on */
} cw_relay_statistics_t;

typedef struct cw_tcp_relay cw_tcp_relay_t;

int      cw_tcp_relay_create(cw_tcp_relay_t **relay, uv_loop_t *loop, const struct sockaddr_in *listen,
                             const struct sockaddr_in *target);
uint16_t cw_tcp_relay_port(const cw_tcp_relay_t *relay);
void     cw_tcp_relay_set_condition(cw_tcp_relay_t *relay, const cw_relay_condition_t *condition);
/** Closes all present connections. */
void                         cw_tcp_relay_reset(cw_tcp_relay_t *relay);
const cw_relay_statistics_t *cw_tcp_relay_statistics(const cw_tcp_relay_t *relay);

#endif
