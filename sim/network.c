/**
 * @file network.c
 * @brief Modelled links between processes: cuts, delays, losses, duplicates, reordering.
 *
 * Messages between nodes are packed at the sender and unpacked at the receiver, so each run exercises the codec.
 */
#include <stdlib.h>

#include "world.h"

enum {
    DELAY_MIN_US = 200,
    DELAY_MAX_US = 1500,
    LATE_PER_THOUSAND = 5, /**< messages that are late without any fault */
    LATE_MAX_US = 30000,
    LOSSY_LATE_PER_THOUSAND = 150,
    LOSSY_LATE_MAX_US = 800000,
    DUPLICATE_PER_THOUSAND = 5,
    LOSSY_DUPLICATE_PER_THOUSAND = 100
};

size_t sim_store_endpoint(const sim_world_t *world)
{
    (void)world;
    return SIM_NODES_MAX + SIM_SERVERS_MAX;
}

bool sim_link_is_cut(const sim_world_t *world, size_t from, size_t to)
{
    return world->cut_until[from][to] > world->now;
}

static bool is_lossy(const sim_world_t *world)
{
    return world->loss_until > world->now;
}

cw_time_us_t sim_link_delay(sim_world_t *world)
{
    cw_time_us_t delay = sim_between(world, DELAY_MIN_US, DELAY_MAX_US);

    if (is_lossy(world) && sim_chance(world, LOSSY_LATE_PER_THOUSAND)) {
        delay += sim_between(world, 0, LOSSY_LATE_MAX_US);
    } else if (sim_chance(world, LATE_PER_THOUSAND)) {
        delay += sim_between(world, 0, LATE_MAX_US);
    }
    return delay;
}

bool sim_link_loses(sim_world_t *world)
{
    return is_lossy(world) && sim_chance(world, world->loss_percent * 10);
}

static void trace_message(const sim_host_t *host, const Cw__Envelope *envelope)
{
    if (envelope->body_case == CW__ENVELOPE__BODY_FORWARD_REQUEST) {
        sim_trace(host->world, "node %u gets request %lu of node %u, fence %lu, range %lu, key %s", host->info.id,
                  (unsigned long)envelope->forward_request->id, envelope->from,
                  (unsigned long)envelope->forward_request->fence->index,
                  (unsigned long)envelope->forward_request->range, envelope->forward_request->key);
    } else if (envelope->body_case == CW__ENVELOPE__BODY_FORWARD_RESPONSE) {
        sim_trace(host->world, "node %u gets response to %lu from node %u: %d %s", host->info.id,
                  (unsigned long)envelope->forward_response->id, envelope->from,
                  (int)envelope->forward_response->outcome, envelope->forward_response->reason);
    }
}

static void receive(sim_world_t *world, sim_event_t *event)
{
    sim_host_t   *host = &world->hosts[event->process->endpoint];
    Cw__Envelope *envelope;

    if (sim_link_is_cut(world, (size_t)event->numbers[0], host->process.endpoint)) {
        return;
    }
    envelope = cw__envelope__unpack(NULL, event->length, event->data);
    if (envelope == NULL) {
        sim_violation(world, "message of node %u cannot be unpacked", (unsigned)event->numbers[0] + 1);
        return;
    }
    trace_message(host, envelope);
    cw_node_receive(host->node, envelope, sim_host_now(host));
    cw__envelope__free_unpacked(envelope, NULL);
    sim_host_settled(host);
}

static void send_copy(sim_host_t *host, sim_host_t *receiver, const Cw__Envelope *envelope)
{
    sim_world_t *world = host->world;
    size_t       length = cw__envelope__get_packed_size(envelope);
    sim_event_t *event;

    event = sim_schedule(world, "message", world->now + sim_link_delay(world), receive, &receiver->process, 0);
    event->numbers[0] = host->process.endpoint;
    event->data = malloc(length + 1);
    if (event->data == NULL) {
        abort();
    }
    event->length = cw__envelope__pack(envelope, event->data);
}

void sim_network_send(sim_host_t *host, cw_node_id_t to, const Cw__Envelope *envelope)
{
    sim_world_t *world = host->world;
    sim_host_t  *receiver;
    unsigned     duplicates = is_lossy(world) ? LOSSY_DUPLICATE_PER_THOUSAND : DUPLICATE_PER_THOUSAND;

    if (to == 0 || to > world->host_count || !host->learned[to - 1]) {
        return; /* no address */
    }
    receiver = &world->hosts[to - 1];
    if (sim_link_is_cut(world, host->process.endpoint, receiver->process.endpoint) || sim_link_loses(world)) {
        return;
    }
    send_copy(host, receiver, envelope);
    if (sim_chance(world, duplicates)) {
        send_copy(host, receiver, envelope);
    }
}
