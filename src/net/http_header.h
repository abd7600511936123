/**
 * @file http_header.h
 * @brief Header fields of one HTTP message, in the order of arrival.
 */
#ifndef CEDARWINCH_NET_HTTP_HEADER_H
#define CEDARWINCH_NET_HTTP_HEADER_H

#include <stdbool.h>
#include <stddef.h>

/** One header field. */
typedef struct cw_http_field {
    char *name;
    char *value;
} cw_http_field_t;

/** List that owns its fields. All zeros is an empty list. */
typedef struct cw_http_fields {
    cw_http_field_t *items;
    size_t           count;
    size_t           capacity;
} cw_http_fields_t;

/** State of a parser callback that builds a list of fields. Bytes are appended to the last name or value; a name after
 * a value begins a new field. */
typedef struct cw_http_field_builder {
    bool in_value; /**< the last bytes belonged to a value */
} cw_http_field_builder_t;

/** Appends bytes of a field's name. */
void cw_http_field_builder_name(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                size_t length);
/** Appends bytes of a field's value. */
void cw_http_field_builder_value(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                 size_t length);

/** True if a lenient receiver may treat two field names as the same: compared without regard to case, with "_" and
 * blanks as "-", and without blanks at the end. A field that callers must not set is recognised in all these spellings.
 */
bool cw_http_name_is_equivalent(const char *left, const char *right);
/** Value of the first field with this name, compared without regard to case; NULL: there is none. */
const char *cw_http_fields_find(const cw_http_fields_t *fields, const char *name);
/** Value of the last field of this name; NULL: there is none. */
const char *cw_http_fields_find_last(const cw_http_fields_t *fields, const char *name);
/** Copies the list without the fields of this name, in any spelling. The texts are shared: only `items` is freed. */
cw_http_fields_t cw_http_fields_without(const cw_http_fields_t *fields, const char *name);
/** Whether the names of all fields are tokens (RFC 9110, 5.6.2). Others, such as one with a blank before the colon, may
 * be read differently by the next receiver (RFC 9112, 5.1). */
bool cw_http_fields_have_valid_names(const cw_http_fields_t *fields);
/** Frees all fields. */
void cw_http_fields_clear(cw_http_fields_t *fields);

#endif
