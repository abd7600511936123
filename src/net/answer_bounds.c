/**
 * @file answer_bounds.c
 * @brief Bounds on the bytes of an answer outside its body.
 */
#include "net/answer_bounds.h"

void cw_answer_bounds_record_foreign(cw_answer_bounds_t *bounds)
{
    bounds->foreign++;
    bounds->bytes = 0;
    bounds->body = 0;
}

const char *cw_answer_bounds_exceeded(const cw_answer_bounds_t *bounds)
{
    size_t outside = bounds->bytes > bounds->body ? bounds->bytes - bounds->body : 0;

    if (bounds->interim > CW_ANSWER_INTERIM_MAX) {
        return "too many interim answers";
    }
    if (bounds->foreign > CW_ANSWER_FOREIGN_MAX) {
        return "too many answers to other requests";
    }
    if (outside > CW_ANSWER_OUTSIDE_BYTES_MAX + CW_ANSWER_OUTSIDE_PER_BYTE * bounds->body) {
        return "too many bytes outside the body";
    }
    return NULL;
}
