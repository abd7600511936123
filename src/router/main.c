/**
 * @file main.c
 * @brief Command line of a router node.
 *
 * Exit codes: 0 stopped as planned (with --check: the settings are valid), 1 could not start, 2 invalid command line or
 * settings.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/error.h"
#include "base/fatal_signal.h"
#include "base/memory.h"
#include "base/version.h"
#include "router/router.h"

enum { EXIT_NOT_STARTED = 1, EXIT_WRONG_INPUT = 2, ERRORS_MAX = 20 };

static int run(const char *file_name, bool check_only)
{
    cw_router_settings_t settings;
    cw_findings_t        findings;
    size_t               count;

    (void)signal(SIGHUP, SIG_IGN); /* until the node handles it: SIGHUP requests that the settings be read, which
                                      happens now in any case */
    cw_findings_init(&findings);
    (void)cw_router_settings_read(&settings, file_name, &findings);
    cw_findings_print(&findings, stderr);
    count = findings.count;
    cw_findings_clear(&findings);
    if (count > 0) {
        return EXIT_WRONG_INPUT;
    }
    if (check_only) {
        printf("%s: no findings\n", file_name);
        return EXIT_SUCCESS;
    }
    cw_memory_map_large();
    cw_fatal_signal_install(settings.node);
    return cw_router_run(&settings, file_name, &cw_adapter) == 0 ? EXIT_SUCCESS : EXIT_NOT_STARTED;
}

int main(int argument_count, char **arguments)
{
    struct arg_file *file =
        arg_file0("s", "settings", "FILE", "settings; default: the file that CEDARWINCH_SETTINGS names");
    struct arg_lit *check = arg_lit0("c", "check", "read and check the settings, then end");
    struct arg_lit *help = arg_lit0("h", "help", "this text");
    struct arg_lit *version = arg_lit0("V", "version", "version");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void           *table[] = {file, check, help, version, end};
    int             errors = arg_parse(argument_count, arguments, table);
    const char     *file_name = file->count > 0 ? file->filename[0] : getenv("CEDARWINCH_SETTINGS");
    int             code;

    if (help->count > 0) {
        printf("Usage: cedarwinchd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-22s %s\n");
        code = EXIT_SUCCESS;
    } else if (version->count > 0) {
        printf("cedarwinchd %s\n", CW_VERSION);
        code = EXIT_SUCCESS;
    } else if (errors > 0 || file_name == NULL) {
        arg_print_errors(stderr, end, "cedarwinchd");
        fprintf(stderr, "cedarwinchd: --settings FILE is needed; see --help\n");
        code = EXIT_WRONG_INPUT;
    } else {
        code = run(file_name, check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
