/**
 * @file stream.c
 * @brief Arrivals and keys of a stream of requests.
 */
#include "stream.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

enum { DEFAULT_KEYS = 1000, DEFAULT_TIMEOUT_MS = 2000, KEYS_MAX = 10000000 };

struct cw_stream {
    cw_stream_options_t options;
    cw_hot_spot_t       hot;
    uint64_t            seed;
    uint64_t            random_state;
    double             *cumulative; /**< share of the keys up to each, in order of falling share */
    int64_t             next_us;
};

typedef enum field_kind { FIELD_TEXT, FIELD_NUMBER, FIELD_COUNT, FIELD_FLAG } field_kind_t;

typedef struct field {
    const char  *name;
    field_kind_t kind;
    size_t       offset;
} field_t;

static const field_t fields[] = {
    {"tenant", FIELD_TEXT, offsetof(cw_stream_options_t, tenant)},
    {"service", FIELD_TEXT, offsetof(cw_stream_options_t, service)},
    {"token", FIELD_TEXT, offsetof(cw_stream_options_t, token)},
    {"method", FIELD_TEXT, offsetof(cw_stream_options_t, method)},
    {"path", FIELD_TEXT, offsetof(cw_stream_options_t, path)},
    {"fence", FIELD_TEXT, offsetof(cw_stream_options_t, fence)},
    {"rate", FIELD_NUMBER, offsetof(cw_stream_options_t, rate)},
    {"keys", FIELD_COUNT, offsetof(cw_stream_options_t, keys)},
    {"zipf", FIELD_NUMBER, offsetof(cw_stream_options_t, zipf)},
    {"timeout_ms", FIELD_COUNT, offsetof(cw_stream_options_t, timeout_ms)},
    {"non_repeatable", FIELD_FLAG, offsetof(cw_stream_options_t, non_repeatable)},
    {"repeat", FIELD_NUMBER, offsetof(cw_stream_options_t, repeat)},
};

static bool set_field(cw_stream_options_t *options, const field_t *field, const char *value)
{
    char  *place = (char *)options + field->offset;
    char  *end = NULL;
    double number = strtod(value, &end);
    bool   is_number = end != value && *end == '\0' && number >= 0;

    switch (field->kind) {
    case FIELD_TEXT:
        free(*(char **)place);
        *(char **)place = strdup(value);
        return value[0] != '\0';
    case FIELD_NUMBER:
        *(double *)place = number;
        return is_number;
    case FIELD_COUNT:
        *(uint32_t *)place = is_number && number <= UINT32_MAX ? (uint32_t)number : 0;
        return is_number && number >= 1 && number <= KEYS_MAX;
    default:
        *(bool *)place = is_number && number != 0;
        return is_number;
    }
}

static int set_assignment(cw_stream_options_t *options, char *assignment, char *fault, size_t fault_size)
{
    char  *value = strchr(assignment, '=');
    size_t i;

    if (value != NULL) {
        *value++ = '\0';
    }
    for (i = 0; value != NULL && i < sizeof(fields) / sizeof(fields[0]); i++) {
        if (strcmp(fields[i].name, assignment) != 0) {
            continue;
        }
        if (set_field(options, &fields[i], value)) {
            return CW_OK;
        }
        snprintf(fault, fault_size, "%s: bad value \"%s\"", assignment, value);
        return CW_ERROR_PARSE;
    }
    snprintf(fault, fault_size, "\"%s\" is no field of a stream", assignment);
    return CW_ERROR_PARSE;
}

static int check_options(const cw_stream_options_t *options, char *fault, size_t fault_size)
{
    if (options->tenant == NULL || options->service == NULL || options->token == NULL) {
        snprintf(fault, fault_size, "tenant, service and token are needed");
        return CW_ERROR_PARSE;
    }
    if (options->path[0] != '/' || options->repeat > 1) {
        snprintf(fault, fault_size, "path must begin with '/', repeat must not exceed 1");
        return CW_ERROR_PARSE;
    }
    return CW_OK;
}

int cw_stream_options_parse(cw_stream_options_t *options, const char *text, char *fault, size_t fault_size)
{
    char *copy = strdup(text);
    char *rest = copy;
    char *assignment;
    int   error = copy == NULL ? CW_ERROR_NO_MEMORY : CW_OK;

    *options = (cw_stream_options_t){
        .method = strdup("GET"), .path = strdup("/"), .keys = DEFAULT_KEYS, .timeout_ms = DEFAULT_TIMEOUT_MS};
    while (error == CW_OK && (assignment = strsep(&rest, ",")) != NULL) {
        error = set_assignment(options, assignment, fault, fault_size);
    }
    free(copy);
    if (error == CW_OK) {
        error = check_options(options, fault, fault_size);
    }
    if (error != CW_OK) {
        cw_stream_options_clear(options);
    }
    return error;
}

void cw_stream_options_clear(cw_stream_options_t *options)
{
    free(options->tenant);
    free(options->service);
    free(options->token);
    free(options->method);
    free(options->path);
    free(options->fence);
    *options = (cw_stream_options_t){0};
}

/* Uniform in [0, 1). */
static double draw(cw_stream_t *stream)
{
    return (double)(cw_random_next(&stream->random_state) >> 11) / (double)(1ULL << 53);
}

static void draw_next_arrival(cw_stream_t *stream)
{
    if (stream->options.rate <= 0) {
        stream->next_us = INT64_MAX;
        return;
    }
    stream->next_us += (int64_t)(-log1p(-draw(stream)) / stream->options.rate * CW_US_PER_S);
}

/* Zipf's law: the share of the key of rank r falls as r to the power of -zipf. */
static void fill_shares(cw_stream_t *stream)
{
    double   sum = 0;
    uint32_t key;

    for (key = 0; key < stream->options.keys; key++) {
        sum += pow(key + 1.0, -stream->options.zipf);
        stream->cumulative[key] = sum;
    }
    for (key = 0; key < stream->options.keys; key++) {
        stream->cumulative[key] /= sum;
    }
}

cw_stream_t *cw_stream_create(const cw_stream_options_t *options, const cw_hot_spot_t *hot, uint64_t seed)
{
    cw_stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        return NULL;
    }
    stream->cumulative = calloc(options->keys, sizeof(double));
    if (stream->cumulative == NULL) {
        free(stream);
        return NULL;
    }
    stream->options = *options;
    stream->hot = *hot;
    stream->seed = seed;
    stream->random_state = seed;
    fill_shares(stream);
    draw_next_arrival(stream);
    return stream;
}

void cw_stream_free(cw_stream_t *stream)
{
    cw_stream_options_clear(&stream->options);
    free(stream->cumulative);
    free(stream);
}

const cw_stream_options_t *cw_stream_options(const cw_stream_t *stream)
{
    return &stream->options;
}

int64_t cw_stream_next_us(const cw_stream_t *stream)
{
    return stream->next_us;
}

static uint32_t draw_by_share(cw_stream_t *stream)
{
    double   share = draw(stream);
    uint32_t low = 0;
    uint32_t high = stream->options.keys - 1;
    uint32_t middle;

    while (low < high) {
        middle = low + (high - low) / 2;
        if (stream->cumulative[middle] <= share) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

/* The hot key at a time: the same for one seed, another after each move. */
static uint32_t hot_key(const cw_stream_t *stream, int64_t now_us)
{
    uint64_t state = stream->seed;

    if (stream->hot.move_us > 0) {
        state += (uint64_t)(now_us / stream->hot.move_us);
    }
    return (uint32_t)cw_random_below(&state, stream->options.keys);
}

uint32_t cw_stream_take(cw_stream_t *stream)
{
    int64_t  now_us = stream->next_us;
    uint32_t key;

    draw_next_arrival(stream);
    if (stream->hot.share > 0 && draw(stream) < stream->hot.share) {
        key = hot_key(stream, now_us);
    } else {
        key = draw_by_share(stream);
    }
    return key;
}

bool cw_stream_draws_repeat(cw_stream_t *stream)
{
    return stream->options.repeat > 0 && draw(stream) < stream->options.repeat;
}
