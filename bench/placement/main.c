/**
 * @file main.c
 * @brief Command line of the placement benchmark: every scenario under every
 * planner, as a table, with regression bounds for the present planner and
 * plots.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "model.h"
#include "report.h"

enum { ERRORS_SHOWN = 10, ONLY_MAX = 16, PLANNERS_MAX = 8, PATH_MAX_BYTES = 512 };

typedef struct flags {
    struct arg_str *scenario;
    struct arg_str *planner;
    struct arg_int *seed;
    struct arg_str *bounds;
    struct arg_str *plots;
    struct arg_lit *help;
    struct arg_end *end;
} flags_t;

static void declare_flags(flags_t *flags)
{
    flags->scenario = arg_strn("s", "scenario", "NAME", 0, ONLY_MAX, "run only this scenario (repeatable)");
    flags->planner = arg_strn("p", "planner", "NAME", 0, ONLY_MAX, "run only this planner (repeatable)");
    flags->seed = arg_int0(NULL, "seed", "N", "seed of keys and arrivals (1)");
    flags->bounds = arg_str0(NULL, "bounds", "FILE", "fail when the present planner is above these figures");
    flags->plots = arg_str0(NULL, "plots", "DIR", "draw the scenarios that have plots; needs all planners");
    flags->help = arg_lit0("h", "help", "print this text");
    flags->end = arg_end(ERRORS_SHOWN);
    flags->seed->ival[0] = 1;
}

static bool is_chosen(const struct arg_str *only, const char *name)
{
    int position;

    for (position = 0; position < only->count; position++) {
        if (strcmp(only->sval[position], name) == 0) {
            return true;
        }
    }
    return only->count == 0;
}

static int draw(const flags_t *flags, const bench_scenario_t *scenario, const bench_result_t *results)
{
    char path[PATH_MAX_BYTES];

    if (flags->plots->count == 0 || flags->planner->count > 0 || scenario->plot == NULL) {
        return CW_OK;
    }
    snprintf(path, sizeof(path), "%s/%s", flags->plots->sval[0], scenario->plot);
    return bench_plot(path, scenario, results);
}

static int run_scenario(const flags_t *flags, const bench_scenario_t *scenario, FILE *bounds, bench_result_t *results)
{
    const bench_planner_t *planner;
    bool                   bounded;
    size_t                 position;
    int                    error;
    int                    worst = CW_OK;

    for (position = 0; position < bench_planner_count; position++) {
        planner = &bench_planners[position];
        if (!is_chosen(flags->planner, planner->name)) {
            continue;
        }
        error = bench_run(scenario, planner, (uint64_t)flags->seed->ival[0], &results[position]);
        if (error != CW_OK) {
            return error;
        }
        bench_report_row(stdout, scenario, planner, &results[position]);
        fflush(stdout);
        bounded = bounds != NULL && strcmp(planner->name, "present") == 0;
        if (bounded && bench_check_bounds(bounds, scenario, &results[position]) != CW_OK) {
            worst = CW_ERROR_INVALID;
        }
    }
    error = draw(flags, scenario, results);
    return error != CW_OK ? error : worst;
}

static int run_all(const flags_t *flags)
{
    FILE           *bounds = NULL;
    bench_result_t *results = calloc(PLANNERS_MAX, sizeof(*results));
    size_t          position;
    int             error;
    int             worst = CW_OK;

    if (results == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    if (flags->bounds->count > 0) {
        bounds = fopen(flags->bounds->sval[0], "r");
        worst = bounds == NULL ? CW_ERROR_IO : CW_OK;
    }
    bench_report_header(stdout);
    for (position = 0; position < bench_scenario_count && worst != CW_ERROR_IO; position++) {
        if (is_chosen(flags->scenario, bench_scenarios[position].name)) {
            error = run_scenario(flags, &bench_scenarios[position], bounds, results);
            worst = error != CW_OK ? error : worst;
        }
    }
    if (bounds != NULL) {
        fclose(bounds);
    }
    free(results);
    return worst;
}

int main(int argc, char **argv)
{
    flags_t flags;
    void  **table = (void **)&flags;
    int     errors;
    int     error = CW_OK;

    declare_flags(&flags);
    errors = arg_parse(argc, argv, table);
    if (flags.help->count > 0) {
        printf("Usage: cw-placement");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
    } else if (errors > 0) {
        arg_print_errors(stderr, flags.end, "cw-placement");
        error = CW_ERROR_INVALID;
    } else {
        error = run_all(&flags);
    }
    arg_freetable(table, sizeof(flags) / sizeof(struct arg_str *));
    return error == CW_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
