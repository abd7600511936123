/**
 * @file router_store_calls.c
 * @brief Logs how many calls of each kind this node has made to the store recently.
 *
 * Each call has a cost, and there is a bound for the calls of all nodes together. A log line states the calls since the
 * previous line by kind, so that the logs alone show which nodes call the store, and for which purpose.
 */
#include "router/router_internal.h"

enum { LOG_INTERVAL_S = 10 };

/** A kind of calls: its metric, and its field in the log line. */
typedef struct call_kind {
    cw_metric_t      metric;
    cw_event_field_t field;
} call_kind_t;

static const call_kind_t kinds[] = {{CW_METRIC_STORE_READS, CW_FIELD_READS},
                                    {CW_METRIC_STORE_WRITES, CW_FIELD_WRITES},
                                    {CW_METRIC_STORE_COPIES, CW_FIELD_COPIES},
                                    {CW_METRIC_STORE_WATCHES, CW_FIELD_WATCHES},
                                    {CW_METRIC_LIST_PAGES, CW_FIELD_LIST_PAGES},
                                    {CW_METRIC_LIST_CHANGES, CW_FIELD_LIST_CHANGES},
                                    {CW_METRIC_LIST_UNCHANGED, CW_FIELD_LIST_UNCHANGED}};

enum { KINDS = sizeof(kinds) / sizeof(kinds[0]) };

static uint64_t     logged[KINDS]; /* values of the metrics at the previous line */
static cw_time_us_t logged_at;

void cw_router_store_calls_tick(cw_time_us_t now)
{
    uint64_t   calls = cw_metric_value(CW_METRIC_STORE_READS) + cw_metric_value(CW_METRIC_STORE_WRITES);
    cw_event_t event;
    size_t     kind;

    if (now - logged_at < CW_SECONDS(LOG_INTERVAL_S) || calls == logged[0] + logged[1]) {
        return;
    }
    logged_at = now;
    if (!cw_event_begin(&event, CW_EVENT_STORE_CALLS)) {
        return;
    }
    for (kind = 0; kind < KINDS; kind++) {
        uint64_t value = cw_metric_value(kinds[kind].metric);

        cw_event_number(&event, kinds[kind].field, (int64_t)(value - logged[kind]));
        logged[kind] = value;
    }
    cw_event_end(&event);
}
