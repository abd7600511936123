/**
 * @file raft_network.c
 * @brief Modelled network of raft replicas and the checks of Raft's safety properties.
 */
#include "raft_network.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum { FIRST_INCARNATION = 1000, WAIT_LIMIT_US = 10 * CW_US_PER_S, HEARTBEAT_US = 20000, ELECTION_US = 100000 };

static void on_send(void *context, cw_node_id_t to, Cw__RaftMessage *message)
{
    raft_replica_t *replica = context;
    raft_network_t *network = replica->network;
    size_t          position = (size_t)(message->to - FIRST_INCARNATION);
    unsigned        copies = 1 + (cw_random_below(&network->random, 100) < network->duplicate_percent);

    ck_assert_uint_lt(position, network->replica_count);
    ck_assert_uint_eq(network->replicas[position].info.id, to);
    if (cw_random_below(&network->random, 100) < network->drop_percent) {
        return;
    }
    while (copies-- > 0 && network->packet_count < RAFT_NETWORK_MESSAGES) {
        raft_packet_t *packet = &network->packets[network->packet_count++];

        packet->due = network->now + 200 + (cw_time_us_t)cw_random_below(&network->random, (uint64_t)network->delay_us);
        packet->sequence = network->sequence++;
        packet->from = (size_t)(replica - network->replicas);
        packet->to = position;
        packet->length = cw__raft_message__get_packed_size(message);
        packet->data = malloc(packet->length);
        cw__raft_message__pack(message, packet->data);
    }
}

/* State-machine safety: every replica applies the same entry at an index, in order and without gaps. */
static void on_apply(void *context, const Cw__LogEntry *entry)
{
    raft_replica_t *replica = context;
    raft_network_t *network = replica->network;
    uint64_t        hash = XXH3_64bits_withSeed(entry->data.data, entry->data.len, entry->kind);

    ck_assert_uint_eq(entry->index, replica->applied + 1);
    ck_assert_uint_lt(entry->index, RAFT_NETWORK_LOG);
    if (network->committed_term[entry->index] == 0) {
        network->committed_term[entry->index] = entry->term;
        network->committed_hash[entry->index] = hash;
        network->committed_last = entry->index;
    }
    ck_assert_msg(network->committed_term[entry->index] == entry->term, "two entries committed at %lu",
                  (unsigned long)entry->index);
    ck_assert_uint_eq(network->committed_hash[entry->index], hash);
    replica->applied = entry->index;
    replica->state = XXH3_64bits_withSeed(&hash, sizeof(hash), replica->state);
}

static int on_snapshot_save(void *context, uint8_t **data, size_t *length)
{
    const raft_replica_t *replica = context;

    *length = sizeof(replica->state);
    *data = malloc(*length);
    memcpy(*data, &replica->state, *length);
    return CW_OK;
}

static int on_snapshot_load(void *context, const uint8_t *data, size_t length, uint64_t last_index)
{
    raft_replica_t *replica = context;

    ck_assert_uint_eq(length, sizeof(replica->state));
    memcpy(&replica->state, data, length);
    replica->applied = last_index;
    replica->snapshots_loaded++;
    return CW_OK;
}

/* Election safety: one leader in a term. Leader completeness: it holds every entry committed in a lower term. */
static void on_role_changed(void *context, cw_raft_role_t role, uint64_t term)
{
    raft_replica_t   *replica = context;
    raft_network_t   *network = replica->network;
    const raft_log_t *log = &replica->raft->log;
    uint64_t          index;

    replica->round = 0;
    if (role != CW_RAFT_LEADER) {
        return;
    }
    ck_assert_uint_lt(term, RAFT_NETWORK_LOG);
    ck_assert_msg(network->leader_of_term[term] == 0, "two leaders in term %lu", (unsigned long)term);
    network->leader_of_term[term] = replica->info.incarnation;
    network->leader_term = term > network->leader_term ? term : network->leader_term;
    for (index = log->base_index + 1; index <= network->committed_last; index++) {
        if (network->committed_term[index] >= term) {
            break; /* committed by a later leader, while this candidate's votes were on their way */
        }
        ck_assert_uint_eq(raft_log_term(log, index), network->committed_term[index]);
    }
}

static void create_raft(raft_replica_t *replica, const Cw__Membership *membership)
{
    cw_raft_callbacks_t callbacks = {replica, on_send, on_apply, on_snapshot_save, on_snapshot_load, on_role_changed};
    cw_raft_options_t   options = {0};

    options.group = 1;
    options.generation = 1;
    options.node = replica->info.id;
    options.incarnation = replica->info.incarnation;
    options.membership = membership;
    options.heartbeat_us = HEARTBEAT_US;
    options.election_us = ELECTION_US;
    options.compact_after = RAFT_NETWORK_COMPACT_AFTER;
    options.seed = replica->network->random;
    replica->applied = membership == NULL ? 0 : 1;
    ck_assert_int_eq(cw_raft_create(&replica->raft, &options, &callbacks, replica->network->now), CW_OK);
}

static raft_replica_t *add_process(raft_network_t *network, cw_node_id_t node)
{
    raft_replica_t *replica = &network->replicas[network->replica_count];

    ck_assert_uint_lt(network->replica_count, RAFT_NETWORK_REPLICAS);
    replica->network = network;
    cw__node_info__init(&replica->info);
    replica->info.id = node;
    replica->info.incarnation = FIRST_INCARNATION + network->replica_count;
    network->replica_count++;
    return replica;
}

raft_network_t *raft_network_create(uint64_t seed, size_t voters)
{
    raft_network_t *network = calloc(1, sizeof(*network));
    Cw__NodeInfo   *infos[RAFT_NETWORK_REPLICAS];
    Cw__Membership  membership = CW__MEMBERSHIP__INIT;
    size_t          index;

    network->random = seed;
    network->delay_us = 2000;
    for (index = 0; index < voters; index++) {
        infos[index] = &add_process(network, (cw_node_id_t)index + 1)->info;
    }
    membership.n_voters = voters;
    membership.voters = infos;
    for (index = 0; index < voters; index++) {
        create_raft(&network->replicas[index], &membership);
    }
    return network;
}

void raft_network_free(raft_network_t *network)
{
    size_t index;

    for (index = 0; index < network->replica_count; index++) {
        cw_raft_free(network->replicas[index].raft);
    }
    for (index = 0; index < network->packet_count; index++) {
        free(network->packets[index].data);
    }
    free(network);
}

size_t raft_network_add(raft_network_t *network, cw_node_id_t node)
{
    create_raft(add_process(network, node), NULL);
    return network->replica_count - 1;
}

void raft_network_crash(raft_network_t *network, size_t replica)
{
    cw_raft_free(network->replicas[replica].raft);
    network->replicas[replica].raft = NULL;
}

static bool is_running(const raft_network_t *network, size_t replica)
{
    return network->replicas[replica].raft != NULL && network->replicas[replica].paused_until <= network->now;
}

/* Next packet that is due and can be taken in; a paused replica keeps its packets. */
static size_t next_packet(const raft_network_t *network)
{
    size_t best = RAFT_NETWORK_MESSAGES;
    size_t index;

    for (index = 0; index < network->packet_count; index++) {
        const raft_packet_t *packet = &network->packets[index];
        const raft_packet_t *other = &network->packets[best == RAFT_NETWORK_MESSAGES ? index : best];

        if (packet->due > network->now || network->replicas[packet->to].paused_until > network->now) {
            continue;
        }
        if (packet->due < other->due || (packet->due == other->due && packet->sequence <= other->sequence)) {
            best = index;
        }
    }
    return best;
}

/* A round confirmed: when it began, no higher term had a leader. */
static void check_round(raft_network_t *network, raft_replica_t *replica)
{
    if (replica->raft == NULL || replica->round == 0 || cw_raft_round_confirmed(replica->raft) < replica->round) {
        return;
    }
    ck_assert_msg(replica->round_leader_term <= cw_raft_term(replica->raft), "deposed leader confirmed a round");
    replica->round = 0;
    network->rounds_confirmed++;
}

/* A restarted process gets what was sent to its former life. */
static raft_replica_t *receiver_of(raft_network_t *network, const raft_packet_t *packet)
{
    raft_replica_t *meant = &network->replicas[packet->to];
    size_t          index;

    for (index = packet->to + 1; meant->raft == NULL && index < network->replica_count; index++) {
        if (network->replicas[index].info.id == meant->info.id && network->replicas[index].raft != NULL) {
            return &network->replicas[index];
        }
    }
    return meant;
}

static void deliver(raft_network_t *network, size_t index)
{
    raft_packet_t    packet = network->packets[index];
    raft_replica_t  *receiver = receiver_of(network, &packet);
    Cw__RaftMessage *message;

    network->packets[index] = network->packets[--network->packet_count];
    if (receiver->raft != NULL && receiver->partition == network->replicas[packet.from].partition) {
        message = cw__raft_message__unpack(NULL, packet.length, packet.data);
        cw_raft_receive(receiver->raft, message, network->now);
        cw__raft_message__free_unpacked(message, NULL);
        check_round(network, receiver);
    }
    free(packet.data);
}

/* Log matching: below an index with equal terms, two logs hold the same entries. */
static void check_log_matching(const raft_log_t *left, const raft_log_t *right)
{
    uint64_t base = left->base_index > right->base_index ? left->base_index : right->base_index;
    uint64_t index = raft_log_last_index(left);
    bool     matched = false;

    if (index > raft_log_last_index(right)) {
        index = raft_log_last_index(right);
    }
    for (; index > base; index--) {
        matched = matched || raft_log_term(left, index) == raft_log_term(right, index);
        if (matched) {
            const Cw__LogEntry *a = raft_log_entry(left, index);
            const Cw__LogEntry *b = raft_log_entry(right, index);

            ck_assert_uint_eq(a->term, b->term);
            ck_assert_uint_eq(a->data.len, b->data.len);
            ck_assert(a->data.len == 0 || memcmp(a->data.data, b->data.data, a->data.len) == 0);
        }
    }
}

static void check_logs(const raft_network_t *network)
{
    size_t left;
    size_t right;

    for (left = 0; left < network->replica_count; left++) {
        for (right = left + 1; right < network->replica_count; right++) {
            if (network->replicas[left].raft != NULL && network->replicas[right].raft != NULL) {
                check_log_matching(&network->replicas[left].raft->log, &network->replicas[right].raft->log);
            }
        }
    }
}

void raft_network_run(raft_network_t *network, cw_time_us_t duration)
{
    cw_time_us_t end = network->now + duration;
    size_t       index;

    while (network->now < end) {
        network->now += RAFT_NETWORK_STEP_US;
        while ((index = next_packet(network)) != RAFT_NETWORK_MESSAGES) {
            deliver(network, index);
        }
        for (index = 0; index < network->replica_count; index++) {
            if (is_running(network, index)) {
                cw_raft_tick(network->replicas[index].raft, network->now);
            }
        }
    }
    check_logs(network);
}

void raft_network_isolate(raft_network_t *network, size_t replica)
{
    network->replicas[replica].partition = (int)replica + 1;
}

void raft_network_heal(raft_network_t *network)
{
    size_t index;

    for (index = 0; index < network->replica_count; index++) {
        network->replicas[index].partition = 0;
    }
}

size_t raft_network_leader(const raft_network_t *network)
{
    size_t   best = RAFT_NETWORK_REPLICAS;
    uint64_t best_term = 0;
    size_t   index;

    for (index = 0; index < network->replica_count; index++) {
        const cw_raft_t *raft = network->replicas[index].raft;

        if (raft != NULL && cw_raft_leader_ready(raft) && cw_raft_term(raft) > best_term) {
            best = index;
            best_term = cw_raft_term(raft);
        }
    }
    return best;
}

size_t raft_network_wait_leader(raft_network_t *network)
{
    cw_time_us_t limit = network->now + WAIT_LIMIT_US;

    while (network->now < limit) {
        size_t leader = raft_network_leader(network);

        if (leader != RAFT_NETWORK_REPLICAS && network->replicas[leader].partition == 0) {
            return leader;
        }
        raft_network_run(network, RAFT_NETWORK_STEP_US);
    }
    ck_abort_msg("no leader");
    return RAFT_NETWORK_REPLICAS;
}

int raft_network_propose(raft_network_t *network, size_t replica)
{
    uint64_t value = cw_random_next(&network->random);

    return cw_raft_propose(network->replicas[replica].raft, (const uint8_t *)&value, sizeof(value), NULL, network->now);
}

void raft_network_round(raft_network_t *network, size_t replica)
{
    raft_replica_t *asked = &network->replicas[replica];

    asked->round_leader_term = network->leader_term;
    asked->round = cw_raft_round_begin(asked->raft, network->now);
    check_round(network, asked);
}

static size_t copy_but(Cw__NodeInfo **to, Cw__NodeInfo **from, size_t count, const Cw__NodeInfo *left_out)
{
    size_t kept = 0;
    size_t index;

    for (index = 0; index < count; index++) {
        if (left_out == NULL || from[index]->incarnation != left_out->incarnation) {
            to[kept++] = from[index];
        }
    }
    return kept;
}

int raft_network_change(raft_network_t *network, size_t leader, int removed_voter, int added_voter, int added_learner)
{
    const Cw__Membership *present = cw_raft_membership(network->replicas[leader].raft);
    Cw__NodeInfo         *voters[RAFT_MEMBERS_MAX];
    Cw__NodeInfo         *learners[RAFT_MEMBERS_MAX];
    Cw__Membership        membership = CW__MEMBERSHIP__INIT;
    raft_replica_t       *replicas = network->replicas;

    membership.voters = voters;
    membership.learners = learners;
    membership.n_voters =
        copy_but(voters, present->voters, present->n_voters, removed_voter < 0 ? NULL : &replicas[removed_voter].info);
    membership.n_learners = copy_but(learners, present->learners, present->n_learners,
                                     added_voter < 0 ? NULL : &replicas[added_voter].info);
    if (added_voter >= 0) {
        voters[membership.n_voters++] = &replicas[added_voter].info;
    }
    if (added_learner >= 0) {
        learners[membership.n_learners++] = &replicas[added_learner].info;
    }
    return cw_raft_propose_membership(replicas[leader].raft, &membership, network->now);
}
