/**
 * @file configuration_pages.h
 * @brief A configuration as pages between nodes: the whole of it, or what changed since one that the other node has.
 *
 * Rules:
 *  - A change is told by route and by tenant: identity is a route's host and prefix, a tenant's name, the orders of a
 *    sealed configuration. A tenant of many keys is sent in parts of a few keys each.
 *  - Page 0 carries what is small and always whole: services and limits. Removed routes come first, then the others,
 *    removed tenants, and the other tenants' parts.
 *  - The same two configurations make the same pages at each node, so the pages of one transfer may come from several.
 *  - What needs more than CW_CONFIGURATION_PAGES_MAX pages is not sent. One page without contents (pages 0) says so.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_CONFIGURATION_PAGES_H
#define CEDARWINCH_PEER_CONFIGURATION_PAGES_H

#include "model/configuration.h"
#include "peer.pb-c.h"

enum {
    CW_CONFIGURATION_PAGE_ITEMS =
        40, /**< routes and parts of tenants a page: some 5 KB, well below a datagram's limit */
    CW_CONFIGURATION_PAGES_MAX = 512 /**< 20,480 items: more than an object of 1 MB in the store holds (one takes some
                                      * 70 bytes there: a tenant with a key, or three keys) */
};

typedef void (*cw_configuration_page_out_t)(void *context, const Cwp__ConfigurationPage *page);

/** Which pages are wanted: `count` from `first` on. */
typedef struct cw_page_window {
    uint32_t first;
    uint32_t count;
} cw_page_window_t;

/** Gives out those of the pages that turn `base` (NULL: nothing) into `configuration` which lie in the window. Both are
 * sealed. True: the last page was among them. */
bool cw_configuration_pages_make(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                 cw_page_window_t window, cw_configuration_page_out_t out, void *context);

/** A configuration that is received page by page. All zeros: none. */
typedef struct cw_configuration_assembly {
    cw_configuration_t *partial; /**< routes that were sent, and all else */
    Cwp__RouteKey     **removed; /**< copies; hosts and prefixes */
    size_t              removed_count;
    cw_name_set_t       removed_tenants;
    uint64_t            base;
    uint32_t            pages;
    uint32_t            received;
    bool                has[CW_CONFIGURATION_PAGES_MAX];
} cw_configuration_assembly_t;

/** The first page that has not come; 0 while none has. */
uint32_t cw_configuration_assembly_first_missing(const cw_configuration_assembly_t *assembly);
void     cw_configuration_assembly_clear(cw_configuration_assembly_t *assembly);
/**
 * Takes a page. Returns the new configuration, sealed and owned by the caller, once all pages have come; else NULL.
 * in_force: the receiver's own configuration (NULL: none); pages laid over another base than that are ignored.
 */
cw_configuration_t *cw_configuration_assembly_add_page(cw_configuration_assembly_t  *assembly,
                                                       const cw_configuration_t     *in_force,
                                                       const Cwp__ConfigurationPage *page);

#endif
