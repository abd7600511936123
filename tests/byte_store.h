/**
 * @file byte_store.h
 * @brief A store in this process whose objects hold any bytes, and the adapter that reads it. Listings have pages,
 * watches bring changes, and the history can be forgotten.
 */
#ifndef CEDARWINCH_TESTS_BYTE_STORE_H
#define CEDARWINCH_TESTS_BYTE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "router/adapter.h"

/** What the adapter has reported. */
typedef struct byte_store_reports {
    cw_servers_read_t read;          /**< the last reading of servers; its list is released by the next one */
    bool              is_read;       /**< a reading has ended since byte_store_read began */
    uint64_t          version;       /**< of the last configuration; 0: none yet */
    uint64_t          newest_proofs; /**< times it was proved to be the newest one */
    uint64_t          failures;      /**< answers that counted as none */
} byte_store_reports_t;

/** Limits of one answer. */
typedef struct byte_store_limits {
    size_t items; /**< of a listing; a watch brings 500 events */
    size_t bytes; /**< a watch brings 100,000 at least */
} byte_store_limits_t;

/** Starts an empty store, and the adapter, which begins to read the configuration. */
void byte_store_start(byte_store_limits_t limits, bool zones_can_be_taken_out);
/** Ends both, if they run. */
void byte_store_stop(void);
/** Writes an object: its bytes are exactly what listings and watches show. name: decides its place. */
void byte_store_put(const char *kind, const char *name, const char *bytes, size_t length);
/** Removes an object. Its last bytes are in the event. */
void byte_store_remove(const char *kind, const char *name);
/** Whether there is such an object. */
bool byte_store_has(const char *kind, const char *name);
/** Revision that the next write will have. */
uint64_t byte_store_next_revision(void);
/** Watches from earlier revisions are answered 410. */
void byte_store_forget_history(void);
/** Each listing and watch of this kind is answered with these bytes; NULL: as it is. */
void byte_store_answer(const char *kind, const char *bytes);
/** Number of calls so far. */
size_t byte_store_calls(void);
/** Reads the servers, and waits until that has ended. */
void byte_store_read(cw_list_read_t how);
/** Runs the loop until the condition holds. */
void byte_store_wait(bool (*done)(void *context), void *context);
/** What was reported so far. */
byte_store_reports_t *byte_store_reports(void);
/** The port of the adapter. */
cw_store_port_t *byte_store_port(void);

#endif
