/**
 * @file servers_pages.h
 * @brief The list of servers divided into pages of bounded size.
 *
 * No I/O; time is a parameter.
 */
#ifndef CEDARWINCH_ROUTER_SERVERS_PAGES_H
#define CEDARWINCH_ROUTER_SERVERS_PAGES_H

#include "base/time.h"
#include "peer.pb-c.h"
#include "router/list_history.h"

enum { CW_PAGE_SERVERS = 64 /**< per page, about 50 bytes each: a page is sent as two or three packets */ };

/** Buffer for the contents of one page until it is packed. */
typedef struct cw_servers_page_room {
    Cwp__ViewServer  entries[CW_PAGE_SERVERS];
    Cwp__ViewServer *pointers[CW_PAGE_SERVERS];
    char            *removed[CW_REMOVED_MAX];
} cw_servers_page_room_t;

/** Number of pages for what changed after the list of version `base`, or for the whole list (0); at least one. */
uint32_t cw_servers_page_count(const cw_server_list_t *list, uint64_t base);
/** Sets the page's servers to the next ones from index `from` on; returns the index at which the next page starts. */
size_t cw_servers_page_fill(Cwp__ServersPage *page, cw_servers_page_room_t *room, const cw_server_list_t *list,
                            uint64_t base, size_t from, cw_time_us_t now);

#endif
