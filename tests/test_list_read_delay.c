/**
 * @file test_list_read_delay.c
 * @brief Nodes that all lack a list: what they read of the store together is bounded, however many they are.
 *
 * Pattern of load: all nodes' lists get old in the same moment.
 */
#include <stdio.h>

#include "loop_fixture.h"
#include "router/key_tables.h"
#include "router/list_read_delay.h"

enum { SECONDS_MOST = 200, LINK_BYTES_A_SECOND = 125000000 /* of a store: 1 Gbit/s */ };

/* Bytes that nodes of so many servers begin to read in the busiest second. */
static double busiest_second(size_t nodes, size_t servers)
{
    static double bytes[SECONDS_MOST];
    cw_time_us_t  window = cw_reading_window(nodes, servers);
    double        most = 0;
    size_t        index;
    char          name[32];

    for (index = 0; index < SECONDS_MOST; index++) {
        bytes[index] = 0;
    }
    for (index = 0; index < nodes; index++) {
        size_t second;

        (void)snprintf(name, sizeof(name), "front-%zu", index);
        second = (size_t)(cw_reading_turn(cw_name_hash(name), window) / CW_SECONDS(1));
        ck_assert_uint_lt(second, SECONDS_MOST);
        bytes[second] += (double)servers * CW_LIST_ENTRY_BYTES;
        most = bytes[second] > most ? bytes[second] : most;
    }
    return most;
}

START_TEST(what_a_fleet_reads_in_a_second_does_not_grow_with_it)
{
    ck_assert_double_lt(busiest_second(300, 3000), LINK_BYTES_A_SECOND);
    ck_assert_double_lt(busiest_second(1000, 10000), LINK_BYTES_A_SECOND);
    ck_assert_double_lt(busiest_second(2000, 10000), LINK_BYTES_A_SECOND);
}
END_TEST

START_TEST(few_nodes_hardly_wait)
{
    ck_assert_int_le(cw_reading_window(11, 36), CW_MS(10));
    ck_assert_int_le(cw_reading_window(70, 308), CW_MS(200));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("reading turn");
    TCase *cases = tcase_create("reading turn");

    tcase_add_test(cases, what_a_fleet_reads_in_a_second_does_not_grow_with_it);
    tcase_add_test(cases, few_nodes_hardly_wait);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
