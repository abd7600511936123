/**
 * @file plan_difference.c
 * @brief Describes the differences between an intent and the present configuration.
 */
#include "intent/plan_difference.h"

#include <stdio.h>
#include <string.h>

enum {
    FINGERPRINT_DIGEST_BYTES = (CW_KEY_FINGERPRINT_BYTES - 1) / 2,
    KEYS_SHOWN = 8 /* shown for one change, so that a line stays readable */
};

/** The lines of all changes, and their number. */
typedef struct difference {
    cw_bytes_t *lines;
    size_t      count;
} difference_t;

void cw_key_fingerprint(char text[CW_KEY_FINGERPRINT_BYTES], const cw_key_digest_t *key)
{
    size_t index;

    for (index = 0; index < FINGERPRINT_DIGEST_BYTES; index++) {
        snprintf(text + 2 * index, 3, "%02x", key->bytes[index]);
    }
}

/* ---- lines ---- */

static void append_change(difference_t *difference, const char *sign, const char *kind, const char *name,
                          const char *what)
{
    cw_bytes_append_format(difference->lines, "%s %s %s%s%s\n", sign, kind, name, what[0] == '\0' ? "" : ": ", what);
    difference->count++;
}

/* Appends a line with the details collected in a buffer, which may be empty, and frees the buffer. */
static void append_change_details(difference_t *difference, const char *sign, const char *kind, const char *name,
                                  cw_bytes_t *details)
{
    cw_bytes_append(details, "", 1);
    append_change(difference, sign, kind, name, details->data);
    cw_bytes_clear(details);
}

static void add_detail(cw_bytes_t *details, bool wanted, const char *detail)
{
    if (wanted) {
        cw_bytes_append_format(details, "%s%s", details->length == 0 ? "" : ", ", detail);
    }
}

static void add_regions(cw_bytes_t *details, const cw_name_set_t *regions)
{
    size_t index;

    cw_bytes_append_text(details, regions->count == 0 ? "anywhere" : "");
    for (index = 0; index < regions->count; index++) {
        cw_bytes_append_format(details, "%s%s", index == 0 ? "" : "+", regions->names[index]);
    }
}

static void add_regions_change(cw_bytes_t *details, const cw_name_set_t *before, const cw_name_set_t *after)
{
    if (cw_name_set_same(before, after)) {
        return;
    }
    add_detail(details, true, "regions ");
    add_regions(details, before);
    cw_bytes_append_text(details, " -> ");
    add_regions(details, after);
}

static void add_number_change(cw_bytes_t *details, const char *what, double before, double after)
{
    if (before != after) {
        add_detail(details, true, what);
        cw_bytes_append_format(details, " %.10g -> %.10g", before, after);
    }
}

/* ---- routes ---- */

static void compare_route(difference_t *difference, const cw_route_t *before, const cw_route_t *after)
{
    cw_bytes_t what = {0};

    add_detail(&what, strcmp(before->host, after->host) != 0 || strcmp(before->prefix, after->prefix) != 0, "where");
    add_detail(&what, !cw_route_same_parts(before, after), "services");
    add_regions_change(&what, &before->regions, &after->regions);
    add_detail(&what, !before->allows_anonymous && after->allows_anonymous,
               "open to callers without a key from now on");
    add_detail(&what, before->allows_anonymous && !after->allows_anonymous, "no longer open to callers without a key");
    add_detail(&what, before->repeatable != after->repeatable, "repeatable");
    add_detail(&what, before->timeout != after->timeout || before->objective != after->objective, "times");
    add_detail(&what, before->max_attempts != after->max_attempts || before->priority != after->priority,
               "attempts or priority");
    if (what.length > 0) {
        append_change_details(difference, "~", "route", after->name, &what);
    }
}

static void append_new_route(difference_t *difference, const cw_route_t *route)
{
    static const cw_name_set_t anywhere;
    cw_bytes_t                 what = {0};

    add_detail(&what, route->allows_anonymous, "open to callers without a key");
    add_regions_change(&what, &anywhere, &route->regions);
    append_change_details(difference, "+", "route", route->name, &what);
}

static const cw_route_t *route_named(const cw_configuration_t *configuration, const char *name)
{
    size_t index;

    for (index = 0; configuration != NULL && index < configuration->route_count; index++) {
        if (strcmp(configuration->routes[index].name, name) == 0) {
            return &configuration->routes[index];
        }
    }
    return NULL;
}

static void compare_routes(difference_t *difference, const cw_intent_t *intent, const cw_configuration_t *present)
{
    size_t index;

    for (index = 0; index < intent->configuration->route_count; index++) {
        const cw_route_t *after = &intent->configuration->routes[index];
        const cw_route_t *before = route_named(present, after->name);

        if (before == NULL) {
            append_new_route(difference, after);
        } else {
            compare_route(difference, before, after);
        }
    }
    for (index = 0; present != NULL && index < present->route_count; index++) {
        const char *name = present->routes[index].name;

        if (cw_tenant_owns(intent->tenant, name) && route_named(intent->configuration, name) == NULL) {
            append_change(difference, "-", "route", name, "");
        }
    }
}

/* ---- services ---- */

static void compare_services(difference_t *difference, const cw_intent_t *intent, const cw_configuration_t *present)
{
    size_t index;

    for (index = 0; index < intent->configuration->service_count; index++) {
        const cw_service_t *after = &intent->configuration->services[index];
        const cw_service_t *before = present == NULL ? NULL : cw_configuration_service(present, after->name);

        if (before == NULL) {
            append_change(difference, "+", "service", after->name, after->keyed ? "divided by key" : "");
        } else if (before->keyed != after->keyed) {
            append_change(difference, "~", "service", after->name,
                          after->keyed ? "divided by key from now on" : "no longer by key");
        } else if (before->max_connections != after->max_connections || before->warm_time != after->warm_time) {
            append_change(difference, "~", "service", after->name, "connections or times");
        }
    }
    for (index = 0; present != NULL && index < present->service_count; index++) {
        const char *name = present->services[index].name;

        if (cw_tenant_owns(intent->tenant, name) && cw_configuration_service(intent->configuration, name) == NULL) {
            append_change(difference, "-", "service", name, "");
        }
    }
}

/* ---- the tenant ---- */

/* Adds the keys of `left` that `right` does not have: the first ones, and the number of the others. */
static void add_keys(cw_bytes_t *details, const char *what, const cw_tenant_t *left, const cw_tenant_t *right)
{
    char   fingerprint[CW_KEY_FINGERPRINT_BYTES];
    size_t count = 0;
    size_t index;

    for (index = 0; index < left->key_count; index++) {
        if (cw_tenant_has_key(right, &left->keys[index])) {
            continue;
        }
        if (count == 0) {
            add_detail(details, true, what);
        }
        if (count < KEYS_SHOWN) {
            cw_key_fingerprint(fingerprint, &left->keys[index]);
            cw_bytes_append_format(details, " %s", fingerprint);
        }
        count++;
    }
    if (count > KEYS_SHOWN) {
        cw_bytes_append_format(details, " and %zu more", count - KEYS_SHOWN);
    }
}

static void add_keys_change(cw_bytes_t *details, const cw_tenant_t *before, const cw_tenant_t *after)
{
    add_detail(details, !before->needs_key && after->needs_key, "callers need keys from now on");
    add_detail(details, before->needs_key && !after->needs_key, "callers need no keys any longer");
    add_keys(details, "keys added", after, before);
    add_keys(details, "keys taken away", before, after);
}

static void add_limits_change(cw_bytes_t *details, const cw_tenant_t *before, const cw_tenant_t *after)
{
    add_number_change(details, "requests_per_s", before->rate_per_s, after->rate_per_s);
    add_number_change(details, "burst", before->burst, after->burst);
    add_number_change(details, "concurrent", before->concurrent, after->concurrent);
    add_number_change(details, "priority", before->priority, after->priority);
}

/* A new tenant is compared with one without any keys, limits or regions. */
static void compare_tenant(difference_t *difference, const cw_intent_t *intent, const cw_configuration_t *present)
{
    static const cw_tenant_t nothing;
    const cw_tenant_t       *after = &intent->configuration->tenants[0];
    const cw_tenant_t       *before = &nothing;
    cw_bytes_t               what = {0};
    size_t                   index;

    for (index = 0; present != NULL && index < present->tenant_count; index++) {
        if (strcmp(present->tenants[index].name, after->name) == 0) {
            before = &present->tenants[index];
        }
    }
    add_keys_change(&what, before, after);
    add_limits_change(&what, before, after);
    add_regions_change(&what, &before->regions, &after->regions);
    if (before == &nothing || what.length > 0) {
        append_change_details(difference, before == &nothing ? "+" : "~", "tenant", after->name, &what);
    }
}

size_t cw_plan_difference(cw_bytes_t *lines, const cw_intent_t *intent, const cw_configuration_t *present)
{
    difference_t difference = {.lines = lines};

    compare_tenant(&difference, intent, present);
    compare_services(&difference, intent, present);
    compare_routes(&difference, intent, present);
    return difference.count;
}
