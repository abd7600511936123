/**
 * @file test_settings_file.c
 * @brief Modules of a node's own state: whether the settings file has changed, and the most nodes alive of late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "loop_fixture.h"
#include "router/peak_nodes.h"
#include "router/settings_file.h"

static const cw_time_us_t interval = CW_MS(CW_SETTINGS_FILE_CHECK_MS);

static void write_file(const char *name, const char *text)
{
    FILE *file = fopen(name, "w");

    ck_assert_ptr_nonnull(file);
    fputs(text, file);
    fclose(file);
}

START_TEST(a_changed_file_is_noticed_once_and_at_intervals)
{
    char               name[] = "/tmp/settings-file-XXXXXX";
    cw_settings_file_t file;
    int                descriptor = mkstemp(name);

    ck_assert_int_ge(descriptor, 0);
    close(descriptor);
    cw_settings_file_init(&file, name);
    ck_assert(!cw_settings_file_has_changed(&file, interval));
    write_file(name, "zone: z1");
    ck_assert(!cw_settings_file_has_changed(&file, 2 * interval - 1));
    ck_assert(cw_settings_file_has_changed(&file, 2 * interval));
    ck_assert(!cw_settings_file_has_changed(&file, 3 * interval));
    write_file(name, "zone: z1, and more");
    cw_settings_file_record_read(&file);
    ck_assert(!cw_settings_file_has_changed(&file, 4 * interval));
    unlink(name);
    ck_assert(!cw_settings_file_has_changed(&file, 5 * interval));
    write_file(name, "zone: z2, after it was gone");
    ck_assert(cw_settings_file_has_changed(&file, 6 * interval));
    unlink(name);
}
END_TEST

START_TEST(a_peak_holds_for_a_window)
{
    cw_peak_nodes_t peak = {.count = 0};

    cw_peak_nodes_record(&peak, 8, CW_SECONDS(10), CW_SECONDS(1));
    ck_assert_uint_eq(peak.count, 8);
    cw_peak_nodes_record(&peak, 3, CW_SECONDS(10), CW_SECONDS(11));
    ck_assert_uint_eq(peak.count, 8);
    cw_peak_nodes_record(&peak, 3, CW_SECONDS(10), CW_SECONDS(11) + 1);
    ck_assert_uint_eq(peak.count, 3);
    cw_peak_nodes_record(&peak, 3, CW_SECONDS(10), CW_SECONDS(20));
    ck_assert_int_eq(peak.at, CW_SECONDS(20));
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("settings file");
    TCase *cases = tcase_create("modules");

    tcase_add_test(cases, a_changed_file_is_noticed_once_and_at_intervals);
    tcase_add_test(cases, a_peak_holds_for_a_window);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
