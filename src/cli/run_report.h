/**
 * @file run_report.h
 * @brief Report of a run from its logs: outcomes by second and service, the hottest keys and their owners, the moves.
 *
 * run_report.c counts; run_report_text.c and run_report_html.c write. The log lines of each event are limited per
 * second: processes drop the lines beyond the limit and log how many. The report shows the sum of these numbers, since
 * its counts are too low then.
 */
#ifndef CEDARWINCH_CLI_RUN_REPORT_H
#define CEDARWINCH_CLI_RUN_REPORT_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "cli/log_lines.h"
#include "cli/run_refusals.h"

enum {
    CW_REPORT_NAME_MAX = 64,  /**< bytes of a name, NUL included */
    CW_REPORT_HOT_KEYS = 5,   /**< hottest keys of a service */
    CW_REPORT_OWNERS_MAX = 64 /**< successive owners of a key; later ones are left out */
};

/** Outcome of a request. */
typedef enum cw_report_outcome {
    CW_OUTCOME_IN_AIM,        /**< served within its objective, or without one */
    CW_OUTCOME_LATE,          /**< served after its objective */
    CW_OUTCOME_REFUSED_SLOT,  /**< no slot in time */
    CW_OUTCOME_REFUSED_OWNER, /**< the owner of its key is not known, or the key is moving */
    CW_OUTCOME_REFUSED_OTHER,
    CW_OUTCOME_FAILED,
    CW_OUTCOMES
} cw_report_outcome_t;

/** Names of the outcomes, for column heads and legends. */
extern const char *const cw_report_outcome_names[CW_OUTCOMES];

/** Numbers of requests by outcome: of one service in one second, or in several seconds together. */
typedef struct cw_report_cell {
    uint32_t counts[CW_OUTCOMES];
} cw_report_cell_t;

/** A period in which one owner answered the requests for a key. */
typedef struct cw_report_owner {
    char   server[CW_REPORT_NAME_MAX];
    double from; /**< seconds since the start of the report */
    double to;   /**< time of its last answer */
} cw_report_owner_t;

/** One of the hottest keys of a service. */
typedef struct cw_report_key {
    uint32_t          key;
    uint32_t          requests;
    uint32_t         *by_second; /**< requests in each second */
    cw_report_cell_t  outcomes;  /**< sum over all seconds */
    cw_report_owner_t owners[CW_REPORT_OWNERS_MAX];
    size_t            owner_count;
} cw_report_key_t;

/** One service. */
typedef struct cw_report_service {
    char              name[CW_REPORT_NAME_MAX];
    cw_report_cell_t *by_second;
    cw_report_cell_t  all; /**< sum over all seconds */
    cw_report_key_t   hot[CW_REPORT_HOT_KEYS];
    size_t            hot_count;
} cw_report_service_t;

/** A change of the owner of a range of keys. */
typedef struct cw_report_move {
    char     service[CW_REPORT_NAME_MAX];
    uint32_t low;
    uint32_t last;
    char     to[CW_REPORT_NAME_MAX];
    char     from[CW_REPORT_NAME_MAX];
    double   released; /**< when the former owner released the range, or its end was proved */
    double   granted;  /**< when the new owner was granted the range; 0: not seen. Both: seconds since the start */
    char     how[CW_REPORT_NAME_MAX]; /**< proof of the former owner's end, and whether with a handover */
    uint32_t refused; /**< requests for its keys that were refused as moving in the second before the grant */
} cw_report_move_t;

/** The whole report. */
typedef struct cw_run_report {
    double               start; /**< wall-clock time of second 0, seconds since the epoch */
    size_t               seconds;
    cw_report_service_t *services;
    size_t               service_count;
    cw_report_move_t    *moves;
    size_t               move_count;
    cw_run_refusals_t    refusals;
    uint32_t             dropped; /**< number of lines that processes have logged as dropped */
} cw_run_report_t;

/** Makes the report; second 0 is the second of the first request. */
void cw_run_report_make(cw_run_report_t *report, const cw_log_lines_t *lines);
/** Frees the report. */
void cw_run_report_clear(cw_run_report_t *report);
/** Writes the report as tables. */
void cw_run_report_write_text(const cw_run_report_t *report, FILE *out);
/** Writes the report as a self-contained HTML page with styles and plots. */
void cw_run_report_write_html(const cw_run_report_t *report, FILE *out);
/** Writes a text from a log with HTML's special characters escaped. */
void cw_run_report_write_escaped(const char *text, FILE *out);

#endif
