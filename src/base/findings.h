/**
 * @file findings.h
 * @brief Collects findings (errors in a file) with file, line and column, so that all of them are reported together.
 */
#ifndef CEDARWINCH_FINDINGS_H
#define CEDARWINCH_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

/** One error in a file. */
typedef struct cw_finding {
    char    *file;
    unsigned line;    /**< from 1; 0: the finding concerns the whole file */
    unsigned column;  /**< from 1 */
    char    *message; /**< the error, and the values that would be valid */
} cw_finding_t;

/** List of findings in the order in which they were added. */
typedef struct cw_findings {
    cw_finding_t *items;
    size_t        count;
    size_t        capacity;
} cw_findings_t;

/** Makes an empty list. */
void cw_findings_init(cw_findings_t *findings);
/** Adds a finding; file: copied. A finding for which there is no memory is left out. */
void cw_findings_add(cw_findings_t *findings, const char *file, unsigned line, unsigned column, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
/** Prints each finding as a line "file:line:column: message". */
void cw_findings_print(const cw_findings_t *findings, FILE *stream);
/** Findings as a JSON array; the caller frees it with free(). */
char *cw_findings_to_json(const cw_findings_t *findings);
/** Frees all findings; the list is empty afterwards. */
void cw_findings_clear(cw_findings_t *findings);

#endif
