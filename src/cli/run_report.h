/**
 * @file run_report.h
 * @brief What a run's logs come to: outcomes by second and service, the hottest keys and their owners, the moves.
 *
 * run_report.c counts, run_report_text.c and run_report_html.c write. Logs are bounded: processes that have more lines
 * of a kind than that drop some, and say so; the report says how many.
 */
#ifndef CEDARWINCH_CLI_RUN_REPORT_H
#define CEDARWINCH_CLI_RUN_REPORT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "cli/log_lines.h"
#include "cli/run_refusals.h"

enum { CW_REPORT_NAME_MAX = 64, CW_REPORT_HOT_KEYS = 5, CW_REPORT_OWNERS_MAX = 64 };

typedef enum cw_report_outcome {
    CW_OUTCOME_IN_AIM,
    CW_OUTCOME_LATE,
    CW_OUTCOME_REFUSED_SLOT,  /**< no slot in time */
    CW_OUTCOME_REFUSED_OWNER, /**< its owner not known, or moving */
    CW_OUTCOME_REFUSED_OTHER,
    CW_OUTCOME_FAILED,
    CW_OUTCOMES
} cw_report_outcome_t;

/** Names of the outcomes, for heads of columns and legends. */
extern const char *const cw_report_outcome_names[CW_OUTCOMES];

/** One service in one second. */
typedef struct cw_report_cell {
    uint32_t counts[CW_OUTCOMES];
} cw_report_cell_t;

/** When a key was answered by which owner. */
typedef struct cw_report_owner {
    char   server[CW_REPORT_NAME_MAX];
    double from; /**< seconds from the start of the report */
    double to;
} cw_report_owner_t;

typedef struct cw_report_key {
    uint32_t          key;
    uint32_t          requests;
    uint32_t         *by_second; /**< requests */
    cw_report_cell_t  outcomes;  /**< of all seconds */
    cw_report_owner_t owners[CW_REPORT_OWNERS_MAX];
    size_t            owner_count;
} cw_report_key_t;

typedef struct cw_report_service {
    char              name[CW_REPORT_NAME_MAX];
    cw_report_cell_t *by_second;
    cw_report_cell_t  all;
    cw_report_key_t   hot[CW_REPORT_HOT_KEYS];
    size_t            hot_count;
} cw_report_service_t;

typedef struct cw_report_move {
    char     service[CW_REPORT_NAME_MAX];
    uint32_t low;
    uint32_t last;
    char     to[CW_REPORT_NAME_MAX];
    char     from[CW_REPORT_NAME_MAX];
    double   released; /**< when the former holder let go, or its end was proved */
    double   granted;
    char     how[CW_REPORT_NAME_MAX]; /**< proof, and whether with a handover */
    uint32_t refused; /**< requests for its keys refused as moving, in the second before it was granted */
} cw_report_move_t;

typedef struct cw_run_report {
    double               start; /**< wall clock of second 0 */
    size_t               seconds;
    cw_report_service_t *services;
    size_t               service_count;
    cw_report_move_t    *moves;
    size_t               move_count;
    cw_run_refusals_t    refusals;
    uint32_t             dropped; /**< lines that processes say they dropped */
} cw_run_report_t;

/** Counts the lines; second 0 is that of the first request. */
void cw_run_report_make(cw_run_report_t *report, const cw_log_lines_t *lines);
void cw_run_report_clear(cw_run_report_t *report);
void cw_run_report_write_text(const cw_run_report_t *report, FILE *out);
/** A page that needs nothing else: styles and plots are in it. */
void cw_run_report_write_html(const cw_run_report_t *report, FILE *out);
/** A text from a log as text of a page. */
void cw_run_report_write_escaped(const char *text, FILE *out);

#endif
