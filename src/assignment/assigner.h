/**
 * @file assigner.h
 * @brief The leader's care for one service divided by key: writes assignments, then sends grants and releases.
 *
 * Rules:
 *  - Every change of owner is written to the store, under the record's revision, before the first order that follows
 *    from it. A new leader writes each record once more, with its own term, before its first order: so no write of a
 *    former leader can land behind what it read.
 *  - Renewing (the same call to the same server) needs no wait. A move needs one of: the former holder's answer to the
 *    release; proof that its life ended (another id at its address); or its hold, with the clocks' drift, run out since
 *    the last grant or renewal that may have reached it was sent.
 *  - Fences only rise, for each service.
 *  - No order leaves without the leader's authority at that moment; the caller passes it with each tick.
 *  - An order that went unanswered may wake a holder again after its hold has run out, and a node without a heartbeat
 * of the leader may still route to it: so after such an order the wait lasts at least as long as tables are valid.
 *  - A server may start anew under the name that it had, and takes any fence then. So an owner of such a name that an
 *    order did not reach is granted nothing more under a fence that it may have had: the next grant has a new one.
 *  - Orders under way are bounded, so that their answers are taken in time however many ranges there are.
 *  - A range is not moved for balance while an order to its owner went unanswered lately: it may still be carried out.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ASSIGNER_H
#define CEDARWINCH_ASSIGNMENT_ASSIGNER_H

#include "assignment/range.h"
#include "model/server_list.h"
#include "store/store.h"

/** Kind of the objects in the store that hold the assignments of a service. */
#define CW_ASSIGNMENTS_KIND "assignments"

typedef enum cw_order_kind { CW_ORDER_GRANT, CW_ORDER_RELEASE } cw_order_kind_t;

typedef enum cw_order_result {
    CW_ORDER_DONE,
    CW_ORDER_FENCED,            /**< a higher fence was seen on one of the keys */
    CW_ORDER_OTHER_INCARNATION, /**< another life of a server answers at the address: not done, and the one meant has
                                   ended */
    CW_ORDER_REFUSED,           /**< another answer: not done */
    CW_ORDER_NOT_SENT,          /**< proved: nothing left */
    CW_ORDER_UNANSWERED         /**< may be done, now or seconds later */
} cw_order_result_t;

typedef struct cw_order {
    uint64_t        id;
    cw_order_kind_t kind;
    char            server[CW_SERVER_ID_MAX]; /**< the life that is meant */
    char            address[CW_SERVER_ADDRESS_MAX];
    uint32_t        low;
    uint32_t        last;
    uint64_t        fence;
    cw_time_us_t    hold;
    char            handover[CW_HANDOVER_MAX];
    bool            fresh; /**< on a new connection: the last one brought no answer */
    cw_time_us_t    timeout;
    cw_time_us_t    sent_at;
    cw_time_us_t    until_before; /**< end of the owner's hold if this order never leaves */
} cw_order_t;

typedef struct cw_assigner_settings {
    cw_time_us_t hold;      /**< of grants on a calm day */
    cw_time_us_t hold_long; /**< while the store cannot be reached */
    cw_time_us_t max_hold;  /**< that servers take */
    cw_time_us_t renew_every;
    cw_time_us_t order_timeout; /**< of a grant */
    cw_time_us_t release_timeout;
    cw_time_us_t late_order_time; /**< an unanswered order may be carried out this much later */
    cw_time_us_t table_validity;  /**< a node may route by a table that it has had no heartbeat for so long */
} cw_assigner_settings_t;

typedef struct cw_assigner_ports {
    void            *context;
    cw_store_port_t *store;
    void (*order)(void *context, const cw_order_t *order); /**< cw_assigner_order_done must follow, once */
    void (*changed)(void *context);                        /**< what requests are routed by has changed */
    /** One decision for the log: an event's name and its text. */
    void (*note)(void *context, const char *service, const char *event, const cw_range_t *range, const char *detail);
} cw_assigner_ports_t;

typedef struct cw_assigner cw_assigner_t;

typedef enum cw_assigner_state {
    CW_ASSIGNER_NEW,     /**< the record is to be read */
    CW_ASSIGNER_CALLING, /**< a store call is under way, or its outcome unknown */
    CW_ASSIGNER_EMPTY,   /**< no record exists: ranges are to be made */
    CW_ASSIGNER_READY,   /**< the record carries this leader's term */
    CW_ASSIGNER_DEPOSED  /**< a later leader has written */
} cw_assigner_state_t;

cw_assigner_t *cw_assigner_create(const char *service, uint64_t term, uint64_t incarnation,
                                  const cw_assigner_settings_t *settings, const cw_assigner_ports_t *ports);
/** Store answers and orders that come later are dropped by the caller's cw_assigner_order_done and by the assigner. */
void cw_assigner_free(cw_assigner_t *assigner);

/** Sends what is due. able: the leader has authority now. long_hold: the store does not answer. */
void cw_assigner_tick(cw_assigner_t *assigner, const cw_server_list_t *servers, bool able, bool long_hold,
                      cw_time_us_t now);
void cw_assigner_order_done(cw_assigner_t *assigner, uint64_t order, cw_order_result_t result, const char *handover,
                            cw_time_us_t now);

/** Renewals are to take so many orders a second: the pause between those of a range grows with the ranges, and holds
 * with it, as far as servers take it. */
void cw_assigner_set_renewal_rate(cw_assigner_t *assigner, double orders_per_s);

cw_assigner_state_t    cw_assigner_state(const cw_assigner_t *assigner);
const char            *cw_assigner_service(const cw_assigner_t *assigner);
const cw_range_list_t *cw_assigner_ranges(const cw_assigner_t *assigner);
/** May a plan be made now? Not while a write is under way. */
bool cw_assigner_may_plan(const cw_assigner_t *assigner);
/** First assignment of all keys, in equal parts. Only when the state is CW_ASSIGNER_EMPTY. */
void cw_assigner_plan_first(cw_assigner_t *assigner, const cw_server_entry_t *const *servers, size_t count,
                            cw_time_us_t now);
/** Adds to the plan: keys low to last, within one range, go to `to`. */
void cw_assigner_plan_move(cw_assigner_t *assigner, uint32_t low, uint32_t last, const cw_server_entry_t *to,
                           const cw_server_list_t *servers);
/** Adds to the plan: the range at `index` of the plan and the next one, of one owner, become one. */
bool cw_assigner_plan_merge(cw_assigner_t *assigner, uint32_t low);
/** Writes the plan, if there is anything in it. */
void cw_assigner_plan_write(cw_assigner_t *assigner, cw_time_us_t now);
/** May this range be moved for balance? */
bool cw_assigner_is_settled(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now);
/** The record still names former holders that have let go: it should be written once more. */
bool cw_assigner_is_stale(const cw_assigner_t *assigner, cw_time_us_t now);
void cw_assigner_plan_rewrite(cw_assigner_t *assigner);
/** Owners that no order reaches, over all owners that hold ranges. */
double cw_assigner_failing_share(const cw_assigner_t *assigner, cw_time_us_t now);

#endif
