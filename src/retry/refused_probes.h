/**
 * @file refused_probes.h
 * @brief Servers that refused a connection after a request was lost there: whether that proves that they have ended.
 *
 * A connection is refused by the server's machine if the process has ended, but also by what stands between: then every
 * server of the service refuses. So the refusal is a proof only once another contact with a server of the service has
 * succeeded after it. Without one it is forgotten after CW_REFUSED_PROBE_S; the list of servers proves the end then.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_RETRY_REFUSED_PROBES_H
#define CEDARWINCH_RETRY_REFUSED_PROBES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

enum { CW_REFUSED_PROBES_MAX = 32, CW_REFUSED_PROBE_S = 3 };

/** A server that refused a connection. */
typedef struct cw_refused_probe {
    uint32_t     server;  /**< hash of the incarnation's id */
    uint32_t     service; /**< hash of the service's name */
    cw_time_us_t refused_at;
    uint32_t     successes; /**< successful contacts with the service's servers until then */
} cw_refused_probe_t;

/** Refusals that are no proof yet. All zeros: none. */
typedef struct cw_refused_probes {
    cw_refused_probe_t items[CW_REFUSED_PROBES_MAX];
    size_t             count;
} cw_refused_probes_t;

/** Records a refusal. Returns false if there is no room. */
bool cw_refused_probes_add(cw_refused_probes_t *probes, const cw_refused_probe_t *probe);
/** Removes a refusal that is a proof now, and writes its server. Returns false if there is none. successes:
 * returns the number of successful contacts with a service's servers. */
bool cw_refused_probes_take(cw_refused_probes_t *probes, uint32_t (*successes)(void *context, uint32_t service),
                            void *context, cw_time_us_t now, uint32_t *server);

#endif
