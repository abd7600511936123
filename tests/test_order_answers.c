/**
 * @file test_order_answers.c
 * @brief Guards against two owners of a key: an answer to an earlier order, which a server sends a second time, is not
 * taken for that of the next order to the same address.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "platform_internal.h"
#include "scripted_server.h"

enum { TIMEOUT_S = 20, STATUS_MISDIRECTED = 421, STATUS_CONFLICT = 409, STATUS_BAD_REQUEST = 400 };

/** The adapter's part that sends orders, and the server at their address. */
typedef struct fixture {
    uv_loop_t         loop;
    cw_platform_t     platform;
    scripted_server_t server;
    int               status;            /**< of the answers */
    const char       *field;             /**< field line of the answers; NULL: none */
    const char       *body;              /**< of the answers; NULL: none */
    int               second;            /**< status of an earlier answer that is sent once more; 0: none */
    uint32_t          second_connection; /**< its connection */
    uint32_t          latest_connection; /**< of the latest order */
    bool              is_done;
    cw_order_result_t result;
    uint64_t          orders;
} fixture_t;

static void on_order(void *context, scripted_connection_t *connection)
{
    fixture_t *fixture = context;

    fixture->latest_connection = connection->number;
    if (fixture->second != 0 && fixture->second_connection == connection->number) {
        scripted_answer(connection, fixture->second, NULL, NULL, "");
    }
    scripted_answer(connection, fixture->status, NULL, fixture->field, fixture->body == NULL ? "" : fixture->body);
}

static void on_done(void *context, uint64_t id, cw_order_result_t result, const char *handover)
{
    fixture_t *fixture = context;

    (void)id;
    (void)handover;
    fixture->is_done = true;
    fixture->result = result;
}

static bool may_be_sent(void *context)
{
    (void)context;
    return true;
}

static void init(fixture_t *fixture)
{
    cw_upstream_options_t options = {.idle_max = CW_SECONDS(TIMEOUT_S)};

    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->platform.loop = &fixture->loop;
    fixture->platform.order_calls = cw_upstream_create(&fixture->loop, &options);
    scripted_server_start(&fixture->server, &fixture->loop, on_order, fixture);
}

/* Sends an order and returns its result. status: of the server's answer. */
static cw_order_result_t send_order(fixture_t *fixture, cw_order_kind_t kind, const char *server, int status)
{
    cw_order_t           order = {.id = ++fixture->orders,
                                  .kind = kind,
                                  .low = 1,
                                  .last = 9,
                                  .fence = fixture->orders,
                                  .hold = CW_SECONDS(4),
                                  .timeout = CW_SECONDS(TIMEOUT_S)};
    cw_order_callbacks_t callbacks = {.done = on_done, .may_be_sent = may_be_sent};

    snprintf(order.server, sizeof(order.server), "%s", server);
    snprintf(order.address, sizeof(order.address), "%s", fixture->server.address);
    fixture->status = status;
    fixture->is_done = false;
    cw_platform_send_order(&fixture->platform, &order, &callbacks, fixture);
    cw_test_run_until_set(&fixture->loop, &fixture->is_done);
    return fixture->result;
}

/* From now on the server sends an answer of this status once more in the place of the next one on this connection. */
static void answer_again(fixture_t *fixture, int status)
{
    fixture->second = status;
    fixture->second_connection = fixture->latest_connection;
}

/* The new incarnation at an address told of the former one's end twice; its keys went to another server while it took
 * them. */
START_TEST(the_end_of_a_former_incarnation_is_not_taken_for_that_of_the_next)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "former", STATUS_MISDIRECTED), CW_ORDER_OTHER_INCARNATION);
    answer_again(&fixture, STATUS_MISDIRECTED);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "next", 200), CW_ORDER_DONE);
}
END_TEST

START_TEST(a_probe_that_meets_another_incarnation_ends_nothing_later)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_PROBE, "former", STATUS_MISDIRECTED), CW_ORDER_OTHER_INCARNATION);
    answer_again(&fixture, STATUS_MISDIRECTED);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "next", 200), CW_ORDER_DONE);
}
END_TEST

START_TEST(a_fenced_grant_does_not_fence_the_next)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", STATUS_CONFLICT), CW_ORDER_FENCED);
    answer_again(&fixture, STATUS_CONFLICT);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
}
END_TEST

/* A server passed for one that carries out orders now, on the second answer to a renewal. */
START_TEST(a_probes_answer_is_its_own)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    answer_again(&fixture, 200);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_PROBE, "server", STATUS_BAD_REQUEST), CW_ORDER_REFUSED);
    ck_assert_uint_eq(fixture.latest_connection, 2);
}
END_TEST

START_TEST(a_grant_takes_the_connection_of_the_probe_before_it)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_PROBE, "server", STATUS_BAD_REQUEST), CW_ORDER_REFUSED);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    ck_assert_uint_eq(fixture.latest_connection, 2);
}
END_TEST

START_TEST(renewals_share_a_connection)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    ck_assert_uint_eq(fixture.server.connections, 1);
}
END_TEST

/* ---- pages of other programs ---- */

static const char page[] = "<html>It works!</html>";

/* The keys went to another server while the first one still had them: the page counted as the answer to its release. */
START_TEST(a_release_is_not_done_by_an_answer_that_hands_nothing_over)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_RELEASE, "server", 200), CW_ORDER_UNANSWERED);
    fixture.body = page;
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_RELEASE, "server", 200), CW_ORDER_UNANSWERED);
    fixture.body = NULL;
    fixture.field = "X-Handover: ";
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_RELEASE, "server", 200), CW_ORDER_UNANSWERED);
    fixture.field = "X-Handover: 5c0e7a21d94b36f8";
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_RELEASE, "server", 200), CW_ORDER_DONE);
}
END_TEST

/* A grant that was never read counted as confirmed, and a server that stood still as one that carries out orders. */
START_TEST(a_page_is_no_answer_to_an_order_whatever_its_status)
{
    static const cw_order_kind_t kinds[] = {CW_ORDER_GRANT, CW_ORDER_RELEASE, CW_ORDER_PROBE};
    static const int             statuses[] = {200, STATUS_BAD_REQUEST, 404, STATUS_CONFLICT, STATUS_MISDIRECTED, 500};
    fixture_t                    fixture;
    size_t                       kind;
    size_t                       status;

    init(&fixture);
    fixture.body = page;
    for (kind = 0; kind < sizeof(kinds) / sizeof(kinds[0]); kind++) {
        for (status = 0; status < sizeof(statuses) / sizeof(statuses[0]); status++) {
            ck_assert_int_eq(send_order(&fixture, kinds[kind], "server", statuses[status]), CW_ORDER_UNANSWERED);
        }
    }
}
END_TEST

START_TEST(a_status_that_answers_to_orders_do_not_have_shows_nothing)
{
    fixture_t fixture;

    init(&fixture);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_PROBE, "server", 404), CW_ORDER_UNANSWERED);
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 204), CW_ORDER_UNANSWERED);
    fixture.field = "X-Not-Executed: 1";
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 503), CW_ORDER_REFUSED);
}
END_TEST

START_TEST(a_connection_that_brought_a_page_carries_no_further_order)
{
    fixture_t fixture;

    init(&fixture);
    fixture.body = page;
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_UNANSWERED);
    fixture.body = "{}";
    ck_assert_int_eq(send_order(&fixture, CW_ORDER_GRANT, "server", 200), CW_ORDER_DONE);
    ck_assert_uint_eq(fixture.server.connections, 2);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("answers to orders");
    TCase *cases = tcase_create("orders");

    tcase_add_test(cases, the_end_of_a_former_incarnation_is_not_taken_for_that_of_the_next);
    tcase_add_test(cases, a_probe_that_meets_another_incarnation_ends_nothing_later);
    tcase_add_test(cases, a_fenced_grant_does_not_fence_the_next);
    tcase_add_test(cases, a_probes_answer_is_its_own);
    tcase_add_test(cases, a_grant_takes_the_connection_of_the_probe_before_it);
    tcase_add_test(cases, renewals_share_a_connection);
    tcase_add_test(cases, a_release_is_not_done_by_an_answer_that_hands_nothing_over);
    tcase_add_test(cases, a_page_is_no_answer_to_an_order_whatever_its_status);
    tcase_add_test(cases, a_status_that_answers_to_orders_do_not_have_shows_nothing);
    tcase_add_test(cases, a_connection_that_brought_a_page_carries_no_further_order);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
