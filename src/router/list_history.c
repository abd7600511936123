/**
 * @file list_history.c
 * @brief Changes of the list of servers, by number.
 */
#include "router/list_history.h"

#include <string.h>

#include "base/text.h"

void cw_list_history_begin(cw_list_history_t *history, cw_server_list_t *list, uint64_t number)
{
    size_t index;

    memset(history, 0, sizeof(*history));
    history->oldest = number;
    for (index = 0; list != NULL && index < list->count; index++) {
        list->entries[index].changed_in = number;
    }
}

static void add_removal(cw_list_history_t *history, const char *id, uint64_t number)
{
    cw_list_removal_t *removal = &history->removed[history->next];

    if (history->count == CW_REMOVED_MAX) {
        history->oldest = removal->number; /* what it told is forgotten */
    } else {
        history->count++;
    }
    cw_text_copy(removal->id, sizeof(removal->id), id);
    removal->number = number;
    history->next = (history->next + 1) % CW_REMOVED_MAX;
}

void cw_list_history_add(cw_list_history_t *history, const cw_server_list_t *before, cw_server_list_t *list,
                         uint64_t number)
{
    size_t index;

    for (index = 0; index < list->count; index++) {
        cw_server_entry_t       *entry = &list->entries[index];
        const cw_server_entry_t *known = cw_server_list_find(before, entry->id);

        entry->changed_in = known != NULL && cw_server_entry_same(known, entry) ? known->changed_in : number;
    }
    for (index = 0; before != NULL && index < before->count; index++) {
        if (cw_server_list_find(list, before->entries[index].id) == NULL) {
            add_removal(history, before->entries[index].id, number);
        }
    }
}

bool cw_list_history_covers(const cw_list_history_t *history, uint64_t number)
{
    return number != 0 && number >= history->oldest;
}

size_t cw_list_history_removed(const cw_list_history_t *history, uint64_t base, char **ids, size_t room)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < history->count && count < room; index++) {
        if (history->removed[index].number > base) {
            ids[count++] = (char *)history->removed[index].id;
        }
    }
    return count;
}
