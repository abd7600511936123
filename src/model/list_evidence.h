/**
 * @file list_evidence.h
 * @brief Until when the list of servers in force was certainly valid, and how this node knows.
 *
 * A list is valid at a time if it shows every leave and removal of a server that the store had acknowledged by then.
 */
#ifndef CEDARWINCH_MODEL_LIST_EVIDENCE_H
#define CEDARWINCH_MODEL_LIST_EVIDENCE_H

#include <stdint.h>

#include "base/time.h"

enum {
    /** Share of the drain time (for which a leaving server may still get requests) that the age of a list may have when
     * a request leaves by it. The rest is for a new connection, the link and the server's own queue. */
    CW_LIST_USABLE_PERCENT = 90
};

/** How a node learned that its list was valid. */
typedef enum cw_list_source {
    CW_LIST_SOURCE_NONE,    /**< not at all: the list is of a copy of the store, or not confirmed yet */
    CW_LIST_SOURCE_READING, /**< it read the list, or its changes, from the store */
    CW_LIST_SOURCE_LEADER,  /**< by the leader's heartbeat, directly from the leader */
    CW_LIST_SOURCE_RELAY,   /**< by the leader's heartbeat, forwarded by a relay of this node's zone */
    CW_LIST_SOURCE_READER   /**< by the notice of a reader of its zone, which has the same list */
} cw_list_source_t;

/** The latest evidence of a list. All zeros: there is none. */
typedef struct cw_list_evidence {
    cw_time_us_t     valid_at; /**< on this node's steady clock; 0: not known */
    cw_list_source_t source;
    uint32_t         from; /**< address of the node that sent the evidence; 0: none did */
} cw_list_evidence_t;

/** Greatest age of a list by which requests may be sent. drain: time for which a leaving server may get requests. */
cw_time_us_t cw_list_usable_age(cw_time_us_t drain);
/** Name of a source, for the log. */
const char *cw_list_source_name(cw_list_source_t source);

#endif
