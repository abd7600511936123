/**
 * @file server_incarnation.h
 * @brief Ids of servers. An id identifies one incarnation of a server, from a start to the following end.
 *
 * A server that restarts usually registers under another name. If the platform states when a server was started, the
 * server may also keep its name: then the start time is part of the id, `NAME@MILLISECONDS`. A restart is thus another
 * id at the same address wherever ids are compared, and no state or order of the former incarnation applies to the new
 * one. The server itself knows only its name.
 */
#ifndef CEDARWINCH_MODEL_SERVER_INCARNATION_H
#define CEDARWINCH_MODEL_SERVER_INCARNATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    CW_SERVER_ID_MAX = 48,  /**< bytes of an id, including the terminating zero */
    CW_SERVER_ID_MARK = '@' /**< separates the name and the start time */
};

/** Writes the id of a server with this name that started at `start_ms` (Unix time in milliseconds; 0: not stated).
 * False: the id would be too long, and nothing was written. */
bool cw_server_id_write(char id[CW_SERVER_ID_MAX], const char *name, uint64_t start_ms);
/** Length in bytes of the server's name at the beginning of an id. */
size_t cw_server_id_name_length(const char *id);
/** Start time of the incarnation (Unix time in milliseconds); 0: not stated. */
uint64_t cw_server_id_start_ms(const char *id);
/** Whether this is an id of the server with this name. */
bool cw_server_id_has_name(const char *id, const char *name);
/** Whether both are ids of one server: of one name; ids that are used once are one server only if they are equal. Empty
 * ids are none. */
bool cw_server_id_is_same_server(const char *left, const char *right);
/** Whether both are ids of the same server and `later` is the incarnation that started later. */
bool cw_server_id_succeeds(const char *later, const char *earlier);

#endif
