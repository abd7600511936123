/**
 * @file report.h
 * @brief Tables, regression bounds and plots of results.
 */
#ifndef CEDARWINCH_BENCH_PLACEMENT_REPORT_H
#define CEDARWINCH_BENCH_PLACEMENT_REPORT_H

#include <stdio.h>

#include "model.h"

void bench_report_header(FILE *file);
void bench_report_row(FILE *file, const bench_scenario_t *scenario, const bench_planner_t *planner,
                      const bench_result_t *result);
/** Checks a result against the line of its scenario; prints what is above. A
 * scenario without a line is an error. */
int bench_check_bounds(FILE *bounds, const bench_scenario_t *scenario, const bench_result_t *result);
/** Load of each server over the mean, one panel for each planner. Returns an
 * error of cedarwinch/error.h. */
int bench_plot(const char *path, const bench_scenario_t *scenario, const bench_result_t *results);

#endif
