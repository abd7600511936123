/**
 * @file zone_links.c
 * @brief When summaries of each zone came.
 */
#include "router/zone_links.h"

#include <string.h>

#include "base/text.h"

static bool is_recent(cw_time_us_t at, cw_time_us_t now)
{
    return at != 0 && now - at < CW_MS(CW_SUMMARY_TRUST_MS);
}

static cw_zone_link_t *find_link(cw_zone_links_t *links, const char *zone)
{
    size_t index;

    for (index = 0; index < links->count; index++) {
        if (strcmp(links->items[index].zone, zone) == 0) {
            return &links->items[index];
        }
    }
    return NULL;
}

static cw_zone_link_t *find_or_add_link(cw_zone_links_t *links, const char *zone)
{
    cw_zone_link_t *link = find_link(links, zone);

    if (link != NULL || links->count == CW_ZONES_MAX) {
        return link;
    }
    link = &links->items[links->count++];
    memset(link, 0, sizeof(*link));
    cw_text_copy(link->zone, sizeof(link->zone), zone);
    return link;
}

/* The place of a relay; one that is not known yet takes the oldest place. */
static cw_summary_maker_t *find_maker(cw_zone_link_t *link, uint32_t address)
{
    cw_summary_maker_t *maker;
    size_t              index;

    for (index = 0; index < CW_SUMMARY_MAKERS; index++) {
        if (link->makers[index].address == address) {
            return &link->makers[index];
        }
    }
    maker = &link->makers[link->next_maker];
    link->next_maker = (link->next_maker + 1) % CW_SUMMARY_MAKERS;
    *maker = (cw_summary_maker_t){.address = address};
    return maker;
}

bool cw_zone_links_note(cw_zone_links_t *links, const cw_summary_head_t *head, cw_time_us_t now)
{
    cw_zone_link_t     *link = head->relay == 0 ? NULL : find_or_add_link(links, head->zone);
    cw_summary_maker_t *maker;

    if (link == NULL) {
        return false;
    }
    maker = find_maker(link, head->relay);
    if (maker->incarnation == head->incarnation && head->sequence <= maker->sequence) {
        return false;
    }
    maker->incarnation = head->incarnation;
    maker->sequence = head->sequence;
    link->received_at = now;
    if (head->answers) {
        link->answered_at = now;
    }
    return true;
}

bool cw_zone_links_is_covered(const cw_zone_links_t *links, const char *zone, cw_time_us_t now)
{
    const cw_zone_link_t *link = find_link((cw_zone_links_t *)links, zone);

    return link != NULL && is_recent(link->answered_at, now);
}

bool cw_zone_links_is_summed(const cw_zone_links_t *links, const char *zone, cw_time_us_t now)
{
    const cw_zone_link_t *link = find_link((cw_zone_links_t *)links, zone);

    return link != NULL && is_recent(link->received_at, now);
}
