/**
 * @file assigner.c
 * @brief Creation, destruction and state queries. The rules are in the header. assigner_record.c reads and writes the
 * record; assigner_commit.c applies written plans.
 */
#include "assignment/assigner_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

cw_assigner_t *cw_assigner_create(const char *service, uint64_t term, uint64_t incarnation,
                                  const cw_assigner_settings_t *settings, const cw_assigner_ports_t *ports)
{
    cw_assigner_t *assigner = cw_memory_zeroed(sizeof(*assigner));

    assigner->service = strdup(service);
    assigner->term = term;
    assigner->first_term = term;
    assigner->incarnation = incarnation;
    assigner->settings = *settings;
    assigner->ports = *ports;
    assigner->state = CW_ASSIGNER_NEW;
    assigner->contacts = cw_server_contacts_create(settings->late_order_time);
    return assigner;
}

void cw_assigner_free_now(cw_assigner_t *assigner)
{
    cw_range_list_clear(&assigner->record.ranges);
    cw_range_list_clear(&assigner->plan.ranges);
    free(assigner->orders);
    cw_server_contacts_free(assigner->contacts);
    free(assigner->notices);
    free(assigner->service);
    free(assigner);
}

void cw_assigner_free(cw_assigner_t *assigner)
{
    assigner->freed = true;
    if (!assigner->calling) { /* otherwise it is freed when the store's reply arrives */
        cw_assigner_free_now(assigner);
    }
}

void cw_assigner_begin_term(cw_assigner_t *assigner, uint64_t term, const cw_assigner_loss_t *loss)
{
    assigner->term = term;
    assigner->settings.loss = *loss;
    if (assigner->state == CW_ASSIGNER_DEPOSED) {
        cw_range_list_clear(&assigner->record.ranges);
        cw_range_list_clear(&assigner->plan.ranges);
        assigner->state = CW_ASSIGNER_NEW;
        assigner->led_since = 0; /* the leader between had authority until this term began */
    }
    assigner->read_due = true; /* its reply leads to the write */
    assigner->retry_at = 0;
}

cw_assigner_state_t cw_assigner_state(const cw_assigner_t *assigner)
{
    return assigner->state;
}

cw_assigner_loss_t cw_assigner_loss_since(bool is_seen, cw_time_us_t lost_at, cw_time_us_t leader_hold,
                                          cw_time_us_t order_timeout, cw_time_us_t hold_long)
{
    cw_assigner_loss_t loss = {.is_seen = is_seen};

    if (lost_at != 0) {
        loss.holds_until = cw_order_hold_end(lost_at + leader_hold + order_timeout, hold_long);
    }
    return loss;
}

uint64_t cw_assigner_first_term(const cw_assigner_t *assigner)
{
    return assigner->first_term;
}

uint64_t cw_assigner_later_term(const cw_assigner_t *assigner)
{
    return assigner->later_term;
}

cw_time_us_t cw_assigner_adopted_at(const cw_assigner_t *assigner)
{
    return assigner->adopted_at;
}

const char *cw_assigner_service(const cw_assigner_t *assigner)
{
    return assigner->service;
}

const cw_server_contacts_t *cw_assigner_contacts(const cw_assigner_t *assigner)
{
    return assigner->contacts;
}

const cw_range_list_t *cw_assigner_ranges(const cw_assigner_t *assigner)
{
    return &assigner->record.ranges;
}

bool cw_assigner_may_plan(const cw_assigner_t *assigner)
{
    return (assigner->state == CW_ASSIGNER_READY || assigner->state == CW_ASSIGNER_EMPTY) && !assigner->writing;
}

bool cw_assigner_late_order_possible(const cw_assigner_t *assigner, const cw_range_t *range, cw_time_us_t now)
{
    return range->unanswered_at != 0 &&
           now < cw_order_hold_end(range->unanswered_at + assigner->settings.late_order_time,
                                   assigner->settings.hold_long);
}

void cw_assigner_log(const cw_assigner_t *assigner, const char *event, const cw_range_t *range, const char *detail)
{
    cw_assignment_decision_t decision = {.service = assigner->service,
                                         .event = event,
                                         .detail = detail,
                                         .range = range,
                                         .record = assigner->revision,
                                         .order = range->hold_order,
                                         .owner_contact = cw_server_contacts_find(assigner->contacts, range->owner.id),
                                         .now = assigner->now};

    if (range->former.id[0] != '\0') {
        decision.former_contact = cw_server_contacts_find(assigner->contacts, range->former.id);
        decision.former_left = range->former_until - assigner->now;
    }
    assigner->ports.log_decision(assigner->ports.context, &decision);
}
