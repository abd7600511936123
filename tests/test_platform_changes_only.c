/**
 * @file test_platform_changes_only.c
 * @brief A reading of the changes alone never becomes one of the whole list: all nodes of a large fleet make it at the
 * same time.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "net/http_listener.h"
#include "router/adapter.h"

enum { REQUEST_BYTES_MAX = 65536, STATUS_GONE = 410 };

#define SERVER(name)                                                                                                   \
    "{\"metadata\":{\"name\":\"" name "\",\"revision\":3},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\","    \
    "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"sequence\":1,\"cold_ms\":0}}"
#define PAGE(item, has_more) "{\"items\":[" item "],\"has-more\":" has_more ",\"at\":5}"

static uv_loop_t           loop;
static cw_http_listener_t *listener;
static cw_store_port_t    *port;
static int                 watch_status; /* answer to a watch of the servers; 0: none */
static size_t              pages;
static bool                is_read;
static cw_servers_read_t   result;

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_http_outbound_t outbound = {.status = 200, .retry_after_s = -1};

    (void)context;
    outbound.body = "{\"items\":[],\"has-more\":false,\"at\":5}";
    if (strstr(inbound->target, "servers?watch=") != NULL) {
        if (watch_status == 0) {
            return;
        }
        outbound.status = watch_status;
    } else if (strstr(inbound->target, "/servers") != NULL) {
        pages++;
        outbound.body =
            strstr(inbound->target, "after=") == NULL ? PAGE(SERVER("i-a"), "true") : PAGE(SERVER("i-z"), "false");
    }
    outbound.body_length = strlen(outbound.body);
    cw_http_exchange_answer(exchange, &outbound);
}

static void on_cancelled(void *context, cw_http_exchange_t *exchange)
{
    (void)context;
    (void)exchange;
}

static void on_configuration(void *context, cw_configuration_t *configuration, const char *problem)
{
    (void)context;
    (void)problem;
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
    result = *read;
    is_read = true;
}

static void read_list(cw_list_read_t how)
{
    is_read = false;
    pages = 0;
    port->read_servers(port->context, how);
    cw_test_run_until_set(&loop, &is_read);
}

/* Starts the adapter, and reads the list, which has two pages. */
static void begin(void)
{
    static cw_store_callbacks_t readers;
    cw_http_limits_t            limits = {.header_bytes = REQUEST_BYTES_MAX,
                                          .body_bytes = REQUEST_BYTES_MAX,
                                          .header_timeout = CW_SECONDS(30),
                                          .idle_timeout = CW_SECONDS(30)};
    cw_http_listener_handler_t  handler = {NULL, on_request, on_cancelled};
    char                        address[32];

    readers = (cw_store_callbacks_t){.configuration = on_configuration,
                                     .configuration_within = CW_MS(400),
                                     .configuration_newest = on_newest,
                                     .epoch = on_epoch,
                                     .answered = on_answered,
                                     .servers = on_servers};
    uv_loop_init(&loop);
    ck_assert_int_eq(cw_http_listener_create(&listener, &loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(listener));
    port = cw_adapter.store(cw_adapter.create(&loop, address, &readers));
    read_list(CW_LIST_READ);
    ck_assert_uint_eq(pages, 2);
    cw_server_list_release(result.list);
}

START_TEST(a_forgotten_history_is_reported)
{
    begin();
    watch_status = STATUS_GONE;
    read_list(CW_LIST_READ_CHANGES);
    ck_assert_ptr_null(result.list);
    ck_assert(result.needs_whole);
    ck_assert_uint_eq(pages, 0);
    read_list(CW_LIST_READ);
    ck_assert_uint_eq(pages, 2);
}
END_TEST

START_TEST(a_store_that_does_not_answer_is_reported)
{
    begin();
    watch_status = 0;
    read_list(CW_LIST_READ_CHANGES);
    ck_assert_ptr_null(result.list);
    ck_assert(!result.needs_whole);
    ck_assert_uint_eq(pages, 0);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("changes only");
    TCase *cases = tcase_create("changes only");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_forgotten_history_is_reported);
    tcase_add_test(cases, a_store_that_does_not_answer_is_reported);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
