/**
 * @file test_platform_reading.c
 * @brief Readings of the configuration that the adapter is asked for: repeated after a lost answer, given up when the
 * configuration has come from another node.
 *
 * The store is a listener that answers nothing until the test says so.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "loop_fixture.h"
#include "net/http_listener.h"
#include "router/adapter.h"

enum { WITHIN_MS = 400, TURNS = 20, PAUSE_US = 1000, REQUEST_BYTES_MAX = 65536 };

static uv_loop_t           loop;
static cw_http_listener_t *listener;
static void               *adapter;
static cw_store_port_t    *port;
static size_t              readings; /* readings that are not from a copy */
static size_t              ended;    /* calls whose connection the adapter has closed */
static bool                answers;
static uint64_t            version_seen;

static void answer(cw_http_exchange_t *exchange)
{
    static const char  text[] = "{\"items\":[{\"metadata\":{\"name\":\"main\",\"revision\":3},\"spec\":{\"version\":7,"
                                "\"routes\":[],\"services\":[]}}],\"has-more\":false,\"at\":5}";
    cw_http_outbound_t outbound = {.status = 200, .body = text, .body_length = sizeof(text) - 1, .retry_after_s = -1};

    cw_http_exchange_answer(exchange, &outbound);
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    (void)context;
    readings += strcmp(inbound->target, "/api/objects/config") == 0 ? 1 : 0;
    if (answers) {
        answer(exchange);
    }
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
    ended++;
}

static void on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    (void)context;
    ck_assert_msg(configuration != NULL, "%s", problem);
    version_seen = configuration->version;
    cw_configuration_release(configuration);
}

static void on_newest(void *context, uint64_t version, cw_time_us_t at)
{
    (void)context;
    (void)version;
    (void)at;
}

static void on_epoch(void *context, uint64_t epoch)
{
    (void)context;
    (void)epoch;
}

static void on_answered(void *context, bool is_answered, cw_time_us_t asked_at)
{
    (void)asked_at;
    (void)context;
    (void)is_answered;
}

static void on_servers(void *context, const cw_servers_read_t *read)
{
    (void)context;
    cw_server_list_release(read->list);
}

static bool has_read(void *context)
{
    return readings >= *(const size_t *)context;
}

static bool has_version(void *context)
{
    return version_seen == *(const uint64_t *)context;
}

static void run_for(int64_t milliseconds)
{
    uint64_t end = uv_hrtime() + (uint64_t)milliseconds * 1000000;

    while (uv_hrtime() < end) {
        cw_test_run_some(&loop, 1);
        usleep(PAUSE_US);
    }
}

/* Starts the adapter; its first reading, from a copy, is answered. */
static void begin(void)
{
    static const uint64_t      first = 7;
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(30),
                                         .idle_timeout = CW_SECONDS(30)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_cancelled};
    cw_store_callbacks_t       readers = {.configuration = on_configuration,
                                          .configuration_within = CW_MS(WITHIN_MS),
                                          .configuration_newest = on_newest,
                                          .epoch = on_epoch,
                                          .answered = on_answered,
                                          .servers = on_servers};
    char                       address[32];

    uv_loop_init(&loop);
    ck_assert_int_eq(cw_http_listener_create(&listener, &loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(listener));
    answers = true;
    adapter = cw_adapter.create(&loop, address, &readers);
    port = cw_adapter.store(adapter);
    cw_test_run_until(&loop, has_version, (void *)&first);
    answers = false;
    readings = 0;
    ended = 0;
}

/* Guards against: a node reads the configuration since it is overdue, the answer is lost, and it reads again only when
 * the configuration is overdue once more. */
START_TEST(a_reading_whose_answer_is_lost_is_repeated)
{
    size_t two = 2;
    size_t three = 3;

    begin();
    port->read_configuration(port->context);
    cw_test_run_until(&loop, has_read, &two);
    answers = true;
    cw_test_run_until(&loop, has_read, &three);
    run_for(2 * WITHIN_MS);
    ck_assert_uint_eq(readings, 3); /* an answered reading is not repeated */
    cw_adapter.close(adapter);
}
END_TEST

/* Guards against: a small node parses a large configuration, which takes it most of a second, although it has got it
 * from another node meanwhile. */
START_TEST(a_reading_is_given_up_when_the_configuration_has_come_from_a_node)
{
    size_t one = 1;

    begin();
    port->read_configuration(port->context);
    cw_test_run_until(&loop, has_read, &one);
    port->forget_configuration_reading(port->context);
    cw_test_run_some(&loop, TURNS); /* long before the reading would be given up for its time */
    ck_assert_uint_eq(ended, 1);
    run_for(2 * WITHIN_MS);
    ck_assert_uint_eq(readings, 1);
    cw_adapter.close(adapter);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("platform_reading");
    TCase *cases = tcase_create("platform_reading");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_reading_whose_answer_is_lost_is_repeated);
    tcase_add_test(cases, a_reading_is_given_up_when_the_configuration_has_come_from_a_node);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
