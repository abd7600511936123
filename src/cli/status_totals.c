/**
 * @file status_totals.c
 * @brief Adds up the statuses of nodes, and prints the sums.
 */
#include "cli/status_totals.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

static const char others_name[] = "(others)";

/** A tenant's name and sums, for sorting. */
typedef struct named_tenant {
    const char   *name;
    const json_t *row;
} named_tenant_t;

/* ---- adding ---- */

static json_t *object_in(json_t **place)
{
    if (*place == NULL) {
        *place = json_object();
    }
    return *place;
}

static json_t *object_of(json_t *parent, const char *key)
{
    json_t *object = json_object_get(parent, key);

    if (object == NULL) {
        object = json_object();
        json_object_set_new(parent, key, object);
    }
    return object;
}

static void add_number(json_t *sums, const char *key, json_int_t amount)
{
    json_object_set_new(sums, key, json_integer(json_integer_value(json_object_get(sums, key)) + amount));
}

static void add_numbers(json_t *sums, const json_t *numbers)
{
    const char *key;
    json_t     *value;

    json_object_foreach((json_t *)numbers, key, value)
    {
        add_number(sums, key, json_integer_value(value));
    }
}

static void add_tenant(json_t *tenants, const json_t *row)
{
    const char *name = json_string_value(json_object_get(row, "tenant"));
    const char *mode = json_string_value(json_object_get(row, "mode"));
    const char *counter = json_string_value(json_object_get(row, "counted_by"));
    json_t     *sum;

    if (name == NULL) {
        return;
    }
    sum = object_of(tenants, name);
    add_number(sum, "requests", json_integer_value(json_object_get(row, "requests")));
    add_number(sum, "refused", json_integer_value(json_object_get(row, "refused")));
    if (mode != NULL) {
        json_object_set(sum, "requests_per_s", json_object_get(row, "requests_per_s"));
        json_object_set(sum, "burst", json_object_get(row, "burst"));
        add_number(object_of(sum, "modes"), mode, 1);
    }
    if (counter != NULL && counter[0] != '\0') {
        add_number(object_of(sum, "counted_by"), counter, 1);
    }
}

void cw_status_totals_add(cw_status_totals_t *totals, const json_t *status)
{
    const json_t *rows = json_object_get(status, "tenants");
    size_t        index;

    add_numbers(object_in(&totals->refused), json_object_get(status, "refused"));
    add_numbers(object_in(&totals->sent), json_object_get(status, "sent"));
    add_numbers(object_in(&totals->pipelines), json_object_get(status, "pipelines"));
    for (index = 0; index < json_array_size(rows); index++) {
        add_tenant(object_in(&totals->tenants), json_array_get(rows, index));
    }
}

/* ---- printing ---- */

static json_int_t number_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

/* Prints the number of nodes of each key, as ", metered (3 nodes), free (78 nodes)". */
static void print_node_counts(const json_t *counts, const char *before, FILE *out)
{
    const char *key;
    json_t     *count;

    json_object_foreach((json_t *)counts, key, count)
    {
        fprintf(out, ", %s%s (%" JSON_INTEGER_FORMAT " nodes)", before, key, json_integer_value(count));
    }
}

static void print_tenant(const named_tenant_t *tenant, FILE *out)
{
    const json_t *row = tenant->row;

    fprintf(out, "  tenant %s: %" JSON_INTEGER_FORMAT " requests, %" JSON_INTEGER_FORMAT " refused", tenant->name,
            number_of(row, "requests"), number_of(row, "refused"));
    if (json_object_get(row, "modes") != NULL) {
        fprintf(out, "; limit %g a second, burst %g", json_number_value(json_object_get(row, "requests_per_s")),
                json_number_value(json_object_get(row, "burst")));
        print_node_counts(json_object_get(row, "modes"), "", out);
        print_node_counts(json_object_get(row, "counted_by"), "counted by ", out);
    }
    fprintf(out, "\n");
}

/* Tenants with the most refusals come first, then those with the most requests; the sum of all others comes last. */
static int compare_tenants(const void *left, const void *right)
{
    static const char *const keys[] = {"refused", "requests"};
    const named_tenant_t    *a = left;
    const named_tenant_t    *b = right;
    bool                     a_is_others = strcmp(a->name, others_name) == 0;
    bool                     b_is_others = strcmp(b->name, others_name) == 0;
    size_t                   index;

    if (a_is_others != b_is_others) {
        return a_is_others ? 1 : -1;
    }
    for (index = 0; index < sizeof(keys) / sizeof(keys[0]); index++) {
        json_int_t difference = number_of(b->row, keys[index]) - number_of(a->row, keys[index]);

        if (difference != 0) {
            return difference > 0 ? 1 : -1;
        }
    }
    return strcmp(a->name, b->name);
}

static void print_other_tenants(const named_tenant_t *tenants, size_t count, FILE *out)
{
    json_int_t requests = 0;
    json_int_t refused = 0;
    size_t     index;

    for (index = 0; index < count; index++) {
        requests += number_of(tenants[index].row, "requests");
        refused += number_of(tenants[index].row, "refused");
    }
    if (requests + refused > 0) {
        fprintf(out, "  other tenants: %" JSON_INTEGER_FORMAT " requests, %" JSON_INTEGER_FORMAT " refused\n", requests,
                refused);
    }
}

static void print_tenants(const json_t *rows, FILE *out)
{
    named_tenant_t *tenants = calloc(json_object_size(rows) + 1, sizeof(*tenants));
    size_t          count = 0;
    size_t          index;
    const char     *name;
    json_t         *row;

    if (tenants == NULL) {
        abort();
    }
    json_object_foreach((json_t *)rows, name, row)
    {
        tenants[count++] = (named_tenant_t){.name = name, .row = row};
    }
    if (count > 1) {
        qsort(tenants, count, sizeof(*tenants), compare_tenants);
    }
    for (index = 0; index < count && index < CW_STATUS_TENANTS_NAMED && strcmp(tenants[index].name, others_name) != 0;
         index++) {
        print_tenant(&tenants[index], out);
    }
    print_other_tenants(tenants + index, count - index, out);
    free(tenants);
}

void cw_status_totals_print(const cw_status_totals_t *totals, FILE *out)
{
    const char *key;
    json_t     *value;

    fprintf(out, "all that answered, since their starts:\n");
    json_object_foreach(totals->refused, key, value)
    {
        fprintf(out, "  refused %s: %" JSON_INTEGER_FORMAT "\n", key, json_integer_value(value));
    }
    print_tenants(totals->tenants, out);
    fprintf(out,
            "  bytes to other nodes: %" JSON_INTEGER_FORMAT " within zones, %" JSON_INTEGER_FORMAT
            " to other zones of a region, %" JSON_INTEGER_FORMAT " to other regions\n",
            number_of(totals->sent, "zone"), number_of(totals->sent, "region"), number_of(totals->sent, "remote"));
    fprintf(out,
            "  pipelined requests: %" JSON_INTEGER_FORMAT "; answers that waited for their turn: %" JSON_INTEGER_FORMAT
            "\n",
            number_of(totals->pipelines, "pipelined"), number_of(totals->pipelines, "answers_waited"));
}

void cw_status_totals_clear(cw_status_totals_t *totals)
{
    json_decref(totals->refused);
    json_decref(totals->tenants);
    json_decref(totals->sent);
    json_decref(totals->pipelines);
    memset(totals, 0, sizeof(*totals));
}
