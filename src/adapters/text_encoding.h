/**
 * @file text_encoding.h
 * @brief Text forms shared by the outgoing dialects: percent-encoding, hexadecimal ids, fences.
 */
#ifndef CEDARWINCH_TEXT_ENCODING_H
#define CEDARWINCH_TEXT_ENCODING_H

#include "cedarwinch/types.h"

enum {
    CW_HEX_TEXT_BYTES = 17,  /**< 16 digits and a NUL */
    CW_FENCE_TEXT_BYTES = 42 /**< two decimal numbers, a dot and a NUL */
};

/** Percent-encodes all but unreserved characters (RFC 3986) and those in `also_plain`. target needs room for
 *  3 * length + 1 bytes; returns the length written. */
size_t cw_percent_encode(char *target, const char *text, size_t length, const char *also_plain);

void cw_hex_write(char text[CW_HEX_TEXT_BYTES], uint64_t value);
bool cw_hex_read(const char *text, uint64_t *value);

void cw_fence_write(char text[CW_FENCE_TEXT_BYTES], cw_fence_t fence);
bool cw_fence_read(const char *text, cw_fence_t *fence);

/** A decimal number that fills the whole text. */
bool cw_decimal_read(const char *text, uint64_t *value);

#endif
