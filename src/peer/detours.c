/**
 * @file detours.c
 * @brief Detours through third nodes, and the intervals between probes.
 */
#include "peer/detours.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

enum {
    PROBE_INTERVAL_MS = 200, /* three probes from when a node becomes a suspect until it counts as lost */
    FREQUENT_PROBES = 10,    /* probes at that interval; a node that any other one reaches replies to one of them */
    RARE_PROBE_INTERVAL_MS = 1000, /* interval of later probes, which detect that the node is back */
    PROBES_PER_SECOND = 20, /* of all suspects: two or three datagrams of 60 bytes each, within 3 KB/s of control */
    PROBE_BURST = 25, /* probes that may be sent at once, so that the first probes of some suspects are not delayed */
    RETENTION_S = 10  /* time after the last probe or datagram after which a node is removed */
};

typedef struct detour {
    uint32_t       address;
    uint32_t       via;         /* 0: nothing has been received yet */
    cw_time_us_t   received_at; /* last datagram received through it */
    cw_time_us_t   probed_at;
    uint32_t       probes; /* probes since the last datagram received through a detour */
    uint32_t       turn;
    UT_hash_handle hh;
} detour_t;

struct cw_detours {
    detour_t    *items;
    double       allowance; /* probes that may be sent now */
    cw_time_us_t refilled_at;
};

cw_detours_t *cw_detours_create(void)
{
    cw_detours_t *detours = cw_memory_zeroed(sizeof(*detours));

    detours->allowance = PROBE_BURST;
    return detours;
}

static void remove_detour(cw_detours_t *detours, detour_t *detour)
{
    HASH_DEL(detours->items, detour); /* NOLINT(clang-analyzer-unix.Malloc): uthash's macros are not followed */
    free(detour);
}

void cw_detours_free(cw_detours_t *detours)
{
    detour_t *detour;
    detour_t *next;

    HASH_ITER(hh, detours->items, detour, next)
    {
        remove_detour(detours, detour);
    }
    free(detours);
}

static detour_t *find(const cw_detours_t *detours, uint32_t address)
{
    detour_t *detour;

    HASH_FIND(hh, detours->items, &address, sizeof(address), detour);
    return detour;
}

static detour_t *find_or_add(cw_detours_t *detours, uint32_t address)
{
    detour_t *detour = find(detours, address);

    if (detour == NULL) {
        detour = cw_memory_zeroed(sizeof(*detour));
        detour->address = address;
        HASH_ADD(hh, detours->items, address, sizeof(detour->address), detour);
    }
    return detour;
}

void cw_detours_received(cw_detours_t *detours, uint32_t address, uint32_t via, cw_time_us_t now)
{
    detour_t *detour = find_or_add(detours, address);

    detour->via = via;
    detour->received_at = now;
    detour->probes = 0;
}

static bool is_valid(const detour_t *detour, cw_time_us_t now)
{
    return detour->via != 0 && now - detour->received_at < CW_MS(CW_DETOUR_VALID_MS);
}

uint32_t cw_detours_via(const cw_detours_t *detours, uint32_t address, cw_time_us_t now)
{
    const detour_t *detour = find(detours, address);

    return detour != NULL && is_valid(detour, now) ? detour->via : 0;
}

static void refill(cw_detours_t *detours, cw_time_us_t now)
{
    detours->allowance += PROBES_PER_SECOND * (double)(now - detours->refilled_at) / 1e6;
    detours->allowance = detours->allowance > PROBE_BURST ? PROBE_BURST : detours->allowance;
    detours->refilled_at = now;
}

bool cw_detours_begin_probe(cw_detours_t *detours, uint32_t address, cw_time_us_t now, uint32_t *turn)
{
    detour_t    *detour = find_or_add(detours, address);
    cw_time_us_t interval_us = CW_MS(detour->probes < FREQUENT_PROBES ? PROBE_INTERVAL_MS : RARE_PROBE_INTERVAL_MS);

    refill(detours, now);
    if (detours->allowance < 1 || (detour->probed_at != 0 && now - detour->probed_at < interval_us)) {
        return false;
    }
    detours->allowance -= 1;
    detour->probed_at = now;
    detour->probes++;
    *turn = detour->turn++;
    return true;
}

void cw_detours_expire(cw_detours_t *detours, cw_time_us_t now)
{
    detour_t *detour;
    detour_t *next;

    HASH_ITER(hh, detours->items, detour, next)
    {
        if (now - detour->probed_at >= CW_SECONDS(RETENTION_S) &&
            now - detour->received_at >= CW_SECONDS(RETENTION_S)) {
            remove_detour(detours, detour);
        }
    }
}

size_t cw_detours_count(const cw_detours_t *detours, cw_time_us_t now)
{
    const detour_t *detour;
    size_t          count = 0;

    for (detour = detours->items; detour != NULL; detour = detour->hh.next) {
        count += is_valid(detour, now) ? 1 : 0;
    }
    return count;
}
