/**
 * @file list_exchange.c
 * @brief From which node the list is requested, and to which nodes it is sent.
 */
#include "router/list_exchange.h"

#include <stdlib.h>

#include "base/memory.h"

enum {
    RETRY_MS = 300,       /* a window takes 0.1 s if the sending node serves one node at a time, and 0.3 s with three */
    SLOW_RETRY_MS = 2000, /* the leader sends the list after WHOLE_WAIT_MS and WHOLE_WAIT_PER_NODE_MS (router_push.c) */
    UNANSWERED_MAX = 2,   /* nodes asked one after the other before the slow retry */
    REDIRECT_MS = 20,     /* the named node may not have received the last page itself yet */
    /* Three intervals of the leader's heartbeats, IDLE_INTERVAL_MS each (router_peers.c). */
    HEARTBEAT_TIMEOUT_MS = 1000,
    HOLDERS_MAX = 64,   /* nodes of the zone known to have a list: more than are asked during one transfer */
    TRANSFERS_MAX = 10, /* simultaneous transfers: as many as small links fit into this node's link, so that each
                         * ends soon and its receiver serves others */
    TRANSFER_BYTES_PER_S = 800000, /* a third of 20 Mbit/s */
    WAITING_MAX = 64,              /* requests kept while all transfers are in use */
    TRANSFER_IDLE_MS = 300,        /* a node that sends no request for so long has left, or asks another node */
    SERVED_MAX = 16,               /* kept addresses of nodes that received the list from this one */
    BURST_MS = 200                 /* part of the allowance that may be sent at once */
};

/** A node to which the list is being sent window by window. */
typedef struct transfer {
    uint32_t         address;      /**< 0: none */
    cw_time_us_t     requested_at; /**< last request */
    cw_list_window_t window;       /**< pages to be sent as soon as the allowance permits; count 0: none */
} transfer_t;

/** A request that arrived while all transfers were in use. */
typedef struct waiting {
    uint32_t         address;
    cw_time_us_t     requested_at;
    cw_list_window_t window;
} waiting_request_t;

/** A node of the zone and the list that it has. */
typedef struct holder {
    uint32_t     address;
    cw_list_id_t has;
} holder_t;

struct cw_list_exchange {
    cw_list_exchange_owner_t owner;

    /* requests */
    cw_list_id_t wanted;    /**< newest list that the leader named; version 0: none */
    cw_time_us_t wanted_at; /**< last heartbeat that named a list */
    /** The list being requested: the wanted one, or an earlier one of its term; version 0: none. */
    cw_list_id_t target;
    cw_list_id_t rejected;         /**< list that was received whole, but has not come into force */
    uint32_t     missing;          /**< first page of the target that has not been received */
    uint32_t     window_end;       /**< pages below this one have been requested */
    uint32_t     unanswered;       /**< requests since the last page was received */
    cw_time_us_t next_request_at;  /**< no request is sent before this time */
    uint32_t     redirect_address; /**< node that a redirect named; 0: holders are asked in rotation */
    uint32_t     round_robin;      /**< rotation through the holders */
    uint32_t     last_asked;       /**< node to which the last request was sent */
    holder_t     holders[HOLDERS_MAX];
    size_t       holder_count;
    size_t       next_holder; /**< index of the one to be replaced when the table is full */

    /* replies */
    double            allowance; /**< bytes that may be sent now */
    cw_time_us_t      filled_at;
    cw_list_id_t      sent; /**< list that was sent last; `served` are the nodes that received it */
    transfer_t        transfers[TRANSFERS_MAX];
    size_t            transfer_count;       /* simultaneous transfers allowed */
    waiting_request_t waiting[WAITING_MAX]; /* in order of arrival */
    size_t            waiting_count;
    uint32_t          served[SERVED_MAX];
    size_t            served_count;
    size_t            served_next; /**< index of the next one to be named in a redirect */
};

static size_t transfer_count_for(double bytes_per_s)
{
    double count = bytes_per_s / TRANSFER_BYTES_PER_S;

    return count < 1 ? 1 : count > TRANSFERS_MAX ? TRANSFERS_MAX : (size_t)count;
}

cw_list_exchange_t *cw_list_exchange_create(const cw_list_exchange_owner_t *owner)
{
    cw_list_exchange_t *exchange = cw_memory_zeroed(sizeof(*exchange));

    exchange->owner = *owner;
    exchange->round_robin = owner->own_address;
    exchange->transfer_count = transfer_count_for(owner->bytes_per_s);
    return exchange;
}

void cw_list_exchange_destroy(cw_list_exchange_t *exchange)
{
    free(exchange);
}

static bool is_same(cw_list_id_t one, cw_list_id_t other)
{
    return one.term == other.term && one.version == other.version;
}

/* ---- requests ---- */

static void set_target(cw_list_exchange_t *exchange, cw_list_id_t target)
{
    exchange->target = target;
    exchange->missing = 0;
    exchange->window_end = 0;
}

static bool is_receiving(const cw_list_exchange_t *exchange)
{
    return exchange->missing > 0 && exchange->unanswered <= UNANSWERED_MAX;
}

void cw_list_exchange_set_wanted(cw_list_exchange_t *exchange, cw_list_id_t wanted, cw_list_id_t has, cw_time_us_t now)
{
    if (wanted.term < exchange->wanted.term) {
        return; /* sent by an earlier leader */
    }
    if (wanted.term != exchange->wanted.term) {
        exchange->holder_count = 0;
        exchange->next_holder = 0;
        exchange->redirect_address = 0;
        exchange->unanswered = 0;
        exchange->next_request_at = now;
    }
    exchange->wanted = wanted;
    exchange->wanted_at = now;
    if (has.term == wanted.term && has.version != 0) {
        set_target(exchange, (cw_list_id_t){0});
    } else if (exchange->target.term != wanted.term || exchange->target.version == 0 || !is_receiving(exchange)) {
        if (!is_same(exchange->target, wanted)) {
            set_target(exchange, wanted);
        }
    }
}

static holder_t *find_holder(cw_list_exchange_t *exchange, uint32_t address)
{
    size_t index;

    for (index = 0; index < exchange->holder_count; index++) {
        if (exchange->holders[index].address == address) {
            return &exchange->holders[index];
        }
    }
    return NULL;
}

static bool covers_target(const cw_list_exchange_t *exchange, cw_list_id_t has)
{
    return exchange->target.version != 0 && has.term == exchange->target.term &&
           has.version >= exchange->target.version;
}

/* Called when a further node has the list: the nodes that did not reply were busy with others, or have ended. */
static void resume_requests(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    cw_time_us_t retry_at = now + CW_MS(RETRY_MS);

    if (exchange->unanswered >= UNANSWERED_MAX) {
        exchange->unanswered = 0;
        exchange->next_request_at = exchange->next_request_at < retry_at ? exchange->next_request_at : retry_at;
    }
}

static holder_t *add_holder(cw_list_exchange_t *exchange, uint32_t address)
{
    holder_t *holder;

    if (exchange->holder_count < HOLDERS_MAX) {
        holder = &exchange->holders[exchange->holder_count++];
    } else {
        holder = &exchange->holders[exchange->next_holder];
        exchange->next_holder = (exchange->next_holder + 1) % HOLDERS_MAX;
    }
    *holder = (holder_t){.address = address};
    return holder;
}

void cw_list_exchange_record_holder(cw_list_exchange_t *exchange, uint32_t address, cw_list_id_t has, cw_time_us_t now)
{
    holder_t *holder = find_holder(exchange, address);

    if (holder == NULL && (has.version == 0 || has.term < exchange->wanted.term)) {
        return;
    }
    holder = holder == NULL ? add_holder(exchange, address) : holder;
    if (covers_target(exchange, has) && !covers_target(exchange, holder->has)) {
        resume_requests(exchange, now);
    }
    holder->has = has;
}

/* True if the holder has not replied to this node's last request, and there is another one. */
static bool left_request_unanswered(const cw_list_exchange_t *exchange, const holder_t *holder)
{
    return exchange->unanswered > 0 && exchange->holder_count > 1 && holder->address == exchange->last_asked;
}

/* The next node in rotation that has the target, or a later list of its term; 0: none. */
static uint32_t choose_holder(cw_list_exchange_t *exchange)
{
    size_t step;

    for (step = 0; step < exchange->holder_count; step++) {
        const holder_t *holder = &exchange->holders[exchange->round_robin++ % exchange->holder_count];

        if (covers_target(exchange, holder->has) && !left_request_unanswered(exchange, holder)) {
            return holder->address;
        }
    }
    return 0;
}

static void send_request(cw_list_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    cw_list_window_t window = {.of = exchange->target, .first = exchange->missing, .count = CW_LIST_WINDOW_PAGES};

    exchange->last_asked = address;
    exchange->redirect_address = 0;
    exchange->window_end = window.first + window.count;
    exchange->unanswered++;
    exchange->next_request_at = now + CW_MS(exchange->unanswered < UNANSWERED_MAX ? RETRY_MS : SLOW_RETRY_MS);
    exchange->owner.request(exchange->owner.context, address, &window);
}

static void request_if_due(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    uint32_t address;

    if (exchange->target.version == 0 || is_same(exchange->target, exchange->rejected) ||
        now < exchange->next_request_at || now - exchange->wanted_at > CW_MS(HEARTBEAT_TIMEOUT_MS)) {
        return;
    }
    address = exchange->redirect_address != 0 ? exchange->redirect_address : choose_holder(exchange);
    if (address != 0) {
        send_request(exchange, address, now);
    }
}

void cw_list_exchange_page_received(cw_list_exchange_t *exchange, cw_list_id_t of, uint32_t next_missing,
                                    uint32_t pages, cw_time_us_t now)
{
    if (exchange->target.version == 0 || of.term != exchange->target.term || of.version < exchange->target.version) {
        return;
    }
    if (of.version > exchange->target.version) {
        set_target(exchange, of);
    }
    exchange->missing = next_missing;
    exchange->unanswered = 0;
    exchange->next_request_at = now + CW_MS(RETRY_MS);
    if (next_missing >= pages) {
        exchange->rejected = of; /* has no effect if the list is in force at the next heartbeat */
    } else if (next_missing >= exchange->window_end && exchange->last_asked != 0) {
        send_request(exchange, exchange->last_asked, now);
    }
}

void cw_list_exchange_redirected(cw_list_exchange_t *exchange, cw_list_id_t of, uint32_t other_holder, cw_time_us_t now)
{
    if (!is_same(of, exchange->target) || exchange->target.version == 0 ||
        other_holder == exchange->owner.own_address) {
        return;
    }
    exchange->redirect_address = other_holder;
    exchange->unanswered = 0;
    exchange->next_request_at = now + CW_MS(REDIRECT_MS);
}

/* ---- replies ---- */

/* Returns true if more may be sent now. */
static bool refill_allowance(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    double burst_bytes = exchange->owner.bytes_per_s * BURST_MS / 1000;

    exchange->allowance += exchange->owner.bytes_per_s * (double)(now - exchange->filled_at) / 1e6;
    exchange->allowance = exchange->allowance > burst_bytes ? burst_bytes : exchange->allowance;
    exchange->filled_at = now;
    return exchange->owner.bytes_per_s == 0 || exchange->allowance > 0;
}

static bool is_idle(const transfer_t *transfer, cw_time_us_t now)
{
    return transfer->window.count == 0 && now - transfer->requested_at > CW_MS(TRANSFER_IDLE_MS);
}

/* The entry of this node's transfer, or a free one; NULL: all are in use. */
static transfer_t *find_transfer(cw_list_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    transfer_t *found = NULL;
    size_t      index;

    for (index = 0; index < exchange->transfer_count; index++) {
        transfer_t *transfer = &exchange->transfers[index];

        if (transfer->address == address) {
            return transfer;
        }
        if (transfer->address == 0 || is_idle(transfer, now)) {
            found = transfer;
        }
    }
    return found;
}

static void remove_waiting(cw_list_exchange_t *exchange, uint32_t address)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < exchange->waiting_count; index++) {
        if (exchange->waiting[index].address != address) {
            exchange->waiting[kept++] = exchange->waiting[index];
        }
    }
    exchange->waiting_count = kept;
}

/* Keeps a request until a transfer ends. A request that is too old by that time is dropped, since its sender has asked
 * another node. */
static void enqueue_waiting(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window,
                            cw_time_us_t now)
{
    remove_waiting(exchange, address);
    if (exchange->waiting_count < WAITING_MAX) { /* otherwise the node repeats its request */
        exchange->waiting[exchange->waiting_count++] =
            (waiting_request_t){.address = address, .requested_at = now, .window = *window};
    }
}

static void redirect(cw_list_exchange_t *exchange, uint32_t address, cw_list_id_t of)
{
    uint32_t other_holder;

    if (exchange->served_count == 0 || !is_same(of, exchange->sent)) {
        return; /* the node repeats its request */
    }
    other_holder = exchange->served[exchange->served_next++ % exchange->served_count];
    if (other_holder != address) {
        exchange->owner.redirect(exchange->owner.context, address, of, other_holder);
    }
}

static void set_sent_list(cw_list_exchange_t *exchange, cw_list_id_t of)
{
    if (!is_same(of, exchange->sent)) {
        exchange->sent = of;
        exchange->served_count = 0;
    }
}

static void end_transfer(cw_list_exchange_t *exchange, transfer_t *transfer)
{
    if (exchange->served_count < SERVED_MAX) {
        exchange->served[exchange->served_count++] = transfer->address;
    }
    *transfer = (transfer_t){0};
}

static void send_window(cw_list_exchange_t *exchange, transfer_t *transfer)
{
    cw_list_window_t window = transfer->window;
    bool             is_last = false;
    size_t           bytes = exchange->owner.send_pages(exchange->owner.context, transfer->address, &window, &is_last);

    transfer->window.count = 0;
    if (bytes == 0) { /* this node does not have that list */
        *transfer = (transfer_t){0};
        return;
    }
    set_sent_list(exchange, window.of);
    exchange->allowance -= (double)bytes;
    if (is_last) {
        end_transfer(exchange, transfer);
    }
}

/* Starts transfers for waiting requests while there are free ones. */
static void start_waiting_transfers(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    while (exchange->waiting_count > 0) {
        waiting_request_t first = exchange->waiting[0];
        transfer_t       *transfer = find_transfer(exchange, first.address, now);

        if (transfer == NULL) {
            return;
        }
        remove_waiting(exchange, first.address);
        if (now - first.requested_at <= CW_MS(RETRY_MS)) {
            *transfer = (transfer_t){.address = first.address, .requested_at = now, .window = first.window};
        }
    }
}

static void send_pending_windows(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    size_t index;

    start_waiting_transfers(exchange, now);
    for (index = 0; index < exchange->transfer_count; index++) {
        if (exchange->transfers[index].window.count > 0 && refill_allowance(exchange, now)) {
            send_window(exchange, &exchange->transfers[index]);
        }
    }
}

void cw_list_exchange_handle_request(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window,
                                     cw_time_us_t now)
{
    transfer_t *transfer = find_transfer(exchange, address, now);

    if (transfer == NULL) {
        enqueue_waiting(exchange, address, window, now);
        redirect(exchange, address, window->of);
        return;
    }
    remove_waiting(exchange, address);
    *transfer = (transfer_t){.address = address, .requested_at = now, .window = *window};
    send_pending_windows(exchange, now);
}

void cw_list_exchange_tick(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    send_pending_windows(exchange, now);
    request_if_due(exchange, now);
}
