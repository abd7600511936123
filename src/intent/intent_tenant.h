/**
 * @file intent_tenant.h
 * @brief Parsing of the tenant of an intent: its callers' keys, limits, priority and regions.
 */
#ifndef CEDARWINCH_INTENT_INTENT_TENANT_H
#define CEDARWINCH_INTENT_INTENT_TENANT_H

#include "config/yaml_tree.h"
#include "intent/intent.h"

/** Reads the fields of the intent's mapping that concern the tenant, and adds the tenant to intent->configuration. */
void cw_intent_read_tenant(cw_intent_t *intent, cw_yaml_mapping_t *mapping);
/** Reads the field `regions` of a tenant or a route. */
void cw_intent_read_regions(const cw_intent_t *intent, cw_name_set_t *regions, cw_yaml_mapping_t *mapping);

#endif
