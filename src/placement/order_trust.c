/**
 * @file order_trust.c
 * @brief Counts consecutive failures and doubles the periods of doubt.
 */
#include "placement/order_trust.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

typedef struct doubt {
    uint32_t       server;
    uint32_t       failures; /* consecutive */
    uint32_t       served;   /* requests of this node that the server had answered at the last failure */
    uint32_t       periods;  /* periods of doubt begun so far */
    cw_time_us_t   until;    /* end of the last period of doubt; 0: none has begun */
    cw_time_us_t   failed_at;
    UT_hash_handle hh;
} doubt_t;

typedef struct contact {
    uint32_t       server;
    bool           is_reached;
    cw_time_us_t   probed_at; /* 0: never */
    UT_hash_handle hh;
} contact_t;

struct cw_order_trust {
    doubt_t     *doubts;
    contact_t   *contacts; /* since the node took the lock */
    cw_time_us_t term_began_at;
};

cw_order_trust_t *cw_order_trust_create(void)
{
    cw_order_trust_t *trust = cw_memory_zeroed(sizeof(*trust));

    return trust;
}

static void remove_doubt(cw_order_trust_t *trust, doubt_t *doubt)
{
    HASH_DEL(trust->doubts, doubt); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(doubt);
}

static void remove_contact(cw_order_trust_t *trust, contact_t *contact)
{
    HASH_DEL(trust->contacts, contact); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(contact);
}

static void remove_contacts(cw_order_trust_t *trust)
{
    contact_t *contact;
    contact_t *next;

    HASH_ITER(hh, trust->contacts, contact, next)
    {
        remove_contact(trust, contact);
    }
}

void cw_order_trust_free(cw_order_trust_t *trust)
{
    doubt_t *doubt;
    doubt_t *next;

    HASH_ITER(hh, trust->doubts, doubt, next)
    {
        remove_doubt(trust, doubt);
    }
    remove_contacts(trust);
    free(trust);
}

static doubt_t *find(const cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt;

    HASH_FIND(hh, trust->doubts, &server, sizeof(server), doubt);
    return doubt;
}

static doubt_t *find_or_add(cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt = find(trust, server);

    if (doubt == NULL) {
        doubt = cw_memory_zeroed(sizeof(*doubt));
        doubt->server = server;
        HASH_ADD(hh, trust->doubts, server, sizeof(doubt->server), doubt);
    }
    return doubt;
}

static cw_time_us_t doubt_period(uint32_t periods)
{
    cw_time_us_t period = CW_SECONDS(CW_ORDER_DOUBT_INITIAL_S);

    while (periods-- > 0 && period < CW_SECONDS(CW_ORDER_DOUBT_MAX_S)) {
        period *= 2;
    }
    return period;
}

void cw_order_trust_record_failure(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now)
{
    doubt_t *doubt = find_or_add(trust, server);

    doubt->failures++;
    doubt->served = served;
    doubt->failed_at = now;
    if (doubt->failures >= CW_ORDER_FAILURES &&
        now >= doubt->until) { /* failures within a period do not begin another one */
        doubt->until = now + doubt_period(doubt->periods);
        doubt->periods++;
    }
}

/* ---- contacts of a term ---- */

static contact_t *find_contact(const cw_order_trust_t *trust, uint32_t server)
{
    contact_t *contact;

    HASH_FIND(hh, trust->contacts, &server, sizeof(server), contact);
    return contact;
}

static contact_t *find_or_add_contact(cw_order_trust_t *trust, uint32_t server)
{
    contact_t *contact = find_contact(trust, server);

    if (contact == NULL) {
        contact = cw_memory_zeroed(sizeof(*contact));
        contact->server = server;
        HASH_ADD(hh, trust->contacts, server, sizeof(contact->server), contact);
    }
    return contact;
}

void cw_order_trust_begin_term(cw_order_trust_t *trust, cw_time_us_t now)
{
    remove_contacts(trust);
    trust->term_began_at = now;
}

bool cw_order_trust_has_reached(const cw_order_trust_t *trust, uint32_t server)
{
    const contact_t *contact = find_contact(trust, server);

    return contact != NULL && contact->is_reached;
}

bool cw_order_trust_begin_probe(cw_order_trust_t *trust, uint32_t server, cw_time_us_t now)
{
    contact_t *contact;

    if (now - trust->term_began_at < CW_MS(CW_ORDER_PROBE_AFTER_MS)) {
        return false;
    }
    contact = find_or_add_contact(trust, server);
    if (contact->is_reached ||
        (contact->probed_at != 0 && now - contact->probed_at < CW_MS(CW_ORDER_PROBE_INTERVAL_MS))) {
        return false;
    }
    contact->probed_at = now;
    return true;
}

void cw_order_trust_forget_contact(cw_order_trust_t *trust, uint32_t server)
{
    contact_t *contact = find_contact(trust, server);

    if (contact != NULL) {
        remove_contact(trust, contact);
    }
}

/* ---- answers and doubt ---- */

void cw_order_trust_record_answer(cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt = find(trust, server);

    find_or_add_contact(trust, server)->is_reached = true;
    if (doubt != NULL) {
        remove_doubt(trust, doubt);
    }
}

bool cw_order_trust_is_doubted(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now)
{
    doubt_t *doubt = find(trust, server);

    if (doubt != NULL && served > doubt->served) {
        remove_doubt(trust, doubt);
        return false;
    }
    return doubt != NULL && now < doubt->until;
}

size_t cw_order_trust_servers(const cw_order_trust_t *trust)
{
    return HASH_COUNT(trust->doubts);
}

void cw_order_trust_expire(cw_order_trust_t *trust, cw_time_us_t now)
{
    doubt_t *doubt;
    doubt_t *next;

    HASH_ITER(hh, trust->doubts, doubt, next)
    {
        if (now - doubt->failed_at > 2 * CW_SECONDS(CW_ORDER_DOUBT_MAX_S)) {
            remove_doubt(trust, doubt);
        }
    }
}
