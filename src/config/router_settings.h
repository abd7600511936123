/**
 * @file router_settings.h
 * @brief Settings of one node of the router: a YAML file, of which all errors are reported together.
 * docs/CONFIGURATION.md describes each key.
 */
#ifndef CEDARWINCH_CONFIG_ROUTER_SETTINGS_H
#define CEDARWINCH_CONFIG_ROUTER_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "base/event_log.h"
#include "base/findings.h"
#include "base/time.h"
#include "model/zone_region.h"

/** IPv4 address and port. */
typedef struct cw_endpoint {
    char     address[16];
    uint16_t port; /**< 0: the system chooses one */
} cw_endpoint_t;

enum { CW_SEEDS_MAX = 16 /**< greatest number of seeds of a node */ };

/** Settings of a node. Durations are in microseconds here and in milliseconds in the file. */
typedef struct cw_router_settings {
    char             node[64];
    char             zone[64];
    char             address[16];   /**< address at which other nodes reach this one */
    char             peer_bind[16]; /**< address that the socket for datagrams is bound to; default: `address` */
    cw_endpoint_t    callers;       /**< listens for requests of callers */
    cw_endpoint_t    readiness;     /**< listens for requests for readiness, status and metrics */
    char             readiness_path[64];
    uint16_t         metrics_port; /**< additional port for metrics; 0: the readiness endpoint only */
    char             metrics_path[64];
    uint16_t         peer_port; /**< for datagrams between nodes, the same on all nodes */
    cw_endpoint_t    seeds[CW_SEEDS_MAX];
    size_t           seed_count;
    cw_zone_region_t zone_regions[CW_ZONES_MAX];
    size_t           zone_region_count;
    cw_endpoint_t    store;
    cw_event_level_t log_level;
    cw_time_us_t     leader_hold;       /**< duration of a leader's lease */
    cw_time_us_t     first_read_within; /**< nodes that start together spread their first reads of the lock over it */
    cw_time_us_t     hold;              /**< duration of a grant while the store can be reached */
    cw_time_us_t     hold_long;         /**< duration of a grant while the store cannot be reached */
    cw_time_us_t     drain;             /**< a leaving server receives no request after this time */
    cw_time_us_t     settle;            /**< time after its start before a process is held to the bounds on times */
    cw_time_us_t     configuration_within; /**< a change of the configuration is in force here within this time */
    cw_time_us_t zone_out_within;  /**< a zone taken out receives no request after this time; 0: no zone is ever out */
    cw_time_us_t heartbeat;        /**< interval at which servers write their entries of the list */
    cw_time_us_t stop_grace;       /**< a planned stop ends within this time */
    double       remote_byte_cost; /**< of sending a megabyte to another region, as milliseconds of waiting */
    uint32_t     link_mbps;        /**< bandwidth of this node's link, Mbit/s */
    double       cpu_share;        /**< cores that this node may use; a fraction is allowed */
    cw_time_us_t retry_window;     /**< window of the retry budget of a service */
    double       retry_ratio;      /**< retries allowed in a window, per request */
    double       retry_extra;      /**< additional retries allowed in a window, over all nodes */
    cw_time_us_t limit_window;     /**< window in which a tenant's limit applies over all nodes */
    double       limit_overshoot;  /**< excess allowed in a window, as a share of the limit */
    double       limit_slack;      /**< additional excess allowed in a window, as a number of requests */
    char         credential_scheme[32];   /**< scheme of callers' keys in the header Authorization */
    cw_time_us_t credentials_stale_after; /**< age at which evidence that no key was revoked is stale; 0: never */
    bool         credentials_fail_closed; /**< refuse callers with keys while this evidence is stale */
    uint32_t     pipeline_depth;          /**< requests of one caller's connection that are served concurrently */
    size_t       pipeline_bytes;  /**< answers of a connection that may wait for an earlier one before reading stops */
    uint32_t     memory_mb;       /**< memory that this node may use; 0: not known */
    size_t       body_bytes_most; /**< callers' bodies that are held in memory at the same time */
    size_t       answer_bytes_most; /**< bodies of servers' answers that are held in memory while they are read */
    cw_time_us_t body_wait;         /**< time that a request waits for memory for its body */
} cw_router_settings_t;

/** Reads and checks a file. Returns CW_ERROR_PARSE, with findings that name line and column, if it has errors, and
 * CW_ERROR_IO, with a finding, if it cannot be read. */
int cw_router_settings_read(cw_router_settings_t *settings, const char *file_name, cw_findings_t *findings);
/** Reads and checks a text as cw_router_settings_read does a file; file_name: shown in findings. */
int cw_router_settings_parse(cw_router_settings_t *settings, const char *text, size_t length, const char *file_name,
                             cw_findings_t *findings);

#endif
