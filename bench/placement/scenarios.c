/**
 * @file scenarios.c
 * @brief The two tenants' services and what happens to them.
 */
#include <string.h>

#include "model.h"

enum { RESTART_EVERY_S = 60, RESTART_DRAIN_S = 20, RESTART_DOWN_S = 10, FIRST_EVENT_S = 120, FLAP_DOWN_S = 6 };
enum { FLAP_UP_S = 14, FLAPS = 20, ZONE_DOWN_S = 600, ZONE_LOST = 2, FLAPPING_SERVER = 4 };

static const bench_deployment_t map = {
    .name = "liffeyspoke/map",
    .servers = 14,
    .slots = 2,
    .keys = 2000,
    .ranges_per_server = 16,
    .zone_delay_ms = 0.5,
    .client_delay_ms = 3,
    .connect_ms = 1,
    .probe_ms = 6,
    .service_ms = 6,
    .cold_start_ms = 10,
    .lease_ms = 1500,
    .timeout_ms = 500,
    .requests_per_second = 2000,
    .weights = {4, 1, 2},
};

static const bench_deployment_t unlocks = {
    .name = "liffeyspoke/unlocks",
    .servers = 6,
    .slots = 2,
    .keys = 1000,
    .ranges_per_server = 4,
    .zone_delay_ms = 0.5,
    .client_delay_ms = 3,
    .connect_ms = 1,
    .probe_ms = 6,
    .service_ms = 6,
    .cold_start_ms = 10,
    .lease_ms = 1500,
    .timeout_ms = 1000,
    .requests_per_second = 80,
    .weights = {4, 1, 2},
};

static const bench_deployment_t transcripts = {
    .name = "actas-rimac/transcripts",
    .servers = 20,
    .slots = 4,
    .keys = 3000,
    .ranges_per_server = 16,
    .zone_delay_ms = 1.5,
    .client_delay_ms = 1,
    .connect_ms = 1,
    .probe_ms = 1,
    .service_ms = 20,
    .cold_start_ms = 40,
    .lease_ms = 1500,
    .timeout_ms = 2000,
    .requests_per_second = 1600,
    .weights = {1, 4, 4},
};

static size_t add(bench_event_t *events, size_t count, uint32_t at_s, bench_event_kind_t kind, size_t server)
{
    events[count].at_us = (cw_time_us_t)at_s * CW_US_PER_S;
    events[count].kind = kind;
    events[count].server = server;
    return count + 1;
}

static size_t restart_all(const bench_scenario_t *scenario, bench_event_t *events)
{
    size_t   count = 0;
    size_t   server;
    uint32_t at_s = FIRST_EVENT_S;

    for (server = 0; server < scenario->deployment->servers; server++) {
        count = add(events, count, at_s, BENCH_DRAIN, server);
        count = add(events, count, at_s + RESTART_DRAIN_S, BENCH_STOP, server);
        count = add(events, count, at_s + RESTART_DRAIN_S + RESTART_DOWN_S, BENCH_START, server);
        at_s += RESTART_EVERY_S;
    }
    return count;
}

static size_t lose_zone(const bench_scenario_t *scenario, bench_event_t *events)
{
    size_t count = 0;
    size_t server;

    for (server = ZONE_LOST; server < scenario->deployment->servers; server += BENCH_ZONES) {
        count = add(events, count, FIRST_EVENT_S, BENCH_STOP, server);
    }
    for (server = ZONE_LOST; server < scenario->deployment->servers; server += BENCH_ZONES) {
        count = add(events, count, FIRST_EVENT_S + ZONE_DOWN_S, BENCH_START, server);
    }
    return count;
}

static size_t flap(const bench_scenario_t *scenario, bench_event_t *events)
{
    size_t   count = 0;
    size_t   flaps;
    uint32_t at_s = FIRST_EVENT_S;

    (void)scenario;
    for (flaps = 0; flaps < FLAPS; flaps++) {
        count = add(events, count, at_s, BENCH_FREEZE, FLAPPING_SERVER);
        count = add(events, count, at_s + FLAP_DOWN_S, BENCH_THAW, FLAPPING_SERVER);
        at_s += FLAP_DOWN_S + FLAP_UP_S;
    }
    return count;
}

const bench_scenario_t bench_scenarios[] = {
    {"rush-hour", "rush-hour.svg", &map, BENCH_WANDERING, 1800, NULL, -1},
    {"hearing", "hearing.svg", &transcripts, BENCH_FEW_KEYS, 1800, NULL, -1},
    {"rolling-restart-map", "rolling-restart.svg", &map, BENCH_EVEN, 1200, restart_all, -1},
    {"rolling-restart-transcripts", NULL, &transcripts, BENCH_EVEN, 1500, restart_all, -1},
    {"zone-loss-map", "zone-loss.svg", &map, BENCH_EVEN, 1200, lose_zone, -1},
    {"zone-loss-transcripts", NULL, &transcripts, BENCH_EVEN, 1200, lose_zone, -1},
    {"flapping-map", NULL, &map, BENCH_EVEN, 900, flap, -1},
    {"flapping-transcripts", "flapping.svg", &transcripts, BENCH_EVEN, 900, flap, -1},
    {"lying-load", NULL, &map, BENCH_WANDERING, 900, NULL, 3},
    {"light-load", NULL, &unlocks, BENCH_EVEN, 1800, NULL, -1},
};
const size_t bench_scenario_count = sizeof(bench_scenarios) / sizeof(bench_scenarios[0]);

const bench_scenario_t *bench_find_scenario(const char *name)
{
    size_t position;

    for (position = 0; position < bench_scenario_count; position++) {
        if (strcmp(bench_scenarios[position].name, name) == 0) {
            return &bench_scenarios[position];
        }
    }
    return NULL;
}
