/**
 * @file server_list.c
 * @brief Snapshot of the servers.
 *
 * Most servers of a snapshot are in the next one as well, so their names and addresses are stored once with a reference
 * count.
 */
#include "model/server_list.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/memory.h"
#include "model/server_incarnation.h"

enum { INITIAL_CAPACITY = 16 };

struct cw_server_identity {
    size_t   references;
    uint64_t hash; /* of id, service and address */
    char     texts[];
};

/* ---- entries ---- */

static size_t size_of(const char *text)
{
    return strlen(text) + 1;
}

static char *copy_text(char **place, const char *text)
{
    char *copy = *place;

    memcpy(copy, text, size_of(text));
    *place += size_of(text);
    return copy;
}

static uint64_t hash_of_texts(const cw_server_entry_t *entry)
{
    uint64_t hash = XXH3_64bits(entry->id, strlen(entry->id));

    hash = XXH3_64bits_withSeed(entry->service, strlen(entry->service), hash);
    return XXH3_64bits_withSeed(entry->address, strlen(entry->address), hash);
}

static uint64_t identity_hash(const cw_server_entry_t *entry)
{
    return entry->identity != NULL ? entry->identity->hash : hash_of_texts(entry);
}

/* Returns a copy of an entry whose texts belong to a new identity. */
static cw_server_entry_t with_identity(const cw_server_entry_t *entry)
{
    size_t size = size_of(entry->id) + size_of(entry->service) + size_of(entry->address) + size_of(entry->zone);
    cw_server_identity_t *identity = malloc(sizeof(*identity) + size);
    cw_server_entry_t     copy = *entry;
    char                 *place;

    if (identity == NULL) {
        abort();
    }
    identity->references = 1;
    identity->hash = hash_of_texts(entry);
    place = identity->texts;
    copy.id = copy_text(&place, entry->id);
    copy.service = copy_text(&place, entry->service);
    copy.address = copy_text(&place, entry->address);
    copy.zone = copy_text(&place, entry->zone);
    copy.identity = identity;
    return copy;
}

static cw_server_entry_t copy_entry(const cw_server_entry_t *entry)
{
    if (entry->identity == NULL) {
        return with_identity(entry);
    }
    entry->identity->references++;
    return *entry;
}

static void free_entry(cw_server_entry_t *entry)
{
    if (entry->identity == NULL) {
        free(entry->id);
        free(entry->service);
        free(entry->address);
        free(entry->zone);
    } else if (--entry->identity->references == 0) {
        free(entry->identity);
    }
}

void cw_server_entry_replace(cw_server_entry_t *entry, const cw_server_entry_t *with)
{
    cw_server_entry_t copy = copy_entry(with);

    free_entry(entry);
    *entry = copy;
}

bool cw_server_entry_same(const cw_server_entry_t *left, const cw_server_entry_t *right)
{
    bool is_same_incarnation = (left->identity != NULL && left->identity == right->identity) ||
                               (strcmp(left->id, right->id) == 0 && strcmp(left->service, right->service) == 0 &&
                                strcmp(left->address, right->address) == 0);

    return is_same_incarnation && left->draining == right->draining &&
           (left->missing_since != 0) == (right->missing_since != 0) &&
           (left->cold_time != 0) == (right->cold_time != 0) && left->capacity == right->capacity;
}

/* ---- lists ---- */

cw_server_list_t *cw_server_list_create(void)
{
    cw_server_list_t *list = cw_memory_zeroed(sizeof(*list));

    list->references = 1;
    return list;
}

static void reserve(cw_server_list_t *list, size_t count)
{
    if (count <= list->capacity) {
        return;
    }
    list->capacity = count;
    list->entries = cw_memory_resize(list->entries, list->capacity * sizeof(*list->entries));
}

cw_server_entry_t *cw_server_list_add(cw_server_list_t *list)
{
    if (list->count == list->capacity) {
        reserve(list, list->capacity == 0 ? INITIAL_CAPACITY : 2 * list->capacity);
    }
    memset(&list->entries[list->count], 0, sizeof(*list->entries));
    return &list->entries[list->count++];
}

static int compare_entries(const void *left, const void *right)
{
    return strcmp(((const cw_server_entry_t *)left)->id, ((const cw_server_entry_t *)right)->id);
}

void cw_server_list_seal(cw_server_list_t *list)
{
    free(list->by_address);
    list->by_address = NULL;
    if (list->count > 1) {
        qsort(list->entries, list->count, sizeof(*list->entries), compare_entries);
    }
}

void cw_server_list_put(cw_server_list_t *list, size_t sealed, const cw_server_entry_t *entry)
{
    cw_server_list_t   known = {.entries = list->entries, .count = sealed};
    cw_server_entry_t *place = (cw_server_entry_t *)cw_server_list_find(&known, entry->id);
    cw_server_entry_t  copy = copy_entry(entry);

    if (place == NULL) {
        place = cw_server_list_add(list);
    } else {
        free_entry(place);
    }
    *place = copy;
}

static int compare_texts(const void *left, const void *right)
{
    return strcmp(*(char *const *)left, *(char *const *)right);
}

/* Returns a sorted copy of the array of ids, which the caller frees. */
static char **sort_ids(char *const *ids, size_t count)
{
    char **sorted = cw_memory_zeroed_items(count + 1, sizeof(*sorted));

    if (count > 0) {
        memcpy(sorted, ids, count * sizeof(*sorted));
        qsort(sorted, count, sizeof(*sorted), compare_texts);
    }
    return sorted;
}

cw_server_list_t *cw_server_list_copy_without(const cw_server_list_t *list, char *const *ids, size_t count)
{
    cw_server_list_t *copy = cw_server_list_create();
    char            **sorted = sort_ids(ids, count);
    size_t            index;

    reserve(copy, list->count);
    for (index = 0; index < list->count; index++) {
        if (count == 0 || bsearch(&list->entries[index].id, sorted, count, sizeof(*sorted), compare_texts) == NULL) {
            *cw_server_list_add(copy) = copy_entry(&list->entries[index]);
        }
    }
    free(sorted);
    cw_name_set_copy(&copy->zones_out, &list->zones_out);
    return copy;
}

/* The hash is a sum over the entries. Entries are sorted and ids are unique, so the sum distinguishes lists. */
uint64_t cw_server_list_hash(const cw_server_list_t *list)
{
    uint64_t hash = list->count + cw_name_set_hash(&list->zones_out);
    size_t   index;

    for (index = 0; index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[index];
        uint64_t                 state = 8 * (uint64_t)entry->capacity + (entry->draining ? 1 : 0) +
                         (entry->missing_since != 0 ? 2 : 0) + (entry->cold_time != 0 ? 4 : 0);
        uint64_t words[2] = {identity_hash(entry), state};

        hash += XXH3_64bits(words, sizeof(words));
    }
    return hash;
}

cw_server_list_t *cw_server_list_retain(cw_server_list_t *list)
{
    list->references++;
    return list;
}

void cw_server_list_release(cw_server_list_t *list)
{
    size_t index;

    if (list == NULL || --list->references > 0) {
        return;
    }
    for (index = 0; index < list->count; index++) {
        free_entry(&list->entries[index]);
    }
    free(list->entries);
    free(list->by_address);
    cw_name_set_clear(&list->zones_out);
    free(list);
}

/* ---- lookup ---- */

/* Returns the index of the first entry whose id is not less than this one. */
static size_t place_of(const cw_server_list_t *list, const char *id)
{
    size_t low = 0;
    size_t high = list == NULL ? 0 : list->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (strcmp(list->entries[middle].id, id) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

const cw_server_entry_t *cw_server_list_find(const cw_server_list_t *list, const char *id)
{
    size_t place = place_of(list, id);

    return list != NULL && place < list->count && strcmp(list->entries[place].id, id) == 0 ? &list->entries[place]
                                                                                           : NULL;
}

/* Finds the latest incarnation. Ids of one server are adjacent, except an id without a start time. */
static const cw_server_entry_t *find_newest(const cw_server_list_t *list, const char *name, size_t length)
{
    const cw_server_entry_t *newest = NULL;
    char                     prefix[CW_SERVER_ID_MAX + 1];
    size_t                   place;

    if (list == NULL || length >= CW_SERVER_ID_MAX) {
        return NULL;
    }
    memcpy(prefix, name, length);
    prefix[length] = '\0';
    newest = cw_server_list_find(list, prefix);
    prefix[length] = CW_SERVER_ID_MARK;
    prefix[length + 1] = '\0';
    for (place = place_of(list, prefix);
         place < list->count && strncmp(list->entries[place].id, prefix, length + 1) == 0; place++) {
        const cw_server_entry_t *entry = &list->entries[place];

        if (cw_server_id_name_length(entry->id) == length &&
            (newest == NULL || cw_server_id_succeeds(entry->id, newest->id))) {
            newest = entry;
        }
    }
    return newest;
}

const cw_server_entry_t *cw_server_list_newest(const cw_server_list_t *list, const char *id)
{
    return find_newest(list, id, cw_server_id_name_length(id));
}

const cw_server_entry_t *cw_server_list_newest_by_name(const cw_server_list_t *list, const char *name)
{
    return find_newest(list, name, strlen(name));
}

static const cw_server_list_t *sorted_list; /* for compare_addresses, since qsort passes no context */

static int compare_addresses(const void *left, const void *right)
{
    return strcmp(sorted_list->entries[*(const uint32_t *)left].address,
                  sorted_list->entries[*(const uint32_t *)right].address);
}

static uint32_t *sort_by_address(const cw_server_list_t *list)
{
    uint32_t *places = malloc((list->count + 1) * sizeof(*places));
    size_t    index;

    if (places == NULL) {
        abort();
    }
    for (index = 0; index < list->count; index++) {
        places[index] = (uint32_t)index;
    }
    sorted_list = list;
    qsort(places, list->count, sizeof(*places), compare_addresses);
    return places;
}

/* Returns the first position in by_address whose address is not less than this one. */
static size_t first_at_address(const cw_server_list_t *list, const char *address)
{
    size_t low = 0;
    size_t high = list->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (strcmp(list->entries[list->by_address[middle]].address, address) < 0) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static const cw_server_entry_t *other_at_address(const cw_server_list_t *list, const char *id, const char *address)
{
    size_t index;

    for (index = first_at_address(list, address); index < list->count; index++) {
        const cw_server_entry_t *entry = &list->entries[list->by_address[index]];

        if (strcmp(entry->address, address) != 0) {
            break;
        }
        if (strcmp(entry->id, id) != 0) {
            return entry;
        }
    }
    return NULL;
}

const cw_server_entry_t *cw_server_list_later_incarnation(const cw_server_list_t *list, const char *id)
{
    const cw_server_entry_t *newest = list == NULL ? NULL : cw_server_list_newest(list, id);

    return newest != NULL && cw_server_id_succeeds(newest->id, id) ? newest : NULL;
}

const cw_server_entry_t *cw_server_list_successor(const cw_server_list_t *list, const char *id, const char *address)
{
    const cw_server_entry_t *found;

    if (list == NULL) {
        return NULL;
    }
    if (list->by_address == NULL) {
        /* The index is a cache: it does not change the contents of the list. */
        ((cw_server_list_t *)list)->by_address = sort_by_address(list);
    }
    found = other_at_address(list, id, address);
    return found != NULL ? found : cw_server_list_later_incarnation(list, id);
}

/* ---- comparison ---- */

void cw_server_lists_compare(const cw_server_list_t *before, cw_server_list_t *after, cw_server_compared_t compared,
                             void *context)
{
    size_t before_count = before == NULL ? 0 : before->count;
    size_t old = 0;
    size_t new = 0;

    while (old < before_count || new < after->count) {
        int order = old == before_count   ? 1
                    : new == after->count ? -1
                                          : strcmp(before->entries[old].id, after->entries[new].id);

        compared(context, order <= 0 ? &before->entries[old] : NULL, order >= 0 ? &after->entries[new] : NULL);
        old += order <= 0 ? 1 : 0;
        new += order >= 0 ? 1 : 0;
    }
}

bool cw_server_list_same(const cw_server_list_t *left, const cw_server_list_t *right)
{
    size_t index;

    if (left == NULL || right == NULL || left->count != right->count) {
        return left == right;
    }
    if (!cw_name_set_same(&left->zones_out, &right->zones_out)) {
        return false;
    }
    for (index = 0; index < left->count; index++) {
        if (!cw_server_entry_same(&left->entries[index], &right->entries[index])) {
            return false;
        }
    }
    return true;
}
