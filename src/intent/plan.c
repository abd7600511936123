/**
 * @file plan.c
 * @brief Plans: merge of an intent into the present configuration, and the difference in words.
 */
#include "intent/plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"

/* ---- copies ---- */

static void copy_service(cw_configuration_t *to, const cw_service_t *from)
{
    cw_service_t *service = cw_configuration_add_service(to);

    *service = *from;
    service->name = strdup(from->name);
}

/* All entries, or all but one tenant's. */
static void copy_all(cw_configuration_t *to, const cw_configuration_t *from, const char *except)
{
    size_t index;

    for (index = 0; index < from->route_count; index++) {
        if (except == NULL || !cw_tenant_owns(except, from->routes[index].name)) {
            cw_configuration_copy_route(to, &from->routes[index]);
        }
    }
    for (index = 0; index < from->service_count; index++) {
        if (except == NULL || !cw_tenant_owns(except, from->services[index].name)) {
            copy_service(to, &from->services[index]);
        }
    }
    for (index = 0; index < from->tenant_count; index++) {
        if (except == NULL || strcmp(except, from->tenants[index].name) != 0) {
            cw_configuration_copy_tenant(to, &from->tenants[index]);
        }
    }
}

/* ---- the difference ---- */

static void say(cw_plan_t *plan, const char *sign, const char *kind, const char *name, const char *what)
{
    cw_bytes_append_format(&plan->changes, "%s %s %s%s%s\n", sign, kind, name, what[0] == '\0' ? "" : ": ", what);
    plan->change_count++;
}

static void add_word(cw_bytes_t *words, bool wanted, const char *word)
{
    if (wanted) {
        cw_bytes_append_format(words, "%s%s", words->length == 0 ? "" : ", ", word);
    }
}

static void compare_route(cw_plan_t *plan, const cw_route_t *before, const cw_route_t *after)
{
    cw_bytes_t what = {0};

    add_word(&what, strcmp(before->host, after->host) != 0 || strcmp(before->prefix, after->prefix) != 0, "where");
    add_word(&what, !cw_route_same_parts(before, after), "services");
    add_word(&what, !cw_name_set_same(&before->regions, &after->regions), "regions");
    add_word(&what, before->repeatable != after->repeatable, "repeatable");
    add_word(&what, before->timeout != after->timeout || before->aim != after->aim, "times");
    add_word(&what, before->max_attempts != after->max_attempts || before->priority != after->priority,
             "attempts or priority");
    if (what.length > 0) {
        cw_bytes_append(&what, "", 1);
        say(plan, "~", "route", after->name, what.data);
    }
    cw_bytes_clear(&what);
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

static void compare_routes(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present)
{
    size_t index;

    for (index = 0; index < intent->part->route_count; index++) {
        const cw_route_t *after = &intent->part->routes[index];
        const cw_route_t *before = route_named(present, after->name);

        if (before == NULL) {
            say(plan, "+", "route", after->name, "");
        } else {
            compare_route(plan, before, after);
        }
    }
    for (index = 0; present != NULL && index < present->route_count; index++) {
        const char *name = present->routes[index].name;

        if (cw_tenant_owns(intent->tenant, name) && route_named(intent->part, name) == NULL) {
            say(plan, "-", "route", name, "");
        }
    }
}

static void compare_services(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present)
{
    size_t index;

    for (index = 0; index < intent->part->service_count; index++) {
        const cw_service_t *after = &intent->part->services[index];
        const cw_service_t *before = present == NULL ? NULL : cw_configuration_service(present, after->name);

        if (before == NULL) {
            say(plan, "+", "service", after->name, after->keyed ? "divided by key" : "");
        } else if (before->keyed != after->keyed) {
            say(plan, "~", "service", after->name, after->keyed ? "divided by key from now on" : "no longer by key");
        } else if (before->max_connections != after->max_connections || before->warm_time != after->warm_time) {
            say(plan, "~", "service", after->name, "connections or times");
        }
    }
    for (index = 0; present != NULL && index < present->service_count; index++) {
        const char *name = present->services[index].name;

        if (cw_tenant_owns(intent->tenant, name) && cw_configuration_service(intent->part, name) == NULL) {
            say(plan, "-", "service", name, "");
        }
    }
}

static void compare_tenant(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present)
{
    const cw_tenant_t *after = &intent->part->tenants[0];
    size_t             index;

    for (index = 0; present != NULL && index < present->tenant_count; index++) {
        const cw_tenant_t *before = &present->tenants[index];

        if (strcmp(before->name, after->name) != 0) {
            continue;
        }
        if (!cw_tenant_same_keys(before, after)) {
            say(plan, "~", "tenant", after->name, "callers' tokens");
        }
        if (before->rate_per_s != after->rate_per_s || before->burst != after->burst ||
            before->priority != after->priority || before->concurrent != after->concurrent) {
            say(plan, "~", "tenant", after->name, "limits");
        }
        return;
    }
    say(plan, "+", "tenant", after->name, "");
}

/* ---- the plan ---- */

static void check_others(const cw_intent_t *intent, const cw_configuration_t *others, const char *file_name,
                         cw_findings_t *findings)
{
    size_t index;
    size_t other;

    for (index = 0; index < intent->part->route_count; index++) {
        const cw_route_t *route = &intent->part->routes[index];

        for (other = 0; other < others->route_count; other++) {
            if (strcmp(others->routes[other].host, route->host) == 0 &&
                strcmp(others->routes[other].prefix, route->prefix) == 0) {
                cw_findings_add(findings, file_name, 0, 0, "host '%s' and prefix '%s' belong to another tenant",
                                route->host, route->prefix);
            }
        }
    }
}

/* Everything that the intent says, as text: two intents that differ have different plans. */
static void write_intent(cw_bytes_t *text, const cw_intent_t *intent)
{
    const cw_tenant_t *tenant = &intent->part->tenants[0];
    size_t             index;
    size_t             part;

    cw_bytes_append(text, tenant->keys, tenant->key_count * sizeof(*tenant->keys));
    cw_bytes_append_format(text, "%s %d %g %g %u %u\n", tenant->name, tenant->needs_key, tenant->rate_per_s,
                           tenant->burst, tenant->priority, tenant->concurrent);
    for (index = 0; index < intent->part->service_count; index++) {
        const cw_service_t *service = &intent->part->services[index];

        cw_bytes_append_format(text, "%s %d %u %" PRId64 "\n", service->name, service->keyed, service->max_connections,
                               service->warm_time);
    }
    for (index = 0; index < intent->part->route_count; index++) {
        const cw_route_t *route = &intent->part->routes[index];

        cw_bytes_append_format(text, "%s %s %s %d %" PRId64 " %" PRId64 " %u %u\n", route->name, route->host,
                               route->prefix, route->repeatable, route->timeout, route->aim, route->max_attempts,
                               route->priority);
        for (part = 0; part < route->part_count; part++) {
            cw_bytes_append_format(text, " %s %.6f\n", route->parts[part].service, route->parts[part].weight);
        }
        for (part = 0; part < route->regions.count; part++) {
            cw_bytes_append_format(text, " in %s\n", route->regions.names[part]);
        }
    }
}

static void set_id(cw_plan_t *plan, const cw_intent_t *intent, uint64_t revision)
{
    cw_bytes_t   text = {0};
    XXH64_hash_t hash;

    write_intent(&text, intent);
    hash = XXH3_64bits_withSeed(text.data, text.length, revision);
    snprintf(plan->id, sizeof(plan->id), "%016" PRIx64, hash ^ (plan->configuration->version << 1));
    cw_bytes_clear(&text);
}

int cw_plan_make(cw_plan_t *plan, const cw_intent_t *intent, const cw_configuration_t *present, uint64_t revision,
                 const char *file_name, cw_findings_t *findings)
{
    size_t before = findings->count;
    char   problem[CW_PROBLEM_BYTES];

    memset(plan, 0, sizeof(*plan));
    plan->configuration = cw_configuration_create(present == NULL ? 1 : present->version + 1);
    if (present != NULL) {
        plan->configuration->limits = present->limits;
        copy_all(plan->configuration, present, intent->tenant);
    }
    check_others(intent, plan->configuration, file_name, findings);
    copy_all(plan->configuration, intent->part, NULL);
    cw_configuration_seal(plan->configuration);
    if (!cw_configuration_check(plan->configuration, problem, sizeof(problem))) {
        cw_findings_add(findings, file_name, 0, 0, "%s",
                        plan->configuration->has_conflict ? "a token is another tenant's" : problem);
    }
    compare_tenant(plan, intent, present);
    compare_services(plan, intent, present);
    compare_routes(plan, intent, present);
    set_id(plan, intent, revision);
    return findings->count == before ? CW_OK : CW_ERROR_CONFLICT;
}

void cw_plan_clear(cw_plan_t *plan)
{
    cw_configuration_release(plan->configuration);
    cw_bytes_clear(&plan->changes);
    memset(plan, 0, sizeof(*plan));
}
