/**
 * @file test_server_leave.c
 * @brief A server that announced in an answer that it leaves gets no more requests, whatever its list entry says.
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

/* Applies a list with these servers, all of them ready. */
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

START_TEST(list_entry_that_says_ready_does_not_undo_leaving)
{
    static const char *const ids[] = {"a@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, ids, 1, start);
    ck_assert_str_eq(chosen(pool, start), "a@1");
    ck_assert(cw_server_pool_record_leaving(pool, hash_of(pool, "a@1"), start + grace, start));
    ck_assert(!cw_server_pool_record_leaving(pool, hash_of(pool, "a@1"), start + grace, start + 1));
    ck_assert_str_eq(chosen(pool, start), "none");
    list(pool, ids, 1, start + CW_SECONDS(5));
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(5)), "none");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(list_entry_that_reappears_does_not_undo_leaving)
{
    static const char *const ids[] = {"a@1", "b@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, ids, 2, start);
    (void)cw_server_pool_record_leaving(pool, hash_of(pool, "a@1"), start + grace, start);
    list(pool, ids + 1, 1, start + CW_SECONDS(1));
    ck_assert_ptr_null(cw_server_pool_find(pool, "a@1"));
    list(pool, ids, 2, start + CW_SECONDS(2));
    ck_assert(cw_server_pool_find(pool, "a@1")->draining);
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(2)), "b@1");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(later_incarnation_of_the_same_server_is_used)
{
    static const char *const former[] = {"a@1"};
    static const char *const later[] = {"a@2"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);

    list(pool, former, 1, start);
    (void)cw_server_pool_record_leaving(pool, hash_of(pool, "a@1"), start + grace, start);
    list(pool, later, 1, start + CW_SECONDS(3));
    ck_assert_str_eq(chosen(pool, start + CW_SECONDS(3)), "a@2");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(leaving_owner_serves_its_keys_only_during_the_grace_period)
{
    static const char *const ids[] = {"a@1"};
    cw_server_pool_t        *pool = cw_server_pool_create("z1", on_dropped, NULL);
    const cw_server_t       *server;

    list(pool, ids, 1, start);
    (void)cw_server_pool_record_leaving(pool, hash_of(pool, "a@1"), start + grace, start);
    server = cw_server_pool_find(pool, "a@1");
    ck_assert(cw_server_accepts(server, true, start + grace - 1));
    ck_assert(!cw_server_accepts(server, true, start + grace));
    ck_assert(!cw_server_accepts(server, false, start));
    list(pool, ids, 1, start + CW_MS(500));
    ck_assert(!cw_server_accepts(server, true, start + grace));
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(entries_of_leaving_servers_expire)
{
    cw_leaving_servers_t *set = cw_leaving_servers_create();

    ck_assert(cw_leaving_servers_add(set, 1, start));
    ck_assert(!cw_leaving_servers_add(set, 1, start));
    cw_leaving_servers_expire(set, start + CW_SECONDS(CW_LEAVING_EXPIRY_S));
    ck_assert(cw_leaving_servers_has(set, 1));
    cw_leaving_servers_expire(set, start + CW_SECONDS(CW_LEAVING_EXPIRY_S) + 1);
    ck_assert_uint_eq(cw_leaving_servers_count(set), 0);
    cw_leaving_servers_free(set);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server leave");
    TCase *cases = tcase_create("leave");

    tcase_add_test(cases, list_entry_that_says_ready_does_not_undo_leaving);
    tcase_add_test(cases, list_entry_that_reappears_does_not_undo_leaving);
    tcase_add_test(cases, later_incarnation_of_the_same_server_is_used);
    tcase_add_test(cases, leaving_owner_serves_its_keys_only_during_the_grace_period);
    tcase_add_test(cases, entries_of_leaving_servers_expire);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
