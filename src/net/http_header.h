/**
 * @file http_header.h
 * @brief Header fields of one HTTP message, kept in the order of arrival.
 */
#ifndef CEDARWINCH_NET_HTTP_HEADER_H
#define CEDARWINCH_NET_HTTP_HEADER_H

#include <stdbool.h>
#include <stddef.h>

typedef struct cw_http_field {
    char *name;
    char *value;
} cw_http_field_t;

/** Owned fields. All zero is an empty list. */
typedef struct cw_http_fields {
    cw_http_field_t *items;
    size_t           count;
    size_t           capacity;
} cw_http_fields_t;

/** Appends bytes to the last name or value; begins a new field when a name follows a value. */
typedef struct cw_http_field_builder {
    bool in_value;
} cw_http_field_builder_t;

void cw_http_field_builder_name(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                size_t length);
void cw_http_field_builder_value(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *bytes,
                                 size_t length);

/** Do two names mean the same to a lenient receiver? Without regard to case, "_" and blanks as "-", blanks at the end
 * ignored: what a caller must not set is to be recognised in any of these spellings. */
bool cw_http_name_is_equivalent(const char *left, const char *right);
/** Value of the first field of this name, without regard to case; NULL: none. */
const char *cw_http_fields_find(const cw_http_fields_t *fields, const char *name);
/** True for fields that speak of one connection only (RFC 9110, 7.6.1), also those that "Connection" names. */
bool cw_http_field_is_hop_by_hop(const cw_http_fields_t *fields, const char *name);
void cw_http_fields_clear(cw_http_fields_t *fields);

#endif
