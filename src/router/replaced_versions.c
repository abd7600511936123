/**
 * @file replaced_versions.c
 * @brief Ring buffer of the last versions that were replaced.
 */
#include "router/replaced_versions.h"

#include <string.h>

void cw_replaced_versions_begin(cw_replaced_versions_t *replaced)
{
    memset(replaced, 0, sizeof(*replaced));
}

void cw_replaced_versions_add(cw_replaced_versions_t *replaced, uint64_t version, cw_time_us_t valid_at)
{
    if (version != replaced->newest + 1) {
        replaced->count = 0;
    }
    replaced->newest = version;
    replaced->valid_at[version % CW_REPLACED_VERSIONS_MAX] = valid_at;
    replaced->count += replaced->count < CW_REPLACED_VERSIONS_MAX ? 1 : 0;
}

size_t cw_replaced_versions_ages(const cw_replaced_versions_t *replaced, cw_time_us_t now,
                                 uint32_t ages_ms[CW_REPLACED_VERSIONS_MAX])
{
    size_t index;

    for (index = 0; index < replaced->count; index++) {
        cw_time_us_t valid_at = replaced->valid_at[(replaced->newest - index) % CW_REPLACED_VERSIONS_MAX];

        ages_ms[index] = now <= valid_at ? 0 : (uint32_t)((now - valid_at) / 1000) + 1;
    }
    return replaced->count;
}

cw_time_us_t cw_replaced_versions_valid_at(uint64_t has, uint64_t newest, const uint32_t *ages_ms, size_t count,
                                           cw_time_us_t now)
{
    uint64_t behind = newest - has;

    if (has == 0 || has >= newest || behind > count) {
        return 0;
    }
    return now - CW_MS(ages_ms[behind - 1]);
}
