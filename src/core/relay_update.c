/**
 * @file relay_update.c
 * @brief Taking route updates: which ones apply, which beats are new.
 */
#include "cedarwinch/error.h"
#include "core/relay_internal.h"

enum { GAP_REQUESTS_PER_INTERVAL = 4 };

bool cw_relay_merge(cw_relay_t *relay, uint64_t generation, uint64_t base_version, const Cw__ControlSnapshot *changes,
                    const uint64_t *removed_ranges, size_t removed_count)
{
    bool replace_all = base_version == 0;

    if (cw_control_state_merge(relay->routes, changes, removed_ranges, removed_count, replace_all) != CW_OK) {
        return false;
    }
    if (generation != relay->generation) {
        relay->term = 0;
        relay->beat = 0;
        relay->beat_heard = false;
        relay->leader_term = 0;
    }
    relay->generation = generation;
    relay->version = changes->version;
    if (replace_all || changes->n_nodes > 0) {
        relay->tree_stale = true;
    }
    return true;
}

bool cw_relay_note_beat(cw_relay_t *relay, uint64_t term, uint64_t beat, cw_instant_t now)
{
    bool newer = !relay->beat_heard || term > relay->term || (term == relay->term && beat > relay->beat);

    if (!newer) {
        return false;
    }
    relay->term = term;
    relay->beat = beat;
    relay->beat_heard = true;
    relay->beat_us = now.monotonic_us;
    relay->discovering = false;
    relay->hello_count = 0;
    return true;
}

static bool is_newer(const cw_relay_t *relay, const Cw__RouteUpdate *update)
{
    if (update->generation != relay->generation) {
        return update->generation > relay->generation;
    }
    return update->version > relay->version;
}

static bool has_gap(const cw_relay_t *relay, const Cw__RouteUpdate *update)
{
    if (update->changes == NULL || update->changes->version != update->version) {
        return true;
    }
    if (update->base_version == 0) {
        return false;
    }
    return update->generation != relay->generation || update->base_version > relay->version;
}

static void ask_for_missing(cw_relay_t *relay, cw_node_id_t from, cw_instant_t now)
{
    if (now.monotonic_us - relay->gap_us < relay->interval_us / GAP_REQUESTS_PER_INTERVAL) {
        return;
    }
    relay->gap_us = now.monotonic_us;
    cw_relay_subscribe(relay, from);
}

bool cw_relay_take_update(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now)
{
    const Cw__RouteUpdate *update = envelope->route_update;
    bool                   changed = false;
    bool                   new_beat;
    bool                   newest_beat;

    if (relay->is_source || update->generation < relay->generation) {
        return false;
    }
    if (is_newer(relay, update)) {
        if (has_gap(relay, update)) {
            ask_for_missing(relay, envelope->from, now);
            return false;
        }
        changed = cw_relay_merge(relay, update->generation, update->base_version, update->changes,
                                 update->removed_ranges, update->n_removed_ranges);
        if (!changed) {
            return false;
        }
    }
    if (update->term >= relay->leader_term) {
        cw_relay_use_leader(relay, update->leader, update->term, update->control_members, update->n_control_members);
    }
    new_beat = cw_relay_note_beat(relay, update->term, update->beat, now);
    newest_beat = update->term == relay->term && update->beat == relay->beat;
    cw_relay_heard_parent(relay, envelope->from, newest_beat, now);
    if (changed || new_beat) {
        cw_relay_pass_on(relay, now);
    }
    return changed;
}
