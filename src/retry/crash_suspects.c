/**
 * @file crash_suspects.c
 * @brief Losses that are not confirmed yet, and the confirmed crashes of each request.
 */
#include "retry/crash_suspects.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/memory.h"

enum { CRASHES_KEPT = 8 /* crashes kept for each request: enough for the longest chain that counts */ };

/** A request that was in flight on servers that crashed. */
typedef struct suspect {
    uint64_t       request;
    cw_crash_t     crashes[CRASHES_KEPT]; /* ordered by lost_at */
    size_t         crash_count;
    uint32_t       carried_crashes; /* length of the chain that counts although its crashes are no longer kept */
    uint32_t       refusals;        /**< refusals so far; each doubles the duration of the next */
    cw_time_us_t   refused_until;   /* end of the refusal; 0: not refused */
    cw_time_us_t   last_crash_at;
    cw_time_us_t   cleared_at; /* crashes whose servers were lost before this time do not count; 0: never cleared */
    UT_hash_handle hh;
} suspect_t;

struct cw_crash_suspects {
    cw_crash_observed_t on_crash;
    void               *context;
    cw_crash_t          losses[CW_LOSSES_MAX];
    size_t              loss_count;
    suspect_t          *suspects;
};

cw_crash_suspects_t *cw_crash_suspects_create(cw_crash_observed_t on_crash, void *context)
{
    cw_crash_suspects_t *suspects = cw_memory_zeroed(sizeof(*suspects));

    suspects->on_crash = on_crash;
    suspects->context = context;
    return suspects;
}

static void forget(cw_crash_suspects_t *suspects, suspect_t *suspect)
{
    HASH_DEL(suspects->suspects,
             suspect); /* NOLINT(clang-analyzer-unix.Malloc): the analyzer does not follow uthash's macros */
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

static suspect_t *find_or_add(cw_crash_suspects_t *suspects, uint64_t request)
{
    suspect_t *suspect = find(suspects, request);

    if (suspect != NULL) {
        return suspect;
    }
    if (HASH_COUNT(suspects->suspects) >= CW_SUSPECTS_MAX) {
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

/* A crash belongs to the chain if its request was sent after the loss of the crash before it. */
static uint32_t chain_length(const suspect_t *suspect)
{
    uint32_t     length = suspect->carried_crashes;
    cw_time_us_t last_lost_at = 0;
    size_t       index;

    for (index = 0; index < suspect->crash_count; index++) {
        const cw_crash_t *crash = &suspect->crashes[index];

        if (length == suspect->carried_crashes || crash->sent_at >= last_lost_at) {
            length++;
            last_lost_at = crash->lost_at;
        }
    }
    return length;
}

uint32_t cw_crash_suspects_crashes(const cw_crash_suspects_t *suspects, uint64_t request)
{
    const suspect_t *suspect = find(suspects, request);

    return suspect == NULL ? 0 : chain_length(suspect);
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

/* Inserts a crash in order of its loss. If the array is full, the earliest crash is dropped. */
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

static cw_time_us_t refusal_duration(uint32_t refusals)
{
    return CW_SECONDS(CW_SUSPECT_REFUSED_S) << (refusals < CW_CRASHES_MAX ? refusals : CW_CRASHES_MAX);
}

static void add_crash(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now)
{
    suspect_t *suspect = find_or_add(suspects, crash->request);

    if (has_crash(suspect, crash->server) || crash->lost_at <= suspect->cleared_at) {
        return;
    }
    insert(suspect, crash);
    suspect->last_crash_at = crash->lost_at > suspect->last_crash_at ? crash->lost_at : suspect->last_crash_at;
    if (suspect->refused_until == 0 && chain_length(suspect) >= CW_CRASHES_MAX) {
        suspect->refused_until = now + refusal_duration(suspect->refusals);
        suspect->refusals++;
    }
}

/* ---- losses and crashes ---- */

bool cw_crash_suspects_record_loss(cw_crash_suspects_t *suspects, const cw_crash_t *loss)
{
    if (suspects->loss_count == CW_LOSSES_MAX) {
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

void cw_crash_suspects_record_end(cw_crash_suspects_t *suspects, uint32_t server, cw_time_us_t now)
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
        suspects->on_crash(suspects->context, &loss);
    }
    suspects->loss_count = kept;
}

void cw_crash_suspects_record_reported(cw_crash_suspects_t *suspects, const cw_crash_t *crash, cw_time_us_t now)
{
    add_crash(suspects, crash, now);
}

bool cw_crash_suspects_clear(cw_crash_suspects_t *suspects, uint64_t request, cw_time_us_t answered_at)
{
    suspect_t *suspect = find(suspects, request);
    bool       had_crashes;

    if (suspect == NULL || answered_at <= suspect->cleared_at) {
        return false;
    }
    had_crashes = suspect->crash_count > 0 || suspect->carried_crashes > 0;
    suspect->cleared_at = answered_at;
    suspect->crash_count = 0;
    suspect->carried_crashes = 0;
    suspect->refused_until = 0;
    return had_crashes;
}

/* ---- decisions ---- */

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
    return crashes < CW_CRASHES_MAX;
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

/* The request may be sent again, but a single further crash is enough to refuse it again. */
static void end_refusal(suspect_t *suspect, cw_time_us_t now)
{
    suspect->refused_until = 0;
    suspect->crash_count = 0;
    suspect->carried_crashes = CW_CRASHES_MAX - 1;
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
