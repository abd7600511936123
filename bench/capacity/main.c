/**
 * @file main.c
 * @brief Command line of the capacity tool: measures slopes, writes them as JSON, and renews the tables of a page.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "cedarwinch/error.h"
#include "page.h"
#include "target.h"

enum { NODES_MAX = 10000, ERRORS_SHOWN = 10, ONLY_MAX = 16 };

/** A measurement by name, in the order in which they run. */
typedef struct measurement {
    const char           *name;
    cw_capacity_measure_t run;
} measurement_t;

static const measurement_t measurements[] = {
    {"state", cw_capacity_measure_state},
    {"relay", cw_capacity_measure_relay},
    {"gateway", cw_capacity_measure_gateway},
    {"forwarder", cw_capacity_measure_forwarder},
    {"raft", cw_capacity_measure_raft},
    {"control", cw_capacity_measure_control},
    {"control-changes", cw_capacity_measure_control_changes},
    {"failover", cw_capacity_measure_failover},
};

typedef struct flags {
    struct arg_str *only;
    struct arg_int *nodes_max;
    struct arg_str *run;
    struct arg_str *json;
    struct arg_str *page;
    struct arg_lit *help;
    struct arg_end *end;
} flags_t;

static void declare_flags(flags_t *flags)
{
    flags->only = arg_strn(NULL, "only", "NAME", 0, ONLY_MAX, "run only this measurement (repeatable)");
    flags->nodes_max = arg_int0(NULL, "nodes-max", "N", "largest number of hollow relays (10000)");
    flags->run = arg_str0(NULL, "run", "TEXT", "what this run is called in the output");
    flags->json = arg_str0(NULL, "json", "FILE", "write the series as JSON");
    flags->page = arg_str0(NULL, "page", "FILE", "renew the generated parts of this page");
    flags->help = arg_lit0("h", "help", "print this text");
    flags->end = arg_end(ERRORS_SHOWN);
    flags->nodes_max->ival[0] = NODES_MAX;
    flags->run->sval[0] = "unnamed";
}

static bool is_chosen(const flags_t *flags, const char *name)
{
    int position;

    for (position = 0; position < flags->only->count; position++) {
        if (strcmp(flags->only->sval[position], name) == 0) {
            return true;
        }
    }
    return flags->only->count == 0;
}

static int renew_part(char **page, const char *name, const char *text)
{
    char *renewed = cw_capacity_page_replace(*page, name, text);

    if (renewed == NULL) {
        fprintf(stderr, "capacity: the page has no part \"%s\"\n", name);
        return CW_ERROR_NOT_FOUND;
    }
    free(*page);
    *page = renewed;
    return CW_OK;
}

static void write_run(const cw_capacity_bench_t *bench, const char *run, FILE *file)
{
    fprintf(file,
            "Run of the figures below: %s. Largest tree: %zu nodes, of which %zu real relays, %zu MB allocated.\n", run,
            bench->nodes_run, bench->nodes_real, bench->memory_most >> 20);
    fprintf(file, "Processor time of this run: %s.\n",
            cw_capacity_meter_counts(&bench->meter) ? "user cycles and instructions by hardware counters"
                                                    : "processor clock of the process");
}

/** Writers of the generated parts, each into memory. */
static char *part_text(const char *name, const cw_capacity_bench_t *bench, const char *run)
{
    char  *text = NULL;
    size_t length = 0;
    FILE  *file = open_memstream(&text, &length);

    if (strcmp(name, "size") == 0) {
        cw_capacity_target_write_size(file);
    } else if (strcmp(name, "needs") == 0) {
        cw_capacity_target_write(&bench->results, file);
    } else if (strcmp(name, "slopes") == 0) {
        cw_capacity_results_write_markdown(&bench->results, file);
    } else {
        write_run(bench, run, file);
    }
    fclose(file);
    return text;
}

static int renew_page(const cw_capacity_bench_t *bench, const char *run, const char *file_name)
{
    static const char *const parts[] = {"run", "size", "needs", "slopes"};
    char                    *page = cw_capacity_page_read(file_name);
    int                      error = page == NULL ? CW_ERROR_IO : CW_OK;
    size_t                   position;

    for (position = 0; error == CW_OK && position < sizeof(parts) / sizeof(parts[0]); position++) {
        char *text = part_text(parts[position], bench, run);

        error = renew_part(&page, parts[position], text);
        free(text);
    }
    if (error == CW_OK) {
        error = cw_capacity_page_write(file_name, page);
    }
    free(page);
    return error;
}

static int write_results(const flags_t *flags, const cw_capacity_bench_t *bench)
{
    int error = CW_OK;

    cw_capacity_results_write_markdown(&bench->results, stdout);
    cw_capacity_target_write(&bench->results, stdout);
    if (flags->json->count > 0) {
        error = cw_capacity_results_write_json(&bench->results, flags->run->sval[0], flags->json->sval[0]);
    }
    if (error == CW_OK && flags->page->count > 0) {
        error = renew_page(bench, flags->run->sval[0], flags->page->sval[0]);
    }
    return error;
}

static int run_all(const flags_t *flags)
{
    cw_capacity_bench_t *bench = calloc(1, sizeof(*bench));
    int                  error;
    size_t               position;

    if (bench == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    bench->nodes_max = (size_t)flags->nodes_max->ival[0];
    cw_capacity_meter_open(&bench->meter);
    for (position = 0; position < sizeof(measurements) / sizeof(measurements[0]); position++) {
        if (is_chosen(flags, measurements[position].name)) {
            measurements[position].run(bench);
        }
    }
    cw_capacity_results_fit(&bench->results);
    error = write_results(flags, bench);
    cw_capacity_meter_close(&bench->meter);
    free(bench);
    return error;
}

int main(int argc, char **argv)
{
    flags_t flags;
    void   *table[sizeof(flags) / sizeof(void *)];
    int     faults;
    int     error = CW_OK;

    declare_flags(&flags);
    memcpy(table, &flags, sizeof(table));
    faults = arg_parse(argc, argv, table);
    if (flags.help->count > 0 || faults > 0) {
        arg_print_errors(stderr, flags.end, "cw-capacity");
        arg_print_glossary(stdout, table, "  %-20s %s\n");
    } else {
        error = run_all(&flags);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return faults > 0 || error != CW_OK ? EXIT_FAILURE : EXIT_SUCCESS;
}
