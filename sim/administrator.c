/**
 * @file administrator.c
 * @brief Administrator: recovers the control group once a majority of it is lost for good.
 *
 * Acts as the operators' guide asks for: only when no leader has been heard for a while although no link is cut, no
 * process is paused and the store works. So what does not answer then is gone.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum { PLAN_ID_MAX = 80, LOOK_US = 500 * CW_US_PER_MS, PATIENCE_US = 3 * CW_US_PER_S, STATUS_OK = 200 };

#define HANDLE_BIT (UINT64_C(1) << 40)

struct sim_administrator {
    cw_time_us_t leader_seen_us;
    uint64_t     asked; /**< handle of the request under way; 0: none */
    uint64_t     next_handle;
    size_t       host;
    char         plan[PLAN_ID_MAX]; /**< "": to be made */
    uint64_t     random;
};

static bool has_leader(const sim_world_t *world)
{
    size_t index;

    for (index = 0; index < world->host_count; index++) {
        const sim_host_t *host = &world->hosts[index];

        if (host->process.running && cw_node_control(host->node) != NULL &&
            cw_raft_leader_ready(cw_control_raft((cw_control_t *)cw_node_control(host->node)))) {
            return true;
        }
    }
    return false;
}

static bool is_quiet(const sim_world_t *world)
{
    size_t index;

    for (index = 0; index < world->host_count; index++) {
        const sim_process_t *process = &world->hosts[index].process;

        if (!process->running || process->paused_until > world->now) {
            return false;
        }
    }
    return world->healing;
}

static void ask(sim_world_t *world, sim_administrator_t *administrator)
{
    sim_host_t *host = &world->hosts[administrator->host];

    administrator->asked = HANDLE_BIT + ++administrator->next_handle;
    cw_node_operator_request(host->node, administrator->asked, "recover", "administrator", "", administrator->plan,
                             sim_host_now(host));
    sim_host_settled(host);
}

static void look(sim_world_t *world, sim_event_t *event)
{
    sim_administrator_t *administrator = world->administrator;

    (void)event;
    sim_schedule(world, "administrator", world->now + LOOK_US, look, NULL, 0);
    if (has_leader(world) || !is_quiet(world)) {
        administrator->leader_seen_us = world->now;
        return;
    }
    if (world->now - administrator->leader_seen_us < PATIENCE_US || administrator->asked != 0) {
        return;
    }
    if (administrator->plan[0] == '\0') {
        administrator->host = (size_t)cw_random_below(&administrator->random, world->host_count);
    }
    ask(world, administrator);
}

void sim_administrator_start(sim_world_t *world)
{
    world->administrator = calloc(1, sizeof(*world->administrator));
    if (world->administrator == NULL) {
        abort();
    }
    world->administrator->random = world->options.seed ^ UINT64_C(0xad317);
    sim_schedule(world, "administrator", LOOK_US, look, NULL, 0);
}

bool sim_administrator_respond(sim_host_t *host, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    sim_world_t         *world = host->world;
    sim_administrator_t *administrator = world->administrator;
    json_t              *json;
    const char          *plan;

    if ((caller_id & HANDLE_BIT) == 0) {
        return false;
    }
    sim_trace(world, "administrator: %u %.160s", response->status, response->json);
    if (caller_id != administrator->asked) {
        return true;
    }
    administrator->asked = 0;
    json = json_loads(response->json, 0, NULL);
    plan = json_string_value(json_object_get(json, "plan"));
    if (response->status == STATUS_OK && plan != NULL && strlen(plan) < PLAN_ID_MAX && administrator->plan[0] == '\0') {
        memcpy(administrator->plan, plan, strlen(plan) + 1);
    } else {
        world->result->recoveries += response->status == STATUS_OK;
        administrator->plan[0] = '\0';
    }
    json_decref(json);
    return true;
}

void sim_administrator_end(sim_world_t *world)
{
    free(world->administrator);
}
