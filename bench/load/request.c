/**
 * @file request.c
 * @brief One request of the load tool: its sending, its repeat by an impatient caller, its answer's record.
 */
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include "../../standins/common/codec.h"
#include "cedarwinch/outcome.h"
#include "load.h"

enum {
    GRACE_MS = 2000 /**< waited beyond the request's own timeout: the gateway should have answered by then */
};

/** A call with what the record needs. */
typedef struct request {
    cw_call_t  call; /* first, so that the call can be cast back; freed by the client */
    cw_load_t *load;
    size_t     stream;
    size_t     gateway;
    char       request_id[CW_REQUEST_ID_SIZE];
    char       key[CW_KEY_TEXT];
    int64_t    intended_us;
    bool       is_repeat;
} request_t;

/** Timer of a repeat that is to come. */
typedef struct repeat {
    uv_timer_t timer;
    request_t *request;
} repeat_t;

typedef enum echo { ECHO_NONE, ECHO_OWN, ECHO_FOREIGN } echo_t;

static int64_t wall_ms(void)
{
    struct timeval now;

    gettimeofday(&now, NULL);
    return (int64_t)now.tv_sec * 1000 + now.tv_usec / 1000;
}

/* Whose answer is it? Both the request-id header and the stand-in's echo in the body must name this request. */
static echo_t find_echo(const request_t *request)
{
    const cw_call_t *call = &request->call;
    json_t          *body = json_loadb(call->body, call->body_length, 0, NULL);
    const char      *echoed_id = NULL;
    const char      *echoed_key = NULL;
    echo_t           echo = ECHO_NONE;

    if (body != NULL && json_unpack(body, "{s:s,s:s}", "request", &echoed_id, "key", &echoed_key) == 0) {
        echo = strcmp(echoed_id, request->request_id) == 0 && strcmp(echoed_key, request->key) == 0 ? ECHO_OWN
                                                                                                    : ECHO_FOREIGN;
    }
    json_decref(body);
    if (call->answered_id[0] != '\0' && strcmp(call->answered_id, request->request_id) != 0) {
        echo = ECHO_FOREIGN;
    }
    return echo;
}

static void write_record(const request_t *request, echo_t echo)
{
    const cw_stream_options_t *options = cw_stream_options(request->load->streams[request->stream]);
    const cw_call_t           *call = &request->call;
    char                       service[CW_HEX_TEXT];
    json_t                    *line;

    if (request->load->record == NULL) {
        return;
    }
    cw_hex_format(cw_hash_service(options->tenant, options->service), service);
    line = json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:s,s:I,s:I,s:I,s:i,s:s,s:s}", "request", request->request_id,
                     "tenant", options->tenant, "service", options->service, "service_id", service, "key", request->key,
                     "non_repeatable", (int)options->non_repeatable, "repeat", (int)request->is_repeat, "gateway",
                     cw_client_gateway_name(request->load->client, request->gateway), "intended_us",
                     (json_int_t)request->intended_us, "sent_us", (json_int_t)call->sent_us, "answered_us",
                     (json_int_t)call->ended_us, "status", call->status, "outcome", cw_call_end_text(call->end),
                     "reason", call->reason);
    if (echo != ECHO_NONE) {
        json_object_set_new(line, "echoed", json_boolean(echo == ECHO_OWN));
    }
    json_dumpf(line, request->load->record, JSON_COMPACT | JSON_PRESERVE_ORDER);
    fputc('\n', request->load->record);
    json_decref(line);
}

static void count_reason(cw_stream_report_t *report, const char *reason)
{
    size_t i;

    for (i = 0; i < CW_REASONS_COUNTED; i++) {
        if (report->reasons[i].count == 0) {
            snprintf(report->reasons[i].reason, sizeof(report->reasons[i].reason), "%s", reason);
        }
        if (strcmp(report->reasons[i].reason, reason) == 0) {
            report->reasons[i].count++;
            return;
        }
    }
}

static bool is_counted(const cw_load_t *load, int64_t intended_us)
{
    return intended_us >= load->start_us + (int64_t)(load->options.warmup_s * CW_US_PER_S);
}

static void count_end(const request_t *request, echo_t echo)
{
    cw_stream_report_t *report = &request->load->reports[request->stream];
    const cw_call_t    *call = &request->call;

    report->foreign += echo == ECHO_FOREIGN ? 1 : 0;
    if (!is_counted(request->load, request->intended_us)) {
        return;
    }
    if (request->is_repeat) {
        report->repeat_ends[call->end]++;
        return;
    }
    report->ends[call->end]++;
    if (call->reason[0] != '\0') {
        count_reason(report, call->reason);
    }
    if (call->end == CW_CALL_ANSWERED) {
        cw_histogram_add(report->answered_us, call->ended_us - request->intended_us);
    } else if (call->end == CW_CALL_NOT_RUN) {
        cw_histogram_add(report->refused_us, call->ended_us - request->intended_us);
    }
}

static void on_request_ended(cw_call_t *call)
{
    request_t *request = (request_t *)call;
    echo_t     echo = find_echo(request);

    request->load->in_flight--;
    write_record(request, echo);
    count_end(request, echo);
}

static void submit(request_t *request)
{
    cw_load_t                 *load = request->load;
    const cw_stream_options_t *options = cw_stream_options(load->streams[request->stream]);

    request->gateway = load->next_gateway++ % cw_client_gateways(load->client);
    request->call.text =
        cw_request_text(options, request->key, request->request_id,
                        cw_client_gateway_name(load->client, request->gateway), &request->call.text_length);
    request->call.from_server = options->fence != NULL;
    request->call.wait_ms = (int64_t)options->timeout_ms + GRACE_MS;
    request->call.ended = on_request_ended;
    cw_client_send(load->client, request->gateway, &request->call);
}

static void on_repeat_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void on_repeat_due(uv_timer_t *timer)
{
    repeat_t *repeat = timer->data;

    submit(repeat->request);
    uv_close((uv_handle_t *)timer, on_repeat_closed);
}

/* An impatient caller sends the same request again, to the next gateway, before the first answer is due. */
static void schedule_repeat(const request_t *first)
{
    cw_load_t *load = first->load;
    repeat_t  *repeat = calloc(1, sizeof(*repeat));
    request_t *request = calloc(1, sizeof(*request));

    if (repeat == NULL || request == NULL) {
        abort();
    }
    request->load = load;
    request->stream = first->stream;
    memcpy(request->request_id, first->request_id, sizeof(request->request_id));
    memcpy(request->key, first->key, sizeof(request->key));
    request->intended_us = first->intended_us + (int64_t)load->options.repeat_after_ms * CW_US_PER_MS;
    request->is_repeat = true;
    repeat->request = request;
    load->in_flight++;
    uv_timer_init(load->loop, &repeat->timer);
    repeat->timer.data = repeat;
    uv_timer_start(&repeat->timer, on_repeat_due, load->options.repeat_after_ms, 0);
}

void cw_request_send(cw_load_t *load, size_t stream, const char *key, int64_t intended_us)
{
    uint8_t    id[CW_REQUEST_ID_BYTES];
    request_t *request;

    if (is_counted(load, intended_us)) {
        load->reports[stream].intended++;
    }
    if (load->in_flight >= load->options.in_flight_limit) {
        load->reports[stream].held_back += is_counted(load, intended_us) ? 1 : 0;
        return;
    }
    request = calloc(1, sizeof(*request));
    if (request == NULL) {
        abort();
    }
    request->load = load;
    request->stream = stream;
    request->intended_us = intended_us;
    snprintf(request->key, sizeof(request->key), "%s", key);
    cw_request_id_make(id, wall_ms(), &load->random_state);
    cw_request_id_format(id, request->request_id);
    load->in_flight++;
    if (cw_stream_draws_repeat(load->streams[stream])) {
        schedule_repeat(request);
    }
    submit(request);
}
