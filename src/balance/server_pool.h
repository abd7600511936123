/**
 * @file server_pool.h
 * @brief This node's state of each server: its list entry, requests in flight from all nodes, its response speed.
 *
 * Many nodes that receive one another's counts of requests late would all choose the same servers at the same time. So
 * each node has its own order of preference among otherwise equal servers (affinity): most requests of a server then
 * come from the few nodes that prefer it, and a node knows its own requests exactly.
 *
 * The requests of other nodes are those that they last reported (cw_server_pool_apply_report); cw_server_pool_expire
 * removes the counts of nodes that have stopped reporting. cw_server_pool_choose chooses a server for a request.
 */
#ifndef CEDARWINCH_BALANCE_SERVER_POOL_H
#define CEDARWINCH_BALANCE_SERVER_POOL_H

#include <stdbool.h>
#include <uthash.h>

#include "balance/cold_rate.h"
#include "balance/limit_bucket.h"
#include "balance/server_limit.h"
#include "balance/server_load.h"
#include "base/time.h"
#include "model/region_mask.h"
#include "model/server_list.h"
#include "model/zone_region.h"
#include "model/zone_service.h"

/** Entry for one server in another node's report. */
typedef struct cw_server_report {
    uint32_t hash;        /**< of the server's id */
    uint32_t in_flight;   /**< requests of that node in flight at the server */
    uint32_t waiting;     /**< requests that wait at that node for keys that the server owns */
    bool     unreachable; /**< that node avoids the server because of faults */
} cw_server_report_t;

/** One incarnation of a server. The object exists while the server is listed or requests are in flight. */
typedef struct cw_server {
    char         *id;
    char         *service;
    char         *address;
    char         *zone;
    char         *region;       /**< of the zone; empty: not known */
    cw_distance_t distance;     /**< from this node's zone */
    uint32_t      region_bit;   /**< of that region (region_mask.h); 0: none */
    double        affinity;     /**< 0 to 1, different at each node: among equal servers the lowest is preferred */
    uint32_t      hash;         /**< of the id; identifies the server in messages between nodes */
    uint32_t      service_hash; /**< of the service's name */
    uint32_t      capacity;     /**< requests that the server can process at once */
    bool          listed;       /**< in the list in force */
    bool          draining;     /**< by its list entry, or announced by the server itself */
    bool          ended;        /**< another incarnation has answered at its address */
    uint32_t      own;          /**< requests of this node in flight */
    uint32_t      others;       /**< requests of the other nodes in flight, as reported */
    uint32_t      own_waiting;  /**< requests that wait at this node for keys that the server owns, when last counted */
    uint32_t      others_waiting;        /**< the same at the other nodes, as reported */
    double        pace;                  /**< pace: response time divided by the route's mean; 1: not known */
    cw_time_us_t  pace_at;               /**< time of the last measurement of pace */
    uint32_t      sampled_others;        /**< requests of other nodes by the server's last load sample */
    cw_time_us_t  sampled_at;            /**< when that sample was received; 0: none */
    uint32_t      served;                /**< answers to this node since its start */
    uint64_t      served_time;           /**< sum of their paces, in thousandths */
    uint32_t      served_sent;           /**< value of served in this node's last report to all nodes */
    uint32_t      served_sent_leader;    /**< value of served in its last report to the leader */
    cw_time_us_t  answered_others_at;    /**< it has certainly answered another node since then; 0: not known */
    cw_server_report_t sum;              /**< temporary value of cw_server_pool_sum */
    uint32_t           faults;           /**< failed requests in a row */
    uint32_t           spoiled;          /**< answers that it spoiled in a row (spoiled_answers.h) */
    cw_time_us_t       avoid_until;      /**< until then chosen only if no other server can be */
    cw_time_us_t       cold_until;       /**< end of its warm-up; 0: it is warm */
    bool               entry_is_cold;    /**< its last list entry says that it is cold */
    cw_time_us_t       zone_put_back_at; /**< last put-back of its zone that was treated as a start */
    double             cold_per_s; /**< requests a second that it can handle while it is cold; 0: no bound known */
    cw_cold_sends_t    cold_sends; /**< this node's sends while the server is cold */
    cw_server_limit_t  limit;      /**< rate limit that the server has named */
    bool               announced_leaving;  /**< it announced in an answer to this or another node that it leaves */
    cw_time_us_t      leaving_owner_until; /**< until then a leaving server still gets requests for keys that it owns */
    cw_time_us_t      rest_until;          /**< it rejected a request and asked this node to send nothing until then */
    cw_time_us_t      limit_allows_at;     /**< not chosen before then: its rate limit is used up */
    cw_limit_bucket_t limit_part;          /**< this node's equal part of the limit, used while no broker replies */
    bool              zone_is_out;         /**< its zone is out of service */
    cw_time_us_t      zone_out_owner_until; /**< zone out: until then it still gets requests for keys that it owns */
    void             *connections;          /**< owned by the adapter, which frees them when the server is dropped */
    UT_hash_handle    by_id;
    UT_hash_handle    by_hash;
    struct cw_server *next; /**< next server of the same service */
    struct cw_server *prev;
} cw_server_t;

/** How fast one server answered another node, accumulated since that node's start. */
typedef struct cw_server_pace {
    uint32_t hash;   /**< of the server's id */
    uint32_t served; /**< number of answers */
    uint64_t time;   /**< sum of the answers' paces, in thousandths */
} cw_server_pace_t;

/** Warm-up of a service's servers after their start, and after their zone is put back into service. */
typedef struct cw_warm_up {
    cw_time_us_t duration; /**< time for which a server is cold */
    double       per_s;    /**< requests a second that a cold server can handle; 0: no bound known */
} cw_warm_up_t;

/** All servers that this node knows. */
typedef struct cw_server_pool cw_server_pool_t;

enum { CW_POOL_REPORT_EXPIRY_MS = 1500 /**< a node's report counts for so long */ };

/** Regions that a request may go to: those in both the route's and the tenant's set; an empty set allows all. */
typedef struct cw_region_rule {
    const cw_name_set_t *route;
    const cw_name_set_t *tenant; /**< NULL: none */
} cw_region_rule_t;

/** Called before a server's object is freed. */
typedef void (*cw_server_dropped_t)(void *context, cw_server_t *server);

/** Creates a pool without servers. zone: this node's. */
cw_server_pool_t *cw_server_pool_create(const char *zone, cw_server_dropped_t dropped, void *context);
/** Sets this node's name, from which its order of preference among servers (affinity) is derived. To be called before
 * the first list. */
void cw_server_pool_set_node(cw_server_pool_t *pool, const char *node);
/** Frees the pool and its servers. */
void cw_server_pool_free(cw_server_pool_t *pool);
/** Sets the rules for sending to cold servers; borrowed. Until then this node sends nothing to cold servers whose
 * rate is bounded. */
void cw_server_pool_set_cold_rate(cw_server_pool_t *pool, const cw_cold_rate_t *rate);
/** Sets the configured warm-up of a service, for its present and future servers. */
void cw_server_pool_set_warm_up(cw_server_pool_t *pool, const char *service, const cw_warm_up_t *warm_up);
/** Applies a new list of servers. */
void cw_server_pool_update(cw_server_pool_t *pool, const cw_server_list_t *list, cw_time_us_t now);
/** Applies which zones are out of service and which have been put back. To be called after each cw_server_pool_update,
 * too. */
void cw_server_pool_set_zones(cw_server_pool_t *pool, const cw_zone_service_t *zones);
/** Server with this id, listed or not; NULL: none. */
cw_server_t *cw_server_pool_find(cw_server_pool_t *pool, const char *id);
/** Listed server with this hash; NULL: none. */
const cw_server_t *cw_server_pool_find_hash(cw_server_pool_t *pool, uint32_t hash);
/** Sets the regions of zones; copied. To be called before the first list. A zone that is not included has no region. */
void cw_server_pool_set_regions(cw_server_pool_t *pool, const cw_zone_region_t *zones, size_t count);
/** Bit of a zone's region (region_mask.h); 0: none. */
uint32_t cw_server_pool_zone_bit(const cw_server_pool_t *pool, const char *zone);
/** Regions that a rule allows, as a mask. */
uint32_t cw_server_pool_region_mask(const cw_server_pool_t *pool, const cw_region_rule_t *rule);
/** True if a request under this rule may go to the server. */
bool cw_server_region_allows(const cw_server_t *server, const cw_region_rule_t *rule);
/** True if the service has a listed server, not draining, to which a request under this rule may go. */
bool cw_server_pool_has_server(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule);
/** True if more than one region is configured. */
bool cw_server_pool_has_regions(const cw_server_pool_t *pool);
/** This node's zone. */
const char *cw_server_pool_zone(const cw_server_pool_t *pool);
/** First of all servers, listed or not; iterate with the by_id handle. */
cw_server_t *cw_server_pool_all(cw_server_pool_t *pool);
/** First server of the service with this hash, linked by next, in the order in which they were added; NULL: none. Work
 * done for each request iterates over these rather than over all servers, since a fleet has many services. */
cw_server_t *cw_server_pool_of_service(const cw_server_pool_t *pool, uint32_t service_hash);

/** True during the server's warm-up. */
bool cw_server_is_cold(const cw_server_t *server, cw_time_us_t now);
/** True if the server is cold and the rate of requests to it is bounded meanwhile (cold_per_s). */
bool cw_server_is_rate_bounded(const cw_server_t *server, cw_time_us_t now);
/** True if the state of the server's zone allows a request to it now. is_owner: the server owns the request's key;
 * false: any server can handle the request. */
bool cw_server_zone_allows(const cw_server_t *server, bool is_owner, cw_time_us_t now);
/** True if the server is not draining, or if it has just announced that it leaves and is_owner is set: it still serves
 * the keys that it owns while they are moved. */
bool cw_server_accepts(const cw_server_t *server, bool is_owner, cw_time_us_t now);
/** The incarnation with this hash, listed or not, has announced that it leaves: from now on it counts as draining,
 * whatever its list entry says. owner_until: until then it still gets requests for keys that it owns. False: this was
 * known already. */
bool cw_server_pool_record_leaving(cw_server_pool_t *pool, uint32_t hash, cw_time_us_t owner_until, cw_time_us_t now);
/** True if the zone's state and the rules for cold servers allow this node to send a request to the server now.
 * is_owner: as for cw_server_zone_allows. */
bool cw_server_pool_may_send(const cw_server_pool_t *pool, const cw_server_t *server, bool is_owner, cw_time_us_t now);

/** True if the server names a rate limit, so that a request needs a grant of the broker (slot_broker.h). */
bool cw_server_is_limited(const cw_server_t *server, cw_time_us_t now);
/** Takes a token from this node's equal part of the server's limit. nodes: number of nodes that share the limit; 0: not
 * known. False: there is no token. */
bool cw_server_take_limit_part(cw_server_t *server, uint32_t nodes, cw_time_us_t now);
/** The server's rate limit is used up for the time `wait`: the server is not chosen until then. */
void cw_server_record_limit_refused(cw_server_t *server, cw_time_us_t wait, cw_time_us_t now);
/** The broker replies again: resets this node's equal part of the limit, which starts empty when next needed. */
void cw_server_clear_limit_part(cw_server_t *server);
/** True during a rest that the server asked for when it rejected a request of this node. */
bool cw_server_rests(const cw_server_t *server, cw_time_us_t now);
/** True if all servers of a service to which a request under this rule may go are at rest. False if there are none. */
bool cw_server_pool_all_rest(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                             cw_time_us_t now);
/** True if the server is at rest or its rate limit is used up. */
bool cw_server_is_held_off(const cw_server_t *server, cw_time_us_t now);
/** If all servers of a service to which a request under this rule may go have a rate limit or are at rest: the earliest
 * time at which one of them may be sent to. CW_NEVER: one has neither, or there are no servers. */
cw_time_us_t cw_server_pool_held_off_until(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                           cw_time_us_t now);

/** Counts a request of this node as in flight at the server. */
void cw_server_pool_begin_request(cw_server_t *server, cw_time_us_t now);
/** Ends what cw_server_pool_begin_request began; may drop the server. */
void cw_server_pool_end_request(cw_server_pool_t *pool, cw_server_t *server);
/** A complete answer was received after the time `took`. mean_time: of such requests. */
void cw_server_pool_record_served(cw_server_t *server, cw_time_us_t took, cw_time_us_t mean_time, cw_time_us_t now);
/** The server sent a load sample with an answer. To be called while the answered request still counts as in flight; it
 * is not in the sample. */
void cw_server_pool_record_load(cw_server_t *server, const cw_server_load_t *sample, cw_time_us_t now);
/** No complete answer was received within `waited`: the request takes at least that long. */
void cw_server_pool_record_slow(cw_server_t *server, cw_time_us_t waited, cw_time_us_t mean_time, cw_time_us_t now);
/** The server has answered: resets its counts of faults and of spoiled answers. */
void cw_server_pool_clear_faults(cw_server_t *server);
/** True if the server has failed several times in a row. */
bool cw_server_is_suspect(const cw_server_t *server);
/** A request failed without a connection or without an answer: the server is avoided for a while. */
void cw_server_pool_record_fault(cw_server_t *server, cw_time_us_t now);

/** Replaces the last report of a node; count 0: it has none. node: its address, or the number of a zone that reports
 * the sums of its nodes. */
void cw_server_pool_apply_report(cw_server_pool_t *pool, uint64_t node, const cw_server_report_t *reports, size_t count,
                                 cw_time_us_t now);
/** Updates the paces of servers by the answers that another node received since its last report. node: its address. */
void cw_server_pool_apply_paces(cw_server_pool_t *pool, uint64_t node, const cw_server_pace_t *paces, size_t count,
                                cw_time_us_t now);
/** Selects the nodes whose requests are summed, and the servers. */
typedef struct cw_sum_filter {
    void *context;
    bool (*includes_node)(void *context, uint64_t node);
    bool (*includes_server)(void *context, const cw_server_t *server);
    /** Whether this node's own requests at a server, and its faults, count. */
    bool (*includes_own)(void *context, const cw_server_t *server);
} cw_sum_filter_t;
/** Sums this node's requests and those reported by the selected nodes, by server; returns the number of servers written
 * to `sums`, at most `room`. left_out: number of servers that did not fit. */
size_t cw_server_pool_sum(cw_server_pool_t *pool, const cw_sum_filter_t *filter, cw_server_report_t *sums, size_t room,
                          cw_time_us_t now, size_t *left_out);
/** Number of stored paces of servers, of all reporting nodes. */
size_t cw_server_pool_pace_count(const cw_server_pool_t *pool);
/** Removes the reports of nodes that have sent none for longer than `lifetime`. */
void cw_server_pool_expire(cw_server_pool_t *pool, cw_time_us_t lifetime, cw_time_us_t now);

/** Selects the zones whose servers may be chosen. */
typedef struct cw_zone_filter {
    void *context;
    bool (*allows_zone)(void *context, const char *zone);
} cw_zone_filter_t;

/** Parameters of the choice of a server. */
typedef struct cw_choice_settings {
    double zone_penalty;    /**< cost of a server in another zone, in units of a request's mean time */
    double remote_penalty;  /**< additional cost of a server in another region, in the same unit */
    bool   stays_in_region; /**< servers of other regions are not chosen */
    double affinity;    /**< weight of this node's order of preference; greater if others' requests are known late */
    double extra_slots; /**< requests that a server may have beyond its capacity */
    cw_region_rule_t        regions;
    const cw_zone_filter_t *zones; /**< NULL: all */
} cw_choice_settings_t;

/** Returns the server of least cost with a free slot; NULL: none. except: a server that has failed the request, chosen
 * only if there is no other; NULL: none. full: set if there are servers but none has a free slot. */
cw_server_t *cw_server_pool_choose(cw_server_pool_t *pool, const char *service, const cw_choice_settings_t *settings,
                                   const cw_server_t *except, cw_time_us_t now, bool *full);
/** True if fewer requests of all nodes are in flight than the server's capacity plus extra_slots. */
bool cw_server_has_slot(const cw_server_t *server, double extra_slots, cw_time_us_t now);
/** Slots of a service's usable servers, each divided by the server's pace. */
double cw_server_pool_speed(cw_server_pool_t *pool, const char *service, cw_time_us_t now);
/** cw_server_pool_speed of the servers to which a request under this rule may go. */
double cw_server_pool_speed_under(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                  cw_time_us_t now);
/** cw_server_pool_speed_under of the servers in this node's region. */
double cw_server_pool_speed_near(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                 cw_time_us_t now);
/** Requests of all nodes in flight at a service's listed servers. */
uint32_t cw_server_pool_in_flight(cw_server_pool_t *pool, const char *service);

#endif
