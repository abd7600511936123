/**
 * @file holds.c
 * @brief Follows which server holds which key from when until when, and compares holds as they end.
 */
#include "holds.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { KEYS = 65536, HOLDERS_MAX = 1024 };

static const uint64_t allowed_ns = 500000000;

/** One incarnation of a server, with its hold of each key (ns). */
typedef struct holder {
    char     server[64];
    char     service[40];
    char     address[48];
    bool     is_gone;             /**< its process has ended */
    uint64_t since[KEYS];         /**< start of the hold */
    uint64_t until[KEYS];         /**< end of the hold, which may be over; 0: none, or it was ended before */
    uint64_t until_in_time[KEYS]; /**< the same by the grants that were carried out as they were read */
} holder_t;

/** A stretch of keys that two servers held together, to be reported at once. */
typedef struct overlap {
    uint32_t low;
    uint32_t last;
    uint64_t longest_ns;
} overlap_t;

static holder_t *holders[HOLDERS_MAX];
static size_t    holder_count;
static uint64_t  together;

static holder_t *holder_of(const record_t *record)
{
    size_t index;

    for (index = 0; index < holder_count; index++) {
        if (strcmp(holders[index]->server, record->server) == 0) {
            return holders[index];
        }
    }
    if (holder_count == HOLDERS_MAX || (holders[holder_count] = calloc(1, sizeof(holder_t))) == NULL) {
        abort();
    }
    snprintf(holders[holder_count]->server, sizeof(holders[0]->server), "%s", record->server);
    snprintf(holders[holder_count]->service, sizeof(holders[0]->service), "%s", record->service);
    return holders[holder_count++];
}

static uint64_t lower(uint64_t left, uint64_t right)
{
    return left < right ? left : right;
}

static void report(const holder_t *holder, const holder_t *other, const overlap_t *overlap, uint64_t at)
{
    record_t record = {.ns = at, .low = overlap->low, .last = overlap->last};
    char     detail[160];

    if (overlap->longest_ns == 0) {
        return;
    }
    snprintf(record.server, sizeof(record.server), "%s", holder->server);
    snprintf(detail, sizeof(detail), "held by %s, too, for %.0f ms", other->server, (double)overlap->longest_ns / 1e6);
    records_violation("HELD", &record, detail);
}

/* How long both hold the key by these ends of their holds. */
static uint64_t time_of_both(const holder_t *holder, const holder_t *other, uint32_t key, uint64_t until)
{
    uint64_t since = holder->since[key] > other->since[key] ? holder->since[key] : other->since[key];

    return until > since ? until - since : 0;
}

/* Compares the holds of two servers, of which the first one's end now or ended before. */
static void compare(const holder_t *holder, const holder_t *other, uint32_t low, uint32_t last, uint64_t at)
{
    overlap_t overlap = {.longest_ns = 0};
    bool      is_together = false;
    uint32_t  key;

    for (key = low; key <= last; key++) {
        uint64_t until = lower(lower(holder->until[key], other->until[key]), at);
        uint64_t until_in_time = lower(lower(holder->until_in_time[key], other->until_in_time[key]), at);
        uint64_t both = time_of_both(holder, other, key, until_in_time);

        is_together = is_together || time_of_both(holder, other, key, until) > 0;
        if (both <= allowed_ns) {
            continue;
        }
        if (overlap.longest_ns == 0 || overlap.last + 1 != key) {
            report(holder, other, &overlap, at);
            overlap = (overlap_t){.low = key};
        }
        overlap.last = key;
        overlap.longest_ns = both > overlap.longest_ns ? both : overlap.longest_ns;
    }
    report(holder, other, &overlap, at);
    together += is_together ? 1 : 0;
}

static void end_holds(holder_t *holder, uint32_t low, uint32_t last, uint64_t at)
{
    size_t index;

    last = last < KEYS ? last : KEYS - 1;
    for (index = 0; index < holder_count; index++) {
        if (holders[index] != holder && strcmp(holders[index]->service, holder->service) == 0) {
            compare(holder, holders[index], low, last, at);
        }
    }
    memset(holder->until + low, 0, (last - low + 1) * sizeof(holder->until[0]));
    memset(holder->until_in_time + low, 0, (last - low + 1) * sizeof(holder->until_in_time[0]));
}

/* The process has ended: a record that it wrote just before may bear a later time. */
static void end_holder(holder_t *holder, uint64_t at)
{
    if (!holder->is_gone) {
        end_holds(holder, 0, KEYS - 1, at);
        holder->is_gone = true;
    }
}

static void handle_start(const record_t *record)
{
    holder_t *holder = holder_of(record);
    size_t    index;

    snprintf(holder->address, sizeof(holder->address), "%s", record->address);
    for (index = 0; record->address[0] != '\0' && index < holder_count; index++) {
        if (holders[index] != holder && strcmp(holders[index]->address, record->address) == 0) {
            end_holder(holders[index], record->ns);
        }
    }
}

/* Ends those of the holds that ran out before now, in stretches, so that each is reported once. */
static void end_past_holds(holder_t *holder, uint32_t low, uint32_t last, uint64_t at)
{
    uint32_t first = low;
    uint32_t key;

    for (key = low; key <= last; key++) {
        if (holder->until[key] == 0 || holder->until[key] > at) {
            if (first < key) {
                end_holds(holder, first, key - 1, at);
            }
            first = key + 1;
        }
    }
    if (first <= last) {
        end_holds(holder, first, last, at);
    }
}

static void handle_grant(const record_t *record)
{
    holder_t *holder = holder_of(record);
    uint32_t  last = record->last < KEYS ? record->last : KEYS - 1;
    uint32_t  key;

    if (holder->is_gone) {
        return;
    }
    end_past_holds(holder, record->low, last, record->ns);
    for (key = record->low; key <= last; key++) {
        if (holder->until[key] == 0) {
            holder->since[key] = record->ns;
        }
        holder->until[key] = record->ns + record->hold_ms * 1000000;
        if (record->late_ms == 0) {
            holder->until_in_time[key] = holder->until[key];
        }
    }
}

holds_totals_t holds_check(const records_t *records)
{
    uint64_t grants = 0;
    size_t   index;

    for (index = 0; index < records->count; index++) {
        const record_t *record = &records->items[index];

        if (record->of_caller) {
            continue;
        }
        if (strcmp(record->event, "start") == 0) {
            handle_start(record);
        } else if (strcmp(record->event, "grant") == 0 && record->hold_ms > 0) {
            handle_grant(record);
            grants++;
        } else if (strcmp(record->event, "release") == 0 && record->low < KEYS && record->low <= record->last) {
            end_holds(holder_of(record), record->low, record->last, record->ns);
        } else if (strcmp(record->event, "stop") == 0 || strcmp(record->event, "gone") == 0 ||
                   strcmp(record->event, "crash") == 0) {
            end_holder(holder_of(record), record->ns);
        }
    }
    for (index = 0; index < holder_count; index++) {
        end_holds(holders[index], 0, KEYS - 1, records->count == 0 ? 0 : records->items[records->count - 1].ns);
    }
    return (holds_totals_t){.grants = grants, .together = together};
}
