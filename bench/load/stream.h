/**
 * @file stream.h
 * @brief A stream of requests: what it asks for, when its requests arrive, and which keys they name. Pure and seeded.
 */
#ifndef CEDARWINCH_BENCH_STREAM_H
#define CEDARWINCH_BENCH_STREAM_H

#include <stddef.h>

#include "cedarwinch/types.h"

typedef struct cw_stream_options {
    char    *tenant;
    char    *service;
    char    *token;
    char    *method;
    char    *path;
    char    *fence; /**< NULL: to gateways; else to back-end servers that hold the keys under this fence */
    double   rate;  /**< requests a second; 0: only those of a trace */
    uint32_t keys;
    double   zipf; /**< exponent; 0: every key alike */
    uint32_t timeout_ms;
    bool     non_repeatable;
    double   repeat; /**< share of requests that an impatient caller sends again under the same id */
} cw_stream_options_t;

/** A share of the requests that goes to one key, which changes every so often. */
typedef struct cw_hot_spot {
    double  share;
    int64_t move_us; /**< 0: stays */
} cw_hot_spot_t;

typedef struct cw_stream cw_stream_t;

/** Reads "tenant=T,service=S,token=X,rate=R,..."; CW_ERROR_PARSE and a text in fault. */
int  cw_stream_options_parse(cw_stream_options_t *options, const char *text, char *fault, size_t fault_size);
void cw_stream_options_clear(cw_stream_options_t *options);

/** Takes over the options. NULL: no memory. */
cw_stream_t *cw_stream_create(const cw_stream_options_t *options, const cw_hot_spot_t *hot, uint64_t seed);
void         cw_stream_free(cw_stream_t *stream);
const cw_stream_options_t *cw_stream_options(const cw_stream_t *stream);

/** Time of the next arrival since the start; INT64_MAX: none. */
int64_t cw_stream_next_us(const cw_stream_t *stream);
/** Takes that arrival: draws its key and the arrival that follows. */
uint32_t cw_stream_take(cw_stream_t *stream);
/** Draws whether a request is repeated. */
bool cw_stream_draws_repeat(cw_stream_t *stream);

#endif
