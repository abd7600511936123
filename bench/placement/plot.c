/**
 * @file plot.c
 * @brief SVG of the load of each server over time.
 */
#include "cedarwinch/error.h"
#include "report.h"

enum { PANEL_WIDTH = 760, PANEL_HEIGHT = 150, MARGIN = 40, TITLE_HEIGHT = 24, WINDOWS_PER_POINT = 3, WINDOW_S = 10 };

static const double LOAD_SHOWN = 3.0; /* top of a panel, over the mean */

static double height_of(double load)
{
    double shown = load > LOAD_SHOWN ? LOAD_SHOWN : load;

    return PANEL_HEIGHT * (1.0 - shown / LOAD_SHOWN);
}

static void draw_frame(FILE *file, const char *name, const bench_result_t *result)
{
    fprintf(file,
            "<text x=\"0\" y=\"-6\">%s: imbalance %.2f, turnovers/h %.1f, score "
            "%.1f</text>\n",
            name, result->imbalance, result->turnovers, result->score);
    fprintf(file, "<rect width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#999\"/>\n", PANEL_WIDTH, PANEL_HEIGHT);
    fprintf(file,
            "<path d=\"M0 %.0fH%dM0 %.0fH%d\" stroke=\"#999\" "
            "stroke-dasharray=\"4\"/>\n",
            height_of(1.0), PANEL_WIDTH, height_of(1.25), PANEL_WIDTH);
    fprintf(file,
            "<text x=\"-34\" y=\"%.0f\">1.25</text><text x=\"-34\" "
            "y=\"%.0f\">1.00</text>\n",
            height_of(1.25) + 2, height_of(1.0) + 8);
}

static void draw_server(FILE *file, const bench_result_t *result, size_t server)
{
    size_t points = result->window_count / WINDOWS_PER_POINT;
    size_t point;
    size_t part;
    double load;

    fprintf(file, "<polyline fill=\"none\" stroke=\"hsl(%zu,60%%,45%%)\" points=\"", server * 67 % 360);
    for (point = 0; point < points; point++) {
        load = 0;
        for (part = 0; part < WINDOWS_PER_POINT; part++) {
            load += result->window_loads[point * WINDOWS_PER_POINT + part][server] / WINDOWS_PER_POINT;
        }
        fprintf(file, "%.0f,%.1f ", (double)point * PANEL_WIDTH / (double)points, height_of(load));
    }
    fprintf(file, "\"/>\n");
}

int bench_plot(const char *path, const bench_scenario_t *scenario, const bench_result_t *results)
{
    FILE  *file = fopen(path, "w");
    size_t height = bench_planner_count * (PANEL_HEIGHT + MARGIN) + TITLE_HEIGHT;
    size_t planner;
    size_t server;

    if (file == NULL) {
        return CW_ERROR_IO;
    }
    fprintf(file,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%zu\" font-family=\"sans-serif\" "
            "font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" "
            "fill=\"white\"/>\n",
            PANEL_WIDTH + 2 * MARGIN, height);
    fprintf(file,
            "<text x=\"%d\" y=\"16\">%s, %s: load of each server over the mean, "
            "30 s averages, %zu s</text>\n",
            MARGIN, scenario->name, scenario->deployment->name, results[0].window_count * WINDOW_S);
    for (planner = 0; planner < bench_planner_count; planner++) {
        fprintf(file, "<g transform=\"translate(%d %zu)\">\n", MARGIN,
                planner * (PANEL_HEIGHT + MARGIN) + MARGIN + TITLE_HEIGHT / 2);
        draw_frame(file, bench_planners[planner].name, &results[planner]);
        for (server = 0; server < scenario->deployment->servers; server++) {
            draw_server(file, &results[planner], server);
        }
        fprintf(file, "</g>\n");
    }
    fprintf(file, "</svg>\n");
    return fclose(file) == 0 ? CW_OK : CW_ERROR_IO;
}
