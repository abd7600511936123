/**
 * @file dropped_entries.c
 * @brief Metric and log event for entries that an array of fixed size could not hold.
 */
#include "base/dropped_entries.h"

#include "base/event_log.h"
#include "base/metrics.h"

void cw_dropped_entries_report(const char *what, size_t capacity, size_t dropped)
{
    cw_event_t event;

    if (dropped == 0) {
        return;
    }
    cw_metric_add(CW_METRIC_ENTRIES_DROPPED, dropped);
    if (cw_event_begin(&event, CW_EVENT_ENTRIES_DROPPED)) {
        cw_event_text(&event, CW_FIELD_REASON, what);
        cw_event_number(&event, CW_FIELD_COUNT, (int64_t)dropped);
        cw_event_number(&event, CW_FIELD_MOST, (int64_t)capacity);
        cw_event_end(&event);
    }
}
