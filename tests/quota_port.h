/**
 * @file quota_port.h
 * @brief A share's port that keeps what the share sent, for tests that are the counting node.
 */
#ifndef CEDARWINCH_TESTS_QUOTA_PORT_H
#define CEDARWINCH_TESTS_QUOTA_PORT_H

#include "tenancy/quota_share.h"

enum { QUOTA_PORT_TENANTS = 200, QUOTA_PORT_ASKS = 64 };

/** What a share has sent. */
typedef struct quota_sent {
    uint32_t          counter; /**< that counts for every tenant; 0: there is none */
    uint32_t          reports;
    uint32_t          sequence;                  /**< of the last report */
    uint32_t          named[QUOTA_PORT_TENANTS]; /**< how often reports named each tenant of a small hash */
    uint32_t          ask_count;
    cw_quota_ask_t    asks[QUOTA_PORT_ASKS];          /**< the first ones */
    cw_quota_ask_t    ask;                            /**< the last one */
    bool              has_ask;                        /**< set by each ask, for tests that wait for one */
    uint32_t          given_back;                     /**< tokens */
    cw_quota_return_t returned;                       /**< the last one */
    uint32_t          decided;                        /**< times that those which wait were to be decided */
    void (*on_decided)(void *owner, uint32_t tenant); /**< NULL: only counted */
    void *owner;
} quota_sent_t;

/** A port that keeps everything in *sent. */
cw_quota_port_t quota_port(quota_sent_t *sent);

#endif
