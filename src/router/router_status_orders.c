/**
 * @file router_status_orders.c
 * @brief The part of the status that shows the leader's orders without an answer.
 */
#include "router/router_status.h"

static json_t *order_json(const cw_open_order_t *order, cw_time_us_t now)
{
    static const char *const kinds[] = {[CW_ORDER_GRANT] = "grant", [CW_ORDER_RELEASE] = "release"};

    return json_pack("{s:I, s:s, s:I, s:I, s:I, s:I, s:I}", "order", (json_int_t)order->id, "kind", kinds[order->kind],
                     "low", (json_int_t)order->low, "last", (json_int_t)order->last, "fence", (json_int_t)order->fence,
                     "sent_ms_ago", (json_int_t)((now - order->sent_at) / 1000), "over_in_ms",
                     (json_int_t)((order->over_at - now) / 1000));
}

static json_t *server_json(const cw_server_contact_t *contact, cw_time_us_t now)
{
    json_t                *orders = json_array();
    const cw_open_order_t *order;

    for (order = contact->open; order != NULL; order = order->next) {
        json_array_append_new(orders, order_json(order, now));
    }
    return json_pack("{s:s, s:I, s:o}", "server", contact->id, "answered_ms_ago",
                     (json_int_t)(contact->answered_at == 0 ? -1 : (now - contact->answered_at) / 1000), "open",
                     orders);
}

json_t *cw_router_status_orders(const cw_router_t *router, cw_time_us_t now)
{
    json_t                    *services = json_object();
    const cw_server_contact_t *contact;
    size_t                     index;

    for (index = 0; index < router->assignment_count; index++) {
        const cw_assigner_t *assigner = router->assignments[index].assigner;
        json_t              *servers = json_array();

        contact = cw_server_contacts_first(cw_assigner_contacts(assigner));
        for (; contact != NULL; contact = contact->hh.next) {
            if (contact->open_count > 0) {
                json_array_append_new(servers, server_json(contact, now));
            }
        }
        json_object_set_new(services, cw_assigner_service(assigner), servers);
    }
    return services;
}
