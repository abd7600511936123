/**
 * @file configuration_pages.h
 * @brief Splits a configuration into pages that are sent between nodes: either all of it, or its changes against a
 *        configuration that the receiver has.
 *
 * Rules:
 *  - Changes are sent by route and by tenant. A route is identified by its host and prefix, a tenant by its name;
 *    sealed configurations are sorted by these. A tenant with many keys is sent in parts of a few keys each.
 *  - Page 0 also holds the services and limits, which are small and always sent completely. The items of all pages
 *    are in this order: removed routes, added or changed routes, removed tenants, parts of added or changed tenants.
 *  - Each node makes the same pages from the same two configurations, so the pages of one transfer may come from
 *    several nodes.
 *  - A transfer of more than CW_CONFIGURATION_PAGES_MAX pages is not sent. One page without contents (pages 0) is
 *    sent instead.
 *
 * No I/O, no clock.
 */
#ifndef CEDARWINCH_PEER_CONFIGURATION_PAGES_H
#define CEDARWINCH_PEER_CONFIGURATION_PAGES_H

#include "model/configuration.h"
#include "peer.pb-c.h"

enum {
    /** Routes and parts of tenants per page: about 5 KB, well below the size limit of a datagram. */
    CW_CONFIGURATION_PAGE_ITEMS = 40,
    /** 20,480 items: more than an object of 1 MB in the store holds (an item takes about 70 bytes there: a tenant with
     * one key, or three keys). */
    CW_CONFIGURATION_PAGES_MAX = 512
};

/** Receives a page, which is valid during the call only. */
typedef void (*cw_configuration_page_sink_t)(void *context, const Cwp__ConfigurationPage *page);

/** Range of requested pages: `count` pages starting at `first`. */
typedef struct cw_page_window {
    uint32_t first;
    uint32_t count;
} cw_page_window_t;

/** Makes the pages that turn `base` (NULL: no configuration) into `configuration` and passes those in the window to
 * `out`. Both configurations are sealed. Returns true if the last page was among them. */
bool cw_configuration_pages_make(const cw_configuration_t *base, const cw_configuration_t *configuration,
                                 cw_page_window_t window, cw_configuration_page_sink_t out, void *context);

/** State of a configuration that is being received page by page. All zeros: none. */
typedef struct cw_configuration_assembly {
    cw_configuration_t *partial; /**< received routes, tenants, services and limits */
    Cwp__RouteKey     **removed; /**< keys of removed routes, as copies */
    size_t              removed_count;
    cw_name_set_t       removed_tenants;
    uint64_t            base; /**< version that the pages are based on; 0: none */
    uint32_t            pages;
    uint32_t            received;
    bool                has[CW_CONFIGURATION_PAGES_MAX];
} cw_configuration_assembly_t;

/** The first page that has not been received; 0 while no page has. */
uint32_t cw_configuration_assembly_first_missing(const cw_configuration_assembly_t *assembly);
/** Discards the received pages. */
void cw_configuration_assembly_clear(cw_configuration_assembly_t *assembly);
/**
 * Adds a page. Returns the new configuration, sealed and owned by the caller, once all pages are received; otherwise
 * NULL.
 * in_force: the receiver's own configuration (NULL: none). Pages that are based on another one are ignored.
 */
cw_configuration_t *cw_configuration_assembly_add_page(cw_configuration_assembly_t  *assembly,
                                                       const cw_configuration_t     *in_force,
                                                       const Cwp__ConfigurationPage *page);

#endif
