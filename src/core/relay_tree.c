/**
 * @file relay_tree.c
 * @brief Position of a node in the relay tree.
 *
 * Nodes that are up, in ascending id order without the leader, have ranks 0, 1, ... The leader's children have the
 * ranks below CW_RELAY_FANOUT = d; rank r has the children d(r+1) ... d(r+1)+d-1. A node that the table does not name
 * yet counts itself in, so that joining nodes spread over the tree.
 */
#include <stdlib.h>

#include "core/relay_internal.h"

typedef struct node_list {
    cw_node_id_t *ids;
    size_t        count;
    size_t        capacity;
    cw_node_id_t  self;
    cw_node_id_t  leader;
    bool          self_seen;
    bool          failed;
} node_list_t;

static void append(node_list_t *list, cw_node_id_t id)
{
    size_t        capacity;
    cw_node_id_t *ids;

    if (list->count == list->capacity) {
        capacity = list->capacity == 0 ? 64 : 2 * list->capacity;
        ids = realloc(list->ids, capacity * sizeof(*ids));
        if (ids == NULL) {
            list->failed = true;
            return;
        }
        list->ids = ids;
        list->capacity = capacity;
    }
    list->ids[list->count++] = id;
}

static void append_self(node_list_t *list)
{
    if (!list->self_seen && list->self != list->leader) {
        append(list, list->self);
    }
    list->self_seen = true;
}

static bool append_node(void *context, const Cw__NodeInfo *node)
{
    node_list_t *list = context;

    if (node->id >= list->self) {
        append_self(list);
    }
    if (node->id != list->self && node->id != list->leader && node->state == CW__NODE_STATE__NODE_UP) {
        append(list, node->id);
    }
    return !list->failed;
}

static size_t rank_of(const node_list_t *list, cw_node_id_t id)
{
    size_t low = 0;
    size_t high = list->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (list->ids[middle] < id) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static void add_ancestor(cw_relay_t *relay, cw_node_id_t id)
{
    if (id != 0 && relay->ancestor_count < CW_RELAY_ANCESTORS_MAX) {
        relay->ancestors[relay->ancestor_count++] = id;
    }
}

static void fill_ancestors(cw_relay_t *relay, const node_list_t *list, cw_node_id_t leader)
{
    size_t rank = rank_of(list, relay->self->id);

    while (rank >= CW_RELAY_FANOUT) {
        rank = rank / CW_RELAY_FANOUT - 1;
        add_ancestor(relay, list->ids[rank]);
    }
    add_ancestor(relay, leader);
}

static void fill_children(cw_relay_t *relay, const node_list_t *list, bool is_leader)
{
    size_t first = is_leader ? 0 : CW_RELAY_FANOUT * (rank_of(list, relay->self->id) + 1);
    size_t i;

    for (i = first; i < first + CW_RELAY_FANOUT && i < list->count; i++) {
        relay->tree_children[relay->tree_child_count++] = list->ids[i];
    }
}

void cw_relay_compute_tree(cw_relay_t *relay)
{
    node_list_t  list = {0};
    cw_node_id_t leader = relay->leader != NULL ? relay->leader->id : 0;
    bool         is_leader = leader == relay->self->id;

    list.self = relay->self->id;
    list.leader = leader;
    cw_control_state_each_node(relay->routes, append_node, &list);
    append_self(&list);
    relay->ancestor_count = 0;
    relay->tree_child_count = 0;
    if (!list.failed) {
        if (!is_leader) {
            fill_ancestors(relay, &list, leader);
        }
        fill_children(relay, &list, is_leader);
        relay->tree_stale = false;
    }
    free(list.ids);
}

bool cw_relay_is_tree_child(const cw_relay_t *relay, cw_node_id_t node)
{
    size_t i;

    for (i = 0; i < relay->tree_child_count; i++) {
        if (relay->tree_children[i] == node) {
            return true;
        }
    }
    return false;
}
