/**
 * @file quota_port.h
 * @brief A port of cw_quota_share that records what the share sends, for tests that act as the counting node.
 */
#ifndef CEDARWINCH_TESTS_QUOTA_PORT_H
#define CEDARWINCH_TESTS_QUOTA_PORT_H

#include "tenancy/quota_share.h"

/** Bounds of what is recorded. */
enum { QUOTA_PORT_TENANTS = 200, QUOTA_PORT_ASKS = 64 /* number of asks kept */ };

/** Messages that a share has sent. */
typedef struct quota_sent {
    uint32_t         counter; /**< counting node of every tenant; 0: there is none */
    uint32_t         reports;
    uint32_t         sequence;                  /**< of the last report */
    cw_quota_usage_t usage;                     /**< the first one of the last report */
    uint32_t         named[QUOTA_PORT_TENANTS]; /**< how often reports contained each tenant whose hash is below
                                                   QUOTA_PORT_TENANTS */
    uint32_t          ask_count;
    cw_quota_ask_t    asks[QUOTA_PORT_ASKS]; /**< the first QUOTA_PORT_ASKS ones */
    cw_quota_ask_t    ask;                   /**< the last ask */
    bool              has_ask;               /**< set by each ask, for tests that wait for one */
    uint32_t          given_back;            /**< number of returned tokens */
    cw_quota_return_t returned;              /**< the last return */
    uint32_t          decided;               /**< number of calls that waiting requests can be decided */
    /** Called with owner for each of these calls; NULL: the calls are only counted. */
    void (*on_decided)(void *owner, uint32_t tenant);
    void *owner;
} quota_sent_t;

/** Creates a port that records everything in *sent. */
cw_quota_port_t quota_port(quota_sent_t *sent);

#endif
