/**
 * @file configuration_pages.h
 * @brief A configuration as pages between nodes: the whole of it, or what changed since one that the other node has.
 *
 * Rules:
 *  - A change is told by route: identity is a route's host and prefix, the order of a sealed configuration.
 *  - Page 0 carries what is small and always whole: services, tenants, limits, and the routes that were removed.
 *  - What needs more than CW_CONFIGURATION_PAGES_MAX pages is not sent: the store's link carries it better than a small
 *    machine's. One page without contents (pages 0) says so.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_CONFIGURATION_PAGES_H
#define CEDARWINCH_PEER_CONFIGURATION_PAGES_H

#include "model/configuration.h"
#include "peer.pb-c.h"

enum {
    CW_CONFIGURATION_PAGE_ROUTES = 40, /**< routes a page: some 4 KB, well below a datagram's limit */
    CW_CONFIGURATION_PAGES_MAX = 8     /**< 32 KB at most: to 60 nodes of a zone 0.8 s of a 20 Mbit/s link */
};

typedef void (*cw_configuration_page_out_t)(void *context, const Cwp__ConfigurationPage *page);

/** Gives out the pages that turn `base` (NULL: nothing) into `configuration`. Both are sealed. */
void cw_configuration_pages_make(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                 cw_configuration_page_out_t out, void *context);

/** A configuration that is received page by page. All zeros: none. */
typedef struct cw_configuration_assembly {
    cw_configuration_t *partial; /**< routes that were sent, and all else */
    Cwp__RouteKey     **removed; /**< copies; hosts and prefixes */
    size_t              removed_count;
    uint64_t            base;
    uint32_t            pages;
    uint32_t            received;
    bool                has[CW_CONFIGURATION_PAGES_MAX];
} cw_configuration_assembly_t;

void cw_configuration_assembly_clear(cw_configuration_assembly_t *assembly);
/**
 * Takes a page. Returns the new configuration, sealed and owned by the caller, once all pages have come; else NULL.
 * in_force: the receiver's own configuration (NULL: none); pages laid over another base than that are ignored.
 */
cw_configuration_t *cw_configuration_assembly_take(cw_configuration_assembly_t  *assembly,
                                                   const cw_configuration_t     *in_force,
                                                   const Cwp__ConfigurationPage *page);

#endif
