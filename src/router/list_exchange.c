/**
 * @file list_exchange.c
 * @brief Whom a node asks for the list, and whom it answers.
 */
#include "router/list_exchange.h"

#include <stdlib.h>

#include "base/memory.h"

enum {
    ASK_AGAIN_MS = 300,   /* a window takes 0.1 s where the answering node serves one at a time, 0.3 s with three */
    ASK_RARELY_MS = 2000, /* the leader's own list comes within WHOLE_WAIT_MS and WHOLE_WAIT_NODE_MS (router_push.c) */
    ASKS_IN_VAIN = 2,     /* nodes asked one after the other, before that */
    REDIRECT_MS = 20,     /* the node that is named may not have the last page itself yet */
    HEARTBEATS_MS = 1000, /* three heartbeats of the leader, of LEADER_PAUSE_MS each */
    HOLDERS_MAX = 64,     /* nodes of the zone known to have the list: more than are asked while it comes */
    TRANSFERS_MAX = 10,   /* at a time: one for each small link that fits in this node's, so that each ends soon and
                           * the node that got it serves others */
    TRANSFER_BYTES_PER_S = 800000, /* a third of 20 Mbit/s */
    WAITING_MAX = 64,              /* nodes that have asked while all transfers were taken */
    TRANSFER_IDLE_MS = 300,        /* a node that asks no more has left, or asks another one */
    SERVED_MAX = 16,               /* nodes remembered that have got the list from this one */
    BURST_MS = 200                 /* of the allowance, that may be sent at once */
};

/** A node that is being sent the list window by window. */
typedef struct transfer {
    uint32_t         address;  /**< 0: none */
    cw_time_us_t     asked_at; /**< last */
    cw_list_window_t window;   /**< to be sent as soon as the allowance is there; count 0: none */
} transfer_t;

/** A node that asked while all transfers were taken. */
typedef struct waiting {
    uint32_t         address;
    cw_time_us_t     asked_at;
    cw_list_window_t window;
} waiting_t;

/** A node of the zone and the list that it has. */
typedef struct holder {
    uint32_t          address;
    cw_list_version_t has;
} holder_t;

struct cw_list_exchange {
    cw_list_exchange_owner_t owner;

    /* asking */
    cw_list_version_t wanted;     /**< number 0: nothing is asked for */
    cw_time_us_t      wanted_at;  /**< last heartbeat that named one */
    cw_list_version_t target;     /**< the list whose pages are asked for: as wanted, or an earlier one of its term */
    cw_list_version_t refused;    /**< it came whole, and is not the one in force */
    uint32_t          missing;    /**< first page of the target that has not come */
    uint32_t          window_end; /**< pages below this one were asked for */
    uint32_t          in_vain;    /**< requests since the last page */
    cw_time_us_t      ask_at;
    uint32_t          redirected_to; /**< 0: by turns */
    uint32_t          turn;
    uint32_t          asked; /**< last */
    holder_t          holders[HOLDERS_MAX];
    size_t            holder_count;
    size_t            next_holder; /**< to be replaced when there are more */

    /* answering */
    double            allowance; /**< bytes that may be sent now */
    cw_time_us_t      filled_at;
    cw_list_version_t sent; /**< the list that was sent last */
    transfer_t        transfers[TRANSFERS_MAX];
    size_t            transfer_count;       /* at a time */
    waiting_t         waiting[WAITING_MAX]; /* the earliest first */
    size_t            waiting_count;
    uint32_t          served[SERVED_MAX];
    size_t            served_count;
    size_t            served_next; /**< the one to be named next */
};

static size_t transfers_of(double bytes_per_s)
{
    double count = bytes_per_s / TRANSFER_BYTES_PER_S;

    return count < 1 ? 1 : count > TRANSFERS_MAX ? TRANSFERS_MAX : (size_t)count;
}

cw_list_exchange_t *cw_list_exchange_create(const cw_list_exchange_owner_t *owner)
{
    cw_list_exchange_t *exchange = cw_memory_zeroed(sizeof(*exchange));

    exchange->owner = *owner;
    exchange->turn = owner->own_address;
    exchange->transfer_count = transfers_of(owner->bytes_per_s);
    return exchange;
}

void cw_list_exchange_destroy(cw_list_exchange_t *exchange)
{
    free(exchange);
}

static bool is_same(cw_list_version_t one, cw_list_version_t other)
{
    return one.term == other.term && one.number == other.number;
}

/* ---- asking ---- */

static void begin_target(cw_list_exchange_t *exchange, cw_list_version_t target)
{
    exchange->target = target;
    exchange->missing = 0;
    exchange->window_end = 0;
}

static bool is_receiving(const cw_list_exchange_t *exchange)
{
    return exchange->missing > 0 && exchange->in_vain <= ASKS_IN_VAIN;
}

void cw_list_exchange_want(cw_list_exchange_t *exchange, cw_list_version_t wanted, cw_list_version_t has,
                           cw_time_us_t now)
{
    if (wanted.term < exchange->wanted.term) {
        return; /* of an earlier leader */
    }
    if (wanted.term != exchange->wanted.term) {
        exchange->holder_count = 0;
        exchange->next_holder = 0;
        exchange->redirected_to = 0;
        exchange->in_vain = 0;
        exchange->ask_at = now;
    }
    exchange->wanted = wanted;
    exchange->wanted_at = now;
    if (has.term == wanted.term && has.number != 0) {
        begin_target(exchange, (cw_list_version_t){0});
    } else if (exchange->target.term != wanted.term || exchange->target.number == 0 || !is_receiving(exchange)) {
        if (!is_same(exchange->target, wanted)) {
            begin_target(exchange, wanted);
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

static bool has_target(const cw_list_exchange_t *exchange, cw_list_version_t has)
{
    return exchange->target.number != 0 && has.term == exchange->target.term && has.number >= exchange->target.number;
}

/* One more node can be asked: those that were asked in vain were busy with others, or are gone. */
static void begin_turns(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    cw_time_us_t soon = now + CW_MS(ASK_AGAIN_MS);

    if (exchange->in_vain >= ASKS_IN_VAIN) {
        exchange->in_vain = 0;
        exchange->ask_at = exchange->ask_at < soon ? exchange->ask_at : soon;
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

void cw_list_exchange_note(cw_list_exchange_t *exchange, uint32_t address, cw_list_version_t has, cw_time_us_t now)
{
    holder_t *holder = find_holder(exchange, address);

    if (holder == NULL && (has.number == 0 || has.term < exchange->wanted.term)) {
        return;
    }
    holder = holder == NULL ? add_holder(exchange, address) : holder;
    if (has_target(exchange, has) && !has_target(exchange, holder->has)) {
        begin_turns(exchange, now);
    }
    holder->has = has;
}

/* It has not answered this node's last request. */
static bool is_silent(const cw_list_exchange_t *exchange, const holder_t *holder)
{
    return exchange->in_vain > 0 && exchange->holder_count > 1 && holder->address == exchange->asked;
}

/* The next one by turns that has the list, or a later one of its term; 0: none. */
static uint32_t choose_holder(cw_list_exchange_t *exchange)
{
    size_t step;

    for (step = 0; step < exchange->holder_count; step++) {
        const holder_t *holder = &exchange->holders[exchange->turn++ % exchange->holder_count];

        if (has_target(exchange, holder->has) && !is_silent(exchange, holder)) {
            return holder->address;
        }
    }
    return 0;
}

static void ask(cw_list_exchange_t *exchange, uint32_t address, cw_time_us_t now)
{
    cw_list_window_t window = {.of = exchange->target, .first = exchange->missing, .count = CW_LIST_WINDOW_PAGES};

    exchange->asked = address;
    exchange->redirected_to = 0;
    exchange->window_end = window.first + window.count;
    exchange->in_vain++;
    exchange->ask_at = now + CW_MS(exchange->in_vain < ASKS_IN_VAIN ? ASK_AGAIN_MS : ASK_RARELY_MS);
    exchange->owner.request(exchange->owner.context, address, &window);
}

static void ask_due(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    uint32_t address;

    if (exchange->target.number == 0 || is_same(exchange->target, exchange->refused) || now < exchange->ask_at ||
        now - exchange->wanted_at > CW_MS(HEARTBEATS_MS)) {
        return;
    }
    address = exchange->redirected_to != 0 ? exchange->redirected_to : choose_holder(exchange);
    if (address != 0) {
        ask(exchange, address, now);
    }
}

void cw_list_exchange_page_came(cw_list_exchange_t *exchange, cw_list_version_t of, uint32_t next_missing,
                                uint32_t pages, cw_time_us_t now)
{
    if (exchange->target.number == 0 || of.term != exchange->target.term || of.number < exchange->target.number) {
        return;
    }
    if (of.number > exchange->target.number) {
        begin_target(exchange, of);
    }
    exchange->missing = next_missing;
    exchange->in_vain = 0;
    exchange->ask_at = now + CW_MS(ASK_AGAIN_MS);
    if (next_missing >= pages) {
        exchange->refused = of; /* unless the next heartbeat finds it in force */
    } else if (next_missing >= exchange->window_end && exchange->asked != 0) {
        ask(exchange, exchange->asked, now);
    }
}

void cw_list_exchange_redirected(cw_list_exchange_t *exchange, cw_list_version_t of, uint32_t instead, cw_time_us_t now)
{
    if (!is_same(of, exchange->target) || exchange->target.number == 0 || instead == exchange->owner.own_address) {
        return;
    }
    exchange->redirected_to = instead;
    exchange->in_vain = 0;
    exchange->ask_at = now + CW_MS(REDIRECT_MS);
}

/* ---- answering ---- */

/* May more be sent now? */
static bool refill_allowance(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    double most = exchange->owner.bytes_per_s * BURST_MS / 1000;

    exchange->allowance += exchange->owner.bytes_per_s * (double)(now - exchange->filled_at) / 1e6;
    exchange->allowance = exchange->allowance > most ? most : exchange->allowance;
    exchange->filled_at = now;
    return exchange->owner.bytes_per_s == 0 || exchange->allowance > 0;
}

static bool is_idle(const transfer_t *transfer, cw_time_us_t now)
{
    return transfer->window.count == 0 && now - transfer->asked_at > CW_MS(TRANSFER_IDLE_MS);
}

/* The place of this node's transfer, or one for it; NULL: all are taken. */
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

static void forget_waiting(cw_list_exchange_t *exchange, uint32_t address)
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

/* It is served as soon as a transfer ends, unless it has asked another node by then. */
static void let_wait(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window, cw_time_us_t now)
{
    forget_waiting(exchange, address);
    if (exchange->waiting_count < WAITING_MAX) { /* else it asks again */
        exchange->waiting[exchange->waiting_count++] =
            (waiting_t){.address = address, .asked_at = now, .window = *window};
    }
}

static void redirect(cw_list_exchange_t *exchange, uint32_t address, cw_list_version_t of)
{
    uint32_t instead;

    if (exchange->served_count == 0 || !is_same(of, exchange->sent)) {
        return; /* it asks again */
    }
    instead = exchange->served[exchange->served_next++ % exchange->served_count];
    if (instead != address) {
        exchange->owner.redirect(exchange->owner.context, address, of, instead);
    }
}

static void begin_sending(cw_list_exchange_t *exchange, cw_list_version_t of)
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
    if (bytes == 0) { /* this node has another list */
        *transfer = (transfer_t){0};
        return;
    }
    begin_sending(exchange, window.of);
    exchange->allowance -= (double)bytes;
    if (is_last) {
        end_transfer(exchange, transfer);
    }
}

/* Transfers that are free go to those that wait. */
static void begin_waiting(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    while (exchange->waiting_count > 0) {
        waiting_t   first = exchange->waiting[0];
        transfer_t *transfer = find_transfer(exchange, first.address, now);

        if (transfer == NULL) {
            return;
        }
        forget_waiting(exchange, first.address);
        if (now - first.asked_at <= CW_MS(ASK_AGAIN_MS)) {
            *transfer = (transfer_t){.address = first.address, .asked_at = now, .window = first.window};
        }
    }
}

static void send_due(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    size_t index;

    begin_waiting(exchange, now);
    for (index = 0; index < exchange->transfer_count; index++) {
        if (exchange->transfers[index].window.count > 0 && refill_allowance(exchange, now)) {
            send_window(exchange, &exchange->transfers[index]);
        }
    }
}

void cw_list_exchange_take_request(cw_list_exchange_t *exchange, uint32_t address, const cw_list_window_t *window,
                                   cw_time_us_t now)
{
    transfer_t *transfer = find_transfer(exchange, address, now);

    if (transfer == NULL) {
        let_wait(exchange, address, window, now);
        redirect(exchange, address, window->of);
        return;
    }
    forget_waiting(exchange, address);
    *transfer = (transfer_t){.address = address, .asked_at = now, .window = *window};
    send_due(exchange, now);
}

void cw_list_exchange_tick(cw_list_exchange_t *exchange, cw_time_us_t now)
{
    send_due(exchange, now);
    ask_due(exchange, now);
}
