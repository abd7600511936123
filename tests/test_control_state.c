/**
 * @file test_control_state.c
 * @brief Tests of the replicated state: fences, look-ups, refused commands, deltas and retired servers.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/control_state.h"
#include "cedarwinch/error.h"

enum { GENERATION = 3, SERVICE = 50, REMOVALS = 600 };

static cw_control_state_t *state;

static void create_state(void)
{
    state = cw_control_state_create();
}

static void free_state(void)
{
    cw_control_state_free(state);
}

static int apply_range_at(uint64_t index, cw_range_id_t id, uint64_t low, uint64_t last, cw_server_id_t server)
{
    Cw__RangeInfo  range = CW__RANGE_INFO__INIT;
    Cw__RangeInfo *ranges[] = {&range};
    Cw__Command    command = CW__COMMAND__INIT;

    range.id = id;
    range.service = SERVICE;
    range.low = low;
    range.last = last;
    range.server = server;
    command.n_ranges = 1;
    command.ranges = ranges;
    return cw_control_state_apply(state, &command, GENERATION, index);
}

static int apply_removal(uint64_t index, uint64_t range)
{
    Cw__Command command = CW__COMMAND__INIT;

    command.n_removed_ranges = 1;
    command.removed_ranges = &range;
    return cw_control_state_apply(state, &command, GENERATION, index);
}

/* Tenant "t" with one service that has the first server_count servers of ids 1, 2, ... */
static int apply_tenant(uint64_t index, uint64_t version, size_t server_count)
{
    Cw__ServerConfiguration   first = CW__SERVER_CONFIGURATION__INIT;
    Cw__ServerConfiguration   second = CW__SERVER_CONFIGURATION__INIT;
    Cw__ServerConfiguration  *servers[] = {&first, &second};
    Cw__ServiceConfiguration  service = CW__SERVICE_CONFIGURATION__INIT;
    Cw__ServiceConfiguration *services[] = {&service};
    Cw__TenantConfiguration   tenant = CW__TENANT_CONFIGURATION__INIT;
    Cw__TenantConfiguration  *tenants[] = {&tenant};
    Cw__Command               command = CW__COMMAND__INIT;

    first.id = 1;
    second.id = 2;
    second.address = "127.0.0.2";
    service.id = SERVICE;
    service.n_servers = server_count;
    service.servers = servers;
    tenant.name = "t";
    tenant.version = version;
    tenant.n_services = 1;
    tenant.services = services;
    command.n_tenants = 1;
    command.tenants = tenants;
    return cw_control_state_apply(state, &command, GENERATION, index);
}

static int apply_server(uint64_t index, cw_server_id_t server, cw_node_id_t forwarder, const Cw__Fence *fence)
{
    Cw__ServerInfo  info = CW__SERVER_INFO__INIT;
    Cw__ServerInfo *servers[] = {&info};
    Cw__Command     command = CW__COMMAND__INIT;

    info.server = server;
    info.service = SERVICE;
    info.forwarder = forwarder;
    info.fence = (Cw__Fence *)fence;
    command.n_servers = 1;
    command.servers = servers;
    return cw_control_state_apply(state, &command, GENERATION, index);
}

static bool count_range(void *context, const Cw__RangeInfo *range)
{
    (void)range;
    ++*(size_t *)context;
    return true;
}

static size_t ranges_of_server(cw_server_id_t server)
{
    size_t count = 0;

    cw_control_state_each_server_range(state, server, count_range, &count);
    return count;
}

START_TEST(created_ranges_get_ids_and_fences_from_the_log_index)
{
    const Cw__RangeInfo *range;

    ck_assert_int_eq(apply_range_at(5, 0, 0, 99, 1), CW_OK);
    ck_assert_int_eq(apply_range_at(6, 0, 100, 199, 1), CW_OK);
    range = cw_control_state_find_range(state, SERVICE, 150);
    ck_assert_ptr_nonnull(range);
    ck_assert_uint_eq(range->id, UINT64_C(6) << 16);
    ck_assert_uint_eq(range->fence->generation, GENERATION);
    ck_assert_uint_eq(range->fence->index, 6);
    ck_assert_ptr_eq(cw_control_state_find_range(state, SERVICE, 99), cw_control_state_range(state, 5 << 16));
    ck_assert_ptr_null(cw_control_state_find_range(state, SERVICE, 200));
    ck_assert_uint_eq(ranges_of_server(1), 2);
}
END_TEST

START_TEST(a_replaced_range_moves_between_servers_and_gets_a_new_fence)
{
    ck_assert_int_eq(apply_range_at(5, 0, 0, 99, 1), CW_OK);
    ck_assert_int_eq(apply_range_at(9, 5 << 16, 0, 99, 2), CW_OK);
    ck_assert_uint_eq(ranges_of_server(1), 0);
    ck_assert_uint_eq(ranges_of_server(2), 1);
    ck_assert_uint_eq(cw_control_state_range(state, 5 << 16)->fence->index, 9);
}
END_TEST

START_TEST(refused_commands_change_nothing)
{
    Cw__Command command = CW__COMMAND__INIT;

    ck_assert_int_eq(apply_tenant(4, 8, 1), CW_OK);
    ck_assert_int_eq(apply_tenant(5, 7, 2), CW_ERROR_CONFLICT);
    ck_assert_int_eq(apply_range_at(6, 77, 0, 9, 1), CW_ERROR_NOT_FOUND);
    command.expected_version = 3;
    ck_assert_int_eq(cw_control_state_apply(state, &command, GENERATION, 7), CW_ERROR_CONFLICT);
    ck_assert_uint_eq(cw_control_state_version(state), 4);
    ck_assert_uint_eq(cw_control_state_tenant(state, "t")->version, 8);
    ck_assert_uint_eq(cw_control_state_service(state, SERVICE)->n_servers, 1);
}
END_TEST

START_TEST(server_fence_changes_with_its_forwarder_only)
{
    Cw__Fence present = CW__FENCE__INIT;

    ck_assert_int_eq(apply_server(5, 1, 10, NULL), CW_OK);
    present.generation = GENERATION;
    present.index = 5;
    ck_assert_int_eq(apply_server(6, 1, 10, &present), CW_OK);
    ck_assert_uint_eq(cw_control_state_server(state, 1)->fence->index, 5);
    ck_assert_int_eq(apply_server(7, 1, 11, &present), CW_OK);
    ck_assert_uint_eq(cw_control_state_server(state, 1)->fence->index, 7);
    ck_assert_int_eq(apply_server(8, 1, 11, NULL), CW_OK);
    ck_assert_uint_eq(cw_control_state_server(state, 1)->fence->index, 8);
}
END_TEST

START_TEST(removed_server_stays_reachable_until_its_last_range_has_left)
{
    const Cw__ServerConfiguration *configuration;

    ck_assert_int_eq(apply_tenant(2, 1, 2), CW_OK);
    ck_assert_int_eq(apply_server(3, 2, 10, NULL), CW_OK);
    ck_assert_int_eq(apply_range_at(4, 0, 0, 99, 2), CW_OK);
    ck_assert_int_eq(apply_tenant(5, 2, 1), CW_OK);
    configuration = cw_control_state_server_configuration(state, 2);
    ck_assert_ptr_nonnull(configuration);
    ck_assert_str_eq(configuration->address, "127.0.0.2");
    ck_assert(cw_control_state_server(state, 2)->draining);
    ck_assert_uint_eq(cw_control_state_server(state, 2)->fence->index, 3);
    ck_assert_int_eq(apply_range_at(6, 4 << 16, 0, 99, 1), CW_OK);
    ck_assert_ptr_null(cw_control_state_server(state, 2));
    ck_assert_ptr_null(cw_control_state_server_configuration(state, 2));
}
END_TEST

/* Merges the changes since other's version; returns whether they were complete. */
static bool merge_changes(cw_control_state_t *other)
{
    cw_control_changes_t changes;
    bool                 complete;

    cw_control_state_changes_since(state, cw_control_state_version(other), &changes);
    complete = changes.complete;
    if (complete) {
        ck_assert_int_eq(cw_control_state_merge(other, changes.snapshot, changes.removed_ranges, changes.removed_count,
                                                cw_control_state_version(other) == 0),
                         CW_OK);
    }
    cw_control_state_changes_free(&changes);
    return complete;
}

static void assert_same(const cw_control_state_t *other)
{
    uint8_t *left;
    uint8_t *right;
    size_t   left_length;
    size_t   right_length;

    ck_assert_int_eq(cw_control_state_pack(state, &left, &left_length), CW_OK);
    ck_assert_int_eq(cw_control_state_pack(other, &right, &right_length), CW_OK);
    ck_assert_uint_eq(left_length, right_length);
    ck_assert_mem_eq(left, right, left_length);
    free(left);
    free(right);
}

START_TEST(deltas_bring_another_state_to_the_same_content)
{
    cw_control_state_t  *other = cw_control_state_create();
    cw_control_changes_t changes;

    apply_tenant(2, 1, 2);
    apply_server(3, 2, 10, NULL);
    apply_range_at(4, 0, 0, 49, 2);
    apply_range_at(5, 0, 50, 99, 1);
    ck_assert(merge_changes(other));
    assert_same(other);
    apply_range_at(6, 5 << 16, 50, 99, 1);
    cw_control_state_changes_since(state, 5, &changes);
    ck_assert_uint_eq(changes.snapshot->n_ranges, 1);
    ck_assert_uint_eq(changes.snapshot->n_tenants + changes.snapshot->n_servers, 0);
    cw_control_state_changes_free(&changes);
    apply_tenant(7, 2, 1); /* retires server 2, and the next command drops it: the other sees only the end */
    apply_removal(8, 4 << 16);
    ck_assert(merge_changes(other));
    assert_same(other);
    cw_control_state_free(other);
}
END_TEST

START_TEST(history_of_removals_is_bounded_and_says_so)
{
    cw_control_state_t *other = cw_control_state_create();
    uint64_t            index;

    apply_range_at(1, 0, 0, 0, 1);
    ck_assert(merge_changes(other));
    for (index = 2; index < 2 * REMOVALS; index += 2) {
        apply_range_at(index, 0, index, index, 1);
        apply_removal(index + 1, index << 16);
    }
    ck_assert(!merge_changes(other));
    ck_assert_int_eq(cw_control_state_merge(other, &(Cw__ControlSnapshot)CW__CONTROL_SNAPSHOT__INIT, NULL, 0, false),
                     CW_ERROR_CONFLICT);
    cw_control_state_free(other);
}
END_TEST

START_TEST(a_snapshot_restores_the_state)
{
    cw_control_state_t *other = cw_control_state_create();
    uint8_t            *data;
    size_t              length;

    apply_tenant(2, 1, 2);
    apply_range_at(4, 0, 0, 49, 2);
    ck_assert_int_eq(cw_control_state_pack(state, &data, &length), CW_OK);
    ck_assert_int_eq(cw_control_state_unpack(other, data, length), CW_OK);
    assert_same(other);
    ck_assert_ptr_nonnull(cw_control_state_find_range(other, SERVICE, 49));
    ck_assert_int_eq(cw_control_state_unpack(other, (const uint8_t *)"\xff", 1), CW_ERROR_PARSE);
    assert_same(other);
    free(data);
    cw_control_state_free(other);
}
END_TEST

int main(void)
{
    Suite   *suite = suite_create("control state");
    TCase   *tests = tcase_create("control state");
    SRunner *runner = srunner_create(suite);
    int      failed;

    tcase_add_checked_fixture(tests, create_state, free_state);
    tcase_add_test(tests, created_ranges_get_ids_and_fences_from_the_log_index);
    tcase_add_test(tests, a_replaced_range_moves_between_servers_and_gets_a_new_fence);
    tcase_add_test(tests, refused_commands_change_nothing);
    tcase_add_test(tests, server_fence_changes_with_its_forwarder_only);
    tcase_add_test(tests, removed_server_stays_reachable_until_its_last_range_has_left);
    tcase_add_test(tests, deltas_bring_another_state_to_the_same_content);
    tcase_add_test(tests, history_of_removals_is_bounded_and_says_so);
    tcase_add_test(tests, a_snapshot_restores_the_state);
    suite_add_tcase(suite, tests);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
