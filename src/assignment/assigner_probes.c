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

enum {
    UNANSWERING_PROBE_INTERVAL_MS = 200,
    FRESH_ANSWER_MS = 150 /* a process without much of a processor stands still for up to 100 ms */
};

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
    cw_assigner_probe_if_due(assigner, &range->owner, now);
}

void cw_assigner_probe_if_due(cw_assigner_t *assigner, const cw_holder_t *server, cw_time_us_t now)
{
    bool may_send =
        cw_server_contacts_answers(assigner->contacts, server->id) || cw_assigner_may_send_unanswered(assigner);

    if (may_send && cw_server_contacts_begin_probe(assigner->contacts, server->id, now)) {
        cw_assigner_send_probe(assigner, server, now);
    }
}

/* Servers whose last order got no answer are asked whether or not keys wait for them: without an answer they would get
 * none. */
void cw_assigner_probe_unanswering(cw_assigner_t *assigner, cw_time_us_t now)
{
    const cw_server_contact_t *contact;

    if (cw_server_contacts_unanswering(assigner->contacts) == 0 || now < assigner->next_unanswering_probe) {
        return;
    }
    assigner->next_unanswering_probe = now + CW_MS(UNANSWERING_PROBE_INTERVAL_MS);
    for (contact = cw_server_contacts_first(assigner->contacts); contact != NULL; contact = contact->hh.next) {
        cw_holder_t server = {.fence = 0};

        if (contact->unanswered_since != 0) {
            memcpy(server.id, contact->id, sizeof(server.id));
            memcpy(server.address, contact->address, sizeof(server.address));
            cw_assigner_probe_if_due(assigner, &server, now);
        }
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

/* Whether the server gave the answer just now. One that this process reads after it has stood still may have waited for
 * as long, and the server may have stopped since. */
static bool is_answer_fresh(const cw_assigner_t *assigner, const cw_order_t *probe, cw_time_us_t now)
{
    cw_time_us_t most = CW_MS(FRESH_ANSWER_MS);

    return now - probe->sent_at <= probe->timeout &&
           (now - probe->sent_at <= most || now - assigner->ticked_at <= most);
}

static void handle_result(cw_assigner_t *assigner, cw_range_t *range, const cw_order_t *probe, cw_order_result_t result,
                          bool is_fresh, cw_time_us_t now)
{
    switch (result) {
    case CW_ORDER_DONE:
    case CW_ORDER_FENCED:
    case CW_ORDER_REFUSED:
        if (is_answer_fresh(assigner, probe, now) && !range->needs_fence && assigner->state == CW_ASSIGNER_READY &&
            cw_assigner_may_grant(assigner, range)) {
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
    const cw_server_contact_t *contact = cw_server_contacts_find(assigner->contacts, probe->server);
    bool                       is_first = true;
    uint32_t                   low;

    if (result == CW_ORDER_UNANSWERED && contact != NULL && contact->answered_at > probe->sent_at) {
        return; /* a later order was answered */
    }
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
