/**
 * @file assigner_probes.c
 * @brief Probes of servers before they are granted keys.
 *
 * A server that stands still carries out whatever was sent to it when it goes on. So a grant with a fence that the
 * owner has not confirmed to this leader leaves when the owner has just answered a probe, in the same call. A renewal
 * needs no probe while the owner's last order was answered.
 */
#include <string.h>

#include "assignment/assigner_internal.h"

bool cw_assigner_needs_probe(const cw_assigner_t *assigner, const cw_range_t *range)
{
    /* The grant with another fence needs one of its own when the fence is written. */
    bool is_unconfirmed = range->confirmed_at == 0 && !range->needs_fence;

    return is_unconfirmed || !cw_server_contacts_answers(assigner->contacts, range->owner.id);
}

void cw_assigner_await_answer(cw_assigner_t *assigner, cw_range_t *range, cw_time_us_t now)
{
    if (!range->awaits_answer) {
        range->awaits_answer = true;
        cw_server_contacts_wait(assigner->contacts, range->owner.id, range->low);
    }
    if (cw_server_contacts_begin_probe(assigner->contacts, range->owner.id, now)) {
        cw_assigner_send_probe(assigner, &range->owner, now);
    }
}

static void handle_no_answer(cw_assigner_t *assigner, cw_range_t *range, cw_time_us_t now)
{
    if (range->failing_since == 0) {
        range->failing_since = now;
        cw_assigner_log(assigner, "owner does not answer", range, "a probe got no answer");
    }
}

static void handle_owner_ended(cw_assigner_t *assigner, cw_range_t *range)
{
    range->owner_ended = true;
    cw_assigner_log(assigner, "owner ended", range, "another incarnation answers");
}

static void handle_result(cw_assigner_t *assigner, cw_range_t *range, const cw_order_t *probe, cw_order_result_t result,
                          bool is_fresh, cw_time_us_t now)
{
    switch (result) {
    case CW_ORDER_DONE:
    case CW_ORDER_FENCED:
    case CW_ORDER_REFUSED:
        /* An answer that this process reads late, since it stood still itself, says nothing of the server now. */
        if (now - probe->sent_at <= probe->timeout && !range->needs_fence) {
            cw_assigner_send_grant(assigner, range, is_fresh, now);
        }
        break;
    case CW_ORDER_OTHER_INCARNATION:
        handle_owner_ended(assigner, range);
        break;
    case CW_ORDER_UNANSWERED:
    case CW_ORDER_NOT_SENT:
        handle_no_answer(assigner, range, now);
        break;
    case CW_ORDER_WITHDRAWN:
    case CW_ORDER_OTHER_CONNECTION:
        break;
    }
}

void cw_assigner_probe_done(cw_assigner_t *assigner, const cw_order_t *probe, cw_order_result_t result,
                            cw_time_us_t now)
{
    bool     is_first = true;
    uint32_t low;

    while (cw_server_contacts_next_waiting(assigner->contacts, probe->server, &low)) {
        cw_range_t *range = cw_range_list_find(&assigner->record.ranges, low);

        if (range == NULL || !range->awaits_answer || strcmp(range->owner.id, probe->server) != 0) {
            continue; /* it waits no more */
        }
        range->awaits_answer = false;
        /* The first grant takes the connection of the probe, which works; others may have gone silent. */
        handle_result(assigner, range, probe, result, !is_first && range->failing_since != 0, now);
        is_first = false;
    }
}
