/**
 * @file assigner_notices.c
 * @brief Tells former holders that their keys are another server's, when their holds have run out by time alone.
 *
 * A former holder that did not answer may still carry out a grant later. It refuses it once it has seen a higher fence,
 * so the release is sent again until it has answered it, or until its grants are over (server_contact.h). What an
 * earlier leader sent is not known: its grants count as open for the longest time in which they may be carried out.
 *
 * The record names the former holders that still have to be told, so that a later leader tells them: a move that is
 * finished does not name its former holder any more.
 */
#include <stdlib.h>
#include <string.h>

#include "assignment/assigner_internal.h"
#include "base/event_log.h"
#include "base/memory.h"
#include "base/metrics.h"

enum { INITIAL_CAPACITY = 8, RESEND_MS = 500 };

/* Member of the record: a list of keys (first and last), former holder (id and address) and fence of the move. */
static const char untold[] = "untold";

static void append(cw_assigner_t *assigner, const cw_former_notice_t *notice)
{
    if (assigner->notice_count == assigner->notice_capacity) {
        assigner->notice_capacity = assigner->notice_capacity == 0 ? INITIAL_CAPACITY : 2 * assigner->notice_capacity;
        assigner->notices = cw_memory_resize(assigner->notices, assigner->notice_capacity * sizeof(*assigner->notices));
    }
    assigner->notices[assigner->notice_count++] = *notice;
}

void cw_assigner_add_notice(cw_assigner_t *assigner, const cw_range_t *range)
{
    cw_former_notice_t notice = {
        .holder = range->former, .low = range->low, .last = range->last, .fence = range->owner.fence};

    if (assigner->adopted_at != 0) {
        notice.earlier_until = cw_assigner_earlier_late_orders_end(assigner);
    }
    append(assigner, &notice);
}

void cw_assigner_write_notices(const cw_assigner_t *assigner, json_t *record)
{
    json_t *list = json_array();
    size_t  index;

    for (index = 0; index < assigner->notice_count; index++) {
        const cw_former_notice_t *notice = &assigner->notices[index];

        json_array_append_new(list, json_pack("[I, I, s, s, I]", (json_int_t)notice->low, (json_int_t)notice->last,
                                              notice->holder.id, notice->holder.address, (json_int_t)notice->fence));
    }
    json_object_set_new(record, untold, list);
}

/* False: the element is malformed. */
static bool decode_notice(cw_former_notice_t *notice, json_t *value)
{
    json_int_t  low;
    json_int_t  last;
    json_int_t  fence;
    const char *id;
    const char *address;

    if (json_unpack(value, "[I, I, s, s, I]", &low, &last, &id, &address, &fence) != 0 || low < 0 || last < low ||
        last > CW_KEY_LAST || fence < 0 || strlen(id) >= sizeof(notice->holder.id) ||
        strlen(address) >= sizeof(notice->holder.address)) {
        return false;
    }
    *notice = (cw_former_notice_t){.low = (uint32_t)low, .last = (uint32_t)last, .fence = (uint64_t)fence};
    memcpy(notice->holder.id, id, strlen(id) + 1);
    memcpy(notice->holder.address, address, strlen(address) + 1);
    return true;
}

static void log_malformed(const cw_assigner_t *assigner)
{
    cw_event_t event;

    cw_metric_add(CW_METRIC_STORE_BODIES_MALFORMED, 1);
    if (cw_event_begin(&event, CW_EVENT_STORE_BODY_MALFORMED)) {
        cw_event_text(&event, CW_FIELD_DETAIL, CW_ASSIGNMENTS_KIND);
        cw_event_text(&event, CW_FIELD_SERVICE, assigner->service);
        cw_event_text(&event, CW_FIELD_REASON, "untold: a former holder is malformed, and is not told");
        cw_event_end(&event);
    }
}

void cw_assigner_adopt_notices(cw_assigner_t *assigner, const json_t *record)
{
    const json_t *list = json_object_get(record, untold);
    size_t        index;

    for (index = 0; index < json_array_size(list); index++) {
        cw_former_notice_t notice;

        if (decode_notice(&notice, json_array_get(list, index))) {
            notice.earlier_until = cw_assigner_earlier_late_orders_end(assigner);
            append(assigner, &notice);
        } else {
            log_malformed(assigner);
        }
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
