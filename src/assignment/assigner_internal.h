/**
 * @file assigner_internal.h
 * @brief State shared by the assigner's parts.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ASSIGNER_INTERNAL_H
#define CEDARWINCH_ASSIGNMENT_ASSIGNER_INTERNAL_H

#include "assignment/assigner.h"

struct cw_assigner {
    char                  *service;
    uint64_t               term;
    uint64_t               incarnation;
    cw_assigner_settings_t settings;
    cw_assigner_ports_t    ports;
    cw_assigner_state_t    state;
    cw_assignment_record_t record;
    uint64_t               revision; /**< of the record; 0: no object */
    cw_assignment_record_t plan;     /**< being made or written; without ranges: none */
    bool                   writing;  /**< the plan is handed in: it stays as it is until the store's outcome is known */
    bool                   adopting;
    bool                   calling; /**< a store call is under way */
    bool                   write_due;
    bool                   read_due;
    bool                   freed;
    bool                   long_hold;
    size_t                 next_range;   /**< the next turn begins with this one */
    double                 orders_per_s; /**< that renewals may take; 0: any number */
    uint64_t               last_write;
    cw_time_us_t           stale_since; /**< a move ended that the record still shows as under way; 0: none */
    cw_time_us_t           retry_at;
    cw_time_us_t           now;
    cw_time_us_t           led_since; /**< first tick with authority: former leaders had lost theirs; 0: none yet */
    cw_time_us_t first_grant_at;      /**< ranges of whose past nothing is known are not granted before; 0: none are */
    cw_order_t  *orders;              /**< under way */
    size_t       order_count;
    size_t       order_capacity;
    uint64_t     last_order;
};

/* ---- assigner.c ---- */
/** Frees it at once. */
void cw_assigner_free_now(cw_assigner_t *assigner);
/** Can an order that went unanswered still be carried out, or its hold still be in force? */
bool cw_assigner_may_wake(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now);
/** When a hold ordered then has ended by any server's clock. */
cw_time_us_t cw_assigner_hold_end(cw_time_us_t sent_at, cw_time_us_t hold);

/* ---- assigner_plan.c ---- */
/** Hands the plan in: it is written as soon as the store can be called, and stays as it is until then. */
void cw_assigner_begin_write(cw_assigner_t *assigner);
void cw_assigner_plan_refence(cw_assigner_t *assigner, const cw_range_t *range);

/* ---- assigner_commit.c ---- */
/** The plan stands in the store under this revision: it is the record now. */
void cw_assigner_commit(cw_assigner_t *assigner, uint64_t revision, cw_time_us_t now);

/* ---- assigner_record.c ---- */
/** Makes the store call that is due, unless one is under way. */
void cw_assigner_call_store(cw_assigner_t *assigner, cw_time_us_t now);

/* ---- assigner_orders.c ---- */
void cw_assigner_send_orders(cw_assigner_t *assigner, const cw_server_list_t *servers, bool long_hold,
                             cw_time_us_t now);

#endif
