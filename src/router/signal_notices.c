/**
 * @file signal_notices.c
 * @brief When notices about a server are sent to the other nodes.
 */
#include "router/signal_notices.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/memory.h"

enum {
    SENDS_PER_NOTICE = 3,      /* datagrams that carry the same notice */
    RESEND_INTERVAL_MS = 200,  /* interval between these */
    DATAGRAM_INTERVAL_MS = 50, /* shortest interval between datagrams: servers that change all the time share them */
    CHANGE_INTERVAL_MS = 500,  /* shortest interval between notices of changes of one server */
    /* Three renewals in the time after which a limit is forgotten (CW_LIMIT_EXPIRY_MS). */
    RENEWAL_INTERVAL_MS = 3000,
};

/** State of the notices about one server. */
typedef struct notice {
    uint32_t       server; /* hash of its id */
    uint32_t       sends_left;
    cw_time_us_t   send_at;    /* of the next datagram, while sends_left is not 0 */
    cw_time_us_t   noticed_at; /* when a notice was last begun by this node or received from another */
    bool           is_leave;
    UT_hash_handle hh;
} notice_t;

struct cw_signal_notices {
    notice_t    *by_server;
    cw_time_us_t next_at; /* nothing is due before this time */
    cw_time_us_t sent_at; /* last datagram; 0: never */
};

cw_signal_notices_t *cw_signal_notices_create(void)
{
    cw_signal_notices_t *notices = cw_memory_zeroed(sizeof(*notices));

    notices->next_at = CW_NEVER;
    return notices;
}

static void drop_notice(cw_signal_notices_t *notices, notice_t *notice)
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
        drop_notice(notices, notice);
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

/* Time at which a notice has to be sent, renewed or dropped. */
static cw_time_us_t next_due(const notice_t *notice)
{
    if (notice->sends_left > 0) {
        return notice->send_at;
    }
    return notice->noticed_at + CW_MS(notice->is_leave ? RENEWAL_INTERVAL_MS : CW_LIMIT_EXPIRY_MS);
}

/* While the first datagram of a notice is still due, a further change does not alter the schedule: the datagram carries
 * the server's state at the time of sending. */
void cw_signal_notices_record_limit(cw_signal_notices_t *notices, uint32_t server, cw_limit_change_t change,
                                    cw_time_us_t now)
{
    notice_t    *notice = find_or_add(notices, server);
    cw_time_us_t interval = CW_MS(change == CW_LIMIT_UNCHANGED ? RENEWAL_INTERVAL_MS : CHANGE_INTERVAL_MS);
    bool         is_soon = notice->noticed_at != 0 && now - notice->noticed_at < interval;

    if ((is_soon && change == CW_LIMIT_UNCHANGED) || notice->sends_left == SENDS_PER_NOTICE) {
        return;
    }
    notice->send_at = is_soon ? notice->noticed_at + interval : now;
    notice->noticed_at = notice->send_at;
    notice->sends_left = SENDS_PER_NOTICE;
    notices->next_at = notice->send_at < notices->next_at ? notice->send_at : notices->next_at;
}

void cw_signal_notices_record_leave(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now)
{
    find_or_add(notices, server)->is_leave = true;
    cw_signal_notices_record_limit(notices, server, CW_LIMIT_BEGUN, now);
}

void cw_signal_notices_end_leave(cw_signal_notices_t *notices, uint32_t server)
{
    notice_t *notice = find(notices, server);

    if (notice != NULL) {
        notice->is_leave = false;
    }
}

void cw_signal_notices_record_received(cw_signal_notices_t *notices, uint32_t server, cw_time_us_t now)
{
    notice_t *notice = find_or_add(notices, server);

    notice->noticed_at = now;
    notices->next_at = next_due(notice) < notices->next_at ? next_due(notice) : notices->next_at;
}

/* Schedules another notice of a leave when no node has sent one for the renewal interval. */
static void renew_leave(notice_t *notice, cw_time_us_t now)
{
    if (notice->is_leave && notice->sends_left == 0 && now - notice->noticed_at >= CW_MS(RENEWAL_INTERVAL_MS)) {
        notice->noticed_at = now;
        notice->sends_left = 1;
        notice->send_at = now;
    }
}

static bool is_expired(const notice_t *notice, cw_time_us_t now)
{
    return notice->sends_left == 0 && !notice->is_leave && now - notice->noticed_at >= CW_MS(CW_LIMIT_EXPIRY_MS);
}

size_t cw_signal_notices_due(cw_signal_notices_t *notices, uint32_t servers[CW_SIGNAL_NOTICES_MAX], cw_time_us_t now)
{
    notice_t *notice;
    notice_t *next;
    size_t    count = 0;

    if (now < notices->next_at || (notices->sent_at != 0 && now - notices->sent_at < CW_MS(DATAGRAM_INTERVAL_MS))) {
        return 0;
    }
    notices->next_at = CW_NEVER;
    HASH_ITER(hh, notices->by_server, notice, next)
    {
        renew_leave(notice, now);
        if (notice->sends_left > 0 && notice->send_at <= now && count < CW_SIGNAL_NOTICES_MAX) {
            servers[count++] = notice->server;
            notice->sends_left--;
            notice->send_at = now + CW_MS(RESEND_INTERVAL_MS);
        }
        notices->next_at = next_due(notice) < notices->next_at ? next_due(notice) : notices->next_at;
        if (is_expired(notice, now)) {
            drop_notice(notices, notice);
        }
    }
    notices->sent_at = count > 0 ? now : notices->sent_at;
    return count;
}

size_t cw_signal_notices_servers(const cw_signal_notices_t *notices)
{
    return HASH_COUNT(notices->by_server);
}
