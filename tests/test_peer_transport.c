/**
 * @file test_peer_transport.c
 * @brief Peer transport: order, large and malformed frames, loss and reconnection.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/adapters.h"
#include "common/event_wait.h"
#include "daemon/peer_internal.h"

enum { NODE_A = 1, NODE_B = 2, LARGE_BYTES = 20 * 1024 * 1024, MANY = 2000 };

typedef struct end {
    cw_peer_transport_t *transport;
    size_t               received;
    bool                 in_order;
    uint64_t             last_sequence;
    size_t               largest;
    size_t               lost;
    cw_node_id_t         lost_node;
} end_t;

static uv_loop_t loop;
static end_t     end_a;
static end_t     end_b;

static void on_received(void *context, const Cw__Envelope *envelope)
{
    end_t *end = context;

    end->received++;
    if (envelope->body_case == CW__ENVELOPE__BODY_HEARTBEAT) {
        end->in_order = end->in_order && envelope->heartbeat->sequence == end->last_sequence + 1;
        end->last_sequence = envelope->heartbeat->sequence;
    }
    if (envelope->body_case == CW__ENVELOPE__BODY_FORWARD_REQUEST &&
        envelope->forward_request->body.len > end->largest) {
        end->largest = envelope->forward_request->body.len;
    }
}

static void on_lost(void *context, cw_node_id_t node)
{
    end_t *end = context;

    end->lost++;
    end->lost_node = node;
}

static void open_end(end_t *end)
{
    cw_peer_callbacks_t callbacks = {end, on_received, on_lost};

    memset(end, 0, sizeof(*end));
    end->in_order = true;
    ck_assert_int_eq(cw_peer_transport_create(&end->transport, &loop, "127.0.0.1", 0, &callbacks), 0);
}

static void setup(void)
{
    uv_loop_init(&loop);
    open_end(&end_a);
    open_end(&end_b);
    cw_peer_transport_learn(end_a.transport, NODE_B, "127.0.0.1", cw_peer_transport_port(end_b.transport));
}

static void teardown(void)
{
    cw_peer_transport_free(end_a.transport);
    cw_peer_transport_free(end_b.transport);
    ck_assert(cw_event_drain(&loop));
}

static void send_heartbeat(uint64_t sequence)
{
    Cw__Heartbeat heartbeat = CW__HEARTBEAT__INIT;
    Cw__Envelope  envelope = CW__ENVELOPE__INIT;

    heartbeat.sequence = sequence;
    envelope.from = NODE_A;
    envelope.to = NODE_B;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    cw_peer_transport_send(end_a.transport, NODE_B, &envelope);
}

static void send_large(size_t length)
{
    Cw__ForwardRequest request = CW__FORWARD_REQUEST__INIT;
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;

    request.body.data = calloc(1, length);
    request.body.len = length;
    envelope.from = NODE_A;
    envelope.body_case = CW__ENVELOPE__BODY_FORWARD_REQUEST;
    envelope.forward_request = &request;
    cw_peer_transport_send(end_a.transport, NODE_B, &envelope);
    free(request.body.data);
}

static bool many_received(void *context)
{
    return ((end_t *)context)->received >= MANY;
}

static bool one_received(void *context)
{
    return ((end_t *)context)->received >= 1;
}

static bool second_heartbeat_received(void *context)
{
    return ((end_t *)context)->last_sequence == 2;
}

static bool is_written(void *context)
{
    return !((cw_peer_t *)context)->connection->write_active;
}

static bool is_lost(void *context)
{
    return ((end_t *)context)->lost >= 1;
}

static bool has_ended(void *context)
{
    return ((cw_raw_client_t *)context)->ended;
}

START_TEST(test_messages_arrive_once_and_in_order)
{
    uint64_t sequence;

    for (sequence = 1; sequence <= MANY; sequence++) {
        send_heartbeat(sequence);
    }
    ck_assert(cw_event_wait(&loop, many_received, &end_b));
    ck_assert_uint_eq(end_b.received, MANY);
    ck_assert(end_b.in_order);
    ck_assert_uint_eq(end_a.lost, 0);
}
END_TEST

START_TEST(test_large_frame_is_whole)
{
    send_large(LARGE_BYTES);
    ck_assert(cw_event_wait(&loop, one_received, &end_b));
    ck_assert_uint_eq(end_b.largest, LARGE_BYTES);
}
END_TEST

/* Behind a large frame that waits for its connection the queue is full: later messages are dropped, not kept. */
START_TEST(test_full_queue_drops)
{
    send_large(LARGE_BYTES);
    send_heartbeat(1);
    ck_assert(cw_event_wait(&loop, one_received, &end_b));
    send_heartbeat(2);
    ck_assert(cw_event_wait(&loop, second_heartbeat_received, &end_b));
    ck_assert_uint_eq(end_b.received, 2);
}
END_TEST

START_TEST(test_refused_connection_is_reported)
{
    static uv_tcp_t    holder;
    struct sockaddr_in address;
    int                length = sizeof(address);

    uv_tcp_init(&loop, &holder);
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&holder, (struct sockaddr *)&address, 0);
    uv_tcp_getsockname(&holder, (struct sockaddr *)&address, &length);
    cw_peer_transport_learn(end_a.transport, NODE_B, "127.0.0.1", ntohs(address.sin_port));
    send_heartbeat(1);
    ck_assert_uint_eq(end_a.lost, 0);
    ck_assert(cw_event_wait(&loop, is_lost, &end_a));
    ck_assert_uint_eq(end_a.lost_node, NODE_B);
    uv_close((uv_handle_t *)&holder, NULL);
}
END_TEST

/* The other node ends and comes back at another port: the loss is reported, later messages reach the new process. */
START_TEST(test_restarted_peer_is_reached_again)
{
    send_heartbeat(1);
    ck_assert(cw_event_wait(&loop, one_received, &end_b));
    cw_peer_transport_free(end_b.transport);
    ck_assert(cw_event_wait(&loop, is_lost, &end_a));
    open_end(&end_b);
    cw_peer_transport_learn(end_a.transport, NODE_B, "127.0.0.1", cw_peer_transport_port(end_b.transport));
    send_heartbeat(1);
    ck_assert(cw_event_wait(&loop, one_received, &end_b));
    ck_assert_uint_eq(end_a.lost, 1);
}
END_TEST

/* A connection that is not used is closed by its sender without a report, and opened again on demand. */
START_TEST(test_idle_connection_is_closed)
{
    cw_peer_t *peer = end_a.transport->peers;

    send_heartbeat(1);
    ck_assert(cw_event_wait(&loop, one_received, &end_b));
    ck_assert(cw_event_wait(&loop, is_written, peer));
    cw_peer_outbound_close_idle(peer, peer->last_used_ms + CW_PEER_IDLE_MS - 1);
    ck_assert_int_eq(peer->state, CW_PEER_CONNECTED);
    cw_peer_outbound_close_idle(peer, peer->last_used_ms + CW_PEER_IDLE_MS);
    ck_assert_int_eq(peer->state, CW_PEER_IDLE);
    send_heartbeat(2);
    ck_assert(cw_event_wait(&loop, second_heartbeat_received, &end_b));
    ck_assert_uint_eq(end_a.lost, 0);
}
END_TEST

/* Rows: too large a length, no length, bytes that are no envelope, an envelope that names no sender. */
START_TEST(test_malformed_frame_closes_connection)
{
    static const struct {
        const char *bytes;
        size_t      length;
    } rows[] = {{"\x7f\xff\xff\xff", 4}, {"\0\0\0\0", 4}, {"\0\0\0\3\xff\xff\xff", 7}, {"\0\0\0\2\x18\x01", 6}};
    static cw_raw_client_t client;

    cw_raw_client_connect(&client, &loop, cw_peer_transport_port(end_b.transport));
    cw_raw_client_send(&client, rows[_i].bytes, rows[_i].length);
    ck_assert(cw_event_wait(&loop, has_ended, &client));
    ck_assert_uint_eq(end_b.received, 0);
    cw_raw_client_close(&client);
}
END_TEST

/* A connection belongs to the node that its first frame names. */
START_TEST(test_second_sender_on_one_connection_is_refused)
{
    static const char      first[] = "\0\0\0\2\x08\x01";
    static const char      second[] = "\0\0\0\2\x08\x02";
    static cw_raw_client_t client;

    cw_raw_client_connect(&client, &loop, cw_peer_transport_port(end_b.transport));
    cw_raw_client_send(&client, first, sizeof(first) - 1);
    cw_raw_client_send(&client, second, sizeof(second) - 1);
    ck_assert(cw_event_wait(&loop, has_ended, &client));
    ck_assert_uint_eq(end_b.received, 1);
    cw_raw_client_close(&client);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("peer_transport");
    TCase   *group = tcase_create("transport");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(group, setup, teardown);
    tcase_set_timeout(group, 60);
    tcase_add_test(group, test_messages_arrive_once_and_in_order);
    tcase_add_test(group, test_large_frame_is_whole);
    tcase_add_test(group, test_full_queue_drops);
    tcase_add_test(group, test_refused_connection_is_reported);
    tcase_add_test(group, test_restarted_peer_is_reached_again);
    tcase_add_test(group, test_idle_connection_is_closed);
    tcase_add_loop_test(group, test_malformed_frame_closes_connection, 0, 4);
    tcase_add_test(group, test_second_sender_on_one_connection_is_refused);
    suite_add_tcase(suite, group);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}
