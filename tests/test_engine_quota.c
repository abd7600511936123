/**
 * @file test_engine_quota.c
 * @brief Requests of a tenant with a rate limit: they wait for a token, are sent when it is granted or are refused; a
 * request that has not run returns its token.
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

/** An engine with the node's share of the tenants' limits, and the messages it has sent to the counting node. */
typedef struct fixture {
    engine_fixture_t  base;
    cw_quota_share_t *share;
    quota_sent_t      sent;
} fixture_t;

static void on_decided(void *context, uint32_t tenant)
{
    fixture_t *fixture = context;

    cw_engine_quota_decided(fixture->base.engine, tenant);
}

/* Configures a tenant with a limit of one request a second; that is so low that each request needs a token. */
static void use_limit(fixture_t *fixture)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_route_t         *route = cw_configuration_add_route(configuration);
    cw_tenant_t        *tenant = cw_configuration_add_tenant(configuration);

    route->name = strdup("red/once");
    route->host = strdup("a.example");
    route->prefix = strdup("/");
    route->timeout = CW_SECONDS(20);
    route->objective = CW_SECONDS(10);
    route->max_attempts = 1;
    cw_route_add_part(route, "service", 1);
    tenant->name = strdup("red");
    tenant->rate_per_s = 1;
    engine_fixture_use(&fixture->base, configuration);
}

static void init(fixture_t *fixture)
{
    engine_fixture_setup_t setup = {.servers = 1, .capacity = 4, .repeat_factor = 1000};
    cw_quota_settings_t    quota = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
    cw_quota_port_t        port;

    memset(fixture, 0, sizeof(*fixture));
    engine_fixture_begin(&fixture->base, &setup);
    fixture->sent = (quota_sent_t){.counter = COUNTER, .on_decided = on_decided, .owner = fixture};
    port = quota_port(&fixture->sent);
    fixture->share = cw_quota_share_create(&quota, &port, 1, 1);
    cw_quota_share_set_nodes(fixture->share, 81);
    cw_engine_set_quota(fixture->base.engine, fixture->share);
    use_limit(fixture);
}

/* ---- calls ---- */

static engine_call_t *ask(fixture_t *fixture, size_t number, int deadline_ms)
{
    char text[ENGINE_FIXTURE_TEXT_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r%zu\r\ndeadline: %d\r\n"
                            "Content-Length: 0\r\n\r\n",
                           number, deadline_ms);

    return engine_fixture_send(&fixture->base, number, text, (size_t)length);
}

/* Sends a request and waits until a token was requested for it. */
static engine_call_t *ask_and_wait(fixture_t *fixture, size_t number)
{
    engine_call_t *call;

    fixture->sent.has_ask = false;
    call = ask(fixture, number, 15000);
    cw_test_run_until_set(&fixture->base.loop, &fixture->sent.has_ask);
    return call;
}

static void grant(fixture_t *fixture, uint32_t tokens, cw_time_us_t retry_after)
{
    const cw_quota_ask_t *asked = &fixture->sent.asks[fixture->sent.ask_count - 1];
    cw_quota_grant_t      reply = {.tenant = asked->usage.tenant,
                                   .sequence = asked->sequence,
                                   .tokens = tokens,
                                   .retry_after = retry_after,
                                   .is_metered = true};

    cw_quota_share_granted(fixture->share, COUNTER, &reply, cw_engine_now(fixture->base.engine));
}

/* Answers the request at the server. field: name of a header field of the answer; NULL: none. */
static void answer(fixture_t *fixture, int status, const char *field)
{
    fixture->base.servers[0].has_request = false;
    engine_server_answer(&fixture->base.servers[0], status, "", field);
}

static bool is_empty(void *context)
{
    fixture_t *fixture = context;

    return cw_engine_requests(fixture->base.engine) == 0;
}

/* ---- cases ---- */

START_TEST(a_request_waits_for_its_token_and_is_sent_after_the_grant)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    cw_test_run_some(&fixture.base.loop, 5);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_engine_queued(fixture.base.engine), 0);
    grant(&fixture, 1, 0);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 200);
    ck_assert_uint_eq(fixture.sent.asks[0].wanted, 1);
}
END_TEST

START_TEST(a_request_without_a_token_is_refused_and_not_run)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    grant(&fixture, 0, CW_MS(700));
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 429);
    ck_assert_double_ge(call->retry_after_s, 0.7);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_LIMIT), 1);
}
END_TEST

/* The callers need no key, so the tenant is the owner of the route. */
START_TEST(a_refusal_names_the_tenant_of_callers_without_a_key)
{
    static char        text[4096];
    cw_tenant_counts_t counts[CW_TENANT_METRICS_LARGEST + 1];
    fixture_t          fixture;
    engine_call_t     *call;
    int                ends[2];

    ck_assert_int_eq(pipe2(ends, O_NONBLOCK), 0);
    cw_event_log_open(ends[1], "n1", CW_EVENT_INFO);
    cw_tenant_metrics_reset();
    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    grant(&fixture, 0, CW_MS(700));
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    cw_event_log_flush(cw_engine_now(fixture.base.engine));
    ck_assert_int_gt(read(ends[0], text, sizeof(text) - 1), 0);
    ck_assert_ptr_nonnull(strstr(text, "\"status\":429"));
    ck_assert_ptr_nonnull(strstr(text, "\"tenant\":\"red\""));
    ck_assert_uint_ge(cw_tenant_metrics_largest(counts), 1);
    ck_assert_str_eq(counts[0].tenant, "red");
    ck_assert_uint_eq(counts[0].values[CW_TENANT_REFUSED_LIMIT], 1);
    cw_event_log_open(open("/dev/null", O_WRONLY), "n1", CW_EVENT_ERROR);
}
END_TEST

START_TEST(the_token_of_a_disconnected_callers_request_goes_to_the_next_request)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&fixture.base.loop, is_empty, &fixture);
    grant(&fixture, 1, 0);
    (void)ask(&fixture, 1, 15000);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    ck_assert_uint_eq(fixture.sent.ask_count, 1);
}
END_TEST

START_TEST(a_request_awaits_a_token_no_longer_than_its_time_limit)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask(&fixture, 0, 60);
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 0);
    ck_assert_uint_eq(fixture.sent.ask_count, 1);
}
END_TEST

/* The counting node does not reply. The request for tokens is sent again, and then this node's own part of the limit
 * decides. */
START_TEST(without_a_reply_this_nodes_part_of_the_limit_decides)
{
    fixture_t      fixture;
    engine_call_t *call;
    cw_time_us_t   now;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    now = cw_engine_now(fixture.base.engine);
    cw_quota_share_tick(fixture.share, now + CW_MS(50));
    ck_assert_uint_eq(fixture.sent.ask_count, 2);
    ck_assert_uint_eq(fixture.sent.asks[1].sequence, fixture.sent.asks[0].sequence);
    cw_quota_share_tick(fixture.share, now + CW_MS(100));
    cw_quota_share_tick(fixture.share, now + CW_MS(150));
    ck_assert_uint_eq(cw_quota_share_mode(fixture.share, fixture.sent.asks[0].usage.tenant), CW_QUOTA_ALONE);
    cw_test_run_some(&fixture.base.loop, 5);
    ck_assert(call->answered || fixture.base.servers[0].has_request);
    ck_assert(!call->answered || call->status == 429);
}
END_TEST

START_TEST(a_request_that_was_not_run_returns_its_token)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    grant(&fixture, 1, 0);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    answer(&fixture, 503, "not-run");
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    ck_assert_int_eq(call->status, 503);
    (void)ask(&fixture, 1, 15000);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    ck_assert_uint_eq(fixture.sent.ask_count, 1);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 2);
}
END_TEST

START_TEST(a_request_that_has_run_does_not_return_its_token)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    grant(&fixture, 1, 0);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.base.loop, &call->answered);
    (void)ask_and_wait(&fixture, 1);
    ck_assert_uint_eq(fixture.sent.ask_count, 2);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 1);
}
END_TEST

/* The caller disconnects while the request is at the server, so the request may have run. */
START_TEST(a_request_that_may_have_run_does_not_return_its_token)
{
    fixture_t      fixture;
    engine_call_t *call;

    init(&fixture);
    call = ask_and_wait(&fixture, 0);
    grant(&fixture, 1, 0);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.servers[0].has_request);
    cw_upstream_call_abandon(call->call);
    cw_test_run_until(&fixture.base.loop, is_empty, &fixture);
    (void)ask_and_wait(&fixture, 1);
    ck_assert_uint_eq(fixture.sent.ask_count, 2);
}
END_TEST

/* Configures the same tenant with callers that need a key. digest: digest of its only key; NULL: the key is revoked. */
static void use_limit_and_key(fixture_t *fixture, uint64_t version, const char *digest)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    cw_tenant_t        *tenant;
    cw_key_digest_t     key;

    cw_configuration_copy_route(configuration, &fixture->base.engine->configuration->routes[0]);
    cw_configuration_copy_tenant(configuration, &fixture->base.engine->configuration->tenants[0]);
    tenant = &configuration->tenants[0];
    tenant->key_count = 0;
    tenant->needs_key = true;
    if (digest != NULL) {
        ck_assert(cw_tenant_digest_from_text(&key, digest));
        cw_tenant_add_key(tenant, &key);
    }
    engine_fixture_use(&fixture->base, configuration);
}

START_TEST(a_request_awaiting_a_token_ends_when_its_callers_key_is_revoked)
{
    /* printf %s sesame | sha256sum */
    static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
    static const char text[] = "POST /x HTTP/1.1\r\nHost: a.example\r\nid: r0\r\ndeadline: 15000\r\n"
                               "Authorization: Bearer sesame\r\nContent-Length: 0\r\n\r\n";
    fixture_t         fixture;

    init(&fixture);
    use_limit_and_key(&fixture, 2, sesame);
    (void)engine_fixture_send(&fixture.base, 0, text, sizeof(text) - 1);
    cw_test_run_until_set(&fixture.base.loop, &fixture.sent.has_ask);
    use_limit_and_key(&fixture, 3, NULL);
    cw_test_run_until_set(&fixture.base.loop, &fixture.base.calls[0].answered);
    ck_assert_int_eq(fixture.base.calls[0].status, 401);
    grant(&fixture, 1, 0); /* no request waits for it any more */
    cw_test_run_some(&fixture.base.loop, 5);
    ck_assert_uint_eq(fixture.base.servers[0].requests, 0);
    ck_assert_uint_eq(cw_engine_requests(fixture.base.engine), 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine, tenants' limits");
    TCase *cases = tcase_create("limits");

    tcase_add_test(cases, a_request_waits_for_its_token_and_is_sent_after_the_grant);
    tcase_add_test(cases, a_request_without_a_token_is_refused_and_not_run);
    tcase_add_test(cases, a_refusal_names_the_tenant_of_callers_without_a_key);
    tcase_add_test(cases, the_token_of_a_disconnected_callers_request_goes_to_the_next_request);
    tcase_add_test(cases, a_request_awaits_a_token_no_longer_than_its_time_limit);
    tcase_add_test(cases, without_a_reply_this_nodes_part_of_the_limit_decides);
    tcase_add_test(cases, a_request_that_was_not_run_returns_its_token);
    tcase_add_test(cases, a_request_that_has_run_does_not_return_its_token);
    tcase_add_test(cases, a_request_that_may_have_run_does_not_return_its_token);
    tcase_add_test(cases, a_request_awaiting_a_token_ends_when_its_callers_key_is_revoked);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
