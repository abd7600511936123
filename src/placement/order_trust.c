/**
 * @file order_trust.c
 * @brief Failures in a row, and pauses that double.
 */
#include "placement/order_trust.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

typedef struct doubt {
    uint32_t       server;
    uint32_t       failures; /* in a row */
    uint32_t       served;   /* answers to this node's requests at the last failure */
    uint32_t       tries;    /* pauses that are over, or under way */
    cw_time_us_t   until;    /* end of the pause; 0: none has begun */
    cw_time_us_t   failed_at;
    UT_hash_handle hh;
} doubt_t;

struct cw_order_trust {
    doubt_t *doubts;
};

cw_order_trust_t *cw_order_trust_create(void)
{
    cw_order_trust_t *trust = cw_memory_zeroed(sizeof(*trust));

    return trust;
}

static void drop(cw_order_trust_t *trust, doubt_t *doubt)
{
    HASH_DEL(trust->doubts, doubt); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(doubt);
}

void cw_order_trust_free(cw_order_trust_t *trust)
{
    doubt_t *doubt;
    doubt_t *next;

    HASH_ITER(hh, trust->doubts, doubt, next)
    {
        drop(trust, doubt);
    }
    free(trust);
}

static doubt_t *find(const cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt;

    HASH_FIND(hh, trust->doubts, &server, sizeof(server), doubt);
    return doubt;
}

static doubt_t *doubt_of(cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt = find(trust, server);

    if (doubt == NULL) {
        doubt = cw_memory_zeroed(sizeof(*doubt));
        doubt->server = server;
        HASH_ADD(hh, trust->doubts, server, sizeof(doubt->server), doubt);
    }
    return doubt;
}

static cw_time_us_t pause_of(uint32_t tries)
{
    cw_time_us_t pause = CW_SECONDS(CW_ORDER_DOUBT_FIRST_S);

    while (tries-- > 0 && pause < CW_SECONDS(CW_ORDER_DOUBT_MOST_S)) {
        pause *= 2;
    }
    return pause;
}

void cw_order_trust_record_failure(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now)
{
    doubt_t *doubt = doubt_of(trust, server);

    doubt->failures++;
    doubt->served = served;
    doubt->failed_at = now;
    if (doubt->failures >= CW_ORDER_FAILURES && now >= doubt->until) { /* several orders of one try count once */
        doubt->until = now + pause_of(doubt->tries);
        doubt->tries++;
    }
}

void cw_order_trust_record_answer(cw_order_trust_t *trust, uint32_t server)
{
    doubt_t *doubt = find(trust, server);

    if (doubt != NULL) {
        drop(trust, doubt);
    }
}

bool cw_order_trust_is_doubted(cw_order_trust_t *trust, uint32_t server, uint32_t served, cw_time_us_t now)
{
    doubt_t *doubt = find(trust, server);

    if (doubt != NULL && served > doubt->served) {
        drop(trust, doubt);
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
        if (now - doubt->failed_at > 2 * CW_SECONDS(CW_ORDER_DOUBT_MOST_S)) {
            drop(trust, doubt);
        }
    }
}
