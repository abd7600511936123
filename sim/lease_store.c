/**
 * @file lease_store.c
 * @brief The store: conditional writes that may be answered, lost, or done seconds later.
 */
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"

enum { ANSWER_US = 2000, ANSWER_SPREAD_US = 4000, TIMEOUT_MS = 1200, LATE_FIRST_MS = 1000, LATE_SPREAD_MS = 5000 };

typedef enum sim_call_kind { SIM_READ, SIM_CREATE, SIM_REPLACE } sim_call_kind_t;

typedef struct sim_call {
    sim_node_t        *node;
    uint64_t           life;
    sim_call_kind_t    kind;
    sim_object_t      *object;
    uint64_t           revision;
    json_t            *value;
    cw_store_replied_t replied;
    void              *data;
    cw_store_result_t  result;
    uint64_t           told_revision;
    json_t            *told;
} sim_call_t;

static void free_call(sim_call_t *call)
{
    json_decref(call->value);
    json_decref(call->told);
    free(call);
}

static void answer(sim_world_t *world, void *data)
{
    sim_call_t      *call = data;
    sim_node_t      *node = call->node;
    cw_store_reply_t reply = {.result = call->result, .revision = call->told_revision, .value = call->told};

    if (node->life != call->life || !node->up) {
        free_call(call);
        return;
    }
    if (node->frozen_until > world->now) { /* taken when it wakes */
        sim_at(world, node->frozen_until, answer, call);
        return;
    }
    call->replied(call->data, &reply);
    free_call(call);
}

/* The call reaches the store: what it does there. */
static void take_effect(sim_world_t *world, sim_call_t *call)
{
    sim_object_t *object = call->object;
    bool          fits =
        call->kind == SIM_CREATE ? object->value == NULL : object->value != NULL && object->revision == call->revision;

    call->result = CW_STORE_DONE;
    if (call->kind == SIM_READ) {
        call->result = object->value == NULL ? CW_STORE_NOT_FOUND : CW_STORE_DONE;
    } else if (fits) {
        json_decref(object->value);
        object->value = json_deep_copy(call->value);
        object->revision = ++world->revision;
    } else {
        call->result = object->value == NULL ? CW_STORE_NOT_FOUND : CW_STORE_CONFLICT;
    }
    call->told_revision = object->revision;
    json_decref(call->told);
    call->told = json_deep_copy(object->value);
}

/* Done although the caller was told nothing. */
static void take_effect_late(sim_world_t *world, void *data)
{
    sim_call_t *call = data;

    take_effect(world, call);
    free_call(call);
}

static void tell_nothing(sim_world_t *world, sim_call_t *call)
{
    call->result = CW_STORE_UNKNOWN;
    call->told_revision = 0;
    json_decref(call->told);
    call->told = NULL;
    sim_at(world, world->now + CW_MS(TIMEOUT_MS), answer, call);
}

static sim_call_t *copy_call(const sim_call_t *call)
{
    sim_call_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    *copy = *call;
    copy->value = json_deep_copy(call->value);
    copy->told = NULL;
    return copy;
}

static void arrive(sim_world_t *world, void *data)
{
    sim_call_t *call = data;
    bool        is_write = call->kind != SIM_READ;
    bool        rough = sim_is_rough(world);

    if (call->node->cut_store || world->store_down_until > world->now) {
        if (sim_is(world, 0.5)) {
            tell_nothing(world, call);
            return;
        }
        call->result = CW_STORE_REFUSED;
        sim_at(world, world->now + ANSWER_US, answer, call);
        return;
    }
    if (is_write && rough && sim_is(world, world->settings.store_late)) {
        sim_at(world, world->now + CW_MS(LATE_FIRST_MS + sim_below(world, LATE_SPREAD_MS)), take_effect_late,
               copy_call(call));
        tell_nothing(world, call);
        return;
    }
    take_effect(world, call);
    if (is_write && rough && sim_is(world, world->settings.store_lost)) {
        tell_nothing(world, call);
        return;
    }
    sim_at(world, world->now + ANSWER_US + (cw_time_us_t)sim_below(world, ANSWER_SPREAD_US), answer, call);
}

static void start(sim_node_t *node, sim_call_kind_t kind, const char *object_kind, uint64_t revision, json_t *value,
                  cw_store_replied_t replied, void *data)
{
    sim_world_t *world = node->world;
    sim_call_t  *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->node = node;
    call->life = node->life;
    call->kind = kind;
    call->object = strcmp(object_kind, "leaders") == 0 ? &world->lock : &world->record;
    call->revision = revision;
    call->value = json_deep_copy(value);
    call->replied = replied;
    call->data = data;
    sim_at(world, world->now + ANSWER_US + (cw_time_us_t)sim_below(world, ANSWER_SPREAD_US), arrive, call);
}

static void read_object(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data)
{
    (void)name;
    start(context, SIM_READ, kind, 0, NULL, replied, data);
}

static void create_object(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                          void *data)
{
    (void)name;
    start(context, SIM_CREATE, kind, 0, value, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    (void)name;
    start(context, SIM_REPLACE, kind, revision, value, replied, data);
}

void sim_store_port(sim_node_t *node)
{
    node->port =
        (cw_store_port_t){.context = node, .read = read_object, .create = create_object, .replace = replace_object};
}
