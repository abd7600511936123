/**
 * @file assigner_notices.c
 * @brief Tells former holders that their keys are another server's, when their holds have run out by time alone.
 *
 * A former holder that did not answer may still carry out a grant later. It refuses it once it has seen a higher fence,
 * so the release is sent again until it has answered it, or until its grants are over (server_contact.h). What an
 * earlier leader sent is not known: its grants count as open for the longest time in which they may be carried out.
 */
#include <stdlib.h>
#include <string.h>

#include "assignment/assigner_internal.h"
#include "base/memory.h"

enum { INITIAL_CAPACITY = 8, RESEND_MS = 500 };

void cw_assigner_add_notice(cw_assigner_t *assigner, const cw_range_t *range)
{
    cw_former_notice_t *notice;

    if (assigner->notice_count == assigner->notice_capacity) {
        assigner->notice_capacity = assigner->notice_capacity == 0 ? INITIAL_CAPACITY : 2 * assigner->notice_capacity;
        assigner->notices = cw_memory_resize(assigner->notices, assigner->notice_capacity * sizeof(*assigner->notices));
    }
    notice = &assigner->notices[assigner->notice_count++];
    *notice = (cw_former_notice_t){
        .holder = range->former, .low = range->low, .last = range->last, .fence = range->owner.fence};
    if (assigner->adopted_at != 0) {
        notice->earlier_until = cw_assigner_earlier_late_orders_end(assigner);
    }
}

void cw_assigner_notice_answered(cw_assigner_t *assigner, const cw_order_t *release)
{
    size_t index = 0;

    while (index < assigner->notice_count) {
        cw_former_notice_t *notice = &assigner->notices[index];
        bool                is_told = strcmp(notice->holder.id, release->server) == 0 && notice->low == release->low &&
                       notice->last == release->last && notice->fence == release->fence;

        if (is_told) {
            *notice = assigner->notices[--assigner->notice_count];
        } else {
            index++;
        }
    }
}

/* Whether the former holder, or a later incarnation of it, which takes orders for it, is an owner of these keys again.
 * A release is never refused, so it would stop the owner. */
static bool is_owner_again(const cw_assigner_t *assigner, const cw_former_notice_t *notice)
{
    const cw_range_list_t *ranges = &assigner->record.ranges;
    const cw_range_t      *range = cw_range_list_find(ranges, notice->low);

    for (; range != NULL && range < ranges->items + ranges->count && range->low <= notice->last; range++) {
        if (cw_server_id_is_same_server(range->owner.id, notice->holder.id)) {
            return true;
        }
    }
    return false;
}

static bool is_over(const cw_assigner_t *assigner, const cw_former_notice_t *notice, cw_time_us_t now)
{
    const cw_server_contact_t *contact = cw_server_contacts_find(assigner->contacts, notice->holder.id);
    bool                       has_open =
        contact != NULL && cw_server_contact_has_open_grant(contact, notice->low, notice->last, notice->fence);

    return !has_open && now >= notice->earlier_until;
}

/* A server that stands still gets the release, too: it then lies beside the grant in its socket. */
static void send_notice(cw_assigner_t *assigner, cw_former_notice_t *notice, cw_time_us_t now)
{
    if (cw_server_contacts_answers(assigner->contacts, notice->holder.id) ||
        cw_assigner_may_send_unanswered(assigner)) {
        notice->next_at = now + assigner->settings.release_timeout + CW_MS(RESEND_MS);
        cw_assigner_send_release(assigner, &notice->holder, notice->low, notice->last, notice->fence, now);
    }
}

void cw_assigner_send_notices(cw_assigner_t *assigner, cw_time_us_t now)
{
    size_t index = 0;

    while (index < assigner->notice_count) {
        cw_former_notice_t *notice = &assigner->notices[index];

        if (is_over(assigner, notice, now)) {
            *notice = assigner->notices[--assigner->notice_count];
            continue;
        }
        if (now >= notice->next_at && !is_owner_again(assigner, notice)) {
            send_notice(assigner, notice, now);
        }
        index++;
    }
}
