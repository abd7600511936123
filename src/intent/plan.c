/**
 * @file plan.c
 * @brief Makes plans: merges an intent into the present configuration.
 */
#include "intent/plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"
#include "intent/plan_difference.h"

/* ---- copies ---- */

static void copy_service(cw_configuration_t *to, const cw_service_t *from)
{
    cw_service_t *service = cw_configuration_add_service(to);

    *service = *from;
    service->name = strdup(from->name);
}

/* Copies all entries. except: a tenant whose entries are left out; NULL: none. */
static void copy_entries(cw_configuration_t *to, const cw_configuration_t *from, const char *except)
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

/* ---- the plan ---- */

static void check_routes(const cw_intent_t *intent, const cw_configuration_t *others, const char *file_name,
                         cw_findings_t *findings)
{
    size_t index;
    size_t other;

    for (index = 0; index < intent->configuration->route_count; index++) {
        const cw_route_t *route = &intent->configuration->routes[index];

        for (other = 0; other < others->route_count; other++) {
            if (strcmp(others->routes[other].host, route->host) == 0 &&
                strcmp(others->routes[other].prefix, route->prefix) == 0) {
                cw_findings_add(findings, file_name, 0, 0, "host '%s' and prefix '%s' belong to another tenant",
                                route->host, route->prefix);
            }
        }
    }
}

/* Reports keys that belong to other tenants. The findings do not name the other tenant, since the author of the intent
 * may be any tenant. */
static void check_keys(const cw_intent_t *intent, const cw_configuration_t *others, const char *file_name,
                       cw_findings_t *findings)
{
    cw_credential_conflict_t conflict;
    bool                     has_conflict;
    cw_credential_index_t   *index =
        cw_credential_index_create(others->tenants, others->tenant_count, &has_conflict, &conflict);
    char   fingerprint[CW_KEY_FINGERPRINT_BYTES];
    size_t place;

    for (place = 0; place < intent->key_location_count; place++) {
        const cw_key_location_t *key = &intent->key_locations[place];

        if (cw_credential_index_find(index, &key->key) != NULL) {
            cw_key_fingerprint(fingerprint, &key->key);
            cw_findings_add(findings, file_name, key->line, key->column,
                            "the key with the fingerprint %s is another tenant's", fingerprint);
        }
    }
    cw_credential_index_free(index);
}

static void write_regions(cw_bytes_t *text, const cw_name_set_t *regions)
{
    size_t index;

    for (index = 0; index < regions->count; index++) {
        cw_bytes_append_format(text, " in %s\n", regions->names[index]);
    }
}

static void write_route(cw_bytes_t *text, const cw_route_t *route)
{
    size_t part;

    cw_bytes_append_format(text, "%s %s %s %d %d %" PRId64 " %" PRId64 " %u %u\n", route->name, route->host,
                           route->prefix, route->repeatable, route->allows_anonymous, route->timeout, route->objective,
                           route->max_attempts, route->priority);
    for (part = 0; part < route->part_count; part++) {
        cw_bytes_append_format(text, " %s %.6f\n", route->parts[part].service, route->parts[part].weight);
    }
    write_regions(text, &route->regions);
}

/* Writes the whole content of the intent as text, so that intents that differ have plans with different ids. */
static void write_intent_text(cw_bytes_t *text, const cw_intent_t *intent)
{
    const cw_tenant_t *tenant = &intent->configuration->tenants[0];
    size_t             index;

    cw_bytes_append(text, tenant->keys, tenant->key_count * sizeof(*tenant->keys));
    cw_bytes_append_format(text, "%s %d %g %g %u %u\n", tenant->name, tenant->needs_key, tenant->rate_per_s,
                           tenant->burst, tenant->priority, tenant->concurrent);
    write_regions(text, &tenant->regions);
    for (index = 0; index < intent->configuration->service_count; index++) {
        const cw_service_t *service = &intent->configuration->services[index];

        cw_bytes_append_format(text, "%s %d %u %" PRId64 "\n", service->name, service->keyed, service->max_connections,
                               service->warm_time);
    }
    for (index = 0; index < intent->configuration->route_count; index++) {
        write_route(text, &intent->configuration->routes[index]);
    }
}

static void set_id(cw_plan_t *plan, const cw_intent_t *intent, uint64_t revision)
{
    cw_bytes_t   text = {0};
    XXH64_hash_t hash;

    write_intent_text(&text, intent);
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
        copy_entries(plan->configuration, present, intent->tenant);
    }
    check_routes(intent, plan->configuration, file_name, findings);
    check_keys(intent, plan->configuration, file_name, findings);
    copy_entries(plan->configuration, intent->configuration, NULL);
    cw_configuration_seal(plan->configuration);
    if (findings->count == before && !cw_configuration_check(plan->configuration, problem, sizeof(problem))) {
        cw_findings_add(findings, file_name, 0, 0, "%s", problem);
    }
    plan->change_count = cw_plan_difference(&plan->changes, intent, present);
    set_id(plan, intent, revision);
    return findings->count == before ? CW_OK : CW_ERROR_CONFLICT;
}

void cw_plan_clear(cw_plan_t *plan)
{
    cw_configuration_release(plan->configuration);
    cw_bytes_clear(&plan->changes);
    memset(plan, 0, sizeof(*plan));
}
