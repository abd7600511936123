/**
 * @file test_view_updates.c
 * @brief Updates that are received page by page: pages of several of them may arrive interleaved, and in any order.
 *
 * Load pattern: two relays and the leader send long updates, for different lists, at the same time.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "router/view_updates.h"

enum { PAGES = 6 };

static cw_list_update_t *add_page(cw_view_updates_t *updates, uint64_t base, uint64_t version, uint32_t page,
                                  cw_time_us_t now)
{
    char             id[32];
    char             removed[32];
    char            *removals[1] = {removed};
    Cwp__ViewServer  server = CWP__VIEW_SERVER__INIT;
    Cwp__ViewServer *servers[1] = {&server};
    Cwp__ServersPage message = CWP__SERVERS_PAGE__INIT;

    (void)snprintf(id, sizeof(id), "s-%u@1", page);
    (void)snprintf(removed, sizeof(removed), "old@1");
    server.id = id;
    server.service = "carts";
    server.address = "10.0.0.1:80";
    server.zone = "z1";
    server.capacity = (uint32_t)version;
    message.term = 1;
    message.number = version;
    message.since = base;
    message.page = page;
    message.pages = PAGES;
    message.servers = servers;
    message.n_servers = 1;
    message.removed = removals;
    message.n_removed = page == 0 && base != 0 ? 1 : 0;
    return cw_view_updates_add_list_page(updates, &message, now);
}

static cw_server_list_t *known_list(void)
{
    cw_server_list_t *list = cw_server_list_create();
    cw_server_entry_t entry = {.id = "old@1", .service = "carts", .address = "10.0.0.2:80", .zone = "z1"};

    cw_server_list_put(list, 0, &entry);
    entry.id = "kept@1";
    entry.address = "10.0.0.3:80";
    cw_server_list_put(list, 0, &entry);
    cw_server_list_seal(list);
    return list;
}

START_TEST(pages_of_several_updates_may_arrive_interleaved)
{
    cw_view_updates_t *updates = cw_view_updates_create();
    cw_server_list_t  *list;
    cw_list_update_t  *last = NULL;
    uint32_t           page;

    for (page = 0; page < PAGES; page++) {
        ck_assert_ptr_nonnull(add_page(updates, 0, 9, page, page));
        ck_assert_ptr_nonnull(add_page(updates, 4, 9, PAGES - 1 - page, page));
        last = add_page(updates, 5, 9, page, page);
        ck_assert_int_eq(cw_view_assembly_is_whole(&last->assembly), page == PAGES - 1);
    }
    list = cw_list_update_finish(last, NULL);
    ck_assert_uint_eq(list->count, PAGES);
    cw_server_list_release(list);
    cw_view_updates_free(updates);
}
END_TEST

START_TEST(changes_are_applied_to_the_list_known_at_the_last_page)
{
    cw_view_updates_t *updates = cw_view_updates_create();
    cw_server_list_t  *known = known_list();
    cw_server_list_t  *list;
    cw_list_update_t  *last = NULL;
    uint32_t           page;

    for (page = PAGES; page > 0; page--) {
        last = add_page(updates, 8, 9, page - 1, page); /* the page with the removals arrives last */
    }
    list = cw_list_update_finish(last, known);
    ck_assert_uint_eq(list->count, PAGES + 1);
    ck_assert_ptr_nonnull(cw_server_list_find(list, "kept@1"));
    ck_assert_ptr_null(cw_server_list_find(list, "old@1"));
    ck_assert_uint_eq(cw_server_list_find(list, "s-3@1")->capacity, 9);
    cw_server_list_release(list);
    cw_server_list_release(known);
    cw_view_updates_free(updates);
}
END_TEST

START_TEST(a_repeated_or_invalid_page_is_ignored)
{
    cw_view_updates_t *updates = cw_view_updates_create();
    cw_list_update_t  *list = add_page(updates, 0, 9, 0, 0);

    ck_assert_uint_eq(cw_view_assembly_first_missing(&list->assembly), 1);
    ck_assert_ptr_null(add_page(updates, 0, 9, 0, 1));
    ck_assert_ptr_null(add_page(updates, 0, 9, PAGES, 1)); /* no such page */
    cw_view_updates_free(updates);
}
END_TEST

START_TEST(a_further_update_replaces_the_one_idle_for_longest)
{
    cw_view_updates_t *updates = cw_view_updates_create();
    uint64_t           base;

    for (base = 1; base <= CW_VIEW_ASSEMBLIES_MAX; base++) {
        ck_assert_ptr_nonnull(add_page(updates, base, 9, 0, CW_MS((int64_t)base)));
    }
    ck_assert_ptr_nonnull(add_page(updates, 1, 9, 1, CW_MS(100))); /* the oldest update receives a further page */
    ck_assert_ptr_nonnull(add_page(updates, base, 9, 0, CW_MS(200)));
    ck_assert_ptr_null(add_page(updates, 1, 9, 0, CW_MS(300)));    /* has been kept */
    ck_assert_ptr_nonnull(add_page(updates, 2, 9, 0, CW_MS(300))); /* was replaced and starts over */
    cw_view_updates_free(updates);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("view_updates");
    TCase *cases = tcase_create("view_updates");

    tcase_add_test(cases, pages_of_several_updates_may_arrive_interleaved);
    tcase_add_test(cases, changes_are_applied_to_the_list_known_at_the_last_page);
    tcase_add_test(cases, a_repeated_or_invalid_page_is_ignored);
    tcase_add_test(cases, a_further_update_replaces_the_one_idle_for_longest);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
