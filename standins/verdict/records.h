/**
 * @file records.h
 * @brief Records of servers, callers and the test itself, one JSON line each.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_RECORDS_H
#define CEDARWINCH_STANDINS_VERDICT_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct record {
    uint64_t ns;
    char     event[12];
    char     server[64]; /**< one life of a server */
    char     id[80];     /**< of the request */
    char     method[16];
    char     node[48];    /**< of a caller: whom it asked; of the test: the node in trouble */
    char     limit[64];   /**< of a caller: the server that named a limit with the answer; empty: none */
    char     leaving[64]; /**< of a caller: the server that said with the answer that it leaves; empty: none */
    uint64_t sent_ns;     /**< of a caller: when it sent the request */
    uint32_t low;
    uint32_t last;
    uint64_t fence;
    double   rest_s; /**< of a server: the rest that it asked for */
    double   per_s;  /**< of a server: the limit that it names from now on; below 0: none */
    int      status;
    bool     of_caller;
} record_t;

/** All records read. */
typedef struct records {
    record_t *items;
    size_t    count;
} records_t;

/** Appends the records of a file; false: it cannot be read. */
bool records_read(records_t *records, const char *file);
/** In order of their times. */
void records_sort(records_t *records);

/** Prints a violation and counts it. */
void     records_violation(const char *rule, const record_t *record, const char *detail);
uint64_t records_violations(void);

#endif
