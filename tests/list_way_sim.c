/**
 * @file list_way_sim.c
 * @brief One leader, readers and nodes, in ticks of a node.
 */
#include "list_way_sim.h"

#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "model/list_evidence.h"
#include "peer/clock_offset.h"
#include "router/list_read_delay.h"
#include "router/list_renewal.h"
#include "router/store_availability.h"

enum {
    TICK_MS = 20,
    START_MS = 100000,  /* the clocks show this at the start */
    HEARTBEAT_MS = 300, /* interval of the leader's heartbeats */
    NOTICE_MS = 400,    /* of a reader's notices */
    WAY_MS = 2,         /* least time of a message on its way */
    READ_MIN_MS = 20,   /* of a reading that the store answers */
    READ_SPREAD_MS = 130,
    READ_TIMEOUT_MS = 1300,
    LAG_MS = 1000,        /* changes that an unchanged answer may lack */
    SHIFT_MAX_MS = 50000, /* of clocks against each other */
    COPY_AGE_MS = 9000,
    IN_FLIGHT_MAX = 8
};

/** What a message says: a list is valid at a time of the sender's clock. */
typedef struct message {
    cw_time_us_t arrives_at; /* true time; 0: no message */
    cw_time_us_t sent_at;    /* on the sender's clock */
    cw_time_us_t valid_at;   /* on the sender's clock */
    cw_time_us_t content_at; /* true time up to which the list holds all changes */
    uint32_t     sender;
} message_t;

/** A list as its owner knows it, and what it really holds. */
typedef struct known_list {
    cw_time_us_t valid_at;   /* on the owner's clock; 0: not known */
    cw_time_us_t content_at; /* true time */
} known_list_t;

/** A reading in flight. */
typedef struct reading {
    bool         is_active;
    bool         is_answered;
    cw_time_us_t sent_at; /* true time */
    cw_time_us_t ends_at;
} reading_t;

typedef struct sim_party {
    cw_time_us_t            shift; /* of its clock */
    known_list_t            list;
    reading_t               reading;
    cw_time_us_t            read_at; /* true time of its last reading */
    cw_store_availability_t store;
    cw_time_us_t            sends_at; /* next heartbeat or notice */
} sim_party_t;

typedef struct sim_node {
    sim_party_t       party;
    cw_clock_offset_t clocks[2]; /* of leader and reader */
    message_t         messages[IN_FLIGHT_MAX];
    cw_time_us_t      heartbeat_at; /* true time of the last one's arrival */
    cw_time_us_t      out_until;    /* true time until which it does not count as in touch */
    cw_time_us_t      started_at;
    uint32_t          hash;
} sim_node_t;

typedef struct sim {
    const list_way_setup_t *setup;
    list_way_result_t       result;
    cw_time_us_t            now; /* true time */
    uint64_t                random;
    sim_party_t             leader;
    sim_party_t             reader;
    sim_node_t             *nodes;
    uint64_t                reads_in_second;
} sim_t;

enum { FROM_LEADER, FROM_READER };

static uint64_t draw(sim_t *sim, uint64_t below)
{
    sim->random = sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return below == 0 ? 0 : (sim->random >> 33) % below;
}

static bool draw_bool(sim_t *sim, double part)
{
    return (double)draw(sim, 1000000) < part * 1e6;
}

static cw_time_us_t since_start(const sim_t *sim)
{
    return sim->now - CW_MS(START_MS);
}

static bool is_during(const sim_t *sim, int64_t at_ms, int64_t for_ms)
{
    return for_ms != 0 && since_start(sim) >= CW_MS(at_ms) && since_start(sim) < CW_MS(at_ms + for_ms);
}

static bool is_store_down(const sim_t *sim)
{
    return is_during(sim, sim->setup->store_fails_at_ms, sim->setup->store_fails_for_ms);
}

static bool has_leader_failed(const sim_t *sim)
{
    return is_during(sim, sim->setup->leader_fails_at_ms, sim->setup->leader_fails_for_ms);
}

static bool is_leader_cut(const sim_t *sim)
{
    return is_during(sim, sim->setup->leader_cut_at_ms, sim->setup->leader_cut_for_ms);
}

/* ---- readings ---- */

static void begin_reading(sim_t *sim, sim_party_t *party, bool is_reachable)
{
    int64_t takes_ms = is_reachable ? READ_MIN_MS + (int64_t)draw(sim, READ_SPREAD_MS) : READ_TIMEOUT_MS;

    party->read_at = sim->now;
    party->reading = (reading_t){
        .is_active = true, .is_answered = is_reachable, .sent_at = sim->now, .ends_at = sim->now + CW_MS(takes_ms)};
}

static void end_reading(sim_t *sim, sim_party_t *party)
{
    cw_time_us_t lag = sim->setup->is_paged ? CW_MS(LAG_MS) : 0;
    known_list_t read = {.valid_at = party->reading.sent_at - lag + party->shift,
                         .content_at = party->reading.sent_at - (cw_time_us_t)draw(sim, (uint64_t)lag)};

    if (!party->reading.is_active || sim->now < party->reading.ends_at) {
        return;
    }
    party->reading.is_active = false;
    (void)cw_store_availability_record(&party->store, party->reading.is_answered, party->reading.sent_at, sim->now);
    if (party->reading.is_answered && read.valid_at > party->list.valid_at) {
        party->list = read;
    }
}

/* ---- messages ---- */

/* A receiver takes the list with the message: changes that are lost are modelled as lost messages. */
static void send_to(sim_t *sim, sim_node_t *node, const sim_party_t *from, uint32_t sender)
{
    size_t index;

    if (draw_bool(sim, sim->setup->loss)) {
        return;
    }
    for (index = 0; index < IN_FLIGHT_MAX; index++) {
        if (node->messages[index].arrives_at == 0) {
            cw_time_us_t held = CW_MS((int64_t)draw(sim, (uint64_t)sim->setup->queue_ms + 1));

            node->messages[index] = (message_t){.arrives_at = sim->now + CW_MS(WAY_MS) + held,
                                                .sent_at = sim->now + from->shift,
                                                .valid_at = from->list.valid_at,
                                                .content_at = from->list.content_at,
                                                .sender = sender};
            return;
        }
    }
}

static void send_all(sim_t *sim, sim_party_t *from, uint32_t sender, int64_t interval_ms)
{
    size_t index;

    if (sim->now < from->sends_at || from->list.valid_at == 0) {
        return;
    }
    from->sends_at = sim->now + CW_MS(interval_ms);
    for (index = 0; index < sim->setup->nodes; index++) {
        send_to(sim, &sim->nodes[index], from, sender);
    }
}

static void receive(sim_t *sim, sim_node_t *node)
{
    size_t index;

    for (index = 0; index < IN_FLIGHT_MAX; index++) {
        message_t   *message = &node->messages[index];
        cw_time_us_t sent_at;
        cw_time_us_t valid_at;

        if (message->arrives_at == 0 || message->arrives_at > sim->now) {
            continue;
        }
        sent_at = cw_clock_offset_sent_at(&node->clocks[message->sender], message->sender + 1, message->sent_at,
                                          sim->now + node->party.shift);
        valid_at = sent_at - (message->sent_at - message->valid_at);
        if (valid_at > node->party.list.valid_at) {
            node->party.list = (known_list_t){.valid_at = valid_at, .content_at = message->content_at};
        }
        if (message->sender == FROM_LEADER) {
            node->heartbeat_at = sim->now;
        }
        message->arrives_at = 0;
    }
}

/* ---- leader and reader ---- */

static void tick_leader(sim_t *sim)
{
    const list_way_setup_t *setup = sim->setup;
    int64_t                 interval_ms = setup->drain_ms / (setup->is_paged ? 10 : 4);

    end_reading(sim, &sim->leader);
    if (has_leader_failed(sim)) {
        return;
    }
    if (!sim->leader.reading.is_active && sim->now - sim->leader.read_at >= CW_MS(interval_ms)) {
        begin_reading(sim, &sim->leader, !is_store_down(sim) && !is_leader_cut(sim));
    }
    send_all(sim, &sim->leader, FROM_LEADER, HEARTBEAT_MS);
}

static void tick_reader(sim_t *sim)
{
    const list_way_setup_t *setup = sim->setup;
    bool                    is_needed = has_leader_failed(sim) || is_leader_cut(sim);

    end_reading(sim, &sim->reader);
    if (!is_needed || setup->readers_fail) {
        return;
    }
    if (!sim->reader.reading.is_active && sim->now - sim->reader.read_at >= CW_MS(setup->drain_ms / 4)) {
        begin_reading(sim, &sim->reader, !is_store_down(sim));
    }
    send_all(sim, &sim->reader, FROM_READER, NOTICE_MS);
}

/* ---- nodes ---- */

static cw_list_renewal_t renewal_of(const sim_t *sim, const sim_node_t *node)
{
    const list_way_setup_t *setup = sim->setup;

    return (cw_list_renewal_t){.drain = CW_MS(setup->drain_ms),
                               .settle = CW_MS(setup->settle_ms),
                               .started_at = node->started_at + node->party.shift,
                               .valid_at = node->party.list.valid_at,
                               .window = cw_list_read_window(setup->nodes, setup->servers),
                               .node = node->hash,
                               .has_heartbeat = sim->now - node->heartbeat_at <
                                                CW_MS(setup->drain_ms) * CW_LIST_READER_PERCENT / 100,
                               .is_short = !setup->has_no_history};
}

/* Judges whether the node would send now, and on what. */
static void judge(sim_t *sim, sim_node_t *node, const cw_list_renewal_t *renewal)
{
    cw_time_us_t asked_at = node->party.reading.is_active ? node->party.reading.sent_at : 0;
    bool is_out = cw_store_availability_is_out(&node->party.store, asked_at, CW_MS(sim->setup->settle_ms), sim->now);
    bool is_bound = cw_list_renewal_is_binding(renewal, is_out, sim->now + node->party.shift);
    cw_time_us_t age = sim->now + node->party.shift - node->party.list.valid_at;
    bool         may_send = !is_bound || age <= cw_list_usable_age(CW_MS(sim->setup->drain_ms));
    cw_time_us_t true_age = sim->now - node->party.list.content_at;

    if (is_store_down(sim)) {
        node->out_until = sim->now + CW_MS(sim->setup->settle_ms);
    }
    if (sim->now < node->out_until) {
        return;
    }
    sim->result.allowed += may_send ? 1 : 0;
    sim->result.held += may_send ? 0 : 1;
    if (may_send && true_age > CW_MS(sim->result.oldest_ms)) {
        sim->result.oldest_ms = (true_age + 999) / 1000;
    }
}

static void tick_node(sim_t *sim, sim_node_t *node)
{
    cw_list_renewal_t renewal;

    receive(sim, node);
    end_reading(sim, &node->party);
    renewal = renewal_of(sim, node);
    if (!node->party.reading.is_active && sim->now - node->party.read_at >= CW_MS(sim->setup->drain_ms / 4) &&
        cw_list_renewal_is_due(&renewal, sim->now + node->party.shift)) {
        begin_reading(sim, &node->party, !is_store_down(sim));
        sim->result.reads++;
        sim->reads_in_second++;
    }
    judge(sim, node, &renewal);
}

static void begin_nodes(sim_t *sim)
{
    size_t index;

    for (index = 0; index < sim->setup->nodes; index++) {
        sim_node_t *node = &sim->nodes[index];

        node->party.shift = CW_MS((int64_t)draw(sim, SHIFT_MAX_MS));
        node->hash = (uint32_t)draw(sim, UINT32_MAX);
        node->started_at = sim->setup->starts_from_copies ? sim->now : sim->now - CW_SECONDS(60);
        node->out_until = node->started_at + CW_MS(sim->setup->settle_ms);
        node->party.list.content_at = sim->now - (sim->setup->starts_from_copies ? CW_MS(COPY_AGE_MS) : 0);
        node->party.list.valid_at = sim->setup->starts_from_copies ? 0 : sim->now + node->party.shift;
        node->party.read_at = sim->now;
        node->heartbeat_at = sim->now - CW_SECONDS(60);
    }
}

list_way_result_t list_way_sim_run(const list_way_setup_t *setup)
{
    sim_t        sim = {.setup = setup, .now = CW_MS(START_MS), .random = setup->seed};
    cw_time_us_t second_ends_at = sim.now + CW_SECONDS(1);
    size_t       index;

    sim.nodes = cw_memory_zeroed_items(setup->nodes, sizeof(*sim.nodes));
    begin_nodes(&sim);
    sim.leader.shift = CW_MS((int64_t)draw(&sim, SHIFT_MAX_MS));
    sim.reader.shift = CW_MS((int64_t)draw(&sim, SHIFT_MAX_MS));
    while (since_start(&sim) < CW_MS(setup->duration_ms)) {
        tick_leader(&sim);
        tick_reader(&sim);
        for (index = 0; index < setup->nodes; index++) {
            tick_node(&sim, &sim.nodes[index]);
        }
        sim.now += CW_MS(TICK_MS);
        if (sim.now >= second_ends_at) {
            sim.result.most_reads =
                sim.reads_in_second > sim.result.most_reads ? sim.reads_in_second : sim.result.most_reads;
            sim.reads_in_second = 0;
            second_ends_at += CW_SECONDS(1);
        }
    }
    free(sim.nodes);
    return sim.result;
}
