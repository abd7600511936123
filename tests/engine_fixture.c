/**
 * @file engine_fixture.c
 * @brief Implements the engine test fixture: the engine, its servers and its callers.
 */
#include "engine_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/metrics.h"

enum { BODY_BYTES = 60000, HEAD_BYTES = 512 };

static const cw_http_limits_t limits = {
    .header_bytes = 8000, .body_bytes = 100000, .header_timeout = CW_SECONDS(30), .idle_timeout = CW_SECONDS(30)};

/* Zone and region of each server; s0 is in the near region. */
static const cw_zone_region_t regions[] = {{"z1", "near"}, {"z2", "far"}};

/* ---- servers ---- */

static void add_field(cw_http_field_builder_t *builder, cw_http_fields_t *fields, const char *name, const char *value)
{
    cw_http_field_builder_name(builder, fields, name, strlen(name));
    cw_http_field_builder_value(builder, fields, value, strlen(value));
}

void engine_server_answer(engine_server_t *server, int status, const char *text, const char *field)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_outbound_t      outbound = {
             .status = status, .fields = &fields, .body = text, .body_length = strlen(text), .retry_after_s = -1};

    if (field != NULL) {
        add_field(&builder, &fields, field, "1");
    }
    if (server->instance != NULL) {
        add_field(&builder, &fields, "instance", server->instance);
    }
    add_field(&builder, &fields, "signature", server->id);
    cw_http_exchange_answer(server->exchange, &outbound);
    cw_http_fields_clear(&fields);
}

static void record_fields(engine_server_t *server, const cw_http_fields_t *fields)
{
    size_t index;

    server->seen[0] = '\0';
    for (index = 0; index < fields->count; index++) {
        size_t used = strlen(server->seen);

        snprintf(server->seen + used, sizeof(server->seen) - used, "%s: %s\n", fields->items[index].name,
                 fields->items[index].value);
    }
}

static void on_server_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    engine_server_t *server = context;
    const char      *deadline = cw_http_fields_find(inbound->fields, "deadline");
    const char      *target = cw_http_fields_find(inbound->fields, "target");

    server->requests++;
    server->has_request = true;
    server->exchange = exchange;
    snprintf(server->deadline, sizeof(server->deadline), "%s", deadline == NULL ? "" : deadline);
    snprintf(server->target, sizeof(server->target), "%s", target == NULL ? "" : target);
    record_fields(server, inbound->fields);
    if (server->status != 0) {
        engine_server_answer(server, server->status, server->id, server->not_run ? "not-run" : NULL);
    }
}

static void on_server_caller_gone(void *context, cw_http_exchange_t *exchange)
{
    engine_server_t *server = context;

    (void)exchange;
    server->cancelled++;
}

static void start_server(engine_fixture_t *fixture, size_t index, cw_server_list_t *list, uint32_t capacity)
{
    engine_server_t           *server = &fixture->servers[index];
    cw_http_listener_handler_t handler = {server, on_server_request, on_server_caller_gone};
    cw_server_entry_t         *entry = cw_server_list_add(list);

    server->fixture = fixture;
    ck_assert_int_eq(cw_http_listener_create(&server->listener, &fixture->loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(server->id, sizeof(server->id), "s%zu", index);
    snprintf(server->address, sizeof(server->address), "127.0.0.1:%u", cw_http_listener_port(server->listener));
    entry->id = strdup(server->id);
    entry->service = strdup("service");
    entry->address = strdup(server->address);
    entry->zone = strdup(regions[index].zone); /* s0 is nearer, so it is chosen first */
    entry->capacity = capacity;
}

static void start_servers(engine_fixture_t *fixture, const engine_fixture_setup_t *setup)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    fixture->server_count = setup->servers;
    for (index = 0; index < setup->servers; index++) {
        start_server(fixture, index, list, setup->capacity);
    }
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->pool, list, 0);
    cw_server_list_release(list);
}

/* ---- the engine ---- */

static void on_front_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    engine_fixture_t *fixture = context;

    const char            *field = cw_http_fields_find(inbound->fields, cw_delegation_field);
    cw_delegated_request_t delegated;

    if (!fixture->takes_delegated || field == NULL) {
        cw_engine_request(fixture->engine, exchange, inbound);
        return;
    }
    ck_assert_int_eq(cw_delegated_request_read(&delegated, field), 0);
    cw_engine_request_delegated(fixture->engine, exchange, inbound, &delegated);
}

static bool front_rejects(void *context, const cw_http_inbound_t *head)
{
    const engine_fixture_t *fixture = context;

    return fixture->rejects_all || cw_engine_rejects_head(fixture->engine, head);
}

static void on_front_caller_gone(void *context, cw_http_exchange_t *exchange)
{
    engine_fixture_t *fixture = context;

    cw_engine_caller_disconnected(fixture->engine, exchange);
}

static void on_dropped(void *context, cw_server_t *server)
{
    engine_fixture_t *fixture = context;

    cw_engine_forget_server(fixture->engine, server);
}

engine_fixture_setup_t engine_fixture_default_setup(void)
{
    return (engine_fixture_setup_t){.servers = ENGINE_FIXTURE_SERVERS, .capacity = 1, .repeat_factor = 1000};
}

static cw_engine_settings_t engine_settings(const engine_fixture_setup_t *setup)
{
    return (cw_engine_settings_t){.names = {.request_id = "id",
                                            .deadline = "deadline",
                                            .target = "target",
                                            .not_run = "not-run",
                                            .key = "key",
                                            .signature = "signature",
                                            .instance = "instance",
                                            .tenant = setup->tenant_field},
                                  .choice = {.zone_penalty = 0.5},
                                  .crossing = {.ms_per_mb = setup->crossing_ms_per_mb},
                                  .budget = {.ratio = 0.2, .extra = 50, .window = CW_SECONDS(10), .share = 1},
                                  .connect_timeout = CW_SECONDS(5),
                                  .repeat_factor = setup->repeat_factor,
                                  .answer_max = 100000,
                                  .credential_scheme = setup->credential_scheme,
                                  .queue_max = 100};
}

void engine_fixture_begin(engine_fixture_t *fixture, const engine_fixture_setup_t *setup)
{
    cw_engine_settings_t       settings = engine_settings(setup);
    cw_upstream_options_t      options = {.idle_max = CW_SECONDS(20)};
    cw_http_listener_handler_t handler = {fixture, on_front_request, on_front_caller_gone};
    char                       address[32];

    memset(fixture, 0, sizeof(*fixture));
    cw_metrics_reset();
    uv_loop_init(&fixture->loop);
    fixture->pool = cw_server_pool_create("z1", on_dropped, fixture);
    fixture->upstream = cw_upstream_create(&fixture->loop, &options);
    fixture->engine = cw_engine_create(&fixture->loop, &settings, fixture->pool, fixture->upstream);
    ck_assert_int_eq(cw_http_listener_create(&fixture->front, &fixture->loop, "127.0.0.1", 0, &limits, &handler), 0);
    cw_http_listener_set_reject_callback(fixture->front, front_rejects);
    fixture->caller = cw_upstream_create(&fixture->loop, &options);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(fixture->front));
    fixture->front_target = cw_upstream_target_create(fixture->caller, address);
    cw_server_pool_set_regions(fixture->pool, regions, sizeof(regions) / sizeof(regions[0]));
    start_servers(fixture, setup);
}

/* ---- configurations ---- */

cw_route_t *engine_fixture_add_route(cw_configuration_t *configuration, const char *name, bool repeatable)
{
    cw_route_t *route = cw_configuration_add_route(configuration);
    char        prefix[32];

    snprintf(prefix, sizeof(prefix), "/%s/", name);
    route->name = strdup(name);
    route->host = strdup("a.example");
    route->prefix = strdup(prefix);
    route->repeatable = repeatable;
    route->timeout = CW_SECONDS(20);
    route->objective = CW_SECONDS(10);
    route->max_attempts = 3;
    return route;
}

void engine_fixture_use(engine_fixture_t *fixture, cw_configuration_t *configuration)
{
    cw_configuration_seal(configuration);
    cw_engine_set_configuration(fixture->engine, configuration);
    cw_configuration_release(configuration);
}

/* region: the only region whose servers get the route's requests; NULL: all regions. */
static void add_route_to(cw_configuration_t *configuration, const char *name, bool repeatable, const char *service,
                         const char *region)
{
    cw_route_t *route = engine_fixture_add_route(configuration, name, repeatable);

    cw_route_add_part(route, service, 1);
    if (region != NULL) {
        cw_name_set_add(&route->regions, region);
    }
}

static void configure(engine_fixture_t *fixture)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);

    service->name = strdup("keyed");
    service->keyed = true;
    add_route_to(configuration, "safe", true, "service", NULL);
    add_route_to(configuration, "once", false, "service", NULL);
    add_route_to(configuration, "keyed", true, "keyed", NULL);
    add_route_to(configuration, "far", true, "service", "far");
    add_route_to(configuration, "far-keyed", true, "keyed", "far");
    add_route_to(configuration, "elsewhere", true, "service", "elsewhere");
    engine_fixture_use(fixture, configuration);
}

void engine_fixture_init(engine_fixture_t *fixture)
{
    engine_fixture_setup_t setup = engine_fixture_default_setup();

    engine_fixture_begin(fixture, &setup);
    configure(fixture);
}

void engine_fixture_init_with_repeat_factor(engine_fixture_t *fixture, double repeat_factor)
{
    engine_fixture_setup_t setup = engine_fixture_default_setup();

    setup.repeat_factor = repeat_factor;
    engine_fixture_begin(fixture, &setup);
    configure(fixture);
}

void engine_fixture_init_with_crossing(engine_fixture_t *fixture, double crossing_ms_per_mb)
{
    engine_fixture_setup_t setup = engine_fixture_default_setup();

    setup.crossing_ms_per_mb = crossing_ms_per_mb;
    engine_fixture_begin(fixture, &setup);
    configure(fixture);
}

/* ---- calls ---- */

static void record_latest(engine_fixture_t *fixture, const engine_call_t *call, const cw_upstream_answer_t *answer)
{
    fixture->answered = true;
    fixture->result = call->result;
    fixture->status = call->status;
    fixture->retry_after_s = call->retry_after_s;
    fixture->body.length = 0;
    cw_bytes_append(&fixture->body, answer->body, answer->body_length);
    cw_bytes_append(&fixture->body, "", 1);
}

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    engine_call_t *call = context;
    const char    *retry_after = answer->fields == NULL ? NULL : cw_http_fields_find(answer->fields, "retry-after");
    const char    *challenge = answer->fields == NULL ? NULL : cw_http_fields_find(answer->fields, "www-authenticate");

    const char *outcome =
        answer->fields == NULL ? NULL : cw_http_fields_find(answer->fields, cw_delegation_outcome_field);

    call->answered = true;
    call->result = answer->result;
    snprintf(call->delegation_outcome, sizeof(call->delegation_outcome), "%s", outcome == NULL ? "" : outcome);
    call->is_challenged = challenge != NULL && strcmp(challenge, "Token") == 0;
    call->status = answer->status;
    call->retry_after_s = retry_after == NULL ? -1 : atof(retry_after);
    snprintf(call->body, sizeof(call->body), "%.*s", (int)answer->body_length,
             answer->body == NULL ? "" : answer->body);
    record_latest(call->fixture, call, answer);
}

engine_call_t *engine_fixture_send(engine_fixture_t *fixture, size_t number, const char *text, size_t length)
{
    cw_upstream_request_t request = {
        .connect_timeout = CW_SECONDS(5), .answer_max = 100000, .bytes = text, .length = length};
    engine_call_t *call = &fixture->calls[number];

    ck_assert_uint_lt(number, ENGINE_FIXTURE_CALLS);
    memset(call, 0, sizeof(*call));
    call->fixture = fixture;
    call->call = cw_upstream_call(fixture->front_target, &request, on_answered, call);
    return call;
}

/* An entry of the calls is used again after ENGINE_FIXTURE_CALLS others; its call must have been answered, or abandoned
 * by the test, before that. */
static cw_upstream_call_t *send_next(engine_fixture_t *fixture, const char *text, size_t length)
{
    size_t number = fixture->next_call++ % ENGINE_FIXTURE_CALLS;

    fixture->answered = false;
    return engine_fixture_send(fixture, number, text, length)->call;
}

cw_upstream_call_t *engine_fixture_ask(engine_fixture_t *fixture, const char *method, const char *path,
                                       const char *deadline_ms)
{
    char text[HEAD_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "%s %s HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nkey: 500\r\ndeadline: %s\r\n"
                            "Content-Length: 0\r\n\r\n",
                           method, path, deadline_ms);

    return send_next(fixture, text, (size_t)length);
}

cw_upstream_call_t *engine_fixture_upload(engine_fixture_t *fixture, const char *path)
{
    static char text[BODY_BYTES + HEAD_BYTES];
    int         head = snprintf(text, HEAD_BYTES,
                                "POST %s HTTP/1.1\r\nHost: a.example\r\nid: r2\r\ndeadline: 15000\r\n"
                                        "Content-Length: %d\r\n\r\n",
                                path, BODY_BYTES);

    memset(text + head, 'x', BODY_BYTES);
    return send_next(fixture, text, (size_t)head + BODY_BYTES);
}

void engine_fixture_run_for(engine_fixture_t *fixture, cw_time_us_t time)
{
    cw_time_us_t end = cw_engine_now(fixture->engine) + time;

    while (cw_engine_now(fixture->engine) < end) {
        cw_test_run_some(&fixture->loop, 1);
        usleep(ENGINE_FIXTURE_PAUSE_US);
    }
}
