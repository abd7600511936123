/**
 * @file view_sim.c
 * @brief Nodes with lists of their own, in ticks.
 */
#include "view_sim.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "model/server_view.h"
#include "router/list_read_delay.h"
#include "router/list_renewal.h"
#include "router/store_availability.h"

enum {
    SERVERS = 12,
    TICK_MS = 20,
    START_MS = 100000,
    HEARTBEAT_MS = 300,
    NOTICE_MS = 400,
    WAY_MS = 2,
    QUEUE_MS = 300, /* longest time for which a message is held up */
    READ_MIN_MS = 20,
    READ_SPREAD_MS = 130,
    READ_TIMEOUT_MS = 1300,
    CONTACT_MS = 3000, /* a node counts as in touch when nothing has befallen it for so long */
    SERVER_HEARTBEAT_MS = 1300,
    CHANGE_MS = 350,   /* mean interval between changes of servers */
    ELECTION_MS = 900, /* without a leader */
    FAULT_MAX_MS = 4500,
    FAULTS_MAX = 24,
    LOSS_PERCENT = 3,
    IN_FLIGHT_MAX = 12,
    READERS = 3
};

/** A server as the store has it. */
typedef struct sim_server {
    bool         is_listed;
    bool         is_draining;
    cw_time_us_t left_at; /* since when the store has it as draining or gone; 0: it has not left */
    uint64_t     sequence;
    unsigned     incarnation; /* one that has left does not come back, another one does */
} sim_server_t;

/** A list, a heartbeat or a notice on its way. */
typedef struct sim_message {
    enum { NO_MESSAGE, HEARTBEAT, LIST, NOTICE } kind;
    cw_time_us_t      arrives_at;
    uint64_t          term;
    uint64_t          version;
    uint64_t          revision;
    uint64_t          hash;
    cw_time_us_t      valid_at;
    cw_server_list_t *list;
} sim_message_t;

/** A reading in flight. */
typedef struct sim_reading {
    bool              is_active;
    cw_time_us_t      sent_at;
    cw_time_us_t      ends_at;
    cw_server_list_t *list; /* NULL: it gets no answer */
    uint64_t          revision;
} sim_reading_t;

typedef struct sim_node {
    cw_server_view_t        view;
    cw_store_availability_t store;
    sim_reading_t           reading;
    cw_time_us_t            read_at;
    cw_time_us_t            heartbeat_at;
    uint64_t                term;    /* of the leader that it follows */
    uint64_t                version; /* of that leader's list that is in force; 0: another list is */
    sim_message_t           messages[IN_FLIGHT_MAX];
    cw_time_us_t            sends_at;
    cw_time_us_t            out_until; /* it does not count as in touch */
    uint32_t                hash;
} sim_node_t;

/** Something that befalls a node. */
typedef struct sim_fault {
    enum { CUT_FROM_STORE, REFUSED_BY_STORE, CUT_IN, CUT_OUT, END_OF_LEADER } kind;
    size_t       node;
    cw_time_us_t from;
    cw_time_us_t until;
} sim_fault_t;

typedef struct sim {
    const view_sim_setup_t *setup;
    view_sim_result_t       result;
    cw_time_us_t            now;
    uint64_t                random;
    sim_server_t            servers[SERVERS];
    uint64_t                revision;
    sim_node_t             *nodes;
    sim_fault_t             faults[FAULTS_MAX];
    size_t                  fault_count;
    size_t                  leader;
    cw_time_us_t            leads_from; /* nobody leads before */
    uint64_t                term;
    uint64_t                version; /* of the leader's list */
    cw_time_us_t            changes_at;
} sim_t;

static uint64_t draw(sim_t *sim, uint64_t below)
{
    sim->random = sim->random * 6364136223846793005ULL + 1442695040888963407ULL;
    return (sim->random >> 33) % below;
}

static cw_time_us_t drain(const sim_t *sim)
{
    return CW_MS(sim->setup->drain_ms);
}

static bool is_leading(const sim_t *sim, size_t index)
{
    return sim->leader == index && sim->now >= sim->leads_from;
}

/* ---- the store ---- */

static void change_server(sim_t *sim)
{
    sim_server_t *server = &sim->servers[draw(sim, SERVERS)];

    sim->revision++;
    server->sequence++;
    if (!server->is_listed) {
        *server = (sim_server_t){.is_listed = true, .sequence = 1, .incarnation = server->incarnation + 1};
    } else if (!server->is_draining && draw(sim, 2) == 0) {
        server->is_draining = true;
        server->left_at = sim->now;
        sim->result.left++;
    } else {
        sim->result.left += server->left_at == 0 ? 1 : 0;
        server->left_at = server->left_at == 0 ? sim->now : server->left_at;
        server->is_listed = false;
    }
}

static void server_id(char id[32], const sim_server_t *server, size_t index)
{
    snprintf(id, 32, "i-%02zu-%u", index, server->incarnation);
}

static cw_server_list_t *list_of_store(const sim_t *sim)
{
    cw_server_list_t *list = cw_server_list_create();
    size_t            index;

    for (index = 0; index < SERVERS; index++) {
        const sim_server_t *server = &sim->servers[index];
        cw_server_entry_t  *entry;
        char                id[32];

        if (!server->is_listed) {
            continue;
        }
        server_id(id, server, index);
        entry = cw_server_list_add(list);
        entry->id = strdup(id);
        entry->service = strdup("s");
        entry->address = strdup(id);
        entry->zone = strdup("z");
        entry->capacity = 2;
        entry->draining = server->is_draining;
        entry->sequence = server->sequence;
    }
    cw_server_list_seal(list);
    return list;
}

/* ---- faults ---- */

static bool is_befallen(const sim_t *sim, size_t node, int kind)
{
    size_t index;

    for (index = 0; index < sim->fault_count; index++) {
        const sim_fault_t *fault = &sim->faults[index];

        if ((int)fault->kind == kind && fault->node == node && sim->now >= fault->from && sim->now < fault->until) {
            return true;
        }
    }
    return false;
}

static bool reaches_store(const sim_t *sim, size_t node)
{
    return !is_befallen(sim, node, CUT_FROM_STORE) && !is_befallen(sim, node, REFUSED_BY_STORE);
}

static void begin_faults(sim_t *sim)
{
    int64_t index;

    if (sim->setup->leader_cut_ms > 0) {
        sim->faults[sim->fault_count++] =
            (sim_fault_t){.kind = CUT_FROM_STORE,
                          .node = sim->leader,
                          .from = sim->now + CW_SECONDS(2),
                          .until = sim->now + CW_SECONDS(2) + CW_MS(sim->setup->leader_cut_ms)};
    }
    for (index = 0; index < sim->setup->other_faults && sim->fault_count < FAULTS_MAX; index++) {
        cw_time_us_t from = sim->now + CW_MS((int64_t)draw(sim, (uint64_t)sim->setup->duration_ms));
        size_t       node = draw(sim, 2) == 0 ? draw(sim, READERS + 1) : draw(sim, sim->setup->nodes);

        sim->faults[sim->fault_count++] = (sim_fault_t){.kind = draw(sim, END_OF_LEADER + 1),
                                                        .node = node,
                                                        .from = from,
                                                        .until = from + CW_MS(100 + (int64_t)draw(sim, FAULT_MAX_MS))};
    }
}

static void change_leader(sim_t *sim)
{
    size_t index;

    for (index = 0; index < sim->fault_count; index++) {
        sim_fault_t *fault = &sim->faults[index];

        if (fault->kind == END_OF_LEADER && fault->until != 0 && sim->now >= fault->from) {
            fault->until = 0;
            sim->leader = draw(sim, sim->setup->nodes);
            sim->leads_from = sim->now + CW_MS((int64_t)draw(sim, ELECTION_MS));
            sim->term++;
            sim->version = 1;
            sim->result.leaders++;
        }
    }
}

/* ---- readings ---- */

static void begin_reading(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    bool        is_refused = is_befallen(sim, index, REFUSED_BY_STORE);
    int64_t     takes_ms = READ_TIMEOUT_MS;

    if (reaches_store(sim, index) || is_refused) {
        takes_ms = READ_MIN_MS + (int64_t)draw(sim, READ_SPREAD_MS);
    }
    node->read_at = sim->now;
    node->reading = (sim_reading_t){.is_active = true, .sent_at = sim->now, .ends_at = sim->now + CW_MS(takes_ms)};
    if (reaches_store(sim, index)) {
        node->reading.list = list_of_store(sim);
        node->reading.revision = sim->revision;
    }
}

static void apply(sim_t *sim, size_t index, cw_server_reading_t *reading)
{
    sim_node_t       *node = &sim->nodes[index];
    cw_server_list_t *before;
    cw_view_result_t  result;

    reading->store_failed = node->store.failed_at > node->view.evidence.valid_at;
    reading->bound_from = node->store.failed_asked_at == 0 ? 0 : node->store.failed_asked_at + CW_MS(CONTACT_MS);
    result = cw_server_view_apply(&node->view, reading, sim->now, &before);
    cw_server_list_release(before);
    if (is_leading(sim, index)) {
        sim->version += result == CW_VIEW_CHANGED ? 1 : 0;
    } else if (!reading->is_from_leader && result != CW_VIEW_OLDER) {
        node->version = 0;
    }
}

static void end_reading(sim_t *sim, size_t index)
{
    sim_node_t         *node = &sim->nodes[index];
    cw_server_reading_t reading = {.list = node->reading.list,
                                   .revision = node->reading.revision,
                                   .latest = node->reading.revision,
                                   .evidence = {.valid_at = node->reading.sent_at, .source = CW_LIST_SOURCE_READING}};

    if (!node->reading.is_active || sim->now < node->reading.ends_at) {
        return;
    }
    node->reading.is_active = false;
    if (reading.list != NULL) {
        apply(sim, index, &reading);
    }
    (void)cw_store_availability_record(&node->store, reading.list != NULL, node->reading.sent_at, sim->now);
}

/* ---- messages ---- */

static void send_message(sim_t *sim, size_t from, size_t to, sim_message_t message)
{
    sim_node_t *node = &sim->nodes[to];
    size_t      index;

    if (from == to || draw(sim, 100) < LOSS_PERCENT || is_befallen(sim, from, CUT_OUT) ||
        is_befallen(sim, to, CUT_IN)) {
        cw_server_list_release(message.list);
        return;
    }
    for (index = 0; index < IN_FLIGHT_MAX; index++) {
        if (node->messages[index].kind == NO_MESSAGE) {
            message.arrives_at = sim->now + CW_MS(WAY_MS + (int64_t)draw(sim, draw(sim, 4) == 0 ? QUEUE_MS : 20));
            node->messages[index] = message;
            return;
        }
    }
    cw_server_list_release(message.list);
}

static void send_heartbeats(sim_t *sim, size_t from)
{
    const cw_server_view_t *view = &sim->nodes[from].view;
    sim_message_t           heartbeat = {.kind = HEARTBEAT,
                                         .term = sim->term,
                                         .version = sim->version,
                                         .revision = view->revision,
                                         .valid_at = view->evidence.valid_at};
    size_t                  index;

    for (index = 0; index < sim->setup->nodes; index++) {
        sim_message_t list = heartbeat;

        send_message(sim, from, index, heartbeat);
        if (sim->nodes[index].term != sim->term || sim->nodes[index].version < sim->version) {
            list.kind = LIST;
            list.list = cw_server_list_copy_without(view->list, NULL, 0);
            send_message(sim, from, index, list);
        }
    }
}

static void send_notices(sim_t *sim, size_t from)
{
    const cw_server_view_t *view = &sim->nodes[from].view;
    sim_message_t           notice = {
                  .kind = NOTICE, .revision = view->revision, .hash = view->hash, .valid_at = view->evidence.valid_at};
    size_t index;

    for (index = 0; index < sim->setup->nodes; index++) {
        send_message(sim, from, index, notice);
    }
}

static void send_all(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    bool        is_reader = index >= 1 && index <= READERS;

    if (sim->now < node->sends_at || node->view.list == NULL) {
        return;
    }
    if (is_leading(sim, index)) {
        node->sends_at = sim->now + CW_MS(HEARTBEAT_MS);
        send_heartbeats(sim, index);
    } else if (is_reader && !node->store.is_lost) {
        node->sends_at = sim->now + CW_MS(NOTICE_MS);
        send_notices(sim, index);
    }
}

static void receive_list(sim_t *sim, size_t index, sim_message_t *message)
{
    sim_node_t         *node = &sim->nodes[index];
    cw_server_reading_t reading = {
        .list = message->list, .revision = message->revision, .latest = message->revision, .is_from_leader = true};

    message->list = NULL;
    if (message->term < node->term || (message->term == node->term && message->version <= node->version) ||
        message->revision < node->view.revision) {
        cw_server_list_release(reading.list);
        return;
    }
    node->term = message->term;
    node->version = message->version;
    apply(sim, index, &reading);
}

static void receive_message(sim_t *sim, size_t index, sim_message_t *message)
{
    sim_node_t        *node = &sim->nodes[index];
    cw_list_evidence_t evidence = {.valid_at = message->valid_at, .source = CW_LIST_SOURCE_LEADER};

    if (is_leading(sim, index)) {
        cw_server_list_release(message->list);
        return;
    }
    switch (message->kind) {
    case HEARTBEAT:
        if (message->term >= node->term) {
            node->heartbeat_at = sim->now;
        }
        if (message->term == node->term && node->version >= message->version) {
            cw_server_view_confirm(&node->view, message->revision, &evidence);
        }
        break;
    case LIST:
        receive_list(sim, index, message);
        break;
    case NOTICE:
        if (node->view.list != NULL && node->view.hash == message->hash) {
            cw_server_view_confirm(&node->view, message->revision, &evidence);
        }
        break;
    case NO_MESSAGE:
        break;
    }
}

static void receive_all(sim_t *sim, size_t index)
{
    sim_node_t *node = &sim->nodes[index];
    size_t      place;

    for (place = 0; place < IN_FLIGHT_MAX; place++) {
        sim_message_t message = node->messages[place];

        if (message.kind != NO_MESSAGE && sim->now >= message.arrives_at) {
            node->messages[place].kind = NO_MESSAGE;
            receive_message(sim, index, &message);
        }
    }
}

/* ---- nodes ---- */

static cw_list_renewal_t renewal_of(const sim_t *sim, size_t index)
{
    const sim_node_t *node = &sim->nodes[index];

    return (cw_list_renewal_t){.drain = drain(sim),
                               .settle = CW_MS(CONTACT_MS),
                               .started_at = 0,
                               .valid_at = node->view.evidence.valid_at,
                               .window = cw_list_read_window(sim->setup->nodes, sim->setup->servers_of_fleet),
                               .node = node->hash,
                               .is_reader = index >= 1 && index <= READERS,
                               .has_heartbeat =
                                   sim->now - node->heartbeat_at < drain(sim) * CW_LIST_READER_PERCENT / 100,
                               .is_short = true};
}

/* Longest time after its leave for which a server may be used by this list. */
static cw_time_us_t longest_use(const sim_t *sim, const sim_node_t *node)
{
    cw_time_us_t longest = 0;
    size_t       index;

    for (index = 0; index < SERVERS; index++) {
        const sim_server_t      *server = &sim->servers[index];
        const cw_server_entry_t *entry;
        char                     id[32];

        if (server->left_at == 0) {
            continue;
        }
        server_id(id, server, index);
        entry = cw_server_list_find(node->view.list, id);
        if (entry != NULL && !entry->draining && sim->now - server->left_at > longest) {
            longest = sim->now - server->left_at;
        }
    }
    return longest;
}

static void judge(sim_t *sim, size_t index, const cw_list_renewal_t *renewal)
{
    sim_node_t  *node = &sim->nodes[index];
    cw_time_us_t asked_at = node->reading.is_active ? node->reading.sent_at : 0;
    bool         is_out = cw_store_availability_is_out(&node->store, asked_at, CW_MS(CONTACT_MS), sim->now);
    bool         is_bound = cw_list_renewal_is_binding(renewal, is_out, sim->now);
    bool         may_send = !is_bound || sim->now - node->view.evidence.valid_at <= cw_list_usable_age(drain(sim));
    cw_time_us_t used;

    if (!reaches_store(sim, index)) {
        node->out_until = sim->now + CW_MS(CONTACT_MS);
    }
    if (sim->now < node->out_until) {
        return;
    }
    sim->result.held += may_send ? 0 : 1;
    if (!may_send) {
        return;
    }
    used = longest_use(sim, node);
    sim->result.judged++;
    sim->result.late += used > drain(sim) ? 1 : 0;
    sim->result.latest_ms = used / 1000 > sim->result.latest_ms ? used / 1000 : sim->result.latest_ms;
}

static void tick_node(sim_t *sim, size_t index)
{
    sim_node_t       *node = &sim->nodes[index];
    cw_server_list_t *before;
    cw_list_renewal_t renewal;

    receive_all(sim, index);
    end_reading(sim, index);
    if (cw_server_view_expire(&node->view, sim->now, &before) == CW_VIEW_CHANGED && is_leading(sim, index)) {
        sim->version++;
    }
    cw_server_list_release(before);
    renewal = renewal_of(sim, index);
    if (!node->reading.is_active && sim->now - node->read_at >= drain(sim) / 4 &&
        (is_leading(sim, index) || cw_list_renewal_is_due(&renewal, sim->now))) {
        begin_reading(sim, index);
    }
    send_all(sim, index);
    judge(sim, index, &renewal);
}

static void begin_nodes(sim_t *sim)
{
    cw_absence_settings_t settings = cw_absence_settings_of(CW_MS(SERVER_HEARTBEAT_MS), drain(sim));
    size_t                index;

    for (index = 0; index < sim->setup->nodes; index++) {
        sim_node_t         *node = &sim->nodes[index];
        cw_server_reading_t reading = {.list = list_of_store(sim),
                                       .revision = sim->revision,
                                       .latest = sim->revision,
                                       .evidence = {.valid_at = sim->now, .source = CW_LIST_SOURCE_READING}};

        cw_server_view_init(&node->view, &settings);
        node->hash = (uint32_t)draw(sim, UINT32_MAX);
        node->read_at = sim->now;
        apply(sim, index, &reading);
    }
}

static void free_nodes(sim_t *sim)
{
    size_t index;
    size_t place;

    for (index = 0; index < sim->setup->nodes; index++) {
        sim_node_t *node = &sim->nodes[index];

        cw_server_view_clear(&node->view);
        if (node->reading.is_active) {
            cw_server_list_release(node->reading.list);
        }
        for (place = 0; place < IN_FLIGHT_MAX; place++) {
            if (node->messages[place].kind == LIST) {
                cw_server_list_release(node->messages[place].list);
            }
        }
    }
    free(sim->nodes);
}

static void change_servers(sim_t *sim)
{
    if (sim->now >= sim->changes_at) {
        sim->changes_at = sim->now + CW_MS((int64_t)draw(sim, 2 * CHANGE_MS));
        change_server(sim);
    }
}

view_sim_result_t view_sim_run(const view_sim_setup_t *setup)
{
    sim_t        sim = {.setup = setup, .now = CW_MS(START_MS), .random = setup->seed, .term = 1, .version = 1};
    cw_time_us_t end = sim.now + CW_MS(setup->duration_ms);
    size_t       index;

    sim.revision = 100;
    for (index = 0; index < SERVERS; index++) {
        sim.servers[index] = (sim_server_t){.is_listed = true, .sequence = 1};
    }
    sim.nodes = cw_memory_zeroed_items(setup->nodes, sizeof(*sim.nodes));
    begin_nodes(&sim);
    begin_faults(&sim);
    while (sim.now < end) {
        change_leader(&sim);
        change_servers(&sim);
        for (index = 0; index < setup->nodes; index++) {
            tick_node(&sim, index);
        }
        sim.now += CW_MS(TICK_MS);
    }
    free_nodes(&sim);
    return sim.result;
}
