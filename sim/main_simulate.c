/**
 * @file main_simulate.c
 * @brief Command line of the simulator: runs seeds, reports what they did, and minimises what fails.
 */
#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/log.h"
#include "simulation.h"

enum {
    DEFAULT_SECONDS = 30,
    DEFAULT_NODES = 5,
    SCENARIO_AT_US = 20 * CW_US_PER_S,
    SCENARIO_DURATION_US = 20 * CW_US_PER_S
};

typedef struct settings {
    int         first;
    int         count;
    int         seconds;
    int         nodes;
    int         lease_ms; /**< of a scenario; 0: the default */
    bool        rough;
    bool        trace;
    bool        quiet;
    bool        stop;     /**< at the first failure, without minimising it */
    const char *scenario; /**< NULL: random faults */
} settings_t;

static size_t single_fault(const char *scenario, uint64_t seed, cw_fault_t *fault)
{
    static const struct {
        const char     *name;
        cw_fault_kind_t kind;
    } scenarios[] = {{"leader-kill", CW_FAULT_LEADER_KILL},  {"forwarder-kill", CW_FAULT_FORWARDER_KILL},
                     {"node-stop", CW_FAULT_NODE_STOP},      {"server-leave", CW_FAULT_SERVER_LEAVE},
                     {"server-kill", CW_FAULT_SERVER_KILL},  {"server-pause", CW_FAULT_SERVER_PAUSE},
                     {"leader-pause", CW_FAULT_LEADER_PAUSE}};
    size_t index;

    for (index = 0; index < sizeof(scenarios) / sizeof(scenarios[0]); index++) {
        if (strcmp(scenarios[index].name, scenario) == 0) {
            memset(fault, 0, sizeof(*fault));
            fault->at_us = SCENARIO_AT_US + (cw_time_us_t)(seed * 7919 % 1000000);
            fault->kind = scenarios[index].kind;
            fault->target = (uint32_t)(seed % 8);
            fault->duration_us = SCENARIO_DURATION_US;
            return 1;
        }
    }
    if (strcmp(scenario, "deposed-leader") == 0) {
        return cw_faults_deposed_leader(seed, SCENARIO_AT_US, fault);
    }
    return 0; /* "none" */
}

static void print_result(uint64_t seed, const cw_simulation_result_t *result)
{
    printf(
        "seed %lu: digest %016lx events %lu requests %lu answered %lu not-run %lu unknown %lu in-progress %lu lost %lu "
        "effects %lu (%lu non-repeatable) grants %lu lapses %lu refused %lu plans %lu confirmed %lu stale %lu "
        "leaders %lu recoveries %lu longest-gap %.3f s at %.3f s, %s at end%s%s\n",
        seed, result->digest, result->events, result->requests, result->answered, result->not_run, result->unknown,
        result->in_progress, result->lost_with_gateway, result->effects, result->non_repeatable_effects, result->grants,
        result->lapses, result->fence_refusals, result->plans, result->confirmed, result->stale_plans, result->leaders,
        result->recoveries, (double)result->longest_gap_us / CW_US_PER_S,
        (double)result->longest_gap_end_us / CW_US_PER_S, result->served_at_end ? "served" : "NOT SERVED",
        result->violation[0] == '\0' ? "" : " VIOLATION: ", result->violation);
}

static void print_minimised(const cw_simulation_options_t *options, cw_fault_t *faults, size_t count)
{
    size_t index;

    count = cw_faults_minimise(options, faults, count);
    printf("faults left of seed %lu:\n", options->seed);
    for (index = 0; index < count; index++) {
        cw_fault_print(stdout, &faults[index]);
    }
}

static bool run_seed(const settings_t *settings, uint64_t seed)
{
    cw_simulation_options_t options;
    cw_simulation_result_t  result;
    cw_fault_t              faults[CW_FAULTS_MAX];

    if (settings->scenario != NULL) {
        cw_simulation_options_default(&options);
        options.seed = seed;
        options.lease_ms = settings->lease_ms > 0 ? (uint32_t)settings->lease_ms : options.lease_ms;
    } else {
        cw_simulation_options_for_seed(&options, seed);
    }
    options.nodes = (size_t)settings->nodes;
    options.duration_us = (cw_time_us_t)settings->seconds * CW_US_PER_S;
    options.trace = settings->trace ? stdout : NULL;
    options.faults = faults;
    if (settings->scenario != NULL) {
        options.fault_count = single_fault(settings->scenario, seed, faults);
    } else {
        options.fault_count = cw_faults_generate(seed, options.duration_us, options.nodes, settings->rough, faults);
    }
    cw_simulation_run(&options, &result);
    if (!settings->quiet || result.violation[0] != '\0') {
        print_result(seed, &result);
    }
    if (result.violation[0] != '\0' && !settings->trace && !settings->stop) {
        print_minimised(&options, faults, options.fault_count);
    }
    fflush(stdout);
    return result.violation[0] == '\0';
}

static int run_seeds(const settings_t *settings)
{
    int failed = 0;
    int offset;

    for (offset = 0; offset < settings->count; offset++) {
        failed += !run_seed(settings, (uint64_t)settings->first + (uint64_t)offset);
        if (failed > 0 && settings->stop) {
            offset++;
            break;
        }
    }
    printf("%d seeds, %d failed\n", offset, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
    struct arg_int *first = arg_int0("s", "seed", "N", "first seed (1)");
    struct arg_int *count = arg_int0("n", "seeds", "N", "number of seeds (1)");
    struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "logical time under faults (30)");
    struct arg_int *nodes = arg_int0(NULL, "nodes", "N", "nodes (5)");
    struct arg_int *lease = arg_int0(NULL, "lease-ms", "N", "leases of a scenario (1500)");
    struct arg_lit *rough = arg_lit0(NULL, "rough", "more faults, also losses of the control group's majority");
    struct arg_lit *trace = arg_lit0(NULL, "trace", "print each event of interest");
    struct arg_lit *quiet = arg_lit0("q", "quiet", "print failures only");
    struct arg_lit *stop = arg_lit0(NULL, "stop", "stop at the first failure and do not minimise its faults");
    struct arg_str *scenario =
        arg_str0(NULL, "scenario", "NAME",
                 "one fault only: leader-kill, forwarder-kill, node-stop, server-leave, server-kill, server-pause, "
                 "leader-pause, deposed-leader, none");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(8);
    void           *table[] = {first, count, seconds, nodes, lease, rough, trace, quiet, stop, scenario, help, end};
    settings_t      settings;
    int             status = EXIT_FAILURE;

    first->ival[0] = 1;
    count->ival[0] = 1;
    seconds->ival[0] = DEFAULT_SECONDS;
    nodes->ival[0] = DEFAULT_NODES;
    lease->ival[0] = 0;
    if (arg_parse(argc, argv, table) > 0 || help->count > 0) {
        arg_print_errors(stderr, end, "cw-simulate");
        printf("Usage: cw-simulate");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        arg_freetable(table, sizeof(table) / sizeof(table[0]));
        return help->count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    settings = (settings_t){first->ival[0],   count->ival[0],
                            seconds->ival[0], nodes->ival[0],
                            lease->ival[0],   rough->count > 0,
                            trace->count > 0, quiet->count > 0,
                            stop->count > 0,  scenario->count > 0 ? scenario->sval[0] : NULL};
    cw_log_set_level(CW_LOG_ERROR);
    status = run_seeds(&settings);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
