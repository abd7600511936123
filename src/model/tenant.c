/**
 * @file tenant.c
 * @brief Tenants.
 */
#include "model/tenant.h"

#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint32_t cw_tenant_hash(const char *name)
{
    uint32_t hash = (uint32_t)XXH3_64bits(name, strlen(name));

    return hash == 0 ? 1 : hash;
}

bool cw_tenant_owns(const char *tenant, const char *name)
{
    size_t length = strlen(tenant);

    return strncmp(name, tenant, length) == 0 && name[length] == '/';
}

/* Returns the position of the first key that is not less than this one. */
static size_t position_of(const cw_tenant_t *tenant, const cw_key_digest_t *key)
{
    size_t low = 0;
    size_t high = tenant->key_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (memcmp(&tenant->keys[middle], key, sizeof(*key)) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

bool cw_tenant_has_key(const cw_tenant_t *tenant, const cw_key_digest_t *key)
{
    size_t position = position_of(tenant, key);

    return position < tenant->key_count && memcmp(&tenant->keys[position], key, sizeof(*key)) == 0;
}

void cw_tenant_add_key(cw_tenant_t *tenant, const cw_key_digest_t *key)
{
    size_t position = position_of(tenant, key);

    tenant->needs_key = true;
    if (cw_tenant_has_key(tenant, key)) {
        return;
    }
    tenant->keys = reallocarray(tenant->keys, tenant->key_count + 1, sizeof(*tenant->keys));
    if (tenant->keys == NULL) {
        abort();
    }
    memmove(&tenant->keys[position + 1], &tenant->keys[position],
            (tenant->key_count - position) * sizeof(*tenant->keys));
    tenant->keys[position] = *key;
    tenant->key_count++;
}

bool cw_tenant_same_keys(const cw_tenant_t *left, const cw_tenant_t *right)
{
    if (left->key_count != right->key_count || left->needs_key != right->needs_key) {
        return false;
    }
    return left->key_count == 0 || memcmp(left->keys, right->keys, left->key_count * sizeof(*left->keys)) == 0;
}

bool cw_tenant_same(const cw_tenant_t *left, const cw_tenant_t *right)
{
    bool same_limits = left->rate_per_s == right->rate_per_s && left->burst == right->burst &&
                       left->concurrent == right->concurrent && left->priority == right->priority;

    return strcmp(left->name, right->name) == 0 && same_limits && cw_tenant_same_keys(left, right) &&
           cw_name_set_same(&left->regions, &right->regions);
}

void cw_tenant_clear(cw_tenant_t *tenant)
{
    free(tenant->name);
    free(tenant->keys);
    cw_name_set_clear(&tenant->regions);
    memset(tenant, 0, sizeof(*tenant));
}

void cw_tenant_digest_of_key(cw_key_digest_t *digest, const char *key)
{
    struct sha256_ctx context;

    sha256_init(&context);
    sha256_update(&context, strlen(key), (const uint8_t *)key);
    sha256_digest(&context, sizeof(digest->bytes), digest->bytes);
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
