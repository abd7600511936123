/**
 * @file run_refusals.c
 * @brief Counts refusals, waits and bytes in log lines, and writes the counts as text and HTML.
 */
#include "cli/run_refusals.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"
#include "base/text.h"
#include "cli/run_report.h"

static const char *const distance_names[CW_DISTANCES] = {"within zones", "to other zones of a region",
                                                         "to other regions"};
static const char *const distance_fields[CW_DISTANCES] = {"sent_zone", "sent_region", "sent_remote"};

/** A name in the table that is used while lines are counted. */
typedef struct counted {
    cw_refusal_count_t row;
    UT_hash_handle     hh;
} counted_t;

/* ---- counting ---- */

static void count_name(counted_t **table, const char *name)
{
    counted_t *entry;

    HASH_FIND_STR(*table, name, entry);
    if (entry == NULL) {
        entry = cw_memory_zeroed(sizeof(*entry));
        cw_text_copy(entry->row.name, sizeof(entry->row.name), name);
        HASH_ADD_STR(*table, row.name, entry);
    }
    entry->row.count++;
}

static int compare_counted(const counted_t *left, const counted_t *right)
{
    if (left->row.count != right->row.count) {
        return left->row.count > right->row.count ? -1 : 1;
    }
    return strcmp(left->row.name, right->row.name);
}

/* Copies the most frequent names of the table and frees the table. */
static void take_largest(cw_refusal_counts_t *counts, counted_t **table)
{
    counted_t *entry;
    counted_t *next;

    HASH_SORT(*table, compare_counted);
    HASH_ITER(hh, *table, entry, next)
    {
        if (counts->count < CW_REFUSALS_NAMED) {
            counts->items[counts->count++] = entry->row;
        } else {
            counts->others++;
            counts->others_sum += entry->row.count;
        }
        HASH_DEL(*table, entry); /* NOLINT(clang-analyzer-unix.Malloc): the analyzer misreads uthash's macros */
        free(entry);
    }
}

static void count_refusal(counted_t **reasons, counted_t **tenants, const cw_log_line_t *line)
{
    const char *mode = cw_log_line_text(line, "limit_mode");
    char        tenant[CW_REFUSALS_TEXT_MAX];
    char        label[CW_REFUSALS_TEXT_MAX];

    snprintf(label, sizeof(label), "%.0f %s%s%s", cw_log_line_number(line, "status"), cw_log_line_text(line, "reason"),
             mode[0] == '\0' ? "" : ", ", mode);
    count_name(reasons, label);
    cw_log_line_tenant(line, tenant, sizeof(tenant));
    if (tenant[0] != '\0') {
        count_name(tenants, tenant);
    }
}

static void count_wait(cw_run_refusals_t *refusals, const cw_log_line_t *line)
{
    double waited_ms = cw_log_line_number(line, "waited_ms");

    refusals->waited++;
    if (waited_ms > refusals->waited_longest_ms) {
        refusals->waited_longest_ms = waited_ms;
        cw_text_copy(refusals->waited_request, sizeof(refusals->waited_request), cw_log_line_text(line, "request"));
        cw_text_copy(refusals->waited_for, sizeof(refusals->waited_for), cw_log_line_text(line, "waited_for"));
    }
}

/* Adds the bytes of a process. Each of the three fields is a text that begins with the sum of its distance. */
static void add_traffic(cw_run_refusals_t *refusals, const cw_log_line_t *line)
{
    int distance;

    refusals->ended++;
    for (distance = 0; distance < CW_DISTANCES; distance++) {
        refusals->sent_bytes[distance] += strtoull(cw_log_line_text(line, distance_fields[distance]), NULL, 10);
    }
}

void cw_run_refusals_make(cw_run_refusals_t *refusals, const cw_log_lines_t *lines)
{
    counted_t *reasons = NULL;
    counted_t *tenants = NULL;
    size_t     index;

    memset(refusals, 0, sizeof(*refusals));
    for (index = 0; index < lines->count; index++) {
        const cw_log_line_t *line = &lines->items[index];

        if (strcmp(line->event, "refused") == 0) {
            count_refusal(&reasons, &tenants, line);
        } else if (strcmp(line->event, "answer waited") == 0) {
            count_wait(refusals, line);
        } else if (strcmp(line->event, "traffic") == 0) {
            add_traffic(refusals, line);
        }
    }
    take_largest(&refusals->reasons, &reasons);
    take_largest(&refusals->tenants, &tenants);
}

/* ---- text ---- */

static void write_counts(const cw_refusal_counts_t *counts, const char *what, FILE *out)
{
    size_t index;

    if (counts->count == 0) {
        return;
    }
    fprintf(out, "\nrefused by %s\n", what);
    for (index = 0; index < counts->count; index++) {
        fprintf(out, "  %8u %s\n", counts->items[index].count, counts->items[index].name);
    }
    if (counts->others > 0) {
        fprintf(out, "  %8u (%zu others)\n", counts->others_sum, counts->others);
    }
}

void cw_run_refusals_write_text(const cw_run_refusals_t *refusals, FILE *out)
{
    int distance;

    write_counts(&refusals->reasons, "reason", out);
    write_counts(&refusals->tenants, "tenant", out);
    if (refusals->waited > 0) {
        fprintf(out, "\nanswers that waited for their turn: %u, the longest %.0f ms (request %s, for %s)\n",
                refusals->waited, refusals->waited_longest_ms, refusals->waited_request, refusals->waited_for);
    }
    for (distance = 0; refusals->ended > 0 && distance < CW_DISTANCES; distance++) {
        fprintf(out, "%sbytes between nodes %s: %" PRIu64 " (%u processes that ended)\n", distance == 0 ? "\n" : "",
                distance_names[distance], refusals->sent_bytes[distance], refusals->ended);
    }
}

/* ---- HTML ---- */

static void write_row(const char *name, uint64_t count, FILE *out)
{
    fprintf(out, "<tr><td>%" PRIu64 "</td><td>", count);
    cw_run_report_write_escaped(name, out);
    fprintf(out, "</td></tr>\n");
}

static void write_table(const cw_refusal_counts_t *counts, const char *head, FILE *out)
{
    size_t index;

    if (counts->count == 0) {
        return;
    }
    fprintf(out, "<h2>%s</h2>\n<table>\n", head);
    for (index = 0; index < counts->count; index++) {
        write_row(counts->items[index].name, counts->items[index].count, out);
    }
    if (counts->others > 0) {
        write_row("(others)", counts->others_sum, out);
    }
    fprintf(out, "</table>\n");
}

void cw_run_refusals_write_html(const cw_run_refusals_t *refusals, FILE *out)
{
    int distance;

    write_table(&refusals->reasons, "Refused by reason", out);
    write_table(&refusals->tenants, "Refused by tenant", out);
    if (refusals->waited > 0) {
        fprintf(out, "<p>Answers that waited for their turn: %u, the longest %.0f ms (request ", refusals->waited,
                refusals->waited_longest_ms);
        cw_run_report_write_escaped(refusals->waited_request, out);
        fprintf(out, ", for ");
        cw_run_report_write_escaped(refusals->waited_for, out);
        fprintf(out, ")</p>\n");
    }
    if (refusals->ended == 0) {
        return;
    }
    fprintf(out, "<h2>Bytes between nodes, of %u processes that ended</h2>\n<table>\n", refusals->ended);
    for (distance = 0; distance < CW_DISTANCES; distance++) {
        write_row(distance_names[distance], refusals->sent_bytes[distance], out);
    }
    fprintf(out, "</table>\n");
}
