/**
 * @file signals.c
 * @brief The series of limits, and the fields of answers.
 */
#include "signals.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const double no_limit = -1;

static bool add_limit(signals_t *signals, const char *text)
{
    char *end;

    if (signals->limit_count == SIGNALS_LIMITS_MAX) {
        return false;
    }
    if (strcmp(text, "none") == 0) {
        signals->limits[signals->limit_count++] = no_limit;
        return true;
    }
    signals->limits[signals->limit_count++] = strtod(text, &end);
    return end != text && *end == '\0';
}

bool signals_init(signals_t *signals, const char *limits)
{
    char  copy[256];
    char *rest = copy;
    char *text;

    *signals = (signals_t){.limit_per_s = no_limit};
    snprintf(copy, sizeof(copy), "%s", limits == NULL ? "" : limits);
    while (limits != NULL && (text = strsep(&rest, ",")) != NULL) {
        if (!add_limit(signals, text)) {
            return false;
        }
    }
    return true;
}

void signals_next_limit(signals_t *signals)
{
    if (signals->limit_count == 0) {
        return;
    }
    signals->limit_per_s = signals->limits[signals->next];
    signals->next = (signals->next + 1) % signals->limit_count;
}

static void add_field(cw_http_fields_t *fields, cw_http_field_builder_t *builder, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

void signals_add_fields(const signals_t *signals, cw_http_fields_t *fields, cw_http_field_builder_t *builder)
{
    char text[32];

    if (signals->limit_per_s >= 0) {
        snprintf(text, sizeof(text), "%.6g", signals->limit_per_s);
        add_field(fields, builder, "Server-Limit", text);
    }
}
