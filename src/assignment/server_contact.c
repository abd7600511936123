/**
 * @file server_contact.c
 * @brief Record of the servers' answers and of the orders without one.
 */
#include "assignment/server_contact.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/memory.h"

enum { KEPT_S = 60 /* for how long a server is remembered after the last result of an order to it */ };

/** A server with the time of the last result. The public part is first. */
typedef struct contact_entry {
    cw_server_contact_t contact;
    cw_time_us_t        recorded_at;
} contact_entry_t;

struct cw_server_contacts {
    cw_time_us_t         late_order_time;
    cw_server_contact_t *servers;
};

cw_server_contacts_t *cw_server_contacts_create(cw_time_us_t late_order_time)
{
    cw_server_contacts_t *contacts = cw_memory_zeroed(sizeof(*contacts));

    contacts->late_order_time = late_order_time;
    return contacts;
}

static void remove_open(cw_server_contact_t *contact, cw_open_order_t *order)
{
    LL_DELETE(contact->open, order);
    contact->open_count--;
    free(order);
}

static void remove_all_open(cw_server_contact_t *contact)
{
    while (contact->open != NULL) {
        remove_open(contact, contact->open);
    }
}

void cw_server_contacts_free(cw_server_contacts_t *contacts)
{
    cw_server_contact_t *contact;
    cw_server_contact_t *next;

    HASH_ITER(hh, contacts->servers, contact, next)
    {
        HASH_DEL(contacts->servers, contact);
        remove_all_open(contact);
        free(contact);
    }
    free(contacts);
}

static cw_server_contact_t *find(const cw_server_contacts_t *contacts, const char *id)
{
    cw_server_contact_t *contact;

    HASH_FIND_STR(contacts->servers, id, contact);
    return contact;
}

static cw_server_contact_t *find_or_add(cw_server_contacts_t *contacts, const char *id)
{
    cw_server_contact_t *contact = find(contacts, id);

    if (contact == NULL) {
        contact = cw_memory_zeroed(sizeof(contact_entry_t));
        snprintf(contact->id, sizeof(contact->id), "%s", id);
        HASH_ADD_STR(contacts->servers, id, contact);
    }
    return contact;
}

static bool overlaps(const cw_open_order_t *open, const cw_order_t *order)
{
    return open->low <= order->last && order->low <= open->last;
}

static bool contains(const cw_open_order_t *open, const cw_order_t *order)
{
    return open->low <= order->low && order->last <= open->last;
}

/* Whether the server refuses the open grant, as its answer to the order shows. A fenced order shows a higher fence on
 * one of its own keys, which the open grant must then cover all. */
static bool is_refused_from_now(const cw_open_order_t *open, const cw_order_t *order, cw_order_result_t result)
{
    if (open->kind != CW_ORDER_GRANT) {
        return false;
    }
    if (result == CW_ORDER_FENCED) {
        return contains(open, order) && open->fence <= order->fence;
    }
    return result == CW_ORDER_DONE && overlaps(open, order) && open->fence < order->fence;
}

static void record_answer(cw_server_contact_t *contact, const cw_order_t *order, cw_order_result_t result,
                          cw_time_us_t now)
{
    cw_open_order_t *open;
    cw_open_order_t *next;

    contact->answered_at = now;
    contact->unanswered_since = 0;
    if (result == CW_ORDER_OTHER_INCARNATION) {
        remove_all_open(contact);
        return;
    }
    LL_FOREACH_SAFE(contact->open, open, next)
    {
        if (is_refused_from_now(open, order, result)) {
            remove_open(contact, open);
        }
    }
}

static void record_unanswered(const cw_server_contacts_t *contacts, cw_server_contact_t *contact,
                              const cw_order_t *order, cw_time_us_t now)
{
    cw_open_order_t *open = cw_memory_zeroed(sizeof(*open));

    contact->unanswered_since = contact->unanswered_since == 0 ? now : contact->unanswered_since;
    *open = (cw_open_order_t){.id = order->id,
                              .kind = order->kind,
                              .low = order->low,
                              .last = order->last,
                              .fence = order->fence,
                              .sent_at = order->sent_at,
                              .over_at = cw_order_hold_end(now + contacts->late_order_time, order->hold)};
    LL_PREPEND(contact->open, open);
    contact->open_count++;
}

void cw_server_contacts_record(cw_server_contacts_t *contacts, const cw_order_t *order, cw_order_result_t result,
                               cw_time_us_t now)
{
    cw_server_contact_t *contact = find_or_add(contacts, order->server);

    ((contact_entry_t *)contact)->recorded_at = now;
    switch (result) {
    case CW_ORDER_DONE:
    case CW_ORDER_FENCED:
    case CW_ORDER_REFUSED:
    case CW_ORDER_OTHER_INCARNATION:
        record_answer(contact, order, result, now);
        break;
    case CW_ORDER_UNANSWERED:
        record_unanswered(contacts, contact, order, now);
        break;
    case CW_ORDER_NOT_SENT:
    case CW_ORDER_WITHDRAWN:
    case CW_ORDER_OTHER_CONNECTION:
        break; /* nothing was sent: it says nothing of the process */
    }
}

void cw_server_contacts_expire(cw_server_contacts_t *contacts, cw_time_us_t now)
{
    cw_server_contact_t *contact;
    cw_server_contact_t *next_contact;
    cw_open_order_t     *open;
    cw_open_order_t     *next;

    HASH_ITER(hh, contacts->servers, contact, next_contact)
    {
        LL_FOREACH_SAFE(contact->open, open, next)
        {
            if (now >= open->over_at) {
                remove_open(contact, open);
            }
        }
        if (contact->open == NULL && now - ((contact_entry_t *)contact)->recorded_at > CW_SECONDS(KEPT_S)) {
            HASH_DEL(contacts->servers, contact);
            free(contact);
        }
    }
}

const cw_server_contact_t *cw_server_contacts_find(const cw_server_contacts_t *contacts, const char *id)
{
    return find(contacts, id);
}

const cw_server_contact_t *cw_server_contacts_first(const cw_server_contacts_t *contacts)
{
    return contacts->servers;
}

size_t cw_server_contacts_open_orders(const cw_server_contacts_t *contacts)
{
    const cw_server_contact_t *contact;
    size_t                     count = 0;

    for (contact = contacts->servers; contact != NULL; contact = contact->hh.next) {
        count += contact->open_count;
    }
    return count;
}

size_t cw_server_contacts_unanswering(const cw_server_contacts_t *contacts)
{
    const cw_server_contact_t *contact;
    size_t                     count = 0;

    for (contact = contacts->servers; contact != NULL; contact = contact->hh.next) {
        count += contact->unanswered_since != 0 ? 1 : 0;
    }
    return count;
}
