/**
 * @file report_schedule.h
 * @brief When this node last sent its reports to whom, and which are due out of turn.
 */
#ifndef CEDARWINCH_ROUTER_REPORT_SCHEDULE_H
#define CEDARWINCH_ROUTER_REPORT_SCHEDULE_H

#include <stdbool.h>

#include "base/time.h"

/** Times of this node's reports. All zeros: none was sent. */
typedef struct cw_report_schedule {
    cw_time_us_t zone_at;        /**< last report to the nodes of this zone */
    cw_time_us_t all_at;         /**< last report to nodes of all zones */
    cw_time_us_t full_at;        /**< last report that contained names and paces */
    cw_time_us_t leader_at;      /**< last report to the leader */
    cw_time_us_t key_samples_at; /**< last time that key samples were sent to the leader */
    /** Reports contain this node's name until this time, since another node is new or back. */
    cw_time_us_t names_until;
    bool         is_zone_due; /**< something has changed that the nodes of this zone are to learn */
    bool         is_all_due;  /**< something has changed that all nodes are to learn */
} cw_report_schedule_t;

#endif
