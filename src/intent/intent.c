/**
 * @file intent.c
 * @brief Parsing and checks of intents.
 */
#include "intent/intent.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "config/yaml_tree.h"
#include "intent/intent_tenant.h"

enum {
    FILE_MAX_BYTES = 1024 * 1024,
    MILLISECONDS_MAX = 600000,
    ATTEMPTS_MAX = 10,
    PRIORITY_MAX = 100,
    CONNECTIONS_MAX = 100000,
    NAME_BYTES = 160
};

static char *qualified_name(const cw_intent_t *intent, const char *name)
{
    char text[NAME_BYTES];

    snprintf(text, sizeof(text), "%s/%s", intent->tenant, name == NULL ? "" : name);
    return strdup(text);
}

static cw_time_us_t read_ms(cw_yaml_mapping_t *mapping, const char *key)
{
    return CW_MS(cw_yaml_number(mapping, key, 0, MILLISECONDS_MAX, 0));
}

/* ---- services ---- */

static void read_service(cw_intent_t *intent, cw_yaml_document_t *document, yaml_node_t *node)
{
    cw_service_t     *service = cw_configuration_add_service(intent->configuration);
    cw_yaml_mapping_t mapping;

    cw_yaml_open(&mapping, document, node, "a service");
    service->name = qualified_name(intent, cw_yaml_name(&mapping, "name", true));
    service->keyed = cw_yaml_flag(&mapping, "keyed", false);
    service->max_connections = (uint32_t)cw_yaml_number(&mapping, "max_connections", 1, CONNECTIONS_MAX, 100);
    service->warm_time = read_ms(&mapping, "warm_ms");
    cw_yaml_finish(&mapping);
}

/* ---- routes ---- */

static void add_split_part(cw_intent_t *intent, cw_route_t *route, cw_yaml_mapping_t *mapping, const char *name,
                           double weight)
{
    char *full;

    if (name == NULL) {
        return;
    }
    full = qualified_name(intent, name);
    if (cw_configuration_service(intent->configuration, full) == NULL) {
        cw_yaml_report(mapping->document, mapping->node, "service '%s' is not among this intent's services", name);
    }
    cw_route_add_part(route, full, weight);
    free(full);
}

static void read_split(cw_intent_t *intent, cw_route_t *route, cw_yaml_mapping_t *mapping, yaml_node_t *node)
{
    size_t count = cw_yaml_count(mapping->document, node, "split");
    size_t position;

    for (position = 0; position < count; position++) {
        cw_yaml_mapping_t part;
        const char       *name;

        cw_yaml_open(&part, mapping->document, cw_yaml_item(mapping->document, node, position), "a part of a split");
        name = cw_yaml_name(&part, "service", true);
        add_split_part(intent, route, &part, name, cw_yaml_real(&part, "weight", 0.001, 1e6, 1));
        cw_yaml_finish(&part);
    }
}

static void read_target(cw_intent_t *intent, cw_route_t *route, cw_yaml_mapping_t *mapping)
{
    const char  *service = cw_yaml_name(mapping, "service", false);
    yaml_node_t *split = cw_yaml_get(mapping, "split", false);

    if ((service == NULL) == (split == NULL)) {
        cw_yaml_report(mapping->document, mapping->node, "a route has either 'service' or 'split'");
        return;
    }
    if (service != NULL) {
        add_split_part(intent, route, mapping, service, 1);
    } else {
        read_split(intent, route, mapping, split);
    }
}

static void check_route(const cw_intent_t *intent, const cw_route_t *route, cw_yaml_mapping_t *mapping)
{
    size_t length = strlen(route->prefix);
    size_t index;

    if (length == 0 || route->prefix[0] != '/' || route->prefix[length - 1] != '/') {
        cw_yaml_report(mapping->document, mapping->node, "'prefix' is '%s'; must begin and end with a slash",
                       route->prefix);
    }
    if (route->host[0] == '\0') {
        cw_yaml_report(mapping->document, mapping->node, "'host' must not be empty");
    }
    if (route->timeout > 0 && route->objective > route->timeout) {
        cw_yaml_report(mapping->document, mapping->node, "'aim_ms' must not be above 'timeout_ms'");
    }
    for (index = 0; index + 1 < intent->configuration->route_count; index++) {
        const cw_route_t *other = &intent->configuration->routes[index];

        if (strcmp(other->host, route->host) == 0 && strcmp(other->prefix, route->prefix) == 0) {
            cw_yaml_report(mapping->document, mapping->node, "host '%s' and prefix '%s' have a route already",
                           route->host, route->prefix);
        }
    }
}

static void read_route(cw_intent_t *intent, cw_yaml_document_t *document, yaml_node_t *node)
{
    cw_route_t       *route = cw_configuration_add_route(intent->configuration);
    cw_yaml_mapping_t mapping;
    const char       *text;

    cw_yaml_open(&mapping, document, node, "a route");
    route->name = qualified_name(intent, cw_yaml_name(&mapping, "name", true));
    text = cw_yaml_text(&mapping, "host", true);
    route->host = strdup(text == NULL ? "" : text);
    text = cw_yaml_text(&mapping, "prefix", true);
    route->prefix = strdup(text == NULL ? "" : text);
    route->repeatable = cw_yaml_flag(&mapping, "repeatable", false);
    route->timeout = read_ms(&mapping, "timeout_ms");
    route->objective = read_ms(&mapping, "aim_ms");
    route->max_attempts = (uint32_t)cw_yaml_number(&mapping, "attempts", 1, ATTEMPTS_MAX, 2);
    route->priority = (uint32_t)cw_yaml_number(&mapping, "priority", 0, PRIORITY_MAX, 1);
    route->allows_anonymous = cw_yaml_flag(&mapping, "open", false);
    cw_intent_read_regions(intent, &route->regions, &mapping);
    read_target(intent, route, &mapping);
    check_route(intent, route, &mapping);
    cw_yaml_finish(&mapping);
}

/* ---- the intent ---- */

static void read_list(cw_intent_t *intent, cw_yaml_mapping_t *mapping, const char *key,
                      void (*read)(cw_intent_t *, cw_yaml_document_t *, yaml_node_t *))
{
    yaml_node_t *node = cw_yaml_get(mapping, key, true);
    size_t       count = node == NULL ? 0 : cw_yaml_count(mapping->document, node, key);
    size_t       position;

    for (position = 0; position < count; position++) {
        read(intent, mapping->document, cw_yaml_item(mapping->document, node, position));
    }
}

int cw_intent_parse(cw_intent_t *intent, const char *text, size_t length, const char *file_name,
                    const cw_name_set_t *regions, cw_findings_t *findings)
{
    size_t             before = findings->count;
    cw_yaml_document_t document;
    cw_yaml_mapping_t  mapping;

    memset(intent, 0, sizeof(*intent));
    intent->configuration = cw_configuration_create(0);
    intent->known_regions = regions;
    if (cw_yaml_load(&document, text, length, file_name, findings) == CW_OK) {
        cw_yaml_open(&mapping, &document, document.root, "an intent");
        cw_intent_read_tenant(intent, &mapping);
        read_list(intent, &mapping, "services", read_service);
        read_list(intent, &mapping, "routes", read_route);
        cw_yaml_finish(&mapping);
    }
    cw_yaml_unload(&document);
    return findings->count == before ? CW_OK : CW_ERROR_PARSE;
}

int cw_intent_read(cw_intent_t *intent, const char *file_name, const cw_name_set_t *regions, cw_findings_t *findings)
{
    FILE  *file = fopen(file_name, "rb");
    char  *text = malloc(FILE_MAX_BYTES);
    size_t length;
    int    error;

    if (file == NULL || text == NULL) {
        if (file != NULL) {
            fclose(file);
        }
        free(text);
        memset(intent, 0, sizeof(*intent));
        cw_findings_add(findings, file_name, 0, 0, "cannot be read");
        return CW_ERROR_IO;
    }
    length = fread(text, 1, FILE_MAX_BYTES, file);
    fclose(file);
    error = cw_intent_parse(intent, text, length, file_name, regions, findings);
    free(text);
    return error;
}

void cw_intent_clear(cw_intent_t *intent)
{
    cw_configuration_release(intent->configuration);
    free(intent->key_locations);
    memset(intent, 0, sizeof(*intent));
}
