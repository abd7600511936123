/**
 * @file test_http_upload.c
 * @brief Large bodies of callers, as they come in.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listener_world.h"
#include "loop_fixture.h"
#include "net/http_listener_internal.h"

enum { BODY_BYTES = 50386, BODY_MOST = 64 * 1024 };

static const cw_http_limits_t limits = {.header_bytes = 16 * 1024,
                                        .body_bytes = BODY_MOST,
                                        .header_timeout = CW_SECONDS(3),
                                        .idle_timeout = CW_SECONDS(15)};

static const char upload_head[] = "POST /inspections/1acacb?page=35&sort=new HTTP/1.1\r\n"
                                  "Host: intake.example\r\n"
                                  "User-Agent: sdk-client/1.9.3\r\n"
                                  "Accept: */*\r\n"
                                  "Accept-Encoding: identity\r\n"
                                  "X-Request-Id: 65e06fd77c671d8a\r\n"
                                  "X-Deadline-Ms: 7030\r\n"
                                  "X-Shard-Key: 53480\r\n"
                                  "Content-Type: application/octet-stream\r\n"
                                  "Content-Length: 50386\r\n\r\n";

/* The whole request as one piece of memory; the caller frees it. */
static char *upload_bytes(size_t *length)
{
    size_t head = strlen(upload_head);
    char  *bytes = malloc(head + BODY_BYTES);

    ck_assert_ptr_nonnull(bytes);
    memcpy(bytes, upload_head, head);
    memset(bytes + head, 'b', BODY_BYTES);
    bytes[head] = 'a';
    bytes[head + BODY_BYTES - 1] = 'z';
    *length = head + BODY_BYTES;
    return bytes;
}

/* Its first piece fills the listener's buffer to the last byte, and nothing else is there yet: libuv then reports an
 * empty read. */
START_TEST(a_body_that_pauses_where_a_read_ends_is_read_whole)
{
    cw_listener_world_t world;
    size_t              length;
    char               *bytes = upload_bytes(&length);

    cw_world_init(&world, &limits);
    cw_world_connect(&world);
    cw_world_send(&world, bytes, CW_LISTENER_CHUNK);
    cw_test_run_some(&world.loop, 50);
    ck_assert_uint_eq(world.count, 0);
    ck_assert_str_eq(cw_world_received(&world), "");
    cw_world_send(&world, bytes + CW_LISTENER_CHUNK, length - CW_LISTENER_CHUNK);
    cw_world_await_requests(&world, 1);
    ck_assert_uint_eq(world.requests[0].body_length, BODY_BYTES);
    ck_assert_int_eq(world.requests[0].body_first, 'a');
    ck_assert_int_eq(world.requests[0].body_last, 'z');
    cw_world_answer(&world, 0, "stored");
    cw_world_await_text(&world, "stored");
    free(bytes);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("http_upload");
    TCase *cases = tcase_create("http_upload");

    tcase_add_test(cases, a_body_that_pauses_where_a_read_ends_is_read_whole);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
