/**
 * @file server_pool.h
 * @brief What this node knows of each server: its list entry, the requests under way there from all nodes, its speed.
 *
 * Many nodes that learn late of one another's requests would all choose the same servers at the same moment. So each
 * has an order of its own among servers that are otherwise as good (affinity): a server's requests then come mostly
 * from the few nodes that try it first, and those know their own requests.
 *
 * Requests of other nodes are what they last reported (cw_server_pool_apply_report); a silent node's count ends with
 * cw_server_pool_expire. Choices are made by cw_server_pool_choose.
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

/** One server in another node's report. */
typedef struct cw_server_report {
    uint32_t hash;
    uint32_t under_way;
    uint32_t waiting;
    bool     unreachable;
} cw_server_report_t;

/** One life of a server. Lives as long as it is listed or requests are under way. */
typedef struct cw_server {
    char              *id;
    char              *service;
    char              *address;
    char              *zone;
    char              *region;       /**< in which the zone lies; empty: not known */
    cw_distance_t      distance;     /**< of its zone from this node's */
    uint32_t           region_bit;   /**< of that region (region_mask.h); 0: none */
    double             affinity;     /**< 0 to 1, another for each node: the order in which equal servers are tried */
    uint32_t           hash;         /**< short name of the id between nodes */
    uint32_t           service_hash; /**< and of its service */
    uint32_t           capacity;
    bool               listed;
    bool               draining;       /**< as it is listed, or as it said itself */
    bool               ended;          /**< another life answered at its address: this one is over */
    uint32_t           own;            /**< requests of this node under way */
    uint32_t           others;         /**< of the other nodes, as reported */
    uint32_t           own_waiting;    /**< requests that wait at this node for keys that it owns, when last counted */
    uint32_t           others_waiting; /**< at the other nodes, as reported */
    double             pace;    /**< time of its answers over what is usual on the route; 1 when nothing is known */
    cw_time_us_t       pace_at; /**< last measured */
    uint32_t           sampled_others;     /**< requests of other nodes there by its own last load sample, */
    cw_time_us_t       sampled_at;         /**< which came then; 0: none */
    uint32_t           served;             /**< answers since the start, and */
    uint64_t           served_time;        /**< their time over what is usual, in thousandths, summed */
    uint32_t           served_sent;        /**< value of served in this node's last report to all */
    uint32_t           served_sent_leader; /**< and in its last one to the leader */
    cw_time_us_t       answered_others_at; /**< it surely answered another node after this moment; 0: not known */
    cw_server_report_t sum;                /**< scratch of cw_server_pool_sum */
    uint32_t           faults;             /**< in a row */
    cw_time_us_t       avoid_until;        /**< not chosen while another one can be */
    cw_time_us_t       cold_until;         /**< its warm-up takes until then; 0: it is warm */
    bool               cold_by_entry;      /**< its entry says so */
    cw_time_us_t       zone_put_back_at;   /**< last put-back of its zone that has been counted as a start */
    double             cold_per_s;         /**< requests a second that it bears while it is cold; 0: no bound known */
    cw_cold_sends_t    cold_sends;         /**< this node's, while it is cold */
    cw_server_limit_t  limit;              /**< that it has named, */
    bool               announced_leaving;  /**< in an answer, to this node or to another one; */
    cw_time_us_t       leave_until;        /**< requests for keys that it owns may still go there until then */
    cw_time_us_t       rest_until;         /**< it has turned this node away, and wants nothing from it until then */
    cw_time_us_t       limit_allows_at;    /**< not chosen before that: its limit has no room until then, */
    cw_limit_bucket_t  limit_part;         /**< and this node's equal part of it, while nobody counts for all nodes */
    bool               zone_is_out;        /**< its zone is out of service */
    cw_time_us_t       owner_until; /**< then requests for keys that it owns may still go there until this moment */
    void              *connections; /**< the adapter's; freed by it when the server is dropped */
    UT_hash_handle     by_id;
    UT_hash_handle     by_hash;
    struct cw_server  *next; /**< of the same service */
    struct cw_server  *prev;
} cw_server_t;

/** How fast one server answered another node, counted since that node's start. */
typedef struct cw_server_pace {
    uint32_t hash;
    uint32_t served;
    uint64_t time; /**< of the answers over what is usual, in thousandths, summed */
} cw_server_pace_t;

/** How the servers of a service start, and start again when their zone is put back. */
typedef struct cw_warm_up {
    cw_time_us_t duration; /**< a server is cold for so long after its start */
    double       per_s;    /**< requests a second that a cold server bears; 0: no bound known */
} cw_warm_up_t;

typedef struct cw_server_pool cw_server_pool_t;

enum { CW_POOL_REPORT_EXPIRY_MS = 1500 };

/** Regions that a request may go to: of its route and of its tenant; both bind, an empty set does not. */
typedef struct cw_region_rule {
    const cw_name_set_t *route;
    const cw_name_set_t *tenant; /**< NULL: none */
} cw_region_rule_t;

typedef void (*cw_server_dropped_t)(void *context, cw_server_t *server);

cw_server_pool_t *cw_server_pool_create(const char *zone, cw_server_dropped_t dropped, void *context);
/** This node's name gives it an order of servers of its own. To be set before the first list. */
void cw_server_pool_set_node(cw_server_pool_t *pool, const char *node);
void cw_server_pool_free(cw_server_pool_t *pool);
/** Who may send to cold servers; borrowed. Until it is set this node sends none to those whose rate is bounded. */
void cw_server_pool_set_cold_rate(cw_server_pool_t *pool, const cw_cold_rate_t *rate);
/** As configured; counts for servers known already, and for later ones. */
void cw_server_pool_set_warm_up(cw_server_pool_t *pool, const char *service, const cw_warm_up_t *warm_up);
/** Takes a new list over. */
void cw_server_pool_update(cw_server_pool_t *pool, const cw_server_list_t *list, cw_time_us_t now);
/** Takes over which zones are out of service, and which have been put back. After each update, too. */
void         cw_server_pool_set_zones(cw_server_pool_t *pool, const cw_zone_service_t *zones);
cw_server_t *cw_server_pool_find(cw_server_pool_t *pool, const char *id);
/** Listed server of this hash; NULL: none. */
const cw_server_t *cw_server_pool_find_hash(cw_server_pool_t *pool, uint32_t hash);
/** Copied. To be set before the first list. A zone that is not among them lies in no region. */
void cw_server_pool_set_regions(cw_server_pool_t *pool, const cw_zone_region_t *zones, size_t count);
/** Bit of the region of a zone (region_mask.h); 0: none. */
uint32_t cw_server_pool_zone_bit(const cw_server_pool_t *pool, const char *zone);
/** Regions that a rule allows, as a mask. */
uint32_t cw_server_pool_region_mask(const cw_server_pool_t *pool, const cw_region_rule_t *rule);
/** May a request under this rule go there? */
bool cw_server_region_allows(const cw_server_t *server, const cw_region_rule_t *rule);
/** Has the service a listed server to which a request under this rule may go? */
bool cw_server_pool_has_server(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule);
/** Do the settings know more than one region? */
bool cw_server_pool_has_regions(const cw_server_pool_t *pool);
/** This node's zone. */
const char *cw_server_pool_zone(const cw_server_pool_t *pool);
/** All servers, by the by_id handle. */
cw_server_t *cw_server_pool_all(cw_server_pool_t *pool);
/** Servers of the service of this hash, linked by next, in the order in which they came to be known. What is done for
 * each request walks these: a fleet has many services. NULL: none. */
cw_server_t *cw_server_pool_of_service(const cw_server_pool_t *pool, uint32_t service_hash);

/** Its warm-up is not over. */
bool cw_server_is_cold(const cw_server_t *server, cw_time_us_t now);
/** Cold, and bears only so many requests a second. */
bool cw_server_is_rate_bounded(const cw_server_t *server, cw_time_us_t now);
/** Does its zone allow a request there now, if it owns the request's key (or any server will do: false)? */
bool cw_server_zone_allows(const cw_server_t *server, bool is_owner, cw_time_us_t now);
/** Is it not leaving? One that has just said so still serves the keys that it owns, while they move. */
bool cw_server_accepts(const cw_server_t *server, bool is_owner, cw_time_us_t now);
/** The incarnation of this hash, listed or not, has said that it leaves: from now on it counts as draining, whatever is
 * listed. False: that was known. */
bool cw_server_pool_note_leaving(cw_server_pool_t *pool, uint32_t hash, cw_time_us_t owner_grace, cw_time_us_t now);
/** May this node send a request there at all now, if it owns the request's key (or any server will do: false)? */
bool cw_server_pool_may_send(const cw_server_pool_t *pool, const cw_server_t *server, bool is_owner, cw_time_us_t now);

/** Does it name a rate limit, so that a request needs the leave of the node that counts for all? */
bool cw_server_is_limited(const cw_server_t *server, cw_time_us_t now);
/** Takes a token of this node's equal part of a server's limit, if there is one; `nodes` share it. */
bool cw_server_take_limit_part(cw_server_t *server, uint32_t nodes, cw_time_us_t now);
/** Its rate limit has no room for so long: it is not chosen until then. */
void cw_server_note_limit_refused(cw_server_t *server, cw_time_us_t wait, cw_time_us_t now);
/** The node that counts for all replies: the own part begins anew when it is needed again. */
void cw_server_clear_limit_part(cw_server_t *server);
/** Has it turned this node away, and asked for a rest that is not over? */
bool cw_server_rests(const cw_server_t *server, cw_time_us_t now);
/** Do all servers of a service rest to which a request under this rule may go? False: there are none. */
bool cw_server_pool_all_rest(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                             cw_time_us_t now);
/** It rests, or its rate limit has no room. */
bool cw_server_is_held_off(const cw_server_t *server, cw_time_us_t now);
/** When the first of the servers of a service to which a request under this rule may go has room again by its rate
 * limit or its rest, if all of them have one or the other; CW_NEVER: one has neither, or there are no servers. */
cw_time_us_t cw_server_pool_held_off_until(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                           cw_time_us_t now);

/** A request goes there, and has come to its end. */
void cw_server_pool_begin_request(cw_server_t *server, cw_time_us_t now);
void cw_server_pool_end_request(cw_server_pool_t *pool, cw_server_t *server);
/** A whole answer took `took` where `usual` is usual. */
void cw_server_pool_record_served(cw_server_t *server, cw_time_us_t took, cw_time_us_t usual, cw_time_us_t now);
/** The server told its load with an answer; this node's own request is over by then. */
void cw_server_pool_note_load(cw_server_t *server, const cw_server_load_t *sample, cw_time_us_t now);
/** No whole answer after `waited`: it takes at least that long. */
void cw_server_pool_record_slow(cw_server_t *server, cw_time_us_t waited, cw_time_us_t usual, cw_time_us_t now);
/** It answers: former faults count no longer. */
void cw_server_pool_sound(cw_server_t *server);
/** Has failed several times in a row. */
bool cw_server_is_suspect(const cw_server_t *server);
/** No connection, or no answer. */
void cw_server_pool_record_fault(cw_server_t *server, cw_time_us_t now);

/** Replaces what this node (0: expired) last reported. */
void cw_server_pool_apply_report(cw_server_pool_t *pool, uint64_t node, const cw_server_report_t *reports, size_t count,
                                 cw_time_us_t now);
/** Learns from what the answers came to since this node last told. */
void cw_server_pool_apply_paces(cw_server_pool_t *pool, uint64_t node, const cw_server_pace_t *paces, size_t count,
                                cw_time_us_t now);
/** Whose requests are summed, and at which servers. */
typedef struct cw_sum_filter {
    void *context;
    bool (*includes_node)(void *context, uint64_t node);
    bool (*includes_server)(void *context, const cw_server_t *server);
} cw_sum_filter_t;
/** This node's own requests and those that the nodes taken have reported, by server; returns how many servers.
 * `left_out`: those that there was no room for. */
size_t cw_server_pool_sum(cw_server_pool_t *pool, const cw_sum_filter_t *filter, cw_server_report_t *sums, size_t room,
                          cw_time_us_t now, size_t *left_out);
/** Paces of servers kept, for all nodes that told them. */
size_t cw_server_pool_pace_count(const cw_server_pool_t *pool);
/** Forgets nodes that have been silent for longer than `life`. */
void cw_server_pool_expire(cw_server_pool_t *pool, cw_time_us_t life, cw_time_us_t now);

/** Zones whose servers may be chosen. */
typedef struct cw_zone_filter {
    void *context;
    bool (*takes_zone)(void *context, const char *zone);
} cw_zone_filter_t;

typedef struct cw_choice_settings {
    double zone_penalty;    /**< what another zone costs, as a share of a usual request's time */
    double remote_penalty;  /**< what another region costs besides, in the same unit */
    bool   stays_in_region; /**< servers of other regions are not taken */
    double affinity;        /**< weight of this node's own order of servers; more where others' loads are known late */
    double extra_slots;     /**< requests a server may have beyond its capacity */
    cw_region_rule_t        regions;
    const cw_zone_filter_t *zones; /**< NULL: all */
} cw_choice_settings_t;

/** Best server of a service with a free slot. full: there are servers, but none has a slot. */
cw_server_t *cw_server_pool_choose(cw_server_pool_t *pool, const char *service, const cw_choice_settings_t *settings,
                                   const cw_server_t *except, cw_time_us_t now, bool *full);
bool         cw_server_has_slot(const cw_server_t *server, double extra_slots, cw_time_us_t now);
/** Slots of a service that can be used, in units of a server of usual pace. */
double cw_server_pool_speed(cw_server_pool_t *pool, const char *service, cw_time_us_t now);
/** The same for servers to which a request under this rule may go. */
double cw_server_pool_speed_under(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                  cw_time_us_t now);
/** The same for those of them that lie in this node's region. */
double cw_server_pool_speed_near(cw_server_pool_t *pool, const char *service, const cw_region_rule_t *rule,
                                 cw_time_us_t now);
/** Requests under way at a service's servers. */
uint32_t cw_server_pool_in_flight(cw_server_pool_t *pool, const char *service);

#endif
