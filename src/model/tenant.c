/**
 * @file tenant.c
 * @brief Tenants.
 */
#include "model/tenant.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool cw_tenant_owns(const char *tenant, const char *name)
{
    size_t length = strlen(tenant);

    return strncmp(name, tenant, length) == 0 && name[length] == '/';
}

static bool has_key(const cw_tenant_t *tenant, const cw_key_digest_t *key)
{
    size_t index;

    for (index = 0; index < tenant->key_count; index++) {
        if (memcmp(&tenant->keys[index], key, sizeof(*key)) == 0) {
            return true;
        }
    }
    return false;
}

void cw_tenant_add_key(cw_tenant_t *tenant, const cw_key_digest_t *key)
{
    if (has_key(tenant, key)) {
        return;
    }
    tenant->keys = realloc(tenant->keys, (tenant->key_count + 1) * sizeof(*tenant->keys));
    if (tenant->keys == NULL) {
        abort();
    }
    tenant->keys[tenant->key_count++] = *key;
}

bool cw_tenant_same_keys(const cw_tenant_t *left, const cw_tenant_t *right)
{
    size_t index;

    if (left->key_count != right->key_count) {
        return false;
    }
    for (index = 0; index < left->key_count; index++) {
        if (!has_key(right, &left->keys[index])) {
            return false;
        }
    }
    return true;
}

void cw_tenant_clear(cw_tenant_t *tenant)
{
    free(tenant->name);
    free(tenant->keys);
    cw_name_set_clear(&tenant->regions);
    memset(tenant, 0, sizeof(*tenant));
}

bool cw_tenant_digest_from_text(cw_key_digest_t *digest, const char *text)
{
    size_t index;

    if (strlen(text) != (size_t)2 * CW_TENANT_DIGEST_BYTES ||
        strspn(text, "0123456789abcdefABCDEF") != (size_t)2 * CW_TENANT_DIGEST_BYTES) {
        return false;
    }
    for (index = 0; index < CW_TENANT_DIGEST_BYTES; index++) {
        char byte[3] = {text[2 * index], text[2 * index + 1], '\0'};

        digest->bytes[index] = (uint8_t)strtoul(byte, NULL, 16);
    }
    return true;
}

void cw_tenant_digest_to_text(char *text, size_t size, const cw_key_digest_t *digest)
{
    size_t index;

    text[0] = '\0';
    for (index = 0; index < CW_TENANT_DIGEST_BYTES && 2 * index + 2 < size; index++) {
        snprintf(text + 2 * index, 3, "%02x", digest->bytes[index]);
    }
}
