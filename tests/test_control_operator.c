/**
 * @file test_control_operator.c
 * @brief Tests of the control replicas: plans and confirmations, tokens, and the store that keeps the configuration.
 *        cluster_run() checks after each step that no key has two owners.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/control_fixture.h"

static void confirm(const char *plan, const char *token, uint32_t status, cw_time_us_t limit_us)
{
    cluster_ask("confirm", plan, token);
    ck_assert(cluster_run_until(cluster_answered, limit_us));
    ck_assert_msg(cluster.answer_status == status, "%u %s", cluster.answer_status, cluster.answer);
}

static char *plan(size_t servers, const char *token)
{
    char text[2048];

    cluster_intent(text, sizeof(text), servers);
    cluster_ask("plan", text, token);
    ck_assert_msg(cluster.answer_status == 200, "%u %s", cluster.answer_status, cluster.answer);
    return cluster_answer_text("plan");
}

START_TEST(of_two_racing_plans_one_is_stale)
{
    char *first;
    char *second;

    control_begin_service();
    first = plan(CONTROL_SERVERS - 1, "token");
    second = plan(CONTROL_SERVERS + 1, "token");
    confirm(second, "token", 200, SECOND);
    confirm(first, "token", 409, SECOND);
    ck_assert_uint_eq(cw_control_state_service(cluster_state(), cluster_service())->n_servers, CONTROL_SERVERS + 1);
    free(first);
    free(second);
}
END_TEST

START_TEST(a_lost_answer_of_the_store_is_settled_by_reading_back)
{
    char *id;

    control_begin_service();
    id = plan(CONTROL_SERVERS + 1, "token");
    cluster.store_mode = STORE_LOSES_ANSWERS;
    confirm(id, "token", 200, 3 * SECOND);
    ck_assert_str_eq(cw_control_state_tenant(cluster_state(), "t")->plan_id, id);
    free(id);
}
END_TEST

START_TEST(without_the_store_nothing_is_accepted_and_that_is_said)
{
    char *id;

    control_begin_service();
    id = plan(CONTROL_SERVERS + 1, "token");
    cluster.store_mode = STORE_REFUSES;
    confirm(id, "token", 503, SECOND / 10);
    cluster.store_mode = STORE_HANGS;
    confirm(id, "token", 504, 9 * SECOND);
    cluster.store_mode = STORE_OK;
    ck_assert_uint_eq(cw_control_state_service(cluster_state(), cluster_service())->n_servers, CONTROL_SERVERS);
    cluster.servers[0].cut = true; /* failover does not wait for it */
    cluster.store_mode = STORE_HANGS;
    ck_assert(cluster_run_until(control_first_server_is_empty, 4 * SECOND));
    free(id);
}
END_TEST

START_TEST(tokens_act_for_their_tenant_only)
{
    char  text[2048];
    char *id;

    cluster_intent(text, sizeof(text), CONTROL_SERVERS);
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 401); /* nobody's token yet */
    control_begin_service();
    id = plan(CONTROL_SERVERS + 1, "token");
    cluster_ask("plan", text, "other");
    ck_assert_uint_eq(cluster.answer_status, 401);
    cluster_ask("confirm", id, "other");
    ck_assert_uint_eq(cluster.answer_status, 401);
    snprintf(text + strlen(text), sizeof(text) - strlen(text), "limits: {requests_per_second: 7}\n");
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 403);
    *strstr(text, "t\n") = 'u'; /* the tenant's name */
    cluster_ask("plan", text, "token");
    ck_assert_uint_eq(cluster.answer_status, 403);
    cluster_ask("plan", text, NULL);
    ck_assert_uint_eq(cluster.answer_status, 409); /* servers of another tenant */
    cluster_ask("explain", "u/s key", "token");
    ck_assert_uint_eq(cluster.answer_status, 404);
    cluster_run(SECOND / 10);
    cluster_ask("status", "", "token");
    ck_assert_ptr_null(strstr(cluster.answer, "\"nodes\""));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"confirmed\":true"));
    free(id);
}
END_TEST

START_TEST(plans_of_one_tenant_are_not_confirmed_by_another)
{
    static const char intent[] = "tenant: u\noperator_tokens: [%s]\ncaller_tokens: [%s]\nservices:\n- name: s\n"
                                 "  slots_per_server: 1\n  servers:\n"
                                 "  - {name: s0, address: 127.0.0.1, port: 9100, zone: a}\n";
    char              digest[] = "d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"; /* of "other" */
    char              text[2048];
    char             *id;

    control_begin_service();
    snprintf(text, sizeof(text), intent, digest, digest);
    cluster_ask("plan", text, NULL);
    id = cluster_answer_text("plan");
    confirm(id, "token", 404, SECOND);
    confirm(id, NULL, 200, SECOND);
    free(id);
    id = plan(CONTROL_SERVERS + 1, "token");
    confirm(id, "other", 404, SECOND);
    cluster_ask("explain", "t/s key", "other");
    ck_assert_uint_eq(cluster.answer_status, 404);
    cluster_ask("status", "", "other");
    ck_assert_ptr_null(strstr(cluster.answer, "\"name\":\"t\""));
    confirm(id, "token", 200, SECOND);
    free(id);
}
END_TEST

START_TEST(changed_limits_need_an_administrator_at_confirmation_too)
{
    char  text[2048];
    char *id;

    control_begin_service();
    cluster_intent(text, sizeof(text), CONTROL_SERVERS);
    snprintf(text + strlen(text), sizeof(text) - strlen(text), "limits: {requests_per_second: 7}\n");
    cluster_ask("plan", text, NULL);
    id = cluster_answer_text("plan");
    confirm(id, "token", 403, SECOND);
    confirm(id, NULL, 200, SECOND);
    free(id);
}
END_TEST

START_TEST(findings_are_told_together)
{
    control_begin_service();
    cluster_ask("plan", "tenant: t\nservices: 7\nlimit: x\n", "token");
    ck_assert_uint_eq(cluster.answer_status, 422);
    ck_assert_ptr_nonnull(strstr(cluster.answer, "intent.yaml"));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"line\":2"));
    ck_assert_ptr_nonnull(strstr(cluster.answer, "\"line\":3"));
}
END_TEST

static bool newer_is_in_force(void)
{
    return cluster_state() != NULL && cw_control_state_tenant(cluster_state(), "t") != NULL &&
           cw_control_state_tenant(cluster_state(), "t")->version == cluster_object("config/t")->version;
}

START_TEST(a_new_leader_commits_what_the_store_has_and_never_goes_back)
{
    Cw__TenantConfiguration *configuration;
    cluster_object_t        *object;

    control_begin_service();
    object = cluster_object("config/t");
    configuration = cw__tenant_configuration__unpack(NULL, object->length, object->value);
    configuration->limits->requests_per_second++;
    cw__tenant_configuration__pack(configuration, object->value);
    object->version = 1000; /* written by a leader that was lost before it could commit */
    cluster_stop_node((size_t)(cluster_leader() - cluster.nodes));
    ck_assert(cluster_run_until(newer_is_in_force, 6 * SECOND));
    object->version = 999;
    cw_control_object_changed(cluster_leader()->control, "config/t", 999, cluster.now);
    cluster_run(SECOND);
    ck_assert_uint_eq(cw_control_state_tenant(cluster_state(), "t")->version, 1000);
    cw__tenant_configuration__free_unpacked(configuration, NULL);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("control by operators");
    TCase *tests = control_case("control by operators", false);

    tcase_add_test(tests, plans_of_one_tenant_are_not_confirmed_by_another);
    tcase_add_test(tests, changed_limits_need_an_administrator_at_confirmation_too);
    tcase_add_test(tests, of_two_racing_plans_one_is_stale);
    tcase_add_test(tests, a_lost_answer_of_the_store_is_settled_by_reading_back);
    tcase_add_test(tests, without_the_store_nothing_is_accepted_and_that_is_said);
    tcase_add_test(tests, tokens_act_for_their_tenant_only);
    tcase_add_test(tests, findings_are_told_together);
    tcase_add_test(tests, a_new_leader_commits_what_the_store_has_and_never_goes_back);
    suite_add_tcase(suite, tests);
    return control_run_suite(suite);
}
