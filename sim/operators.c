/**
 * @file operators.c
 * @brief Operators: first configurations, then racing plans and confirmations of the same tenant.
 *
 * Each operator plans, thinks for a while and confirms, through nodes drawn at random. Several work on one tenant at
 * the same time. An answer 200 to a confirmation is an acknowledgement: the version is checked ever after.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    OPERATORS_PER_TENANT = 2,
    OPERATORS = SIM_TENANTS * OPERATORS_PER_TENANT,
    PLAN_ID_MAX = 64,
    FIRST_AT_US = 1000 * CW_US_PER_MS,
    RETRY_US = 500 * CW_US_PER_MS,
    THINK_MAX_US = 400 * CW_US_PER_MS,
    PAUSE_MIN_US = 500 * CW_US_PER_MS,
    PAUSE_MAX_US = 6 * CW_US_PER_S,
    PATIENCE_US = 14 * CW_US_PER_S, /**< longer than a node's own limit */
    STATUS_OK = 200,
    STATUS_CONFLICT = 409
};

typedef enum phase { PHASE_IDLE, PHASE_PLAN, PHASE_THINK, PHASE_CONFIRM } phase_t;

typedef struct operator
{
    size_t   tenant;
    phase_t  phase;
    char     plan[PLAN_ID_MAX];
    uint64_t asked; /**< handle of the request under way */
    uint32_t variant;
}
operator_t;

struct sim_operators {
    operator_t operators[OPERATORS];
    uint64_t   next_handle;
    uint64_t   accepted[SIM_TENANTS]; /**< confirmations answered 200 */
    uint64_t   random;
};

static void act(sim_world_t *world, sim_event_t *event);

static void act_later(sim_world_t *world, size_t index, cw_time_us_t delay_us)
{
    sim_event_t *event = sim_schedule(world, "operator", world->now + delay_us, act, NULL, 0);

    event->numbers[0] = index;
}

static sim_host_t *choose_host(sim_world_t *world)
{
    size_t      first = (size_t)cw_random_below(&world->operators->random, world->host_count);
    sim_host_t *host = &world->hosts[first];

    return host->process.running && host->process.paused_until <= world->now ? host : NULL;
}

static void give_up(sim_world_t *world, sim_event_t *event)
{
    operator_t *person = &world->operators->operators[event->numbers[0]];

    if (person->asked == event->numbers[1]) {
        person->asked = 0;
        person->phase = PHASE_IDLE;
        act_later(world, (size_t)event->numbers[0], RETRY_US);
    }
}

static void ask(sim_world_t *world, size_t index, const char *operation, const char *argument)
{
    operator_t  *person = &world->operators->operators[index];
    bool         first = world->operators->accepted[person->tenant] == 0;
    sim_host_t  *host = choose_host(world);
    char         token[32];
    sim_event_t *event;

    if (host == NULL) {
        person->phase = PHASE_IDLE;
        act_later(world, index, RETRY_US);
        return;
    }
    sim_token(token, "operator", person->tenant);
    person->asked = ++world->operators->next_handle;
    event = sim_schedule(world, "operator gives up", world->now + PATIENCE_US, give_up, NULL, 0);
    event->numbers[0] = index;
    event->numbers[1] = person->asked;
    cw_node_operator_request(host->node, person->asked, operation, first ? "administrator" : token, "intent.yaml",
                             argument, sim_host_now(host));
    sim_host_settled(host);
}

static size_t choose_left_out(sim_world_t *world, size_t tenant)
{
    size_t server = (size_t)cw_random_below(&world->operators->random, world->server_count);

    if (world->operators->accepted[tenant] == 0 || cw_random_below(&world->operators->random, 3) != 0 ||
        world->servers[server].tenant != tenant) {
        return SIM_SERVERS_MAX;
    }
    return server;
}

static void act(sim_world_t *world, sim_event_t *event)
{
    size_t      index = (size_t)event->numbers[0];
    operator_t *person = &world->operators->operators[index];
    char       *intent;

    if (person->phase == PHASE_THINK) {
        person->phase = PHASE_CONFIRM;
        ask(world, index, "confirm", person->plan);
        return;
    }
    if (person->phase != PHASE_IDLE) {
        return;
    }
    if (world->healing && world->operators->accepted[person->tenant] > 0) {
        return;
    }
    person->phase = PHASE_PLAN;
    person->variant++;
    intent = sim_intent(world, person->tenant, choose_left_out(world, person->tenant),
                        (uint32_t)(index * 1000 + person->variant));
    ask(world, index, "plan", intent);
    free(intent);
}

void sim_operators_start(sim_world_t *world)
{
    size_t index;

    world->operators = calloc(1, sizeof(*world->operators));
    if (world->operators == NULL) {
        abort();
    }
    world->operators->random = world->options.seed ^ UINT64_C(0x09e7a702);
    for (index = 0; index < OPERATORS; index++) {
        world->operators->operators[index].tenant = index / OPERATORS_PER_TENANT;
        act_later(world, index, FIRST_AT_US + (cw_time_us_t)index * 10 * CW_US_PER_MS);
    }
}

static bool read_plan(const char *text, char plan[PLAN_ID_MAX])
{
    json_t     *json = json_loads(text, 0, NULL);
    const char *id = json_string_value(json_object_get(json, "plan"));
    bool        found = id != NULL && strlen(id) < PLAN_ID_MAX;

    if (found) {
        memcpy(plan, id, strlen(id) + 1);
    }
    json_decref(json);
    return found;
}

static void take_confirmation(sim_world_t *world, operator_t *person, const Cw__OperatorResponse *response)
{
    json_t *json;

    if (response->status == STATUS_CONFLICT) {
        world->result->stale_plans++;
    }
    if (response->status != STATUS_OK) {
        return;
    }
    json = json_loads(response->json, 0, NULL);
    world->result->confirmed++;
    world->operators->accepted[person->tenant]++;
    sim_checks_acknowledged(world, person->tenant, (uint64_t)json_integer_value(json_object_get(json, "version")));
    json_decref(json);
}

void sim_operators_respond(sim_host_t *host, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    sim_world_t *world = host->world;
    size_t       index = 0;
    operator_t  *person;

    if (sim_administrator_respond(host, caller_id, response)) {
        return;
    }
    while (index < OPERATORS && world->operators->operators[index].asked != caller_id) {
        index++;
    }
    if (index == OPERATORS) {
        return; /* gave up before */
    }
    person = &world->operators->operators[index];
    person->asked = 0;
    sim_trace(world, "operator %zu, phase %d: %u %.160s", index, (int)person->phase, response->status, response->json);
    if (person->phase == PHASE_PLAN && response->status == STATUS_OK && read_plan(response->json, person->plan)) {
        world->result->plans++;
        person->phase = PHASE_THINK;
        act_later(world, index, sim_between(world, 0, THINK_MAX_US));
        return;
    }
    if (person->phase == PHASE_CONFIRM) {
        take_confirmation(world, person, response);
    }
    person->phase = PHASE_IDLE;
    act_later(world, index,
              world->operators->accepted[person->tenant] == 0 ? RETRY_US
                                                              : sim_between(world, PAUSE_MIN_US, PAUSE_MAX_US));
}

bool sim_operators_ready(const sim_world_t *world)
{
    size_t tenant;

    for (tenant = 0; tenant < SIM_TENANTS; tenant++) {
        if (world->operators->accepted[tenant] == 0) {
            return false;
        }
    }
    return true;
}

void sim_operators_end(sim_world_t *world)
{
    free(world->operators);
}
