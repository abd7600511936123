/**
 * @file server_absence.c
 * @brief Missing entries after an outage of the list.
 */
#include "model/server_absence.h"

#include <stdlib.h>
#include <string.h>

enum { OUTAGE_MS = 1500, GRACE_MIN_MS = 1500, GRACE_MAX_MS = 3000, GRACE_SLACK_MS = 700, MANY_PERCENT = 50 };

cw_absence_settings_t cw_absence_settings_of(cw_time_us_t heartbeat)
{
    cw_absence_settings_t settings = {.outage = CW_MS(OUTAGE_MS), .grace = heartbeat + CW_MS(GRACE_SLACK_MS)};

    if (settings.grace < CW_MS(GRACE_MIN_MS)) {
        settings.grace = CW_MS(GRACE_MIN_MS);
    }
    if (settings.grace > CW_MS(GRACE_MAX_MS)) {
        settings.grace = CW_MS(GRACE_MAX_MS);
    }
    return settings;
}

static bool is_missing(const cw_server_list_t *reading, const cw_server_entry_t *entry)
{
    return !entry->draining && cw_server_list_find(reading, entry->id) == NULL;
}

static size_t count_missing(const cw_server_list_t *reading, const cw_server_list_t *known)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < known->count; index++) {
        count += is_missing(reading, &known->entries[index]) ? 1 : 0;
    }
    return count;
}

/* Those found are kept aside first: adding entries would spoil the order that looking up needs. */
static size_t add_missing(cw_server_list_t *reading, const cw_server_list_t *known)
{
    const cw_server_entry_t **kept = calloc(known->count + 1, sizeof(const cw_server_entry_t *));
    size_t                    count = 0;
    size_t                    index;

    if (kept == NULL) {
        abort();
    }
    for (index = 0; index < known->count; index++) {
        const cw_server_entry_t *entry = &known->entries[index];

        if (is_missing(reading, entry) && cw_server_list_successor(reading, entry->id, entry->address) == NULL) {
            kept[count++] = entry;
        }
    }
    for (index = 0; index < count; index++) {
        cw_server_list_put(reading, 0, kept[index]);
    }
    free(kept);
    return count;
}

size_t cw_server_absence_fill(cw_server_absence_t *absence, const cw_absence_settings_t *settings,
                              cw_server_list_t *reading, const cw_server_list_t *known, cw_time_us_t known_at,
                              cw_time_us_t now)
{
    size_t missing = known == NULL ? 0 : count_missing(reading, known);

    if (missing == 0) {
        return 0;
    }
    if (now >= absence->kept_until &&
        (now - known_at > settings->outage || missing * 100 > known->count * (size_t)MANY_PERCENT)) {
        if (absence->kept_until == 0 || now - absence->kept_until > settings->outage) {
            absence->kept_until = now + settings->grace;
        }
    }
    return now < absence->kept_until ? add_missing(reading, known) : 0;
}
