/**
 * @file http_pipeline.c
 * @brief Pipeline of the requests of one connection.
 */
#include "net/http_pipeline.h"

#include <utlist.h>

bool cw_pipeline_has_room(const cw_pipeline_t *pipeline, const cw_pipeline_limits_t *limits)
{
    return !pipeline->ended && pipeline->count < limits->depth &&
           (pipeline->count == 0 || pipeline->answer_bytes < limits->bytes);
}

void cw_pipeline_append(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry)
{
    DL_APPEND(pipeline->entries, entry);
    pipeline->count++;
    pipeline->ended = pipeline->ended || entry->last;
}

cw_pipeline_entry_t *cw_pipeline_next_to_dispatch(const cw_pipeline_t *pipeline)
{
    cw_pipeline_entry_t *entry;
    bool                 all_answered = true;

    DL_FOREACH(pipeline->entries, entry)
    {
        if (entry->state == CW_PIPELINE_WAITING) {
            return entry->is_safe || all_answered ? entry : NULL;
        }
        if (entry->state == CW_PIPELINE_DISPATCHED) {
            if (!entry->is_safe) {
                return NULL;
            }
            all_answered = false;
        }
    }
    return NULL;
}

cw_pipeline_entry_t *cw_pipeline_next_to_write(const cw_pipeline_t *pipeline)
{
    cw_pipeline_entry_t *oldest = pipeline->entries;

    return oldest != NULL && oldest->state == CW_PIPELINE_ANSWERED ? oldest : NULL;
}

void cw_pipeline_answered(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry, size_t answer_bytes)
{
    entry->state = CW_PIPELINE_ANSWERED;
    entry->answer_bytes = answer_bytes;
    pipeline->answer_bytes += answer_bytes;
}

bool cw_pipeline_closes(const cw_pipeline_t *pipeline, const cw_pipeline_entry_t *entry)
{
    return pipeline->ended && entry->next == NULL;
}

cw_pipeline_entry_t *cw_pipeline_newest_dispatched(const cw_pipeline_t *pipeline)
{
    cw_pipeline_entry_t *newest = NULL;
    cw_pipeline_entry_t *entry;

    DL_FOREACH(pipeline->entries, entry)
    {
        if (entry->state == CW_PIPELINE_WAITING) {
            break;
        }
        newest = entry;
    }
    return newest;
}

void cw_pipeline_remove(cw_pipeline_t *pipeline, cw_pipeline_entry_t *entry)
{
    DL_DELETE(pipeline->entries, entry);
    pipeline->count--;
    pipeline->answer_bytes -= entry->answer_bytes;
    entry->answer_bytes = 0;
}

cw_pipeline_entry_t *cw_pipeline_end(cw_pipeline_t *pipeline)
{
    cw_pipeline_entry_t *entry;

    pipeline->ended = true;
    DL_FOREACH(pipeline->entries, entry)
    {
        if (entry->state == CW_PIPELINE_WAITING) {
            break;
        }
    }
    if (entry == NULL) {
        return NULL;
    }
    entry = pipeline->entries->prev; /* the newest */
    cw_pipeline_remove(pipeline, entry);
    return entry;
}
