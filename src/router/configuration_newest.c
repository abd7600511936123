/**
 * @file configuration_newest.c
 * @brief The highest version that other nodes have in force; the rules are in configuration_newest.h.
 */
#include "router/configuration_newest.h"

void cw_configuration_newest_record(cw_configuration_newest_t *newest, uint64_t version, uint64_t own, cw_time_us_t now)
{
    if (version <= own || version <= newest->version) {
        return;
    }
    if (newest->version <= own) {
        newest->since = now;
    }
    newest->version = version;
}

bool cw_configuration_newest_is_overdue(const cw_configuration_newest_t *newest, uint64_t own, cw_time_us_t max_wait,
                                        cw_time_us_t now)
{
    return newest->version > own && now - newest->since >= max_wait;
}

void cw_configuration_newest_start_read(cw_configuration_newest_t *newest, cw_time_us_t now)
{
    newest->since = now;
    newest->read_at = now;
}

bool cw_configuration_newest_try_start_read(cw_configuration_newest_t *newest, cw_time_us_t interval, cw_time_us_t now)
{
    if (now - newest->read_at < interval) {
        return false;
    }
    newest->read_at = now;
    return true;
}
