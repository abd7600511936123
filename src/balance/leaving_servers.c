/**
 * @file leaving_servers.c
 * @brief Hash set of leaving servers with the time at which each was added.
 */
#include "balance/leaving_servers.h"
#include "base/memory.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct leaving_server {
    uint32_t       server;
    cw_time_us_t   at;
    UT_hash_handle hh;
} leaving_server_t;

struct cw_leaving_servers {
    leaving_server_t *by_server;
};

cw_leaving_servers_t *cw_leaving_servers_create(void)
{
    cw_leaving_servers_t *set = cw_memory_zeroed(sizeof(*set));

    return set;
}

static void remove_entry(cw_leaving_servers_t *set, leaving_server_t *entry)
{
    HASH_DEL(set->by_server, entry); /* NOLINT(clang-analyzer-unix.Malloc): false positive in uthash's macros */
    free(entry);
}

void cw_leaving_servers_free(cw_leaving_servers_t *set)
{
    leaving_server_t *entry;
    leaving_server_t *next;

    HASH_ITER(hh, set->by_server, entry, next)
    {
        remove_entry(set, entry);
    }
    free(set);
}

bool cw_leaving_servers_has(const cw_leaving_servers_t *set, uint32_t server)
{
    const leaving_server_t *entry;

    HASH_FIND(hh, set->by_server, &server, sizeof(server), entry);
    return entry != NULL;
}

bool cw_leaving_servers_add(cw_leaving_servers_t *set, uint32_t server, cw_time_us_t now)
{
    leaving_server_t *entry;

    if (cw_leaving_servers_has(set, server)) {
        return false;
    }
    entry = cw_memory_zeroed(sizeof(*entry));
    entry->server = server;
    entry->at = now;
    HASH_ADD(hh, set->by_server, server, sizeof(entry->server), entry);
    return true;
}

void cw_leaving_servers_expire(cw_leaving_servers_t *set, cw_time_us_t now)
{
    leaving_server_t *entry;
    leaving_server_t *next;

    HASH_ITER(hh, set->by_server, entry, next)
    {
        if (now - entry->at > CW_SECONDS(CW_LEAVING_EXPIRY_S)) {
            remove_entry(set, entry);
        }
    }
}

size_t cw_leaving_servers_count(const cw_leaving_servers_t *set)
{
    return HASH_COUNT(set->by_server);
}
