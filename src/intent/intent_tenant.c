/**
 * @file intent_tenant.c
 * @brief Parsing of the tenant of an intent.
 */
#include "intent/intent_tenant.h"

#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "intent/key_file.h"

enum { PRIORITY_MAX = 100, CONCURRENT_MAX = 10000000 };

static const double rate_max = 1e7; /* requests per second */

/* ---- keys ---- */

static void add_key(cw_intent_t *intent, cw_tenant_t *tenant, const yaml_node_t *node, const cw_key_digest_t *key)
{
    intent->key_locations =
        reallocarray(intent->key_locations, intent->key_location_count + 1, sizeof(*intent->key_locations));
    if (intent->key_locations == NULL) {
        abort();
    }
    intent->key_locations[intent->key_location_count].key = *key;
    intent->key_locations[intent->key_location_count].line = (unsigned)node->start_mark.line + 1;
    intent->key_locations[intent->key_location_count].column = (unsigned)node->start_mark.column + 1;
    intent->key_location_count++;
    cw_tenant_add_key(tenant, key);
}

static void read_key_file(cw_intent_t *intent, cw_tenant_t *tenant, cw_yaml_document_t *document, yaml_node_t *node)
{
    cw_yaml_mapping_t mapping;
    cw_key_digest_t   key;
    const char       *path;
    const char       *problem;

    cw_yaml_open(&mapping, document, node, "a key");
    path = cw_yaml_text(&mapping, "file", true);
    cw_yaml_finish(&mapping);
    if (path == NULL) {
        return;
    }
    problem = cw_key_file_read(&key, path, document->file_name);
    if (problem != NULL) {
        cw_yaml_report(document, node, "the key's file '%s' %s", path, problem);
    } else {
        add_key(intent, tenant, node, &key);
    }
}

static void read_key(cw_intent_t *intent, cw_tenant_t *tenant, cw_yaml_document_t *document, yaml_node_t *node)
{
    cw_key_digest_t key;

    if (node->type == YAML_MAPPING_NODE) {
        read_key_file(intent, tenant, document, node);
    } else if (cw_yaml_digest(document, node, key.bytes)) {
        add_key(intent, tenant, node, &key);
    }
}

static void read_keys(cw_intent_t *intent, cw_tenant_t *tenant, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *keys = cw_yaml_get(mapping, "keys", false);
    yaml_node_t *tokens = cw_yaml_get(mapping, "tokens", false); /* an older name of this key */
    yaml_node_t *node = keys == NULL ? tokens : keys;
    size_t       count = cw_yaml_count(mapping->document, node, keys == NULL ? "tokens" : "keys");
    size_t       position;

    if (keys != NULL && tokens != NULL) {
        cw_yaml_report(mapping->document, tokens, "'tokens' is an older name of 'keys'; only one of them may be given");
    }
    tenant->needs_key = node != NULL; /* also with an empty list: then no caller is admitted */
    for (position = 0; position < count; position++) {
        read_key(intent, tenant, mapping->document, cw_yaml_item(mapping->document, node, position));
    }
}

/* ---- regions ---- */

static void read_region(const cw_intent_t *intent, cw_name_set_t *regions, cw_yaml_document_t *document,
                        const yaml_node_t *item)
{
    const char *name;

    if (item->type != YAML_SCALAR_NODE || item->data.scalar.length == 0) {
        cw_yaml_report(document, item, "a region must be a name");
        return;
    }
    name = (const char *)item->data.scalar.value;
    if (intent->known_regions != NULL && !cw_name_set_has(intent->known_regions, name)) {
        cw_yaml_report(document, item, "there is no region '%s'", name);
    }
    cw_name_set_add(regions, name);
}

void cw_intent_read_regions(const cw_intent_t *intent, cw_name_set_t *regions, cw_yaml_mapping_t *mapping)
{
    yaml_node_t *node = cw_yaml_get(mapping, "regions", false);
    size_t       count = cw_yaml_count(mapping->document, node, "regions");
    size_t       position;

    for (position = 0; position < count; position++) {
        read_region(intent, regions, mapping->document, cw_yaml_item(mapping->document, node, position));
    }
}

/* ---- limits ---- */

static void read_limits(cw_tenant_t *tenant, cw_yaml_mapping_t *mapping)
{
    tenant->rate_per_s = cw_yaml_real(mapping, "requests_per_s", 0, rate_max, 0);
    tenant->burst = cw_yaml_real(mapping, "burst", 0, rate_max, 0);
    tenant->concurrent = (uint32_t)cw_yaml_number(mapping, "concurrent", 0, CONCURRENT_MAX, 0);
    tenant->priority = (uint32_t)cw_yaml_number(mapping, "priority", 0, PRIORITY_MAX, 0);
    if (tenant->burst > 0 && tenant->rate_per_s == 0) {
        cw_yaml_report(mapping->document, cw_yaml_get(mapping, "burst", false),
                       "'burst' says nothing without 'requests_per_s' above 0");
    }
}

void cw_intent_read_tenant(cw_intent_t *intent, cw_yaml_mapping_t *mapping)
{
    const char  *name = cw_yaml_name(mapping, "tenant", true);
    cw_tenant_t *tenant = cw_configuration_add_tenant(intent->configuration);

    cw_text_copy(intent->tenant, sizeof(intent->tenant), name == NULL ? "" : name);
    tenant->name = strdup(intent->tenant);
    read_keys(intent, tenant, mapping);
    read_limits(tenant, mapping);
    cw_intent_read_regions(intent, &tenant->regions, mapping);
}
