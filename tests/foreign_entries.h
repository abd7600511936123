/**
 * @file foreign_entries.h
 * @brief Entries of a byte store (byte_store.h): good ones, and those of other writers that may break the structure
 * around them.
 */
#ifndef CEDARWINCH_TESTS_FOREIGN_ENTRIES_H
#define CEDARWINCH_TESTS_FOREIGN_ENTRIES_H

#include "byte_store.h"
#include "model/server_list.h"

/** Limits of answers: whole listings, and one entry on a page. */
extern const byte_store_limits_t foreign_wide;
extern const byte_store_limits_t foreign_single;

/** Number of kinds of bytes that break the structure around them. */
enum { FOREIGN_NOTES = 13 };
/** Such bytes, for the place of a text. */
extern const char *const foreign_notes[FOREIGN_NOTES];

/** Writes an object whose bytes are this text. */
void foreign_put(const char *kind, const char *name, const char *text);
/** Writes the entry of a server. */
void foreign_put_server(const char *name, const char *state);
/** Writes an entry of another writer with these bytes in the place of a text. */
void foreign_put_note(const char *kind, const char *name, const char *note);
/** Writes the operator's configuration. */
void foreign_put_configuration(int version);

/** Entry of a server in the list as last read; NULL: there is none. */
const cw_server_entry_t *foreign_listed(const char *name);
/** Checks that exactly these servers are listed. */
void foreign_check_listed(size_t count, const char *const *names);
/** Waits until this version of the configuration is reported. */
void foreign_wait_for_version(uint64_t version);

/** Checks that exactly the servers with these names are listed. */
#define CHECK_LISTED(...)                                                                                              \
    do {                                                                                                               \
        static const char *const names_listed[] = {__VA_ARGS__};                                                       \
        foreign_check_listed(sizeof(names_listed) / sizeof(names_listed[0]), names_listed);                            \
    } while (0)

#endif
