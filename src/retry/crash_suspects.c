/**
 * @file crash_suspects.c
 * @brief Losses that wait for a proof, and for each request the crashes that are proved.
 */
#include "retry/crash_suspects.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"

enum { CRASHES_KEPT = 8 /* of one request: enough for the longest chain that counts */ };

/** A request that was under way at crashes. */
typedef struct suspect {
    uint64_t       request;
    cw_crash_t     crashes[CRASHES_KEPT]; /* in order of their losses */
    size_t         crash_count;
    uint32_t       carried; /* crashes that count though they are no longer kept */
    uint32_t       refusals;
    cw_time_us_t   refused_until; /* 0: not refused */
    cw_time_us_t   last_crash_at;
    cw_time_us_t   cleared_at; /* crashes lost before do not count; 0: never */
    UT_hash_handle hh;
} suspect_t;

struct cw_crash_suspects {
    cw_crash_seen_t seen;
    void           *context;
    cw_crash_t      losses[CW_LOSSES_MOST];
    size_t          loss_count;
    suspect_t      *suspects;
};

cw_crash_suspects_t *cw_crash_suspects_create(cw_crash_seen_t seen, void *context)
{
    cw_crash_suspects_t *suspects = cw_memory_zeroed(sizeof(*suspects));

    suspects->seen = seen;
    suspects->context = context;
    return suspects;
}

static void forget(cw_crash_suspects_t *suspects, suspect_t *suspect)
{
    HASH_DEL(suspects->suspects, suspect); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(suspect);
}

void cw_crash_suspects_free(cw_crash_suspects_t *suspects)
{
    suspect_t *suspect;
    suspect_t *next;

    HASH_ITER(hh, suspects->suspects, suspect, next)
    {
        forget(suspects, suspect);
    }
    free(suspects);
}

/* ---- requests ---- */

static suspect_t *find(const cw_crash_suspects_t *suspects, uint64_t request)
{
    suspect_t *suspect;

    HASH_FIND(hh, suspects->suspects, &request, sizeof(request), suspect);
    return suspect;
}

static void forget_oldest(cw_crash_suspects_t *suspects)
{
    suspect_t *oldest = NULL;
    suspect_t *suspect;
    suspect_t *next;

    HASH_ITER(hh, suspects->suspects, suspect, next)
    {
        oldest = oldest == NULL || suspect->last_crash_at < oldest->last_crash_at ? suspect : oldest;
    }
    if (oldest != NULL) {
        forget(suspects, oldest);
    }
}

static suspect_t *suspect_of(cw_crash_suspects_t *suspects, uint64_t request)
{
    suspect_t *suspect = find(suspects, request);

    if (suspect != NULL) {
        return suspect;
    }
    if (HASH_COUNT(suspects->suspects) >= CW_SUSPECTS_MOST) {
        forget_oldest(suspects);
    }
    suspect = cw_memory_zeroed(sizeof(*suspect));
    suspect->request = request;
    HASH_ADD(hh, suspects->suspects, request, sizeof(suspect->request), suspect);
    return suspect;
}

size_t cw_crash_suspects_count(const cw_crash_suspects_t *suspects)
{
    return HASH_COUNT(suspects->suspects);
}

bool cw_crash_suspects_has_any(const cw_crash_suspects_t *suspects)
{
    return suspects->suspects != NULL || suspects->loss_count > 0;
}

/* ---- chains ---- */

/* Each crash in the chain began with a sending after the loss before it. */
static uint32_t chain_of(const suspect_t *suspect)
{
    uint32_t     length = suspect->carried;
    cw_time_us_t last_lost_at = 0;
    size_t       index;

    for (index = 0; index < suspect->crash_count; index++) {
        const cw_crash_t *crash = &suspect->crashes[index];

        if (length == suspect->carried || crash->sent_at >= last_lost_at) {
            length++;
            last_lost_at = crash->lost_at;
        }
    }
    return length;
}

uint32_t cw_crash_suspects_crashes(const cw_crash_suspects_t *suspects, uint64_t request)
{
    const suspect_t *suspect = find(suspects, request);

    return suspect == NULL ? 0 : chain_of(suspect);
}

static bool has_crash(const suspect_t *suspect, uint32_t server)
{
    size_t index;

    for (index = 0; index < suspect->crash_count; index++) {
        if (suspect->crashes[index].server == server) {
            return true;
        }
    }
    return false;
}

/* In order; beyond what is kept, the one that was lost first goes. */
static void insert(suspect_t *suspect, const cw_crash_t *crash)
{
    size_t place = suspect->crash_count;

    if (place == CRASHES_KEPT) {
        memmove(&suspect->crashes[0], &suspect->crashes[1], (CRASHES_KEPT - 1) * sizeof(suspect->crashes[0]));
        place--;
    } else {
        suspect->crash_count++;
    }
    while (place > 0 && suspect->crashes[place - 1].lost_at > crash->lost_at) {
        suspect->crashes[place] = suspect->crashes[place - 1];
        place--;
    }
    suspect->crashes[place] = *crash;
}

static cw_time_us_t refusal_time(uint32_t refusals)
{
    return CW_SECONDS(CW_SUSPECT_REFUSED_S) << (refusals < CW_CRASHES_MOST ? refusals : CW_CRASHES_MOST);
}

static void add_crash(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now)
{
    suspect_t *suspect = suspect_of(suspects, crash->request);

    if (has_crash(suspect, crash->server) || crash->lost_at <= suspect->cleared_at) {
        return;
    }
    insert(suspect, crash);
    suspect->last_crash_at = crash->lost_at > suspect->last_crash_at ? crash->lost_at : suspect->last_crash_at;
    if (suspect->refused_until == 0 && chain_of(suspect) >= CW_CRASHES_MOST) {
        suspect->refused_until = now + refusal_time(suspect->refusals);
        suspect->refusals++;
    }
}

/* ---- losses and crashes ---- */

bool cw_crash_suspects_note_loss(cw_crash_suspects_t *suspects, const cw_crash_t *loss)
{
    if (suspects->loss_count == CW_LOSSES_MOST) {
        return false;
    }
    suspects->losses[suspects->loss_count++] = *loss;
    return true;
}

bool cw_crash_suspects_has_loss_at(const cw_crash_suspects_t *suspects, uint32_t server)
{
    size_t index;

    for (index = 0; index < suspects->loss_count; index++) {
        if (suspects->losses[index].server == server) {
            return true;
        }
    }
    return false;
}

void cw_crash_suspects_note_end(cw_crash_suspects_t *suspects, uint32_t server, cw_time_us_t now)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < suspects->loss_count; index++) {
        cw_crash_t loss = suspects->losses[index];

        if (loss.server != server) {
            suspects->losses[kept++] = loss;
            continue;
        }
        add_crash(suspects, &loss, now);
        suspects->seen(suspects->context, &loss);
    }
    suspects->loss_count = kept;
}

void cw_crash_suspects_note_reported(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now)
{
    add_crash(suspects, crash, now);
}

bool cw_crash_suspects_clear(cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t answered_at)
{
    suspect_t *suspect = find(suspects, request);
    bool       is_news;

    if (suspect == NULL || answered_at <= suspect->cleared_at) {
        return false;
    }
    is_news = suspect->crash_count > 0 || suspect->carried > 0;
    suspect->cleared_at = answered_at;
    suspect->crash_count = 0;
    suspect->carried = 0;
    suspect->refused_until = 0;
    return is_news;
}

/* ---- what is decided by it ---- */

bool cw_crash_suspects_is_refused(const cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t now,
                                  cw_time_us_t *refused_for)
{
    const suspect_t *suspect = find(suspects, request);

    if (suspect == NULL || now >= suspect->refused_until) {
        return false;
    }
    *refused_for = suspect->refused_until - now;
    return true;
}

bool cw_crash_suspects_may_repeat(const cw_crash_suspects_t *suspects, uint64_t request)
{
    uint32_t crashes = cw_crash_suspects_crashes(suspects, request);
    size_t   index;

    for (index = 0; index < suspects->loss_count; index++) {
        crashes += suspects->losses[index].request == request ? 1 : 0;
    }
    return crashes < CW_CRASHES_MOST;
}

static void expire_losses(cw_crash_suspects_t *suspects, cw_time_us_t now)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < suspects->loss_count; index++) {
        if (now - suspects->losses[index].lost_at <= CW_SECONDS(CW_LOSS_CONFIRM_S)) {
            suspects->losses[kept++] = suspects->losses[index];
        }
    }
    suspects->loss_count = kept;
}

/* It may come again: one more crash is enough then. */
static void end_refusal(suspect_t *suspect, cw_time_us_t now)
{
    suspect->refused_until = 0;
    suspect->crash_count = 0;
    suspect->carried = CW_CRASHES_MOST - 1;
    suspect->last_crash_at = now;
}

void cw_crash_suspects_tick(cw_crash_suspects_t *suspects, cw_time_us_t now)
{
    suspect_t *suspect;
    suspect_t *next;

    expire_losses(suspects, now);
    HASH_ITER(hh, suspects->suspects, suspect, next)
    {
        if (suspect->refused_until != 0 && now >= suspect->refused_until) {
            end_refusal(suspect, now);
        } else if (suspect->refused_until == 0 && now - suspect->last_crash_at > CW_SECONDS(CW_SUSPECT_FORGET_S)) {
            forget(suspects, suspect);
        }
    }
}
