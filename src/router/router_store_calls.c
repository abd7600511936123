/**
 * @file router_store_calls.c
 * @brief Shows in the log what this node has asked of the store lately, and how.
 *
 * Each call has a price, and all nodes together a bound. A line tells the calls of the last while by their way, so that
 * one can see from the logs alone which nodes call, and for what.
 */
#include "router/router_internal.h"

enum { LINE_EVERY_S = 10 };

/** A way of calling: its metric, and its field of the line. */
typedef struct call_way {
    cw_metric_t      metric;
    cw_event_field_t field;
} call_way_t;

static const call_way_t ways[] = {{CW_METRIC_STORE_READS, CW_FIELD_READS},
                                  {CW_METRIC_STORE_WRITES, CW_FIELD_WRITES},
                                  {CW_METRIC_STORE_COPIES, CW_FIELD_COPIES},
                                  {CW_METRIC_STORE_WATCHES, CW_FIELD_WATCHES},
                                  {CW_METRIC_LIST_PAGES, CW_FIELD_LIST_PAGES},
                                  {CW_METRIC_LIST_CHANGES, CW_FIELD_LIST_CHANGES},
                                  {CW_METRIC_LIST_UNCHANGED, CW_FIELD_LIST_UNCHANGED}};

enum { WAYS = sizeof(ways) / sizeof(ways[0]) };

static uint64_t     shown[WAYS]; /* values of the metrics at the last line */
static cw_time_us_t shown_at;

void cw_router_store_calls_tick(cw_time_us_t now)
{
    uint64_t   calls = cw_metric_value(CW_METRIC_STORE_READS) + cw_metric_value(CW_METRIC_STORE_WRITES);
    cw_event_t event;
    size_t     way;

    if (now - shown_at < CW_SECONDS(LINE_EVERY_S) || calls == shown[0] + shown[1]) {
        return;
    }
    shown_at = now;
    if (!cw_event_begin(&event, CW_EVENT_STORE_CALLS)) {
        return;
    }
    for (way = 0; way < WAYS; way++) {
        uint64_t value = cw_metric_value(ways[way].metric);

        cw_event_number(&event, ways[way].field, (int64_t)(value - shown[way]));
        shown[way] = value;
    }
    cw_event_end(&event);
}
