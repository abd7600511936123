/**
 * @file server_paths.c
 * @brief Counts failed contacts and decides when servers are probed.
 */
#include "balance/server_paths.h"

static void set_lost(cw_server_paths_t *paths, bool are_lost, cw_time_us_t now)
{
    if (paths->are_lost != are_lost) {
        paths->are_lost = are_lost;
        paths->changed_at = now;
    }
}

void cw_server_paths_record_reached(cw_server_paths_t *paths, cw_time_us_t now)
{
    paths->reached_at = now;
    paths->successes++;
    paths->failures = 0;
    set_lost(paths, false, now);
}

void cw_server_paths_record_failed(cw_server_paths_t *paths)
{
    paths->failures++;
}

void cw_server_paths_want_check(cw_server_paths_t *paths)
{
    paths->is_check_wanted = true;
}

static uint32_t begin(cw_server_paths_t *paths, uint32_t probes, bool is_checking, cw_time_us_t now)
{
    paths->probed_at = now;
    if (is_checking) {
        paths->check_began_at = now;
        paths->is_check_wanted = false;
    }
    paths->is_checking = is_checking;
    paths->probes = probes;
    return probes;
}

static bool is_check_due(const cw_server_paths_t *paths, cw_time_us_t now)
{
    return (paths->is_check_wanted || paths->failures >= CW_PATHS_FAILURES) &&
           (paths->check_began_at == 0 || now - paths->check_began_at >= CW_MS(CW_PATHS_CHECK_PAUSE_MS));
}

uint32_t cw_server_paths_begin_probes(cw_server_paths_t *paths, uint32_t servers, cw_time_us_t now)
{
    if (servers == 0 || paths->probes > 0) {
        return 0;
    }
    if (paths->are_lost) {
        return now - paths->probed_at >= CW_MS(CW_PATHS_PROBE_INTERVAL_MS) ? begin(paths, 1, false, now) : 0;
    }
    if (is_check_due(paths, now)) {
        return begin(paths, servers < CW_PATHS_PROBES ? servers : CW_PATHS_PROBES, true, now);
    }
    return 0;
}

void cw_server_paths_record_probe(cw_server_paths_t *paths, bool is_reached, cw_time_us_t now)
{
    paths->probes--;
    if (is_reached) {
        cw_server_paths_record_reached(paths, now);
    } else {
        cw_server_paths_record_failed(paths);
    }
    if (paths->probes == 0 && paths->is_checking) {
        paths->is_checking = false;
        set_lost(paths, paths->reached_at < paths->check_began_at, now);
    }
}

bool cw_server_paths_are_known_open(const cw_server_paths_t *paths, cw_time_us_t now)
{
    return !paths->are_lost && paths->reached_at != 0 && now - paths->reached_at <= CW_MS(CW_PATHS_FRESH_MS);
}
