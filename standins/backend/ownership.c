/**
 * @file ownership.c
 * @brief Lease and grants of a back-end server.
 *
 * The key space is an array of segments sorted by (service, low) that never overlap. A segment remembers the highest
 * fence seen on its key hashes for the life of the process, and which grant, if any, holds it:
 *
 *     NONE --grant above the highest fence--> GRANTED --revoke--> REVOKING --requests ended--> NONE
 *     GRANTED, REVOKING --lease over--> NONE
 *
 * Invariants:
 * - the highest fence of a key hash never goes down, also not when a grant is lost;
 * - a grant is held only under a fence that was above all fences seen on its key hashes when it was accepted;
 * - nothing is held without a lease; a lease that is over takes all grants with it, and a later renewal brings none
 * back;
 * - requests start only in GRANTED and take effect only in GRANTED or REVOKING, always under exactly the held fence.
 */
#include "ownership.h"

#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

typedef enum segment_state { SEGMENT_NONE, SEGMENT_GRANTED, SEGMENT_REVOKING } segment_state_t;

typedef struct segment {
    cw_server_grant_t grant; /**< its fence is the held one; meaningful unless the state is NONE */
    cw_fence_t        highest;
    segment_state_t   state;
} segment_t;

struct cw_ownership {
    cw_ownership_changed_t changed;
    void                  *context;
    int64_t                lease_end_us;
    segment_t             *segments;
    size_t                 count;
    size_t                 capacity;
};

enum { INITIAL_CAPACITY = 16 };

cw_ownership_t *cw_ownership_create(cw_ownership_changed_t changed, void *context)
{
    cw_ownership_t *ownership = calloc(1, sizeof(*ownership));

    if (ownership != NULL) {
        ownership->changed = changed;
        ownership->context = context;
    }
    return ownership;
}

void cw_ownership_free(cw_ownership_t *ownership)
{
    free(ownership->segments);
    free(ownership);
}

int64_t cw_ownership_lease_end_us(const cw_ownership_t *ownership)
{
    return ownership->lease_end_us;
}

/* Index of the first segment that ends at or behind a key hash. */
static size_t first_at(const cw_ownership_t *ownership, cw_service_id_t service, cw_key_hash_t key_hash)
{
    const segment_t *segment;
    size_t           low = 0;
    size_t           high = ownership->count;
    size_t           middle;

    while (low < high) {
        middle = low + (high - low) / 2;
        segment = &ownership->segments[middle];
        if (segment->grant.service < service || (segment->grant.service == service && segment->grant.last < key_hash)) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

/* Does the segment at an index exist and begin at or before last? Walks [low, last] from first_at(low). */
static bool within(const cw_ownership_t *ownership, size_t index, const cw_server_grant_t *area)
{
    const segment_t *segment = &ownership->segments[index];

    return index < ownership->count && segment->grant.service == area->service && segment->grant.low <= area->last;
}

static int insert_segment(cw_ownership_t *ownership, size_t index, const segment_t *segment)
{
    size_t     capacity = ownership->capacity == 0 ? INITIAL_CAPACITY : ownership->capacity * 2;
    segment_t *grown;

    if (ownership->count == ownership->capacity) {
        grown = realloc(ownership->segments, capacity * sizeof(*grown));
        if (grown == NULL) {
            return CW_ERROR_NO_MEMORY;
        }
        ownership->segments = grown;
        ownership->capacity = capacity;
    }
    memmove(&ownership->segments[index + 1], &ownership->segments[index],
            (ownership->count - index) * sizeof(*segment));
    ownership->segments[index] = *segment;
    ownership->count++;
    return CW_OK;
}

/* Splits the segment that has key hashes on both sides of a border, which begins the right part. */
static int split_at(cw_ownership_t *ownership, cw_service_id_t service, cw_key_hash_t border)
{
    size_t    index = first_at(ownership, service, border);
    segment_t right;

    if (index == ownership->count || ownership->segments[index].grant.service != service ||
        ownership->segments[index].grant.low >= border) {
        return CW_OK;
    }
    right = ownership->segments[index];
    right.grant.low = border;
    ownership->segments[index].grant.last = border - 1;
    return insert_segment(ownership, index + 1, &right);
}

/* Makes segments cover exactly [low, last]: splits at its ends and fills the gaps. */
static int cover(cw_ownership_t *ownership, const cw_server_grant_t *area)
{
    segment_t     gap = {.grant = *area};
    cw_key_hash_t next = area->low;
    size_t        index;
    bool          done = false;

    if (split_at(ownership, area->service, area->low) != CW_OK ||
        (area->last != UINT64_MAX && split_at(ownership, area->service, area->last + 1) != CW_OK)) {
        return CW_ERROR_NO_MEMORY;
    }
    for (index = first_at(ownership, area->service, area->low); !done; index++) {
        if (!within(ownership, index, area) || ownership->segments[index].grant.low > next) {
            gap.grant.low = next;
            gap.grant.last = within(ownership, index, area) ? ownership->segments[index].grant.low - 1 : area->last;
            if (insert_segment(ownership, index, &gap) != CW_OK) {
                return CW_ERROR_NO_MEMORY;
            }
        }
        done = ownership->segments[index].grant.last == area->last;
        next = ownership->segments[index].grant.last + 1;
    }
    return CW_OK;
}

static void lose(cw_ownership_t *ownership, segment_t *segment, cw_ownership_change_t change)
{
    if (segment->state == SEGMENT_NONE) {
        return;
    }
    segment->state = SEGMENT_NONE;
    ownership->changed(ownership->context, change, &segment->grant);
}

static void lose_all(cw_ownership_t *ownership, cw_ownership_change_t change)
{
    size_t index;

    for (index = 0; index < ownership->count; index++) {
        lose(ownership, &ownership->segments[index], change);
    }
    ownership->lease_end_us = 0;
}

bool cw_ownership_holds_any(const cw_ownership_t *ownership)
{
    size_t index;

    for (index = 0; index < ownership->count; index++) {
        if (ownership->segments[index].state != SEGMENT_NONE) {
            return true;
        }
    }
    return false;
}

bool cw_ownership_holds_range(const cw_ownership_t *ownership, cw_range_id_t range)
{
    size_t index;

    for (index = 0; index < ownership->count; index++) {
        if (ownership->segments[index].state == SEGMENT_GRANTED && ownership->segments[index].grant.range == range) {
            return true;
        }
    }
    return false;
}

void cw_ownership_expire(cw_ownership_t *ownership, int64_t clock_us)
{
    if (ownership->lease_end_us != 0 && clock_us >= ownership->lease_end_us) {
        lose_all(ownership, CW_OWNERSHIP_LAPSED);
    }
}

void cw_ownership_drop(cw_ownership_t *ownership)
{
    lose_all(ownership, CW_OWNERSHIP_REVOKED);
}

void cw_ownership_renew(cw_ownership_t *ownership, int64_t clock_us, int64_t lease_end_us)
{
    if (ownership->lease_end_us > clock_us && lease_end_us > ownership->lease_end_us) {
        ownership->lease_end_us = lease_end_us;
    }
}

int cw_ownership_start_lease(cw_ownership_t *ownership, int64_t clock_us, int64_t lease_end_us)
{
    if (lease_end_us <= clock_us) {
        return CW_ERROR_CONFLICT;
    }
    if (lease_end_us > ownership->lease_end_us) {
        ownership->lease_end_us = lease_end_us;
    }
    return CW_OK;
}

/* May the grant take this segment: its fence is new there, or this very grant holds it already. */
static bool yields(const segment_t *segment, const cw_server_grant_t *grant)
{
    int order = cw_fence_compare(grant->fence, segment->highest);

    return order > 0 || (order == 0 && segment->state == SEGMENT_GRANTED && segment->grant.range == grant->range &&
                         cw_fence_compare(segment->grant.fence, grant->fence) == 0);
}

/* Is all of [low, last] held by this very grant? */
static bool holds(const cw_ownership_t *ownership, const cw_server_grant_t *grant)
{
    const segment_t *segment;
    cw_key_hash_t    next = grant->low;
    size_t           index;

    for (index = first_at(ownership, grant->service, grant->low); within(ownership, index, grant); index++) {
        segment = &ownership->segments[index];
        if (segment->grant.low > next || cw_fence_compare(segment->highest, grant->fence) != 0) {
            return false;
        }
        if (segment->grant.last >= grant->last) {
            return true;
        }
        next = segment->grant.last + 1;
    }
    return false;
}

static int take(cw_ownership_t *ownership, const cw_server_grant_t *grant)
{
    segment_t held = {.grant = *grant, .highest = grant->fence, .state = SEGMENT_GRANTED};
    size_t    first;
    size_t    end;

    if (cover(ownership, grant) != CW_OK) {
        return CW_ERROR_NO_MEMORY;
    }
    first = first_at(ownership, grant->service, grant->low);
    for (end = first; within(ownership, end, grant); end++) {
        lose(ownership, &ownership->segments[end], CW_OWNERSHIP_SUPERSEDED);
    }
    ownership->segments[first] = held;
    memmove(&ownership->segments[first + 1], &ownership->segments[end], (ownership->count - end) * sizeof(held));
    ownership->count -= end - first - 1;
    ownership->changed(ownership->context, CW_OWNERSHIP_GRANTED, grant);
    return CW_OK;
}

int cw_ownership_grant(cw_ownership_t *ownership, const cw_server_grant_t *grant, cw_fence_t *highest)
{
    bool   refused = grant->low > grant->last;
    size_t index;

    highest->generation = 0;
    highest->index = 0;
    for (index = first_at(ownership, grant->service, grant->low); within(ownership, index, grant); index++) {
        *highest = cw_fence_max(*highest, ownership->segments[index].highest);
        refused = refused || !yields(&ownership->segments[index], grant);
    }
    if (refused) {
        return CW_ERROR_CONFLICT;
    }
    *highest = cw_fence_max(*highest, grant->fence);
    return holds(ownership, grant) ? CW_OK : take(ownership, grant);
}

void cw_ownership_revoke_begin(cw_ownership_t *ownership, const cw_server_grant_t *grant)
{
    segment_t *segment;
    size_t     index;

    if (grant->low > grant->last || cover(ownership, grant) != CW_OK) {
        return;
    }
    for (index = first_at(ownership, grant->service, grant->low); within(ownership, index, grant); index++) {
        segment = &ownership->segments[index];
        segment->highest = cw_fence_max(segment->highest, grant->fence);
        if (segment->state == SEGMENT_GRANTED && cw_fence_compare(segment->grant.fence, grant->fence) <= 0) {
            segment->state = SEGMENT_REVOKING;
        }
    }
}

void cw_ownership_revoke_finish(cw_ownership_t *ownership, const cw_server_grant_t *grant)
{
    segment_t *segment;
    size_t     index;

    for (index = first_at(ownership, grant->service, grant->low); within(ownership, index, grant); index++) {
        segment = &ownership->segments[index];
        if (segment->state == SEGMENT_REVOKING && cw_fence_compare(segment->grant.fence, grant->fence) <= 0) {
            lose(ownership, segment, CW_OWNERSHIP_REVOKED);
        }
    }
}

static cw_ownership_verdict_t check(const cw_ownership_t *ownership, cw_service_id_t service, cw_key_hash_t key_hash,
                                    cw_fence_t fence, int64_t clock_us, bool while_revoking)
{
    cw_server_grant_t area = {.service = service, .low = key_hash, .last = key_hash};
    size_t            index = first_at(ownership, service, key_hash);
    const segment_t  *segment;

    if (clock_us >= ownership->lease_end_us) {
        return CW_NOT_OWNED_LEASE;
    }
    if (!within(ownership, index, &area)) {
        return CW_NOT_OWNED_FENCE;
    }
    segment = &ownership->segments[index];
    if (segment->state != SEGMENT_GRANTED && !(while_revoking && segment->state == SEGMENT_REVOKING)) {
        return CW_NOT_OWNED_FENCE;
    }
    return cw_fence_compare(segment->grant.fence, fence) == 0 ? CW_OWNED : CW_NOT_OWNED_FENCE;
}

cw_ownership_verdict_t cw_ownership_check_start(const cw_ownership_t *ownership, cw_service_id_t service,
                                                cw_key_hash_t key_hash, cw_fence_t fence, int64_t clock_us)
{
    return check(ownership, service, key_hash, fence, clock_us, false);
}

cw_ownership_verdict_t cw_ownership_check_effect(const cw_ownership_t *ownership, cw_service_id_t service,
                                                 cw_key_hash_t key_hash, cw_fence_t fence, int64_t clock_us)
{
    return check(ownership, service, key_hash, fence, clock_us, true);
}
