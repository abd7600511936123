/**
 * @file main.c
 * @brief Command line of the daemon.
 *
 * Exit codes: 0 stopped as planned (or settings are right, with --check), 1 could not start, 2 wrong command line or
 * settings.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "cedarwinch/error.h"
#include "cedarwinch/version.h"
#include "daemon/daemon.h"

enum { EXIT_NOT_STARTED = 1, EXIT_WRONG_INPUT = 2, OVERRIDES_MAX = 64, ERRORS_MAX = 20 };

static int read_settings(cw_settings_t *settings, const char *file_name, const struct arg_str *overrides)
{
    cw_findings_t findings;
    int           position;
    size_t        count;

    cw_findings_init(&findings);
    cw_settings_default(settings);
    (void)cw_settings_read(settings, file_name, &findings);
    for (position = 0; position < overrides->count; position++) {
        (void)cw_settings_override(settings, overrides->sval[position], &findings);
    }
    (void)cw_settings_check(settings, file_name, &findings);
    cw_findings_print(&findings, stderr);
    count = findings.count;
    cw_findings_clear(&findings);
    return count == 0 ? CW_OK : CW_ERROR_PARSE;
}

static int run(const char *file_name, const struct arg_str *overrides, bool check_only)
{
    cw_settings_t settings;
    char          identity[32];
    int           error;

    if (read_settings(&settings, file_name, overrides) != CW_OK) {
        cw_settings_clear(&settings);
        return EXIT_WRONG_INPUT;
    }
    if (check_only) {
        printf("%s: no findings\n", file_name);
        cw_settings_clear(&settings);
        return EXIT_SUCCESS;
    }
    snprintf(identity, sizeof(identity), "node=%u", settings.node_id);
    cw_log_set_identity(identity);
    cw_log_set_level(settings.log_level);
    error = cw_daemon_run(&settings);
    cw_settings_clear(&settings);
    return error == CW_OK ? EXIT_SUCCESS : EXIT_NOT_STARTED;
}

int main(int argument_count, char **arguments)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit *version = arg_lit0(NULL, "version", "print the version and exit");
    struct arg_lit *check = arg_lit0(NULL, "check", "check the settings, print every finding, exit");
    struct arg_str *overrides =
        arg_strn(NULL, "set", "KEY=VALUE", 0, OVERRIDES_MAX, "set a key of the settings file; may be repeated");
    struct arg_file *file = arg_file0("c", "settings", "FILE", "settings file (YAML)");
    struct arg_end  *end = arg_end(ERRORS_MAX);
    void            *table[] = {help, version, check, overrides, file, end};
    int              errors = arg_parse(argument_count, arguments, table);
    int              status = EXIT_SUCCESS;

    if (help->count > 0) {
        printf("Usage: cedarwinchd");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-25s %s\n");
    } else if (version->count > 0) {
        printf("cedarwinchd %s\n", CW_VERSION);
    } else if (errors > 0 || file->count == 0) {
        arg_print_errors(stderr, end, "cedarwinchd");
        fprintf(stderr, "cedarwinchd: --settings FILE is needed; see cedarwinchd --help\n");
        status = EXIT_WRONG_INPUT;
    } else {
        status = run(file->filename[0], overrides, check->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}
