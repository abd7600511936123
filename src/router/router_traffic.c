/**
 * @file router_traffic.c
 * @brief Shows what this node has sent to others: as metrics, and in the log when the process ends.
 */
#include "router/router_internal.h"

enum { SUMMARY_MAX = 240 /**< bytes for one distance: three of them fit in a line of the log (CW_EVENT_LINE_MAX) */ };

void cw_router_traffic_metrics(const cw_router_t *router, cw_bytes_t *text)
{
    cw_traffic_account_metrics(cw_peer_link_traffic(router->link), text);
}

void cw_router_log_traffic(const cw_router_t *router)
{
    static const cw_event_field_t fields[CW_DISTANCES] = {CW_FIELD_SENT_ZONE, CW_FIELD_SENT_REGION,
                                                          CW_FIELD_SENT_REMOTE};
    char                          summary[SUMMARY_MAX];
    cw_event_t                    event;
    int                           distance;

    if (!cw_event_begin(&event, CW_EVENT_TRAFFIC)) {
        return;
    }
    for (distance = 0; distance < CW_DISTANCES; distance++) {
        cw_traffic_account_summary(cw_peer_link_traffic(router->link), (cw_distance_t)distance, summary,
                                   sizeof(summary));
        cw_event_text(&event, fields[distance], summary);
    }
    cw_event_end(&event);
}
