/**
 * @file server_contact.h
 * @brief What a leader knows of the servers that it sends orders to: when each last answered one, and which orders have
 * no answer and may still be carried out.
 *
 * The end of the wait for an answer does not end an order. Its bytes outlive the reset of its connection in the kernel
 * of a server that stands still, and a server may also keep an order in a queue of its own. It carries out all of them
 * later, in any order. An order without an answer is over when one of these has happened:
 *  - The server has answered a later order, with a higher fence for one of a grant's keys. From then on it refuses the
 *    grant. A release is never refused.
 *  - The server's incarnation has ended: another one answers at its address.
 *  - The longest time has passed for which the platform says that orders may be carried out late. A server that stands
 *    still for longer is not bound by it.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_ASSIGNMENT_SERVER_CONTACT_H
#define CEDARWINCH_ASSIGNMENT_SERVER_CONTACT_H

#include <uthash.h>

#include "assignment/order.h"

/** An order without an answer that may still be carried out. */
typedef struct cw_open_order {
    uint64_t              id;
    cw_order_kind_t       kind;
    uint32_t              low;
    uint32_t              last;
    uint64_t              fence;
    cw_time_us_t          sent_at;
    cw_time_us_t          over_at; /**< when it is over at the latest, a hold that it gives included */
    struct cw_open_order *prev;    /**< prev and next: the names that utlist.h requires */
    struct cw_open_order *next;
} cw_open_order_t;

/** One incarnation of a server. */
typedef struct cw_server_contact {
    char         id[CW_SERVER_ID_MAX];
    char         address[CW_SERVER_ADDRESS_MAX];
    cw_time_us_t answered_at; /**< when it last answered an order; 0: it has answered none */
    /** End of the wait for the first order after its last answer that got none; 0: its last order was answered. */
    cw_time_us_t     unanswered_since;
    cw_open_order_t *open; /**< orders that may still be carried out */
    size_t           open_count;
    cw_time_us_t     probed_at;         /**< when the last probe was sent; 0: there was none */
    uint32_t         probes_unanswered; /**< probes sent since its last answer */
    cw_time_us_t     used_at;           /**< last probe or result */
    uint32_t        *waiting;           /**< first keys of ranges that wait for its answer */
    size_t           waiting_count;
    size_t           waiting_capacity;
    UT_hash_handle   hh;
} cw_server_contact_t;

/** The servers that a leader has sent orders to. */
typedef struct cw_server_contacts cw_server_contacts_t;

/** Creates an empty record. late_order_time: longest time after which an order may be carried out. */
cw_server_contacts_t *cw_server_contacts_create(cw_time_us_t late_order_time);
/** Frees the record. */
void cw_server_contacts_free(cw_server_contacts_t *contacts);
/** Records the result of an order. */
void cw_server_contacts_record(cw_server_contacts_t *contacts, const cw_order_t *order, cw_order_result_t result,
                               cw_time_us_t now);
/** Whether the server's last order was answered. */
bool cw_server_contacts_answers(const cw_server_contacts_t *contacts, const char *id);
/** Whether to probe the server now; then records the probe. The interval grows while it does not answer. */
bool cw_server_contacts_begin_probe(cw_server_contacts_t *contacts, const char *id, cw_time_us_t now);
/** Adds a range to those that wait for the server's next answer. low: its first key. */
void cw_server_contacts_wait(cw_server_contacts_t *contacts, const char *id, uint32_t low);
/** Removes and returns the first key of a range that waits for the server. False: none does. */
bool cw_server_contacts_next_waiting(cw_server_contacts_t *contacts, const char *id, uint32_t *low);
/** Discards the orders that are over, and the servers without one that have not answered or been asked lately. */
void cw_server_contacts_expire(cw_server_contacts_t *contacts, cw_time_us_t now);
/** Returns what is known of a server; NULL: nothing. Valid until the next change. */
const cw_server_contact_t *cw_server_contacts_find(const cw_server_contacts_t *contacts, const char *id);
/** Whether a grant of one of these keys with a lower fence may still be carried out. */
bool cw_server_contact_has_open_grant(const cw_server_contact_t *contact, uint32_t low, uint32_t last, uint64_t fence);
/** Returns the first server; the others follow by `hh.next`. NULL: there is none. */
const cw_server_contact_t *cw_server_contacts_first(const cw_server_contacts_t *contacts);
/** Number of orders that may still be carried out. */
size_t cw_server_contacts_open_orders(const cw_server_contacts_t *contacts);
/** Number of servers whose last order got no answer. */
size_t cw_server_contacts_unanswering(const cw_server_contacts_t *contacts);

#endif
