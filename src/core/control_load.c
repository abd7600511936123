/**
 * @file control_load.c
 * @brief Loads of ranges as the leader knows them from heartbeats.
 *
 * Rules:
 * - Only the present forwarder of a range's server is believed: a former one repeats what it counted for a while.
 * - A forwarder counts from nothing, so what was known before is carried on when another one takes over, and by the
 *   ranges that a split or merge makes.
 */
#include "core/control_internal.h"

double cw_control_range_load(const cw_control_t *control, cw_range_id_t range)
{
    const cw_range_track_t *track = cw_control_range_track(control, range);

    return track == NULL ? 0 : cw_placement_load_at(&track->load, control->now.monotonic_us);
}

static bool is_forwarder(const cw_control_t *control, const Cw__RangeInfo *range, const Cw__NodeInfo *node)
{
    const Cw__ServerInfo *server = cw_control_state_server(control->state, range->server);

    return server != NULL && server->forwarder == node->id && server->forwarder_incarnation == node->incarnation;
}

static void take_load(cw_control_t *control, cw_range_track_t *track, const Cw__RangeLoad *load,
                      cw_incarnation_t counted_by)
{
    cw_time_us_t now_us = control->now.monotonic_us;

    if (track->counted_by != counted_by && track->counted_by != 0) {
        cw_placement_load_carry(&track->load, cw_placement_load_at(&track->load, now_us), now_us);
    }
    track->counted_by = counted_by;
    cw_placement_load_tell(&track->load, load->requests_per_second, now_us);
    track->hot_load = load->n_hot_keys > 0 ? load->hot_keys[0]->requests_per_second : 0;
    track->hot_key = load->n_hot_keys > 0 ? load->hot_keys[0]->key_hash : 0;
}

void cw_control_take_loads(cw_control_t *control, const Cw__Heartbeat *heartbeat)
{
    const Cw__RangeLoad *load;
    const Cw__RangeInfo *range;
    cw_range_track_t    *track;
    cw_service_track_t  *service;
    size_t               position;

    for (position = 0; position < heartbeat->n_loads; position++) {
        load = heartbeat->loads[position];
        range = cw_control_state_range(control->state, load->range);
        if (range == NULL || !is_forwarder(control, range, heartbeat->node)) {
            continue;
        }
        track = cw_control_make_range_track(control, load->range);
        service = cw_control_make_service_track(control, range->service);
        if (track == NULL || service == NULL) {
            continue;
        }
        take_load(control, track, load, heartbeat->node->incarnation);
        service->balance_wanted = true;
    }
}

void cw_control_note_split(cw_control_t *control, const Cw__RangeInfo *whole, cw_key_hash_t key)
{
    const cw_range_track_t *track = cw_control_range_track(control, whole->id);
    cw_service_track_t     *service = cw_control_make_service_track(control, whole->service);

    if (track == NULL || service == NULL) {
        return;
    }
    service->reshaped_low = whole->low;
    service->reshaped_last = whole->last;
    service->reshaped_key = key;
    service->reshaped_load = cw_control_range_load(control, whole->id);
    service->reshaped_hot_load = track->hot_load < service->reshaped_load ? track->hot_load : service->reshaped_load;
}

void cw_control_note_merge(cw_control_t *control, const Cw__RangeInfo *left, const Cw__RangeInfo *right)
{
    cw_service_track_t *service = cw_control_make_service_track(control, left->service);

    if (service == NULL) {
        return;
    }
    service->reshaped_low = left->low;
    service->reshaped_last = right->last;
    service->reshaped_key = left->low; /* the whole load belongs to the one new range */
    service->reshaped_load = cw_control_range_load(control, left->id) + cw_control_range_load(control, right->id);
    service->reshaped_hot_load = service->reshaped_load;
}

/* Load that a range made by the last split or merge begins with. */
static double part_load(const cw_service_track_t *service, const Cw__RangeInfo *part)
{
    double whole = (double)(service->reshaped_last - service->reshaped_low);
    double width = (double)(part->last - part->low);

    if (part->low <= service->reshaped_key && service->reshaped_key <= part->last) {
        return service->reshaped_hot_load;
    }
    return (service->reshaped_load - service->reshaped_hot_load) * width / whole;
}

void cw_control_note_created(cw_control_t *control, const Cw__RangeInfo *range)
{
    const cw_service_track_t *service = cw_control_make_service_track(control, range->service);
    cw_range_track_t         *track;

    if (service == NULL || service->reshaped_load <= 0 || range->low < service->reshaped_low ||
        range->last > service->reshaped_last || cw_control_range_track(control, range->id) != NULL) {
        return;
    }
    track = cw_control_make_range_track(control, range->id);
    if (track != NULL) {
        cw_placement_load_carry(&track->load, part_load(service, range), control->now.monotonic_us);
    }
}
