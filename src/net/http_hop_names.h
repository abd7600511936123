/**
 * @file http_hop_names.h
 * @brief Names of the fields of one message that apply to one connection only and are not passed on (RFC 9110, 7.6.1):
 * the well-known ones, and those that its "Connection" fields list.
 *
 * Both the fields and the list are another party's: the names are sorted once, so that a message takes time in
 * proportion to its length.
 */
#ifndef CEDARWINCH_NET_HTTP_HOP_NAMES_H
#define CEDARWINCH_NET_HTTP_HOP_NAMES_H

#include "net/http_header.h"

/** A part of a text. */
typedef struct cw_http_token {
    const char *text;
    size_t      length;
} cw_http_token_t;

/** The names of one message. */
typedef struct cw_http_hop_names {
    cw_http_token_t *listed; /**< sorted; parts of the message's fields */
    size_t           count;
    size_t           capacity;
} cw_http_hop_names_t;

/** Collects the names. The fields must outlive them. */
cw_http_hop_names_t cw_http_hop_names_of(const cw_http_fields_t *fields);
/** Whether the field of this name applies to one connection only. */
bool cw_http_hop_names_have(const cw_http_hop_names_t *names, const char *name);
/** Frees the names. */
void cw_http_hop_names_clear(cw_http_hop_names_t *names);

#endif
