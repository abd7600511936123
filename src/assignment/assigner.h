/**
 * @file assigner.h
 * @brief Assigns the keys of one service divided by key to its servers: writes the assignments to the store, then sends
 * grants and releases. The leader runs one assigner for each such service.
 *
 * Rules:
 *  - Every change of owner is written to the store, conditional on the record's revision, before the first order that
 *    follows from it. A new leader rewrites each record with its own term before it sends its first order. A late write
 *    of an earlier leader then fails its condition, so it cannot replace the state that the new leader has read.
 *  - A renewal repeats a grant to the same server and needs no wait. A move needs one of: the former holder's
 *    confirmation of the release; proof that its incarnation has ended; or the expiry of its hold, including clock
 *    drift, counted from the latest time at which a grant or renewal may have reached it: its answer, or its timeout,
 *    after which its connection is reset.
 *  - An incarnation has ended if another one answers an order at its address. The list of servers proves no end: it may
 *    be older than the record, and name the server that had the address before; and a later incarnation of a server
 * that keeps its name may hold the keys itself, since it takes grants for the one before.
 *  - The fences of a service only increase.
 *  - The store may come back from a copy (store_epoch.h), with an earlier record or none. A leader that has written the
 *    record in its tenure knows more than the store: it writes its own state again, and never takes one from the store
 *    that has no later term. A new leader that finds a record of an earlier epoch, or none after a restore, does not
 * know what was ordered since: it gives new fences, above all of earlier terms, and grants nothing before the last
 * holds that may have been granted have expired.
 *  - An order is sent only while the leader has authority. The caller states the authority with each tick, and checks
 * it again when an order that had to wait for a connection leaves.
 *  - A server may carry out an unanswered order after its hold has expired, and a node that receives no heartbeat of
 *    the leader may still route to it. After such an order a move therefore waits at least as long as a node's table of
 *    ranges stays valid.
 *  - A server may restart under its former name, and then it accepts any fence. If an owner's id is such a name, a
 *    renewal is sent only on a connection that was open when the owner last confirmed a grant, since a restart ends all
 *    connections. Without one, or if an order does not reach the owner, or after the record was adopted, the next grant
 *    has a new fence.
 *  - The number of orders in flight is bounded, so that their results are handled in time for any number of ranges.
 *  - A range is not moved for balance while a recent order to its owner is unanswered, since the server may still
 *    carry it out.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ASSIGNER_H
#define CEDARWINCH_ASSIGNMENT_ASSIGNER_H

#include "assignment/order.h"
#include "assignment/range.h"
#include "assignment/server_contact.h"
#include "model/server_list.h"
#include "store/store.h"

/** Kind of the objects in the store that hold the assignments of a service. */
#define CW_ASSIGNMENTS_KIND "assignments"

/** What a leader knows of records that the store may have lost (store_epoch.h). */
typedef struct cw_assigner_loss {
    bool is_seen; /**< this node has seen the store come back from a copy */
    /** Until when holds may be in force that were granted by a record which the store has lost. 0: none is lost. */
    cw_time_us_t holds_until;
} cw_assigner_loss_t;

/** Returns what a leader knows that first saw a state of the store which may lack records at `lost_at` (0: it saw
 * none). The authority of a leader that the store has lost ended within `leader_hold` of that time; its last grant
 * arrived within `order_timeout` after that, and was of `hold_long` at most. is_seen: as in the result. */
cw_assigner_loss_t cw_assigner_loss_since(bool is_seen, cw_time_us_t lost_at, cw_time_us_t leader_hold,
                                          cw_time_us_t order_timeout, cw_time_us_t hold_long);

/** Times that an assigner uses. */
typedef struct cw_assigner_settings {
    cw_time_us_t hold;          /**< hold of a grant while the store answers */
    cw_time_us_t hold_long;     /**< hold of a grant while the store does not answer */
    cw_time_us_t max_hold;      /**< longest hold that servers accept */
    cw_time_us_t renew_every;   /**< shortest interval between the renewals of a range */
    cw_time_us_t order_timeout; /**< timeout of a grant */
    cw_time_us_t release_timeout;
    cw_time_us_t late_order_time; /**< longest time after which a server may still carry out an unanswered order */
    cw_time_us_t table_validity;  /**< for how long a node may route by its table without a heartbeat of the leader */
    cw_assigner_loss_t loss;
} cw_assigner_settings_t;

/** One decision of an assigner, as it is logged. */
typedef struct cw_assignment_decision {
    const char       *service;
    const char       *event;
    const char       *detail; /**< what the decision rests on */
    const cw_range_t *range;
    /** How much longer the holder before the owner may hold the range; 0 or less: it certainly holds nothing. */
    cw_time_us_t               former_left;
    uint64_t                   record;         /**< revision of the record by which the assigner goes */
    uint64_t                   order;          /**< last order that set the end of the owner's hold; 0: none */
    const cw_server_contact_t *owner_contact;  /**< NULL: no order has been sent to it */
    const cw_server_contact_t *former_contact; /**< NULL: there is none, or no order has been sent to it */
    cw_time_us_t               now;
} cw_assignment_decision_t;

/** Functions that the assigner calls. */
typedef struct cw_assigner_ports {
    void            *context;
    cw_store_port_t *store;
    /** Sends an order; cw_assigner_order_done must follow once. If the order has to wait before its first byte leaves,
     * cw_assigner_order_leaves is called then. */
    void (*send_order)(void *context, const cw_order_t *order);
    /** The ranges by which requests are routed have changed. */
    void (*on_change)(void *context);
    /** Logs one decision. */
    void (*log_decision)(void *context, const cw_assignment_decision_t *decision);
    /** Logs an order that got no answer in time. NULL: it is not logged. */
    void (*log_unanswered)(void *context, const cw_order_t *order, const cw_server_contact_t *contact,
                           cw_time_us_t now);
} cw_assigner_ports_t;

/** Assigner of one service. */
typedef struct cw_assigner cw_assigner_t;

/** State of the service's record in the store, as far as the assigner knows it. */
typedef enum cw_assigner_state {
    CW_ASSIGNER_NEW,     /**< the record has not been read yet */
    CW_ASSIGNER_CALLING, /**< a store call is in flight, or its outcome is unknown */
    CW_ASSIGNER_EMPTY,   /**< there is no usable record: the first assignment has to be planned */
    CW_ASSIGNER_READY,   /**< the record has this leader's term */
    CW_ASSIGNER_DEPOSED  /**< a later leader has written the record */
} cw_assigner_state_t;

/** Creates an assigner for a service. term, incarnation: of the leader, written into the record. */
cw_assigner_t *cw_assigner_create(const char *service, uint64_t term, uint64_t incarnation,
                                  const cw_assigner_settings_t *settings, const cw_assigner_ports_t *ports);
/** Ends the assigner. It discards a reply of the store that arrives later; the caller discards later results of orders.
 */
void cw_assigner_free(cw_assigner_t *assigner);

/** Continues under a later term, since the store was restored while this leader had authority. The record is written
 * again. If the state is CW_ASSIGNER_DEPOSED, the later record is adopted instead. */
void cw_assigner_begin_term(cw_assigner_t *assigner, uint64_t term, const cw_assigner_loss_t *loss);

/** Makes the store call and sends the orders that are due. has_authority: the leader has authority now. long_hold: the
 * store does not answer. */
void cw_assigner_tick(cw_assigner_t *assigner, const cw_server_list_t *servers, bool has_authority, bool long_hold,
                      cw_time_us_t now);
/** The first byte of an order leaves now, on a connection that is open. */
void cw_assigner_order_leaves(cw_assigner_t *assigner, uint64_t order, cw_time_us_t now);
/** Handles the result of an order. handover: the server's handover after a release that was carried out; NULL: none. */
void cw_assigner_order_done(cw_assigner_t *assigner, uint64_t order, cw_order_result_t result, const char *handover,
                            cw_time_us_t now);

/** Limits renewals to this many orders per second. The interval between the renewals of a range then increases with
 * the number of ranges, and the holds with it, up to the longest hold that servers accept. */
void cw_assigner_set_renewal_rate(cw_assigner_t *assigner, double orders_per_s);

/** Returns the state of the record, as far as this leader knows it. */
cw_assigner_state_t cw_assigner_state(const cw_assigner_t *assigner);
/** Returns the term of the later leader, if the state is CW_ASSIGNER_DEPOSED. */
uint64_t cw_assigner_later_term(const cw_assigner_t *assigner);
/** Returns the term in which the assigner was created. */
uint64_t cw_assigner_first_term(const cw_assigner_t *assigner);
/** Returns when the record of an earlier leader was read whose owners this one has adopted; 0: it has adopted none. A
 * list of servers that was valid before then may lack owners that the record names. */
cw_time_us_t cw_assigner_adopted_at(const cw_assigner_t *assigner);
/** Returns the name of the service. */
const char *cw_assigner_service(const cw_assigner_t *assigner);
/** Returns what this leader knows of the servers that it has sent orders to. */
const cw_server_contacts_t *cw_assigner_contacts(const cw_assigner_t *assigner);
/** Returns the ranges of the record, which belong to the assigner; empty until there is a record. */
const cw_range_list_t *cw_assigner_ranges(const cw_assigner_t *assigner);
/** Whether a plan can be made now. False while a write is in flight. */
bool cw_assigner_may_plan(const cw_assigner_t *assigner);
/** Plans and submits the first assignment of all keys, in equal parts. Only when the state is CW_ASSIGNER_EMPTY. */
void cw_assigner_plan_first(cw_assigner_t *assigner, const cw_server_entry_t *const *servers, size_t count,
                            cw_time_us_t now);
/** Whether the keys of this range may be assigned to another server now. Not while both its owner and the holder before
 * it may hold them: the present move has to end first, since a record names only one former holder. */
bool cw_assigner_may_move(const cw_range_t *range, cw_time_us_t now);
/** Adds a move to the plan: keys low to last, which lie within one range, are assigned to `to`. False: the range may
 * not be moved now, and nothing was added. */
bool cw_assigner_plan_move(cw_assigner_t *assigner, uint32_t low, uint32_t last, const cw_server_entry_t *to);
/** Adds a merge to the plan: the range of key `low` and the next one become one. False: the two have different owners,
 * or one of them is not held or is being moved. */
bool cw_assigner_plan_merge(cw_assigner_t *assigner, uint32_t low);
/** Submits the plan, which is written as soon as the store can be called, unless it is empty. */
void cw_assigner_plan_write(cw_assigner_t *assigner, cw_time_us_t now);
/** Whether this range may be moved for balance: its owner holds it, its last order did not fail, and no unanswered
 * order can still have an effect. */
bool cw_assigner_is_settled(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now);
/** Whether the record should be rewritten: it still names former holders that have released their keys, or says that
 * grants wait for the end of lost holds, which have ended. */
bool cw_assigner_is_stale(const cw_assigner_t *assigner, cw_time_us_t now);
/** Plans a rewrite of the record without any change of owners. */
void cw_assigner_plan_rewrite(cw_assigner_t *assigner);
/** Share of the ranges whose orders have failed for more than a second. */
double cw_assigner_failing_share(const cw_assigner_t *assigner, cw_time_us_t now);

#endif
