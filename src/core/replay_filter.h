/**
 * @file replay_filter.h
 * @brief Lets each numbered message of a sender pass once, however often and in whatever order the network delivers it.
 *
 * One sliding window of message numbers for each sender incarnation, as in RFC 4303 (anti-replay). A number behind the
 * window is held to be a repetition. Senders that have been silent for CW_REPLAY_IDLE_US are forgotten.
 */
#ifndef CEDARWINCH_REPLAY_FILTER_H
#define CEDARWINCH_REPLAY_FILTER_H

#include "cedarwinch/types.h"

enum { CW_REPLAY_WINDOW = 4096 };

#define CW_REPLAY_IDLE_US (INT64_C(600) * CW_US_PER_S)

/** All zero: empty. */
typedef struct cw_replay_filter {
    struct cw_replay_sender *senders;
} cw_replay_filter_t;

/** True when this number of this sender comes for the first time. False too when there is no memory to know. */
bool cw_replay_filter_pass(cw_replay_filter_t *filter, cw_incarnation_t sender, uint64_t number, cw_time_us_t now);
void cw_replay_filter_clear(cw_replay_filter_t *filter);

#endif
