/**
 * @file router_heartbeat.c
 * @brief Handles the leader's heartbeat, directly or forwarded by a relay: which list and tables are the newest, and
 * until when this node's own were valid.
 */
#include <string.h>

#include "base/text.h"
#include "router/router_internal.h"

cw_time_us_t cw_router_heartbeat_sent_at(cw_peer_t *leader, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    if (heartbeat->sent_ms == 0) {
        return now;
    }
    return cw_clock_offset_sent_at(&leader->clock, leader->incarnation, CW_MS((cw_time_us_t)(heartbeat->sent_ms - 1)),
                                   now);
}

/* Confirms the list in force: it is the leader's newest, or was valid until a time that the heartbeat states. */
static void confirm_servers(cw_router_t *router, const cw_peer_t *sender, const Cwp__LeaderHeartbeat *heartbeat,
                            cw_time_us_t sent_at)
{
    bool               is_direct = strcmp(sender->node, router->leader.node) == 0;
    cw_list_evidence_t evidence = {.source = is_direct ? CW_LIST_SOURCE_LEADER : CW_LIST_SOURCE_RELAY,
                                   .from = sender->address};

    if (router->view_list_version >= heartbeat->servers) {
        evidence.valid_at = sent_at - CW_MS(heartbeat->list_age_ms);
        cw_server_view_confirm(
            &router->server_view,
            cw_router_received_revision(router, heartbeat->list_revision_epoch, heartbeat->list_revision), &evidence);
        return;
    }
    evidence.valid_at =
        cw_replaced_versions_valid_at(router->view_list_version, heartbeat->servers, heartbeat->servers_replaced_ms,
                                      heartbeat->n_servers_replaced_ms, sent_at);
    cw_server_view_confirm(&router->server_view, router->server_view.revision, &evidence);
}

/* The same for the tables. */
static void confirm_tables(cw_router_t *router, const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t sent_at)
{
    if (heartbeat->tables == 0) {
        return;
    }
    if (router->view_tables_version >= heartbeat->tables) {
        cw_router_confirm_tables(router, sent_at);
    } else {
        cw_router_confirm_tables(router, cw_replaced_versions_valid_at(router->view_tables_version, heartbeat->tables,
                                                                       heartbeat->tables_replaced_ms,
                                                                       heartbeat->n_tables_replaced_ms, sent_at));
    }
}

void cw_router_handle_leader_heartbeat(cw_router_t *router, cw_peer_t *peer, const cw_peer_t *sender,
                                       const Cwp__LeaderHeartbeat *heartbeat, cw_time_us_t now)
{
    cw_event_t event;

    if (heartbeat->revision_epoch != 0 && heartbeat->revision != 0) {
        cw_router_on_store_epoch(router, heartbeat->revision_epoch - 1);
    }
    cw_leadership_receive_heartbeat(&router->leadership, heartbeat->term,
                                    cw_router_received_revision(router, heartbeat->revision_epoch, heartbeat->revision),
                                    heartbeat->able, cw_router_refresh_now(router));
    if (peer->stopping) {
        cw_leadership_receive_step_down(&router->leadership, now);
    }
    if (router->leadership.leading || heartbeat->term < router->leader.term) {
        return;
    }
    if (heartbeat->term > router->leader.term || strcmp(router->leader.node, peer->node) != 0) {
        router->leader.term = heartbeat->term;
        cw_text_copy(router->leader.node, sizeof(router->leader.node), peer->node);
        if (cw_event_begin(&event, CW_EVENT_LEADER_SEEN)) {
            cw_event_text(&event, CW_FIELD_LEADER, peer->node);
            cw_event_number(&event, CW_FIELD_TERM, (int64_t)heartbeat->term);
            cw_event_number(&event, CW_FIELD_REVISION, (int64_t)heartbeat->revision);
            cw_event_end(&event);
        }
    }
    cw_router_quota_record_leader(router, peer, heartbeat);
    if (!heartbeat->able) {
        return;
    }
    router->leader.heartbeat_at = now;
    cw_router_record_nodes(router, heartbeat->nodes);
    cw_router_adopt_versions(router, peer, heartbeat);
    cw_router_check_view(router, heartbeat, now);
    cw_router_list_exchange_heartbeat(router, heartbeat, now);
    if (router->view_term == heartbeat->term && !cw_router_reads_backlog(router, now)) {
        cw_time_us_t sent_at = cw_router_heartbeat_sent_at(peer, heartbeat, now);

        confirm_servers(router, sender, heartbeat, sent_at);
        confirm_tables(router, heartbeat, sent_at);
    }
}
