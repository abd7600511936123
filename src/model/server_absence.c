/**
 * @file server_absence.c
 * @brief Keeps servers whose entries are missing after an outage.
 */
#include "model/server_absence.h"

#include <stdlib.h>
#include <string.h>

#include "model/list_evidence.h"

enum {
    OUTAGE_MS = 1500, /* age from which the list in force is old */
    GRACE_MIN_MS = 1500,
    GRACE_MAX_MS = 2000,   /* servers have written their entries about two seconds after the store is available again */
    GRACE_SLACK_MS = 700,  /* a server's first write after the outage may fail or wait */
    DRAIN_MARGIN_MS = 250, /* time between the last requests and the end of the drain time */
    MANY_PERCENT = 50      /* if a larger share of the servers is missing at once, the missing ones are kept */
};

static cw_time_us_t not_below(cw_time_us_t value, cw_time_us_t least)
{
    return value < least ? least : value;
}

static cw_time_us_t not_above(cw_time_us_t value, cw_time_us_t most)
{
    return value > most ? most : value;
}

cw_absence_settings_t cw_absence_settings_of(cw_time_us_t heartbeat, cw_time_us_t drain)
{
    cw_time_us_t grace = not_below(heartbeat + CW_MS(GRACE_SLACK_MS), CW_MS(GRACE_MIN_MS));

    grace = not_above(grace, CW_MS(GRACE_MAX_MS));
    grace = not_above(grace, drain - CW_MS(DRAIN_MARGIN_MS));
    return (cw_absence_settings_t){.outage = CW_MS(OUTAGE_MS), .grace = grace, .usable = cw_list_usable_age(drain)};
}

bool cw_absence_is_over(const cw_server_entry_t *entry, cw_time_us_t now)
{
    return entry->missing_since != 0 && now >= entry->keep_until;
}

static bool is_after_outage(const cw_absence_settings_t *settings, const cw_absence_reading_t *state, cw_time_us_t now)
{
    return state->store_failed && now - state->known_at > settings->outage;
}

cw_time_us_t cw_absence_keep_until(const cw_absence_settings_t *settings, const cw_absence_reading_t *state,
                                   cw_time_us_t missing_since, cw_time_us_t now)
{
    cw_time_us_t by_grace = missing_since + settings->grace;

    if (state->may_be_of_copy || state->known_at == 0) {
        return by_grace;
    }
    if (!is_after_outage(settings, state, now)) {
        return not_above(by_grace, state->known_at + settings->usable);
    }
    return state->bound_from == 0 ? by_grace : not_above(by_grace, state->bound_from);
}

static bool is_missing(const cw_server_list_t *reading, const cw_server_entry_t *entry)
{
    return !entry->draining && cw_server_list_find(reading, entry->id) == NULL;
}

/* Number of servers that are missing for the first time. */
static size_t count_newly_missing(const cw_server_list_t *reading, const cw_server_list_t *known)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < known->count; index++) {
        const cw_server_entry_t *entry = &known->entries[index];

        count += entry->missing_since == 0 && is_missing(reading, entry) ? 1 : 0;
    }
    return count;
}

/* Whether another server has registered at the address since. One that was known beside the missing server had the
 * address before it, as a copy from which the store came back may list it. */
static bool has_successor(const cw_server_list_t *reading, const cw_server_list_t *known,
                          const cw_server_entry_t *entry, const cw_absence_reading_t *state)
{
    const cw_server_entry_t *other = cw_server_list_successor(reading, entry->id, entry->address);

    return other != NULL && !state->may_be_of_copy && cw_server_list_find(known, other->id) == NULL;
}

/* Returns the entries to keep, with their missing_since, in a separate list: adding them to the reading here would
 * break the order that lookups in it need. */
static cw_server_list_t *entries_to_keep(const cw_absence_settings_t *settings, const cw_server_list_t *reading,
                                         const cw_server_list_t *known, const cw_absence_reading_t *state,
                                         bool after_outage, cw_time_us_t now)
{
    cw_server_list_t *kept = cw_server_list_create();
    size_t            index;

    for (index = 0; index < known->count; index++) {
        cw_server_entry_t entry = known->entries[index];

        if (!is_missing(reading, &entry) || (entry.missing_since == 0 && !after_outage) ||
            has_successor(reading, known, &entry, state)) {
            continue;
        }
        if (entry.missing_since == 0) {
            entry.missing_since = now;
            entry.keep_until = cw_absence_keep_until(settings, state, now, now);
        }
        if (!cw_absence_is_over(&entry, now)) {
            cw_server_list_put(kept, 0, &entry);
        }
    }
    return kept;
}

size_t cw_server_absence_fill(const cw_absence_settings_t *settings, cw_server_list_t *reading,
                              const cw_server_list_t *known, const cw_absence_reading_t *state, cw_time_us_t now)
{
    size_t            newly = known == NULL ? 0 : count_newly_missing(reading, known);
    bool              after_outage = is_after_outage(settings, state, now);
    cw_server_list_t *kept;
    size_t            count;
    size_t            index;

    if (known == NULL) {
        return 0;
    }
    kept = entries_to_keep(settings, reading, known, state,
                           after_outage || newly * 100 > known->count * (size_t)MANY_PERCENT, now);
    count = kept->count;
    for (index = 0; index < count; index++) {
        cw_server_list_put(reading, 0, &kept->entries[index]);
    }
    cw_server_list_release(kept);
    if (count > 0) {
        cw_server_list_seal(reading);
    }
    return count;
}
