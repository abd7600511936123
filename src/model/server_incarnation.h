/**
 * @file server_incarnation.h
 * @brief Ids of servers: each names one incarnation, from a start of the server to its end.
 *
 * A server that starts again mostly signs in under another name. Where the platform states when a server was started,
 * it may also keep its name: then the start is part of the id, `NAME@MILLISECONDS`, so that a restart is another id at
 * the same address wherever ids are compared, and nothing that was known of the former incarnation, or ordered, holds
 * for it. The server itself knows its name only.
 */
#ifndef CEDARWINCH_MODEL_SERVER_INCARNATION_H
#define CEDARWINCH_MODEL_SERVER_INCARNATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CW_SERVER_ID_MAX = 48,  /**< bytes of an id, its end included */
    CW_SERVER_ID_MARK = '@' /**< between the name and the time of the start */
};

/** Writes the id of the server of this name that started at `born_ms` (Unix time; 0: not stated). False: it is too
 * long, and nothing was written. */
bool cw_server_id_write(char id[CW_SERVER_ID_MAX], const char *name, uint64_t born_ms);
/** Bytes of an id that are the server's name. */
size_t cw_server_id_name_length(const char *id);
/** When the incarnation started, Unix milliseconds; 0: not stated. */
uint64_t cw_server_id_born(const char *id);
/** Is it an id of the server of this name? */
bool cw_server_id_has_name(const char *id, const char *name);
/** Are these ids of one server, `later` the incarnation that started later? */
bool cw_server_id_succeeds(const char *later, const char *earlier);

#endif
