/**
 * @file options.c
 * @brief Command line of the back-end stand-in.
 */
#include "options.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum { ERRORS_SHOWN = 10 };

/** Parsed flags, before their check. */
typedef struct flags {
    struct arg_str *address;
    struct arg_int *port;
    struct arg_str *name;
    struct arg_str *zone;
    struct arg_str *record;
    struct arg_int *slots;
    struct arg_int *queue;
    struct arg_int *connections;
    struct arg_int *connection_ms;
    struct arg_dbl *service_ms;
    struct arg_dbl *service_jitter;
    struct arg_dbl *probe_ms;
    struct arg_dbl *cold_ms;
    struct arg_int *load_lag_ms;
    struct arg_int *drain_s;
    struct arg_dbl *clock_offset_us;
    struct arg_dbl *clock_drift_ppm;
    struct arg_int *seed;
    struct arg_lit *help;
    struct arg_end *end;
} flags_t;

static void declare_text(flags_t *flags)
{
    flags->address = arg_str0(NULL, "address", "IP", "address to listen on (127.0.0.1)");
    flags->name = arg_str0(NULL, "name", "TEXT", "name of the server (server)");
    flags->zone = arg_str0(NULL, "zone", "TEXT", "zone of the server (zone)");
    flags->record = arg_str0(NULL, "record", "FILE", "append evidence lines to this file (none)");
    flags->address->sval[0] = "127.0.0.1";
    flags->name->sval[0] = "server";
    flags->zone->sval[0] = "zone";
    flags->record->sval[0] = NULL;
}

static struct arg_int *whole_number(const char *name, const char *unit, int value, const char *text)
{
    struct arg_int *flag = arg_int0(NULL, name, unit, text);

    flag->ival[0] = value;
    return flag;
}

static struct arg_dbl *number(const char *name, const char *unit, double value, const char *text)
{
    struct arg_dbl *flag = arg_dbl0(NULL, name, unit, text);

    flag->dval[0] = value;
    return flag;
}

static void declare_numbers(flags_t *flags)
{
    flags->port = whole_number("port", "N", 0, "port; 0: chosen by the system and printed (0)");
    flags->slots = whole_number("slots", "N", 2, "requests served at a time (2)");
    flags->queue = whole_number("queue", "N", 16, "requests waiting before further ones are shed (16)");
    flags->connections = whole_number("connections", "N", 110, "bound on connections; 0: none (110)");
    flags->connection_ms = whole_number("connection-ms", "MS", 1, "cost of a new connection (1)");
    flags->service_ms = number("service-ms", "MS", 5, "mean service time (5)");
    flags->service_jitter = number("service-jitter", "FRACTION", 0.2, "uniform jitter of the service time (0.2)");
    flags->probe_ms = number("probe-ms", "MS", 6, "time that a health or load probe takes of a slot (6)");
    flags->cold_ms = number("cold-ms", "MS", 0, "extra time for a key's first request after a grant (0)");
    flags->load_lag_ms = whole_number("load-lag-ms", "MS", 2000, "age of the load that is reported (2000)");
    flags->drain_s = whole_number("drain-s", "S", 30, "longest drain after SIGTERM (30)");
    flags->clock_offset_us = number("clock-offset-us", "US", 1000000, "reading of the own clock at boot (1000000)");
    flags->clock_drift_ppm = number("clock-drift-ppm", "PPM", 0, "rate error of the own clock (0)");
    flags->seed = whole_number("seed", "N", 1, "seed of the random numbers (1)");
    flags->help = arg_lit0("h", "help", "print this text");
    flags->end = arg_end(ERRORS_SHOWN);
}

static bool check_values(const flags_t *flags)
{
    return flags->port->ival[0] >= 0 && flags->port->ival[0] <= UINT16_MAX && flags->slots->ival[0] > 0 &&
           flags->queue->ival[0] >= 0 && flags->connections->ival[0] >= 0 && flags->connection_ms->ival[0] >= 0 &&
           flags->service_ms->dval[0] >= 0 && flags->service_jitter->dval[0] >= 0 &&
           flags->service_jitter->dval[0] <= 1 && flags->probe_ms->dval[0] >= 0 && flags->cold_ms->dval[0] >= 0 &&
           flags->load_lag_ms->ival[0] >= 0 && flags->drain_s->ival[0] >= 0;
}

static void take_values(const flags_t *flags, cw_backend_options_t *options)
{
    options->address = flags->address->sval[0];
    options->port = (uint16_t)flags->port->ival[0];
    options->name = flags->name->sval[0];
    options->zone = flags->zone->sval[0];
    options->record = flags->record->sval[0];
    options->slots = (uint32_t)flags->slots->ival[0];
    options->queue = (uint32_t)flags->queue->ival[0];
    options->connections = (uint32_t)flags->connections->ival[0];
    options->connection_ms = (uint32_t)flags->connection_ms->ival[0];
    options->service_ms = flags->service_ms->dval[0];
    options->service_jitter = flags->service_jitter->dval[0];
    options->probe_ms = flags->probe_ms->dval[0];
    options->cold_ms = flags->cold_ms->dval[0];
    options->load_lag_ms = (uint32_t)flags->load_lag_ms->ival[0];
    options->drain_s = (uint32_t)flags->drain_s->ival[0];
    options->clock_offset_us = (int64_t)flags->clock_offset_us->dval[0];
    options->clock_drift_ppm = flags->clock_drift_ppm->dval[0];
    options->seed = (uint64_t)flags->seed->ival[0];
}

bool cw_backend_options_parse(int argc, char **argv, cw_backend_options_t *options)
{
    flags_t flags;
    int     errors;

    declare_text(&flags);
    declare_numbers(&flags);
    void *table[] = {flags.address,         flags.port,        flags.name,           flags.zone,
                     flags.record,          flags.slots,       flags.queue,          flags.connections,
                     flags.connection_ms,   flags.service_ms,  flags.service_jitter, flags.probe_ms,
                     flags.cold_ms,         flags.load_lag_ms, flags.drain_s,        flags.clock_offset_us,
                     flags.clock_drift_ppm, flags.seed,        flags.help,           flags.end};
    errors = arg_parse(argc, argv, table);
    if (flags.help->count > 0) {
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        exit(EXIT_SUCCESS);
    }
    if (errors > 0 || !check_values(&flags)) {
        arg_print_errors(stderr, flags.end, argv[0]);
        fprintf(stderr, "%s: a flag is unknown or out of its bounds\n", argv[0]);
        return false;
    }
    take_values(&flags, options);
    return true;
}
