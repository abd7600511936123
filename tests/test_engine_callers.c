/**
 * @file test_engine_callers.c
 * @brief Callers' keys: which callers are admitted, which header fields servers receive, and what a later configuration
 * changes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { TEXT_BYTES = ENGINE_FIXTURE_TEXT_BYTES };

static void init_with_repeat_factor(engine_fixture_t *fixture, double repeat_factor)
{
    engine_fixture_setup_t setup = {.servers = 1,
                                    .capacity = 1,
                                    .repeat_factor = repeat_factor,
                                    .tenant_field = "The-Tenant",
                                    .credential_scheme = "Token"};

    engine_fixture_begin(fixture, &setup);
}

static void init(engine_fixture_t *fixture)
{
    init_with_repeat_factor(fixture, 1000);
}

/* ---- configurations ---- */

static cw_route_t *add_route(cw_configuration_t *configuration, const char *name, bool repeatable)
{
    cw_route_t *route = engine_fixture_add_route(configuration, name, repeatable);

    cw_route_add_part(route, "service", 1);
    return route;
}

static cw_configuration_t *begin_configuration(uint64_t version)
{
    cw_configuration_t *configuration = cw_configuration_create(version);

    (void)add_route(configuration, "safe", true);
    (void)add_route(configuration, "once", false);
    add_route(configuration, "open", true)->allows_anonymous = true;
    return configuration;
}

/* Adds a tenant. digest: digest of its key, "sesame" or "other"; NULL: the tenant has no key. */
static cw_tenant_t *add_tenant(cw_configuration_t *configuration, const char *name, const char *digest)
{
    cw_tenant_t    *tenant = cw_configuration_add_tenant(configuration);
    cw_key_digest_t key;

    tenant->name = strdup(name);
    tenant->needs_key = true;
    if (digest != NULL) {
        ck_assert(cw_tenant_digest_from_text(&key, digest));
        cw_tenant_add_key(tenant, &key);
    }
    return tenant;
}

/* Output of: printf %s sesame | sha256sum; and the same for other. */
static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
static const char other[] = "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa";

/* Puts version 1 in force: "red" has the key sesame, "blue" has other. */
static void use_keys(engine_fixture_t *fixture)
{
    cw_configuration_t *configuration = begin_configuration(1);

    add_tenant(configuration, "red", sesame)->priority = 1;
    (void)add_tenant(configuration, "blue", other);
    engine_fixture_use(fixture, configuration);
}

/* Puts a version in force in which red has no key. */
static void use_without_reds_key(engine_fixture_t *fixture, uint64_t version)
{
    cw_configuration_t *configuration = begin_configuration(version);

    (void)add_tenant(configuration, "red", NULL);
    (void)add_tenant(configuration, "blue", other);
    engine_fixture_use(fixture, configuration);
}

/* ---- calls ---- */

/* Sends a request. lines: further header lines, each with its line end. */
static engine_call_t *ask(engine_fixture_t *fixture, size_t number, const char *path, const char *lines)
{
    char text[TEXT_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "POST %s HTTP/1.1\r\nHost: a.example\r\nid: r%zu\r\ndeadline: 15000\r\n%sContent-Length: "
                            "0\r\n\r\n",
                           path, number, lines);

    return engine_fixture_send(fixture, number, text, (size_t)length);
}

static int status_of(engine_fixture_t *fixture, const char *path, const char *lines)
{
    engine_call_t *call = ask(fixture, 0, path, lines);

    cw_test_run_until_set(&fixture->loop, &call->answered);
    return call->status;
}

static void answer(engine_fixture_t *fixture, int status, const char *field)
{
    fixture->servers[0].has_request = false;
    engine_server_answer(&fixture->servers[0], status, "done", field);
}

/* Sends a request and waits until the server has answered it; the header fields that the server got are in `seen`. */
static void serve(engine_fixture_t *fixture, const char *path, const char *lines)
{
    engine_call_t *call = ask(fixture, 0, path, lines);

    cw_test_run_until_set(&fixture->loop, &fixture->servers[0].has_request);
    answer(fixture, 200, NULL);
    cw_test_run_until_set(&fixture->loop, &call->answered);
    ck_assert_int_eq(call->status, 200);
}

static bool is_queued(void *context)
{
    engine_fixture_t *fixture = context;

    return cw_engine_queued(fixture->engine) == 1;
}

/* Call 0 takes the only slot, and call 1 waits for it. */
static void fill_and_queue(engine_fixture_t *fixture, const char *path, const char *lines)
{
    (void)ask(fixture, 0, path, lines);
    cw_test_run_until_set(&fixture->loop, &fixture->servers[0].has_request);
    (void)ask(fixture, 1, path, lines);
    cw_test_run_until(&fixture->loop, is_queued, fixture);
}

/** Fake broker, a node that counts slots; it never replies. */
typedef struct fake_broker {
    uint32_t asks;
    uint32_t priority; /* of the last request for a slot */
    uint32_t returns;
} fake_broker_t;

static uint32_t fake_broker_of(void *context, const char *zone, uint32_t service)
{
    (void)context;
    (void)zone;
    (void)service;
    return 1;
}

static void fake_ask(void *context, uint32_t broker, const cw_slot_ask_t *asked)
{
    fake_broker_t *fake = context;

    (void)broker;
    fake->asks++;
    fake->priority = asked->priority;
}

static void fake_give_back(void *context, uint32_t broker, const cw_slot_return_t *returned)
{
    fake_broker_t *fake = context;

    (void)broker;
    (void)returned;
    fake->returns++;
}

static bool has_asked(void *context)
{
    return ((fake_broker_t *)context)->asks > 0;
}

#define KEY "Authorization: Token sesame\r\n"

/* ---- admission of callers ---- */

START_TEST(requests_without_a_known_key_do_not_reach_a_server)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", ""), 401);
    ck_assert(fixture.calls[0].is_challenged);
    ck_assert_int_eq(status_of(&fixture, "/once/x", "Authorization: Token unknown\r\n"), 401);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", "Authorization: Bearer sesame\r\n"), 401);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", "Authorization: Token\r\n"), 401);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", KEY KEY), 401);
    ck_assert_int_eq(status_of(&fixture, "/open/x", "Authorization: Token unknown\r\n"), 401);
    ck_assert_int_eq(status_of(&fixture, "/open/x", "Authorization: sesame\r\n"), 401);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_NO_KEY), 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_UNKNOWN_KEY), 2);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_MALFORMED), 4);
    ck_assert_int_eq(status_of(&fixture, "/nowhere/x", KEY), 404);
}
END_TEST

START_TEST(without_keys_in_the_configuration_credentials_are_passed_on)
{
    engine_fixture_t fixture;

    init(&fixture);
    engine_fixture_use(&fixture, begin_configuration(1));
    serve(&fixture, "/safe/x", "Authorization: Basic xyz\r\n");
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "Authorization: Basic xyz\n"));
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "The-Tenant"));
}
END_TEST

/* ---- header fields that servers receive ---- */

START_TEST(a_server_gets_the_tenants_name_instead_of_the_key)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    serve(&fixture, "/safe/x", KEY "Other: kept\r\n");
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: red\n"));
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "Other: kept\n"));
    ck_assert_ptr_null(strcasestr(fixture.servers[0].seen, "authorization"));
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "sesame"));
}
END_TEST

static size_t count_tenant_fields(const char *seen)
{
    char  *copy = strdup(seen);
    char  *state = NULL;
    char  *line;
    size_t count = 0;

    for (line = strtok_r(copy, "\n", &state); line != NULL; line = strtok_r(NULL, "\n", &state)) {
        char name[64] = "";

        ck_assert_int_eq(sscanf(line, "%63[^:]", name), 1);
        count += cw_http_name_is_equivalent(name, "the-tenant") ? 1 : 0;
    }
    free(copy);
    return count;
}

START_TEST(tenant_fields_sent_by_the_caller_are_removed_in_any_spelling)
{
    static const char spoofed[] = "The-Tenant: blue\r\nTHE-TENANT: blue\r\nthe_tenant: blue\r\nThe_Tenant: blue\r\n"
                                  "the-tenant:\r\n";
    char              lines[512];
    engine_fixture_t  fixture;

    init(&fixture);
    use_keys(&fixture);
    snprintf(lines, sizeof(lines), "%s" KEY, spoofed);
    serve(&fixture, "/safe/x", lines);
    ck_assert_uint_eq(count_tenant_fields(fixture.servers[0].seen), 1);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: red\n"));
    serve(&fixture, "/open/x", lines); /* a key is also checked on a route that is open to callers without a key */
    ck_assert_uint_eq(count_tenant_fields(fixture.servers[0].seen), 1);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: red\n"));
    serve(&fixture, "/open/x", spoofed);
    ck_assert_uint_eq(count_tenant_fields(fixture.servers[0].seen), 0);
    engine_fixture_use(&fixture, begin_configuration(2)); /* no tenant has keys */
    serve(&fixture, "/safe/x", spoofed);
    ck_assert_uint_eq(count_tenant_fields(fixture.servers[0].seen), 0);
}
END_TEST

START_TEST(a_connection_field_does_not_remove_the_tenants_name)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    serve(&fixture, "/safe/x", KEY "Connection: The-Tenant, authorization\r\n");
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: red\n"));
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "sesame"));
}
END_TEST

/* ---- a later configuration ---- */

/* Sends only the head of a request with a body; the answer does not wait for the body. */
static int status_of_head(engine_fixture_t *fixture, const char *path, const char *lines)
{
    char text[TEXT_BYTES];
    int  length = snprintf(text, sizeof(text), "POST %s HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: 90000\r\n\r\n",
                           path, lines);
    engine_call_t *call = engine_fixture_send(fixture, 0, text, (size_t)length);

    cw_test_run_until_set(&fixture->loop, &call->answered);
    return call->status;
}

START_TEST(a_caller_without_a_known_key_is_rejected_before_its_body)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    ck_assert_int_eq(status_of_head(&fixture, "/once/x", ""), 401);
    ck_assert_int_eq(status_of_head(&fixture, "/once/x", "Authorization: Token wrong\r\n"), 401);
    ck_assert(fixture.calls[0].is_challenged);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_UNKNOWN_KEY), 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_BODIES_UNREAD), 2);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

/* The head was read before the configuration with its key came into force. Since its body was not read, the request
 * cannot run. */
START_TEST(a_request_with_an_unread_body_never_runs)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    fixture.rejects_all = true;
    ck_assert_int_eq(status_of_head(&fixture, "/once/x", "Authorization: Token sesame\r\n"), 503);
    ck_assert_double_ge(fixture.calls[0].retry_after_s, 0);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(a_key_is_accepted_as_soon_as_its_configuration_is_in_force)
{
    engine_fixture_t    fixture;
    cw_configuration_t *configuration;

    init(&fixture);
    use_without_reds_key(&fixture, 1);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", KEY), 401);
    configuration = begin_configuration(2);
    (void)add_tenant(configuration, "red", sesame);
    engine_fixture_use(&fixture, configuration);
    serve(&fixture, "/safe/x", KEY);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: red\n"));
    use_without_reds_key(&fixture, 3); /* the same connections are used */
    ck_assert_int_eq(status_of(&fixture, "/safe/x", KEY), 401);
}
END_TEST

START_TEST(a_revoked_key_ends_waiting_requests_but_not_those_at_a_server)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    fill_and_queue(&fixture, "/once/x", KEY);
    use_without_reds_key(&fixture, 2);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[1].answered);
    ck_assert_int_eq(fixture.calls[1].status, 401);
    ck_assert(fixture.calls[1].is_challenged);
    ck_assert(!fixture.calls[0].answered);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_int_eq(fixture.calls[0].status, 200);
    ck_assert_str_eq(fixture.calls[0].body, "done");
    cw_test_run_some(&fixture.loop, 5);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_REVOKED), 1);
    ck_assert_uint_eq(cw_engine_requests(fixture.engine), 0);
}
END_TEST

START_TEST(a_revoked_key_does_not_affect_another_tenants_requests)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    fill_and_queue(&fixture, "/safe/x", "Authorization: Token other\r\n");
    use_without_reds_key(&fixture, 2);
    cw_test_run_some(&fixture.loop, 5);
    ck_assert(!fixture.calls[1].answered);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: blue\n"));
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[1].answered);
    ck_assert_int_eq(fixture.calls[1].status, 200);
}
END_TEST

START_TEST(a_request_that_was_not_run_is_not_sent_again_for_a_revoked_key)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    (void)ask(&fixture, 0, "/once/x", KEY);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    use_without_reds_key(&fixture, 2);
    answer(&fixture, 503, "not-run");
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_int_eq(fixture.calls[0].status, 401);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

START_TEST(a_key_that_moves_to_another_tenant_is_refused_once_and_then_admitted)
{
    engine_fixture_t    fixture;
    cw_configuration_t *configuration = begin_configuration(2);

    init(&fixture);
    use_keys(&fixture);
    fill_and_queue(&fixture, "/once/x", KEY);
    (void)add_tenant(configuration, "red", other);
    (void)add_tenant(configuration, "blue", sesame);
    engine_fixture_use(&fixture, configuration);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[1].answered);
    ck_assert_int_eq(fixture.calls[1].status, 503);
    ck_assert(fixture.calls[1].retry_after_s > 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_KEY_MOVED), 1);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
    serve(&fixture, "/once/x", KEY);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: blue\n"));
}
END_TEST

START_TEST(a_request_with_a_revoked_key_stays_at_an_unresponsive_server)
{
    engine_fixture_t fixture;

    init_with_repeat_factor(&fixture, 0.01); /* would be repeated after 150 ms */
    use_keys(&fixture);
    (void)ask(&fixture, 0, "/safe/x", KEY);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    use_without_reds_key(&fixture, 2);
    engine_fixture_run_for(&fixture, CW_MS(400));
    ck_assert(!fixture.calls[0].answered);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_RETRIES), 0);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_int_eq(fixture.calls[0].status, 200);
    ck_assert_uint_eq(fixture.servers[0].requests, 1);
}
END_TEST

START_TEST(a_request_waiting_for_an_owner_ends_when_the_callers_key_is_revoked)
{
    engine_fixture_t    fixture;
    cw_configuration_t *configuration = begin_configuration(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);

    init(&fixture);
    service->name = strdup("service");
    service->keyed = true;
    (void)add_tenant(configuration, "red", sesame);
    engine_fixture_use(&fixture, configuration);
    (void)ask(&fixture, 0, "/once/x", KEY "key: 7\r\n");
    cw_test_run_until(&fixture.loop, is_queued, &fixture);
    use_without_reds_key(&fixture, 2);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_int_eq(fixture.calls[0].status, 401);
    ck_assert_uint_eq(cw_engine_queued(fixture.engine), 0);
}
END_TEST

START_TEST(a_request_for_a_slot_is_withdrawn_when_the_callers_key_is_revoked)
{
    engine_fixture_t fixture;
    fake_broker_t    fake = {0};
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    init(&fixture);
    use_keys(&fixture);
    cw_engine_set_slots(fixture.engine, &port);
    (void)ask(&fixture, 0, "/once/x", KEY);
    cw_test_run_until(&fixture.loop, has_asked, &fake);
    ck_assert_uint_eq(fake.priority, 1U << 16); /* red's priority ranks above its route's */
    use_without_reds_key(&fixture, 2);
    cw_test_run_until_set(&fixture.loop, &fixture.calls[0].answered);
    ck_assert_int_eq(fixture.calls[0].status, 401);
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
}
END_TEST

START_TEST(credentials_are_hidden_once_a_configuration_has_keys)
{
    engine_fixture_t fixture;

    init(&fixture);
    engine_fixture_use(&fixture, begin_configuration(1));
    fill_and_queue(&fixture, "/once/x", KEY);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "sesame")); /* no keys were configured */
    use_without_reds_key(&fixture, 2);
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop,
                          &fixture.servers[0].has_request); /* this request was admitted under the previous version */
    ck_assert_ptr_null(strstr(fixture.servers[0].seen, "sesame"));
}
END_TEST

/* ---- evidence ---- */

START_TEST(requests_with_keys_are_refused_when_keys_are_not_trusted)
{
    engine_fixture_t fixture;

    init(&fixture);
    use_keys(&fixture);
    cw_engine_trust_keys(fixture.engine, cw_engine_now(fixture.engine));
    ck_assert_int_eq(status_of(&fixture, "/safe/x", KEY), 503);
    ck_assert(fixture.calls[0].retry_after_s > 0);
    ck_assert_int_eq(status_of(&fixture, "/safe/x", "Authorization: Token unknown\r\n"),
                     503); /* the key may be a new one */
    ck_assert_int_eq(status_of(&fixture, "/safe/x", ""), 401);
    ck_assert_uint_eq(fixture.servers[0].requests, 0);
    serve(&fixture, "/open/x", "");
    cw_engine_trust_keys(fixture.engine, cw_engine_now(fixture.engine) + CW_SECONDS(60));
    serve(&fixture, "/safe/x", KEY);
}
END_TEST

/* ---- rank ---- */

START_TEST(a_more_urgent_tenant_is_served_before_a_more_urgent_route)
{
    cw_configuration_t *configuration = begin_configuration(1);
    engine_fixture_t    fixture;
    size_t              index;

    init(&fixture);
    for (index = 0; index < configuration->route_count; index++) {
        configuration->routes[index].priority = strcmp(configuration->routes[index].name, "safe") == 0 ? 9 : 0;
    }
    add_tenant(configuration, "red", sesame)->priority = 1;
    (void)add_tenant(configuration, "blue", other);
    engine_fixture_use(&fixture, configuration);
    fill_and_queue(&fixture, "/once/x", KEY); /* red's request, whose route is more urgent, waits first */
    (void)ask(&fixture, 2, "/safe/x", "Authorization: Token other\r\n");
    while (cw_engine_queued(fixture.engine) < 2) {
        cw_test_run_some(&fixture.loop, 1);
    }
    answer(&fixture, 200, NULL);
    cw_test_run_until_set(&fixture.loop, &fixture.servers[0].has_request);
    ck_assert_ptr_nonnull(strstr(fixture.servers[0].seen, "The-Tenant: blue\n"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine callers");
    TCase *cases = tcase_create("engine callers");

    tcase_add_test(cases, requests_without_a_known_key_do_not_reach_a_server);
    tcase_add_test(cases, without_keys_in_the_configuration_credentials_are_passed_on);
    tcase_add_test(cases, a_server_gets_the_tenants_name_instead_of_the_key);
    tcase_add_test(cases, tenant_fields_sent_by_the_caller_are_removed_in_any_spelling);
    tcase_add_test(cases, a_connection_field_does_not_remove_the_tenants_name);
    tcase_add_test(cases, a_caller_without_a_known_key_is_rejected_before_its_body);
    tcase_add_test(cases, a_request_with_an_unread_body_never_runs);
    tcase_add_test(cases, a_key_is_accepted_as_soon_as_its_configuration_is_in_force);
    tcase_add_test(cases, a_revoked_key_ends_waiting_requests_but_not_those_at_a_server);
    tcase_add_test(cases, a_revoked_key_does_not_affect_another_tenants_requests);
    tcase_add_test(cases, a_request_that_was_not_run_is_not_sent_again_for_a_revoked_key);
    tcase_add_test(cases, a_key_that_moves_to_another_tenant_is_refused_once_and_then_admitted);
    tcase_add_test(cases, a_request_with_a_revoked_key_stays_at_an_unresponsive_server);
    tcase_add_test(cases, a_request_waiting_for_an_owner_ends_when_the_callers_key_is_revoked);
    tcase_add_test(cases, a_request_for_a_slot_is_withdrawn_when_the_callers_key_is_revoked);
    tcase_add_test(cases, credentials_are_hidden_once_a_configuration_has_keys);
    tcase_add_test(cases, requests_with_keys_are_refused_when_keys_are_not_trusted);
    tcase_add_test(cases, a_more_urgent_tenant_is_served_before_a_more_urgent_route);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
