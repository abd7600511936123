/**
 * @file cli.h
 * @brief Commands of `cedarwinch`. Each returns an exit code.
 */
#ifndef CEDARWINCH_CLI_CLI_H
#define CEDARWINCH_CLI_CLI_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "model/name_set.h"

enum {
    CW_EXIT_DONE = 0,
    CW_EXIT_REFUSED = 1,     /**< findings, a stale plan, nothing found */
    CW_EXIT_WRONG_INPUT = 2, /**< command line */
    CW_EXIT_UNAVAILABLE = 3, /**< the store or a node did not answer */
    CW_EXIT_UNKNOWN = 4      /**< a write without an answer: it may be done */
};

/** Checks settings files or intents, by what they contain; prints all findings with their places. regions: those that
 * intents may name; NULL: not known, any. */
int cw_cli_check(const char *const *files, size_t count, const cw_name_set_t *regions);
/** Prints the plan that the intent comes to. */
int cw_cli_plan(const char *file, const char *store, const cw_name_set_t *regions);
/** Makes the plan again and, if it is still the one of this id, writes it. */
int cw_cli_confirm(const char *plan, const char *file, const char *store, const cw_name_set_t *regions);
/** Prints what it means to take a zone out of service (or to put it back), and the plan's id. plan: not NULL: does it,
 * if it is still the plan of this id. */
int cw_cli_zone(const char *zone, bool out, const char *plan, const char *store);
/** Prints what the nodes (each "IPv4:PORT" of its readiness endpoint) believe. */
int cw_cli_status(const char *const *nodes, size_t count);
/** Prints a request's story from log files, or from standard input when there are none. */
int cw_cli_explain(const char *request, const char *const *files, size_t count);
/** Prints what the logs of a run come to. page: file for the same as an HTML page; NULL: none. */
int cw_cli_report(const char *const *files, size_t count, const char *page);

#endif
