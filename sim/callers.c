/**
 * @file callers.c
 * @brief Callers: requests that may and may not be repeated, impatient repeats under the same request id, hang-ups; and
 *        the checks of what callers are promised.
 *
 * A logical request has one request id and one or more attempts, each through some gateway. Each attempt names itself
 * in a header, so that an effect at a server can be traced to the attempt that it belongs to. Checked:
 * - an attempt gets exactly one final answer, within its deadline and a small grace, unless its gateway ended first;
 * - an answer from a server carries the attempt's own request id and key;
 * - an attempt answered "not run" never has an effect, before or after;
 * - a request that may not be repeated has at most one effect over all attempts;
 * - once every attempt of an id was answered "not run", no effect bears that id.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/outcome.h"
#include "world.h"

enum {
    INTERVAL_US = 8000, /**< mean time between logical requests */
    ATTEMPTS_MAX = 4,
    IMPATIENT_PER_THOUSAND = 200,
    IMPATIENT_MAX_US = 700000,
    REPEAT_PER_THOUSAND = 600, /**< after an answer that is not final for the caller */
    REPEAT_PAUSE_US = 50000,
    HANG_UP_PER_THOUSAND = 20,
    GRACE_US = 300000,
    SERVED_WITHIN_US = 1000000
};

typedef struct attempt {
    size_t       request;
    size_t       host;
    uint64_t     host_life;
    cw_time_us_t sent_us;
    cw_time_us_t deadline_us;
    bool         ended; /**< answered, hung up or lost with its gateway */
    bool         hung_up;
    bool         said_not_run;
    unsigned     effects;
} attempt_t;

typedef struct logical_request {
    uint8_t  id[CW_REQUEST_ID_BYTES];
    size_t   service;
    size_t   key;
    size_t   attempts;
    size_t   not_run; /**< attempts answered so */
    size_t   open;
    unsigned effects;
    bool     answered;
} logical_request_t;

typedef struct key_service {
    bool         was_served;
    cw_time_us_t waits_since_us; /**< first attempt sent after it was last served; 0: none */
} key_service_t;

struct sim_callers {
    logical_request_t *requests;
    size_t             request_count;
    size_t             request_capacity;
    attempt_t         *attempts;
    size_t             attempt_count;
    size_t             attempt_capacity;
    key_service_t      keys[SIM_SERVICES][SIM_KEYS_PER_SERVICE];
    uint64_t           random;
};

static void *grow(void *list, size_t count, size_t *capacity, size_t size)
{
    if (count < *capacity) {
        return list;
    }
    *capacity = *capacity == 0 ? 256 : *capacity * 2;
    list = realloc(list, *capacity * size);
    if (list == NULL) {
        abort();
    }
    return list;
}

static void key_name(const logical_request_t *request, char *name, size_t size)
{
    snprintf(name, size, "%s-key-%zu", sim_services[request->service].name, request->key);
}

static sim_host_t *choose_host(sim_world_t *world)
{
    size_t first = (size_t)cw_random_below(&world->callers->random, world->host_count);
    size_t offset;

    for (offset = 0; offset < world->host_count; offset++) {
        sim_host_t *host = &world->hosts[(first + offset) % world->host_count];

        if (host->process.running && host->process.paused_until <= world->now && !host->stopping) {
            return host;
        }
    }
    return NULL;
}

static void send_attempt(sim_world_t *world, size_t request_index);

static void repeat(sim_world_t *world, sim_event_t *event)
{
    logical_request_t *request = &world->callers->requests[event->numbers[0]];

    if (!request->answered && request->attempts < ATTEMPTS_MAX) {
        send_attempt(world, (size_t)event->numbers[0]);
    }
}

static void schedule_repeat(sim_world_t *world, size_t request, cw_time_us_t delay_us)
{
    sim_event_t *event = sim_schedule(world, "repeat", world->now + delay_us, repeat, NULL, 0);

    event->numbers[0] = request;
}

static void check_answered(sim_world_t *world, sim_event_t *event)
{
    sim_host_t  *host = &world->hosts[event->process->endpoint];
    attempt_t   *attempt = &world->callers->attempts[event->numbers[0]];
    sim_event_t *later;

    if (attempt->ended) {
        return;
    }
    if (host->process.paused_until > attempt->sent_us && world->now < host->process.paused_until + GRACE_US) {
        later = sim_schedule(world, "answer due", host->process.paused_until + GRACE_US, check_answered, &host->process,
                             host->process.life);
        later->numbers[0] = event->numbers[0];
        return;
    }
    sim_violation(world, "attempt %lu of %s got no answer within its deadline", (unsigned long)event->numbers[0],
                  sim_services[world->callers->requests[attempt->request].service].name);
}

static void hang_up(sim_world_t *world, sim_event_t *event)
{
    sim_host_t *host = &world->hosts[event->process->endpoint];
    attempt_t  *attempt = &world->callers->attempts[event->numbers[0]];

    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    attempt->hung_up = true;
    world->callers->requests[attempt->request].open--;
    cw_node_caller_cancel(host->node, event->numbers[0] + 1, sim_host_now(host));
    sim_host_settled(host);
}

static size_t add_attempt(sim_world_t *world, size_t request_index, sim_host_t *host)
{
    sim_callers_t     *callers = world->callers;
    logical_request_t *request = &callers->requests[request_index];
    cw_time_us_t       timeout_us = (cw_time_us_t)sim_services[request->service].timeout_ms * CW_US_PER_MS;
    attempt_t         *attempt;

    callers->attempts =
        grow(callers->attempts, callers->attempt_count, &callers->attempt_capacity, sizeof(*callers->attempts));
    attempt = &callers->attempts[callers->attempt_count];
    memset(attempt, 0, sizeof(*attempt));
    attempt->request = request_index;
    attempt->host = host->process.endpoint;
    attempt->host_life = host->process.life;
    attempt->sent_us = world->now;
    attempt->deadline_us = world->now + timeout_us;
    request->attempts++;
    request->open++;
    world->result->requests++;
    return callers->attempt_count++;
}

static void schedule_checks(sim_world_t *world, size_t index, sim_host_t *host)
{
    attempt_t   *attempt = &world->callers->attempts[index];
    sim_event_t *event;

    event = sim_schedule(world, "answer due", attempt->deadline_us + GRACE_US, check_answered, &host->process,
                         host->process.life);
    event->numbers[0] = index;
    if (cw_random_below(&world->callers->random, 1000) < HANG_UP_PER_THOUSAND) {
        event = sim_schedule(world, "hang up", world->now + sim_between(world, 0, IMPATIENT_MAX_US), hang_up,
                             &host->process, host->process.life);
        event->numbers[0] = index;
    }
    if (cw_random_below(&world->callers->random, 1000) < IMPATIENT_PER_THOUSAND) {
        schedule_repeat(world, attempt->request, sim_between(world, 0, IMPATIENT_MAX_US));
    }
}

static void hand_over(sim_world_t *world, size_t index, sim_host_t *host)
{
    const logical_request_t *request = &world->callers->requests[world->callers->attempts[index].request];
    const sim_service_t     *service = &sim_services[request->service];
    char                     key[MODEL_KEY_MAX];
    char                     id[37];
    char                     token[32];
    char                     tag[24];
    Cw__Header               header = CW__HEADER__INIT;
    Cw__Header              *headers[1] = {&header};
    cw_caller_request_t      caller;

    key_name(request, key, sizeof(key));
    cw_request_id_format(request->id, id);
    sim_token(token, "caller", service->tenant);
    snprintf(tag, sizeof(tag), "%zu", index);
    header.name = "x-attempt";
    header.value = tag;
    memset(&caller, 0, sizeof(caller));
    caller.caller_id = index + 1;
    caller.tenant = sim_tenants[service->tenant];
    caller.service = service->name;
    caller.key = key;
    caller.key_length = strlen(key);
    caller.method = service->method;
    caller.path = "/do";
    caller.token = token;
    caller.request_id = id;
    caller.timeout_us = (int64_t)service->timeout_ms * CW_US_PER_MS;
    caller.headers = headers;
    caller.header_count = 1;
    caller.body = id;
    caller.body_length = strlen(id);
    cw_node_caller_request(host->node, &caller, sim_host_now(host));
    sim_host_settled(host);
}

static void send_attempt(sim_world_t *world, size_t request_index)
{
    sim_host_t        *host = choose_host(world);
    logical_request_t *request = &world->callers->requests[request_index];
    key_service_t     *key;
    size_t             index;

    if (host == NULL) {
        return;
    }
    key = &world->callers->keys[request->service][request->key];
    if (key->waits_since_us == 0) {
        key->waits_since_us = world->now;
    }
    index = add_attempt(world, request_index, host);
    sim_trace(world, "attempt %zu of %s key %zu through node %u", index, sim_services[request->service].name,
              request->key, host->info.id);
    schedule_checks(world, index, host);
    hand_over(world, index, host);
}

static void new_request(sim_world_t *world, sim_event_t *event)
{
    sim_callers_t     *callers = world->callers;
    int64_t            wall_ms = (int64_t)SIM_TRUE_WALL_MS * CW_US_PER_MS + world->now / CW_US_PER_MS;
    logical_request_t *request;

    (void)event;
    callers->requests =
        grow(callers->requests, callers->request_count, &callers->request_capacity, sizeof(*callers->requests));
    request = &callers->requests[callers->request_count];
    memset(request, 0, sizeof(*request));
    wall_ms += sim_between(world, -SIM_WALL_SKEW_MS / 2, SIM_WALL_SKEW_MS / 2);
    cw_request_id_make(request->id, wall_ms, &callers->random);
    request->service = (size_t)cw_random_below(&callers->random, SIM_SERVICES);
    request->key = (size_t)cw_random_below(&callers->random, SIM_KEYS_PER_SERVICE);
    callers->request_count++;
    send_attempt(world, callers->request_count - 1);
    sim_schedule(world, "request", world->now + sim_between(world, 0, 2 * INTERVAL_US), new_request, NULL, 0);
}

/* Calls come only once the first configurations are accepted, so that no time is spent on refusals. */
static void wait_for_configuration(sim_world_t *world, sim_event_t *event)
{
    (void)event;
    if (sim_operators_ready(world)) {
        sim_schedule(world, "request", world->now, new_request, NULL, 0);
        return;
    }
    sim_schedule(world, "wait", world->now + 100 * CW_US_PER_MS, wait_for_configuration, NULL, 0);
}

void sim_callers_start(sim_world_t *world)
{
    world->callers = calloc(1, sizeof(*world->callers));
    if (world->callers == NULL) {
        abort();
    }
    world->callers->random = world->options.seed ^ UINT64_C(0xca11e5);
    sim_schedule(world, "wait", 0, wait_for_configuration, NULL, 0);
}

/* ---- answers ---- */

static void note_served(sim_world_t *world, const logical_request_t *request)
{
    key_service_t *key = &world->callers->keys[request->service][request->key];
    cw_time_us_t   gap = world->now - key->waits_since_us;

    if (key->was_served && key->waits_since_us != 0 && gap > world->result->longest_gap_us) {
        world->result->longest_gap_us = gap;
        world->result->longest_gap_end_us = world->now;
    }
    key->was_served = true;
    key->waits_since_us = 0;
}

static void check_own_answer(sim_world_t *world, const logical_request_t *request, const Cw__ForwardResponse *response)
{
    char key[MODEL_KEY_MAX];
    char id[37];
    char expected[128];

    key_name(request, key, sizeof(key));
    cw_request_id_format(request->id, id);
    snprintf(expected, sizeof(expected), "%s %s", id, key);
    if (response->body.len != strlen(expected) || memcmp(response->body.data, expected, response->body.len) != 0) {
        sim_violation(world, "request %s got another answer: %.*s", id, (int)response->body.len,
                      (const char *)response->body.data);
    }
}

static void take_not_run(sim_world_t *world, attempt_t *attempt, logical_request_t *request,
                         const Cw__ForwardResponse *response)
{
    world->result->not_run++;
    attempt->said_not_run = true;
    request->not_run++;
    if (attempt->effects > 0) {
        sim_violation(world, "answered not run (%s) after its effect, request of %s", response->reason,
                      sim_services[request->service].name);
    }
    if (request->not_run == request->attempts && request->effects > 0) {
        sim_violation(world, "every attempt answered not run, but an effect took place");
    }
}

static void take_outcome(sim_world_t *world, attempt_t *attempt, logical_request_t *request,
                         const Cw__ForwardResponse *response)
{
    switch (response->outcome) {
    case CW__OUTCOME__OUTCOME_ANSWERED:
        world->result->answered++;
        request->answered = true;
        check_own_answer(world, request, response);
        note_served(world, request);
        break;
    case CW__OUTCOME__OUTCOME_NOT_RUN:
        take_not_run(world, attempt, request, response);
        break;
    case CW__OUTCOME__OUTCOME_IN_PROGRESS:
        world->result->in_progress++;
        break;
    case CW__OUTCOME__OUTCOME_UNKNOWN:
        world->result->unknown++;
        break;
    default:
        sim_violation(world, "answer without an outcome");
        break;
    }
}

static bool is_late(const sim_host_t *host, const attempt_t *attempt)
{
    cw_time_us_t due = attempt->deadline_us;

    if (host->process.paused_until > attempt->sent_us && host->process.paused_until > due) {
        due = host->process.paused_until;
    }
    return host->world->now > due + GRACE_US;
}

void sim_callers_respond(sim_host_t *host, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    sim_world_t       *world = host->world;
    sim_callers_t     *callers = world->callers;
    attempt_t         *attempt;
    logical_request_t *request;

    if (caller_id == 0 || caller_id > callers->attempt_count) {
        sim_violation(world, "answer to a caller that does not exist");
        return;
    }
    attempt = &callers->attempts[caller_id - 1];
    request = &callers->requests[attempt->request];
    if (attempt->ended || attempt->host != host->process.endpoint || attempt->host_life != host->process.life) {
        sim_violation(world, "second or foreign answer to attempt %lu", (unsigned long)(caller_id - 1));
        return;
    }
    if (is_late(host, attempt)) {
        sim_violation(world, "answer to attempt %lu came late", (unsigned long)(caller_id - 1));
    }
    if (response->request_id.len == CW_REQUEST_ID_BYTES &&
        memcmp(response->request_id.data, request->id, CW_REQUEST_ID_BYTES) != 0) {
        sim_violation(world, "answer names another request id");
    }
    attempt->ended = true;
    request->open--;
    sim_trace(world, "answer to attempt %lu (%s key %zu) by node %u: %s %s", (unsigned long)(caller_id - 1),
              sim_services[request->service].name, request->key, host->info.id, cw_outcome_text(response->outcome),
              response->reason);
    take_outcome(world, attempt, request, response);
    if (!request->answered && cw_random_below(&callers->random, 1000) < REPEAT_PER_THOUSAND) {
        schedule_repeat(world, attempt->request, REPEAT_PAUSE_US);
    }
}

void sim_callers_effect(sim_world_t *world, const model_job_t *job)
{
    sim_callers_t     *callers = world->callers;
    attempt_t         *attempt;
    logical_request_t *request;

    world->result->effects++;
    if (job->attempt < 0 || (size_t)job->attempt >= callers->attempt_count) {
        sim_violation(world, "effect without an attempt");
        return;
    }
    attempt = &callers->attempts[job->attempt];
    request = &callers->requests[attempt->request];
    attempt->effects++;
    request->effects++;
    if (memcmp(request->id, job->request_id, CW_REQUEST_ID_BYTES) != 0) {
        sim_violation(world, "effect under another request id");
    }
    if (attempt->said_not_run) {
        sim_violation(world, "effect after the answer not run, attempt %ld", (long)job->attempt);
    }
    if (!sim_services[request->service].repeatable) {
        world->result->non_repeatable_effects++;
        if (request->effects > 1) {
            sim_violation(world, "non-repeatable request of %s had %u effects", sim_services[request->service].name,
                          request->effects);
        }
    }
}

/* ---- end ---- */

static bool every_key_is_served(const sim_world_t *world)
{
    const sim_callers_t *callers = world->callers;
    size_t               service;
    size_t               key;

    for (service = 0; service < SIM_SERVICES; service++) {
        for (key = 0; key < SIM_KEYS_PER_SERVICE; key++) {
            const key_service_t *served = &callers->keys[service][key];

            if (!served->was_served ||
                (served->waits_since_us != 0 && served->waits_since_us + SERVED_WITHIN_US < world->now)) {
                return false;
            }
        }
    }
    return true;
}

void sim_callers_end(sim_world_t *world)
{
    sim_callers_t *callers = world->callers;
    size_t         index;

    for (index = 0; index < callers->attempt_count; index++) {
        const attempt_t *attempt = &callers->attempts[index];

        world->result->lost_with_gateway +=
            !attempt->ended && attempt->host_life != world->hosts[attempt->host].process.life;
    }
    world->result->served_at_end = every_key_is_served(world);
    free(callers->requests);
    free(callers->attempts);
    free(callers);
}
