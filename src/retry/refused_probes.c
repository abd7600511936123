/**
 * @file refused_probes.c
 * @brief Array of the refusals that are no proof yet.
 */
#include "retry/refused_probes.h"

bool cw_refused_probes_add(cw_refused_probes_t *probes, const cw_refused_probe_t *probe)
{
    if (probes->count == CW_REFUSED_PROBES_MAX) {
        return false;
    }
    probes->items[probes->count++] = *probe;
    return true;
}

static void drop_expired(cw_refused_probes_t *probes, cw_time_us_t now)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < probes->count; index++) {
        if (now - probes->items[index].refused_at <= CW_SECONDS(CW_REFUSED_PROBE_S)) {
            probes->items[kept++] = probes->items[index];
        }
    }
    probes->count = kept;
}

bool cw_refused_probes_take(cw_refused_probes_t *probes, uint32_t (*successes)(void *context, uint32_t service),
                            void *context, cw_time_us_t now, uint32_t *server)
{
    size_t index;

    drop_expired(probes, now);
    for (index = 0; index < probes->count; index++) {
        const cw_refused_probe_t *probe = &probes->items[index];

        if (successes(context, probe->service) != probe->successes) {
            *server = probe->server;
            probes->items[index] = probes->items[--probes->count];
            return true;
        }
    }
    return false;
}
