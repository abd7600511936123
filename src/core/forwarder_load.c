/**
 * @file forwarder_load.c
 * @brief Decayed request rate of each range, and its hot keys by the space-saving sketch.
 *
 * Each request adds 1/T to a rate that decays with time constant T, so a steady rate is its own fixed point. The
 * sketch decays all its counters alike, which keeps their order. A key is reported with its count less its error: the
 * part that is proved to be its own.
 */
#include <math.h>

#include "cedarwinch/placement.h"
#include "core/forwarder_internal.h"

#define DECAY_S          ((double)CW_PLACEMENT_LOAD_DECAY_US / CW_US_PER_S)
#define REPORTED_MINIMUM 0.1 /* requests per second */

void cw_range_load_decay(cw_range_load_t *load, cw_time_us_t now)
{
    double factor;
    size_t position;

    if (now <= load->updated_us) {
        return;
    }
    factor = exp(-(double)(now - load->updated_us) / ((double)CW_US_PER_S * DECAY_S));
    load->updated_us = now;
    load->requests_per_second *= factor;
    for (position = 0; position < load->key_count; position++) {
        load->keys[position].count *= factor;
        load->keys[position].error *= factor;
    }
}

static cw_hot_key_t *find_counter(cw_range_load_t *load, cw_key_hash_t key_hash)
{
    cw_hot_key_t *smallest = NULL;
    size_t        position;

    for (position = 0; position < load->key_count; position++) {
        if (load->keys[position].key_hash == key_hash) {
            return &load->keys[position];
        }
        if (smallest == NULL || load->keys[position].count < smallest->count) {
            smallest = &load->keys[position];
        }
    }
    if (load->key_count < CW_HOT_KEYS) {
        smallest = &load->keys[load->key_count++];
        smallest->count = 0;
    }
    smallest->key_hash = key_hash;
    smallest->error = smallest->count;
    return smallest;
}

void cw_range_load_add(cw_range_load_t *load, cw_key_hash_t key_hash, cw_time_us_t now)
{
    cw_range_load_decay(load, now);
    load->requests_per_second += 1.0 / DECAY_S;
    find_counter(load, key_hash)->count += 1.0 / DECAY_S;
}

static size_t report_keys(const cw_range_load_t *load, Cw__KeyLoad *keys, Cw__KeyLoad **pointers)
{
    size_t count = 0;
    size_t position;
    size_t place;

    for (position = 0; position < load->key_count; position++) {
        double proved = load->keys[position].count - load->keys[position].error;

        if (proved < REPORTED_MINIMUM) {
            continue;
        }
        cw__key_load__init(&keys[count]);
        keys[count].key_hash = load->keys[position].key_hash;
        keys[count].requests_per_second = proved;
        for (place = count; place > 0 && pointers[place - 1]->requests_per_second < proved; place--) {
            pointers[place] = pointers[place - 1];
        }
        pointers[place] = &keys[count];
        count++;
    }
    return count;
}

void cw_forwarder_each_load(cw_forwarder_t *forwarder, void (*visit)(void *context, const Cw__RangeLoad *load),
                            void *context, cw_instant_t now)
{
    cw_forwarder_range_t *range;
    Cw__KeyLoad           keys[CW_HOT_KEYS];
    Cw__KeyLoad          *pointers[CW_HOT_KEYS];

    for (range = forwarder->ranges; range != NULL; range = range->hh.next) {
        Cw__RangeLoad load = CW__RANGE_LOAD__INIT;

        cw_range_load_decay(&range->load, now.monotonic_us);
        load.range = range->id;
        load.requests_per_second = range->load.requests_per_second;
        load.n_hot_keys = report_keys(&range->load, keys, pointers);
        load.hot_keys = pointers;
        visit(context, &load);
    }
}
