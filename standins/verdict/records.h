/**
 * @file records.h
 * @brief Records written by servers, callers and the test script, one JSON line each, and lines of nodes' logs.
 *
 * Of nodes' logs the lines "delegated" and "delegation declined" are read: each becomes a record "sender", whose node
 * is the name of the one that sends the request to servers from that time on.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_RECORDS_H
#define CEDARWINCH_STANDINS_VERDICT_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One record; fields that it does not have are empty or 0. */
typedef struct record {
    uint64_t ns; /**< monotonic time */
    char     event[12];
    char     server[64];  /**< incarnation of a server */
    char     service[40]; /**< of a server */
    char     id[80];      /**< of the request */
    char     method[16];
    char     node[48];    /**< of a caller: the node that it asked; of the test: the node in trouble, or
                             the address of the node named by id */
    char     limit[64];   /**< of a caller: id of the server that reported a limit in the answer; empty: none */
    char     leaving[64]; /**< of a caller: id of the server that announced its leave in the answer; empty: none */
    char     fault[64];   /**< of a caller: what was wrong with the answer; empty: nothing */
    uint64_t sent_ns;     /**< of a caller: when it sent the request */
    uint32_t low;         /**< first key of the range */
    uint32_t last;        /**< last key of the range, inclusive */
    uint64_t fence;
    uint64_t hold_ms;     /**< of a grant: time of the hold from its arrival on */
    uint64_t late_ms;     /**< of a grant: time for which the server kept it before it carried it out */
    char     address[48]; /**< of a server's start: its address */
    double   rest_s;      /**< of a server: time for which it asked to get no requests */
    double   per_s;       /**< of a server: the rate limit that it reports from now on; below 0: none */
    int      status;      /**< of a caller: status of the answer; 0: no answer */
    bool     of_caller;   /**< written by a caller; false: by a server or the test */
} record_t;

/** All records read. */
typedef struct records {
    record_t *items;
    size_t    count;
} records_t;

/** Appends the records of a file. Lines of logs must be of this machine: they have its wall-clock time. Returns false
 * if the file cannot be read. */
bool records_read(records_t *records, const char *file);
/** Sorts the records by time. */
void records_sort(records_t *records);

/** Prints a violation and counts it. */
void records_violation(const char *rule, const record_t *record, const char *detail);
/** Number of violations printed so far. */
uint64_t records_violations(void);

#endif
