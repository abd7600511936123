/**
 * @file fuzz_platform.c
 * @brief Fuzzes the decoding of the store's bodies: configurations, servers, records, listings, changes, locks, and
 *        listings with entries that are not JSON. The first byte of an input selects the kind.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "assignment/range.h"
#include "base/byte_buffer.h"
#include "lease/leadership.h"
#include "platform_internal.h"
#include "platform_salvage.h"

enum { KINDS = 6, KIND_SALVAGED = 6 };

static void check_configuration(const json_t *value)
{
    cw_platform_problem_t problem;
    cw_configuration_t   *configuration = cw_platform_parse_configuration(value, &problem);

    if ((configuration == NULL) == (problem.text[0] == '\0')) {
        abort(); /* refused without a reason, or accepted with one */
    }
    if (configuration != NULL) {
        json_t             *written = cw_platform_write_configuration(configuration);
        cw_configuration_t *reread = cw_platform_parse_configuration(written, &problem);

        (void)cw_configuration_match(configuration, "a.example", "/docks/x");
        if (reread == NULL) {
            abort(); /* a written configuration must be readable */
        }
        cw_configuration_release(reread);
        json_decref(written);
        cw_configuration_release(configuration);
    }
}

/* Checks that a body is either refused with a reason or read without one. */
static void check_reason(bool is_read, const cw_platform_problem_t *problem)
{
    if (is_read != (problem->text[0] == '\0')) {
        abort();
    }
}

static void decode_server(const json_t *value)
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

static void decode_page(const json_t *value)
{
    cw_platform_problem_t problem;
    cw_listing_page_t     page;
    cw_stored_object_t    object;
    bool                  is_read = cw_platform_decode_page(&page, value, 0, &problem);
    size_t                index;

    check_reason(is_read, &problem);
    for (index = 0; is_read && index < json_array_size(page.objects); index++) {
        check_reason(cw_platform_decode_listed(&object, value, index, &problem), &problem);
    }
}

static void decode_changes(const json_t *value)
{
    cw_server_list_t     *list = cw_server_list_create();
    cw_platform_problem_t problem;
    cw_object_changes_t   changes;
    bool                  is_read = cw_platform_decode_changes(&changes, value, 0, &problem);

    check_reason(is_read, &problem);
    cw_server_list_seal(list);
    if (is_read) {
        bool is_complete;

        cw_server_list_release(cw_platform_apply_changes(list, value, &is_complete));
    }
    cw_server_list_release(list);
}

static void check_record(const json_t *value)
{
    cw_assignment_record_t record;

    if (cw_assignment_record_from_json(&record, value)) {
        if (!cw_range_list_is_complete(&record.ranges)) {
            abort();
        }
        cw_range_list_clear(&record.ranges);
    }
}

/* Handles a body salvaged from any bytes as a listing and as changes. */
static void check_salvaged(const char *text, size_t length)
{
    json_t *body = cw_platform_salvage(text, length).body;

    if (body != NULL) {
        decode_page(body);
        decode_changes(body);
        json_decref(body);
    }
}

static const char *name_at(const json_t *body, size_t index)
{
    cw_platform_problem_t problem;
    cw_stored_object_t    object;

    (void)cw_platform_decode_listed(&object, body, index, &problem);
    return object.name;
}

/* Checks that an entry of any bytes hides no other entry of its listing, nor what the store states of it: those before
 * it are found, and those behind it unless it is known to be broken. */
static void check_surroundings(const char *entry, size_t length)
{
    static const char before[] = "{\"items\":[{\"metadata\":{\"name\":\"i-a\"},\"spec\":{}},";
    static const char after[] = ",{\"metadata\":{\"name\":\"i-z\"},\"spec\":{}}],\"has-more\":true,\"at\":77}";
    cw_bytes_t        text = {0};
    cw_salvaged_t     salvaged;
    size_t            count;

    cw_bytes_append_text(&text, before);
    cw_bytes_append(&text, entry, length);
    cw_bytes_append_text(&text, after);
    salvaged = cw_platform_salvage(text.data, text.length);
    count = json_array_size(json_object_get(salvaged.body, "items"));
    if (count < 2 || strcmp(name_at(salvaged.body, 0), "i-a") != 0 ||
        (!salvaged.is_broken && strcmp(name_at(salvaged.body, count - 1), "i-z") != 0)) {
        abort();
    }
    if (!json_is_true(json_object_get(salvaged.body, "has-more")) ||
        json_integer_value(json_object_get(salvaged.body, "at")) != 77) {
        abort();
    }
    json_decref(salvaged.body);
    cw_bytes_clear(&text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    json_t   *value = size < 2 ? NULL : json_loadb((const char *)data + 1, size - 1, JSON_DECODE_ANY, NULL);
    cw_lock_t lock;

    if (size > 0 && data[0] % (KINDS + 1) == KIND_SALVAGED) {
        check_salvaged((const char *)data + 1, size - 1);
        check_surroundings((const char *)data + 1, size - 1);
    }
    if (value == NULL) {
        return 0;
    }
    switch (data[0] % KINDS) {
    case 0:
        check_configuration(value);
        break;
    case 1:
        decode_server(value);
        break;
    case 2:
        check_record(value);
        break;
    case 3:
        decode_page(value);
        break;
    case 4:
        decode_changes(value);
        break;
    default:
        (void)cw_lock_from_json(&lock, value);
        break;
    }
    json_decref(value);
    return 0;
}
