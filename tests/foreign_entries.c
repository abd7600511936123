/**
 * @file foreign_entries.c
 * @brief Writes entries to the byte store, and checks what was read of them.
 */
#include "foreign_entries.h"

#include <stdio.h>
#include <string.h>

#include "loop_fixture.h"

const byte_store_limits_t foreign_wide = {.items = 500, .bytes = 1000000};
const byte_store_limits_t foreign_single = {.items = 1, .bytes = 1000000};

/* ---- what is written ---- */

void foreign_put(const char *kind, const char *name, const char *bytes)
{
    byte_store_put(kind, name, bytes, strlen(bytes));
}

void foreign_put_server(const char *name, const char *state)
{
    char text[512];

    snprintf(text, sizeof(text),
             "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
             "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\",\"sequence\":1,\"cold_ms\":0}}",
             name, (int)byte_store_next_revision(), state);
    foreign_put("servers", name, text);
}

/* An entry of another writer with these bytes in the place of a text. */
void foreign_put_note(const char *kind, const char *name, const char *note)
{
    char text[4096];

    snprintf(text, sizeof(text), "{\"metadata\":{\"name\":\"%s\",\"revision\":%d},\"spec\":{\"note\":\"%s\"}}", name,
             (int)byte_store_next_revision(), note);
    foreign_put(kind, name, text);
}

void foreign_put_configuration(int version)
{
    char text[512];

    snprintf(
        text, sizeof(text),
        "{\"metadata\":{\"name\":\"main\",\"revision\":%d},\"spec\":{\"version\":%d,\"routes\":[],\"services\":[]}}",
        (int)byte_store_next_revision(), version);
    foreign_put("config", "main", text);
}

const char *const foreign_notes[FOREIGN_NOTES] = {
    "\"\"\"\"\"\"\"\"\"\"\"",             /* the text ends, and the structure around it breaks */
    "\\\\\\\\\\\\\\\\\\\\\\",             /* the text does not end where it should */
    "\xff\xfe",                           /* no UTF-8 */
    "\"}},{\"",                           /* the entry seems to end */
    "\"}}],\"has-more\":false,\"at\":1}", /* the list seems to end */
    "\"}},",                              /* another entry seems to follow */
    "\",\"a\":[[[{\"b\":\"",              /* brackets are opened and not closed */
    "\"}}}}}]]]]",                        /* brackets are closed that were not opened */
    "\\u00",                              /* half of an escape */
    "\\ud800",                            /* half of a character */
    "\\u0000",                            /* a zero byte */
    "\n\r\t\x01",                         /* control characters */
    "\",\"note\":\"",                     /* a member twice */
};

/* ---- what is known ---- */

const cw_server_entry_t *foreign_listed(const char *name)
{
    const cw_server_list_t *list = byte_store_reports()->read.list;

    ck_assert_msg(list != NULL, "the list was not read");
    return cw_server_list_find(list, name);
}

void foreign_check_listed(size_t count, const char *const *names)
{
    size_t index;

    for (index = 0; index < count; index++) {
        ck_assert_msg(foreign_listed(names[index]) != NULL, "%s is not listed", names[index]);
    }
    ck_assert_uint_eq(byte_store_reports()->read.list->count, count);
}

static bool has_version(void *context)
{
    return byte_store_reports()->version == *(const uint64_t *)context;
}

void foreign_wait_for_version(uint64_t version)
{
    byte_store_wait(has_version, &version);
}
