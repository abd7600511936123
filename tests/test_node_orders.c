/**
 * @file test_node_orders.c
 * @brief Tests of orders between the assigner and the adapter: what the sender decides right before an order leaves,
 * and whose results count.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "node_fixture.h"

/* Orders of an earlier assigner whose answers come when another one stands at its address in memory. */
START_TEST(answers_to_orders_of_an_earlier_term_are_ignored)
{
    node_fixture_t        *node = node_fixture_create();
    node_fixture_order_t   earlier[4];
    const cw_range_list_t *ranges;
    size_t                 index;

    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead_unanswered(node);
    ck_assert_uint_eq(node->order_count, 4);
    memcpy(earlier, node->orders, sizeof(earlier));
    node->order_count = 0;
    cw_router_free_assigners(&node->router);
    node->router.leadership.lock.term++;
    node_fixture_lead_unanswered(node);
    ck_assert_uint_eq(node->order_count, 4);
    for (index = 0; index < 4; index++) {
        earlier[index].callbacks.done(earlier[index].context, earlier[index].order.id, CW_ORDER_DONE, NULL);
    }
    ranges = cw_assigner_ranges(node->router.assignments[0].assigner);
    ck_assert_uint_eq(ranges->count, 4);
    for (index = 0; index < 4; index++) {
        ck_assert_int_eq(ranges->items[index].phase, CW_RANGE_GRANTING);
    }
    node_fixture_free(node);
}
END_TEST

static void store_result(void *context, uint64_t order, cw_order_result_t result, const char *handover)
{
    cw_order_result_t *taken = context;

    (void)order;
    (void)handover;
    *taken = result;
}

static bool always(void *context)
{
    (void)context;
    return true;
}

START_TEST(order_to_an_invalid_address_is_not_sent)
{
    static const cw_order_callbacks_t callbacks = {.may_be_sent = always, .done = store_result};
    static const char *const          addresses[] = {"", "10.0.0.1", "host:80", "10.0.0.1.2:80"};
    uv_loop_t                         loop;
    void                             *platform;
    size_t                            index;

    uv_loop_init(&loop);
    platform = cw_adapter.create(&loop, "127.0.0.1:1", NULL);
    for (index = 0; index < sizeof(addresses) / sizeof(addresses[0]); index++) {
        cw_order_t        order = {.id = 1, .kind = CW_ORDER_GRANT, .server = "i-a", .timeout = CW_MS(100)};
        cw_order_result_t result = CW_ORDER_DONE;

        snprintf(order.address, sizeof(order.address), "%s", addresses[index]);
        cw_adapter.send_order(platform, &order, &callbacks, &result);
        ck_assert_int_eq(result, CW_ORDER_NOT_SENT);
    }
}
END_TEST

/* ---- authority when an order leaves ---- */

static node_fixture_t *create_leading(void)
{
    node_fixture_t *node = node_fixture_create();

    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead_unanswered(node);
    node_fixture_answer_orders(node, CW_ORDER_WITHDRAWN); /* first grants may leave for a short time only */
    node_fixture_tick(node, CW_TICK_MS);
    node_fixture_answer_probes(node);
    ck_assert_uint_eq(node->order_count, 4);
    return node;
}

static bool may_be_sent(const node_fixture_order_t *order)
{
    return order->callbacks.may_be_sent(order->context);
}

/* Guards against grants that leave when their connection is open, after the leader's authority has ended: another
 * leader may have granted the keys meanwhile. */
START_TEST(an_order_does_not_leave_after_the_authority_has_ended)
{
    node_fixture_t      *node = create_leading();
    node_fixture_order_t order = node->orders[0];

    ck_assert(may_be_sent(&order));
    node_fixture_tick(node, node->router.settings.leader_hold / 1000); /* the store answers no renewal of the lock */
    ck_assert(!may_be_sent(&order));
    node_fixture_free(node);
}
END_TEST

/* Guards against a grant that arrives later than its hold is counted from: the process stood still, with authority. */
START_TEST(an_order_does_not_leave_after_its_timeout)
{
    node_fixture_t      *node = create_leading();
    node_fixture_order_t order = node->orders[0];

    node_fixture_tick(node, order.order.timeout / 1000 + CW_TICK_MS);
    ck_assert(cw_router_has_authority(&node->router, cw_router_now(&node->router)));
    ck_assert(!may_be_sent(&order));
    node_fixture_free(node);
}
END_TEST

START_TEST(an_order_of_an_earlier_leadership_does_not_leave)
{
    node_fixture_t      *node = create_leading();
    node_fixture_order_t order = node->orders[0];

    cw_router_free_assigners(&node->router);
    ck_assert(!may_be_sent(&order));
    node_fixture_free(node);
}
END_TEST

START_TEST(a_withdrawn_grant_gives_no_hold_and_says_nothing_about_the_server)
{
    node_fixture_t   *node = create_leading();
    const cw_range_t *range;

    node_fixture_answer_orders(node, CW_ORDER_WITHDRAWN);
    range = &cw_assigner_ranges(node->router.assignments[0].assigner)->items[0];
    ck_assert_int_eq(range->hold_until, 0);
    ck_assert_int_eq(range->failing_since, 0);
    node_fixture_free(node);
}
END_TEST

/* ---- lists that are older than the record ---- */

/* Record of an earlier leader that gave all keys to a server which has registered after the node read its list. */
static json_t *record_of_newcomer(void)
{
    return json_pack("{s:i, s:i, s:s, s:i, s:i, s:b, s:[[i, i, s, s, i]]}", "term", 1, "write", 3, "writer", "1",
                     "last_fence", 9, "epoch", 1, "waiting", 0, "ranges", 0, CW_KEY_LAST, "i-newcomer", "10.0.7.7:80",
                     9);
}

static const char *first_owner(const node_fixture_t *node)
{
    return cw_assigner_ranges(node->router.assignments[0].assigner)->items[0].owner.id;
}

static void pass_a_second(node_fixture_t *node)
{
    int tick;

    for (tick = 0; tick < 1000 / CW_TICK_MS; tick++) {
        node_fixture_answer_store(node);
        node_fixture_answer_orders(node, CW_ORDER_DONE);
        node_fixture_tick(node, CW_TICK_MS);
    }
}

/* Guards against keys that are taken from a living owner, since the new leader's list is older than the record and
 * lacks it. */
START_TEST(an_owner_is_not_missing_in_a_list_that_is_older_than_the_record)
{
    node_fixture_t *node = node_fixture_create();
    uint32_t        reads;

    node->record = record_of_newcomer();
    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    reads = node->list_reads;
    node_fixture_lead_unanswered(node);
    node_fixture_read_servers(node, "s", 4,
                              "10.0.1.1:80"); /* asked for before the record was read: it proves nothing */
    pass_a_second(node);
    ck_assert_str_eq(first_owner(node), "i-newcomer");
    ck_assert_uint_gt(node->list_reads, reads);
    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80"); /* asked for afterwards: it is missing */
    pass_a_second(node);
    ck_assert_str_ne(first_owner(node), "i-newcomer");
    node_fixture_free(node);
}
END_TEST

/* The store answers calls about the lock and the record, but no reading of the list. */
START_TEST(an_owner_that_an_older_list_lacks_moves_if_no_later_list_can_be_read)
{
    node_fixture_t *node = node_fixture_create();
    int             second;

    node->record = record_of_newcomer();
    node_fixture_read_servers(node, "s", 4, "10.0.1.1:80");
    ck_assert(cw_router_apply_configuration(&node->router, node_fixture_configuration(1, "s"), "store"));
    node_fixture_lead_unanswered(node);
    for (second = 0; second < 4; second++) {
        pass_a_second(node);
    }
    ck_assert_str_ne(first_owner(node), "i-newcomer");
    node_fixture_free(node);
}
END_TEST

/* ---- the adapter ---- */

/** A server that counts what it receives. */
typedef struct receiver {
    uv_loop_t         loop;
    uv_tcp_t          listening;
    uv_tcp_t          connection;
    size_t            bytes;
    bool              is_done;
    cw_order_result_t result;
} receiver_t;

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[4096];

    (void)handle;
    (void)suggested;
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    receiver_t *receiver = stream->data;

    (void)buffer;
    receiver->bytes += count > 0 ? (size_t)count : 0;
}

static void on_connection(uv_stream_t *listening, int status)
{
    receiver_t *receiver = listening->data;

    ck_assert_int_eq(status, 0);
    uv_tcp_init(&receiver->loop, &receiver->connection);
    receiver->connection.data = receiver;
    ck_assert_int_eq(uv_accept(listening, (uv_stream_t *)&receiver->connection), 0);
    uv_read_start((uv_stream_t *)&receiver->connection, on_allocate, on_read);
}

/* Starts the server. Writes its address. */
static void start_receiver(receiver_t *receiver, char address[CW_SERVER_ADDRESS_MAX])
{
    struct sockaddr_in any;
    struct sockaddr_in bound;
    int                length = sizeof(bound);

    memset(receiver, 0, sizeof(*receiver));
    uv_loop_init(&receiver->loop);
    uv_tcp_init(&receiver->loop, &receiver->listening);
    receiver->listening.data = receiver;
    uv_ip4_addr("127.0.0.1", 0, &any);
    ck_assert_int_eq(uv_tcp_bind(&receiver->listening, (const struct sockaddr *)&any, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&receiver->listening, 4, on_connection), 0);
    ck_assert_int_eq(uv_tcp_getsockname(&receiver->listening, (struct sockaddr *)&bound, &length), 0);
    snprintf(address, CW_SERVER_ADDRESS_MAX, "127.0.0.1:%d", ntohs(bound.sin_port));
}

static bool never(void *context)
{
    (void)context;
    return false;
}

static void record_result(void *context, uint64_t order, cw_order_result_t result, const char *handover)
{
    receiver_t *receiver = context;

    (void)order;
    (void)handover;
    receiver->result = result;
    receiver->is_done = true;
}

/* The same in the adapter: not a byte of such an order reaches the server. */
START_TEST(a_withdrawn_order_is_not_sent)
{
    static const cw_order_callbacks_t callbacks = {.may_be_sent = never, .done = record_result};
    static receiver_t                 receiver;
    cw_order_t order = {.id = 1, .kind = CW_ORDER_GRANT, .server = "i-a", .timeout = CW_SECONDS(5)};
    void      *platform;

    start_receiver(&receiver, order.address);
    platform = cw_adapter.create(&receiver.loop, "127.0.0.1:1", NULL);
    cw_adapter.send_order(platform, &order, &callbacks, &receiver);
    cw_test_run_until_set(&receiver.loop, &receiver.is_done);
    cw_test_run_some(&receiver.loop, 10);
    ck_assert_int_eq(receiver.result, CW_ORDER_WITHDRAWN);
    ck_assert_uint_eq(receiver.bytes, 0);
}
END_TEST

/* ---- answers that come twice ---- */

enum { ECHO_CONNECTIONS_MAX = 2 };

/** A server that answers the first order twice: the second time when another order comes, which it does not answer. */
typedef struct echo {
    uv_loop_t         loop;
    uv_tcp_t          listening;
    uv_tcp_t          connections[ECHO_CONNECTIONS_MAX];
    size_t            connection_count;
    int               orders;
    bool              is_done;
    cw_order_result_t result;
} echo_t;

static void on_echo_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    static char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    echo_t     *echo = stream->data;
    uv_buf_t    answer = uv_buf_init(text, sizeof(text) - 1);

    (void)buffer;
    if (count > 0) {
        echo->orders++;
        ck_assert_int_gt(uv_try_write((uv_stream_t *)&echo->connections[0], &answer, 1), 0);
    }
}

static void on_echo_connection(uv_stream_t *listening, int status)
{
    echo_t   *echo = listening->data;
    uv_tcp_t *connection = &echo->connections[echo->connection_count++];

    ck_assert_int_eq(status, 0);
    ck_assert_uint_le(echo->connection_count, ECHO_CONNECTIONS_MAX);
    uv_tcp_init(&echo->loop, connection);
    connection->data = echo;
    ck_assert_int_eq(uv_accept(listening, (uv_stream_t *)connection), 0);
    uv_read_start((uv_stream_t *)connection, on_allocate, on_echo_read);
}

static void record_echo(void *context, uint64_t order, cw_order_result_t result, const char *handover)
{
    echo_t *echo = context;

    (void)order;
    (void)handover;
    echo->result = result;
    echo->is_done = true;
}

/* Guards against OWNER: a server's second answer to a grant came in the place of its answer to a release, which counted
 * as done while the server still worked on the keys. */
START_TEST(an_extra_answer_to_a_grant_is_not_taken_for_the_answer_to_a_release)
{
    static const cw_order_callbacks_t callbacks = {.may_be_sent = always, .done = record_echo};
    static echo_t                     echo;
    struct sockaddr_in                any;
    struct sockaddr_in                bound;
    int                               length = sizeof(bound);
    cw_order_t                        order = {.id = 1, .kind = CW_ORDER_GRANT, .server = "i-a", .timeout = CW_MS(350)};
    void                             *platform;

    uv_loop_init(&echo.loop);
    uv_tcp_init(&echo.loop, &echo.listening);
    echo.listening.data = &echo;
    uv_ip4_addr("127.0.0.1", 0, &any);
    ck_assert_int_eq(uv_tcp_bind(&echo.listening, (const struct sockaddr *)&any, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&echo.listening, 4, on_echo_connection), 0);
    ck_assert_int_eq(uv_tcp_getsockname(&echo.listening, (struct sockaddr *)&bound, &length), 0);
    snprintf(order.address, sizeof(order.address), "127.0.0.1:%d", ntohs(bound.sin_port));
    platform = cw_adapter.create(&echo.loop, "127.0.0.1:1", NULL);
    cw_adapter.send_order(platform, &order, &callbacks, &echo);
    cw_test_run_until_set(&echo.loop, &echo.is_done);
    ck_assert_int_eq(echo.result, CW_ORDER_DONE);
    echo.is_done = false;
    order.id = 2;
    order.kind = CW_ORDER_RELEASE;
    cw_adapter.send_order(platform, &order, &callbacks, &echo);
    cw_test_run_until_set(&echo.loop, &echo.is_done);
    ck_assert_int_eq(echo.orders, 2);
    ck_assert_int_ne(echo.result, CW_ORDER_DONE); /* nothing says that the keys are released */
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("orders of a node");
    TCase *cases = tcase_create("orders of a node");

    tcase_add_test(cases, answers_to_orders_of_an_earlier_term_are_ignored);
    tcase_add_test(cases, order_to_an_invalid_address_is_not_sent);
    tcase_add_test(cases, an_order_does_not_leave_after_the_authority_has_ended);
    tcase_add_test(cases, an_order_does_not_leave_after_its_timeout);
    tcase_add_test(cases, an_order_of_an_earlier_leadership_does_not_leave);
    tcase_add_test(cases, a_withdrawn_grant_gives_no_hold_and_says_nothing_about_the_server);
    tcase_add_test(cases, an_owner_is_not_missing_in_a_list_that_is_older_than_the_record);
    tcase_add_test(cases, an_owner_that_an_older_list_lacks_moves_if_no_later_list_can_be_read);
    tcase_add_test(cases, a_withdrawn_order_is_not_sent);
    tcase_add_test(cases, an_extra_answer_to_a_grant_is_not_taken_for_the_answer_to_a_release);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
