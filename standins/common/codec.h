/**
 * @file codec.h
 * @brief Text forms of numbers in the stand-ins' dialects (see standins/DIALECT.md).
 */
#ifndef CEDARWINCH_STANDINS_CODEC_H
#define CEDARWINCH_STANDINS_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include "cedarwinch/types.h"

enum {
    CW_HEX_TEXT = 17,  /**< 16 hexadecimal digits and NUL */
    CW_FENCE_TEXT = 42 /**< two decimal 64-bit numbers, a dot and NUL */
};

void cw_hex_format(uint64_t value, char text[CW_HEX_TEXT]);
bool cw_hex_parse(const char *text, uint64_t *value); /**< NULL or anything but 1 to 16 digits: false */
void cw_fence_format(cw_fence_t fence, char text[CW_FENCE_TEXT]);
bool cw_fence_parse(const char *text, cw_fence_t *fence);
/** CLOCK_MONOTONIC of the machine. */
int64_t cw_real_us(void);

#endif
