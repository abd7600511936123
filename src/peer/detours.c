/**
 * @file detours.c
 * @brief Ways by third nodes, and the pauses between probes.
 */
#include "peer/detours.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

enum {
    PROBE_PAUSE_MS = 200, /* three probes between the first doubt and the moment a silent node counts as lost */
    EAGER_PROBES = 10,    /* by then a node that anyone reaches has replied; */
    RARE_PAUSE_MS = 1000, /* later ones find out that it is back */
    PROBES_A_SECOND = 20, /* of all suspects: two or three datagrams of 60 bytes each, within control's 3 KB a second */
    BURST = 25,           /* so that the first probes of some suspects go at once */
    KEPT_S = 10
};

typedef struct detour {
    uint32_t       address;
    uint32_t       via;         /* 0: nothing has come yet */
    cw_time_us_t   received_at; /* by way of it */
    cw_time_us_t   probed_at;
    uint32_t       probes; /* without a reply */
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

    detours->allowance = BURST;
    return detours;
}

static void drop(cw_detours_t *detours, detour_t *detour)
{
    HASH_DEL(detours->items, detour); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(detour);
}

void cw_detours_free(cw_detours_t *detours)
{
    detour_t *detour;
    detour_t *next;

    HASH_ITER(hh, detours->items, detour, next)
    {
        drop(detours, detour);
    }
    free(detours);
}

static detour_t *find(const cw_detours_t *detours, uint32_t address)
{
    detour_t *detour;

    HASH_FIND(hh, detours->items, &address, sizeof(address), detour);
    return detour;
}

static detour_t *use(cw_detours_t *detours, uint32_t address)
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
    detour_t *detour = use(detours, address);

    detour->via = via;
    detour->received_at = now;
    detour->probes = 0;
}

static bool is_known(const detour_t *detour, cw_time_us_t now)
{
    return detour->via != 0 && now - detour->received_at < CW_MS(CW_DETOUR_LIFE_MS);
}

uint32_t cw_detours_via(const cw_detours_t *detours, uint32_t address, cw_time_us_t now)
{
    const detour_t *detour = find(detours, address);

    return detour != NULL && is_known(detour, now) ? detour->via : 0;
}

static void refill(cw_detours_t *detours, cw_time_us_t now)
{
    detours->allowance += PROBES_A_SECOND * (double)(now - detours->refilled_at) / 1e6;
    detours->allowance = detours->allowance > BURST ? BURST : detours->allowance;
    detours->refilled_at = now;
}

bool cw_detours_begin_probe(cw_detours_t *detours, uint32_t address, cw_time_us_t now, uint32_t *turn)
{
    detour_t    *detour = use(detours, address);
    cw_time_us_t pause = CW_MS(detour->probes < EAGER_PROBES ? PROBE_PAUSE_MS : RARE_PAUSE_MS);

    refill(detours, now);
    if (detours->allowance < 1 || (detour->probed_at != 0 && now - detour->probed_at < pause)) {
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
        if (now - detour->probed_at >= CW_SECONDS(KEPT_S) && now - detour->received_at >= CW_SECONDS(KEPT_S)) {
            drop(detours, detour);
        }
    }
}

size_t cw_detours_count(const cw_detours_t *detours, cw_time_us_t now)
{
    const detour_t *detour;
    size_t          count = 0;

    for (detour = detours->items; detour != NULL; detour = detour->hh.next) {
        count += is_known(detour, now) ? 1 : 0;
    }
    return count;
}
