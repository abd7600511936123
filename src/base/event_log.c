/**
 * @file event_log.c
 * @brief Composes lines on the stack, collects them in one buffer of fixed size and writes it without blocking.
 */
#include "base/event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/time.h>
#include <unistd.h>

enum { BUFFER_BYTES = 48 * 1024, NODE_MAX = 64, FIRST_PRINTABLE = 0x20 };

typedef struct event_kind {
    const char      *name;
    cw_event_level_t level;
    uint32_t         lines_per_s;
} event_kind_t;

#define EVENT_ROW(symbol, name, level, limit) {name, CW_EVENT_##level, limit},
static const event_kind_t kinds[] = {CW_EVENT_TABLE(EVENT_ROW)};
#undef EVENT_ROW

#define FIELD_ROW(symbol, name) name,
static const char *const fields[] = {CW_EVENT_FIELD_TABLE(FIELD_ROW)};
#undef FIELD_ROW

static struct {
    int              descriptor;
    char             node[NODE_MAX];
    cw_event_level_t level;
    char             buffer[BUFFER_BYTES];
    size_t           length;
    int64_t          second;
    uint32_t         lines[CW_EVENT_KINDS]; /* begun in the current second, by event */
    uint64_t         dropped;
    uint64_t         dropped_logged;
} state = {.descriptor = -1, .level = CW_EVENT_INFO};

void cw_event_log_open(int descriptor, const char *node, cw_event_level_t level)
{
    int flags = fcntl(descriptor, F_GETFL);

    state.descriptor = descriptor;
    state.level = level;
    snprintf(state.node, sizeof(state.node), "%s", node);
    if (flags >= 0) {
        (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void cw_event_log_set_level(cw_event_level_t level)
{
    state.level = level;
}

uint64_t cw_event_log_dropped(void)
{
    return state.dropped;
}

const char *cw_event_kind_name(cw_event_kind_t kind)
{
    return kinds[kind].name;
}

bool cw_event_level_from_text(const char *text, cw_event_level_t *level)
{
    static const char *const names[] = {"error", "warning", "notice", "info", "debug"};
    size_t                   index;

    for (index = 0; index < sizeof(names) / sizeof(names[0]); index++) {
        if (strcasecmp(text, names[index]) == 0) {
            *level = (cw_event_level_t)(CW_EVENT_ERROR + index);
            return true;
        }
    }
    return false;
}

/* ---- one line ---- */

static void put(cw_event_t *event, const char *bytes, size_t length)
{
    /* Space for the closing brace, the newline and one more byte is kept. */
    if (event->length + length > sizeof(event->text) - 3) {
        length = sizeof(event->text) - 3 - event->length;
    }
    memcpy(event->text + event->length, bytes, length);
    event->length += length;
}

static void put_quoted(cw_event_t *event, const char *text)
{
    char escaped[8];

    put(event, "\"", 1);
    for (; *text != '\0' && event->length < sizeof(event->text) - 16; text++) {
        if (*text == '"' || *text == '\\') {
            put(event, "\\", 1);
            put(event, text, 1);
        } else if ((unsigned char)*text < FIRST_PRINTABLE || (unsigned char)*text >= 0x7f) {
            put(event, escaped, (size_t)snprintf(escaped, sizeof(escaped), "\\u%04x", (unsigned)(unsigned char)*text));
        } else {
            put(event, text, 1);
        }
    }
    put(event, "\"", 1);
}

static bool is_within_limit(cw_event_kind_t kind)
{
    if (state.lines[kind] >= kinds[kind].lines_per_s) {
        state.dropped++;
        return false;
    }
    state.lines[kind]++;
    return true;
}

bool cw_event_begin(cw_event_t *event, cw_event_kind_t kind)
{
    struct timeval now;
    char           head[128];
    int            length;

    event->kind = kind;
    event->length = 0;
    event->enabled = state.descriptor >= 0 && kinds[kind].level <= state.level && is_within_limit(kind);
    if (!event->enabled) {
        return false;
    }
    gettimeofday(&now, NULL);
    length = snprintf(head, sizeof(head), "{\"time\":%" PRId64 ".%03d,\"node\":\"%s\",\"event\":\"%s\"",
                      (int64_t)now.tv_sec, (int)(now.tv_usec / 1000), state.node, kinds[kind].name);
    put(event, head, (size_t)length);
    return true;
}

static void put_name(cw_event_t *event, cw_event_field_t field)
{
    put(event, ",\"", 2);
    put(event, fields[field], strlen(fields[field]));
    put(event, "\":", 2);
}

/* A field is written completely or not at all: 48 bytes are kept for its name, quotes and separators. */
static bool has_space(const cw_event_t *event, size_t value_length)
{
    return event->enabled && event->length + value_length + 48 < sizeof(event->text);
}

void cw_event_text(cw_event_t *event, cw_event_field_t field, const char *value)
{
    if (value != NULL && has_space(event, strlen(value) < 400 ? strlen(value) : 400)) {
        put_name(event, field);
        put_quoted(event, value);
    }
}

static void put_number_text(cw_event_t *event, cw_event_field_t field, const char *text)
{
    if (has_space(event, strlen(text))) {
        put_name(event, field);
        put(event, text, strlen(text));
    }
}

void cw_event_number(cw_event_t *event, cw_event_field_t field, int64_t value)
{
    char text[32];

    snprintf(text, sizeof(text), "%" PRId64, value);
    put_number_text(event, field, text);
}

void cw_event_real(cw_event_t *event, cw_event_field_t field, double value)
{
    char text[48];

    snprintf(text, sizeof(text), "%.3f", value);
    put_number_text(event, field, text);
}

void cw_event_ms(cw_event_t *event, cw_event_field_t field, cw_time_us_t value)
{
    cw_event_number(event, field, value / 1000);
}

void cw_event_end(cw_event_t *event)
{
    if (!event->enabled) {
        return;
    }
    event->text[event->length++] = '}';
    event->text[event->length++] = '\n';
    if (state.length + event->length > sizeof(state.buffer)) {
        state.dropped++;
        return;
    }
    memcpy(state.buffer + state.length, event->text, event->length);
    state.length += event->length;
}

/* ---- writing ---- */

static void write_buffer(void)
{
    ssize_t written;

    if (state.length == 0 || state.descriptor < 0) {
        return;
    }
    written = write(state.descriptor, state.buffer, state.length);
    if (written <= 0) {
        return; /* the reader does not read: the lines stay in the buffer; later ones that do not fit are dropped */
    }
    memmove(state.buffer, state.buffer + written, state.length - (size_t)written);
    state.length -= (size_t)written;
}

void cw_event_log_write_before_exit(void)
{
    ssize_t written;

    if (state.length == 0 || state.descriptor < 0) {
        return;
    }
    written = write(state.descriptor, state.buffer, state.length);
    if (written > 0 && state.buffer[written - 1] != '\n') {
        (void)!write(state.descriptor, "\n", 1);
    }
    state.length = 0;
}

static void log_dropped(void)
{
    cw_event_t event;

    if (state.dropped == state.dropped_logged || !cw_event_begin(&event, CW_EVENT_LINES_DROPPED)) {
        return;
    }
    cw_event_number(&event, CW_FIELD_COUNT, (int64_t)(state.dropped - state.dropped_logged));
    state.dropped_logged = state.dropped;
    cw_event_end(&event);
}

void cw_event_log_flush(cw_time_us_t now)
{
    if (now / CW_SECONDS(1) != state.second) {
        state.second = now / CW_SECONDS(1);
        memset(state.lines, 0, sizeof(state.lines));
        log_dropped();
    }
    write_buffer();
}
