/**
 * @file cli.h
 * @brief Commands of the operators' program `cedarwinch`. Each function runs one command and returns the exit code.
 */
#ifndef CEDARWINCH_CLI_CLI_H
#define CEDARWINCH_CLI_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "model/name_set.h"

/** Exit codes. */
enum {
    CW_EXIT_DONE = 0,
    CW_EXIT_REFUSED = 1,     /**< findings, a stale plan, or no line found */
    CW_EXIT_WRONG_INPUT = 2, /**< wrong command line, or a file that cannot be read or written */
    CW_EXIT_UNAVAILABLE = 3, /**< the store or a node did not answer */
    CW_EXIT_UNKNOWN = 4      /**< a write without an answer: it may have been done */
};

/** Checks files, each of which holds settings or an intent (its content decides), and prints all findings with line and
 * column. regions: the regions that intents may name; NULL: not known, any region. */
int cw_cli_check(const char *const *files, size_t count, const cw_name_set_t *regions);
/** Makes a plan for an intent and prints it. store: address of the store, "IPv4:PORT", in all commands. */
int cw_cli_plan(const char *file, const char *store, const cw_name_set_t *regions);
/** Makes the plan for the intent again and writes the new configuration to the store, if the plan still has the id
 * `plan`. */
int cw_cli_confirm(const char *plan, const char *file, const char *store, const cw_name_set_t *regions);
/** Prints the plan for taking a zone out of service (out) or putting it back, and the plan's id. plan: NULL, or the id
 * of such a plan: makes the change instead, if the plan still has this id. */
int cw_cli_zone(const char *zone, bool out, const char *plan, const char *store);
/** Prints the state of nodes, each given as "IPv4:PORT" of its readiness endpoint, and totals of all of them. */
int cw_cli_status(const char *const *nodes, size_t count);
/** Prints the log lines of a request with their causes, from log files, or from standard input if there are none. */
int cw_cli_explain(const char *request, const char *const *files, size_t count);
/** Prints a report of a run from log files, or from standard input if there are none. page: file to which the report is
 * also written as an HTML page; NULL: none. */
int cw_cli_report(const char *const *files, size_t count, const char *page);

#endif
