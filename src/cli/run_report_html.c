/**
 * @file run_report_html.c
 * @brief Writes a run's report as one HTML page with plots in SVG. Names come from logs and are therefore escaped.
 */
#include "cli/run_report.h"

enum { PLOT_WIDTH = 900, PLOT_HEIGHT = 160, ROW_HEIGHT = 18, LABEL_WIDTH = 90, MARGIN = 20 };

static const char *const outcome_colours[CW_OUTCOMES] = {"#4c9f70", "#e0b040", "#d9773b",
                                                         "#b04a5a", "#8a8a8a", "#402030"};
static const char *const owner_colours[] = {"#4878a8", "#a86848", "#5a9a5a", "#9a5a9a", "#a8a048", "#48a0a0"};

void cw_run_report_write_escaped(const char *text, FILE *out)
{
    for (; *text != '\0'; text++) {
        switch (*text) {
        case '<':
            fputs("&lt;", out);
            break;
        case '>':
            fputs("&gt;", out);
            break;
        case '&':
            fputs("&amp;", out);
            break;
        case '"':
            fputs("&quot;", out);
            break;
        default:
            fputc(*text, out);
        }
    }
}

static uint32_t sum_of(const cw_report_cell_t *cell)
{
    uint32_t sum = 0;
    int      outcome;

    for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
        sum += cell->counts[outcome];
    }
    return sum;
}

static void write_legend(FILE *out)
{
    int outcome;

    fprintf(out, "<p>");
    for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
        fprintf(out, "<span class=\"box\" style=\"background:%s\"></span>%s ", outcome_colours[outcome],
                cw_report_outcome_names[outcome]);
    }
    fprintf(out, "</p>\n");
}

/* Draws a bar for each second, divided by the outcomes of its requests. */
static void write_bars(const cw_run_report_t *report, const cw_report_service_t *service, FILE *out)
{
    uint32_t requests_max = 1;
    double   width = (double)PLOT_WIDTH / (double)(report->seconds == 0 ? 1 : report->seconds);
    size_t   second;
    int      outcome;

    for (second = 0; second < report->seconds; second++) {
        requests_max =
            sum_of(&service->by_second[second]) > requests_max ? sum_of(&service->by_second[second]) : requests_max;
    }
    fprintf(out, "<svg width=\"%d\" height=\"%d\">\n", PLOT_WIDTH + LABEL_WIDTH, PLOT_HEIGHT + MARGIN);
    for (second = 0; second < report->seconds; second++) {
        double top = PLOT_HEIGHT;

        for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
            uint32_t count = service->by_second[second].counts[outcome];
            double   height = (double)count * PLOT_HEIGHT / requests_max;

            top -= height;
            if (count > 0) {
                fprintf(out,
                        "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"><title>second %zu, "
                        "%s: %u</title></rect>\n",
                        LABEL_WIDTH + (double)second * width, top, width * 0.9, height, outcome_colours[outcome],
                        second, cw_report_outcome_names[outcome], count);
            }
        }
    }
    fprintf(out, "<text x=\"0\" y=\"12\">%u a second</text><text x=\"%d\" y=\"%d\">0 s</text>", requests_max,
            LABEL_WIDTH, PLOT_HEIGHT + MARGIN - 4);
    fprintf(out, "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%zu s</text></svg>\n", PLOT_WIDTH + LABEL_WIDTH,
            PLOT_HEIGHT + MARGIN - 4, report->seconds);
}

/* Draws a row for each of the hottest keys, with the periods of its owners. */
static void write_owners(const cw_run_report_t *report, const cw_report_service_t *service, FILE *out)
{
    double scale = (double)PLOT_WIDTH / (double)(report->seconds == 0 ? 1 : report->seconds);
    size_t place;
    size_t index;

    if (service->hot_count == 0) {
        return;
    }
    fprintf(out, "<h3>Hottest keys and their owners</h3>\n<svg width=\"%d\" height=\"%zu\">\n",
            PLOT_WIDTH + LABEL_WIDTH, service->hot_count * ROW_HEIGHT);
    for (place = 0; place < service->hot_count; place++) {
        const cw_report_key_t *hot = &service->hot[place];

        fprintf(out, "<text x=\"0\" y=\"%zu\">%u (%u)</text>\n", place * ROW_HEIGHT + 13, hot->key, hot->requests);
        for (index = 0; index < hot->owner_count; index++) {
            const cw_report_owner_t *owner = &hot->owners[index];

            fprintf(out, "<rect x=\"%.1f\" y=\"%zu\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%.1f to %.1f s: ",
                    LABEL_WIDTH + owner->from * scale, place * ROW_HEIGHT + 2, (owner->to - owner->from) * scale + 1,
                    ROW_HEIGHT - 4, owner_colours[index % (sizeof(owner_colours) / sizeof(owner_colours[0]))],
                    owner->from, owner->to);
            cw_run_report_write_escaped(owner->server, out);
            fprintf(out, "</title></rect>\n");
        }
    }
    fprintf(out, "</svg>\n");
}

static void write_moves(const cw_run_report_t *report, FILE *out)
{
    size_t index;

    fprintf(out, "<h2>Moves</h2>\n<table><tr><th>at, s</th><th>service</th><th>keys</th><th>from</th><th>to</th><th>how"
                 "</th><th>granted, s</th><th>refused meanwhile</th></tr>\n");
    for (index = 0; index < report->move_count; index++) {
        const cw_report_move_t *move = &report->moves[index];

        fprintf(out, "<tr><td>%.2f</td><td>", move->released);
        cw_run_report_write_escaped(move->service, out);
        fprintf(out, "</td><td>%u-%u</td><td>", move->low, move->last);
        cw_run_report_write_escaped(move->from, out);
        fprintf(out, "</td><td>");
        cw_run_report_write_escaped(move->to, out);
        fprintf(out, "</td><td>");
        cw_run_report_write_escaped(move->how, out);
        fprintf(out, "</td><td>%.2f</td><td>%u</td></tr>\n", move->granted, move->refused);
    }
    fprintf(out, "</table>\n");
}

void cw_run_report_write_html(const cw_run_report_t *report, FILE *out)
{
    size_t index;

    fprintf(out,
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Run report</title><style>"
            "body{font:14px sans-serif;margin:24px}svg text{font:11px sans-serif}td,th{padding:2px 8px;"
            "text-align:left}table{border-collapse:collapse}tr:nth-child(even){background:#f2f2f2}"
            ".box{display:inline-block;width:11px;height:11px;margin:0 4px 0 12px}</style></head><body>\n"
            "<h1>Run report</h1>\n<p>%zu seconds, %zu services.",
            report->seconds, report->service_count);
    if (report->dropped > 0) {
        fprintf(out, " %u log lines were dropped, so counts are too low.", report->dropped);
    }
    fprintf(out, "</p>\n");
    write_legend(out);
    for (index = 0; index < report->service_count; index++) {
        fprintf(out, "<h2>");
        cw_run_report_write_escaped(report->services[index].name, out);
        fprintf(out, "</h2>\n");
        write_bars(report, &report->services[index], out);
        write_owners(report, &report->services[index], out);
    }
    write_moves(report, out);
    cw_run_refusals_write_html(&report->refusals, out);
    fprintf(out, "</body></html>\n");
}
