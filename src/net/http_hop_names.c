/**
 * @file http_hop_names.c
 * @brief Names of the fields of a message that apply to one connection only.
 */
#include "net/http_hop_names.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/memory.h"

enum { CAPACITY_FIRST = 8 };

static const char separators[] = " \t,";

static void add(cw_http_hop_names_t *names, const char *text, size_t length)
{
    if (names->count == names->capacity) {
        names->capacity = names->capacity == 0 ? CAPACITY_FIRST : 2 * names->capacity;
        names->listed = cw_memory_resize(names->listed, names->capacity * sizeof(*names->listed));
    }
    names->listed[names->count++] = (cw_http_token_t){text, length};
}

static void add_list(cw_http_hop_names_t *names, const char *list)
{
    const char *token = list + strspn(list, separators);

    while (*token != '\0') {
        size_t length = strcspn(token, separators);

        add(names, token, length);
        token += length;
        token += strspn(token, separators);
    }
}

/* Orders by length first, so that a long list of long names is compared by few bytes. */
static int compare(const void *left, const void *right)
{
    const cw_http_token_t *one = left;
    const cw_http_token_t *other = right;

    if (one->length != other->length) {
        return one->length < other->length ? -1 : 1;
    }
    return strncasecmp(one->text, other->text, one->length);
}

cw_http_hop_names_t cw_http_hop_names_of(const cw_http_fields_t *fields)
{
    cw_http_hop_names_t names = {.listed = NULL};
    size_t              index;

    for (index = 0; index < fields->count; index++) {
        const cw_http_field_t *field = &fields->items[index];

        if (field->value != NULL && strcasecmp(field->name, "connection") == 0) {
            add_list(&names, field->value);
        }
    }
    if (names.count > 1) {
        qsort(names.listed, names.count, sizeof(*names.listed), compare);
    }
    return names;
}

bool cw_http_hop_names_have(const cw_http_hop_names_t *names, const char *name)
{
    static const char *const well_known[] = {"connection", "keep-alive", "proxy-connection",
                                             "te",         "trailer",    "transfer-encoding",
                                             "upgrade",    "expect",     "content-length"};
    cw_http_token_t          token = {name, strlen(name)};
    size_t                   index;

    for (index = 0; index < sizeof(well_known) / sizeof(well_known[0]); index++) {
        if (strcasecmp(name, well_known[index]) == 0) {
            return true;
        }
    }
    return names->count > 0 && bsearch(&token, names->listed, names->count, sizeof(token), compare) != NULL;
}

void cw_http_hop_names_clear(cw_http_hop_names_t *names)
{
    free(names->listed);
    memset(names, 0, sizeof(*names));
}
