/**
 * @file lease_lists.c
 * @brief Entries of servers in the store, and the lists of servers by which nodes go.
 *
 * Usually all nodes go by the true list. With lists that lag, each has the list of its last reading, with the revision
 * of the store up to which it holds all changes. A new leader keeps the list that it had as a follower until its next
 * reading. A reading is from a copy of the store, which lags: by up to half a second at most nodes, by seconds at some,
 * and by more while the copies do not follow the store. A crashed server's entry then stays until it expires, also when
 * another server has registered at the address.
 */
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"
#include "model/store_epoch.h"

enum {
    ENTRY_LIFETIME_MS = 4500,
    RECORD_INTERVAL_MS = 20,
    READ_FIRST_MS = 200, /* interval between readings */
    READ_SPREAD_MS = 1300,
    LAG_MS = 400, /* of a reading */
    LAG_SLOW_MS = 5000,
    LAG_WITHOUT_FAULTS_MS = 200,
    STALL_FIRST_MS = 1000,
    STALL_SPREAD_MS = 7000,
    LOST_FIRST_MS = 500, /* how long an entry is lost */
    LOST_SPREAD_MS = 6000,
    RENEWAL_MS = 1500, /* interval at which a server renews its entry */
    REGISTER_MS = 1000 /* time in which a server that stood still renews it again */
};

/* ---- entries ---- */

static cw_server_list_t *list_entries(const sim_world_t *world)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    for (index = 0; index < world->entry_count; index++) {
        cw_server_entry_t *entry;

        if (world->entries[index].is_lost) {
            continue;
        }
        entry = cw_server_list_add(list);
        entry->id = strdup(world->entries[index].id);
        entry->address = strdup(world->entries[index].address);
        entry->service = strdup("service");
        entry->zone = strdup("z");
        entry->capacity = 2;
    }
    cw_server_list_seal(list);
    return list;
}

static void add_listing(sim_world_t *world)
{
    sim_listing_t *listing = &world->listings[world->listing_count++ % CW_SIM_LISTINGS];

    cw_server_list_release(listing->list);
    *listing = (sim_listing_t){.at = world->now,
                               .revision = cw_store_revision_join(world->epoch, world->revision),
                               .list = cw_server_list_retain(world->list)};
}

void sim_list_publish(sim_world_t *world)
{
    cw_server_list_release(world->list);
    world->list = list_entries(world);
    if (world->settings.lists_lag) {
        world->revision++;
        add_listing(world);
    }
}

void sim_list_record(sim_world_t *world, void *data)
{
    (void)data;
    add_listing(world);
    sim_schedule(world, world->now + CW_MS(RECORD_INTERVAL_MS), sim_list_record, NULL);
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

/* The entry's key is the server's name, so a server that keeps its name replaces its entry. */
static void remove_entry_of_name(sim_world_t *world, const sim_server_t *server)
{
    size_t index;

    for (index = world->entry_count; index-- > 0;) {
        if (sim_server_is_addressed(server, world->entries[index].id)) {
            remove_entry(world, index);
        }
    }
}

void sim_list_register(sim_world_t *world, const sim_server_t *server)
{
    sim_entry_t *entry;

    if (world->settings.lists_lag) {
        remove_entry_of_name(world, server);
    } else {
        remove_entries_at(world, server->address);
    }
    if (world->entry_count == CW_SIM_ENTRIES_MAX) {
        abort();
    }
    entry = &world->entries[world->entry_count++];
    *entry = (sim_entry_t){.registered_at = world->now};
    memcpy(entry->id, server->id, sizeof(entry->id));
    memcpy(entry->address, server->address, sizeof(entry->address));
    sim_list_publish(world);
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
    sim_list_publish(world);
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

/* ---- faults ---- */

static void find_again(sim_world_t *world, void *data)
{
    size_t index;

    (void)data;
    for (index = 0; index < world->entry_count; index++) {
        world->entries[index].is_lost = false;
    }
    sim_list_publish(world);
}

void sim_list_lose_entry(sim_world_t *world)
{
    sim_entry_t *entry = &world->entries[sim_random_below(world, world->entry_count)];
    cw_time_us_t lost_for = CW_MS(LOST_FIRST_MS + sim_random_below(world, LOST_SPREAD_MS));

    /* A server that cannot reach the store loses its entry after the entry's lifetime at the earliest. */
    if (entry->expires_at != 0 || world->now - entry->registered_at < CW_MS(ENTRY_LIFETIME_MS)) {
        return;
    }
    sim_trace(world, "the entry of %s is lost", entry->id);
    entry->is_lost = true;
    sim_list_publish(world);
    sim_schedule(world, world->now + lost_for, find_again, NULL);
}

void sim_list_stall_copies(sim_world_t *world)
{
    if (world->copies_stalled_until <= world->now) {
        world->copies_stalled_at = world->now;
    }
    world->copies_stalled_until = world->now + CW_MS(STALL_FIRST_MS + sim_random_below(world, STALL_SPREAD_MS));
    sim_trace(world, "copies of the store stall since %.3f", (double)world->copies_stalled_at / 1e6);
}

static void set_lost(sim_world_t *world, const sim_server_t *server, bool is_lost)
{
    size_t index;

    for (index = 0; index < world->entry_count; index++) {
        if (strcmp(world->entries[index].id, server->id) == 0 && world->entries[index].is_lost != is_lost) {
            world->entries[index].is_lost = is_lost;
            sim_list_publish(world);
        }
    }
}

static void on_not_renewed(sim_world_t *world, void *data)
{
    const sim_server_t *server = data;

    if (server->up && sim_server_is_stopped(server)) {
        set_lost(world, server, true);
    }
}

static void on_renewed(sim_world_t *world, void *data)
{
    const sim_server_t *server = data;

    if (server->up && !sim_server_is_stopped(server)) {
        set_lost(world, server, false);
    }
}

void sim_list_stop(sim_world_t *world, sim_server_t *server)
{
    cw_time_us_t since_renewal = CW_MS(sim_random_below(world, RENEWAL_MS));

    sim_schedule(world, world->now + CW_MS(ENTRY_LIFETIME_MS) - since_renewal, on_not_renewed, server);
}

void sim_list_go_on(sim_world_t *world, sim_server_t *server)
{
    sim_schedule(world, world->now + CW_MS(sim_random_below(world, REGISTER_MS)), on_renewed, server);
}

/* ---- readings ---- */

void sim_list_init(sim_node_t *node)
{
    sim_world_t *world = node->world;

    node->list = cw_server_list_create();
    cw_server_list_seal(node->list);
    if (world->settings.lists_lag) {
        node->list_lag = sim_random_bool(world, 0.3) ? CW_MS(LAG_SLOW_MS) : CW_MS(LAG_MS);
    }
}

/* Returns the latest listing of this time or before; the oldest one if all are later. */
static const sim_listing_t *listing_at(const sim_world_t *world, cw_time_us_t at)
{
    uint64_t number = world->listing_count;
    uint64_t oldest = number > CW_SIM_LISTINGS ? number - CW_SIM_LISTINGS : 0;

    while (--number > oldest && world->listings[number % CW_SIM_LISTINGS].at > at) {
    }
    return &world->listings[number % CW_SIM_LISTINGS];
}

static cw_time_us_t draw_time(sim_world_t *world, const sim_node_t *node)
{
    cw_time_us_t lag = sim_has_faults(world) ? node->list_lag : CW_MS(LAG_WITHOUT_FAULTS_MS);
    cw_time_us_t at = world->now - (cw_time_us_t)sim_random_below(world, (uint64_t)lag);

    return world->copies_stalled_until > world->now && world->copies_stalled_at < at ? world->copies_stalled_at : at;
}

void sim_list_read(sim_node_t *node)
{
    sim_world_t         *world = node->world;
    const sim_listing_t *listing;

    if (!world->settings.lists_lag || world->now < node->list_due) {
        return;
    }
    node->list_due = world->now + CW_MS(READ_FIRST_MS + sim_random_below(world, READ_SPREAD_MS));
    listing = listing_at(world, draw_time(world, node));
    if (node->cut_store || world->store_down_until > world->now || listing->revision <= node->list_revision) {
        return;
    }
    cw_server_list_release(node->list);
    node->list = cw_server_list_retain(listing->list);
    node->list_revision = listing->revision;
    sim_trace(world, "n%u reads the list of %.3f s, revision %llu", node->index, (double)listing->at / 1e6,
              (unsigned long long)listing->revision);
}

const cw_server_list_t *sim_list_of(const sim_node_t *node)
{
    return node->world->settings.lists_lag ? node->list : node->world->list;
}

void sim_list_clear(sim_world_t *world)
{
    size_t index;

    for (index = 0; index < CW_SIM_LISTINGS; index++) {
        cw_server_list_release(world->listings[index].list);
    }
    for (index = 0; index < CW_SIM_NODES; index++) {
        cw_server_list_release(world->nodes[index].list);
    }
    cw_server_list_release(world->list);
}
