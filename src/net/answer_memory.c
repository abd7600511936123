/**
 * @file answer_memory.c
 * @brief Memory for the bodies of answers, and which answer has most of it.
 */
#include "net/answer_memory.h"

#include <utlist.h>

bool cw_answer_memory_reserve(cw_answer_memory_t *memory, cw_answer_share_t *share, size_t bytes)
{
    if (!cw_body_budget_reserve(&memory->budget, bytes)) {
        return false;
    }
    if (share->bytes == 0 && bytes > 0) {
        DL_APPEND(memory->shares, share);
    }
    share->bytes += bytes;
    return true;
}

void cw_answer_memory_release(cw_answer_memory_t *memory, cw_answer_share_t *share)
{
    if (share->bytes == 0) {
        return;
    }
    DL_DELETE(memory->shares, share);
    cw_body_budget_release(&memory->budget, share->bytes);
    share->bytes = 0;
}

cw_answer_share_t *cw_answer_memory_largest(const cw_answer_memory_t *memory)
{
    cw_answer_share_t *largest = memory->shares;
    cw_answer_share_t *share;

    DL_FOREACH(memory->shares, share)
    {
        if (share->bytes > largest->bytes) {
            largest = share;
        }
    }
    return largest;
}
