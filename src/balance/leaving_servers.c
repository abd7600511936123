/**
 * @file leaving_servers.c
 * @brief A set of servers with the time of each.
 */
#include "balance/leaving_servers.h"
#include "base/memory.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct leave {
    uint32_t       server;
    cw_time_us_t   at;
    UT_hash_handle hh;
} leave_t;

struct cw_leave_memory {
    leave_t *by_server;
};

cw_leave_memory_t *cw_leave_memory_create(void)
{
    cw_leave_memory_t *memory = cw_memory_zeroed(sizeof(*memory));

    return memory;
}

static void drop(cw_leave_memory_t *memory, leave_t *leave)
{
    HASH_DEL(memory->by_server, leave); /* NOLINT(clang-analyzer-unix.Malloc): it does not follow uthash's macros */
    free(leave);
}

void cw_leave_memory_free(cw_leave_memory_t *memory)
{
    leave_t *leave;
    leave_t *next;

    HASH_ITER(hh, memory->by_server, leave, next)
    {
        drop(memory, leave);
    }
    free(memory);
}

bool cw_leave_memory_has(const cw_leave_memory_t *memory, uint32_t server)
{
    const leave_t *leave;

    HASH_FIND(hh, memory->by_server, &server, sizeof(server), leave);
    return leave != NULL;
}

bool cw_leave_memory_add(cw_leave_memory_t *memory, uint32_t server, cw_time_us_t now)
{
    leave_t *leave;

    if (cw_leave_memory_has(memory, server)) {
        return false;
    }
    leave = cw_memory_zeroed(sizeof(*leave));
    leave->server = server;
    leave->at = now;
    HASH_ADD(hh, memory->by_server, server, sizeof(leave->server), leave);
    return true;
}

void cw_leave_memory_forget(cw_leave_memory_t *memory, cw_time_us_t now)
{
    leave_t *leave;
    leave_t *next;

    HASH_ITER(hh, memory->by_server, leave, next)
    {
        if (now - leave->at > CW_SECONDS(CW_LEAVE_REMEMBERED_S)) {
            drop(memory, leave);
        }
    }
}

size_t cw_leave_memory_count(const cw_leave_memory_t *memory)
{
    return HASH_COUNT(memory->by_server);
}
