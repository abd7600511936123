/**
 * @file call_end.c
 * @brief Words for how a caller's request ended.
 */
#include "call_end.h"

#include <string.h>

static const char *const texts[CW_CALL_END_COUNT] = {
    [CW_CALL_ANSWERED] = "answered",       [CW_CALL_NOT_RUN] = "not-run",   [CW_CALL_UNKNOWN] = "unknown",
    [CW_CALL_IN_PROGRESS] = "in-progress", [CW_CALL_NOT_SENT] = "not-sent", [CW_CALL_LOST] = "lost",
    [CW_CALL_TIMED_OUT] = "timed-out",     [CW_CALL_OTHER] = "other",
};

const char *cw_call_end_text(cw_call_end_t end)
{
    return texts[end];
}

bool cw_call_end_parse(const char *text, size_t length, cw_call_end_t *end)
{
    size_t i;

    for (i = 0; i < CW_CALL_END_COUNT; i++) {
        if (strlen(texts[i]) == length && memcmp(texts[i], text, length) == 0) {
            *end = (cw_call_end_t)i;
            return true;
        }
    }
    return false;
}
