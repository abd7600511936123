/**
 * @file test_engine.c
 * @brief A request's way through the engine, between a real caller's connection and a real server's.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/byte_buffer.h"
#include "base/metrics.h"
#include "loop_fixture.h"
#include "proxy/engine_internal.h"

enum { SERVERS = 2, PAUSE_US = 1000 };

typedef struct world world_t;

/** A server: a listener whose requests the test answers. */
typedef struct fake_server {
    world_t            *world;
    cw_http_listener_t *listener;
    char                id[8];
    char                address[32];
    uint32_t            requests;
    uint32_t            gone;
    cw_http_exchange_t *exchange;
    bool                has_request;
    char                deadline[32];
    char                target[64];
    /* what it answers by itself; 0: the test answers */
    int         status;
    bool        not_run;
    const char *instance;
} fake_server_t;

struct world {
    uv_loop_t             loop;
    cw_server_pool_t     *pool;
    cw_upstream_t        *upstream;
    cw_engine_t          *engine;
    cw_http_listener_t   *front;
    fake_server_t         servers[SERVERS];
    cw_upstream_t        *caller;
    cw_upstream_target_t *front_target;
    bool                  answered;
    cw_upstream_result_t  result;
    int                   status;
    double                retry_after_s;
    cw_bytes_t            body;
};

static const cw_http_limits_t limits = {
    .header_bytes = 8000, .body_bytes = 100000, .header_timeout = CW_SECONDS(30), .idle_timeout = CW_SECONDS(30)};

static void server_answer(fake_server_t *server, int status, const char *text)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_outbound_t      outbound = {
             .status = status, .fields = &fields, .body = text, .body_length = strlen(text), .retry_after_s = -1};

    if (server->not_run) {
        cw_http_field_builder_name(&builder, &fields, "not-run", 7);
        cw_http_field_builder_value(&builder, &fields, "1", 1);
    }
    if (server->instance != NULL) {
        cw_http_field_builder_name(&builder, &fields, "instance", 8);
        cw_http_field_builder_value(&builder, &fields, server->instance, strlen(server->instance));
    }
    cw_http_exchange_answer(server->exchange, &outbound);
    cw_http_fields_clear(&fields);
}

static void on_server_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    fake_server_t *server = context;
    const char    *deadline = cw_http_fields_find(inbound->fields, "deadline");
    const char    *target = cw_http_fields_find(inbound->fields, "target");

    server->requests++;
    server->has_request = true;
    server->exchange = exchange;
    snprintf(server->deadline, sizeof(server->deadline), "%s", deadline == NULL ? "" : deadline);
    snprintf(server->target, sizeof(server->target), "%s", target == NULL ? "" : target);
    if (server->status != 0) {
        server_answer(server, server->status, server->id);
    }
}

static void on_server_gone(void *context, cw_http_exchange_t *exchange)
{
    fake_server_t *server = context;

    (void)exchange;
    server->gone++;
}

static void on_front_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    world_t *world = context;

    cw_engine_request(world->engine, exchange, inbound);
}

static void on_front_gone(void *context, cw_http_exchange_t *exchange)
{
    world_t *world = context;

    cw_engine_gone(world->engine, exchange);
}

static void on_dropped(void *context, cw_server_t *server)
{
    world_t *world = context;

    cw_engine_forget_server(world->engine, server);
}

static void start_servers(world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    for (index = 0; index < SERVERS; index++) {
        fake_server_t             *server = &world->servers[index];
        cw_http_listener_handler_t handler = {server, on_server_request, on_server_gone};
        cw_server_entry_t         *entry;

        server->world = world;
        ck_assert_int_eq(cw_http_listener_create(&server->listener, &world->loop, "127.0.0.1", 0, &limits, &handler),
                         0);
        snprintf(server->id, sizeof(server->id), "s%zu", index);
        snprintf(server->address, sizeof(server->address), "127.0.0.1:%u", cw_http_listener_port(server->listener));
        entry = cw_server_list_add(list);
        entry->id = strdup(server->id);
        entry->service = strdup("service");
        entry->address = strdup(server->address);
        entry->zone = strdup(index == 0 ? "z1" : "z2"); /* s0 is nearer: it is chosen first */
        entry->capacity = 1;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, 0);
    cw_server_list_release(list);
}

static cw_route_t *add_route(cw_configuration_t *configuration, const char *name, const char *prefix, bool repeatable)
{
    cw_route_t *route = cw_configuration_add_route(configuration);

    route->name = strdup(name);
    route->host = strdup("a.example");
    route->prefix = strdup(prefix);
    route->repeatable = repeatable;
    route->timeout = CW_SECONDS(20);
    route->aim = CW_SECONDS(10);
    route->max_attempts = 3;
    return route;
}

/* Its requests go to servers in the region of its name only. */
static void add_bound_route(cw_configuration_t *configuration, const char *name, const char *prefix)
{
    cw_route_t *route = add_route(configuration, name, prefix, true);

    cw_route_add_part(route, "service", 1);
    cw_name_set_add(&route->regions, name);
}

static void configure(world_t *world)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);
    cw_route_t         *far_keyed;

    service->name = strdup("keyed");
    service->keyed = true;
    cw_route_add_part(add_route(configuration, "safe", "/safe/", true), "service", 1);
    cw_route_add_part(add_route(configuration, "once", "/once/", false), "service", 1);
    cw_route_add_part(add_route(configuration, "keyed", "/keyed/", true), "keyed", 1);
    add_bound_route(configuration, "far", "/far/");
    far_keyed = add_route(configuration, "far-keyed", "/far-keyed/", true);
    cw_route_add_part(far_keyed, "keyed", 1);
    cw_name_set_add(&far_keyed->regions, "far");
    add_bound_route(configuration, "elsewhere", "/elsewhere/");
    cw_configuration_seal(configuration);
    cw_engine_set_configuration(world->engine, configuration);
    cw_configuration_release(configuration);
}

/* The region of each server's zone: s0 lies in the near one. */
static const cw_zone_region_t regions[] = {{"z1", "near"}, {"z2", "far"}};

/* What a megabyte across their border is worth; the tests that set it set it back. */
static double crossing_ms_per_mb;

static void init_with_silence(world_t *world, double silence_factor)
{
    cw_engine_settings_t       settings = {.names = {.request_id = "id",
                                                     .deadline = "deadline",
                                                     .target = "target",
                                                     .not_run = "not-run",
                                                     .key = "key",
                                                     .signature = "signature",
                                                     .instance = "instance"},
                                           .choice = {.zone_penalty = 0.5},
                                           .crossing = {.ms_per_mb = crossing_ms_per_mb},
                                           .budget = {.ratio = 0.2, .extra = 50, .window = CW_SECONDS(10), .share = 1},
                                           .keyed_extra_slots = 0,
                                           .connect_timeout = CW_SECONDS(5),
                                           .silence_factor = silence_factor,
                                           .answer_max = 100000,
                                           .queue_max = 100};
    cw_upstream_options_t      options = {.idle_max = CW_SECONDS(20)};
    cw_http_listener_handler_t handler = {world, on_front_request, on_front_gone};
    char                       address[32];

    memset(world, 0, sizeof(*world));
    uv_loop_init(&world->loop);
    world->pool = cw_server_pool_create("z1", on_dropped, world);
    world->upstream = cw_upstream_create(&world->loop, &options);
    world->engine = cw_engine_create(&world->loop, &settings, world->pool, world->upstream);
    ck_assert_int_eq(cw_http_listener_create(&world->front, &world->loop, "127.0.0.1", 0, &limits, &handler), 0);
    world->caller = cw_upstream_create(&world->loop, &options);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(world->front));
    world->front_target = cw_upstream_target_create(world->caller, address);
    cw_server_pool_set_regions(world->pool, regions, sizeof(regions) / sizeof(regions[0]));
    start_servers(world);
    configure(world);
}

static void init(world_t *world)
{
    init_with_silence(world, 1000);
}

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    world_t    *world = context;
    const char *retry_after = answer->fields == NULL ? NULL : cw_http_fields_find(answer->fields, "retry-after");

    world->answered = true;
    world->result = answer->result;
    world->status = answer->status;
    world->retry_after_s = retry_after == NULL ? -1 : atof(retry_after);
    world->body.length = 0;
    cw_bytes_append(&world->body, answer->body, answer->body_length);
    cw_bytes_append(&world->body, "", 1);
}

static cw_upstream_call_t *ask(world_t *world, const char *method, const char *path, const char *deadline_ms)
{
    char                  text[512];
    cw_upstream_request_t request = {.connect_timeout = CW_SECONDS(5), .answer_max = 100000, .bytes = text};

    request.length = (size_t)snprintf(text, sizeof(text),
                                      "%s %s HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nkey: 500\r\ndeadline: %s\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      method, path, deadline_ms);
    world->answered = false;
    return cw_upstream_call(world->front_target, &request, on_answered, world);
}

START_TEST(an_answer_comes_back_whole_with_the_deadline_and_target_passed_on)
{
    world_t world;

    init(&world);
    world.servers[0].status = 200;
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_str_eq(world.servers[0].target, "s0");
    ck_assert_int_le(atoi(world.servers[0].deadline), 15000);
    ck_assert_int_gt(atoi(world.servers[0].deadline), 0);
}
END_TEST

START_TEST(a_request_goes_only_to_servers_in_the_regions_of_its_route)
{
    world_t world;

    init(&world);
    world.servers[0].status = 200;
    world.servers[1].status = 200;
    (void)ask(&world, "GET", "/far/x", "15000"); /* though s0 is nearer */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    (void)ask(&world, "GET", "/elsewhere/x", "15000"); /* no server lies there */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(what_is_bound_to_regions_is_let_in_by_the_speed_of_their_servers)
{
    world_t world;

    init(&world);
    cw_server_pool_find(world.pool, "s1")->pace = 1.2; /* two before it take it beyond its objective there */
    cw_server_pool_find(world.pool, "s1")->pace_at = cw_engine_now(world.engine);
    (void)ask(&world, "GET", "/far/1", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    (void)ask(&world, "GET", "/far/2", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    (void)ask(&world, "GET", "/far/3", "16000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
}
END_TEST

/* ---- leaving the region ---- */

enum { BODY_BYTES = 60000 };

static cw_upstream_call_t *upload(world_t *world, const char *path)
{
    static char           text[BODY_BYTES + 512];
    cw_upstream_request_t request = {.connect_timeout = CW_SECONDS(5), .answer_max = 100000, .bytes = text};
    int                   head = snprintf(text, 512,
                                          "POST %s HTTP/1.1\r\nHost: a.example\r\nid: r2\r\ndeadline: 15000\r\n"
                                                            "Content-Length: %d\r\n\r\n",
                                          path, BODY_BYTES);

    memset(text + head, 'x', BODY_BYTES);
    request.length = (size_t)head + BODY_BYTES;
    world->answered = false;
    return cw_upstream_call(world->front_target, &request, on_answered, world);
}

/* The near server has a request; the far one has none. Usual times are a third of 10 s, so its slot comes in 3.3 s. */
static void begin_with_near_server_taken(world_t *world)
{
    crossing_ms_per_mb = 100000; /* 6 s for the body, 80 ms for what has none */
    init(world);
    crossing_ms_per_mb = 0;
    world->servers[1].status = 200;
    (void)ask(world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    ck_assert_uint_eq(world->servers[1].requests, 0);
}

START_TEST(a_large_body_waits_for_a_server_of_its_region)
{
    world_t world;

    begin_with_near_server_taken(&world);
    (void)upload(&world, "/once/x");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[1].requests, 0);
    world.answered = false;
    server_answer(&world.servers[0], 200, "s0");
    cw_test_run_until_set(&world.loop, &world.answered);
    world.servers[0].status = 200;
    while (world.servers[0].requests < 2) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_short_request_crosses_rather_than_wait)
{
    world_t world;

    begin_with_near_server_taken(&world);
    (void)ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_large_body_crosses_when_its_region_has_lost_its_servers)
{
    world_t world;

    begin_with_near_server_taken(&world);
    cw_server_pool_fault(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine));
    cw_server_pool_fault(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine));
    (void)upload(&world, "/once/x");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_request_comes_back_from_a_region_that_is_cut_off)
{
    world_t world;

    begin_with_near_server_taken(&world);
    cw_http_listener_close(world.servers[1].listener); /* connections there are refused */
    cw_test_run_some(&world.loop, 5);
    (void)ask(&world, "GET", "/safe/y", "15000");
    while (cw_server_pool_find(world.pool, "s1")->faults == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    world.servers[0].status = 200;
    server_answer(&world.servers[0], 200, "s0");
    while (world.servers[0].requests < 2) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

/* ---- waiting ---- */

/* Both servers are busy, and a third request waits for longer than a fifth of its objective. */
static void begin_waiting(world_t *world)
{
    cw_time_us_t end;

    init(world);
    (void)ask(world, "GET", "/safe/x", "15000");
    (void)ask(world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    cw_test_run_until_set(&world->loop, &world->servers[1].has_request);
    (void)ask(world, "GET", "/safe/z", "15000");
    end = cw_engine_now(world->engine) + CW_MS(2200);
    while (cw_engine_queued(world->engine) == 0 || cw_engine_now(world->engine) < end) {
        cw_test_run_some(&world->loop, 1);
        usleep(PAUSE_US);
    }
}

START_TEST(what_can_no_longer_be_served_is_refused_at_once)
{
    world_t      world;
    cw_time_us_t begun;

    begin_waiting(&world);
    begun = cw_engine_now(world.engine);
    cw_engine_set_queued_elsewhere(world.engine, "service", 1000);
    cw_engine_wake(world.engine);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(5)); /* its deadline lies beyond */
}
END_TEST

START_TEST(what_was_let_in_waits_though_it_will_be_late)
{
    world_t world;

    begin_waiting(&world);
    cw_engine_set_queued_elsewhere(world.engine, "service", 4); /* its turn comes after its objective */
    cw_engine_wake(world.engine);
    cw_test_run_some(&world.loop, 20);
    ck_assert(!world.answered);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
}
END_TEST

/* s0 is busy, s1 has the request and is silent; then the request's turn seems to lie beyond its deadline. */
START_TEST(what_was_taken_from_a_silent_server_is_not_given_up_by_an_estimate)
{
    world_t      world;
    cw_time_us_t end;

    init_with_silence(&world, 0.01);
    (void)ask(&world, "POST", "/once/x", "15000"); /* not to be repeated: it stays */
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    cw_engine_set_queued_elsewhere(world.engine, "service", 100000);
    while (world.servers[1].gone == 0) { /* taken from s1 by its silence */
        cw_test_run_some(&world.loop, 1);
        usleep(PAUSE_US);
    }
    end = cw_engine_now(world.engine) + CW_MS(200);
    while (cw_engine_now(world.engine) < end) {
        cw_engine_wake(world.engine);
        cw_test_run_some(&world.loop, 1);
        usleep(PAUSE_US);
    }
    ck_assert(!world.answered);
}
END_TEST

/* ---- a stop ---- */

START_TEST(what_is_under_way_when_a_stop_ends_is_answered)
{
    world_t      world;
    cw_time_us_t begun;

    init(&world);
    begun = cw_engine_now(world.engine);
    (void)ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_MS(30));
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.result, CW_UPSTREAM_ANSWERED);
    ck_assert_int_eq(world.status, 504);                                   /* it may have run */
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(10)); /* not by its own limit */
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

START_TEST(what_waits_when_a_stop_ends_is_refused)
{
    world_t      world;
    cw_time_us_t begun;

    init(&world);
    begun = cw_engine_now(world.engine);
    (void)ask(&world, "GET", "/keyed/x", "15000"); /* no owner of its key is known */
    while (cw_engine_queued(world.engine) == 0) {
        cw_test_run_some(&world.loop, 1);
    }
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_MS(30));
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(2));
}
END_TEST

/* The stop began long ago, and ends in ten seconds. */
static void stop_late(world_t *world)
{
    cw_engine_stop(world->engine, cw_engine_now(world->engine) + CW_SECONDS(10));
    world->engine->stopping_since -= CW_SECONDS(60);
}

START_TEST(late_in_a_stop_only_what_surely_ends_is_taken)
{
    world_t world;

    init(&world);
    world.servers[0].status = 200;
    stop_late(&world);
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0 && world.retry_after_s < 0.1);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    (void)ask(&world, "GET", "/safe/x", "5000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
}
END_TEST

START_TEST(early_in_a_stop_a_request_is_taken_and_its_time_is_cut)
{
    world_t world;

    init(&world);
    world.servers[0].status = 200;
    cw_engine_stop(world.engine, cw_engine_now(world.engine) + CW_SECONDS(10));
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_int_le(atoi(world.servers[0].deadline), 10000);
}
END_TEST

/* ---- slots ---- */

/** A node that hands out slots, as the engine sees it: it keeps what it was sent. */
typedef struct fake_broker {
    uint32_t      asks;
    cw_slot_ask_t asked; /* last */
    uint32_t      returns;
    cw_slot_end_t end; /* of the last return */
} fake_broker_t;

enum { BROKER = 77 };

static uint32_t fake_broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return strcmp(zone, "z1") == 0 ? BROKER : 0;
}

static void fake_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    fake_broker_t *fake = context;

    ck_assert_uint_eq(broker, BROKER);
    fake->asks++;
    fake->asked = *asked;
}

static void fake_give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    fake_broker_t *fake = context;

    ck_assert_uint_eq(broker, BROKER);
    ck_assert_uint_eq(returned->ticket, fake->asked.ticket);
    fake->returns++;
    fake->end = returned->end;
}

static bool has_asked(void *context)
{
    const fake_broker_t *fake = context;

    return fake->asks > 0;
}

/* A request has asked, and waits for the reply. */
static void ask_for_slot(world_t *world, fake_broker_t *fake, const char *path)
{
    cw_slot_port_t port = {.context = fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(fake, 0, sizeof(*fake));
    init(world);
    world->servers[0].status = 200;
    world->servers[1].status = 200;
    cw_engine_set_slots(world->engine, &port);
    (void)ask(world, "GET", path, "15000");
    cw_test_run_until(&world->loop, has_asked, fake);
}

static void reply(world_t *world, const fake_broker_t *fake, cw_slot_outcome_t outcome, const char *server)
{
    cw_slot_reply_t message = {.node = BROKER, .ticket = fake->asked.ticket, .outcome = outcome};

    message.server = server == NULL ? 0 : cw_server_pool_find(world->pool, server)->hash;
    message.free_after = outcome == CW_SLOT_REFUSED ? CW_MS(300) : 0;
    cw_engine_slot_reply(world->engine, &message);
}

START_TEST(a_request_goes_where_its_slot_is_and_gives_it_back)
{
    world_t       world;
    fake_broker_t fake;

    ask_for_slot(&world, &fake, "/safe/x");
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    reply(&world, &fake, CW_SLOT_GRANTED, "s1");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_int_eq(fake.end, CW_SLOT_ANSWERED);
}
END_TEST

START_TEST(a_refused_slot_is_a_refusal_with_the_time_to_come_back)
{
    world_t       world;
    fake_broker_t fake;

    ask_for_slot(&world, &fake, "/safe/x");
    cw_server_pool_find(world.pool, "s1")->listed = false; /* no broker counts its slots: it would be used */
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);           /* one that may hardly wait, */
    ck_assert_uint_eq(fake.asks, 2);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL); /* and one that may */
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0.29 && world.retry_after_s < 0.31);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    ck_assert_uint_eq(fake.returns, 0);
}
END_TEST

START_TEST(servers_of_a_zone_without_a_broker_are_used_when_the_others_refuse)
{
    world_t       world;
    fake_broker_t fake;

    ask_for_slot(&world, &fake, "/safe/x");
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(without_a_reply_the_server_is_chosen_here_and_a_late_grant_is_declined)
{
    world_t       world;
    fake_broker_t fake;

    ask_for_slot(&world, &fake, "/safe/x");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_uint_eq(fake.asks, 2); /* a datagram may be lost */
    ck_assert_uint_eq(fake.returns, 1);
    reply(&world, &fake, CW_SLOT_GRANTED, "s0");
    ck_assert_uint_eq(fake.returns, 2);
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(a_request_taken_from_a_silent_server_is_not_given_up_when_no_slot_is_free)
{
    world_t        world;
    fake_broker_t  fake;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};
    uint32_t       asks;

    memset(&fake, 0, sizeof(fake));
    init_with_silence(&world, 0.01); /* a repeatable request is repeated after the shortest time */
    cw_engine_set_slots(world.engine, &port);
    world.servers[1].status = 200;
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &fake);
    reply(&world, &fake, CW_SLOT_GRANTED, "s0"); /* which does not answer */
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    asks = fake.asks;
    while (fake.asks == asks) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    reply(&world, &fake, CW_SLOT_REFUSED, NULL);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_caller_that_leaves_while_its_request_waits_for_a_slot_withdraws_the_ask)
{
    world_t             world;
    fake_broker_t       fake;
    cw_upstream_call_t *call;
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    memset(&fake, 0, sizeof(fake));
    init(&world);
    cw_engine_set_slots(world.engine, &port);
    call = ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until(&world.loop, has_asked, &fake);
    reply(&world, &fake, CW_SLOT_QUEUED, NULL);
    cw_upstream_call_abandon(call);
    while (fake.returns == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_int_eq(fake.end, CW_SLOT_UNUSED);
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

/** Asks in their order, each refused at once. */
typedef struct refusing_brokers {
    world_t      *world;
    char          text[256]; /* zone and wait in ms of each */
    uint32_t      broker;
    cw_slot_ask_t asked;
    bool          has_asked;
} refusing_brokers_t;

static uint32_t broker_of_zone(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)service;
    return (uint32_t)(zone[1] - '0'); /* z1, z2 */
}

static void note_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    refusing_brokers_t *brokers = context;
    size_t              length = strlen(brokers->text);

    snprintf(brokers->text + length, sizeof(brokers->text) - length, "z%u %d, ", broker,
             (int)(asked->wait_most / 1000000));
    brokers->broker = broker;
    brokers->asked = *asked;
    brokers->has_asked = true;
}

static void note_return(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    (void)context;
    (void)broker;
    (void)returned;
}

static void refuse_all(refusing_brokers_t *brokers)
{
    while (!brokers->world->answered) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {.node = brokers->broker,
                                       .ticket = brokers->asked.ticket,
                                       .outcome = CW_SLOT_REFUSED,
                                       .free_after = CW_MS(300)};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->world->engine, &message);
        }
        uv_run(&brokers->world->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(zones_are_asked_in_order_of_distance_and_of_what_crossing_is_worth)
{
    world_t            world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t     port = {&brokers, broker_of_zone, note_ask, note_return};

    crossing_ms_per_mb = 100000;
    init(&world);
    crossing_ms_per_mb = 0;
    cw_engine_set_slots(world.engine, &port);
    (void)ask(&world, "GET", "/safe/x", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 503);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15), 0); /* a short request: 1 s here at first */
    brokers.text[0] = '\0';
    (void)upload(&world, "/once/x");
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z1 6, z2 0, z1 ", 21), 0);
}
END_TEST

/* Refuses all asks until one has come to `broker`. */
static void refuse_until_asked(refusing_brokers_t *brokers, uint32_t broker)
{
    while (!brokers->has_asked || brokers->broker != broker) {
        if (brokers->has_asked) {
            cw_slot_reply_t message = {
                .node = brokers->broker, .ticket = brokers->asked.ticket, .outcome = CW_SLOT_REFUSED};

            brokers->has_asked = false;
            cw_engine_slot_reply(brokers->world->engine, &message);
        }
        uv_run(&brokers->world->loop, UV_RUN_NOWAIT);
    }
}

START_TEST(a_zone_that_leaves_between_asks_costs_no_other_zone_its_ask)
{
    world_t            world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t     port = {&brokers, broker_of_zone, note_ask, note_return};

    init(&world);
    cw_engine_set_slots(world.engine, &port);
    (void)ask(&world, "GET", "/safe/x", "15000");
    refuse_until_asked(&brokers, 1);
    cw_server_pool_find(world.pool, "s0")->listed = false;
    refuse_all(&brokers);
    ck_assert_int_eq(strncmp(brokers.text, "z1 0, z2 0, z1 ", 15), 0);
}
END_TEST

/* Broker 1 has not replied to a request, which went to s0; it is not asked now. */
static void begin_with_unresponsive_broker(world_t *world, refusing_brokers_t *brokers, const cw_slot_port_t *port)
{
    init(world);
    cw_engine_set_slots(world->engine, port);
    world->servers[0].status = 200;
    (void)ask(world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world->loop, &world->answered);
    ck_assert_int_eq(world->status, 200);
    ck_assert_str_eq(world->body.data, "s0");
    brokers->has_asked = false;
    brokers->text[0] = '\0';
}

START_TEST(servers_of_a_zone_whose_broker_is_unresponsive_are_used_when_the_others_refuse)
{
    world_t            world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t     port = {&brokers, broker_of_zone, note_ask, note_return};

    begin_with_unresponsive_broker(&world, &brokers, &port);
    (void)ask(&world, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s0");
    ck_assert_ptr_null(strstr(brokers.text, "z1"));
}
END_TEST

START_TEST(servers_whose_broker_has_refused_are_not_used_in_place_of_it)
{
    world_t            world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t     port = {&brokers, broker_of_zone, note_ask, note_return};

    begin_with_unresponsive_broker(&world, &brokers, &port);
    cw_server_pool_begin(cw_server_pool_find(world.pool, "s0"), cw_engine_now(world.engine)); /* its one slot */
    (void)ask(&world, "GET", "/safe/y", "15000");
    refuse_all(&brokers);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_key_that_moves_to_another_zone_before_the_reply_is_asked_for_there)
{
    world_t            world;
    refusing_brokers_t brokers = {.world = &world};
    cw_slot_port_t     port = {&brokers, broker_of_zone, note_ask, note_return};
    cw_key_route_t     route = {.low = 0, .last = 65535, .server = "s0", .fence = 4, .routable = true};

    init(&world);
    cw_engine_set_slots(world.engine, &port);
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    (void)ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 1);
    brokers.has_asked = false;
    snprintf(route.server, sizeof(route.server), "s1");
    cw_engine_set_table(world.engine, "keyed", &route, 1, 2);
    cw_test_run_until_set(&world.loop, &brokers.has_asked);
    ck_assert_uint_eq(brokers.broker, 2);
    ck_assert_uint_eq(brokers.asked.server, cw_server_pool_find(world.pool, "s1")->hash);
}
END_TEST

START_TEST(no_route_is_404_and_no_configuration_is_503)
{
    world_t world;

    init(&world);
    (void)ask(&world, "GET", "/nowhere", "1000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 404);
}
END_TEST

START_TEST(what_a_server_did_not_run_goes_to_another_even_if_it_must_not_be_repeated)
{
    world_t world;

    init(&world);
    world.servers[0].status = 503;
    world.servers[0].not_run = true;
    world.servers[1].status = 200;
    (void)ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(a_503_without_that_word_is_no_promise)
{
    world_t world;

    init(&world);
    world.servers[0].status = 503;
    (void)ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 1);
}
END_TEST

START_TEST(a_broken_answer_is_502_where_it_may_have_run)
{
    world_t world;

    init(&world);
    (void)ask(&world, "POST", "/once/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(a_broken_answer_is_asked_for_again_where_that_may_be)
{
    world_t world;

    init(&world);
    cw_engine_set_nodes(world.engine, 1, 0);
    world.servers[1].status = 200;
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_str_eq(world.body.data, "s1");
}
END_TEST

START_TEST(without_budget_nothing_is_repeated)
{
    world_t world;

    init(&world);
    cw_engine_set_nodes(world.engine, 0, 0);
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_http_exchange_abort(world.servers[0].exchange);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 502);
}
END_TEST

/* The repeat finds no server: what has run is not refused as if it had not. */
START_TEST(what_a_server_answered_with_500_ends_with_no_promise)
{
    world_t world;

    init(&world);
    world.servers[0].status = 500;
    (void)ask(&world, "GET", "/far/x", "15000"); /* takes the only slot of the other server */
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    (void)ask(&world, "GET", "/safe/x", "1300");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_uint_eq(world.servers[0].requests, 1);
    ck_assert_int_eq(world.status, 504);
    ck_assert_double_lt(world.retry_after_s, 0);
}
END_TEST

START_TEST(a_caller_that_leaves_takes_its_request_from_the_server)
{
    world_t             world;
    cw_upstream_call_t *call;

    init(&world);
    call = ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_upstream_call_abandon(call);
    while (world.servers[0].gone == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

/* The caller leaves, and what its request waited for comes: no server gets it. */
static void leave(world_t *world, cw_upstream_call_t *call)
{
    cw_upstream_call_abandon(call);
    while (cw_engine_requests(world->engine) > 0) {
        uv_run(&world->loop, UV_RUN_ONCE);
    }
}

START_TEST(a_caller_that_leaves_the_queue_takes_its_request_along)
{
    world_t             world;
    cw_upstream_call_t *first;
    cw_upstream_call_t *second;
    cw_upstream_call_t *waiting;

    init(&world);
    first = ask(&world, "GET", "/safe/x", "15000");
    second = ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    cw_test_run_until_set(&world.loop, &world.servers[1].has_request);
    waiting = ask(&world, "GET", "/safe/z", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(waiting);
    while (cw_engine_queued(world.engine) > 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_upstream_call_abandon(first); /* both servers are free again */
    leave(&world, second);
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 2);
}
END_TEST

/* The other route to the service may send to the owner. */
START_TEST(what_may_not_go_to_its_keys_owner_is_refused_at_once_with_that_reason)
{
    cw_key_route_t route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    uint64_t       refused = cw_metric_value(CW_METRIC_REFUSED_REGIONS);
    world_t        world;
    cw_time_us_t   begun;

    init(&world);
    world.servers[0].status = 200;
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    begun = cw_engine_now(world.engine);
    (void)ask(&world, "GET", "/far-keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert(world.retry_after_s > 0);
    ck_assert_int_lt(cw_engine_now(world.engine) - begun, CW_SECONDS(2)); /* a fifth of its objective */
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_REGIONS), refused + 1);
    (void)ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(a_caller_that_leaves_while_its_key_has_no_owner_takes_its_request_along)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    world_t             world;
    cw_upstream_call_t *call;

    init(&world);
    call = ask(&world, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    leave(&world, call);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(a_caller_that_leaves_before_a_repeat_takes_its_request_along)
{
    cw_key_route_t      route = {.low = 0, .last = 65535, .fence = 1, .routable = true, .server = "s0"};
    world_t             world;
    cw_upstream_call_t *call;
    cw_time_us_t        end;

    init(&world);
    world.servers[0].status = 421; /* it does not hold the key yet: once more after a pause */
    world.servers[0].not_run = true;
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    cw_engine_set_tables_valid(world.engine, cw_engine_now(world.engine), cw_engine_now(world.engine) + CW_SECONDS(30));
    call = ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    leave(&world, call);
    end = cw_engine_now(world.engine) + CW_MS(300); /* far longer than the pause */
    while (cw_engine_now(world.engine) < end) {
        cw_test_run_some(&world.loop, 1);
        usleep(PAUSE_US);
    }
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(the_time_limit_ends_what_is_at_a_server_with_504)
{
    world_t world;

    init(&world);
    (void)ask(&world, "POST", "/once/x", "60");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 504);
}
END_TEST

START_TEST(no_server_gets_more_than_its_slots)
{
    world_t world;

    init(&world);
    (void)ask(&world, "GET", "/safe/1", "15000");
    (void)ask(&world, "GET", "/safe/2", "15000");
    (void)ask(&world, "GET", "/safe/3", "15000");
    while (world.servers[0].requests == 0 || world.servers[1].requests == 0 || cw_engine_requests(world.engine) < 3) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 1);
    ck_assert_uint_eq(world.servers[0].requests + world.servers[1].requests, 2);
    world.servers[0].status = 200;
    server_answer(&world.servers[0], 200, "first");
    while (world.servers[0].requests + world.servers[1].requests < 3) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    ck_assert_uint_eq(cw_engine_queued(world.engine), 0);
}
END_TEST

START_TEST(a_key_goes_to_its_owner_only_and_waits_while_it_moves)
{
    world_t        world;
    cw_key_route_t routes[2] = {{.low = 0, .last = 999, .server = "s1", .fence = 4, .routable = false},
                                {.low = 1000, .last = 65535, .server = "s0", .fence = 5, .routable = true}};

    init(&world);
    world.servers[0].status = 200;
    world.servers[1].status = 200;
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", routes, 2, 1);
    (void)ask(&world, "GET", "/keyed/x", "15000");
    cw_test_run_some(&world.loop, 30);
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    routes[0].routable = true;
    cw_engine_set_table(world.engine, "keyed", routes, 2, 2);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_str_eq(world.body.data, "s1");
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(what_waits_elsewhere_for_the_owner_counts_in_the_wait)
{
    world_t            world;
    cw_key_route_t     route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};
    cw_server_report_t report = {.under_way = 1};

    init(&world);
    cw_engine_set_tables_valid(world.engine, 0, INT64_MAX);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    report.hash = cw_server_pool_find(world.pool, "s1")->hash;
    cw_server_pool_report(world.pool, 9, &report, 1, cw_engine_now(world.engine));
    (void)ask(&world, "GET", "/keyed/x", "15000");
    while (cw_engine_queued(world.engine) == 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    cw_test_run_some(&world.loop, 20);
    ck_assert(!world.answered); /* just one is before it */
    report.waiting = 100000;
    cw_server_pool_report(world.pool, 9, &report, 1, cw_engine_now(world.engine));
    cw_engine_wake(world.engine);
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(an_old_table_is_not_used)
{
    world_t        world;
    cw_key_route_t route = {.low = 0, .last = 65535, .server = "s1", .fence = 4, .routable = true};

    init(&world);
    cw_engine_set_tables_valid(world.engine, 0, 1);
    cw_engine_set_table(world.engine, "keyed", &route, 1, 1);
    (void)ask(&world, "GET", "/keyed/x", "100");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 503);
    ck_assert_double_gt(world.retry_after_s, 0);
    ck_assert_uint_eq(world.servers[1].requests, 0);
}
END_TEST

START_TEST(another_life_at_the_address_is_not_asked_twice)
{
    world_t world;

    init(&world);
    cw_engine_set_nodes(world.engine, 1, 0);
    world.servers[0].status = 421;
    world.servers[0].instance = "someone-else";
    world.servers[1].status = 200;
    (void)ask(&world, "GET", "/safe/x", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_int_eq(world.status, 200);
    (void)ask(&world, "GET", "/safe/y", "15000");
    cw_test_run_until_set(&world.loop, &world.answered);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(splits_keep_their_weights)
{
    world_t             world;
    cw_configuration_t *configuration;
    cw_route_t         *route;
    uint32_t            index;

    init(&world);
    configuration = cw_configuration_create(2);
    route = add_route(configuration, "split", "/split/", true);
    cw_route_add_part(route, "service", 3);
    cw_route_add_part(route, "nobody", 1);
    cw_configuration_seal(configuration);
    cw_engine_set_configuration(world.engine, configuration);
    cw_configuration_release(configuration);
    world.servers[0].status = 200;
    for (index = 0; index < 40; index++) {
        (void)ask(&world, "GET", "/split/x", "50");
        cw_test_run_until_set(&world.loop, &world.answered);
    }
    ck_assert_uint_eq(world.servers[0].requests, 30);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine");
    TCase *cases = tcase_create("engine");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, an_answer_comes_back_whole_with_the_deadline_and_target_passed_on);
    tcase_add_test(cases, a_request_goes_only_to_servers_in_the_regions_of_its_route);
    tcase_add_test(cases, what_is_bound_to_regions_is_let_in_by_the_speed_of_their_servers);
    tcase_add_test(cases, a_large_body_waits_for_a_server_of_its_region);
    tcase_add_test(cases, a_short_request_crosses_rather_than_wait);
    tcase_add_test(cases, a_large_body_crosses_when_its_region_has_lost_its_servers);
    tcase_add_test(cases, a_request_comes_back_from_a_region_that_is_cut_off);
    tcase_add_test(cases, what_can_no_longer_be_served_is_refused_at_once);
    tcase_add_test(cases, what_was_let_in_waits_though_it_will_be_late);
    tcase_add_test(cases, what_was_taken_from_a_silent_server_is_not_given_up_by_an_estimate);
    tcase_add_test(cases, what_is_under_way_when_a_stop_ends_is_answered);
    tcase_add_test(cases, what_waits_when_a_stop_ends_is_refused);
    tcase_add_test(cases, late_in_a_stop_only_what_surely_ends_is_taken);
    tcase_add_test(cases, early_in_a_stop_a_request_is_taken_and_its_time_is_cut);
    tcase_add_test(cases, a_request_goes_where_its_slot_is_and_gives_it_back);
    tcase_add_test(cases, a_refused_slot_is_a_refusal_with_the_time_to_come_back);
    tcase_add_test(cases, servers_of_a_zone_without_a_broker_are_used_when_the_others_refuse);
    tcase_add_test(cases, without_a_reply_the_server_is_chosen_here_and_a_late_grant_is_declined);
    tcase_add_test(cases, a_request_taken_from_a_silent_server_is_not_given_up_when_no_slot_is_free);
    tcase_add_test(cases, a_caller_that_leaves_while_its_request_waits_for_a_slot_withdraws_the_ask);
    tcase_add_test(cases, zones_are_asked_in_order_of_distance_and_of_what_crossing_is_worth);
    tcase_add_test(cases, a_zone_that_leaves_between_asks_costs_no_other_zone_its_ask);
    tcase_add_test(cases, servers_of_a_zone_whose_broker_is_unresponsive_are_used_when_the_others_refuse);
    tcase_add_test(cases, servers_whose_broker_has_refused_are_not_used_in_place_of_it);
    tcase_add_test(cases, a_key_that_moves_to_another_zone_before_the_reply_is_asked_for_there);
    tcase_add_test(cases, no_route_is_404_and_no_configuration_is_503);
    tcase_add_test(cases, what_a_server_did_not_run_goes_to_another_even_if_it_must_not_be_repeated);
    tcase_add_test(cases, a_503_without_that_word_is_no_promise);
    tcase_add_test(cases, a_broken_answer_is_502_where_it_may_have_run);
    tcase_add_test(cases, a_broken_answer_is_asked_for_again_where_that_may_be);
    tcase_add_test(cases, without_budget_nothing_is_repeated);
    tcase_add_test(cases, what_a_server_answered_with_500_ends_with_no_promise);
    tcase_add_test(cases, a_caller_that_leaves_takes_its_request_from_the_server);
    tcase_add_test(cases, a_caller_that_leaves_the_queue_takes_its_request_along);
    tcase_add_test(cases, what_may_not_go_to_its_keys_owner_is_refused_at_once_with_that_reason);
    tcase_add_test(cases, a_caller_that_leaves_while_its_key_has_no_owner_takes_its_request_along);
    tcase_add_test(cases, a_caller_that_leaves_before_a_repeat_takes_its_request_along);
    tcase_add_test(cases, the_time_limit_ends_what_is_at_a_server_with_504);
    tcase_add_test(cases, no_server_gets_more_than_its_slots);
    tcase_add_test(cases, a_key_goes_to_its_owner_only_and_waits_while_it_moves);
    tcase_add_test(cases, what_waits_elsewhere_for_the_owner_counts_in_the_wait);
    tcase_add_test(cases, an_old_table_is_not_used);
    tcase_add_test(cases, another_life_at_the_address_is_not_asked_twice);
    tcase_add_test(cases, splits_keep_their_weights);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
