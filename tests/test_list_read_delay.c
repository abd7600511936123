/**
 * @file test_list_read_delay.c
 * @brief The total that nodes without a list read from the store per second is bounded, whatever their number.
 *
 * Load pattern: the lists of all nodes become stale at the same time.
 */
#include <stdio.h>

#include "loop_fixture.h"
#include "router/key_tables.h"
#include "router/list_read_delay.h"

enum { SECONDS_MAX = 200, LINK_BYTES_PER_SECOND = 125000000 /* link of the store: 1 Gbit/s */ };

/* Bytes that all nodes together start to read in the busiest second, for a list of so many servers. */
static double peak_bytes_per_second(size_t nodes, size_t servers)
{
    static double bytes[SECONDS_MAX];
    cw_time_us_t  window = cw_list_read_window(nodes, servers);
    double        most = 0;
    size_t        index;
    char          name[32];

    for (index = 0; index < SECONDS_MAX; index++) {
        bytes[index] = 0;
    }
    for (index = 0; index < nodes; index++) {
        size_t second;

        (void)snprintf(name, sizeof(name), "front-%zu", index);
        second = (size_t)(cw_list_read_delay(cw_name_hash(name), window) / CW_SECONDS(1));
        ck_assert_uint_lt(second, SECONDS_MAX);
        bytes[second] += (double)servers * CW_LIST_ENTRY_BYTES;
        most = bytes[second] > most ? bytes[second] : most;
    }
    return most;
}

START_TEST(bytes_read_per_second_do_not_grow_with_the_fleet)
{
    ck_assert_double_lt(peak_bytes_per_second(300, 3000), LINK_BYTES_PER_SECOND);
    ck_assert_double_lt(peak_bytes_per_second(1000, 10000), LINK_BYTES_PER_SECOND);
    ck_assert_double_lt(peak_bytes_per_second(2000, 10000), LINK_BYTES_PER_SECOND);
}
END_TEST

START_TEST(a_small_fleet_waits_at_most_200_ms)
{
    ck_assert_int_le(cw_list_read_window(11, 36), CW_MS(10));
    ck_assert_int_le(cw_list_read_window(70, 308), CW_MS(200));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("list read delay");
    TCase *cases = tcase_create("list read delay");

    tcase_add_test(cases, bytes_read_per_second_do_not_grow_with_the_fleet);
    tcase_add_test(cases, a_small_fleet_waits_at_most_200_ms);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
