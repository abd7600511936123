/**
 * @file run_report_text.c
 * @brief Writes a run's report as tables of text.
 */
#include "cli/run_report.h"

static void write_cell(const cw_report_cell_t *cell, FILE *out)
{
    int outcome;

    for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
        fprintf(out, " %14u", cell->counts[outcome]);
    }
    fprintf(out, "\n");
}

static bool is_empty(const cw_report_cell_t *cell)
{
    int outcome;

    for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
        if (cell->counts[outcome] != 0) {
            return false;
        }
    }
    return true;
}

static void write_service(const cw_run_report_t *report, const cw_report_service_t *service, FILE *out)
{
    size_t second;
    int    outcome;

    fprintf(out, "\n%s\n  second", service->name);
    for (outcome = 0; outcome < CW_OUTCOMES; outcome++) {
        fprintf(out, " %14s", cw_report_outcome_names[outcome]);
    }
    fprintf(out, "\n");
    for (second = 0; second < report->seconds; second++) {
        if (!is_empty(&service->by_second[second])) {
            fprintf(out, "  %6zu", second);
            write_cell(&service->by_second[second], out);
        }
    }
    fprintf(out, "  all   ");
    write_cell(&service->all, out);
}

static void write_key(const cw_report_key_t *hot, FILE *out)
{
    size_t index;

    fprintf(out, "  key %5u: %u requests, %u in aim, %u late; owners", hot->key, hot->requests,
            hot->outcomes.counts[CW_OUTCOME_IN_AIM], hot->outcomes.counts[CW_OUTCOME_LATE]);
    for (index = 0; index < hot->owner_count; index++) {
        fprintf(out, " %s (%.1f-%.1f s)", hot->owners[index].server, hot->owners[index].from, hot->owners[index].to);
    }
    fprintf(out, "\n");
}

static void write_moves(const cw_run_report_t *report, FILE *out)
{
    size_t index;

    fprintf(out, "\nmoves: %zu\n", report->move_count);
    for (index = 0; index < report->move_count; index++) {
        const cw_report_move_t *move = &report->moves[index];

        fprintf(out, "  %7.2f s %s keys %u-%u from %s to %s: %s, ", move->released, move->service, move->low,
                move->last, move->from[0] == '\0' ? "-" : move->from, move->to, move->how);
        if (move->granted > 0) {
            fprintf(out, "granted at %.2f s, %u refused meanwhile\n", move->granted, move->refused);
        } else {
            fprintf(out, "no grant seen\n");
        }
    }
}

void cw_run_report_write_text(const cw_run_report_t *report, FILE *out)
{
    size_t index;
    size_t place;

    fprintf(out, "%zu seconds, %zu services", report->seconds, report->service_count);
    fprintf(out, report->dropped == 0 ? "\n" : "; %u log lines were dropped, so counts are too low\n", report->dropped);
    for (index = 0; index < report->service_count; index++) {
        write_service(report, &report->services[index], out);
        for (place = 0; place < report->services[index].hot_count; place++) {
            write_key(&report->services[index].hot[place], out);
        }
    }
    write_moves(report, out);
    cw_run_refusals_write_text(&report->refusals, out);
}
