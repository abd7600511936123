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
#include "engine_fixture.h"
#include "quota_port.h"

enum { COUNTER = 7 };

/** The node's share of tenants' limits, and what it has asked of the node that counts. */
typedef struct world {
    engine_world_t    base;
    cw_quota_share_t *share;
    quota_sent_t      sent;
} world_t;

static void on_decided(void *context, uint32_t tenant)
{
    world_t *world = context;

    cw_engine_quota_decided(world->base.engine, tenant);
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
    engine_world_use(&world->base, configuration);
}

static void init(world_t *world)
{
    engine_world_setup_t setup = {.servers = 1, .capacity = 4, .silence_factor = 1000};
    cw_quota_settings_t  quota = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    cw_quota_port_t      port;

    memset(world, 0, sizeof(*world));
    engine_world_begin(&world->base, &setup);
    world->sent = (quota_sent_t){.counter = COUNTER, .on_decided = on_decided, .owner = world};
    port = quota_port(&world->sent);
    world->share = cw_quota_share_create(&quota, &port, 1, 1);
    cw_quota_share_set_nodes(world->share, 81);
    cw_engine_set_quota(world->base.engine, world->share);
    use_limit(world);
}

/* ---- calls ---- */

static engine_call_t *ask(world_t *world, size_t number, int deadline_ms)
{
    char text[ENGINE_WORLD_TEXT_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r%zu\r\ndeadline: %d\r\n"
                            "Content-Length: 0\r\n\r\n",
                           number, deadline_ms);

    return engine_world_send(&world->base, number, text, (size_t)length);
}

/* It waits for a token that has been asked for. */
static engine_call_t *ask_and_wait(world_t *world, size_t number)
{
    engine_call_t *call;

    world->sent.has_ask = false;
    call = ask(world, number, 15000);
    cw_test_run_until_set(&world->base.loop, &world->sent.has_ask);
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

    cw_quota_share_granted(world->share, COUNTER, &reply, cw_engine_now(world->base.engine));
}

/* field: a header field of the server's answer; NULL: none. */
static void answer(world_t *world, int status, const char *field)
{
    world->base.servers[0].has_request = false;
    engine_server_answer(&world->base.servers[0], status, "", field);
}

static bool is_empty(void *context)
{
    world_t *world = context;

    return cw_engine_requests(world->base.engine) == 0;
}

/* ---- cases ---- */

START_TEST(a_request_waits_for_its_token_and_goes_on_with_it)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    cw_test_run_some(&world.base.loop, 5);
    ck_assert_uint_eq(world.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_engine_queued(world.base.engine), 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 200);
    ck_assert_uint_eq(world.sent.asks[0].wanted, 1);
}
END_TEST

START_TEST(without_a_token_it_is_refused_and_has_not_run)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 0, CW_MS(700));
    cw_test_run_until_set(&world.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 429);
    ck_assert_double_ge(call->retry_after_s, 0.7);
    ck_assert_uint_eq(world.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_LIMIT), 1);
}
END_TEST

/* Its callers need no key: the tenant is the route's owner. */
START_TEST(a_refusal_names_the_tenant_of_callers_without_a_key)
{
    static char        text[4096];
    cw_tenant_counts_t counts[CW_TENANT_METRICS_LARGEST + 1];
    world_t            world;
    engine_call_t     *call;
    int                ends[2];

    ck_assert_int_eq(pipe2(ends, O_NONBLOCK), 0);
    cw_event_log_open(ends[1], "n1", CW_EVENT_INFO);
    cw_tenant_metrics_reset();
    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 0, CW_MS(700));
    cw_test_run_until_set(&world.base.loop, &call->answered);
    cw_event_log_flush(cw_engine_now(world.base.engine));
    ck_assert_int_gt(read(ends[0], text, sizeof(text) - 1), 0);
    ck_assert_ptr_nonnull(strstr(text, "\"status\":429"));
    ck_assert_ptr_nonnull(strstr(text, "\"tenant\":\"red\""));
    ck_assert_uint_ge(cw_tenant_metrics_largest(counts), 1);
    ck_assert_str_eq(counts[0].tenant, "red");
    ck_assert_uint_eq(counts[0].values[CW_TENANT_REFUSED_LIMIT], 1);
    cw_event_log_open(open("/dev/null", O_WRONLY), "n1", CW_EVENT_ERROR);
}
END_TEST

START_TEST(its_caller_may_leave_while_it_waits_and_the_next_gets_the_token)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&world.base.loop, is_empty, &world);
    grant(&world, 1, 0);
    (void)ask(&world, 1, 15000);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    ck_assert_uint_eq(world.sent.ask_count, 1);
}
END_TEST

START_TEST(it_waits_no_longer_than_its_time_limit)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask(&world, 0, 60);
    cw_test_run_until_set(&world.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    ck_assert_uint_eq(world.base.servers[0].requests, 0);
    ck_assert_uint_eq(world.sent.ask_count, 1);
}
END_TEST

/* The counting node does not reply: the ask is sent again, then this node's own part decides. */
START_TEST(without_a_reply_this_nodes_own_part_decides)
{
    world_t        world;
    engine_call_t *call;
    cw_time_us_t   now;

    init(&world);
    call = ask_and_wait(&world, 0);
    now = cw_engine_now(world.base.engine);
    cw_quota_share_tick(world.share, now + CW_MS(50));
    ck_assert_uint_eq(world.sent.ask_count, 2);
    ck_assert_uint_eq(world.sent.asks[1].sequence, world.sent.asks[0].sequence);
    cw_quota_share_tick(world.share, now + CW_MS(100));
    cw_quota_share_tick(world.share, now + CW_MS(150));
    ck_assert_uint_eq(cw_quota_share_mode(world.share, world.sent.asks[0].usage.tenant), CW_QUOTA_ALONE);
    cw_test_run_some(&world.base.loop, 5);
    ck_assert(call->answered || world.base.servers[0].has_request);
    ck_assert(!call->answered || call->status == 429);
}
END_TEST

START_TEST(a_request_that_a_server_did_not_run_gives_its_token_back)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    answer(&world, 503, "not-run");
    cw_test_run_until_set(&world.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    (void)ask(&world, 1, 15000);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    ck_assert_uint_eq(world.sent.ask_count, 1);
    ck_assert_uint_eq(world.base.servers[0].requests, 2);
}
END_TEST

START_TEST(a_request_that_has_run_does_not)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.base.loop, &call->answered);
    (void)ask_and_wait(&world, 1);
    ck_assert_uint_eq(world.sent.ask_count, 2);
    ck_assert_uint_eq(world.base.servers[0].requests, 1);
}
END_TEST

/* The answer broke off: it may have run. */
START_TEST(a_request_that_may_have_run_does_not_either)
{
    world_t        world;
    engine_call_t *call;

    init(&world);
    call = ask_and_wait(&world, 0);
    grant(&world, 1, 0);
    cw_test_run_until_set(&world.base.loop, &world.base.servers[0].has_request);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&world.base.loop, is_empty, &world);
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

    cw_configuration_copy_route(configuration, &world->base.engine->configuration->routes[0]);
    cw_configuration_copy_tenant(configuration, &world->base.engine->configuration->tenants[0]);
    tenant = &configuration->tenants[0];
    tenant->key_count = 0;
    tenant->needs_key = true;
    if (digest != NULL) {
        ck_assert(cw_tenant_digest_from_text(&key, digest));
        cw_tenant_add_key(tenant, &key);
    }
    engine_world_use(&world->base, configuration);
}

START_TEST(what_waits_for_a_token_ends_when_its_callers_key_is_taken_away)
{
    /* printf %s sesame | sha256sum */
    static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
    static const char text[] = "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r0\r\ndeadline: 15000\r\n"
                               "Authorization: Bearer sesame\r\nContent-Length: 0\r\n\r\n";
    world_t           world;

    init(&world);
    use_limit_and_key(&world, 2, sesame);
    (void)engine_world_send(&world.base, 0, text, sizeof(text) - 1);
    cw_test_run_until_set(&world.base.loop, &world.sent.has_ask);
    use_limit_and_key(&world, 3, NULL);
    cw_test_run_until_set(&world.base.loop, &world.base.calls[0].answered);
    ck_assert_int_eq(world.base.calls[0].status, 401);
    grant(&world, 1, 0); /* nobody waits for it any more */
    cw_test_run_some(&world.base.loop, 5);
    ck_assert_uint_eq(world.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_engine_requests(world.base.engine), 0);
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
