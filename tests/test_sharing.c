/**
 * @file test_sharing.c
 * @brief State that nodes share without requests: the retry budget, servers' loads, the list and the tables.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance/server_pool.h"
#include "loop_fixture.h"
#include "retry/shared_budget.h"
#include "router/list_history.h"
#include "router/servers_pages.h"
#include "router/table_pages.h"
#include "router/view_order.h"

static const cw_budget_settings_t budget_settings = {
    .ratio = 0.2, .extra = 56, .window = CW_SECONDS(10), .share = 0.75};

/* Number of retries of a node that uses all that the budget allows at each of its requests. */
static uint32_t spend(cw_shared_budget_t *budget, uint32_t nodes, uint32_t requests, cw_time_us_t from,
                      cw_time_us_t length)
{
    uint32_t spent = 0;
    uint32_t index;

    for (index = 0; index < requests; index++) {
        cw_time_us_t now = from + length * index / requests;

        cw_shared_budget_record_request(budget, &budget_settings, now);
        while (cw_shared_budget_take(budget, &budget_settings, nodes, now)) {
            spent++;
        }
    }
    return spent;
}

START_TEST(retries_of_all_nodes_stay_within_the_common_budget)
{
    cw_shared_budget_t budgets[8];
    uint32_t           sum = 0;
    size_t             node;

    memset(budgets, 0, sizeof(budgets));
    for (node = 0; node < 8; node++) {
        sum += spend(&budgets[node], 8, 50, CW_SECONDS(100), CW_SECONDS(10));
    }
    ck_assert_uint_gt(sum, 60);
    ck_assert_uint_le(sum, (uint32_t)(0.2 * 400 + 56));
}
END_TEST

START_TEST(a_node_that_knows_no_others_uses_none_of_the_extra_retries)
{
    cw_shared_budget_t budget;

    memset(&budget, 0, sizeof(budget));
    ck_assert(!cw_shared_budget_take(&budget, &budget_settings, 0, CW_SECONDS(100)));
    ck_assert(cw_shared_budget_take(&budget, &budget_settings, 8, CW_SECONDS(100)));
}
END_TEST

START_TEST(spent_retries_count_for_a_whole_window)
{
    cw_shared_budget_t budget;
    uint32_t           first;

    memset(&budget, 0, sizeof(budget));
    first = spend(&budget, 8, 1, CW_SECONDS(100), 1);
    ck_assert_uint_eq(spend(&budget, 8, 1, CW_SECONDS(109), 1), 0);
    ck_assert_uint_ge(spend(&budget, 8, 1, CW_SECONDS(125), 1), first);
}
END_TEST

/* ---- the pool ---- */

static const cw_choice_settings_t choice = {.zone_penalty = 0.35, .extra_slots = 0};

static void on_dropped(void *context, cw_server_t *server)
{
    (void)server;
    (*(uint32_t *)context)++;
}

static void add(cw_server_list_t *list, const char *id, const char *zone, bool draining)
{
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup(id);
    entry->service = strdup("service");
    entry->address = strdup("10.0.0.1:80");
    entry->zone = strdup(zone);
    entry->capacity = 2;
    entry->draining = draining;
}

static cw_server_pool_t *new_pool(uint32_t *dropped)
{
    cw_server_pool_t *pool = cw_server_pool_create("z1", on_dropped, dropped);
    cw_server_list_t *list = cw_server_list_create();

    *dropped = 0;
    add(list, "near", "z1", false);
    add(list, "far", "z2", false);
    add(list, "leaving", "z1", true);
    cw_server_list_seal(list);
    cw_server_pool_update(pool, list, 0);
    cw_server_list_release(list);
    return pool;
}

static const char *choose(cw_server_pool_t *pool, cw_time_us_t now, bool *full)
{
    const cw_server_t *server = cw_server_pool_choose(pool, "service", &choice, NULL, now, full);

    return server == NULL ? "none" : server->id;
}

START_TEST(the_near_server_first_then_the_far_one_then_none)
{
    uint32_t          dropped;
    bool              full;
    cw_server_pool_t *pool = new_pool(&dropped);

    ck_assert_str_eq(choose(pool, 0, &full), "near");
    cw_server_pool_begin_request(cw_server_pool_find(pool, "near"), 0);
    cw_server_pool_begin_request(cw_server_pool_find(pool, "near"), 0);
    ck_assert_str_eq(choose(pool, 0, &full), "far");
    cw_server_pool_begin_request(cw_server_pool_find(pool, "far"), 0);
    cw_server_pool_begin_request(cw_server_pool_find(pool, "far"), 0);
    ck_assert_str_eq(choose(pool, 0, &full), "none");
    ck_assert(full);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(requests_of_other_nodes_take_slots_until_their_reports_expire)
{
    uint32_t           dropped;
    bool               full;
    cw_server_pool_t  *pool = new_pool(&dropped);
    cw_server_report_t report = {.hash = cw_server_pool_find(pool, "near")->hash, .in_flight = 2};

    cw_server_pool_apply_report(pool, 5, &report, 1, 0);
    ck_assert_str_eq(choose(pool, 0, &full), "far");
    report.in_flight = 1;
    cw_server_pool_apply_report(pool, 5, &report, 1, CW_MS(10));
    ck_assert_str_eq(choose(pool, CW_MS(10), &full), "near");
    report.in_flight = 2;
    cw_server_pool_apply_report(pool, 5, &report, 1, CW_MS(20));
    cw_server_pool_expire(pool, CW_MS(CW_POOL_REPORT_EXPIRY_MS), CW_MS(20) + CW_MS(CW_POOL_REPORT_EXPIRY_MS) + 1);
    ck_assert_uint_eq(cw_server_pool_find(pool, "near")->others, 0);
    cw_server_pool_free(pool);
}
END_TEST

static cw_server_list_t *list_of(size_t count, uint64_t changed_in)
{
    cw_server_list_t *list = cw_server_list_create();
    char              id[16];
    size_t            index;

    for (index = 0; index < count; index++) {
        snprintf(id, sizeof(id), "s%03zu", index);
        add(list, id, "z1", false);
        list->entries[index].changed_in = changed_in;
    }
    cw_server_list_seal(list);
    return list;
}

/* Number of servers on all pages. */
static size_t count_paged(const cw_server_list_t *list, uint64_t base)
{
    static cw_servers_page_room_t room;
    Cwp__ServersPage              page = CWP__SERVERS_PAGE__INIT;
    uint32_t                      pages = cw_servers_page_count(list, base);
    uint32_t                      number;
    size_t                        from = 0;
    size_t                        sum = 0;

    for (number = 0; number < pages; number++) {
        from = cw_servers_page_fill(&page, &room, list, base, from, 0);
        sum += page.n_servers;
    }
    return sum;
}

START_TEST(the_whole_list_includes_all_servers_even_without_versions_of_changes)
{
    cw_server_list_t *at_follower = list_of(150, 0);
    cw_server_list_t *at_leader = list_of(150, 7);

    ck_assert_uint_eq(cw_servers_page_count(at_follower, 0), 3);
    ck_assert_uint_eq(count_paged(at_follower, 0), 150);
    ck_assert_uint_eq(count_paged(at_leader, 0), 150);
    ck_assert_uint_eq(count_paged(at_leader, 6), 150);
    ck_assert_uint_eq(count_paged(at_leader, 7), 0);
    ck_assert_uint_eq(cw_servers_page_count(at_leader, 7), 1); /* one page also states that nothing changed */
    cw_server_list_release(at_follower);
    cw_server_list_release(at_leader);
}
END_TEST

START_TEST(pages_and_records_are_ordered_by_term_and_version)
{
    cw_page_position_t whole = {.term = 2, .version = 7, .pages = 1};
    cw_page_position_t change = {.term = 2, .version = 7, .base = 5, .pages = 1};

    ck_assert(cw_page_is_usable(&whole, 1, 90));
    ck_assert(cw_page_is_usable(&whole, 2, 6));
    ck_assert(!cw_page_is_usable(&whole, 2, 7));
    ck_assert(cw_page_is_usable(&change, 2, 5));
    ck_assert(cw_page_is_usable(&change, 2, 6));
    ck_assert(!cw_page_is_usable(&change, 2, 4)); /* the changes in between are missing */
    ck_assert(!cw_page_is_usable(&change, 1, 6));
    /* after a record of the next leader was read, pages of the earlier leader that are still in transit are too late */
    ck_assert(cw_record_is_usable(3, 2));
    ck_assert(!cw_page_is_usable(&whole, 3, 0));
    ck_assert(!cw_record_is_usable(1, 2));
}
END_TEST

START_TEST(requests_waiting_at_other_nodes_are_known_until_the_reports_expire)
{
    uint32_t           dropped;
    cw_server_pool_t  *pool = new_pool(&dropped);
    const cw_server_t *near = cw_server_pool_find(pool, "near");
    cw_server_report_t report = {.hash = near->hash, .in_flight = 2, .waiting = 7};

    cw_server_pool_apply_report(pool, 5, &report, 1, 0);
    cw_server_pool_apply_report(pool, 6, &report, 1, 0);
    ck_assert_uint_eq(near->others_waiting, 14);
    report.waiting = 1;
    cw_server_pool_apply_report(pool, 5, &report, 1, CW_MS(20));
    ck_assert_uint_eq(near->others_waiting, 8);
    cw_server_pool_expire(pool, CW_MS(CW_POOL_REPORT_EXPIRY_MS), CW_MS(10) + CW_MS(CW_POOL_REPORT_EXPIRY_MS));
    ck_assert_uint_eq(near->others_waiting, 1);
    cw_server_pool_free(pool);
}
END_TEST

static bool takes_low_nodes(void *context, uint64_t node)
{
    (void)context;
    return node < 10;
}

static bool takes_all_but(void *context, const cw_server_t *server)
{
    return strcmp(server->id, context) != 0;
}

static bool takes_all(void *context, const cw_server_t *server)
{
    (void)context;
    (void)server;
    return true;
}

static bool takes_none(void *context, const cw_server_t *server)
{
    (void)context;
    (void)server;
    return false;
}

START_TEST(a_zone_sum_covers_only_the_nodes_and_servers_of_its_filter)
{
    uint32_t           dropped;
    cw_server_pool_t  *pool = new_pool(&dropped);
    cw_server_t       *near = cw_server_pool_find(pool, "near");
    cw_server_t       *far = cw_server_pool_find(pool, "far");
    cw_server_report_t report[2] = {{.hash = near->hash, .in_flight = 2, .waiting = 1},
                                    {.hash = far->hash, .in_flight = 5}};
    cw_sum_filter_t    filter = {.context = "far",
                                 .includes_node = takes_low_nodes,
                                 .includes_server = takes_all_but,
                                 .includes_own = takes_all};
    cw_server_report_t sums[4];
    size_t             left_out;

    cw_server_pool_apply_report(pool, 5, report, 2, 0);
    cw_server_pool_apply_report(pool, 6, report, 1, 0);
    cw_server_pool_apply_report(pool, 50, report, 2, 0); /* a node of another zone */
    cw_server_pool_begin_request(near, 0);
    ck_assert_uint_eq(cw_server_pool_sum(pool, &filter, sums, 4, 0, &left_out), 1);
    ck_assert_uint_eq(sums[0].hash, near->hash);
    ck_assert_uint_eq(sums[0].in_flight, 5);
    ck_assert_uint_eq(sums[0].waiting, 2);
    ck_assert(!sums[0].unreachable);
    filter.context = "";
    ck_assert_uint_eq(cw_server_pool_sum(pool, &filter, sums, 4, 0, &left_out), 2);
    ck_assert_uint_eq(left_out, 0);
    ck_assert_uint_eq(cw_server_pool_sum(pool, &filter, sums, 1, 0, &left_out), 1);
    ck_assert_uint_eq(left_out, 1);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(an_unreachable_server_is_skipped_for_a_while)
{
    uint32_t          dropped;
    bool              full;
    cw_server_pool_t *pool = new_pool(&dropped);

    cw_server_pool_record_fault(cw_server_pool_find(pool, "near"), 0);
    ck_assert_str_eq(choose(pool, CW_MS(1), &full), "far");
    ck_assert_str_eq(choose(pool, CW_SECONDS(1), &full), "near");
    cw_server_pool_free(pool);
}
END_TEST

/* Nodes that lost their paths to servers made the others avoid servers that answered them. */
START_TEST(a_server_that_answers_this_node_is_not_avoided_because_another_node_does_not_reach_it)
{
    uint32_t           dropped;
    bool               full;
    cw_server_pool_t  *pool = new_pool(&dropped);
    cw_server_t       *near = cw_server_pool_find(pool, "near");
    cw_server_report_t report = {.hash = near->hash, .unreachable = true};

    cw_server_pool_record_served(near, CW_MS(10), CW_MS(10), CW_MS(100));
    cw_server_pool_apply_report(pool, 5, &report, 1, CW_MS(200));
    ck_assert_str_eq(choose(pool, CW_MS(201), &full), "near");
    cw_server_pool_apply_report(pool, 5, &report, 1, CW_MS(2000));
    ck_assert_str_eq(choose(pool, CW_MS(2001), &full), "far");
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_zone_sum_leaves_out_the_requests_of_a_relay_without_paths)
{
    uint32_t           dropped;
    cw_server_pool_t  *pool = new_pool(&dropped);
    cw_server_t       *near = cw_server_pool_find(pool, "near");
    cw_server_report_t report = {.hash = near->hash, .in_flight = 2};
    cw_sum_filter_t    filter = {
           .context = "", .includes_node = takes_low_nodes, .includes_server = takes_all_but, .includes_own = takes_none};
    cw_server_report_t sums[4];
    size_t             left_out;

    cw_server_pool_begin_request(near, 0);
    ck_assert_uint_eq(cw_server_pool_sum(pool, &filter, sums, 4, 0, &left_out), 0);
    cw_server_pool_apply_report(pool, 5, &report, 1, 0);
    ck_assert_uint_eq(cw_server_pool_sum(pool, &filter, sums, 4, 0, &left_out), 1);
    ck_assert_uint_eq(sums[0].in_flight, 2);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_server_whose_address_has_another_incarnation_is_not_chosen)
{
    uint32_t          dropped;
    bool              full;
    cw_server_pool_t *pool = new_pool(&dropped);

    cw_server_pool_find(pool, "near")->ended = true;
    ck_assert_str_eq(choose(pool, 0, &full), "far");
    cw_server_pool_free(pool);
}
END_TEST

/* The nodes have not received any report of each other's requests yet. */
START_TEST(many_nodes_do_not_all_choose_the_same_server)
{
    enum { NODES = 60, SERVERS = 60, MOST = 6 };
    static const cw_choice_settings_t affine = {.zone_penalty = 0.7, .affinity = 0.4};
    cw_server_list_t                 *list = cw_server_list_create();
    uint32_t                          chosen[SERVERS] = {0};
    uint32_t                          most = 0;
    uint32_t                          gone;
    int                               index;

    for (index = 0; index < SERVERS; index++) {
        char              id[16];
        cw_server_entry_t entry = {.id = id,
                                   .service = (char *)"docks",
                                   .address = (char *)"10.0.0.1:80",
                                   .zone = (char *)"z1",
                                   .capacity = 2};

        snprintf(id, sizeof(id), "i-%02d", index);
        cw_server_list_put(list, 0, &entry);
    }
    cw_server_list_seal(list);
    for (index = 0; index < NODES; index++) {
        cw_server_pool_t *pool = new_pool(&gone);
        char              node[16];
        bool              full;
        uint32_t         *count;

        snprintf(node, sizeof(node), "n%d", index);
        cw_server_pool_set_node(pool, node);
        cw_server_pool_update(pool, list, 0);
        count = &chosen[atoi(cw_server_pool_choose(pool, "docks", &affine, NULL, 0, &full)->id + 2)];
        (*count)++;
        most = *count > most ? *count : most;
        cw_server_pool_free(pool);
    }
    ck_assert_uint_le(most, MOST);
    cw_server_list_release(list);
}
END_TEST

START_TEST(a_server_that_other_nodes_report_as_slow_is_skipped)
{
    uint32_t          dropped;
    bool              full;
    cw_server_pool_t *pool = new_pool(&dropped);
    cw_server_pace_t  pace = {.hash = cw_server_pool_find(pool, "near")->hash, .served = 10, .time = 30000};

    cw_server_pool_apply_paces(pool, 5, &pace, 1, 0);
    ck_assert_double_gt(cw_server_pool_find(pool, "near")->pace, 1.5);
    ck_assert_str_eq(choose(pool, 0, &full), "far");
    pace.served = 20; /* the next ten were answered in half the usual time */
    pace.time = 35000;
    cw_server_pool_apply_paces(pool, 5, &pace, 1, 0);
    ck_assert_double_lt(cw_server_pool_find(pool, "near")->pace, 1.6);
    cw_server_pool_free(pool);
}
END_TEST

/* A leader steps down when servers that its orders do not reach answer other nodes. Rare reports must not cause that,
 * so that an answer counts from the report before the one that revealed it. */
START_TEST(reported_answers_are_dated_at_the_previous_report)
{
    uint32_t          dropped;
    cw_server_pool_t *pool = new_pool(&dropped);
    cw_server_pace_t  pace = {.hash = cw_server_pool_find(pool, "near")->hash, .served = 10, .time = 10000};

    cw_server_pool_apply_paces(pool, 5, &pace, 1, CW_SECONDS(10));
    ck_assert_int_eq(cw_server_pool_find(pool, "near")->answered_others_at, 0);
    pace.served = 11;
    pace.time = 11000;
    cw_server_pool_apply_paces(pool, 5, &pace, 1, CW_SECONDS(30));
    ck_assert_int_eq(cw_server_pool_find(pool, "near")->answered_others_at, CW_SECONDS(10));
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(reports_about_removed_servers_are_discarded)
{
    uint32_t          dropped;
    cw_server_pool_t *pool = new_pool(&dropped);
    cw_server_list_t *empty = cw_server_list_create();
    cw_server_pace_t  pace = {.hash = cw_server_pool_find(pool, "near")->hash, .served = 10, .time = 10000};

    cw_server_pool_apply_paces(pool, 5, &pace, 1, 0);
    cw_server_pool_apply_paces(pool, 6, &pace, 1, 0);
    ck_assert_uint_eq(cw_server_pool_pace_count(pool), 2);
    cw_server_pool_update(pool, empty, 0);
    ck_assert_uint_eq(cw_server_pool_pace_count(pool), 0);
    cw_server_list_release(empty);
    cw_server_pool_free(pool);
}
END_TEST

START_TEST(a_removed_server_is_freed_after_its_last_request)
{
    uint32_t          dropped;
    cw_server_pool_t *pool = new_pool(&dropped);
    cw_server_list_t *empty = cw_server_list_create();
    cw_server_t      *near = cw_server_pool_find(pool, "near");

    ck_assert_ptr_eq(cw_server_pool_find_hash(pool, near->hash), near);
    cw_server_pool_begin_request(near, 0);
    cw_server_pool_update(pool, empty, 0);
    ck_assert_ptr_null(cw_server_pool_find_hash(pool, near->hash));
    ck_assert_uint_eq(dropped, 2);
    cw_server_pool_end_request(pool, near);
    ck_assert_uint_eq(dropped, 3);
    cw_server_list_release(empty);
    cw_server_pool_free(pool);
}
END_TEST

enum { MANY_RANGES = 1000, WIDTH = 65 };

/* A list of so many adjacent ranges. */
static void fill_ranges(cw_range_list_t *list, size_t count)
{
    size_t index;

    memset(list, 0, sizeof(*list));
    for (index = 0; index < count; index++) {
        cw_range_t *range = cw_range_list_add(list);

        range->low = (uint32_t)index * WIDTH;
        range->last = index + 1 == count ? CW_KEY_LAST : range->low + WIDTH - 1;
        range->phase = CW_RANGE_HELD;
        range->owner.fence = index;
    }
}

START_TEST(a_table_of_many_ranges_arrives_whole_in_any_order_of_pages)
{
    static cw_table_page_room_t room;
    cw_range_list_t             list;
    cw_key_tables_t             leader_tables = {0};
    cw_key_tables_t             received = {0};
    Cwp__TablePage              page = CWP__TABLE_PAGE__INIT;
    uint32_t                    part;
    size_t                      index;

    fill_ranges(&list, MANY_RANGES);
    page.service = (char *)"docks";
    ck_assert(cw_key_tables_update(&leader_tables, "docks", &list, 1));
    for (part = cw_table_page_count(list.count); part > 0; part--) {
        cw_table_page_fill(&page, &room, leader_tables.items[0].entries, leader_tables.items[0].count, part - 1);
        cw_table_page_apply(&received, &page);
    }
    cw_key_tables_seal(&received);
    ck_assert_uint_eq(cw_key_tables_hash(&received), cw_key_tables_hash(&leader_tables));
    ck_assert_uint_eq(received.count, 1);
    ck_assert_uint_eq(received.items[0].count, MANY_RANGES);
    for (index = 0; index < MANY_RANGES; index++) {
        ck_assert_uint_eq(received.items[0].entries[index].low, list.items[index].low);
        ck_assert_uint_eq(received.items[0].entries[index].last, list.items[index].last);
        ck_assert_uint_eq(received.items[0].entries[index].fence, index);
        ck_assert(received.items[0].entries[index].routable);
    }
    cw_key_tables_clear(&received);
    cw_key_tables_clear(&leader_tables);
    cw_range_list_clear(&list);
}
END_TEST

/* Ranges are split, moved and joined at random. A node that has an older version and applies what changed since then
 * has the newest tables. */
START_TEST(applying_changes_to_an_older_table_yields_the_newest)
{
    enum { VERSIONS = 120, FOLLOWERS = 4 };
    static cw_table_page_room_t room;
    static cw_table_entry_t     changes[CW_KEY_LAST + 1];
    cw_range_list_t             list;
    cw_key_tables_t             leader_tables = {0};
    cw_key_tables_t             follower_tables[FOLLOWERS];
    uint64_t                    version_of[FOLLOWERS] = {0};
    uint64_t                    random = 12345;
    uint64_t                    version;
    size_t                      follower;

    memset(follower_tables, 0, sizeof(follower_tables));
    fill_ranges(&list, 20);
    for (version = 1; version <= VERSIONS; version++) {
        size_t index;

        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        index = (size_t)(random >> 40) % list.count;
        if (index + 1 < list.count && (random >> 33) % 4 == 0) { /* join */
            list.items[index].last = list.items[index + 1].last;
            memmove(&list.items[index + 1], &list.items[index + 2], (list.count - index - 2) * sizeof(list.items[0]));
            list.count--;
        } else if (list.items[index].last > list.items[index].low) {
            (void)cw_range_list_split(&list, index,
                                      list.items[index].low + (list.items[index].last - list.items[index].low) / 2 + 1);
        }
        list.items[index].owner.fence = 1000 + version;
        snprintf(list.items[index].owner.id, sizeof(list.items[index].owner.id), "i-%d", (int)((random >> 20) % 9));
        ck_assert(cw_key_tables_update(&leader_tables, "docks", &list, version));
        ck_assert(!cw_key_tables_update(&leader_tables, "docks", &list, version + 1));
        for (follower = 0; follower < FOLLOWERS; follower++) {
            Cwp__TablePage  page = CWP__TABLE_PAGE__INIT;
            cw_key_tables_t partial = {0};
            size_t          count;

            if ((random >> (10 + follower)) % (follower + 1) != 0 && version != VERSIONS) {
                continue; /* this follower stays behind for now */
            }
            count = cw_table_changes(&leader_tables.items[0], version_of[follower], changes, CW_KEY_LAST + 1);
            ck_assert(version < 2 || version_of[follower] + 1 < version || count < 4);
            page.service = (char *)"docks";
            cw_table_page_fill(&page, &room, changes, count, 0);
            cw_table_page_apply(&partial, &page);
            cw_key_tables_seal(&partial);
            cw_key_tables_apply_changes(&follower_tables[follower], &partial);
            cw_key_tables_clear(&partial);
            version_of[follower] = version;
            ck_assert_uint_eq(cw_key_tables_hash(&follower_tables[follower]), cw_key_tables_hash(&leader_tables));
        }
    }
    for (follower = 0; follower < FOLLOWERS; follower++) {
        cw_key_tables_clear(&follower_tables[follower]);
    }
    cw_key_tables_clear(&leader_tables);
    cw_range_list_clear(&list);
}
END_TEST

static void add_named(cw_server_list_t *list, const char *id, bool draining)
{
    cw_server_entry_t entry = {.id = (char *)id,
                               .service = (char *)"docks",
                               .address = (char *)"10.0.0.1:80",
                               .zone = (char *)"z1",
                               .capacity = 2,
                               .draining = draining};

    cw_server_list_put(list, list->count, &entry);
    cw_server_list_seal(list);
}

START_TEST(changes_of_the_list_are_found_by_version)
{
    static cw_list_history_t history;
    cw_server_list_t        *first = cw_server_list_create();
    cw_server_list_t        *second = cw_server_list_create();
    cw_server_list_t        *applied;
    char                    *removed[4];
    size_t                   index;

    add_named(first, "a", false);
    add_named(first, "b", false);
    add_named(first, "c", false);
    cw_list_history_begin(&history, first, 1);
    add_named(second, "a", false);
    add_named(second, "c", true);
    add_named(second, "d", false);
    cw_list_history_add(&history, first, second, 2);
    ck_assert(cw_list_history_covers(&history, 1));
    ck_assert(!cw_list_history_covers(&history, 0));
    ck_assert_uint_eq(cw_list_history_removed(&history, 1, removed, 4), 1);
    ck_assert_str_eq(removed[0], "b");
    ck_assert_uint_eq(cw_list_history_removed(&history, 2, removed, 4), 0);
    applied = cw_server_list_copy_without(first, removed, 1);
    for (index = 0; index < second->count; index++) {
        if (second->entries[index].changed_in > 1) {
            cw_server_list_put(applied, applied->count, &second->entries[index]);
            cw_server_list_seal(applied);
        }
    }
    ck_assert(cw_server_list_same(applied, second));
    ck_assert_uint_eq(cw_server_list_hash(applied), cw_server_list_hash(second));
    ck_assert_uint_ne(cw_server_list_hash(first), cw_server_list_hash(second));
    cw_server_list_release(first);
    cw_server_list_release(second);
    cw_server_list_release(applied);
}
END_TEST

START_TEST(a_list_older_than_the_history_cannot_be_updated_by_changes)
{
    static cw_list_history_t history;
    cw_server_list_t        *with = cw_server_list_create();
    cw_server_list_t        *without = cw_server_list_create();
    uint64_t                 version;

    add_named(with, "a", false);
    cw_list_history_begin(&history, with, 1);
    for (version = 2; version < 2 + 2 * (CW_REMOVED_MAX + 1); version += 2) {
        cw_list_history_add(&history, with, without, version);
        cw_list_history_add(&history, without, with, version + 1);
    }
    ck_assert(!cw_list_history_covers(&history, 1));
    ck_assert(cw_list_history_covers(&history, version - 1));
    cw_server_list_release(with);
    cw_server_list_release(without);
}
END_TEST

START_TEST(an_empty_table_takes_one_page)
{
    ck_assert_uint_eq(cw_table_page_count(0), 1);
    ck_assert_uint_eq(cw_table_page_count(CW_TABLE_PAGE_RANGES), 1);
    ck_assert_uint_eq(cw_table_page_count(CW_TABLE_PAGE_RANGES + 1), 2);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("sharing");
    TCase *cases = tcase_create("sharing");

    tcase_add_test(cases, retries_of_all_nodes_stay_within_the_common_budget);
    tcase_add_test(cases, a_node_that_knows_no_others_uses_none_of_the_extra_retries);
    tcase_add_test(cases, spent_retries_count_for_a_whole_window);
    tcase_add_test(cases, the_near_server_first_then_the_far_one_then_none);
    tcase_add_test(cases, requests_of_other_nodes_take_slots_until_their_reports_expire);
    tcase_add_test(cases, the_whole_list_includes_all_servers_even_without_versions_of_changes);
    tcase_add_test(cases, pages_and_records_are_ordered_by_term_and_version);
    tcase_add_test(cases, requests_waiting_at_other_nodes_are_known_until_the_reports_expire);
    tcase_add_test(cases, a_zone_sum_covers_only_the_nodes_and_servers_of_its_filter);
    tcase_add_test(cases, an_unreachable_server_is_skipped_for_a_while);
    tcase_add_test(cases, a_server_that_answers_this_node_is_not_avoided_because_another_node_does_not_reach_it);
    tcase_add_test(cases, a_zone_sum_leaves_out_the_requests_of_a_relay_without_paths);
    tcase_add_test(cases, a_server_whose_address_has_another_incarnation_is_not_chosen);
    tcase_add_test(cases, many_nodes_do_not_all_choose_the_same_server);
    tcase_add_test(cases, a_server_that_other_nodes_report_as_slow_is_skipped);
    tcase_add_test(cases, reported_answers_are_dated_at_the_previous_report);
    tcase_add_test(cases, reports_about_removed_servers_are_discarded);
    tcase_add_test(cases, a_removed_server_is_freed_after_its_last_request);
    tcase_add_test(cases, a_table_of_many_ranges_arrives_whole_in_any_order_of_pages);
    tcase_add_test(cases, applying_changes_to_an_older_table_yields_the_newest);
    tcase_add_test(cases, changes_of_the_list_are_found_by_version);
    tcase_add_test(cases, a_list_older_than_the_history_cannot_be_updated_by_changes);
    tcase_add_test(cases, an_empty_table_takes_one_page);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
