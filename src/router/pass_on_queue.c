/**
 * @file pass_on_queue.c
 * @brief Updates in the order in which they came, each with the nodes that are still to be sent it.
 */
#include "router/pass_on_queue.h"

#include <stdlib.h>
#include <string.h>

/** An update, and how far it is passed on. */
typedef struct waiting_update {
    cw_pass_on_update_t update;
    cw_datagram_batch_t pages; /* as they came */
    uint8_t            *seen;  /* by number of the page */
    uint32_t            have;
    uint32_t           *nodes; /* NULL: not all pages have come */
    size_t              node_count;
    size_t              next_node;
    cw_time_us_t        begun_at;
} waiting_update_t;

struct cw_pass_on_queue {
    cw_pass_on_owner_t owner;
    waiting_update_t   updates[CW_PASS_ON_UPDATES]; /* the oldest first */
    size_t             count;
};

cw_pass_on_queue_t *cw_pass_on_queue_create(const cw_pass_on_owner_t *owner)
{
    cw_pass_on_queue_t *queue = calloc(1, sizeof(*queue));

    if (queue == NULL) {
        abort();
    }
    queue->owner = *owner;
    return queue;
}

static void clear(waiting_update_t *waiting)
{
    free(waiting->pages.bytes.data);
    free(waiting->pages.lengths);
    free(waiting->seen);
    free(waiting->nodes);
}

static void drop(cw_pass_on_queue_t *queue, size_t place)
{
    clear(&queue->updates[place]);
    queue->count--;
    memmove(&queue->updates[place], &queue->updates[place + 1], (queue->count - place) * sizeof(queue->updates[0]));
}

void cw_pass_on_queue_free(cw_pass_on_queue_t *queue)
{
    while (queue->count > 0) {
        drop(queue, queue->count - 1);
    }
    free(queue);
}

size_t cw_pass_on_queue_waiting(const cw_pass_on_queue_t *queue)
{
    return queue->count;
}

/* ---- pages that come ---- */

static bool is_same(const cw_pass_on_update_t *left, const cw_pass_on_update_t *right)
{
    return left->is_list == right->is_list && left->term == right->term && left->base == right->base &&
           left->number == right->number && left->pages == right->pages;
}

static waiting_update_t *find(cw_pass_on_queue_t *queue, const cw_pass_on_update_t *update)
{
    size_t place;

    for (place = 0; place < queue->count; place++) {
        if (is_same(&queue->updates[place].update, update)) {
            return &queue->updates[place];
        }
    }
    return NULL;
}

static waiting_update_t *begin(cw_pass_on_queue_t *queue, const cw_pass_on_update_t *update, cw_time_us_t now)
{
    waiting_update_t *waiting;

    if (queue->count == CW_PASS_ON_UPDATES) {
        return NULL;
    }
    waiting = &queue->updates[queue->count++];
    *waiting = (waiting_update_t){.update = *update, .seen = calloc(update->pages, 1), .begun_at = now};
    if (waiting->seen == NULL) {
        abort();
    }
    return waiting;
}

bool cw_pass_on_queue_add(cw_pass_on_queue_t *queue, const cw_pass_on_update_t *update, uint32_t page,
                          const cw_datagram_batch_t *packed, cw_time_us_t now)
{
    waiting_update_t *waiting;

    if (update->pages == 0 || page >= update->pages) {
        return false;
    }
    waiting = find(queue, update);
    waiting = waiting == NULL ? begin(queue, update, now) : waiting;
    if (waiting == NULL) {
        return false;
    }
    if (waiting->seen[page]) {
        return true;
    }
    waiting->seen[page] = 1;
    waiting->have++;
    cw_datagram_batch_add(&waiting->pages, packed->kind, (const uint8_t *)packed->bytes.data, packed->lengths[0]);
    if (waiting->have == update->pages) {
        waiting->node_count = queue->owner.list_nodes(queue->owner.context, &waiting->nodes);
    }
    return true;
}

/* ---- sending ---- */

/* False: the allowance is used up. */
static bool send_update(const cw_pass_on_queue_t *queue, waiting_update_t *waiting, cw_send_allowance_t *allowance)
{
    const cw_pass_on_owner_t *owner = &queue->owner;

    while (waiting->next_node < waiting->node_count) {
        uint32_t address = waiting->nodes[waiting->next_node];

        if (!owner->is_wanted(owner->context, address, &waiting->update)) {
            waiting->next_node++;
            continue;
        }
        if (!cw_send_allowance_has_any(allowance)) {
            return false;
        }
        cw_send_allowance_spend(allowance, owner->send(owner->context, address, &waiting->pages));
        waiting->next_node++;
    }
    return true;
}

void cw_pass_on_queue_send(cw_pass_on_queue_t *queue, cw_send_allowance_t *allowance, cw_time_us_t now)
{
    size_t place = 0;

    cw_send_allowance_refill(allowance, now);
    while (place < queue->count) {
        waiting_update_t *waiting = &queue->updates[place];
        bool              is_whole = waiting->have == waiting->update.pages;

        if (now - waiting->begun_at > CW_MS(CW_PASS_ON_WAIT_MS) ||
            (is_whole && send_update(queue, waiting, allowance))) {
            drop(queue, place);
        } else if (is_whole) {
            return;
        } else {
            place++;
        }
    }
}
