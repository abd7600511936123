/**
 * @file zone_links.c
 * @brief When summaries of each zone were received.
 */
#include "router/zone_links.h"

#include <string.h>

#include "base/text.h"

static bool is_recent(cw_time_us_t at, cw_time_us_t now)
{
    return at != 0 && now - at < CW_MS(CW_SUMMARY_RECENT_MS);
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

/* Entry of a relay. A relay that is not known yet replaces the oldest entry. */
static cw_summary_sender_t *find_or_replace_sender(cw_zone_link_t *link, uint32_t address)
{
    cw_summary_sender_t *sender;
    size_t               index;

    for (index = 0; index < CW_SUMMARY_SENDERS_MAX; index++) {
        if (link->senders[index].address == address) {
            return &link->senders[index];
        }
    }
    sender = &link->senders[link->next_sender];
    link->next_sender = (link->next_sender + 1) % CW_SUMMARY_SENDERS_MAX;
    *sender = (cw_summary_sender_t){.address = address};
    return sender;
}

bool cw_zone_links_record(cw_zone_links_t *links, const cw_summary_header_t *header, cw_time_us_t now)
{
    cw_zone_link_t      *link = header->relay == 0 ? NULL : find_or_add_link(links, header->zone);
    cw_summary_sender_t *sender;

    if (link == NULL) {
        return false;
    }
    sender = find_or_replace_sender(link, header->relay);
    if (sender->incarnation == header->incarnation && header->sequence <= sender->sequence) {
        return false;
    }
    sender->incarnation = header->incarnation;
    sender->sequence = header->sequence;
    link->received_at = now;
    if (header->acknowledges) {
        link->acknowledged_at = now;
    }
    return true;
}

bool cw_zone_links_is_covered(const cw_zone_links_t *links, const char *zone, cw_time_us_t now)
{
    const cw_zone_link_t *link = find_link((cw_zone_links_t *)links, zone);

    return link != NULL && is_recent(link->acknowledged_at, now);
}

bool cw_zone_links_is_summarized(const cw_zone_links_t *links, const char *zone, cw_time_us_t now)
{
    const cw_zone_link_t *link = find_link((cw_zone_links_t *)links, zone);

    return link != NULL && is_recent(link->received_at, now);
}
