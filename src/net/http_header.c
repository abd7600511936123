/**
 * @file http_header.c
 * @brief Header fields of one HTTP message.
 */
#include "net/http_header.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/memory.h"

enum { INITIAL_CAPACITY = 8 };

static char *append(char *text, const char *bytes, size_t length)
{
    size_t before = text == NULL ? 0 : strlen(text);
    char  *longer = cw_memory_resize(text, before + length + 1);

    memcpy(longer + before, bytes, length);
    longer[before + length] = '\0';
    return longer;
}

static cw_http_field_t *begin_field(cw_http_fields_t *fields)
{
    if (fields->count == fields->capacity) {
        fields->capacity = fields->capacity == 0 ? INITIAL_CAPACITY : 2 * fields->capacity;
        fields->items = cw_memory_resize(fields->items, fields->capacity * sizeof(*fields->items));
    }
    memset(&fields->items[fields->count], 0, sizeof(fields->items[0]));
    return &fields->items[fields->count++];
}

void cw_http_field_builder_name(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                size_t length)
{
    cw_http_field_t *field;

    if (fields->count == 0 || builder->in_value) {
        begin_field(fields);
        builder->in_value = false;
    }
    field = &fields->items[fields->count - 1];
    field->name = append(field->name, bytes, length);
}

void cw_http_field_builder_value(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                 size_t length)
{
    cw_http_field_t *field = &fields->items[fields->count - 1];

    builder->in_value = true;
    field->value = append(field->value, bytes, length);
}

static char fold(char sign)
{
    return sign == '_' || sign == ' ' || sign == '\t' ? '-' : (char)tolower((unsigned char)sign);
}

static size_t trimmed_length(const char *name)
{
    size_t length = strlen(name);

    while (length > 0 && (name[length - 1] == ' ' || name[length - 1] == '\t')) {
        length--;
    }
    return length;
}

bool cw_http_name_is_equivalent(const char *left, const char *right)
{
    size_t length = trimmed_length(left);
    size_t index;

    if (length != trimmed_length(right)) {
        return false;
    }
    for (index = 0; index < length; index++) {
        if (fold(left[index]) != fold(right[index])) {
            return false;
        }
    }
    return true;
}

const char *cw_http_fields_find(const cw_http_fields_t *fields, const char *name)
{
    size_t index;

    for (index = 0; index < fields->count; index++) {
        if (strcasecmp(fields->items[index].name, name) == 0) {
            return fields->items[index].value == NULL ? "" : fields->items[index].value;
        }
    }
    return NULL;
}

const char *cw_http_fields_find_last(const cw_http_fields_t *fields, const char *name)
{
    size_t index;

    for (index = fields->count; index > 0; index--) {
        const cw_http_field_t *field = &fields->items[index - 1];

        if (strcasecmp(field->name, name) == 0) {
            return field->value == NULL ? "" : field->value;
        }
    }
    return NULL;
}

cw_http_fields_t cw_http_fields_without(const cw_http_fields_t *fields, const char *name)
{
    cw_http_fields_t kept = {.items = cw_memory_zeroed_items(fields->count + 1, sizeof(*kept.items))};
    size_t           index;

    for (index = 0; index < fields->count; index++) {
        if (!cw_http_name_is_equivalent(fields->items[index].name, name)) {
            kept.items[kept.count++] = fields->items[index];
        }
    }
    return kept;
}

static bool is_token(const char *name)
{
    const char *place = name;

    while (isalnum((unsigned char)*place) != 0 || (*place != '\0' && strchr("!#$%&'*+-.^_`|~", *place) != NULL)) {
        place++;
    }
    return place > name && *place == '\0';
}

bool cw_http_fields_have_valid_names(const cw_http_fields_t *fields)
{
    size_t index;

    for (index = 0; index < fields->count; index++) {
        if (!is_token(fields->items[index].name)) {
            return false;
        }
    }
    return true;
}

void cw_http_fields_clear(cw_http_fields_t *fields)
{
    size_t index;

    for (index = 0; index < fields->count; index++) {
        free(fields->items[index].name);
        free(fields->items[index].value);
    }
    free(fields->items);
    memset(fields, 0, sizeof(*fields));
}
