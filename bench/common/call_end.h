/**
 * @file call_end.h
 * @brief How a caller's request ended, with the words that records use.
 */
#ifndef CEDARWINCH_BENCH_CALL_END_H
#define CEDARWINCH_BENCH_CALL_END_H

#include <stdbool.h>
#include <stddef.h>

typedef enum cw_call_end {
    CW_CALL_ANSWERED, /**< the four outcomes that the gateway names */
    CW_CALL_NOT_RUN,
    CW_CALL_UNKNOWN,
    CW_CALL_IN_PROGRESS,
    CW_CALL_NOT_SENT,  /**< no connection to the gateway */
    CW_CALL_LOST,      /**< connection broke, or the answer was cut short */
    CW_CALL_TIMED_OUT, /**< the tool gave up waiting */
    CW_CALL_OTHER,     /**< an answer without an outcome */
    CW_CALL_END_COUNT
} cw_call_end_t;

const char *cw_call_end_text(cw_call_end_t end);
bool        cw_call_end_parse(const char *text, size_t length, cw_call_end_t *end);

#endif
