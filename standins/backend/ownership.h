/**
 * @file ownership.h
 * @brief What a back-end server owns: one lease for the server, and for each key hash the highest fence seen and the
 *        grant held. Pure: no I/O; the server's own clock is an argument.
 */
#ifndef CEDARWINCH_STANDINS_OWNERSHIP_H
#define CEDARWINCH_STANDINS_OWNERSHIP_H

#include "cedarwinch/types.h"

typedef struct cw_ownership cw_ownership_t;

typedef struct cw_server_grant {
    cw_range_id_t   range;
    cw_service_id_t service;
    cw_key_hash_t   low; /**< [low, last], both inclusive */
    cw_key_hash_t   last;
    cw_fence_t      fence;
} cw_server_grant_t;

typedef enum cw_ownership_change {
    CW_OWNERSHIP_GRANTED,
    CW_OWNERSHIP_SUPERSEDED, /**< the same server got it under a higher fence */
    CW_OWNERSHIP_REVOKED,
    CW_OWNERSHIP_LAPSED
} cw_ownership_change_t;

/** Told of every part of the key space that is gained or lost. */
typedef void (*cw_ownership_changed_t)(void *context, cw_ownership_change_t change, const cw_server_grant_t *part);

typedef enum cw_ownership_verdict { CW_OWNED, CW_NOT_OWNED_FENCE, CW_NOT_OWNED_LEASE } cw_ownership_verdict_t;

cw_ownership_t *cw_ownership_create(cw_ownership_changed_t changed, void *context);
void            cw_ownership_free(cw_ownership_t *ownership);

int64_t cw_ownership_lease_end_us(const cw_ownership_t *ownership); /**< 0: no lease */
bool    cw_ownership_holds_any(const cw_ownership_t *ownership);
bool    cw_ownership_holds_range(const cw_ownership_t *ownership, cw_range_id_t range);

/** Drops everything when the lease is over. Every other call expects this one to have been made for its time. */
void cw_ownership_expire(cw_ownership_t *ownership, int64_t clock_us);
/** Prolongs a living lease; never shortens it and never starts one. */
void cw_ownership_renew(cw_ownership_t *ownership, int64_t clock_us, int64_t lease_end_us);
/** Starts or prolongs the lease for a grant call; CW_ERROR_CONFLICT when the end has passed. */
int cw_ownership_start_lease(cw_ownership_t *ownership, int64_t clock_us, int64_t lease_end_us);
/** CW_OK: accepted, or held already. CW_ERROR_CONFLICT: refused, *highest is the highest fence seen there. */
int cw_ownership_grant(cw_ownership_t *ownership, const cw_server_grant_t *grant, cw_fence_t *highest);
/** Takes no new requests under this fence or lower; a grant that arrives later under it is refused. */
void cw_ownership_revoke_begin(cw_ownership_t *ownership, const cw_server_grant_t *grant);
/** The requests running on it have ended: gives it up. */
void cw_ownership_revoke_finish(cw_ownership_t *ownership, const cw_server_grant_t *grant);
/** Gives up everything, as when the server ends. */
void cw_ownership_drop(cw_ownership_t *ownership);

/** May a request start under this fence? */
cw_ownership_verdict_t cw_ownership_check_start(const cw_ownership_t *ownership, cw_service_id_t service,
                                                cw_key_hash_t key_hash, cw_fence_t fence, int64_t clock_us);
/** May a request that was started under this fence take effect? Also while it is being revoked. */
cw_ownership_verdict_t cw_ownership_check_effect(const cw_ownership_t *ownership, cw_service_id_t service,
                                                 cw_key_hash_t key_hash, cw_fence_t fence, int64_t clock_us);

#endif
