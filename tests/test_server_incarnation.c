/**
 * @file test_server_incarnation.c
 * @brief Tests of server ids, which consist of a name and, if it is stated, a start time.
 */
#include <string.h>

#include "loop_fixture.h"
#include "model/server_incarnation.h"
#include "model/server_list.h"

START_TEST(an_id_is_the_name_if_no_start_time_is_stated)
{
    char id[CW_SERVER_ID_MAX];

    ck_assert(cw_server_id_write(id, "i-7f3a", 0));
    ck_assert_str_eq(id, "i-7f3a");
    ck_assert_uint_eq(cw_server_id_name_length(id), strlen("i-7f3a"));
    ck_assert_uint_eq(cw_server_id_start_ms(id), 0);
    ck_assert(cw_server_id_has_name(id, "i-7f3a"));
    ck_assert(!cw_server_id_has_name(id, "i-7f3"));
}
END_TEST

START_TEST(a_start_time_is_part_of_the_id_and_not_of_the_name)
{
    char id[CW_SERVER_ID_MAX];

    ck_assert(cw_server_id_write(id, "i-7f3a", 1796276400123));
    ck_assert_str_eq(id, "i-7f3a@1796276400123");
    ck_assert_uint_eq(cw_server_id_name_length(id), strlen("i-7f3a"));
    ck_assert_uint_eq(cw_server_id_start_ms(id), 1796276400123);
    ck_assert(cw_server_id_has_name(id, "i-7f3a"));
}
END_TEST

START_TEST(a_name_may_contain_the_mark)
{
    char id[CW_SERVER_ID_MAX];

    ck_assert(cw_server_id_write(id, "a@7", 0));
    ck_assert(cw_server_id_has_name(id, "a@7"));
    ck_assert_uint_eq(cw_server_id_start_ms(id), 0);
}
END_TEST

START_TEST(an_id_that_is_too_long_is_not_written)
{
    char id[CW_SERVER_ID_MAX] = "before";

    ck_assert(!cw_server_id_write(id, "i-0123456789abcdef0123456789abcdef", 1796276400123));
    ck_assert_str_eq(id, "before");
}
END_TEST

START_TEST(a_later_incarnation_of_the_same_server_succeeds_an_earlier_one)
{
    ck_assert(cw_server_id_succeeds("i-a@2000", "i-a@1000"));
    ck_assert(!cw_server_id_succeeds("i-a@1000", "i-a@2000"));
    ck_assert(!cw_server_id_succeeds("i-a@1000", "i-a@1000"));
    ck_assert(!cw_server_id_succeeds("i-ab@2000", "i-a@1000"));
    ck_assert(cw_server_id_succeeds("i-a@2000", "i-a"));
}
END_TEST

static cw_server_list_t *list_of(const char *const *ids)
{
    cw_server_list_t *list = cw_server_list_create();

    for (; *ids != NULL; ids++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        entry->id = strdup(*ids);
        entry->service = strdup("s");
        entry->address = strdup("10.0.0.1:80");
        entry->zone = strdup("z");
    }
    cw_server_list_seal(list);
    return list;
}

START_TEST(the_newest_incarnation_is_found_among_names_with_a_common_prefix)
{
    static const char *const ids[] = {"i-1", "i-10@50", "i-1@9", "i-1@1000", "i-1a@2000", NULL};
    cw_server_list_t        *list = list_of(ids);

    ck_assert_str_eq(cw_server_list_newest(list, "i-1@5")->id, "i-1@1000");
    ck_assert_str_eq(cw_server_list_newest_by_name(list, "i-1")->id, "i-1@1000");
    ck_assert_str_eq(cw_server_list_newest_by_name(list, "i-10")->id, "i-10@50");
    ck_assert_ptr_null(cw_server_list_newest_by_name(list, "i-"));
    cw_server_list_release(list);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("server_incarnation");
    TCase *cases = tcase_create("server_incarnation");

    tcase_add_test(cases, an_id_is_the_name_if_no_start_time_is_stated);
    tcase_add_test(cases, a_start_time_is_part_of_the_id_and_not_of_the_name);
    tcase_add_test(cases, a_name_may_contain_the_mark);
    tcase_add_test(cases, an_id_that_is_too_long_is_not_written);
    tcase_add_test(cases, a_later_incarnation_of_the_same_server_succeeds_an_earlier_one);
    tcase_add_test(cases, the_newest_incarnation_is_found_among_names_with_a_common_prefix);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
