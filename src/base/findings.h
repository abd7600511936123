/**
 * @file findings.h
 * @brief Collects findings (errors in a file) with their place, so that all are reported together.
 */
#ifndef CEDARWINCH_FINDINGS_H
#define CEDARWINCH_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

typedef struct cw_finding {
    char    *file;
    unsigned line;    /**< from 1; 0: the whole file */
    unsigned column;  /**< from 1 */
    char    *message; /**< what is wrong and what would be right */
} cw_finding_t;

typedef struct cw_findings {
    cw_finding_t *items;
    size_t        count;
    size_t        capacity;
} cw_findings_t;

void cw_findings_init(cw_findings_t *findings);
void cw_findings_add(cw_findings_t *findings, const char *file, unsigned line, unsigned column, const char *format, ...)
    __attribute__((format(printf, 5, 6)));
void  cw_findings_print(const cw_findings_t *findings, FILE *stream); /**< file:line:column: message */
char *cw_findings_to_json(const cw_findings_t *findings);             /**< JSON array; free with free() */
void  cw_findings_clear(cw_findings_t *findings);

#endif
