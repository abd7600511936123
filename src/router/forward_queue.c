/**
 * @file forward_queue.c
 * @brief Updates in the order in which they were received, each with the nodes that still have to be sent it.
 */
#include "router/forward_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

/** A node that an update is being sent to. */
typedef struct receiver {
    uint32_t address;
    uint32_t sent; /* number of pages sent so far */
} receiver_t;

/** An update and the progress of forwarding it. */
typedef struct waiting_update {
    cw_forwarded_update_t update;
    cw_datagram_batch_t   pages;     /* in the order in which they were received */
    uint8_t              *seen;      /* 1 for each page received, by page number */
    uint32_t              received;  /* number of pages received */
    receiver_t           *receivers; /* nodes that have not been sent all pages; NULL: not all pages are received */
    size_t                receiver_count;
    cw_time_us_t          begun_at;
} waiting_update_t;

struct cw_forward_queue {
    cw_forward_queue_owner_t owner;
    waiting_update_t         updates[CW_FORWARD_UPDATES_MAX]; /* oldest first */
    size_t                   count;
};

cw_forward_queue_t *cw_forward_queue_create(const cw_forward_queue_owner_t *owner)
{
    cw_forward_queue_t *queue = cw_memory_zeroed(sizeof(*queue));

    queue->owner = *owner;
    return queue;
}

static void free_update(waiting_update_t *waiting)
{
    free(waiting->pages.bytes.data);
    free(waiting->pages.lengths);
    free(waiting->seen);
    free(waiting->receivers);
}

static void drop_update(cw_forward_queue_t *queue, size_t place)
{
    free_update(&queue->updates[place]);
    queue->count--;
    memmove(&queue->updates[place], &queue->updates[place + 1], (queue->count - place) * sizeof(queue->updates[0]));
}

void cw_forward_queue_free(cw_forward_queue_t *queue)
{
    while (queue->count > 0) {
        drop_update(queue, queue->count - 1);
    }
    free(queue);
}

size_t cw_forward_queue_waiting(const cw_forward_queue_t *queue)
{
    return queue->count;
}

/* ---- receiving pages ---- */

static bool is_same(const cw_forwarded_update_t *left, const cw_forwarded_update_t *right)
{
    return left->is_list == right->is_list && left->is_relayed == right->is_relayed && left->term == right->term &&
           left->base == right->base && left->version == right->version && left->pages == right->pages;
}

static waiting_update_t *find(cw_forward_queue_t *queue, const cw_forwarded_update_t *update)
{
    size_t place;

    for (place = 0; place < queue->count; place++) {
        if (is_same(&queue->updates[place].update, update)) {
            return &queue->updates[place];
        }
    }
    return NULL;
}

static waiting_update_t *begin(cw_forward_queue_t *queue, const cw_forwarded_update_t *update, cw_time_us_t now)
{
    waiting_update_t *waiting;

    if (queue->count == CW_FORWARD_UPDATES_MAX) {
        return NULL;
    }
    waiting = &queue->updates[queue->count++];
    *waiting = (waiting_update_t){.update = *update, .seen = calloc(update->pages, 1), .begun_at = now};
    if (waiting->seen == NULL) {
        abort();
    }
    return waiting;
}

static void set_receivers(waiting_update_t *waiting, const uint32_t *addresses, size_t count)
{
    size_t index;

    waiting->receivers = cw_memory_zeroed_items(count + 1, sizeof(*waiting->receivers));
    for (index = 0; index < count; index++) {
        waiting->receivers[index].address = addresses[index];
    }
    waiting->receiver_count = count;
}

bool cw_forward_queue_add(cw_forward_queue_t *queue, const cw_forwarded_update_t *update, uint32_t page,
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
    waiting->received++;
    cw_datagram_batch_add(&waiting->pages, packed->kind, (const uint8_t *)packed->bytes.data, packed->lengths[0]);
    if (waiting->received == update->pages) {
        uint32_t *addresses = NULL;
        size_t    count = queue->owner.list_nodes(queue->owner.context, &addresses);

        set_receivers(waiting, addresses, count);
        free(addresses);
    }
    return true;
}

static void add_pages(waiting_update_t *waiting, const cw_datagram_batch_t *pages)
{
    size_t offset = 0;
    size_t index;

    for (index = 0; index < pages->count; index++) {
        cw_datagram_batch_add(&waiting->pages, pages->kind, (const uint8_t *)pages->bytes.data + offset,
                              pages->lengths[index]);
        offset += pages->lengths[index];
    }
    waiting->received = waiting->update.pages;
}

static bool has_receiver(const waiting_update_t *waiting, uint32_t address)
{
    size_t index;

    for (index = 0; index < waiting->receiver_count; index++) {
        if (waiting->receivers[index].address == address) {
            return true;
        }
    }
    return false;
}

static void add_receiver(waiting_update_t *waiting, uint32_t address)
{
    waiting->receivers =
        cw_memory_resize(waiting->receivers, (waiting->receiver_count + 1) * sizeof(*waiting->receivers));
    waiting->receivers[waiting->receiver_count++] = (receiver_t){.address = address};
}

bool cw_forward_queue_add_receiver(cw_forward_queue_t *queue, const cw_forwarded_update_t *update,
                                   const cw_datagram_batch_t *pages, uint32_t address, cw_time_us_t now)
{
    waiting_update_t *waiting = find(queue, update);

    if (waiting == NULL) {
        waiting = begin(queue, update, now);
        if (waiting == NULL) {
            return false;
        }
        add_pages(waiting, pages);
    }
    if (!has_receiver(waiting, address)) {
        add_receiver(waiting, address);
    }
    return true;
}

/* ---- sending ---- */

/* Sends the next pages to one node. A node that no longer needs the update counts as having been sent all pages. */
static void send_next_pages(const cw_forward_queue_t *queue, waiting_update_t *waiting, receiver_t *receiver,
                            cw_send_allowance_t *allowance)
{
    const cw_forward_queue_owner_t *owner = &queue->owner;
    size_t                          left = waiting->pages.count - receiver->sent;
    size_t                          count = left < CW_FORWARD_PAGES_PER_TURN ? left : CW_FORWARD_PAGES_PER_TURN;

    if (!owner->is_wanted(owner->context, receiver->address, &waiting->update)) {
        receiver->sent = (uint32_t)waiting->pages.count;
        return;
    }
    cw_send_allowance_spend(allowance,
                            owner->send(owner->context, receiver->address, &waiting->pages, receiver->sent, count));
    receiver->sent += (uint32_t)count;
}

static void drop_complete_receivers(waiting_update_t *waiting)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < waiting->receiver_count; index++) {
        if (waiting->receivers[index].sent < waiting->pages.count) {
            waiting->receivers[kept++] = waiting->receivers[index];
        }
    }
    waiting->receiver_count = kept;
}

/* Sends the next pages to the first nodes of the list, until the allowance is used up. */
static void send_turn(const cw_forward_queue_t *queue, waiting_update_t *waiting, cw_send_allowance_t *allowance)
{
    size_t incomplete = 0;
    size_t index;

    for (index = 0; index < waiting->receiver_count && incomplete < CW_FORWARD_INCOMPLETE_MAX; index++) {
        receiver_t *receiver = &waiting->receivers[index];

        if (!cw_send_allowance_has_any(allowance)) {
            break;
        }
        send_next_pages(queue, waiting, receiver, allowance);
        incomplete += receiver->sent < waiting->pages.count ? 1 : 0;
    }
    drop_complete_receivers(waiting);
}

void cw_forward_queue_send(cw_forward_queue_t *queue, cw_send_allowance_t *allowance, cw_time_us_t now)
{
    size_t place = 0;

    cw_send_allowance_refill(allowance, now);
    while (place < queue->count) {
        waiting_update_t *waiting = &queue->updates[place];
        bool              is_whole = waiting->received == waiting->update.pages;

        if (is_whole) {
            send_turn(queue, waiting, allowance);
        }
        if (now - waiting->begun_at > CW_MS(CW_FORWARD_WAIT_MAX_MS) || (is_whole && waiting->receiver_count == 0)) {
            drop_update(queue, place);
        } else {
            place++;
        }
    }
}
