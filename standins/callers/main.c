/**
 * @file main.c
 * @brief Load generator: callers that send requests at a fixed rate (open loop), and retry once after a Retry-After.
 *
 * Nodes and the given kinds of requests are used in turn. Prints one JSON line on standard output at the end of each
 * attempt, and a last line with sums. Each attempt has an id of its own; the path consists of the prefix of the kind
 * and the number of the request.
 *
 * With --until FILE, callers go on beyond the number of requests until the file exists.
 *
 * With --pipeline N, N requests are sent at once on a new connection, and none is retried.
 */
#include <argtable2.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/byte_buffer.h"
#include "net/http_upstream.h"
#include "pipeline.h"

enum { ERRORS_MAX = 10, PIPELINE_MAX = 16, NODES_MAX = 32, KINDS_MAX = 8, KEYS = 65536, TEXT_MAX = 200, DRAIN_S = 8 };

/** A kind of request, as HOST,PREFIX,METHOD,DEADLINE_MS,KEYED(0|1) on the command line. */
typedef struct kind {
    char     host[TEXT_MAX];
    char     prefix[TEXT_MAX];
    char     method[16];
    uint32_t deadline_ms;
    uint32_t keyed;
} kind_t;

/** State of the load generator. */
typedef struct callers {
    uv_loop_t             loop;
    cw_upstream_t        *upstream;
    cw_upstream_target_t *nodes[NODES_MAX];
    char                  addresses[NODES_MAX][64];
    size_t                node_count;
    uint64_t              pipeline;   /**< requests sent at once on a connection; 1: no pipelining */
    size_t                body_bytes; /**< size of the body of requests other than GET */
    uint64_t              unread;     /**< requests that followed one whose answer closed the connection */
    kind_t                kinds[KINDS_MAX];
    size_t                kind_count;
    uv_timer_t            send_timer;
    uint64_t              sent;
    uint64_t              total; /**< requests to send */
    uint64_t              per_s;
    uint64_t              started_ms;
    uint64_t              in_flight;
    uint64_t              counts[600]; /**< number of attempts by status; 0: no answer */
    uint64_t              wrong;       /**< successful answers that are not the attempt's own */
    uint32_t              hot_percent; /**< share of requests for one key, the same for all of them */
    const char           *until;       /**< file whose existence ends the callers; NULL: the number of requests does */
    pid_t                 parent;      /**< the process that started the callers */
    const char           *credential;  /**< sent in "Authorization"; NULL: none */
    char                  id_prefix[24]; /**< beginning of all ids */
    uint64_t              random;
} callers_t;

/** A request, and its latest attempt. */
typedef struct attempt {
    callers_t    *callers;
    const kind_t *kind;
    const char   *node; /**< address of the node that it was sent to */
    uint64_t      number;
    uint32_t      retries;
    uint32_t      key;
    uint64_t      started_ns;
    uint64_t      sent_ns; /**< when the latest attempt was sent */
    uint64_t      deadline_ns;
    char          id[80];
    uv_timer_t    retry_timer;
} attempt_t;

static uint64_t next_random(callers_t *callers)
{
    callers->random = callers->random * 6364136223846793005u + 1442695040888963407u;
    return callers->random >> 33;
}

static void send_attempt(attempt_t *attempt);

static void free_attempt(uv_handle_t *handle)
{
    free(handle->data);
}

static void finish_attempt(attempt_t *attempt)
{
    attempt->callers->in_flight--;
    uv_close((uv_handle_t *)&attempt->retry_timer, free_attempt);
}

static void on_retry(uv_timer_t *timer)
{
    send_attempt(timer->data);
}

/* Whether a 2xx is the answer to this attempt: servers sign it and send the id as its body. */
static bool is_own_answer(const attempt_t *attempt, const cw_http_fields_t *fields, const char *body,
                          size_t body_length)
{
    const char *signature = cw_http_fields_find(fields, "X-Server-Signature");

    return signature != NULL && body_length == strlen(attempt->id) && memcmp(body, attempt->id, body_length) == 0;
}

/* Counts and names a 2xx that is not the whole answer to this attempt; otherwise returns the given fault. */
static const char *check_answer(const attempt_t *attempt, int status, const cw_http_fields_t *fields, const char *body,
                                size_t body_length, const char *fault)
{
    if (status < 200 || status >= 300 || is_own_answer(attempt, fields, body, body_length)) {
        return fault;
    }
    attempt->callers->wrong++;
    return "not the whole answer";
}

/* The server whose answer has this header field; empty: the answer does not have it, or there is no answer. */
static const char *server_with_field(const cw_http_fields_t *fields, const char *name)
{
    const char *server = fields == NULL || cw_http_fields_find(fields, name) == NULL
                             ? NULL
                             : cw_http_fields_find(fields, "X-Instance-Id");

    return server == NULL ? "" : server;
}

/* Prints the record of an attempt's end; fields is NULL if there was no answer. */
static void print_end(const attempt_t *attempt, int status, const cw_http_fields_t *fields, const char *fault)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"end\",\"id\":\"%s\",\"method\":\"%s\",\"status\":%d,\"ms\":%" PRIu64
           ",\"sent_ns\":%" PRIu64 ",\"node\":\"%s\",\"limit\":\"%s\",\"leaving\":\"%s\",\"fault\":\"%s\"}\n",
           uv_hrtime(), attempt->id, attempt->kind->method, status, (uv_hrtime() - attempt->started_ns) / 1000000,
           attempt->sent_ns, attempt->node, server_with_field(fields, "Server-Limit"),
           server_with_field(fields, "Server-Leaving"), fault == NULL ? "" : fault);
}

static void on_answer(void *context, const cw_upstream_answer_t *answer)
{
    attempt_t  *attempt = context;
    callers_t  *callers = attempt->callers;
    int         status = answer->result == CW_UPSTREAM_ANSWERED ? answer->status : 0;
    const char *retry_after = status == 0 ? NULL : cw_http_fields_find(answer->fields, "Retry-After");
    double      wait_ms = retry_after == NULL ? -1 : atof(retry_after) * 1000;
    uint64_t    now = uv_hrtime();

    callers->counts[status < 600 ? status : 599]++;
    print_end(attempt, status, status == 0 ? NULL : answer->fields,
              check_answer(attempt, status, answer->fields, answer->body, answer->body_length, answer->failure));
    if (status == 503 && wait_ms >= 0 && attempt->retries == 0 &&
        now + (uint64_t)(wait_ms * 3e6) < attempt->deadline_ns) {
        attempt->retries++;
        uv_timer_start(&attempt->retry_timer, on_retry, (uint64_t)wait_ms, 0);
        return;
    }
    finish_attempt(attempt);
}

/* Appends an attempt's request to `text`. Returns the time until its deadline in milliseconds. */
static uint64_t write_attempt(attempt_t *attempt, cw_bytes_t *text)
{
    const callers_t *callers = attempt->callers;
    const kind_t    *kind = attempt->kind;
    uint64_t         now = uv_hrtime();
    uint64_t         left_ms = attempt->deadline_ns > now ? (attempt->deadline_ns - now) / 1000000 : 1;
    bool             has_body = strcmp(kind->method, "GET") != 0;

    attempt->sent_ns = now;
    snprintf(attempt->id, sizeof(attempt->id), "%s-%" PRIu64 "-%u", callers->id_prefix, attempt->number,
             attempt->retries);
    cw_bytes_append_format(text, "%s %s%" PRIu64 " HTTP/1.1\r\nHost: %s\r\n", kind->method, kind->prefix,
                           attempt->number, kind->host);
    cw_bytes_append_format(text, "X-Request-Id: %s\r\nX-Deadline-Ms: %" PRIu64 "\r\n", attempt->id, left_ms);
    if (callers->credential != NULL) {
        cw_bytes_append_format(text, "Authorization: Bearer %s\r\n", callers->credential);
    }
    if (kind->keyed != 0) {
        cw_bytes_append_format(text, "X-Shard-Key: %u\r\n", attempt->key);
    }
    if (has_body) {
        cw_bytes_append_format(text, "Content-Length: %zu\r\n", callers->body_bytes);
    }
    cw_bytes_append_text(text, "\r\n");
    if (has_body) {
        cw_bytes_reserve(text, text->length + callers->body_bytes);
        memset(text->data + text->length, 'b', callers->body_bytes);
        text->length += callers->body_bytes;
    }
    return left_ms;
}

static void send_attempt(attempt_t *attempt)
{
    callers_t            *callers = attempt->callers;
    cw_bytes_t            text = {0};
    uint64_t              left_ms = write_attempt(attempt, &text);
    cw_upstream_request_t request = {.connect_timeout = CW_MS(500),
                                     .timeout = CW_MS(left_ms + 500),
                                     .answer_max = 1 << 20,
                                     .uses_new_connection = attempt->number % 3 == 0};
    size_t                node = (attempt->number + attempt->retries) % callers->node_count;

    request.bytes = text.data;
    request.length = text.length;
    attempt->node = callers->addresses[node];
    (void)cw_upstream_call(callers->nodes[node], &request, on_answer, attempt);
    cw_bytes_clear(&text);
}

static attempt_t *create_attempt(callers_t *callers)
{
    attempt_t *attempt = calloc(1, sizeof(*attempt));

    if (attempt == NULL) {
        abort();
    }
    attempt->callers = callers;
    attempt->number = callers->sent++;
    attempt->kind = &callers->kinds[attempt->number % callers->kind_count];
    attempt->key = next_random(callers) % 100 < callers->hot_percent ? 30000 : (uint32_t)(next_random(callers) % KEYS);
    attempt->started_ns = uv_hrtime();
    attempt->deadline_ns = attempt->started_ns + (uint64_t)attempt->kind->deadline_ms * 1000000;
    attempt->retry_timer.data = attempt;
    uv_timer_init(&callers->loop, &attempt->retry_timer);
    callers->in_flight++;
    return attempt;
}

static void on_pipelined(void *request, const pipeline_answer_t *answer)
{
    static const char *const faults[] = {"", "behind a closing answer", "cut", "connection refused"};
    attempt_t               *attempt = request;
    callers_t               *callers = attempt->callers;
    int                      status = answer->end == PIPELINE_ANSWERED ? answer->status : 0;

    if (answer->end == PIPELINE_UNREAD) {
        callers->unread++;
    } else {
        callers->counts[status < 600 ? status : 599]++;
    }
    print_end(attempt, status, status == 0 ? NULL : answer->fields,
              check_answer(attempt, status, answer->fields, answer->body, answer->body_length, faults[answer->end]));
    finish_attempt(attempt);
}

static void send_pipeline(callers_t *callers)
{
    void       *attempts[PIPELINE_MAX];
    cw_bytes_t  text = {0};
    size_t      count = 0;
    const char *address = callers->addresses[callers->sent / callers->pipeline % callers->node_count];

    while (count < callers->pipeline && callers->sent < callers->total) {
        attempts[count] = create_attempt(callers);
        ((attempt_t *)attempts[count])->node = address;
        (void)write_attempt(attempts[count], &text);
        count++;
    }
    pipeline_send(&callers->loop, address, text.data, text.length, attempts, count, on_pipelined);
    cw_bytes_clear(&text);
}

static void print_summary(const callers_t *callers)
{
    size_t status;

    printf("{\"event\":\"sum\",\"requests\":%" PRIu64 ",\"wrong\":%" PRIu64 ",\"unread\":%" PRIu64, callers->sent,
           callers->wrong, callers->unread);
    for (status = 0; status < 600; status++) {
        if (callers->counts[status] > 0) {
            printf(",\"s%zu\":%" PRIu64, status, callers->counts[status]);
        }
    }
    printf("}\n");
}

/* Whether callers go on beyond the number of requests. They do not outlive the test that is to create the file. */
static bool goes_on(const callers_t *callers)
{
    return callers->until != NULL && access(callers->until, F_OK) != 0 && getppid() == callers->parent;
}

static void on_send_timer(uv_timer_t *timer)
{
    callers_t *callers = timer->data;
    uint64_t   due = (uv_now(&callers->loop) - callers->started_ms) * callers->per_s / 1000;

    if (due > callers->total && goes_on(callers)) {
        callers->total = due;
    }
    while (callers->sent < callers->total && callers->sent < due) {
        if (callers->pipeline > 1) {
            send_pipeline(callers);
        } else {
            send_attempt(create_attempt(callers));
        }
    }
    if (callers->sent == callers->total && !goes_on(callers) &&
        (callers->in_flight == 0 ||
         uv_now(&callers->loop) - callers->started_ms > callers->total * 1000 / callers->per_s + DRAIN_S * 1000)) {
        uv_stop(&callers->loop);
    }
}

static bool parse_kind(kind_t *kind, const char *text)
{
    return sscanf(text, "%199[^,],%199[^,],%15[^,],%u,%u", kind->host, kind->prefix, kind->method, &kind->deadline_ms,
                  &kind->keyed) == 5;
}

static bool parse_nodes(callers_t *callers, const char *text)
{
    char  copy[1024];
    char *item;

    snprintf(copy, sizeof(copy), "%s", text);
    for (item = strtok(copy, ","); item != NULL && callers->node_count < NODES_MAX; item = strtok(NULL, ",")) {
        callers->nodes[callers->node_count] = cw_upstream_target_create(callers->upstream, item);
        if (callers->nodes[callers->node_count] == NULL) {
            return false;
        }
        snprintf(callers->addresses[callers->node_count], sizeof(callers->addresses[0]), "%s", item);
        callers->node_count++;
    }
    return callers->node_count > 0;
}

static int run(callers_t *callers)
{
    callers->send_timer.data = callers;
    callers->started_ms = uv_now(&callers->loop);
    uv_timer_init(&callers->loop, &callers->send_timer);
    uv_timer_start(&callers->send_timer, on_send_timer, 0, 5);
    uv_run(&callers->loop, UV_RUN_DEFAULT);
    print_summary(callers);
    return callers->wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argument_count, char **arguments)
{
    struct arg_str  *nodes = arg_str1("n", "nodes", "IPV4:PORT,...", "nodes, asked in turn");
    struct arg_str  *kinds = arg_strn("k", "kind", "HOST,PREFIX,METHOD,MS,KEYED", 1, KINDS_MAX, "a kind of request");
    struct arg_int  *rate = arg_int0("r", "rate", "N", "requests a second; default 50");
    struct arg_int  *count = arg_int0("c", "count", "N", "requests; default 500");
    struct arg_int  *hot = arg_int0("t", "hot", "PERCENT", "requests about one key; default 0");
    struct arg_int  *pipeline = arg_int0("p", "pipeline", "N", "requests sent at once on a connection; default 1");
    struct arg_int  *body = arg_int0("b", "body", "BYTES", "of requests that have one; default 5");
    struct arg_str  *credential = arg_str0(NULL, "credential", "KEY", "the callers' key; default none");
    struct arg_str  *name = arg_str0("i", "name", "TEXT", "begins the ids; default r");
    struct arg_str  *until = arg_str0(NULL, "until", "FILE", "go on beyond the requests until this file exists");
    struct arg_end  *end = arg_end(ERRORS_MAX);
    void            *table[] = {nodes, kinds, rate, count, hot, pipeline, body, credential, name, until, end};
    static callers_t callers;
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(2)};
    int                   index;

    if (arg_parse(argument_count, arguments, table) > 0) {
        arg_print_errors(stderr, end, "cw-callers");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&callers.loop);
    callers.upstream = cw_upstream_create(&callers.loop, &options);
    callers.random = 12345;
    callers.per_s = rate->count > 0 ? (uint64_t)rate->ival[0] : 50;
    callers.total = count->count > 0 ? (uint64_t)count->ival[0] : 500;
    callers.body_bytes = body->count > 0 && body->ival[0] >= 0 ? (size_t)body->ival[0] : 5;
    callers.pipeline = pipeline->count > 0 ? (uint64_t)pipeline->ival[0] : 1;
    if (callers.pipeline < 1 || callers.pipeline > PIPELINE_MAX) {
        fprintf(stderr, "cw-callers: --pipeline is from 1 to %d\n", PIPELINE_MAX);
        return 2;
    }
    callers.hot_percent = hot->count > 0 ? (uint32_t)hot->ival[0] : 0;
    callers.credential = credential->count > 0 ? credential->sval[0] : NULL;
    callers.parent = getppid();
    callers.until = until->count > 0 ? until->sval[0] : NULL;
    snprintf(callers.id_prefix, sizeof(callers.id_prefix), "%s", name->count > 0 ? name->sval[0] : "r");
    for (index = 0; index < kinds->count; index++) {
        if (!parse_kind(&callers.kinds[callers.kind_count++], kinds->sval[index])) {
            fprintf(stderr, "cw-callers: a kind is HOST,PREFIX,METHOD,MS,KEYED\n");
            return 2;
        }
    }
    if (!parse_nodes(&callers, nodes->sval[0])) {
        fprintf(stderr, "cw-callers: nodes are IPV4:PORT,...\n");
        return 2;
    }
    return run(&callers);
}
