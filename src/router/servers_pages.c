/**
 * @file servers_pages.c
 * @brief Cutting the list of servers into pages.
 */
#include "router/servers_pages.h"

static void add_server(Cwp__ServersPage *page, cw_servers_page_room_t *room, const cw_server_entry_t *entry,
                       cw_time_us_t now)
{
    Cwp__ViewServer *server = &room->entries[page->n_servers];

    cwp__view_server__init(server);
    server->id = entry->id;
    server->service = entry->service;
    server->address = entry->address;
    server->zone = entry->zone;
    server->capacity = entry->capacity;
    server->draining = entry->draining;
    server->cold_ms = (uint32_t)(entry->cold_time / 1000);
    server->missing_ms = entry->missing_since == 0 ? 0 : (uint32_t)((now - entry->missing_since) / 1000) + 1;
    room->pointers[page->n_servers++] = server;
}

/* The whole has all entries: a node that does not lead does not know when they changed (changed_in is 0). */
static bool is_told(const cw_server_entry_t *entry, uint64_t base)
{
    return base == 0 || entry->changed_in > base;
}

uint32_t cw_servers_page_count(const cw_server_list_t *list, uint64_t base)
{
    uint32_t count = 0;
    size_t   index;

    for (index = 0; index < list->count; index++) {
        count += is_told(&list->entries[index], base) ? 1 : 0;
    }
    return count == 0 ? 1 : (count + CW_PAGE_SERVERS - 1) / CW_PAGE_SERVERS;
}

size_t cw_servers_page_fill(Cwp__ServersPage *page, cw_servers_page_room_t *room, const cw_server_list_t *list,
                            uint64_t base, size_t from, cw_time_us_t now)
{
    size_t index;

    page->n_servers = 0;
    page->servers = room->pointers;
    for (index = from; index < list->count && page->n_servers < CW_PAGE_SERVERS; index++) {
        if (is_told(&list->entries[index], base)) {
            add_server(page, room, &list->entries[index], now);
        }
    }
    return index;
}
