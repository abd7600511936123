/**
 * @file configuration_timing.h
 * @brief How the time within which a change of the configuration has to be in force is divided among the steps that
 * lead to it. All figures are percent of that time.
 *
 * Each way by which a node learns of a change has to end within that time even if one call to the store on the way gets
 * no answer; docs/design/configuration-freshness.md lists the ways and their sums.
 */
#ifndef CEDARWINCH_MODEL_CONFIGURATION_TIMING_H
#define CEDARWINCH_MODEL_CONFIGURATION_TIMING_H

#include "base/time.h"

enum {
    /** How long the store holds a check of the node that checks all the time: about two calls a second for 2 s. */
    CW_CONFIGURATION_CHECK_PERCENT = 30,
    /** How long it holds a check of a node in doubt, which needs an answer soon. */
    CW_CONFIGURATION_DOUBT_HOLD_PERCENT = 5,
    /** How late an answer may be: a slow store takes some 0.3 s. After that the call is given up. */
    CW_CONFIGURATION_SLACK_PERCENT = 20,
    /** Pause after a first failed call. */
    CW_CONFIGURATION_RETRY_PERCENT = 5,
    /** Age of the evidence at which a reader checks; usual are a check and its slack, and a heartbeat's delay. */
    CW_CONFIGURATION_READER_PERCENT = 55,
    /** Age of the evidence at which any other node checks: a heartbeat may be lost. */
    CW_CONFIGURATION_FOLLOWER_PERCENT = 65,
    /** How long other nodes may take to send a version that is known to exist. */
    CW_CONFIGURATION_EXCHANGE_PERCENT = 45,
    /** Usual time to send a version to the other nodes. */
    CW_CONFIGURATION_SENDING_PERCENT = 10
};

/** Part of the time within which a change has to be in force. */
static inline cw_time_us_t cw_configuration_part(cw_time_us_t within, int percent)
{
    return within * percent / 100;
}

#endif
