/**
 * @file zone_plan.c
 * @brief Makes plans for taking zones out of service and putting them back.
 */
#include "intent/zone_plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/error.h"

/** Servers of a service that accept requests, by their zones. */
typedef struct service_servers {
    size_t        in_zone;    /**< in the zone of the plan */
    size_t        left;       /**< in other zones that are in service */
    cw_name_set_t zones_left; /**< the names of the zones that `left` counts */
} service_servers_t;

static bool accepts_requests(const cw_server_entry_t *entry)
{
    return !entry->draining && entry->missing_since == 0;
}

static service_servers_t count_servers(const cw_server_list_t *list, const char *service, const char *zone)
{
    service_servers_t servers = {0};
    size_t            index;

    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[index];

        if (strcmp(entry->service, service) != 0 || !accepts_requests(entry)) {
            continue;
        }
        if (strcmp(entry->zone, zone) == 0) {
            servers.in_zone++;
        } else if (!cw_name_set_has(&list->zones_out, entry->zone)) {
            servers.left++;
            cw_name_set_add(&servers.zones_left, entry->zone);
        }
    }
    return servers;
}

static void append_names(cw_bytes_t *text, const cw_name_set_t *names)
{
    size_t index;

    for (index = 0; index < names->count; index++) {
        cw_bytes_append_format(text, "%s%s", index == 0 ? "" : ", ", names->names[index]);
    }
}

static const cw_zone_keys_t *keys_of(const cw_zone_keys_t *keys, size_t count, const char *service)
{
    size_t index;

    for (index = 0; index < count; index++) {
        if (strcmp(keys[index].service, service) == 0) {
            return &keys[index];
        }
    }
    return NULL;
}

static void append_out_line(cw_bytes_t *lines, const char *service, const service_servers_t *servers,
                            const cw_zone_keys_t *keys)
{
    cw_bytes_append_format(lines, "- service %s: %zu of %zu servers", service, servers->in_zone,
                           servers->in_zone + servers->left);
    if (keys != NULL) {
        cw_bytes_append_format(lines, ", %.1f %% of its keys", 100 * keys->share);
    }
    cw_bytes_append_format(lines, "; %zu left in ", servers->left);
    append_names(lines, &servers->zones_left);
    cw_bytes_append_text(lines, "\n");
}

static void append_in_line(cw_bytes_t *lines, const char *service, const service_servers_t *servers)
{
    cw_bytes_append_format(lines, "+ service %s: %zu servers, cold at first, beside %zu\n", service, servers->in_zone,
                           servers->left);
}

/* Reports a change that has been made already, and a zone without any server. */
static void check_zone(const char *zone, cw_zone_change_t change, const cw_server_list_t *list, cw_findings_t *findings)
{
    bool   is_out = cw_name_set_has(&list->zones_out, zone);
    bool   is_known = false;
    size_t index;

    for (index = 0; index < list->count; index++) {
        is_known = is_known || strcmp(list->entries[index].zone, zone) == 0;
    }
    if (change == CW_ZONE_PUT_BACK && !is_out) {
        cw_findings_add(findings, zone, 0, 0, "the zone is not out of service");
    } else if (change == CW_ZONE_TAKEN_OUT && is_out) {
        cw_findings_add(findings, zone, 0, 0, "the zone is out of service already");
    } else if (change == CW_ZONE_TAKEN_OUT && !is_known) {
        cw_findings_add(findings, zone, 0, 0, "no server is in such a zone");
    }
}

static cw_name_set_t services_of(const cw_server_list_t *list)
{
    cw_name_set_t services = {0};
    size_t        index;

    for (index = 0; index < list->count; index++) {
        cw_name_set_add(&services, list->entries[index].service);
    }
    return services;
}

static void set_id(cw_zone_plan_t *plan, const cw_bytes_t *state)
{
    snprintf(plan->id, sizeof(plan->id), "%016" PRIx64, XXH3_64bits(state->data, state->length));
}

int cw_zone_plan_make(cw_zone_plan_t *plan, const char *zone, cw_zone_change_t change, const cw_server_list_t *list,
                      const cw_zone_keys_t *keys, size_t key_count, cw_findings_t *findings)
{
    size_t        before = findings->count;
    cw_name_set_t services = services_of(list);
    cw_bytes_t    state = {0};
    size_t        index;

    memset(plan, 0, sizeof(*plan));
    check_zone(zone, change, list, findings);
    cw_bytes_append_format(&state, "%s %d out: ", zone, change);
    append_names(&state, &list->zones_out);
    for (index = 0; index < services.count; index++) {
        const char       *service = services.names[index];
        service_servers_t servers = count_servers(list, service, zone);

        if (servers.in_zone > 0) {
            cw_bytes_append_format(&state, "\n%s left: ", service);
            append_names(&state, &servers.zones_left);
            if (change == CW_ZONE_PUT_BACK) {
                append_in_line(&plan->lines, service, &servers);
            } else if (servers.left > 0) {
                append_out_line(&plan->lines, service, &servers, keys_of(keys, key_count, service));
            } else {
                cw_findings_add(findings, zone, 0, 0, "service '%s' has no server in any other zone in service",
                                service);
            }
        }
        cw_name_set_clear(&servers.zones_left);
    }
    set_id(plan, &state);
    cw_bytes_clear(&state);
    cw_name_set_clear(&services);
    return findings->count == before ? CW_OK : CW_ERROR_CONFLICT;
}

void cw_zone_plan_clear(cw_zone_plan_t *plan)
{
    cw_bytes_clear(&plan->lines);
    memset(plan, 0, sizeof(*plan));
}
