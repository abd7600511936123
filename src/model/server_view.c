/**
 * @file server_view.c
 * @brief The list in force, and the departures of servers.
 */
#include "model/server_view.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "model/server_incarnation.h"
#include "model/store_epoch.h"

enum { DEPARTURE_RETENTION_S = 60 }; /* longer than any message or write about a server that has left can be delayed */

void cw_server_view_init(cw_server_view_t *view, const cw_absence_settings_t *absence)
{
    memset(view, 0, sizeof(*view));
    view->absence = *absence;
}

void cw_server_view_clear(cw_server_view_t *view)
{
    size_t index;

    for (index = 0; index < view->departure_count; index++) {
        free(view->departures[index].id);
    }
    free(view->departures);
    cw_server_list_release(view->list);
    memset(view, 0, sizeof(*view));
}

/* ---- departures ---- */

/* Returns the index of an id among the departures, or the index at which it would be inserted. */
static size_t place_of(const cw_server_view_t *view, const char *id)
{
    size_t low = 0;
    size_t high = view->departure_count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (strcmp(view->departures[middle].id, id) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static cw_server_departure_t *find_departure(const cw_server_view_t *view, const char *id)
{
    size_t place = place_of(view, id);

    return place < view->departure_count && strcmp(view->departures[place].id, id) == 0 ? &view->departures[place]
                                                                                        : NULL;
}

const cw_server_departure_t *cw_server_view_departure(const cw_server_view_t *view, const char *id)
{
    return find_departure(view, id);
}

static cw_server_departure_t *find_or_add_departure(cw_server_view_t *view, const char *id)
{
    size_t                 place = place_of(view, id);
    cw_server_departure_t *departure;

    if (place < view->departure_count && strcmp(view->departures[place].id, id) == 0) {
        return &view->departures[place];
    }
    view->departures = cw_memory_resize(view->departures, (view->departure_count + 1) * sizeof(*view->departures));
    departure = &view->departures[place];
    memmove(departure + 1, departure, (view->departure_count - place) * sizeof(*departure));
    memset(departure, 0, sizeof(*departure));
    departure->id = strdup(id);
    if (departure->id == NULL) {
        abort();
    }
    view->departure_count++;
    return departure;
}

static void discard_departures(cw_server_view_t *view, cw_time_us_t now)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < view->departure_count; index++) {
        if (now - view->departures[index].last_recorded_at > CW_SECONDS(DEPARTURE_RETENTION_S)) {
            free(view->departures[index].id);
        } else {
            view->departures[kept++] = view->departures[index];
        }
    }
    view->departure_count = kept;
}

static void record_missing(cw_server_view_t *view, const cw_server_entry_t *entry, uint64_t latest, cw_time_us_t now)
{
    cw_server_departure_t *departure = find_or_add_departure(view, entry->id);

    if (departure->since == 0) {
        departure->since = entry->missing_since != 0 ? entry->missing_since : now;
    }
    departure->sequence = entry->sequence > departure->sequence ? entry->sequence : departure->sequence;
    departure->revision = latest > departure->revision ? latest : departure->revision;
    departure->last_recorded_at = now;
}

static void record_leaving(cw_server_view_t *view, const cw_server_entry_t *entry, cw_time_us_t now)
{
    cw_server_departure_t *departure = find_or_add_departure(view, entry->id);

    departure->is_leaving = true;
    departure->last_recorded_at = now;
}

/** Context of record_departure: the list that is applied. */
typedef struct departures_context {
    cw_server_view_t *view;
    uint64_t          latest; /* the list contains no change after this revision */
    cw_time_us_t      now;
} departures_context_t;

static void record_departure(void *context, const cw_server_entry_t *before, cw_server_entry_t *after)
{
    const departures_context_t *applied = context;

    if (after == NULL) {
        record_missing(applied->view, before, applied->latest, applied->now);
        return;
    }
    if (after->missing_since != 0) {
        record_missing(applied->view, after, applied->latest, applied->now);
    }
    if (after->draining) {
        record_leaving(applied->view, after, applied->now);
    }
}

/* Records the servers that are missing or leaving in the list that is applied. */
static void record_departures(cw_server_view_t *view, cw_server_list_t *list, uint64_t latest, cw_time_us_t now)
{
    departures_context_t applied = {.view = view, .latest = latest, .now = now};

    cw_server_lists_compare(view->list, list, record_departure, &applied);
}

/* ---- correction of entries ---- */

/* Whether a later incarnation of the same server is known to have left. */
static bool has_later_departure(const cw_server_view_t *view, const char *id)
{
    size_t length = cw_server_id_name_length(id);
    size_t place;

    for (place = place_of(view, id); place < view->departure_count; place++) {
        const char *other = view->departures[place].id;

        if (strncmp(other, id, length) != 0 || other[length] != CW_SERVER_ID_MARK) {
            return false;
        }
        if (cw_server_id_succeeds(other, id)) {
            return true;
        }
    }
    return false;
}

/* Replaces a late-written entry of a former incarnation by that of the later incarnation. False: the later one has
 * left.
 */
static bool use_latest_incarnation(const cw_server_view_t *view, cw_server_entry_t *entry)
{
    const cw_server_entry_t *newest;

    if (cw_server_id_start_ms(entry->id) == 0) {
        return true;
    }
    newest = cw_server_list_newest(view->list, entry->id);
    if (newest != NULL && cw_server_id_succeeds(newest->id, entry->id)) {
        cw_server_entry_replace(entry, newest);
        return true;
    }
    return !has_later_departure(view, entry->id);
}

/* Whether the store has come back from a copy since the server was missing, so that its entry may be of that copy. The
 * leader's list is exempt: the leader has applied this rule to its own readings. */
static bool may_be_of_copy(const cw_server_departure_t *departure, const cw_server_reading_t *reading)
{
    return !reading->is_from_leader &&
           cw_store_revision_epoch(reading->revision) > cw_store_revision_epoch(departure->revision);
}

/* Whether the entry proves that a server that was missing is present again. */
static bool is_back(const cw_server_departure_t *departure, const cw_server_entry_t *entry,
                    const cw_server_reading_t *reading)
{
    bool is_earlier = entry->sequence != 0 && entry->sequence <= departure->sequence;
    bool is_unproved = entry->sequence != 0 && departure->sequence == 0 && may_be_of_copy(departure, reading);

    return entry->missing_since == 0 && reading->revision > departure->revision &&
           (reading->is_from_leader || (!is_earlier && !is_unproved));
}

/* Records the heartbeat in an entry that may be of a copy: a later one proves that the server is present. */
static void record_heartbeat_of_copy(cw_server_departure_t *departure, const cw_server_entry_t *entry,
                                     const cw_server_reading_t *reading)
{
    departure->sequence = entry->sequence > departure->sequence ? entry->sequence : departure->sequence;
    departure->revision = reading->revision;
}

static cw_absence_reading_t absence_state(const cw_server_view_t *view, const cw_server_reading_t *reading)
{
    return (cw_absence_reading_t){.known_at = view->evidence.valid_at,
                                  .store_failed = reading->store_failed,
                                  .bound_from = reading->bound_from,
                                  .may_be_of_copy = cw_store_revision_epoch(reading->revision) >
                                                    cw_store_revision_epoch(view->revision)};
}

/* Sets until when a server without a proven entry is kept. One that this node has removed before is not kept, unless
 * the store has come back from a copy since. False: the entry must be removed from the list. */
static bool keep_missing(const cw_server_view_t *view, cw_server_entry_t *entry, const cw_server_reading_t *reading,
                         bool is_of_copy, cw_time_us_t now)
{
    cw_absence_reading_t     state = absence_state(view, reading);
    const cw_server_entry_t *known = cw_server_list_find(view->list, entry->id);

    if (known != NULL && known->missing_since != 0) {
        entry->keep_until = known->keep_until;
    } else if (known != NULL || view->list == NULL || is_of_copy) {
        entry->keep_until = cw_absence_keep_until(&view->absence, &state, entry->missing_since, now);
    } else {
        return false;
    }
    return !cw_absence_is_over(entry, now);
}

/* Corrects an entry by the recorded departure of its server, if there is one. False: the entry must be removed from the
 * list. */
static bool correct(const cw_server_view_t *view, cw_server_entry_t *entry, const cw_server_reading_t *reading,
                    cw_time_us_t now)
{
    cw_server_departure_t *departure = find_departure(view, entry->id);
    bool                   is_of_copy = departure != NULL && may_be_of_copy(departure, reading);

    if (departure != NULL) {
        departure->last_recorded_at = now;
        entry->draining = entry->draining || departure->is_leaving;
        if (departure->since != 0 && is_back(departure, entry, reading)) {
            departure->since = 0;
        } else if (departure->since != 0) {
            entry->missing_since = departure->since;
            if (is_of_copy) {
                record_heartbeat_of_copy(departure, entry, reading);
            }
        }
    }
    return entry->missing_since == 0 || keep_missing(view, entry, reading, is_of_copy, now);
}

/* Returns the list with all entries corrected, and releases the given one if a new list was made. */
static cw_server_list_t *correct_entries(const cw_server_view_t *view, const cw_server_reading_t *reading,
                                         cw_time_us_t now)
{
    cw_server_list_t *list = reading->list;
    char            **dropped = calloc(list->count + 1, sizeof(*dropped));
    cw_server_list_t *corrected;
    size_t            count = 0;
    size_t            index;

    if (dropped == NULL) {
        abort();
    }
    for (index = 0; index < list->count; index++) {
        if (!use_latest_incarnation(view, &list->entries[index]) ||
            !correct(view, &list->entries[index], reading, now)) {
            dropped[count++] = list->entries[index].id;
        }
    }
    if (count > 0) {
        corrected = cw_server_list_copy_without(list, dropped, count);
        cw_server_list_release(list);
        list = corrected;
    }
    free(dropped);
    return list;
}

/* ---- the list in force ---- */

/* Updates the list in force from a list with the same servers in the same states: only sequences and times are new. */
static void refresh_entries(cw_server_list_t *list, const cw_server_list_t *newer)
{
    size_t index;

    for (index = 0; index < list->count; index++) {
        cw_server_entry_t       *entry = &list->entries[index];
        const cw_server_entry_t *other = &newer->entries[index];

        entry->sequence = other->sequence > entry->sequence ? other->sequence : entry->sequence;
        entry->missing_since = other->missing_since;
        entry->keep_until = other->keep_until;
        entry->cold_time = other->cold_time;
    }
}

static cw_view_result_t replace(cw_server_view_t *view, cw_server_list_t *list, cw_server_list_t **before)
{
    size_t index;

    if (cw_server_list_same(view->list, list)) {
        refresh_entries(view->list, list);
        cw_server_list_release(list);
        return CW_VIEW_SAME;
    }
    *before = view->list;
    view->list = list;
    view->hash = cw_server_list_hash(list);
    view->kept = 0;
    for (index = 0; index < list->count; index++) {
        view->kept += list->entries[index].missing_since != 0 ? 1 : 0;
    }
    return CW_VIEW_CHANGED;
}

cw_view_result_t cw_server_view_apply(cw_server_view_t *view, const cw_server_reading_t *reading, cw_time_us_t now,
                                      cw_server_list_t **before)
{
    uint64_t          latest = reading->latest > reading->revision ? reading->latest : reading->revision;
    cw_server_list_t *list;

    *before = NULL;
    if (reading->revision < view->revision) {
        cw_server_list_release(reading->list);
        return CW_VIEW_OLDER;
    }
    list = correct_entries(view, reading, now);
    if (!reading->is_from_leader) {
        /* The caller finds the number of added servers in the list and logs it. */
        cw_absence_reading_t state = absence_state(view, reading);

        (void)cw_server_absence_fill(&view->absence, list, view->list, &state, now);
    }
    record_departures(view, list, latest, now);
    discard_departures(view, now);
    cw_server_view_confirm(view, reading->revision, &reading->evidence);
    return replace(view, list, before);
}

void cw_server_view_confirm(cw_server_view_t *view, uint64_t revision, const cw_list_evidence_t *evidence)
{
    view->revision = revision > view->revision ? revision : view->revision;
    if (evidence->valid_at > view->evidence.valid_at) {
        view->evidence = *evidence;
    }
}

static bool has_expired_entry(const cw_server_view_t *view, cw_time_us_t now)
{
    size_t index;

    for (index = 0; view->kept > 0 && index < view->list->count; index++) {
        if (cw_absence_is_over(&view->list->entries[index], now)) {
            return true;
        }
    }
    return false;
}

cw_view_result_t cw_server_view_expire(cw_server_view_t *view, cw_time_us_t now, cw_server_list_t **before)
{
    cw_server_reading_t unchanged = {.revision = view->revision, .is_from_leader = true};

    *before = NULL;
    if (!has_expired_entry(view, now)) {
        return CW_VIEW_SAME;
    }
    unchanged.list = cw_server_list_copy_without(view->list, NULL, 0);
    return cw_server_view_apply(view, &unchanged, now, before);
}
