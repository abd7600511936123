/**
 * @file peer_paths.c
 * @brief Stores and compares what a node states about its paths.
 */
#include "peer/peer_paths.h"

#include <string.h>

bool cw_peer_paths_set(cw_peer_paths_t *paths, Cwp__ServerPaths state, const uint32_t *lost, size_t lost_count)
{
    cw_peer_paths_t stated = {.state = state};
    bool            has_changed;

    stated.lost_count = lost_count < CW_PEER_LOST_SERVICES_MAX ? lost_count : CW_PEER_LOST_SERVICES_MAX;
    if (stated.lost_count > 0) {
        memcpy(stated.lost, lost, stated.lost_count * sizeof(*lost));
    }
    has_changed = paths->state != state || paths->lost_count != stated.lost_count ||
                  memcmp(paths->lost, stated.lost, sizeof(stated.lost)) != 0;
    *paths = stated;
    return has_changed;
}

bool cw_peer_paths_lack(const cw_peer_paths_t *paths, uint32_t service)
{
    size_t index;

    for (index = 0; index < paths->lost_count; index++) {
        if (paths->lost[index] == service) {
            return true;
        }
    }
    return paths->state == CWP__SERVER_PATHS__PATHS_LOST;
}

bool cw_peer_paths_lack_any(const cw_peer_paths_t *paths)
{
    return paths->lost_count > 0 || paths->state == CWP__SERVER_PATHS__PATHS_LOST;
}
