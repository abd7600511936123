/**
 * @file assigner_internal.h
 * @brief State shared by the assigner's parts.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ASSIGNER_INTERNAL_H
#define CEDARWINCH_ASSIGNMENT_ASSIGNER_INTERNAL_H

#include "assignment/assigner.h"

/** A former holder of keys that may still carry out a grant of them. */
typedef struct cw_former_notice {
    cw_holder_t  holder;
    uint32_t     low;
    uint32_t     last;
    uint64_t     fence; /**< of the server that got the keys */
    cw_time_us_t next_at;
    /** Until when it may carry out a grant of an earlier leader, of which this one knows nothing; 0: there was none. */
    cw_time_us_t earlier_until;
} cw_former_notice_t;

/** An assigner with its record, its plan and its orders in flight. */
struct cw_assigner {
    char                  *service;
    uint64_t               term;
    uint64_t               first_term; /**< in which it was created */
    uint64_t               incarnation;
    cw_assigner_settings_t settings;
    cw_assigner_ports_t    ports;
    cw_assigner_state_t    state;
    cw_assignment_record_t record;
    uint64_t               revision;   /**< of the record; 0: no object */
    uint64_t               epoch;      /**< latest one of the store that a reply stated */
    uint64_t               later_term; /**< of a record that deposed this leader */
    cw_assignment_record_t plan;       /**< being made or written; without ranges: there is no plan */
    bool                   writing; /**< the plan is submitted and must not change until the write's outcome is known */
    bool                   adopting; /**< the plan is an earlier leader's record, rewritten with this leader's term */
    bool                   calling;  /**< a store call is in flight */
    bool                   write_due;
    bool                   read_due;
    bool                   freed;
    bool                   long_hold;
    size_t                 next_range;   /**< index of the range at which the next tick begins to send orders */
    double                 orders_per_s; /**< limit for renewals; 0: no limit */
    uint64_t               last_write;
    cw_time_us_t           stale_since; /**< when a move ended that the record still shows as unfinished; 0: none */
    cw_time_us_t           retry_at;    /**< no store call is made before this time */
    cw_time_us_t           now;         /**< latest time that a caller has passed */
    cw_time_us_t           ticked_at;   /**< time of the last tick */
    /** Time of the first tick with authority. Earlier leaders had lost their authority by this time. 0: none yet. */
    cw_time_us_t led_since;
    cw_time_us_t adopted_at;     /**< when the record of an earlier leader was read that this one adopted; 0: none */
    cw_time_us_t first_grant_at; /**< no range is granted before, since former owners are unknown; 0: no limit */
    cw_order_t  *orders;         /**< in flight */
    size_t       order_count;
    size_t       order_capacity;
    size_t       unanswering_order_count; /**< of the orders in flight, those to servers that did not answer */
    cw_time_us_t next_unanswering_probe;
    cw_time_us_t fences_ready_at; /**< since when a new fence can be planned; 0: none can */
    uint64_t     last_order;

    cw_server_contacts_t *contacts;
    cw_former_notice_t   *notices;
    size_t                notice_count;
    size_t                notice_capacity;
};

/* ---- assigner.c ---- */
/** Frees the assigner immediately. No store call may be in flight. */
void cw_assigner_free_now(cw_assigner_t *assigner);
/** Whether an unanswered order can still be carried out, or a hold that it gave can still be in force. */
bool cw_assigner_late_order_possible(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now);

/** Logs a decision about a range, and what it rests on. */
void cw_assigner_log(const cw_assigner_t *assigner, const char *event, const cw_range_t *range, const char *detail);

/* ---- assigner_holds.c: each change of a hold's end ---- */
/** Latest end of the holds that earlier leaders have granted: they had lost their authority when this leader got its
 * own, and no grant leaves without authority. */
cw_time_us_t cw_assigner_earlier_holds_end(const cw_assigner_t *assigner);
/** Until when a grant of an earlier leader may be carried out late, its hold included. */
cw_time_us_t cw_assigner_earlier_late_orders_end(const cw_assigner_t *assigner);
/** A grant was sent: the owner may hold the range until then. */
void cw_assigner_extend_hold(cw_range_t *range, uint64_t order, cw_time_us_t until);
/** The owner has confirmed a grant, so that it arrived by now. */
void cw_assigner_confirm_hold(cw_range_t *range, const cw_order_t *order, cw_time_us_t now);
/** A grant was certainly not sent. The hold ends as before it, unless a later grant has set its end since. */
void cw_assigner_take_back_hold(cw_range_t *range, const cw_order_t *order);
/** A grant has ended that may have arrived until now. If it was given to the range's former holder before the move,
 * that one may hold the range accordingly. */
void cw_assigner_extend_former_hold(cw_range_t *range, const cw_order_t *order, cw_time_us_t now);
/** A plan that changes the range's owner or fence was written: sets the ends of the owner's and of the former holder's
 * holds from the ranges of the record that it covers. */
void cw_assigner_set_planned_holds(const cw_assigner_t *assigner, cw_range_t *planned, cw_time_us_t now);

/* ---- assigner_plan.c ---- */
/** Submits the plan. It is written as soon as the store can be called and must not change until then. */
void cw_assigner_begin_write(cw_assigner_t *assigner);
/** Plans a new, highest fence for the range and its present owner. */
void cw_assigner_plan_new_fence(cw_assigner_t *assigner, const cw_range_t *range);

/* ---- assigner_commit.c ---- */
/** Makes the plan, which the store now has under this revision, the record. */
void cw_assigner_commit(cw_assigner_t *assigner, uint64_t revision, cw_time_us_t now);

/* ---- assigner_record.c ---- */
/** Makes the store call that is due, unless one is in flight. */
void cw_assigner_call_store(cw_assigner_t *assigner, cw_time_us_t now);

/* ---- assigner_probes.c ---- */
/** Whether a grant of the range may leave only when the owner has just answered a probe. */
bool cw_assigner_needs_probe(const cw_assigner_t *assigner, const cw_range_t *range);
/** The range's grant is due: probes its owner unless that was done just now. */
void cw_assigner_await_answer(cw_assigner_t *assigner, cw_range_t *range, cw_time_us_t now);
/** Probes a server unless that was done just now. */
void cw_assigner_probe_if_due(cw_assigner_t *assigner, const cw_holder_t *server, cw_time_us_t now);
/** Probes the servers whose last order got no answer. */
void cw_assigner_probe_unanswering(cw_assigner_t *assigner, cw_time_us_t now);
/** Handles the result of a probe: sends the grants that wait for the server. */
void cw_assigner_probe_done(cw_assigner_t *assigner, const cw_order_t *probe, cw_order_result_t result,
                            cw_time_us_t now);

/* ---- assigner_notices.c ---- */
/** The former holder's hold of the range has run out by time alone: it is told until its grants are over. */
void cw_assigner_add_notice(cw_assigner_t *assigner, const cw_range_t *range);
/** Adds the former holders that still have to be told to a record that is about to be written. */
void cw_assigner_write_notices(const cw_assigner_t *assigner, json_t *record);
/** Adds the notices that an earlier leader's record names. */
void cw_assigner_adopt_notices(cw_assigner_t *assigner, const json_t *record);
/** The former holder has answered this release: the notice of it ends. */
void cw_assigner_notice_answered(cw_assigner_t *assigner, const cw_order_t *release);
/** Sends the notices that are due. */
void cw_assigner_send_notices(cw_assigner_t *assigner, cw_time_us_t now);

/* ---- assigner_orders.c ---- */
/** Sends a release of these keys, which are another server's with this fence; no range waits for its result. */
void cw_assigner_send_release(cw_assigner_t *assigner, const cw_holder_t *holder, uint32_t low, uint32_t last,
                              uint64_t fence, cw_time_us_t now);
/** Whether the owner may be granted the range: nothing is in flight to it, and the plan that is being written does not
 * move the range. */
bool cw_assigner_may_grant(const cw_assigner_t *assigner, const cw_range_t *range);
/** Whether another order may be sent to a server that does not answer. They are bounded apart, so that servers that
 * answer are renewed in time. */
bool cw_assigner_may_send_unanswered(const cw_assigner_t *assigner);
/** Sends a probe to a server. */
void cw_assigner_send_probe(cw_assigner_t *assigner, const cw_holder_t *server, cw_time_us_t now);
/** Sends a grant, or a renewal, to the range's owner. is_fresh: on a new connection. */
void cw_assigner_send_grant(cw_assigner_t *assigner, cw_range_t *range, bool is_fresh, cw_time_us_t now);
/** Number of orders in flight whose results the range waits for. */
uint32_t cw_assigner_orders_in_flight(const cw_assigner_t *assigner, const cw_range_t *range);
/** Sends the orders that are due. long_hold: the store does not answer, so grants get the long hold. */
void cw_assigner_send_orders(cw_assigner_t *assigner, const cw_server_list_t *servers, bool long_hold,
                             cw_time_us_t now);

#endif
