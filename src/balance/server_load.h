/**
 * @file server_load.h
 * @brief What a server tells of its own load with an answer.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_LOAD_H
#define CEDARWINCH_BALANCE_SERVER_LOAD_H

#include <stdint.h>

/** State of a server at the moment of an answer, from all nodes' requests together. */
typedef struct cw_server_load {
    uint32_t running;      /**< requests it works on */
    uint32_t waiting;      /**< requests in its own queue */
    uint32_t slots;        /**< requests it can work on at once */
    uint32_t work_percent; /**< how long work takes there now; 100: as usual; 0: not told */
} cw_server_load_t;

#endif
