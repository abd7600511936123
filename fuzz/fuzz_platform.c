/**
 * @file fuzz_platform.c
 * @brief Bodies of the store: configurations, servers, records, listings, changes, locks, and listings with entries
 * that are no JSON text. The first byte chooses.
 */
#include <stdint.h>
#include <stdlib.h>

#include "assignment/range.h"
#include "lease/leadership.h"
#include "platform_internal.h"
#include "platform_salvage.h"

enum { KINDS = 6, SALVAGED = 6 };

static void take_configuration(const json_t *value)
{
    cw_platform_problem_t problem;
    cw_configuration_t   *configuration = cw_platform_parse_configuration(value, &problem);

    if ((configuration == NULL) == (problem.text[0] == '\0')) {
        abort(); /* refused without a reason, or taken with one */
    }
    if (configuration != NULL) {
        json_t             *written = cw_platform_write_configuration(configuration);
        cw_configuration_t *again = cw_platform_parse_configuration(written, &problem);

        (void)cw_configuration_match(configuration, "a.example", "/docks/x");
        if (again == NULL) {
            abort(); /* what is written can be read */
        }
        cw_configuration_release(again);
        json_decref(written);
        cw_configuration_release(configuration);
    }
}

/* A body is refused with a reason, or read without one. */
static void check_reason(bool is_read, const cw_platform_problem_t *problem)
{
    if (is_read != (problem->text[0] == '\0')) {
        abort();
    }
}

static void take_server(const json_t *value)
{
    cw_server_list_t     *list = cw_server_list_create();
    cw_platform_problem_t problem;
    cw_stored_object_t    object;
    bool                  is_read = cw_platform_decode_object(&object, value, &problem);

    check_reason(is_read, &problem);
    if (is_read) {
        check_reason(cw_platform_decode_server(list, &object), &problem);
    }
    cw_server_list_seal(list);
    (void)cw_server_list_find(list, "i-a");
    cw_server_list_release(list);
}

static void take_page(const json_t *value)
{
    cw_platform_problem_t problem;
    cw_listing_page_t     page;
    cw_stored_object_t    object;
    bool                  is_read = cw_platform_decode_page(&page, value, &problem);
    size_t                index;

    check_reason(is_read, &problem);
    for (index = 0; is_read && index < json_array_size(page.objects); index++) {
        check_reason(cw_platform_decode_listed(&object, value, index, &problem), &problem);
    }
}

static void take_changes(const json_t *value)
{
    cw_server_list_t     *list = cw_server_list_create();
    cw_platform_problem_t problem;
    cw_object_changes_t   changes;
    bool                  is_read = cw_platform_decode_changes(&changes, value, &problem);

    check_reason(is_read, &problem);
    cw_server_list_seal(list);
    if (is_read) {
        cw_server_list_release(cw_platform_apply_changes(list, value));
    }
    cw_server_list_release(list);
}

static void take_record(const json_t *value)
{
    cw_assignment_record_t record;

    if (cw_assignment_record_from_json(&record, value)) {
        if (!cw_range_list_is_complete(&record.ranges)) {
            abort();
        }
        cw_range_list_clear(&record.ranges);
    }
}

/* What is salvaged of any bytes can be written and read again, and is taken as any listing is. */
static void take_salvaged(const char *text, size_t length)
{
    json_t *body = cw_platform_salvage(text, length);
    char   *written;
    json_t *again;

    if (body == NULL) {
        return;
    }
    written = json_dumps(body, JSON_COMPACT);
    again = written == NULL ? NULL : json_loads(written, 0, NULL);
    if (again == NULL || !json_equal(body, again)) {
        abort();
    }
    take_page(body);
    take_changes(body);
    json_decref(again);
    free(written);
    json_decref(body);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    json_t   *value = size < 2 ? NULL : json_loadb((const char *)data + 1, size - 1, JSON_DECODE_ANY, NULL);
    cw_lock_t lock;

    if (size > 0 && data[0] % (KINDS + 1) == SALVAGED) {
        take_salvaged((const char *)data + 1, size - 1);
    }
    if (value == NULL) {
        return 0;
    }
    switch (data[0] % KINDS) {
    case 0:
        take_configuration(value);
        break;
    case 1:
        take_server(value);
        break;
    case 2:
        take_record(value);
        break;
    case 3:
        take_page(value);
        break;
    case 4:
        take_changes(value);
        break;
    default:
        (void)cw_lock_from_json(&lock, value);
        break;
    }
    json_decref(value);
    return 0;
}
