/**
 * @file intent_tenant.h
 * @brief Reading of what an intent says of its tenant: its callers' keys, limits, priority and regions.
 */
#ifndef CEDARWINCH_INTENT_INTENT_TENANT_H
#define CEDARWINCH_INTENT_INTENT_TENANT_H

#include "config/yaml_tree.h"
#include "intent/intent.h"

/** Adds the tenant to intent->part. */
void cw_intent_read_tenant(cw_intent_t *intent, cw_yaml_mapping_t *mapping);
/** The key `regions` of a tenant or a route. */
void cw_intent_read_regions(const cw_intent_t *intent, cw_name_set_t *regions, cw_yaml_mapping_t *mapping);

#endif
