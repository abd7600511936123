/**
 * @file test_engine_callers.c
 * @brief Callers' keys on a request's way: who comes in, what servers are told, what a later configuration changes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/metrics.h"
#include "engine_fixture.h"

enum { TEXT_BYTES = ENGINE_WORLD_TEXT_BYTES };

static void init_with_silence(engine_world_t *world, double silence_factor)
{
    engine_world_setup_t setup = {.servers = 1,
                                  .capacity = 1,
                                  .silence_factor = silence_factor,
                                  .tenant_field = "The-Tenant",
                                  .credential_scheme = "Token"};

    engine_world_begin(world, &setup);
}

static void init(engine_world_t *world)
{
    init_with_silence(world, 1000);
}

/* ---- configurations ---- */

static cw_route_t *add_route(cw_configuration_t *configuration, const char *name, bool repeatable)
{
    cw_route_t *route = engine_world_add_route(configuration, name, repeatable);

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

/* digest: of the key "sesame", or of "other"; NULL: none. */
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

/* printf %s sesame | sha256sum; the same of other */
static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
static const char other[] = "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa";

/* Version 1: "red" has the key sesame, "blue" has other. */
static void use_keys(engine_world_t *world)
{
    cw_configuration_t *configuration = begin_configuration(1);

    add_tenant(configuration, "red", sesame)->priority = 1;
    (void)add_tenant(configuration, "blue", other);
    engine_world_use(world, configuration);
}

/* A later version in which red has lost its key. */
static void use_without_reds_key(engine_world_t *world, uint64_t version)
{
    cw_configuration_t *configuration = begin_configuration(version);

    (void)add_tenant(configuration, "red", NULL);
    (void)add_tenant(configuration, "blue", other);
    engine_world_use(world, configuration);
}

/* ---- calls ---- */

/* lines: further header lines, each with its end. */
static engine_call_t *ask(engine_world_t *world, size_t number, const char *path, const char *lines)
{
    char text[TEXT_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "POST %s HTTP/1.1\r\nHost: a.example\r\nid: r%zu\r\ndeadline: 15000\r\n%sContent-Length: "
                            "0\r\n\r\n",
                           path, number, lines);

    return engine_world_send(world, number, text, (size_t)length);
}

static int status_of(engine_world_t *world, const char *path, const char *lines)
{
    engine_call_t *call = ask(world, 0, path, lines);

    cw_test_run_until_set(&world->loop, &call->answered);
    return call->status;
}

static void answer(engine_world_t *world, int status, const char *field)
{
    world->servers[0].has_request = false;
    engine_server_answer(&world->servers[0], status, "done", field);
}

/* A request on its way to the server; its fields there are in `seen`. */
static void serve(engine_world_t *world, const char *path, const char *lines)
{
    engine_call_t *call = ask(world, 0, path, lines);

    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    answer(world, 200, NULL);
    cw_test_run_until_set(&world->loop, &call->answered);
    ck_assert_int_eq(call->status, 200);
}

static bool is_queued(void *context)
{
    engine_world_t *world = context;

    return cw_engine_queued(world->engine) == 1;
}

/* Call 0 takes the only slot, call 1 waits for it. */
static void fill_and_queue(engine_world_t *world, const char *path, const char *lines)
{
    (void)ask(world, 0, path, lines);
    cw_test_run_until_set(&world->loop, &world->servers[0].has_request);
    (void)ask(world, 1, path, lines);
    cw_test_run_until(&world->loop, is_queued, world);
}

/** A node that counts slots, and never replies. */
typedef struct fake_broker {
    uint32_t asks;
    uint32_t priority; /* of the last ask */
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

/* ---- who comes in ---- */

START_TEST(without_a_known_key_nothing_reaches_a_server)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    ck_assert_int_eq(status_of(&world, "/safe/x", ""), 401);
    ck_assert(world.calls[0].is_challenged);
    ck_assert_int_eq(status_of(&world, "/once/x", "Authorization: Token unknown\r\n"), 401);
    ck_assert_int_eq(status_of(&world, "/safe/x", "Authorization: Bearer sesame\r\n"), 401);
    ck_assert_int_eq(status_of(&world, "/safe/x", "Authorization: Token\r\n"), 401);
    ck_assert_int_eq(status_of(&world, "/safe/x", KEY KEY), 401);
    ck_assert_int_eq(status_of(&world, "/open/x", "Authorization: Token unknown\r\n"), 401);
    ck_assert_int_eq(status_of(&world, "/open/x", "Authorization: sesame\r\n"), 401);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_NO_KEY), 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_UNKNOWN_KEY), 2);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_MALFORMED), 4);
    ck_assert_int_eq(status_of(&world, "/nowhere/x", KEY), 404);
}
END_TEST

START_TEST(without_keys_in_the_configuration_credentials_go_on_to_servers)
{
    engine_world_t world;

    init(&world);
    engine_world_use(&world, begin_configuration(1));
    serve(&world, "/safe/x", "Authorization: Basic xyz\r\n");
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "Authorization: Basic xyz\n"));
    ck_assert_ptr_null(strstr(world.servers[0].seen, "The-Tenant"));
}
END_TEST

/* ---- what servers are told ---- */

START_TEST(a_server_gets_the_tenants_name_in_place_of_the_key)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    serve(&world, "/safe/x", KEY "Other: kept\r\n");
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: red\n"));
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "Other: kept\n"));
    ck_assert_ptr_null(strcasestr(world.servers[0].seen, "authorization"));
    ck_assert_ptr_null(strstr(world.servers[0].seen, "sesame"));
}
END_TEST

static size_t count_tenant_lines(const char *seen)
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

START_TEST(a_callers_own_tenant_header_is_removed_in_any_spelling_and_number)
{
    static const char spoofed[] = "The-Tenant: blue\r\nTHE-TENANT: blue\r\nthe_tenant: blue\r\nThe_Tenant: blue\r\n"
                                  "the-tenant:\r\n";
    char              lines[512];
    engine_world_t    world;

    init(&world);
    use_keys(&world);
    snprintf(lines, sizeof(lines), "%s" KEY, spoofed);
    serve(&world, "/safe/x", lines);
    ck_assert_uint_eq(count_tenant_lines(world.servers[0].seen), 1);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: red\n"));
    serve(&world, "/open/x", lines); /* a key counts on an open route too */
    ck_assert_uint_eq(count_tenant_lines(world.servers[0].seen), 1);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: red\n"));
    serve(&world, "/open/x", spoofed);
    ck_assert_uint_eq(count_tenant_lines(world.servers[0].seen), 0);
    engine_world_use(&world, begin_configuration(2)); /* nobody has keys */
    serve(&world, "/safe/x", spoofed);
    ck_assert_uint_eq(count_tenant_lines(world.servers[0].seen), 0);
}
END_TEST

START_TEST(a_connection_header_does_not_take_the_tenants_name_away)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    serve(&world, "/safe/x", KEY "Connection: The-Tenant, authorization\r\n");
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: red\n"));
    ck_assert_ptr_null(strstr(world.servers[0].seen, "sesame"));
}
END_TEST

/* ---- a later configuration ---- */

/* Only the head is sent: the answer does not wait for the body. */
static int status_of_head(engine_world_t *world, const char *path, const char *lines)
{
    char text[TEXT_BYTES];
    int  length = snprintf(text, sizeof(text), "POST %s HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: 90000\r\n\r\n",
                           path, lines);
    engine_call_t *call = engine_world_send(world, 0, text, (size_t)length);

    cw_test_run_until_set(&world->loop, &call->answered);
    return call->status;
}

START_TEST(a_caller_without_a_known_key_is_rejected_before_its_body)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    ck_assert_int_eq(status_of_head(&world, "/once/x", ""), 401);
    ck_assert_int_eq(status_of_head(&world, "/once/x", "Authorization: Token wrong\r\n"), 401);
    ck_assert(world.calls[0].is_challenged);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_UNKNOWN_KEY), 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_BODIES_UNREAD), 2);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

/* Its head was read before the version that has its key came into force: without its body it cannot run. */
START_TEST(a_request_whose_body_was_not_read_never_runs)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    world.rejects_all = true;
    ck_assert_int_eq(status_of_head(&world, "/once/x", "Authorization: Token sesame\r\n"), 503);
    ck_assert_double_ge(world.calls[0].retry_after_s, 0);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(a_key_counts_as_soon_as_its_configuration_does)
{
    engine_world_t      world;
    cw_configuration_t *configuration;

    init(&world);
    use_without_reds_key(&world, 1);
    ck_assert_int_eq(status_of(&world, "/safe/x", KEY), 401);
    configuration = begin_configuration(2);
    (void)add_tenant(configuration, "red", sesame);
    engine_world_use(&world, configuration);
    serve(&world, "/safe/x", KEY);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: red\n"));
    use_without_reds_key(&world, 3); /* on the same connections */
    ck_assert_int_eq(status_of(&world, "/safe/x", KEY), 401);
}
END_TEST

START_TEST(a_key_taken_away_ends_what_waits_and_not_what_is_at_a_server)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    fill_and_queue(&world, "/once/x", KEY);
    use_without_reds_key(&world, 2);
    cw_test_run_until_set(&world.loop, &world.calls[1].answered);
    ck_assert_int_eq(world.calls[1].status, 401);
    ck_assert(world.calls[1].is_challenged);
    ck_assert(!world.calls[0].answered);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 200);
    ck_assert_str_eq(world.calls[0].body, "done");
    cw_test_run_some(&world.loop, 5);
    ck_assert_uint_eq(world.servers[0].requests, 1);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REJECTED_REVOKED), 1);
    ck_assert_uint_eq(cw_engine_requests(world.engine), 0);
}
END_TEST

START_TEST(another_tenants_requests_stay_when_a_key_is_taken_away)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    fill_and_queue(&world, "/safe/x", "Authorization: Token other\r\n");
    use_without_reds_key(&world, 2);
    cw_test_run_some(&world.loop, 5);
    ck_assert(!world.calls[1].answered);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: blue\n"));
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.calls[1].answered);
    ck_assert_int_eq(world.calls[1].status, 200);
}
END_TEST

START_TEST(a_request_that_comes_back_from_a_server_is_not_sent_again_for_a_key_taken_away)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    (void)ask(&world, 0, "/once/x", KEY);
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    use_without_reds_key(&world, 2);
    answer(&world, 503, "not-run");
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 401);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(a_key_that_moves_to_another_tenant_is_let_in_anew)
{
    engine_world_t      world;
    cw_configuration_t *configuration = begin_configuration(2);

    init(&world);
    use_keys(&world);
    fill_and_queue(&world, "/once/x", KEY);
    (void)add_tenant(configuration, "red", other);
    (void)add_tenant(configuration, "blue", sesame);
    engine_world_use(&world, configuration);
    cw_test_run_until_set(&world.loop, &world.calls[1].answered);
    ck_assert_int_eq(world.calls[1].status, 503);
    ck_assert(world.calls[1].retry_after_s > 0);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_REFUSED_KEY_MOVED), 1);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_uint_eq(world.servers[0].requests, 1);
    serve(&world, "/once/x", KEY);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: blue\n"));
}
END_TEST

START_TEST(a_silent_server_keeps_the_request_of_a_key_taken_away)
{
    engine_world_t world;

    init_with_silence(&world, 0.01); /* repeated after 150 ms */
    use_keys(&world);
    (void)ask(&world, 0, "/safe/x", KEY);
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    use_without_reds_key(&world, 2);
    engine_world_run_for(&world, CW_MS(400));
    ck_assert(!world.calls[0].answered);
    ck_assert_uint_eq(cw_metric_value(CW_METRIC_RETRIES), 0);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 200);
    ck_assert_uint_eq(world.servers[0].requests, 1);
}
END_TEST

START_TEST(what_waits_for_an_owner_of_its_key_ends_with_the_callers_key)
{
    engine_world_t      world;
    cw_configuration_t *configuration = begin_configuration(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);

    init(&world);
    service->name = strdup("service");
    service->keyed = true;
    (void)add_tenant(configuration, "red", sesame);
    engine_world_use(&world, configuration);
    (void)ask(&world, 0, "/once/x", KEY "key: 7\r\n");
    cw_test_run_until(&world.loop, is_queued, &world);
    use_without_reds_key(&world, 2);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 401);
    ck_assert_uint_eq(cw_engine_queued(world.engine), 0);
}
END_TEST

START_TEST(what_waits_for_a_slot_withdraws_its_ask_when_its_callers_key_goes)
{
    engine_world_t world;
    fake_broker_t  fake = {0};
    cw_slot_port_t port = {.context = &fake, .broker_of = fake_broker_of, .ask = fake_ask, .give_back = fake_give_back};

    init(&world);
    use_keys(&world);
    cw_engine_set_slots(world.engine, &port);
    (void)ask(&world, 0, "/once/x", KEY);
    cw_test_run_until(&world.loop, has_asked, &fake);
    ck_assert_uint_eq(fake.priority, 1U << 16); /* red's priority goes before its route's */
    use_without_reds_key(&world, 2);
    cw_test_run_until_set(&world.loop, &world.calls[0].answered);
    ck_assert_int_eq(world.calls[0].status, 401);
    ck_assert_uint_eq(fake.returns, 1);
    ck_assert_uint_eq(world.servers[0].requests, 0);
}
END_TEST

START_TEST(credentials_are_hidden_from_the_version_on_that_has_keys)
{
    engine_world_t world;

    init(&world);
    engine_world_use(&world, begin_configuration(1));
    fill_and_queue(&world, "/once/x", KEY);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "sesame")); /* nobody was known by keys */
    use_without_reds_key(&world, 2);
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request); /* let in by the version before */
    ck_assert_ptr_null(strstr(world.servers[0].seen, "sesame"));
}
END_TEST

/* ---- evidence ---- */

START_TEST(where_keys_are_trusted_no_longer_their_requests_are_told_to_come_back)
{
    engine_world_t world;

    init(&world);
    use_keys(&world);
    cw_engine_trust_keys(world.engine, cw_engine_now(world.engine));
    ck_assert_int_eq(status_of(&world, "/safe/x", KEY), 503);
    ck_assert(world.calls[0].retry_after_s > 0);
    ck_assert_int_eq(status_of(&world, "/safe/x", "Authorization: Token unknown\r\n"), 503); /* it may be a new one */
    ck_assert_int_eq(status_of(&world, "/safe/x", ""), 401);
    ck_assert_uint_eq(world.servers[0].requests, 0);
    serve(&world, "/open/x", "");
    cw_engine_trust_keys(world.engine, cw_engine_now(world.engine) + CW_SECONDS(60));
    serve(&world, "/safe/x", KEY);
}
END_TEST

/* ---- rank ---- */

START_TEST(a_more_urgent_tenant_is_served_before_a_more_urgent_route)
{
    cw_configuration_t *configuration = begin_configuration(1);
    engine_world_t      world;
    size_t              index;

    init(&world);
    for (index = 0; index < configuration->route_count; index++) {
        configuration->routes[index].priority = strcmp(configuration->routes[index].name, "safe") == 0 ? 9 : 0;
    }
    add_tenant(configuration, "red", sesame)->priority = 1;
    (void)add_tenant(configuration, "blue", other);
    engine_world_use(&world, configuration);
    fill_and_queue(&world, "/once/x", KEY); /* red, whose route is the more urgent one, waits first */
    (void)ask(&world, 2, "/safe/x", "Authorization: Token other\r\n");
    while (cw_engine_queued(world.engine) < 2) {
        cw_test_run_some(&world.loop, 1);
    }
    answer(&world, 200, NULL);
    cw_test_run_until_set(&world.loop, &world.servers[0].has_request);
    ck_assert_ptr_nonnull(strstr(world.servers[0].seen, "The-Tenant: blue\n"));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("engine callers");
    TCase *cases = tcase_create("engine callers");

    tcase_add_test(cases, without_a_known_key_nothing_reaches_a_server);
    tcase_add_test(cases, without_keys_in_the_configuration_credentials_go_on_to_servers);
    tcase_add_test(cases, a_server_gets_the_tenants_name_in_place_of_the_key);
    tcase_add_test(cases, a_callers_own_tenant_header_is_removed_in_any_spelling_and_number);
    tcase_add_test(cases, a_connection_header_does_not_take_the_tenants_name_away);
    tcase_add_test(cases, a_caller_without_a_known_key_is_rejected_before_its_body);
    tcase_add_test(cases, a_request_whose_body_was_not_read_never_runs);
    tcase_add_test(cases, a_key_counts_as_soon_as_its_configuration_does);
    tcase_add_test(cases, a_key_taken_away_ends_what_waits_and_not_what_is_at_a_server);
    tcase_add_test(cases, another_tenants_requests_stay_when_a_key_is_taken_away);
    tcase_add_test(cases, a_request_that_comes_back_from_a_server_is_not_sent_again_for_a_key_taken_away);
    tcase_add_test(cases, a_key_that_moves_to_another_tenant_is_let_in_anew);
    tcase_add_test(cases, a_silent_server_keeps_the_request_of_a_key_taken_away);
    tcase_add_test(cases, what_waits_for_an_owner_of_its_key_ends_with_the_callers_key);
    tcase_add_test(cases, what_waits_for_a_slot_withdraws_its_ask_when_its_callers_key_goes);
    tcase_add_test(cases, credentials_are_hidden_from_the_version_on_that_has_keys);
    tcase_add_test(cases, where_keys_are_trusted_no_longer_their_requests_are_told_to_come_back);
    tcase_add_test(cases, a_more_urgent_tenant_is_served_before_a_more_urgent_route);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
