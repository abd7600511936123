/**
 * @file main.c
 * @brief Command line of the lease simulator: runs a range of seeds and prints one line for each, or with
 *        --quiet for each that shows a violation.
 *
 * Exit codes: 0 no violation, 1 violations, 2 wrong command line.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "lease_sim.h"

enum { EXIT_VIOLATIONS = 1, EXIT_INVALID_ARGUMENTS = 2, ERRORS_MAX = 10 };

static void print_late_grants(const cw_sim_late_grants_t *late)
{
    if (late->at_work > 0) {
        printf("    %llu requests beside another owner's, right after a late grant\n",
               (unsigned long long)late->at_work);
    }
    if (late->drawn + late->in_socket + late->in_sender + late->later_life > 0) {
        printf("    late grants that no sender can prevent, by cells: %llu at random, %llu from sockets, %llu that "
               "left late "
               "(%llu waited for a connection), %llu in a later life; written %lld us at most after an answer\n",
               (unsigned long long)late->drawn, (unsigned long long)late->in_socket,
               (unsigned long long)late->in_sender, (unsigned long long)late->waited,
               (unsigned long long)late->later_life, (long long)late->longest);
    }
}

static void print_result(uint64_t seed, const cw_sim_result_t *result)
{
    uint32_t index;

    printf("seed %llu: %llu requests, %llu turned away, %llu unrouted, %llu grants, %llu moves, %llu leaders, "
           "%llu restores, %llu continued, %llu stops, %llu orders from sockets (%llu grants), %llu orders left late, "
           "overlap %lld ms, %u violations%s\n",
           (unsigned long long)seed, (unsigned long long)result->requests, (unsigned long long)result->turned_away,
           (unsigned long long)result->unrouted, (unsigned long long)result->grants, (unsigned long long)result->moves,
           (unsigned long long)result->leaders, (unsigned long long)result->restores,
           (unsigned long long)result->continued, (unsigned long long)result->stops,
           (unsigned long long)result->from_socket, (unsigned long long)result->grants_from_socket,
           (unsigned long long)result->departures, (long long)result->longest_overlap / 1000, result->violations,
           result->served_at_end ? "" : ", NOT SERVED at the end");
    for (index = 0; index < result->violations && index < CW_SIM_VIOLATIONS_MAX; index++) {
        printf("    %s\n", result->violation[index]);
    }
    print_late_grants(&result->late);
}

typedef void (*set_settings_t)(cw_sim_settings_t *settings, uint64_t seed);

static int run(uint64_t first, uint64_t seeds, set_settings_t set_settings, bool unchecked, bool quiet, bool trace)
{
    uint64_t seed;
    uint64_t failed = 0;

    for (seed = first; seed < first + seeds; seed++) {
        cw_sim_settings_t settings;
        cw_sim_result_t   result;

        set_settings(&settings, seed);
        settings.leaves_unchecked = unchecked;
        settings.trace = trace;
        cw_sim_run(&settings, &result);
        failed += result.violations > 0 || !result.served_at_end ? 1 : 0;
        if (!quiet || result.violations > 0 || !result.served_at_end) {
            print_result(seed, &result);
        }
    }
    printf("%llu seeds, %llu with a violation or not served at the end\n", (unsigned long long)seeds,
           (unsigned long long)failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_VIOLATIONS;
}

int main(int argument_count, char **arguments)
{
    struct arg_int *first = arg_int0("s", "seed", "N", "first seed; default 1");
    struct arg_int *seeds = arg_int0("n", "seeds", "N", "how many; default 1");
    struct arg_lit *restores = arg_lit0("r", "restores", "the store also comes back from copies");
    struct arg_lit *lists =
        arg_lit0("l", "lists", "nodes go by lists of servers that lag, orders wait for connections");
    struct arg_lit *stops =
        arg_lit0("p", "stops", "the same, servers also stand still, and orders leave their sender's kernel late");
    struct arg_lit *unchecked = arg_lit0("u", "unchecked", "orders leave without a second check of the authority");
    struct arg_lit *quiet = arg_lit0("q", "quiet", "only seeds that show a violation");
    struct arg_lit *trace = arg_lit0("t", "trace", "each decision of the leaders");
    struct arg_lit *help = arg_lit0("h", "help", "this text");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void           *table[] = {first, seeds, restores, lists, stops, unchecked, quiet, trace, help, end};
    int             errors = arg_parse(argument_count, arguments, table);
    set_settings_t  set_settings = stops->count > 0      ? cw_sim_settings_with_stops
                                   : lists->count > 0    ? cw_sim_settings_with_lagging_lists
                                   : restores->count > 0 ? cw_sim_settings_with_restores
                                                         : cw_sim_settings_with_faults;
    int             code;

    if (help->count > 0) {
        printf("Usage: cw-lease");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-18s %s\n");
        code = EXIT_SUCCESS;
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "cw-lease");
        code = EXIT_INVALID_ARGUMENTS;
    } else {
        code = run(first->count > 0 ? (uint64_t)first->ival[0] : 1, seeds->count > 0 ? (uint64_t)seeds->ival[0] : 1,
                   set_settings, unchecked->count > 0, quiet->count > 0, trace->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
