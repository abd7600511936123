/**
 * @file router_settings.h
 * @brief Settings of one node of the router: a YAML file, checked as a whole. docs/CONFIGURATION.md tells each key.
 */
#ifndef CEDARWINCH_CONFIG_ROUTER_SETTINGS_H
#define CEDARWINCH_CONFIG_ROUTER_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/event_log.h"
#include "base/findings.h"
#include "base/time.h"
#include "model/zone_region.h"

/** IPv4 number and port. */
typedef struct cw_endpoint {
    char     address[16];
    uint16_t port; /**< 0: chosen by the system */
} cw_endpoint_t;

enum { CW_SEEDS_MAX = 16 };

typedef struct cw_router_settings {
    char             node[64];
    char             zone[64];
    char             address[16];   /**< other nodes reach this one here */
    char             peer_bind[16]; /**< the socket for datagrams binds this one; `address` unless set */
    cw_endpoint_t    callers;
    cw_endpoint_t    readiness;
    char             readiness_path[64];
    uint16_t         metrics_port; /**< 0: metrics are served on the readiness endpoint only */
    char             metrics_path[64];
    uint16_t         peer_port;
    cw_endpoint_t    seeds[CW_SEEDS_MAX];
    size_t           seed_count;
    cw_zone_region_t zone_regions[CW_ZONES_MAX];
    size_t           zone_region_count;
    cw_endpoint_t    store;
    cw_event_level_t log_level;
    cw_time_us_t     leader_hold;
    cw_time_us_t     first_read_within;    /**< nodes that start together look for a leader within this, in turns */
    cw_time_us_t     hold;                 /**< of grants on a calm day */
    cw_time_us_t     hold_long;            /**< while the store cannot be reached */
    cw_time_us_t     drain;                /**< a leaving server gets no request later than this */
    cw_time_us_t     configuration_within; /**< a change of the configuration is in force here within this */
    cw_time_us_t     zone_out_within;      /**< a zone out of service gets no request later than this; 0: none is */
    cw_time_us_t     heartbeat;            /**< servers write their entries of the list this often */
    cw_time_us_t     stop_grace;
    double           remote_byte_cost; /**< milliseconds of waiting that a megabyte across a region's border is worth */
    uint32_t         link_mbps;        /**< bandwidth of this node's link */
    double           cpu_share;        /**< of a core, that this node may use */
    cw_time_us_t     retry_window;
    double           retry_ratio;
    double           retry_extra;
    cw_time_us_t     limit_window;            /**< in each, over all nodes, a tenant's limit holds within these two: */
    double           limit_overshoot;         /**< share of it */
    double           limit_slack;             /**< requests */
    char             credential_scheme[32];   /**< of callers' keys in "Authorization" */
    cw_time_us_t     credentials_stale_after; /**< evidence that no key was taken away is stale then; 0: never */
    bool             credentials_fail_closed; /**< callers with keys are refused while it is stale */
    uint32_t         pipeline_depth;          /**< requests of one caller's connection that are served at once */
    size_t           pipeline_bytes;  /**< of answers that wait for an earlier one; beyond it, nothing is read */
    uint32_t         memory_mb;       /**< that this node may use; 0: not known */
    size_t           body_bytes_most; /**< of callers' bodies that are held at once */
    cw_time_us_t     body_wait;       /**< for memory for a body */
} cw_router_settings_t;

/** Reads and checks a file; findings name the places of what is wrong. CW_ERROR_PARSE when there are any. */
int cw_router_settings_read(cw_router_settings_t *settings, const char *file_name, cw_findings_t *findings);
/** The same for a text. */
int cw_router_settings_parse(cw_router_settings_t *settings, const char *text, size_t length, const char *file_name,
                             cw_findings_t *findings);

#endif
