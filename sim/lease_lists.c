/**
 * @file lease_lists.c
 * @brief Entries of servers in the store, and the list of servers that leaders read.
 */
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"

enum { ENTRY_LIFETIME_MS = 4500 };

/* ---- entries ---- */

static void publish(sim_world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    for (index = 0; index < world->entry_count; index++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        entry->id = strdup(world->entries[index].id);
        entry->address = strdup(world->entries[index].address);
        entry->service = strdup("service");
        entry->zone = strdup("z");
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    cw_server_list_release(world->list);
    world->list = list;
}

static void remove_entry(sim_world_t *world, size_t index)
{
    world->entries[index] = world->entries[--world->entry_count];
}

static void remove_entries_at(sim_world_t *world, const char *address)
{
    size_t index;

    for (index = world->entry_count; index-- > 0;) {
        if (strcmp(world->entries[index].address, address) == 0) {
            remove_entry(world, index);
        }
    }
}

void sim_list_register(sim_world_t *world, const sim_server_t *server)
{
    sim_entry_t *entry;

    remove_entries_at(world, server->address);
    if (world->entry_count == CW_SIM_ENTRIES_MAX) {
        abort();
    }
    entry = &world->entries[world->entry_count++];
    *entry = (sim_entry_t){0};
    memcpy(entry->id, server->id, sizeof(entry->id));
    memcpy(entry->address, server->address, sizeof(entry->address));
    publish(world);
}

static void remove_expired(sim_world_t *world, void *data)
{
    size_t index;

    (void)data;
    for (index = world->entry_count; index-- > 0;) {
        if (world->entries[index].expires_at != 0 && world->entries[index].expires_at <= world->now) {
            remove_entry(world, index);
        }
    }
    publish(world);
}

void sim_list_expire(sim_world_t *world, const sim_server_t *server)
{
    cw_time_us_t expires_at = world->now + CW_MS(ENTRY_LIFETIME_MS);
    size_t       index;

    for (index = 0; index < world->entry_count; index++) {
        if (strcmp(world->entries[index].id, server->id) == 0) {
            world->entries[index].expires_at = expires_at;
        }
    }
    sim_schedule(world, expires_at, remove_expired, NULL);
}
