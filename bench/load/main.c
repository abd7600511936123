/**
 * @file main.c
 * @brief Command line of the open-loop load tool.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "load.h"

enum { STREAMS_MAX = 64, GATEWAYS_MAX = 1024, ERRORS_SHOWN = 10, FAULT_SIZE = 200, ADDRESS_SIZE = 64 };

typedef struct flags {
    struct arg_str *gateways;
    struct arg_str *streams;
    struct arg_dbl *duration_s;
    struct arg_dbl *warmup_s;
    struct arg_int *seed;
    struct arg_dbl *hot_share;
    struct arg_dbl *hot_move_s;
    struct arg_str *trace;
    struct arg_int *in_flight;
    struct arg_int *connections;
    struct arg_int *repeat_after_ms;
    struct arg_str *json;
    struct arg_str *record;
    struct arg_lit *help;
    struct arg_end *end;
} flags_t;

static void declare_flags(flags_t *flags)
{
    flags->gateways = arg_strn(NULL, "gateway", "IP:PORT", 0, GATEWAYS_MAX, "a gateway; requests go round all of them");
    flags->streams =
        arg_strn(NULL, "stream", "FIELDS", 0, STREAMS_MAX,
                 "tenant=T,service=S,token=X[,rate=R][,keys=N][,zipf=Z][,method=M][,path=/P]"
                 "[,timeout_ms=N][,non_repeatable=0|1][,repeat=SHARE][,fence=F]; with a fence, the gateways are "
                 "back-end servers that hold the keys under it");
    flags->duration_s = arg_dbl0(NULL, "duration-s", "S", "length of the run (10)");
    flags->warmup_s = arg_dbl0(NULL, "warmup-s", "S", "first part that is not counted (0)");
    flags->seed = arg_int0(NULL, "seed", "N", "seed of arrivals and keys (1)");
    flags->hot_share = arg_dbl0(NULL, "hot-share", "SHARE", "share of each stream's requests for its hot key (0)");
    flags->hot_move_s = arg_dbl0(NULL, "hot-move-s", "S", "the hot key changes this often; 0: never (0)");
    flags->trace = arg_str0(NULL, "trace", "FILE", "requests to send besides, lines of OFFSET_US STREAM KEY");
    flags->in_flight = arg_int0(NULL, "in-flight", "N", "bound on requests in flight (20000)");
    flags->connections = arg_int0(NULL, "connections", "N", "bound on connections to each gateway (200)");
    flags->repeat_after_ms = arg_int0(NULL, "repeat-after-ms", "MS", "when an impatient caller sends again (5)");
    flags->json = arg_str0(NULL, "json", "FILE", "write the report as JSON");
    flags->record = arg_str0(NULL, "record", "FILE", "write a JSON line for each answer");
    flags->help = arg_lit0("h", "help", "print this text");
    flags->end = arg_end(ERRORS_SHOWN);
    flags->duration_s->dval[0] = 10;
    flags->warmup_s->dval[0] = 0;
    flags->seed->ival[0] = 1;
    flags->hot_share->dval[0] = 0;
    flags->hot_move_s->dval[0] = 0;
    flags->in_flight->ival[0] = 20000;
    flags->connections->ival[0] = 200;
    flags->repeat_after_ms->ival[0] = 5;
}

static bool parse_flags(int argc, char **argv, flags_t *flags)
{
    int errors;

    declare_flags(flags);
    void *table[] = {flags->gateways,        flags->streams,    flags->duration_s, flags->warmup_s,  flags->seed,
                     flags->hot_share,       flags->hot_move_s, flags->trace,      flags->in_flight, flags->connections,
                     flags->repeat_after_ms, flags->json,       flags->record,     flags->help,      flags->end};
    errors = arg_parse(argc, argv, table);
    if (flags->help->count > 0) {
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        exit(EXIT_SUCCESS);
    }
    if (errors > 0 || flags->gateways->count == 0 || flags->streams->count == 0 || flags->duration_s->dval[0] <= 0 ||
        flags->warmup_s->dval[0] < 0 || flags->warmup_s->dval[0] >= flags->duration_s->dval[0] ||
        flags->in_flight->ival[0] <= 0 || flags->connections->ival[0] <= 0 || flags->repeat_after_ms->ival[0] < 0) {
        arg_print_errors(stderr, flags->end, argv[0]);
        fprintf(stderr, "%s: needs a gateway and a stream, and values within their bounds; see --help\n", argv[0]);
        return false;
    }
    return true;
}

static int add_gateways(cw_load_t *load, const flags_t *flags)
{
    char  address[ADDRESS_SIZE];
    char *colon;
    int   i;

    for (i = 0; i < flags->gateways->count; i++) {
        snprintf(address, sizeof(address), "%s", flags->gateways->sval[i]);
        colon = strchr(address, ':');
        if (colon != NULL) {
            *colon = '\0';
        }
        if (colon == NULL || cw_client_add_gateway(load->client, address, (uint16_t)atoi(colon + 1)) != CW_OK) {
            fprintf(stderr, "cw-load: --gateway %s is not IP:PORT\n", flags->gateways->sval[i]);
            return CW_ERROR_PARSE;
        }
    }
    return CW_OK;
}

static int add_streams(cw_load_t *load, const flags_t *flags)
{
    cw_hot_spot_t       hot = {.share = flags->hot_share->dval[0],
                               .move_us = (int64_t)(flags->hot_move_s->dval[0] * CW_US_PER_S)};
    cw_stream_options_t options;
    char                fault[FAULT_SIZE] = "";
    size_t              i;

    load->stream_count = (size_t)flags->streams->count;
    load->streams = calloc(load->stream_count, sizeof(cw_stream_t *));
    load->reports = calloc(load->stream_count, sizeof(cw_stream_report_t));
    for (i = 0; i < load->stream_count; i++) {
        if (cw_stream_options_parse(&options, flags->streams->sval[i], fault, sizeof(fault)) != CW_OK) {
            fprintf(stderr, "cw-load: --stream %s: %s\n", flags->streams->sval[i], fault);
            return CW_ERROR_PARSE;
        }
        load->streams[i] = cw_stream_create(&options, &hot, load->options.seed * STREAMS_MAX + i);
        if (load->streams[i] == NULL || cw_report_init(&load->reports[i]) != CW_OK) {
            return CW_ERROR_NO_MEMORY;
        }
    }
    return CW_OK;
}

static int open_files(cw_load_t *load, const flags_t *flags)
{
    unsigned line = 0;

    if (flags->trace->count > 0 &&
        cw_trace_read(&load->trace, flags->trace->sval[0], load->stream_count, &line) != CW_OK) {
        fprintf(stderr, "%s:%u: wants OFFSET_US STREAM KEY, in order of time\n", flags->trace->sval[0], line);
        return CW_ERROR_PARSE;
    }
    if (flags->record->count > 0) {
        load->record = fopen(flags->record->sval[0], "we");
        if (load->record == NULL) {
            perror(flags->record->sval[0]);
            return CW_ERROR_IO;
        }
    }
    return CW_OK;
}

static int init_load(cw_load_t *load, const flags_t *flags)
{
    int error;

    load->loop = uv_default_loop();
    load->options.duration_s = flags->duration_s->dval[0];
    load->options.warmup_s = flags->warmup_s->dval[0];
    load->options.seed = (uint64_t)flags->seed->ival[0];
    load->options.in_flight_limit = (uint32_t)flags->in_flight->ival[0];
    load->options.connections = (uint32_t)flags->connections->ival[0];
    load->options.repeat_after_ms = (uint32_t)flags->repeat_after_ms->ival[0];
    load->random_state = (uint64_t)cw_random_next(&(uint64_t){uv_hrtime()}); /* ids differ between runs */
    error = cw_client_create(&load->client, load->loop, load->options.connections);
    if (error == CW_OK) {
        error = add_gateways(load, flags);
    }
    if (error == CW_OK) {
        error = add_streams(load, flags);
    }
    if (error == CW_OK) {
        error = open_files(load, flags);
    }
    return error;
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
    (void)number;
    cw_load_stop(signal->data);
}

static void watch_signal(cw_load_t *load, uv_signal_t *handle, int number)
{
    uv_signal_init(load->loop, handle);
    handle->data = load;
    uv_signal_start(handle, on_stop_signal, number);
    uv_unref((uv_handle_t *)handle);
}

static bool any_foreign(const cw_load_t *load)
{
    size_t i;

    for (i = 0; i < load->stream_count; i++) {
        if (load->reports[i].foreign > 0) {
            return true;
        }
    }
    return false;
}

int main(int argc, char **argv)
{
    flags_t          flags;
    static cw_load_t load;
    uv_signal_t      interrupted;
    uv_signal_t      terminated;

    if (!parse_flags(argc, argv, &flags) || init_load(&load, &flags) != CW_OK) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    watch_signal(&load, &interrupted, SIGINT);
    watch_signal(&load, &terminated, SIGTERM);
    if (cw_load_run(&load) != CW_OK) {
        perror("cw-load");
        return 2;
    }
    cw_report_print(&load, stdout);
    if (load.record != NULL && fclose(load.record) != 0) {
        perror(flags.record->sval[0]);
        return 2;
    }
    if (flags.json->count > 0 && cw_report_write_json(&load, flags.json->sval[0]) != CW_OK) {
        perror(flags.json->sval[0]);
        return 2;
    }
    return any_foreign(&load) ? EXIT_FAILURE : EXIT_SUCCESS;
}
