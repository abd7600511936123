/**
 * @file results.c
 * @brief Registry of series and its printed forms.
 */
#include "results.h"

#include <jansson.h>
#include <string.h>

#include "cedarwinch/error.h"

static cw_capacity_series_t *find_series(cw_capacity_results_t *results, const char *name)
{
    size_t position;

    for (position = 0; position < results->count; position++) {
        if (strcmp(results->series[position].name, name) == 0) {
            return &results->series[position];
        }
    }
    return NULL;
}

void cw_capacity_results_add(cw_capacity_results_t *results, const char *name, const char *size_unit,
                             const char *value_unit, double size, double value)
{
    cw_capacity_series_t *series = find_series(results, name);

    if (series == NULL && results->count < CW_CAPACITY_SERIES_MAX) {
        series = &results->series[results->count++];
        memset(series, 0, sizeof(*series));
        series->name = name;
        series->size_unit = size_unit;
        series->value_unit = value_unit;
    }
    if (series != NULL && series->count < CW_CAPACITY_POINTS_MAX) {
        series->sizes[series->count] = size;
        series->values[series->count] = value;
        series->count++;
    }
}

void cw_capacity_results_fit(cw_capacity_results_t *results)
{
    size_t position;

    for (position = 0; position < results->count; position++) {
        cw_capacity_series_t *series = &results->series[position];

        (void)cw_capacity_fit_line(series->sizes, series->values, series->count, &series->fit);
    }
}

const cw_capacity_series_t *cw_capacity_results_find(const cw_capacity_results_t *results, const char *name)
{
    return find_series((cw_capacity_results_t *)results, name);
}

static json_t *series_json(const cw_capacity_series_t *series)
{
    json_t *points = json_array();
    size_t  position;

    for (position = 0; position < series->count; position++) {
        json_array_append_new(points, json_pack("[f,f]", series->sizes[position], series->values[position]));
    }
    return json_pack("{s:s,s:s,s:s,s:o,s:f,s:f,s:f,s:f}", "name", series->name, "size_unit", series->size_unit,
                     "value_unit", series->value_unit, "points", points, "intercept", series->fit.intercept, "slope",
                     series->fit.slope, "r_squared", series->fit.r_squared, "residual_max", series->fit.residual_max);
}

int cw_capacity_results_write_json(const cw_capacity_results_t *results, const char *run, const char *file_name)
{
    json_t *all = json_array();
    json_t *root;
    size_t  position;
    int     error;

    for (position = 0; position < results->count; position++) {
        json_array_append_new(all, series_json(&results->series[position]));
    }
    root = json_pack("{s:s,s:o}", "run", run, "series", all);
    error = json_dump_file(root, file_name, JSON_INDENT(1) | JSON_REAL_PRECISION(8));
    json_decref(root);
    return error == 0 ? CW_OK : CW_ERROR_UNAVAILABLE;
}

static void write_points(const cw_capacity_series_t *series, FILE *file)
{
    size_t position;

    for (position = 0; position < series->count; position++) {
        fprintf(file, "%s%.4g at %.6g", position == 0 ? "" : "; ", series->values[position], series->sizes[position]);
    }
}

void cw_capacity_results_write_markdown(const cw_capacity_results_t *results, FILE *file)
{
    size_t position;

    fprintf(file, "| series | size | measured | value = intercept + slope x size | R² | largest residual |\n"
                  "| --- | --- | --- | --- | --- | --- |\n");
    for (position = 0; position < results->count; position++) {
        const cw_capacity_series_t *series = &results->series[position];

        fprintf(file, "| `%s` | %s | ", series->name, series->size_unit);
        write_points(series, file);
        fprintf(file, " | %.4g + %.4g x size %s | %.4f | %.1f %% |\n", series->fit.intercept, series->fit.slope,
                series->value_unit, series->fit.r_squared, 100 * series->fit.residual_max);
    }
}
