/**
 * @file report.c
 * @brief Tables in Markdown, and regression bounds.
 */
#include "report.h"

#include <string.h>

#include "cedarwinch/error.h"

enum { LINE_MAX_BYTES = 256 };

void bench_report_header(FILE *file)
{
    fprintf(file, "| scenario | planner | imbalance | p99 of it | above 1.25 | "
                  "turnovers/h | least | unavailable p50 s | "
                  "p99 s | total key-s | p50 ms | p99 ms | failed | hot key "
                  "alone after s | ranges most, end | score |\n");
    fprintf(file, "| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: | "
                  "--: | --: | --: | --: | --: | --: |\n");
}

void bench_report_row(FILE *file, const bench_scenario_t *scenario, const bench_planner_t *planner,
                      const bench_result_t *result)
{
    fprintf(file, "| %s | %s | %.3f | %.2f | %.1f %% | %.2f | %.2f | ", scenario->name, planner->name,
            result->imbalance, result->imbalance_late, 100 * result->time_above, result->turnovers,
            result->least_turnovers);
    fprintf(file, "%.3f | %.3f | %.0f | ", result->unavailable_p50_s, result->unavailable_p99_s,
            result->unavailable_total_s);
    fprintf(file, "%.1f | %.1f | %llu | ", result->latency_p50_ms, result->latency_p99_ms,
            (unsigned long long)result->failed);
    fprintf(file, "%.0f | %zu, %zu | %.2f |\n", result->split_late_s, result->ranges_most, result->ranges_end,
            result->score);
}

static bool within(const char *scenario, const char *what, double value, double bound)
{
    if (value <= bound) {
        return true;
    }
    fprintf(stderr, "%s: %s is %.3f, above its bound %.3f\n", scenario, what, value, bound);
    return false;
}

int bench_check_bounds(FILE *bounds, const bench_scenario_t *scenario, const bench_result_t *result)
{
    char   line[LINE_MAX_BYTES];
    char   name[LINE_MAX_BYTES];
    double imbalance;
    double turnovers;
    double unavailable_s;
    double latency_ms;
    double score;
    bool   good;

    rewind(bounds);
    while (fgets(line, sizeof(line), bounds) != NULL) {
        if (line[0] == '#' ||
            sscanf(line, "%255s %lf %lf %lf %lf %lf", name, &imbalance, &turnovers, &unavailable_s, &latency_ms,
                   &score) != 6 ||
            strcmp(name, scenario->name) != 0) {
            continue;
        }
        good = within(name, "imbalance", result->imbalance, imbalance);
        good = within(name, "turnovers an hour", result->turnovers, turnovers) && good;
        good = within(name, "unavailable key seconds", result->unavailable_total_s, unavailable_s) && good;
        good = within(name, "p99 latency in ms", result->latency_p99_ms, latency_ms) && good;
        good = within(name, "score", result->score, score) && good;
        return good ? CW_OK : CW_ERROR_INVALID;
    }
    fprintf(stderr, "%s: no bounds\n", scenario->name);
    return CW_ERROR_INVALID;
}
