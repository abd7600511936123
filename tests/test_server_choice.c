/**
 * @file test_server_choice.c
 * @brief Choice of a server for a request: servers that failed, and load samples of servers.
 */
#include <string.h>

#include "balance/server_pool.h"
#include "loop_fixture.h"
#include "platform_internal.h"

static const cw_time_us_t         start = CW_SECONDS(50);
static const cw_choice_settings_t settings = {.zone_penalty = 0.7};

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* Creates a pool of servers a, b and c with two slots each. */
static cw_server_pool_t *new_pool(void)
{
    static const char *const ids[] = {"a", "b", "c"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);
    cw_server_list_t        *list = cw_server_list_create();
    size_t                   index;

    for (index = 0; index < 3; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        entry->id = strdup(ids[index]);
        entry->service = strdup("docks");
        entry->address = strdup(ids[index]);
        entry->zone = strdup("z1");
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    cw_server_pool_update(pool, list, start);
    cw_server_list_release(list);
    return pool;
}

static const char *chosen(cw_server_pool_t *pool, const char *except, cw_time_us_t now, bool *full)
{
    const cw_server_t *other = except == NULL ? NULL : cw_server_pool_find(pool, except);
    const cw_server_t *server = cw_server_pool_choose(pool, "docks", &settings, other, now, full);

    return server == NULL ? "none" : server->id;
}

static void fill(cw_server_pool_t *pool, const char *id)
{
    cw_server_t *server = cw_server_pool_find(pool, id);

    while (server->own < server->capacity) {
        cw_server_pool_begin_request(server, start);
    }
}

START_TEST(second_attempt_waits_for_another_server)
{
    cw_server_pool_t *pool = new_pool();
    bool              full;

    fill(pool, "b");
    fill(pool, "c");
    ck_assert_str_eq(chosen(pool, NULL, start, &full), "a");
    ck_assert_str_eq(chosen(pool, "a", start, &full), "none");
    ck_assert(full);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(second_attempt_uses_the_same_server_if_there_is_no_other)
{
    cw_server_pool_t *pool = new_pool();
    cw_server_list_t *list = cw_server_list_create();
    bool              full;

    cw_server_list_put(
        list, 0, &(cw_server_entry_t){.id = "a", .service = "docks", .address = "a", .zone = "z1", .capacity = 2});
    cw_server_pool_update(pool, list, start);
    ck_assert_str_eq(chosen(pool, "a", start, &full), "a");
    cw_server_list_release(list);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(server_that_fails_repeatedly_is_avoided_even_if_others_are_full)
{
    cw_server_pool_t *pool = new_pool();
    cw_server_t      *server = cw_server_pool_find(pool, "a");
    bool              full;

    fill(pool, "b");
    fill(pool, "c");
    cw_server_pool_record_fault(server, start);
    ck_assert_str_eq(chosen(pool, NULL, start, &full),
                     "a"); /* one fault: its connection may have been closed as idle */
    cw_server_pool_record_fault(server, start);
    ck_assert_str_eq(chosen(pool, NULL, start, &full), "none");
    ck_assert(full);
    /* it is no longer avoided: a single request tests whether it answers again */
    ck_assert_str_eq(chosen(pool, NULL, start + CW_SECONDS(3), &full), "a");
    cw_server_pool_begin_request(server, start + CW_SECONDS(3));
    ck_assert_str_eq(chosen(pool, NULL, start + CW_SECONDS(3), &full), "none");
    cw_server_pool_record_served(server, CW_MS(20), CW_MS(20), start + CW_SECONDS(3));
    ck_assert_str_eq(chosen(pool, NULL, start + CW_SECONDS(3), &full), "a");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(one_of_the_servers_is_chosen_when_all_have_failed)
{
    cw_server_pool_t *pool = new_pool();
    const char       *ids[] = {"a", "b", "c"};
    bool              full;
    int               index;

    for (index = 0; index < 6; index++) {
        cw_server_pool_record_fault(cw_server_pool_find(pool, ids[index % 3]), start);
    }
    ck_assert_str_ne(chosen(pool, NULL, start, &full), "none");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(load_sample_counts_until_it_expires)
{
    cw_server_pool_t *pool = new_pool();
    cw_server_load_t  load = {.running = 2, .waiting = 3, .slots = 2};
    bool              full;

    fill(pool, "b");
    fill(pool, "c");
    cw_server_pool_record_load(cw_server_pool_find(pool, "a"), &load, start);
    ck_assert_str_eq(chosen(pool, NULL, start + CW_MS(50), &full), "none");
    ck_assert_str_eq(chosen(pool, NULL, start + CW_SECONDS(1), &full), "a");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(decodes_load_samples_and_rejects_malformed_ones)
{
    static const char *const wrong[] = {"",       "3",           "3,0",    "a,0,8",        "3,0,0", "3,,8",
                                        "3,0,8,", "3,0,8,100,1", "-3,0,8", "99999999,0,8", " 3,0,8"};
    cw_server_load_t         load = {0};
    size_t                   index;

    ck_assert(cw_platform_decode_load("3,1,8", &load));
    ck_assert_uint_eq(load.running, 3);
    ck_assert_uint_eq(load.waiting, 1);
    ck_assert_uint_eq(load.slots, 8);
    ck_assert_uint_eq(load.work_percent, 0);
    ck_assert(cw_platform_decode_load("2,0,3,300", &load));
    ck_assert_uint_eq(load.work_percent, 300);
    for (index = 0; index < sizeof(wrong) / sizeof(wrong[0]); index++) {
        ck_assert_msg(!cw_platform_decode_load(wrong[index], &load), "%s", wrong[index]);
    }
    ck_assert_uint_eq(load.work_percent, 300);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server choice");
    TCase *cases = tcase_create("choice");

    tcase_add_test(cases, second_attempt_waits_for_another_server);
    tcase_add_test(cases, second_attempt_uses_the_same_server_if_there_is_no_other);
    tcase_add_test(cases, server_that_fails_repeatedly_is_avoided_even_if_others_are_full);
    tcase_add_test(cases, one_of_the_servers_is_chosen_when_all_have_failed);
    tcase_add_test(cases, load_sample_counts_until_it_expires);
    tcase_add_test(cases, decodes_load_samples_and_rejects_malformed_ones);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
