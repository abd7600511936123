/**
 * @file test_server_leave.c
 * @brief A server that has said in an answer that it leaves gets nothing more, whatever the list says of it.
 */
#include <string.h>

#include "balance/leaving_servers.h"
#include "balance/server_pool.h"
#include "loop_fixture.h"

static const cw_time_us_t start = CW_SECONDS(10);
static const cw_time_us_t grace = CW_SECONDS(1);

static void on_dropped(void *context, cw_server_t *server)
{
    (void)context;
    (void)server;
}

/* A list with these servers, all of them ready. */
static void list(cw_server_pool_t *pool, const char *const *ids, size_t count, cw_time_us_t now)
{
    cw_server_list_t *servers = cw_server_list_create();
    size_t            index;

    for (index = 0; index < count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(servers);

        entry->id = strdup(ids[index]);
        entry->service = strdup("docks");
        entry->address = strdup(ids[index]);
        entry->zone = strdup("z1");
        entry->capacity = 2;
    }
    cw_server_list_seal(servers);
    cw_server_pool_update(pool, servers, now);
    cw_server_list_release(servers);
}

static const char *chosen(cw_server_pool_t *pool, cw_time_us_t now)
{
    cw_choice_settings_t settings = {.zone_penalty = 0.5};
    bool                 full;
    const cw_server_t   *server = cw_server_pool_choose(pool, "docks", &settings, NULL, now, &full);

    return server == NULL ? "none" : server->id;
}

static uint32_t hash_of(cw_server_pool_t *pool, const char *id)
{
    return cw_server_pool_find(pool, id)->hash;
}

START_TEST(a_list_that_says_ready_does_not_undo_a_leave)
{
    static const char *const ids[] = {"a@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, ids, 1, start);
    ck_assert_str_eq(chosen(pool, start), "a@1");
    ck_assert(cw_server_pool_note_leaving(pool, hash_of(pool, "a@1"), grace, start));
    ck_assert(!cw_server_pool_note_leaving(pool, hash_of(pool, "a@1"), grace, start + 1));
    ck_assert_str_eq(chosen(pool, start), "none");
    list(pool, ids, 1, start + CW_SECONDS(5));
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(5)), "none");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(an_entry_that_goes_and_comes_back_does_not_undo_a_leave)
{
    static const char *const ids[] = {"a@1", "b@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, ids, 2, start);
    (void)cw_server_pool_note_leaving(pool, hash_of(pool, "a@1"), grace, start);
    list(pool, ids + 1, 1, start + CW_SECONDS(1));
    ck_assert_ptr_null(cw_server_pool_find(pool, "a@1"));
    list(pool, ids, 2, start + CW_SECONDS(2));
    ck_assert(cw_server_pool_find(pool, "a@1")->draining);
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(2)), "b@1");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_later_incarnation_of_the_same_server_is_used)
{
    static const char *const former[] = {"a@1"};
    static const char *const later[] = {"a@2"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, former, 1, start);
    (void)cw_server_pool_note_leaving(pool, hash_of(pool, "a@1"), grace, start);
    list(pool, later, 1, start + CW_SECONDS(3));
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(3)), "a@2");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(an_owner_that_leaves_serves_its_keys_while_they_move_and_no_longer)
{
    static const char *const ids[] = {"a@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);
    const cw_server_t       *server;

    list(pool, ids, 1, start);
    (void)cw_server_pool_note_leaving(pool, hash_of(pool, "a@1"), grace, start);
    server = cw_server_pool_find(pool, "a@1");
    ck_assert(cw_server_accepts(server, true, start + grace - 1));
    ck_assert(!cw_server_accepts(server, true, start + grace));
    ck_assert(!cw_server_accepts(server, false, start));
    list(pool, ids, 1, start + CW_MS(500));
    ck_assert(!cw_server_accepts(server, true, start + grace));
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(leaves_of_servers_that_are_gone_are_forgotten_in_the_end)
{
    cw_leave_memory_t *memory = cw_leave_memory_create();

    ck_assert(cw_leave_memory_add(memory, 1, start));
    ck_assert(!cw_leave_memory_add(memory, 1, start));
    cw_leave_memory_forget(memory, start + CW_SECONDS(CW_LEAVE_REMEMBERED_S));
    ck_assert(cw_leave_memory_has(memory, 1));
    cw_leave_memory_forget(memory, start + CW_SECONDS(CW_LEAVE_REMEMBERED_S) + 1);
    ck_assert_uint_eq(cw_leave_memory_count(memory), 0);
    cw_leave_memory_free(memory);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server leave");
    TCase *cases = tcase_create("leave");

    tcase_add_test(cases, a_list_that_says_ready_does_not_undo_a_leave);
    tcase_add_test(cases, an_entry_that_goes_and_comes_back_does_not_undo_a_leave);
    tcase_add_test(cases, a_later_incarnation_of_the_same_server_is_used);
    tcase_add_test(cases, an_owner_that_leaves_serves_its_keys_while_they_move_and_no_longer);
    tcase_add_test(cases, leaves_of_servers_that_are_gone_are_forgotten_in_the_end);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
