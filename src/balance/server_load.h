/**
 * @file server_load.h
 * @brief Load sample that a server sends with an answer.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_LOAD_H
#define CEDARWINCH_BALANCE_SERVER_LOAD_H

#include <stdint.h>

/** Load of a server at the time of an answer, caused by the requests of all nodes together. */
typedef struct cw_server_load {
    uint32_t running;      /**< requests that are being processed */
    uint32_t waiting;      /**< requests in its own queue */
    uint32_t slots;        /**< requests that it can process at once */
    uint32_t work_percent; /**< present processing time in percent of the normal one; 0: not reported */
} cw_server_load_t;

#endif
