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

enum {
    CLEANUP_INTERVAL_S = 10,
    KEPT_S = 60,                   /* for how long a server is remembered after the last order to it */
    PROBE_INTERVAL_FIRST_MS = 100, /* more than one is in flight at a time, so that a lost answer costs little */
    PROBE_INTERVAL_LAST_MS = 800,
    INITIAL_WAITING = 4
};

struct cw_server_contacts {
    cw_time_us_t         late_order_time;
    cw_time_us_t         next_cleanup; /**< when servers are discarded next that were not used for a while */
    size_t               open_orders;  /**< of all servers */
    size_t               unanswering;  /**< servers whose last order got no answer */
    cw_server_contact_t *servers;
};

cw_server_contacts_t *cw_server_contacts_create(cw_time_us_t late_order_time)
{
    cw_server_contacts_t *contacts = cw_memory_zeroed(sizeof(*contacts));

    contacts->late_order_time = late_order_time;
    return contacts;
}

static void remove_open(cw_server_contacts_t *contacts, cw_server_contact_t *contact, cw_open_order_t *order)
{
    contacts->open_orders--;
    DL_DELETE(contact->open, order);
    contact->open_count--;
    free(order);
}

static void remove_all_open(cw_server_contacts_t *contacts, cw_server_contact_t *contact)
{
    cw_open_order_t *open = contact->open;

    contacts->open_orders -= contact->open_count;
    contact->open = NULL;
    contact->open_count = 0;
    while (open != NULL) {
        cw_open_order_t *next = open->next;

        free(open);
        open = next;
    }
}

static void set_unanswered_since(cw_server_contacts_t *contacts, cw_server_contact_t *contact, cw_time_us_t since)
{
    contacts->unanswering += since != 0 && contact->unanswered_since == 0 ? 1 : 0;
    contacts->unanswering -= since == 0 && contact->unanswered_since != 0 ? 1 : 0;
    contact->unanswered_since = since;
}

static void free_contact(cw_server_contacts_t *contacts, cw_server_contact_t *contact)
{
    HASH_DEL(contacts->servers, contact);
    set_unanswered_since(contacts, contact, 0);
    remove_all_open(contacts, contact);
    free(contact->waiting);
    free(contact);
}

void cw_server_contacts_free(cw_server_contacts_t *contacts)
{
    cw_server_contact_t *contact;
    cw_server_contact_t *next;

    HASH_ITER(hh, contacts->servers, contact, next)
    {
        free_contact(contacts, contact);
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
        contact = cw_memory_zeroed(sizeof(*contact));
        snprintf(contact->id, sizeof(contact->id), "%s", id);
        HASH_ADD_STR(contacts->servers, id, contact);
    }
    return contact;
}

static bool overlaps(const cw_open_order_t *open, uint32_t low, uint32_t last)
{
    return open->low <= last && low <= open->last;
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
    return result == CW_ORDER_DONE && overlaps(open, order->low, order->last) && open->fence < order->fence;
}

static void record_answer(cw_server_contacts_t *contacts, cw_server_contact_t *contact, const cw_order_t *order,
                          cw_order_result_t result, cw_time_us_t now)
{
    cw_open_order_t *open;
    cw_open_order_t *next;

    contact->answered_at = now;
    set_unanswered_since(contacts, contact, 0);
    contact->probes_unanswered = 0;
    if (result == CW_ORDER_OTHER_INCARNATION) {
        remove_all_open(contacts, contact);
        return;
    }
    DL_FOREACH_SAFE(contact->open, open, next)
    {
        if (is_refused_from_now(open, order, result)) {
            remove_open(contacts, contact, open);
        }
    }
}

static void record_unanswered(cw_server_contacts_t *contacts, cw_server_contact_t *contact, const cw_order_t *order,
                              cw_time_us_t now)
{
    cw_open_order_t *open;

    if (contact->unanswered_since == 0 && order->sent_at >= contact->answered_at) {
        set_unanswered_since(contacts, contact, now);
    }
    if (order->kind == CW_ORDER_PROBE) {
        return; /* it changes nothing */
    }
    open = cw_memory_zeroed(sizeof(*open));
    *open = (cw_open_order_t){.id = order->id,
                              .kind = order->kind,
                              .low = order->low,
                              .last = order->last,
                              .fence = order->fence,
                              .sent_at = order->sent_at,
                              .over_at = cw_order_hold_end(now + contacts->late_order_time, order->hold)};
    DL_PREPEND(contact->open, open);
    contact->open_count++;
    contacts->open_orders++;
}

void cw_server_contacts_record(cw_server_contacts_t *contacts, const cw_order_t *order, cw_order_result_t result,
                               cw_time_us_t now)
{
    cw_server_contact_t *contact = find_or_add(contacts, order->server);

    memcpy(contact->address, order->address, sizeof(contact->address));
    contact->used_at = now;
    switch (result) {
    case CW_ORDER_DONE:
    case CW_ORDER_FENCED:
    case CW_ORDER_REFUSED:
    case CW_ORDER_OTHER_INCARNATION:
        record_answer(contacts, contact, order, result, now);
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

/* A server that does not answer is probed, so that its last use is no measure. */
static bool is_unused(const cw_server_contact_t *contact, cw_time_us_t now)
{
    cw_time_us_t since = contact->unanswered_since != 0 ? contact->unanswered_since : contact->used_at;

    return now - since > CW_SECONDS(KEPT_S);
}

void cw_server_contacts_expire(cw_server_contacts_t *contacts, cw_time_us_t now)
{
    cw_server_contact_t *contact;
    cw_server_contact_t *next_contact;
    cw_open_order_t     *open;
    cw_open_order_t     *next;

    if (contacts->open_orders == 0 && now < contacts->next_cleanup) {
        return;
    }
    contacts->next_cleanup = now + CW_SECONDS(CLEANUP_INTERVAL_S);
    HASH_ITER(hh, contacts->servers, contact, next_contact)
    {
        DL_FOREACH_SAFE(contact->open, open, next)
        {
            if (now >= open->over_at) {
                remove_open(contacts, contact, open);
            }
        }
        if (contact->open == NULL && is_unused(contact, now)) {
            free_contact(contacts, contact);
        }
    }
}

bool cw_server_contacts_answers(const cw_server_contacts_t *contacts, const char *id)
{
    const cw_server_contact_t *contact = find(contacts, id);

    return contact != NULL && contact->answered_at != 0 && contact->unanswered_since == 0;
}

static cw_time_us_t probe_interval(const cw_server_contact_t *contact)
{
    uint32_t     doublings = contact->probes_unanswered < 8 ? contact->probes_unanswered : 8;
    cw_time_us_t interval = doublings == 0 ? 0 : CW_MS(PROBE_INTERVAL_FIRST_MS) << (doublings - 1);

    return interval < CW_MS(PROBE_INTERVAL_LAST_MS) ? interval : CW_MS(PROBE_INTERVAL_LAST_MS);
}

bool cw_server_contacts_begin_probe(cw_server_contacts_t *contacts, const char *id, cw_time_us_t now)
{
    cw_server_contact_t *contact = find_or_add(contacts, id);

    if (contact->probed_at != 0 && now - contact->probed_at < probe_interval(contact)) {
        return false;
    }
    contact->probed_at = now;
    contact->used_at = now;
    contact->probes_unanswered++;
    return true;
}

void cw_server_contacts_wait(cw_server_contacts_t *contacts, const char *id, uint32_t low)
{
    cw_server_contact_t *contact = find_or_add(contacts, id);

    if (contact->waiting_count == contact->waiting_capacity) {
        contact->waiting_capacity = contact->waiting_capacity == 0 ? INITIAL_WAITING : 2 * contact->waiting_capacity;
        contact->waiting = cw_memory_resize(contact->waiting, contact->waiting_capacity * sizeof(*contact->waiting));
    }
    contact->waiting[contact->waiting_count++] = low;
}

bool cw_server_contacts_next_waiting(cw_server_contacts_t *contacts, const char *id, uint32_t *low)
{
    cw_server_contact_t *contact = find(contacts, id);

    if (contact == NULL || contact->waiting_count == 0) {
        return false;
    }
    *low = contact->waiting[--contact->waiting_count];
    return true;
}

const cw_server_contact_t *cw_server_contacts_find(const cw_server_contacts_t *contacts, const char *id)
{
    return find(contacts, id);
}

bool cw_server_contact_has_open_grant(const cw_server_contact_t *contact, uint32_t low, uint32_t last, uint64_t fence)
{
    const cw_open_order_t *open;

    for (open = contact->open; open != NULL; open = open->next) {
        if (open->kind == CW_ORDER_GRANT && open->fence < fence && overlaps(open, low, last)) {
            return true;
        }
    }
    return false;
}

const cw_server_contact_t *cw_server_contacts_first(const cw_server_contacts_t *contacts)
{
    return contacts->servers;
}

size_t cw_server_contacts_open_orders(const cw_server_contacts_t *contacts)
{
    return contacts->open_orders;
}

size_t cw_server_contacts_unanswering(const cw_server_contacts_t *contacts)
{
    return contacts->unanswering;
}
