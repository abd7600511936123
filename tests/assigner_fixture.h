/**
 * @file assigner_fixture.h
 * @brief An assigner with a store of one object and servers whose orders the test answers.
 */
#ifndef CEDARWINCH_TESTS_ASSIGNER_FIXTURE_H
#define CEDARWINCH_TESTS_ASSIGNER_FIXTURE_H

#include "assignment/assigner.h"

enum { ASSIGNER_ORDERS_MAX = 256 };

typedef struct assigner_world {
    cw_assigner_t     *assigner;
    cw_store_port_t    port;
    cw_server_list_t  *servers;
    cw_time_us_t       now;
    json_t            *object; /**< NULL: none */
    uint64_t           revision;
    bool               hold_answers; /**< the store takes calls and keeps their answers back */
    cw_store_result_t  fail_next;    /**< CW_STORE_DONE: does not */
    bool               done_before_fail;
    cw_store_replied_t waiting;
    void              *waiting_data;
    cw_store_reply_t   waiting_reply;
    json_t            *waiting_value;
    uint32_t           writes;
    cw_order_t         orders[ASSIGNER_ORDERS_MAX]; /**< all sent, in order */
    size_t             order_count;
    size_t             answered; /**< orders before this one are answered */
    uint32_t           changes;
} assigner_world_t;

void assigner_world_init(assigner_world_t *world, uint64_t term);
void assigner_world_clear(assigner_world_t *world);
/** Replaces the list by these "name[#born]@address[!]" texts; "!" marks a draining one. */
void assigner_world_servers(assigner_world_t *world, const char *const *texts);
/** A new assigner of a later leader over the same store. */
void assigner_world_take_over(assigner_world_t *world, uint64_t term);
void assigner_world_tick(assigner_world_t *world, cw_time_us_t passed);
/** Answers all orders not answered yet. */
void assigner_world_answer(assigner_world_t *world, cw_order_result_t result, const char *handover);
void assigner_world_answer_store(assigner_world_t *world);
/** Plans the first assignment and grants everything. */
void assigner_world_settle(assigner_world_t *world);
/** Orders of this kind sent since index `from`. */
size_t            assigner_world_count(const assigner_world_t *world, cw_order_kind_t kind, size_t from);
const cw_range_t *assigner_world_range(const assigner_world_t *world, uint32_t key);

#endif
