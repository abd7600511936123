/**
 * @file answer_bounds.h
 * @brief Bounds on what a server may send for one answer besides its body.
 *
 * http_parser bounds each block of a head, of trailers or of a chunk's size to 80 KB (HTTP_MAX_HEADER_SIZE), but not
 * how many of them follow one another: interim answers (RFC 9110, 15.2), answers to other requests, which are
 * discarded, and chunks with long extensions. Rules:
 *  - At most CW_ANSWER_INTERIM_MAX interim answers and CW_ANSWER_FOREIGN_MAX answers to other requests come first.
 *  - Bytes outside the body (interim answers, head, framing of chunks, trailers) are at most
 * CW_ANSWER_OUTSIDE_BYTES_MAX, and CW_ANSWER_OUTSIDE_PER_BYTE more for each byte of the body.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_NET_ANSWER_BOUNDS_H
#define CEDARWINCH_NET_ANSWER_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CW_ANSWER_INTERIM_MAX = 32, /**< 102 is sent every few seconds, 103 a few times */
    CW_ANSWER_FOREIGN_MAX = 4,
    CW_ANSWER_OUTSIDE_BYTES_MAX = 160 * 1024, /**< the longest head, and as much before it */
    CW_ANSWER_OUTSIDE_PER_BYTE = 8            /**< a chunk of one byte has five bytes of framing */
};

/** What has come for one answer. All zeros: nothing. */
typedef struct cw_answer_bounds {
    uint32_t interim; /**< interim answers */
    uint32_t foreign; /**< answers to other requests */
    size_t   bytes;   /**< all bytes since the last answer to another request */
    size_t   body;    /**< of them, bytes of the body */
} cw_answer_bounds_t;

/** Records that an answer to another request is discarded: the bytes after it count from zero. */
void cw_answer_bounds_record_foreign(cw_answer_bounds_t *bounds);
/** Describes the bound that is exceeded; NULL: none. */
const char *cw_answer_bounds_exceeded(const cw_answer_bounds_t *bounds);

#endif
