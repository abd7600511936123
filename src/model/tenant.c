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

bool cw_tenant_digest_from_text(uint8_t digest[CW_TENANT_DIGEST_BYTES], const char *text)
{
    size_t index;

    if (strlen(text) != (size_t)2 * CW_TENANT_DIGEST_BYTES ||
        strspn(text, "0123456789abcdefABCDEF") != (size_t)2 * CW_TENANT_DIGEST_BYTES) {
        return false;
    }
    for (index = 0; index < CW_TENANT_DIGEST_BYTES; index++) {
        char byte[3] = {text[2 * index], text[2 * index + 1], '\0'};

        digest[index] = (uint8_t)strtoul(byte, NULL, 16);
    }
    return true;
}

void cw_tenant_digest_to_text(char *text, size_t size, const uint8_t digest[CW_TENANT_DIGEST_BYTES])
{
    size_t index;

    text[0] = '\0';
    for (index = 0; index < CW_TENANT_DIGEST_BYTES && 2 * index + 2 < size; index++) {
        snprintf(text + 2 * index, 3, "%02x", digest[index]);
    }
}
