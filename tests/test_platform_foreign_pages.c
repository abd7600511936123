/**
 * @file test_platform_foreign_pages.c
 * @brief The list of servers is read whole although a page of it holds nothing but entries of other writers that cannot
 * be read.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "net/http_listener.h"
#include "router/adapter.h"

enum { REQUEST_BYTES_MAX = 65536, PATHS_MAX = 8, PATH_BYTES = 512 };

/* Two pages with one server each, and a page between them that holds one foreign entry. */
#define SERVER(name)                                                                                                   \
    "{\"metadata\":{\"name\":\"" name "\",\"revision\":3},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\","    \
    "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"sequence\":1,\"cold_ms\":0}}"
#define PAGE(item, has_more) "{\"items\":[" item "],\"has-more\":" has_more ",\"at\":5}"

static uv_loop_t           loop;
static cw_http_listener_t *listener;
static void               *adapter;
static const char         *foreign; /* the page between */
static char                paths[PATHS_MAX][PATH_BYTES];
static size_t              path_count;
static bool                is_read;
static cw_server_list_t   *list;

static const char *page_for(const char *target)
{
    if (strstr(target, "after=") == NULL) {
        return PAGE(SERVER("i-a"), "true");
    }
    return strstr(target, "after=i-a") != NULL ? foreign : PAGE(SERVER("i-z"), "false");
}

static void on_request(void *context, cw_http_exchange_t *exchange, const cw_http_inbound_t *inbound)
{
    cw_http_outbound_t outbound = {.status = 200, .retry_after_s = -1};

    (void)context;
    if (strncmp(inbound->target, "/api/objects/servers", strlen("/api/objects/servers")) == 0) {
        ck_assert_uint_lt(path_count, PATHS_MAX);
        snprintf(paths[path_count++], PATH_BYTES, "%s", inbound->target);
        outbound.body = page_for(inbound->target);
    } else {
        outbound.body = "{\"items\":[],\"has-more\":false,\"at\":5}";
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
    list = read->list;
    is_read = true;
}

static void read_list(const char *page)
{
    cw_http_limits_t           limits = {.header_bytes = REQUEST_BYTES_MAX,
                                         .body_bytes = REQUEST_BYTES_MAX,
                                         .header_timeout = CW_SECONDS(30),
                                         .idle_timeout = CW_SECONDS(30)};
    cw_http_listener_handler_t handler = {NULL, on_request, on_cancelled};
    cw_store_callbacks_t       readers = {.configuration = on_configuration,
                                          .configuration_within = CW_MS(400),
                                          .configuration_newest = on_newest,
                                          .epoch = on_epoch,
                                          .answered = on_answered,
                                          .servers = on_servers};
    char                       address[32];
    cw_store_port_t           *port;

    foreign = page;
    path_count = 0;
    is_read = false;
    uv_loop_init(&loop);
    ck_assert_int_eq(cw_http_listener_create(&listener, &loop, "127.0.0.1", 0, &limits, &handler), 0);
    snprintf(address, sizeof(address), "127.0.0.1:%u", cw_http_listener_port(listener));
    adapter = cw_adapter.create(&loop, address, &readers);
    port = cw_adapter.store(adapter);
    port->read_servers(port->context, CW_LIST_READ);
    cw_test_run_until_set(&loop, &is_read);
}

static void check_whole(void)
{
    ck_assert_ptr_nonnull(list);
    ck_assert_uint_eq(list->count, 2);
    ck_assert_ptr_nonnull(cw_server_list_find(list, "i-a"));
    ck_assert_ptr_nonnull(cw_server_list_find(list, "i-z"));
    cw_server_list_release(list);
}

/* Guards against: one foreign entry that is alone on its page and cannot be read stops the reading of the list for
 * good, as in review/2 (DRAIN, RECOVER). */
START_TEST(a_page_with_one_entry_whose_content_is_no_text_is_passed)
{
    read_list(PAGE("{\"metadata\":{\"name\":\"i-foreign\",\"revision\":4},\"spec\":{\"note\":\"\xff\xfe\"}}", "true"));
    check_whole();
    ck_assert_ptr_nonnull(strstr(paths[2], "after=i-foreign"));
}
END_TEST

START_TEST(a_page_with_one_entry_whose_name_is_no_text_is_passed)
{
    read_list(PAGE("{\"metadata\":{\"name\":\"i-\xff\",\"revision\":4},\"spec\":{\"note\":1}}", "true"));
    check_whole();
    ck_assert_ptr_nonnull(strstr(paths[2], "after=i-%FF"));
}
END_TEST

/* Guards against: the name of a foreign entry breaks the path of the next call (review/REPORT.md). */
START_TEST(a_name_with_characters_that_a_path_may_not_hold_is_escaped)
{
    read_list(PAGE("{\"metadata\":{\"name\":\"i-b c&stale=1#%\",\"revision\":4},\"spec\":{\"note\":1}}", "true"));
    check_whole();
    ck_assert_ptr_nonnull(strstr(paths[2], "after=i-b%20c%26stale%3D1%23%25"));
}
END_TEST

START_TEST(a_page_with_one_entry_with_a_long_name_is_passed)
{
    static char name[1001];
    static char page[1200];

    memset(name, 'i', sizeof(name) - 1);
    snprintf(page, sizeof(page), PAGE("{\"metadata\":{\"name\":\"%s\",\"revision\":4},\"spec\":{}}", "true"), name);
    read_list(page);
    check_whole();
}
END_TEST

/* The entry names no server to use, although all that makes a server is there. */
START_TEST(an_entry_with_bytes_that_are_no_text_names_no_server)
{
    read_list(
        PAGE("{\"metadata\":{\"name\":\"i-b\",\"revision\":4,\"x\":\"\xff\"},\"spec\":{\"service\":\"s\",\"address\":"
             "\"10.0.0.2:80\",\"zone\":\"z\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"sequence\":1,"
             "\"cold_ms\":0}}",
             "true"));
    check_whole();
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("foreign pages");
    TCase *cases = tcase_create("foreign pages");

    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, a_page_with_one_entry_whose_content_is_no_text_is_passed);
    tcase_add_test(cases, a_page_with_one_entry_whose_name_is_no_text_is_passed);
    tcase_add_test(cases, a_name_with_characters_that_a_path_may_not_hold_is_escaped);
    tcase_add_test(cases, a_page_with_one_entry_with_a_long_name_is_passed);
    tcase_add_test(cases, an_entry_with_bytes_that_are_no_text_names_no_server);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
