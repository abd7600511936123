/**
 * @file test_engine_quota.c
 * @brief A tenant's limit on a request's way: it waits for its token, goes on with it, or is refused; and where the
 * token goes when the request does not run.
 */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/tenant_metrics.h"
#include "loop_fixture.h"
#include "proxy/engine_internal.h"
#include "quota_port.h"

enum { CALLS = 4, TEXT_BYTES = 512, COUNTER = 7 };

typedef struct fake_call {
    bool                answered;
    int                 status;
    double              retry_after_s;
    cw_upstream_call_t *call;
} fake_call_t;

typedef struct world {
    uv_loop_t             loop;
    cw_server_pool_t     *pool;
    cw_upstream_t        *upstream;
    cw_engine_t          *engine;
    cw_quota_share_t     *share;
    cw_http_listener_t   *front;
    cw_upstream_t        *caller;
    cw_upstream_target_t *front_target;
    fake_call_t           calls[CALLS];
    cw_http_listener_t   *server;
    uint32_t              requests; /* at the server */
    cw_http_exchange_t   *exchange;
    bool                  has_request;
    quota_sent_t          sent;
} world_t;

static const cw_http_limits_t limits = {
    .header_bytes = 8000, .body_bytes = 100000, .header_timeout = CW_SECONDS(30), .idle_timeout = CW_SECONDS(30)};

/* ---- the world ---- */

static void on_server_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    world_t *world = context;

    (void)inbound;
    world->requests++;
    world->exchange = exchange;
    world->has_request = true;
}

static void on_server_gone(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
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

static void on_decided(void *context, uint32_t tenant)
{
    world_t *world = context;

    cw_engine_quota_decided(world->engine, tenant);
}

static void start_server(world_t *world)
{
    cw_server_list_t          *list = cw_server_list_create();
    cw_http_listener_handler_t handler = {world, on_server_request, on_server_gone};
    cw_server_entry_t         *entry = cw_server_list_add(list);
    char                       address[32];

    ck_assert_int_eq(cw_http_listener_create(&world->server, &world->loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(world->server));
    entry->id = strdup("s0");
    entry->service = strdup("service");
    entry->address = strdup(address);
    entry->zone = strdup("z1");
    entry->capacity = 4;
    cw_server_list_seal(list);
    cw_server_pool_update(world->pool, list, 0);
    cw_server_list_release(list);
}

/* A tenant of one request a second, and so few that each needs a token. */
static void use_limit(world_t *world)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_route_t         *route = cw_configuration_add_route(configuration);
    cw_tenant_t        *tenant = cw_configuration_add_tenant(configuration);

    route->name = strdup("red/once");
    route->host = strdup("a.example");
    route->prefix = strdup("/");
    route->timeout = CW_SECONDS(20);
    route->aim = CW_SECONDS(10);
    route->max_attempts = 1;
    cw_route_add_part(route, "service", 1);
    tenant->name = strdup("red");
    tenant->rate_per_s = 1;
    cw_configuration_seal(configuration);
    cw_engine_set_configuration(world->engine, configuration);
    cw_configuration_release(configuration);
}

static void init(world_t *world)
{
    cw_engine_settings_t       settings = {.names = {.request_id = "id",
                                                     .deadline = "deadline",
                                                     .target = "target",
                                                     .not_run = "not-run",
                                                     .key = "key",
                                                     .signature = "signature",
                                                     .instance = "instance"},
                                           .choice = {.zone_penalty = 0.5},
                                           .budget = {.ratio = 0.2, .extra = 50, .window = CW_SECONDS(10), .share = 1},
                                           .connect_timeout = CW_SECONDS(5),
                                           .silence_factor = 1000,
                                           .answer_max = 100000,
                                           .queue_max = 100};
    cw_quota_settings_t        quota = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    cw_quota_port_t            port;
    cw_upstream_options_t      options = {.idle_max = CW_SECONDS(20)};
    cw_http_listener_handler_t handler = {world, on_front_request, on_front_gone};
    char                       address[32];

    memset(world, 0, sizeof(*world));
    cw_metrics_reset();
    uv_loop_init(&world->loop);
    world->pool = cw_server_pool_create("z1", on_dropped, world);
    world->upstream = cw_upstream_create(&world->loop, &options);
    world->engine = cw_engine_create(&world->loop, &settings, world->pool, world->upstream);
    world->sent = (quota_sent_t){.counter = COUNTER, .on_decided = on_decided, .owner = world};
    port = quota_port(&world->sent);
    world->share = cw_quota_share_create(&quota, &port, 1, 1);
    cw_quota_share_set_nodes(world->share, 81);
    cw_engine_set_quota(world->engine, world->share);
    ck_assert_int_eq(cw_http_listener_create(&world->front, &world->loop, "127.0.0.1", 0, &limits, &handler), 0);
    world->caller = cw_upstream_create(&world->loop, &options);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(world->front));
    world->front_target = cw_upstream_target_create(world->caller, address);
    start_server(world);
    use_limit(world);
}

/* ---- calls ---- */

static void on_answered(void *context, const cw_upstream_answer_t *answer)
{
    fake_call_t *call = context;
    const char  *retry_after = answer->fields == NULL ? NULL : cw_http_fields_find(answer->fields, "retry-after");

    call->answered = true;
    call->status = answer->status;
    call->retry_after_s = retry_after == NULL ? -1 : atof(retry_after);
}

static fake_call_t *ask(world_t *world, size_t number, int deadline_ms)
{
    char                  text[TEXT_BYTES];
    cw_upstream_request_t request = {.connect_timeout = CW_SECONDS(5), .answer_max = 100000, .bytes = text};

    request.length = (size_t)snprintf(text, sizeof(text),
                                      "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r%zu\r\ndeadline: %d\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      number, deadline_ms);
    memset(&world->calls[number], 0, sizeof(world->calls[number]));
    world->calls[number].call = cw_upstream_call(world->front_target, &request, on_answered, &world->calls[number]);
    return &world->calls[number];
}

/* It waits for a token that has been asked for. */
static fake_call_t *ask_and_wait(world_t *world, size_t number)
{
    fake_call_t *call;

    world->sent.has_ask = false;
    call = ask(world, number, 15000);
    cw_test_run_until_set(&world->loop, &world->sent.has_ask);
    return call;
}

static void grant(world_t *world, uint32_t tokens, cw_time_us_t retry_after)
{
    const cw_quota_ask_t *asked = &world->sent.asks[world->sent.ask_count - 1];
    cw_quota_grant_t      reply = {.tenant = asked->usage.tenant,
                                   .sequence = asked->sequence,
                                   .tokens = tokens,
                                   .retry_after = retry_after,
                                   .is_metered = true};

    cw_quota_share_granted(world->share, COUNTER, &reply, cw_engine_now(world->engine));
}

/* field: a header field of the server's answer; NULL: none. */
static void answer(world_t *world, int status, const char *field)
{
    cw_http_fields_t        fields = {0};
    cw_http_field_builder_t builder = {0};
    cw_http_outbound_t      outbound = {.status = status, .fields = &fields, .retry_after_s = -1};

    if (field != NULL) {
        cw_http_field_builder_name(&builder, &fields, field, strlen(field));
        cw_http_field_builder_value(&builder, &fields, "1", 1);
    }
    world->has_request = false;
    cw_http_exchange_answer(world->exchange, &outbound);
    cw_http_fields_clear(&fields);
}

static bool is_empty(void *context)
{
    world_t *world = context;

    return cw_engine_requests(world->engine) == 0;
}

/* ---- cases ---- */

START_TEST(a_request_waits_for_its_token_and_goes_on_with_it)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    cw_test_run_some(&world.loop, 5);
    ck_assert_uint_eq(world.requests, 0);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.loop, &world.has_request);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &call->answered);
    ck_assert_int_eq(call->status, 200);
    ck_assert_uint_eq(world.sent.asks[0].wanted, 1);
}
END_TEST

START_TEST(without_a_token_it_is_refused_and_has_not_run)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 0, CW_MS(700));
    cw_test_run_until_set(&world.loop, &call->answered);
    ck_assert_int_eq(call->status, 429);
    ck_assert_double_ge(call->retry_after_s, 0.7);
    ck_assert_uint_eq(world.requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_LIMIT), 1);
}
END_TEST

/* Its callers need no key: the tenant is the route's owner. */
START_TEST(a_refusal_names_the_tenant_of_callers_without_a_key)
{
    static char        text[4096];
    cw_tenant_counts_t counts[CW_TENANT_METRICS_TOLD + 1];
    world_t            world;
    fake_call_t       *call;
    int                ends[2];

    ck_assert_int_eq(pipe2(ends, O_NONBLOCK), 0);
    cw_event_log_open(ends[1], "n1", CW_EVENT_INFO);
    cw_tenant_metrics_reset();
    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 0, CW_MS(700));
    cw_test_run_until_set(&world.loop, &call->answered);
    cw_event_log_flush(cw_engine_now(world.engine));
    ck_assert_int_gt(read(ends[0], text, sizeof(text) - 1), 0);
    ck_assert_ptr_nonnull(strstr(text, "\"status\":429"));
    ck_assert_ptr_nonnull(strstr(text, "\"tenant\":\"red\""));
    ck_assert_uint_ge(cw_tenant_metrics_told(counts), 1);
    ck_assert_str_eq(counts[0].tenant, "red");
    ck_assert_uint_eq(counts[0].values[CW_TENANT_REFUSED_LIMIT], 1);
    cw_event_log_open(open("/dev/null", O_WRONLY), "n1", CW_EVENT_ERROR);
}
END_TEST

START_TEST(its_caller_may_leave_while_it_waits_and_the_next_gets_the_token)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&world.loop, is_empty, &world);
    grant(&world, 1, 0);
    (void)ask(&world, 1, 15000);
    cw_test_run_until_set(&world.loop, &world.has_request);
    ck_assert_uint_eq(world.sent.ask_count, 1);
}
END_TEST

START_TEST(it_waits_no_longer_than_its_time_limit)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask(&world, 0, 60);
    cw_test_run_until_set(&world.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    ck_assert_uint_eq(world.requests, 0);
    ck_assert_uint_eq(world.sent.ask_count, 1);
}
END_TEST

/* The counting node does not reply: the ask is sent again, then this node's own part decides. */
START_TEST(without_a_reply_this_nodes_own_part_decides)
{
    world_t      world;
    fake_call_t *call;
    cw_time_us_t now;

    init(&world);
    call = ask_and_wait(&world, 0);
    now = cw_engine_now(world.engine);
    cw_quota_share_tick(world.share, now + CW_MS(50));
    ck_assert_uint_eq(world.sent.ask_count, 2);
    ck_assert_uint_eq(world.sent.asks[1].sequence, world.sent.asks[0].sequence);
    cw_quota_share_tick(world.share, now + CW_MS(100));
    cw_quota_share_tick(world.share, now + CW_MS(150));
    ck_assert_uint_eq(cw_quota_share_mode(world.share, world.sent.asks[0].usage.tenant), CW_QUOTA_ALONE);
    cw_test_run_some(&world.loop, 5);
    ck_assert(call->answered || world.has_request);
    ck_assert(!call->answered || call->status == 429);
}
END_TEST

START_TEST(a_request_that_a_server_did_not_run_gives_its_token_back)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.loop, &world.has_request);
    answer(&world, 503, "not-run");
    cw_test_run_until_set(&world.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    (void)ask(&world, 1, 15000);
    cw_test_run_until_set(&world.loop, &world.has_request);
    ck_assert_uint_eq(world.sent.ask_count, 1);
    ck_assert_uint_eq(world.requests, 2);
}
END_TEST

START_TEST(a_request_that_has_run_does_not)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.loop, &world.has_request);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &call->answered);
    (void)ask_and_wait(&world, 1);
    ck_assert_uint_eq(world.sent.ask_count, 2);
    ck_assert_uint_eq(world.requests, 1);
}
END_TEST

/* The answer broke off: it may have run. */
START_TEST(a_request_that_may_have_run_does_not_either)
{
    world_t      world;
    fake_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.loop, &world.has_request);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&world.loop, is_empty, &world);
    (void)ask_and_wait(&world, 1);
    ck_assert_uint_eq(world.sent.ask_count, 2);
}
END_TEST

/* The same tenant, whose callers are known by keys. digest: of the only one; NULL: it was taken away. */
static void use_limit_and_key(world_t *world, uint64_t version, const char *digest)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    cw_tenant_t        *tenant;
    cw_key_digest_t     key;

    cw_configuration_copy_route(configuration, &world->engine->configuration->routes[0]);
    cw_configuration_copy_tenant(configuration, &world->engine->configuration->tenants[0]);
    tenant = &configuration->tenants[0];
    tenant->key_count = 0;
    tenant->needs_key = true;
    if (digest != NULL) {
        ck_assert(cw_tenant_digest_from_text(&key, digest));
        cw_tenant_add_key(tenant, &key);
    }
    cw_configuration_seal(configuration);
    cw_engine_set_configuration(world->engine, configuration);
    cw_configuration_release(configuration);
}

START_TEST(what_waits_for_a_token_ends_when_its_callers_key_is_taken_away)
{
    /* printf %s sesame | sha256sum */
    static const char     sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
    static const char     text[] = "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r0\r\ndeadline: 15000\r\n"
                                   "Authorization: Bearer sesame\r\nContent-Length: 0\r\n\r\n";
    cw_upstream_request_t request = {
        .connect_timeout = CW_SECONDS(5), .answer_max = 100000, .bytes = text, .length = sizeof(text) - 1};
    world_t world;

    init(&world);
    use_limit_and_key(&world, 2, sesame);
    (void)cw_upstream_call(world.front_target, &request, on_answered, &world.calls[0]);
    cw_test_run_until_set(&world.loop, &world.sent.has_ask);
    use_limit_and_key(&world, 3, NULL);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 401);
    grant(&world, 1, 0); /* nobody waits for it any more */
    cw_test_run_some(&world.loop, 5);
    ck_assert_uint_eq(world.requests, 0);
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, tenants' limits");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, a_request_waits_for_its_token_and_goes_on_with_it);
    tcase_add_test(cases, without_a_token_it_is_refused_and_has_not_run);
    tcase_add_test(cases, a_refusal_names_the_tenant_of_callers_without_a_key);
    tcase_add_test(cases, its_caller_may_leave_while_it_waits_and_the_next_gets_the_token);
    tcase_add_test(cases, it_waits_no_longer_than_its_time_limit);
    tcase_add_test(cases, without_a_reply_this_nodes_own_part_decides);
    tcase_add_test(cases, a_request_that_a_server_did_not_run_gives_its_token_back);
    tcase_add_test(cases, a_request_that_has_run_does_not);
    tcase_add_test(cases, a_request_that_may_have_run_does_not_either);
    tcase_add_test(cases, what_waits_for_a_token_ends_when_its_callers_key_is_taken_away);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
