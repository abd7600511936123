/**
 * @file list_history.c
 * @brief Changes of the list of servers by version; see list_history.h.
 */
#include "router/list_history.h"

#include <string.h>

#include "base/text.h"

void cw_list_history_begin(cw_list_history_t *history, cw_server_list_t *list, uint64_t version)
{
    size_t index;

    memset(history, 0, sizeof(*history));
    history->oldest = version;
    for (index = 0; list != NULL && index < list->count; index++) {
        list->entries[index].changed_in = version;
    }
}

static void add_removal(cw_list_history_t *history, const char *id, uint64_t version)
{
    cw_list_removal_t *removal = &history->removed[history->next];

    if (history->count == CW_REMOVED_MAX) {
        history->oldest = removal->version; /* the oldest removal is overwritten */
    } else {
        history->count++;
    }
    cw_text_copy(removal->id, sizeof(removal->id), id);
    removal->version = version;
    history->next = (history->next + 1) % CW_REMOVED_MAX;
}

/** The list that is being added to a history. */
typedef struct list_addition {
    cw_list_history_t *history;
    uint64_t           version;
} list_addition_t;

static void record_change(void *context, const cw_server_entry_t *before, cw_server_entry_t *after)
{
    const list_addition_t *addition = context;

    if (after == NULL) {
        add_removal(addition->history, before->id, addition->version);
    } else {
        after->changed_in =
            before != NULL && cw_server_entry_same(before, after) ? before->changed_in : addition->version;
    }
}

void cw_list_history_add(cw_list_history_t *history, const cw_server_list_t *before, cw_server_list_t *list,
                         uint64_t version)
{
    list_addition_t addition = {.history = history, .version = version};

    cw_server_lists_compare(before, list, record_change, &addition);
}

bool cw_list_history_covers(const cw_list_history_t *history, uint64_t version)
{
    return version != 0 && version >= history->oldest;
}

size_t cw_list_history_removed(const cw_list_history_t *history, uint64_t base, char **ids, size_t room)
{
    size_t count = 0;
    size_t index;

    for (index = 0; index < history->count && count < room; index++) {
        if (history->removed[index].version > base) {
            ids[count++] = (char *)history->removed[index].id;
        }
    }
    return count;
}
