/**
 * @file signals.c
 * @brief Parses the series of signals, and writes header fields of answers.
 */
#include "signals.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const signals_item_t nothing = {.limit_per_s = -1};

static bool read_number(const char *text, double *number)
{
    char *end;

    *number = strtod(text, &end);
    return end != text && *end == '\0';
}

static bool add_item(signals_t *signals, const char *text)
{
    signals_item_t *item = &signals->items[signals->count];

    if (signals->count == SIGNALS_MAX) {
        return false;
    }
    signals->count++;
    *item = nothing;
    if (strncmp(text, "limit=", strlen("limit=")) == 0) {
        return read_number(text + strlen("limit="), &item->limit_per_s);
    }
    if (strncmp(text, "rest=", strlen("rest=")) == 0) {
        return read_number(text + strlen("rest="), &item->rest_s);
    }
    item->is_leaving = strcmp(text, "leaving") == 0;
    return item->is_leaving || strcmp(text, "none") == 0;
}

bool signals_init(signals_t *signals, const char *series)
{
    char  copy[256];
    char *rest = copy;
    char *text;

    *signals = (signals_t){.now = nothing};
    snprintf(copy, sizeof(copy), "%s", series == NULL ? "" : series);
    while (series != NULL && (text = strsep(&rest, ",")) != NULL) {
        if (!add_item(signals, text)) {
            return false;
        }
    }
    return true;
}

void signals_next(signals_t *signals)
{
    if (signals->count == 0) {
        return;
    }
    if (signals->now.is_leaving) {
        return;
    }
    signals->now = signals->items[signals->next];
    signals->next = (signals->next + 1) % signals->count;
    signals->is_used = true;
}

void signals_end(signals_t *signals)
{
    if (!signals->now.is_leaving) { /* a leave cannot be withdrawn */
        signals->now = nothing;
    }
}

static void add_field(cw_http_fields_t *fields, cw_http_field_builder_t *builder, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

void signals_add_fields(const signals_t *signals, cw_http_fields_t *fields, cw_http_field_builder_t *builder)
{
    char text[32];

    if (signals->now.limit_per_s >= 0) {
        snprintf(text, sizeof(text), "%.6g", signals->now.limit_per_s);
        add_field(fields, builder, "Server-Limit", text);
    }
    if (signals->now.is_leaving) {
        add_field(fields, builder, "Server-Leaving", "1");
    }
}
