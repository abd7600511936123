/**
 * @file signal_notices.c
 * @brief When the other nodes are told of a server.
 */
#include "router/signal_notices.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

enum {
    SENDS = 3, /* of one notice */
    SEND_AGAIN_MS = 200,
    SEND_PAUSE_MS = 50, /* between datagrams: servers that change all the time are told of together */
    CHANGED_EVERY_MS = 500,
    RENEWED_EVERY_MS = 3000, /* three in the time after which a limit is forgotten (CW_LIMIT_EXPIRY_MS) */
};

typedef struct notice {
    uint32_t       server;
    uint32_t       sends_left;
    cw_time_us_t   send_at;
    cw_time_us_t   told_at; /* last begun here, or received */
    bool           is_leave;
    UT_hash_handle hh;
} notice_t;

struct cw_signal_notices {
    notice_t    *by_server;
    cw_time_us_t next_at; /* nothing is due before */
    cw_time_us_t sent_at; /* last; 0: never */
};

cw_signal_notices_t *cw_signal_notices_create(void)
{
    cw_signal_notices_t *notices = cw_memory_zeroed(sizeof(*notices));

    notices->next_at = CW_NEVER;
    return notices;
}

static void drop(cw_signal_notices_t *notices, notice_t *notice)
{
    HASH_DEL(notices->by_server, notice); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(notice);
}

void cw_signal_notices_free(cw_signal_notices_t *notices)
{
    notice_t *notice;
    notice_t *next;

    HASH_ITER(hh, notices->by_server, notice, next)
    {
        drop(notices, notice);
    }
    free(notices);
}

static notice_t *find(cw_signal_notices_t *notices, uint32_t server)
{
    notice_t *notice;

    HASH_FIND(hh, notices->by_server, &server, sizeof(server), notice);
    return notice;
}

static notice_t *find_or_add(cw_signal_notices_t *notices, uint32_t server)
{
    notice_t *notice = find(notices, server);

    if (notice == NULL) {
        notice = cw_memory_zeroed(sizeof(*notice));
        notice->server = server;
        HASH_ADD(hh, notices->by_server, server, sizeof(notice->server), notice);
    }
    return notice;
}

/* When something becomes due of it. */
static cw_time_us_t next_look(const notice_t *notice)
{
    if (notice->sends_left > 0) {
        return notice->send_at;
    }
    return notice->told_at + CW_MS(notice->is_leave ? RENEWED_EVERY_MS : CW_LIMIT_EXPIRY_MS);
}

/* While its first sending is due, a further change leaves it: it is sent as the server's state is then. */
void cw_signal_notices_note(cw_signal_notices_t *notices, uint32_t server, cw_limit_change_t change, cw_time_us_t now)
{
    notice_t    *notice = find_or_add(notices, server);
    cw_time_us_t pause = CW_MS(change == CW_LIMIT_UNCHANGED ? RENEWED_EVERY_MS : CHANGED_EVERY_MS);
    bool         is_soon = notice->told_at != 0 && now - notice->told_at < pause;

    if ((is_soon && change == CW_LIMIT_UNCHANGED) || notice->sends_left == SENDS) {
        return;
    }
    notice->send_at = is_soon ? notice->told_at + pause : now;
    notice->told_at = notice->send_at;
    notice->sends_left = SENDS;
    notices->next_at = notice->send_at < notices->next_at ? notice->send_at : notices->next_at;
}

void cw_signal_notices_note_leave(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now)
{
    find_or_add(notices, server)->is_leave = true;
    cw_signal_notices_note(notices, server, CW_LIMIT_BEGUN, now);
}

void cw_signal_notices_end_leave(cw_signal_notices_t *notices, uint32_t server)
{
    notice_t *notice = find(notices, server);

    if (notice != NULL) {
        notice->is_leave = false;
    }
}

void cw_signal_notices_note_received(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now)
{
    notice_t *notice = find_or_add(notices, server);

    notice->told_at = now;
    notices->next_at = next_look(notice) < notices->next_at ? next_look(notice) : notices->next_at;
}

/* A leave begins anew when nobody has told of it for a while. */
static void renew_leave(notice_t *notice, cw_time_us_t now)
{
    if (notice->is_leave && notice->sends_left == 0 && now - notice->told_at >= CW_MS(RENEWED_EVERY_MS)) {
        notice->told_at = now;
        notice->sends_left = 1;
        notice->send_at = now;
    }
}

static bool is_over(const notice_t *notice, cw_time_us_t now)
{
    return notice->sends_left == 0 && !notice->is_leave && now - notice->told_at >= CW_MS(CW_LIMIT_EXPIRY_MS);
}

size_t cw_signal_notices_due(cw_signal_notices_t *notices, uint32_t servers[CW_SIGNAL_NOTICES_MOST], cw_time_us_t now)
{
    notice_t *notice;
    notice_t *next;
    size_t    count = 0;

    if (now < notices->next_at || (notices->sent_at != 0 && now - notices->sent_at < CW_MS(SEND_PAUSE_MS))) {
        return 0;
    }
    notices->next_at = CW_NEVER;
    HASH_ITER(hh, notices->by_server, notice, next)
    {
        renew_leave(notice, now);
        if (notice->sends_left > 0 && notice->send_at <= now && count < CW_SIGNAL_NOTICES_MOST) {
            servers[count++] = notice->server;
            notice->sends_left--;
            notice->send_at = now + CW_MS(SEND_AGAIN_MS);
        }
        notices->next_at = next_look(notice) < notices->next_at ? next_look(notice) : notices->next_at;
        if (is_over(notice, now)) {
            drop(notices, notice);
        }
    }
    notices->sent_at = count > 0 ? now : notices->sent_at;
    return count;
}

size_t cw_signal_notices_servers(const cw_signal_notices_t *notices)
{
    return HASH_COUNT(notices->by_server);
}
