/**
 * @file zone_service.c
 * @brief State of each zone that has ever been out of service.
 */
#include "model/zone_service.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/* Share of the bound in which requests may still be sent to owners of keys. The rest covers the network delay to the
 * server and a node that is late. */
enum { OWNERS_PERCENT = 60 };

typedef struct zone_state {
    char        *zone;
    bool         is_out;
    cw_time_us_t owners_until; /**< requests for keys may be sent there until then */
    cw_time_us_t put_back_at;
} zone_state_t;

struct cw_zone_service {
    cw_time_us_t  out_within;
    bool          has_begun; /**< a first set has been applied */
    zone_state_t *states;
    size_t        count;
};

cw_zone_service_t *cw_zone_service_create(cw_time_us_t out_within)
{
    cw_zone_service_t *zones = cw_memory_zeroed(sizeof(*zones));

    zones->out_within = out_within;
    return zones;
}

void cw_zone_service_free(cw_zone_service_t *zones)
{
    size_t index;

    for (index = 0; index < zones->count; index++) {
        free(zones->states[index].zone);
    }
    free(zones->states);
    free(zones);
}

static zone_state_t *find(const cw_zone_service_t *zones, const char *zone)
{
    size_t index;

    for (index = 0; index < zones->count; index++) {
        if (strcmp(zones->states[index].zone, zone) == 0) {
            return &zones->states[index];
        }
    }
    return NULL;
}

static zone_state_t *find_or_add(cw_zone_service_t *zones, const char *zone)
{
    zone_state_t *state = find(zones, zone);

    if (state != NULL) {
        return state;
    }
    zones->states = cw_memory_resize(zones->states, (zones->count + 1) * sizeof(*zones->states));
    state = &zones->states[zones->count++];
    memset(state, 0, sizeof(*state));
    state->zone = strdup(zone);
    if (state->zone == NULL) {
        abort();
    }
    return state;
}

static void take_out(const cw_zone_service_t *zones, zone_state_t *state, cw_time_us_t before_valid_at)
{
    bool is_known = zones->has_begun && before_valid_at != 0;

    state->is_out = true;
    state->owners_until = is_known ? before_valid_at + zones->out_within * OWNERS_PERCENT / 100 : 0;
}

void cw_zone_service_apply(cw_zone_service_t *zones, const cw_name_set_t *out, cw_time_us_t before_valid_at,
                           cw_time_us_t now, cw_zone_changed_t changed, void *context)
{
    size_t index;

    for (index = 0; index < out->count; index++) {
        zone_state_t *state = find_or_add(zones, out->names[index]);

        if (!state->is_out) {
            take_out(zones, state, before_valid_at);
            if (changed != NULL) {
                changed(context, state->zone, CW_ZONE_TAKEN_OUT);
            }
        }
    }
    for (index = 0; index < zones->count; index++) {
        zone_state_t *state = &zones->states[index];

        if (state->is_out && !cw_name_set_has(out, state->zone)) {
            state->is_out = false;
            state->put_back_at = now;
            if (changed != NULL) {
                changed(context, state->zone, CW_ZONE_PUT_BACK);
            }
        }
    }
    zones->has_begun = true;
}

bool cw_zone_service_is_out(const cw_zone_service_t *zones, const char *zone)
{
    const zone_state_t *state = find(zones, zone);

    return state != NULL && state->is_out;
}

cw_time_us_t cw_zone_service_owners_until(const cw_zone_service_t *zones, const char *zone)
{
    const zone_state_t *state = find(zones, zone);

    return state == NULL ? 0 : state->owners_until;
}

cw_time_us_t cw_zone_service_put_back_at(const cw_zone_service_t *zones, const char *zone)
{
    const zone_state_t *state = find(zones, zone);

    return state == NULL ? 0 : state->put_back_at;
}
