/**
 * @file test_traffic_account.c
 * @brief Traffic sent by a node, by kind and distance: counts, metrics and log text.
 */
#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"
#include "peer.pb-c.h"
#include "peer/traffic_account.h"

START_TEST(bytes_and_datagrams_are_counted_by_kind_and_distance)
{
    cw_traffic_account_t account = {0};
    cw_bytes_t           text = {0};

    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_REPORT, CW_DISTANCE_ZONE, 100);
    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_REPORT, CW_DISTANCE_REMOTE, 60);
    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_REPORT, CW_DISTANCE_REMOTE, 40);
    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_SERVERS, CW_DISTANCE_REGION, 7);
    cw_traffic_account_metrics(&account, &text);
    cw_bytes_append(&text, "", 1);
    ck_assert_ptr_nonnull(strstr(text.data, "cedarwinch_peer_bytes_total{kind=\"report\",distance=\"zone\"} 100\n"));
    ck_assert_ptr_nonnull(strstr(text.data, "cedarwinch_peer_bytes_total{kind=\"report\",distance=\"remote\"} 100\n"));
    ck_assert_ptr_nonnull(
        strstr(text.data, "cedarwinch_peer_datagrams_total{kind=\"report\",distance=\"remote\"} 2\n"));
    ck_assert_ptr_nonnull(strstr(text.data, "{kind=\"servers\",distance=\"region\"} 7\n"));
    ck_assert_ptr_null(strstr(text.data, "{kind=\"servers\",distance=\"zone\"}"));
    cw_bytes_clear(&text);
}
END_TEST

START_TEST(a_kind_of_a_later_version_is_counted_as_other)
{
    cw_traffic_account_t account = {0};

    cw_traffic_account_add(&account, CW_TRAFFIC_KINDS + 3, CW_DISTANCE_ZONE, 9);
    ck_assert_str_eq(cw_traffic_kind_name(CW_TRAFFIC_KINDS + 3), "other");
    ck_assert_uint_eq(account.bytes[0][CW_DISTANCE_ZONE], 9);
}
END_TEST

START_TEST(every_kind_of_datagram_has_a_row_and_a_name)
{
    unsigned index;

    for (index = 0; index < cwp__datagram__descriptor.n_fields; index++) {
        const ProtobufCFieldDescriptor *field = &cwp__datagram__descriptor.fields[index];

        ck_assert_uint_lt(field->id, CW_TRAFFIC_KINDS);
        ck_assert_str_eq(cw_traffic_kind_name(field->id), field->name);
    }
}
END_TEST

START_TEST(the_summary_shows_as_many_of_the_largest_kinds_as_fit)
{
    cw_traffic_account_t account = {0};
    char                 text[64];
    char                 narrow[24];

    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_ACK, CW_DISTANCE_REGION, 30);
    cw_traffic_account_add(&account, CWP__DATAGRAM__CONTENT_REPORT, CW_DISTANCE_REGION, 500);
    cw_traffic_account_summary(&account, CW_DISTANCE_REGION, text, sizeof(text));
    ck_assert_str_eq(text, "530 report:500/1 ack:30/1");
    cw_traffic_account_summary(&account, CW_DISTANCE_REGION, narrow, sizeof(narrow));
    ck_assert_str_eq(narrow, "530 report:500/1");
    cw_traffic_account_summary(&account, CW_DISTANCE_REMOTE, text, sizeof(text));
    ck_assert_str_eq(text, "0");
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("traffic account");
    TCase *cases = tcase_create("traffic account");

    tcase_add_test(cases, bytes_and_datagrams_are_counted_by_kind_and_distance);
    tcase_add_test(cases, a_kind_of_a_later_version_is_counted_as_other);
    tcase_add_test(cases, every_kind_of_datagram_has_a_row_and_a_name);
    tcase_add_test(cases, the_summary_shows_as_many_of_the_largest_kinds_as_fit);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
