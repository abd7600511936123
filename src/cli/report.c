/**
 * @file report.c
 * @brief `cedarwinch report`: a report of a run from its logs, as tables and as an HTML page with plots.
 */
#include "cli/cli.h"
#include "cli/log_lines.h"
#include "cli/run_report.h"

static int write_page(const cw_run_report_t *report, const char *file_name)
{
    FILE *file = fopen(file_name, "w");

    if (file == NULL) {
        fprintf(stderr, "cedarwinch: %s cannot be written\n", file_name);
        return CW_EXIT_WRONG_INPUT;
    }
    cw_run_report_write_html(report, file);
    if (fclose(file) != 0) {
        fprintf(stderr, "cedarwinch: %s is not whole\n", file_name);
        return CW_EXIT_WRONG_INPUT;
    }
    return CW_EXIT_DONE;
}

int cw_cli_report(const char *const *files, size_t count, const char *page)
{
    cw_log_lines_t  lines = {0};
    cw_run_report_t report;
    int             code = cw_log_lines_read(&lines, files, count);

    if (code == CW_EXIT_DONE) {
        cw_run_report_make(&report, &lines);
        cw_run_report_write_text(&report, stdout);
        code = page == NULL ? CW_EXIT_DONE : write_page(&report, page);
        cw_run_report_clear(&report);
    }
    cw_log_lines_clear(&lines);
    return code;
}
