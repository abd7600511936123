/**
 * @file main.c
 * @brief Command line of the evidence checker: reads records, prints a table and the violations, exits 1 on any.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "evidence.h"

enum { LOADS_MAX = 64, FILES_MAX = 4096, ERRORS_SHOWN = 10, EXIT_USAGE = 2 };

static int read_all(struct arg_file *files, bool is_load, cw_records_t *records, cw_violations_t *violations)
{
    int i;

    for (i = 0; i < files->count; i++) {
        if (cw_records_read(records, files->filename[i], is_load, violations) != CW_OK) {
            perror(files->filename[i]);
            return CW_ERROR_IO;
        }
    }
    return CW_OK;
}

static void check_all(cw_records_t *records, cw_violations_t *violations)
{
    cw_records_sort(records);
    cw_check_ownership(records, violations);
    cw_check_fences(records, violations);
    cw_check_requests(records, violations);
}

static int report(const cw_records_t *records, const cw_violations_t *violations, struct arg_file *json)
{
    cw_summary_print(records, stdout);
    printf("records: %zu events of %zu server processes, %zu answers\n", records->event_count, records->life_count,
           records->answer_count);
    cw_violations_print(violations, stdout);
    printf("%" PRIu64 " violations\n", violations->total);
    if (json->count > 0 && cw_summary_write_json(records, violations, json->filename[0]) != CW_OK) {
        perror(json->filename[0]);
        return EXIT_USAGE;
    }
    return violations->total == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
    struct arg_file       *loads = arg_filen(NULL, "load", "FILE", 0, LOADS_MAX, "record of a load tool");
    struct arg_file       *json = arg_file0(NULL, "json", "FILE", "write the report as JSON");
    struct arg_file       *servers = arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "records of back-end servers");
    struct arg_lit        *help = arg_lit0("h", "help", "print this text");
    struct arg_end        *end = arg_end(ERRORS_SHOWN);
    void                  *table[] = {loads, json, servers, help, end};
    cw_records_t           records = {0};
    static cw_violations_t violations;
    int                    errors = arg_parse(argc, argv, table);
    int                    code;

    if (help->count > 0) {
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        return EXIT_SUCCESS;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
        return EXIT_USAGE;
    }
    if (read_all(loads, true, &records, &violations) != CW_OK ||
        read_all(servers, false, &records, &violations) != CW_OK) {
        return EXIT_USAGE;
    }
    check_all(&records, &violations);
    code = report(&records, &violations, json);
    cw_records_clear(&records);
    return code;
}
