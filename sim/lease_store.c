/**
 * @file lease_store.c
 * @brief Model of the store: conditional writes whose answers may be lost, and which may be done seconds later; it may
 *        come back from a copy, with lower revisions that are given out again.
 */
#include <stdlib.h>
#include <string.h>

#include "lease_internal.h"
#include "model/store_epoch.h"

enum { ANSWER_US = 2000, ANSWER_SPREAD_US = 4000, TIMEOUT_MS = 1200, LATE_FIRST_MS = 1000, LATE_SPREAD_MS = 5000 };

typedef enum sim_call_kind { SIM_READ, SIM_CREATE, SIM_REPLACE } sim_call_kind_t;

/** A call of a node to the store. */
typedef struct sim_call {
    sim_node_t        *node;
    uint64_t           incarnation;
    sim_call_kind_t    kind;
    sim_object_t      *object;
    uint64_t           revision;
    json_t            *value;
    cw_store_replied_t replied;
    void              *data;
    cw_store_result_t  result;
    uint64_t           reply_epoch;
    uint64_t           reply_revision;
    json_t            *reply_value;
} sim_call_t;

static void free_call(sim_call_t *call)
{
    json_decref(call->value);
    json_decref(call->reply_value);
    free(call);
}

static void deliver_answer(sim_world_t *world, void *data)
{
    sim_call_t      *call = data;
    sim_node_t      *node = call->node;
    cw_store_reply_t reply = {.result = call->result,
                              .epoch = call->reply_epoch,
                              .revision = call->reply_revision,
                              .value = call->reply_value};

    if (node->incarnation != call->incarnation || !node->up) {
        free_call(call);
        return;
    }
    if (node->frozen_until > world->now) { /* the node receives the answer at the end of the freeze */
        sim_schedule(world, node->frozen_until, deliver_answer, call);
        return;
    }
    call->replied(call->data, &reply);
    free_call(call);
}

/* Carries a call out in the store, and sets its result. */
static void apply_call(sim_world_t *world, sim_call_t *call)
{
    sim_object_t *object = call->object;
    bool          condition_holds = call->kind == SIM_CREATE
                                        ? object->value == NULL
                                        : object->value != NULL && object->revision == cw_store_revision_count(call->revision);

    call->result = CW_STORE_DONE;
    if (call->kind == SIM_READ) {
        call->result = object->value == NULL ? CW_STORE_NOT_FOUND : CW_STORE_DONE;
    } else if (condition_holds) {
        json_decref(object->value);
        object->value = json_deep_copy(call->value);
        object->revision = ++world->revision;
    } else {
        call->result = object->value == NULL ? CW_STORE_NOT_FOUND : CW_STORE_CONFLICT;
    }
    call->reply_epoch = world->epoch;
    call->reply_revision = cw_store_revision_join(world->epoch, object->revision);
    json_decref(call->reply_value);
    call->reply_value = json_deep_copy(object->value);
    if (call->kind == SIM_REPLACE && call->result == CW_STORE_DONE &&
        world->epoch != cw_store_revision_epoch(call->revision)) { /* as the adapter reports it */
        call->result = CW_STORE_UNKNOWN;
    }
}

/* Carries a call out whose caller has got no answer. */
static void apply_late_call(sim_world_t *world, void *data)
{
    sim_call_t *call = data;

    apply_call(world, call);
    free_call(call);
}

static void leave_unanswered(sim_world_t *world, sim_call_t *call)
{
    call->result = CW_STORE_UNKNOWN;
    call->reply_epoch = 0;
    call->reply_revision = 0;
    json_decref(call->reply_value);
    call->reply_value = NULL;
    sim_schedule(world, world->now + CW_MS(TIMEOUT_MS), deliver_answer, call);
}

static sim_call_t *copy_call(const sim_call_t *call)
{
    sim_call_t *copy = malloc(sizeof(*copy));

    if (copy == NULL) {
        abort();
    }
    *copy = *call;
    copy->value = json_deep_copy(call->value);
    copy->reply_value = NULL;
    return copy;
}

static void on_call_arrived(sim_world_t *world, void *data)
{
    sim_call_t *call = data;
    bool        is_write = call->kind != SIM_READ;
    bool        has_faults = sim_has_faults(world);

    if (call->node->cut_store || world->store_down_until > world->now) {
        if (sim_random_bool(world, 0.5)) {
            leave_unanswered(world, call);
            return;
        }
        call->result = CW_STORE_REFUSED;
        sim_schedule(world, world->now + ANSWER_US, deliver_answer, call);
        return;
    }
    if (is_write && has_faults && sim_random_bool(world, world->settings.store_late)) {
        sim_schedule(world, world->now + CW_MS(LATE_FIRST_MS + sim_random_below(world, LATE_SPREAD_MS)),
                     apply_late_call, copy_call(call));
        leave_unanswered(world, call);
        return;
    }
    apply_call(world, call);
    if (is_write && has_faults && sim_random_bool(world, world->settings.store_lost)) {
        leave_unanswered(world, call);
        return;
    }
    sim_schedule(world, world->now + ANSWER_US + (cw_time_us_t)sim_random_below(world, ANSWER_SPREAD_US),
                 deliver_answer, call);
}

static void start_call(sim_node_t *node, sim_call_kind_t kind, const char *object_kind, uint64_t revision,
                       json_t *value, cw_store_replied_t replied, void *data)
{
    sim_world_t *world = node->world;
    sim_call_t  *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        abort();
    }
    call->node = node;
    call->incarnation = node->incarnation;
    call->kind = kind;
    call->object = strcmp(object_kind, "leaders") == 0 ? &world->lock : &world->record;
    call->revision = revision;
    call->value = json_deep_copy(value);
    call->replied = replied;
    call->data = data;
    sim_schedule(world, world->now + ANSWER_US + (cw_time_us_t)sim_random_below(world, ANSWER_SPREAD_US),
                 on_call_arrived, call);
}

static void read_object(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data)
{
    (void)name;
    start_call(context, SIM_READ, kind, 0, NULL, replied, data);
}

static void create_object(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                          void *data)
{
    (void)name;
    start_call(context, SIM_CREATE, kind, 0, value, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    (void)name;
    start_call(context, SIM_REPLACE, kind, revision, value, replied, data);
}

/* ---- copies ---- */

static void copy_object(sim_object_t *to, const sim_object_t *from)
{
    json_decref(to->value);
    to->value = json_deep_copy(from->value);
    to->revision = from->revision;
}

void sim_store_copy(sim_world_t *world, void *data)
{
    sim_copy_t *copy = &world->copies[world->copy_count++ % CW_SIM_COPIES];

    (void)data;
    copy->at = world->now;
    copy_object(&copy->lock, &world->lock);
    copy_object(&copy->record, &world->record);
    copy->revision = world->revision;
    sim_schedule(world, world->now + CW_MS(CW_SIM_COPY_INTERVAL_MS), sim_store_copy, NULL);
}

static void come_back(sim_world_t *world, void *data)
{
    const sim_copy_t *copy = data;

    copy_object(&world->lock, &copy->lock);
    copy_object(&world->record, &copy->record);
    world->revision = copy->revision;
    world->epoch++;
    world->result->restores++;
    if (world->settings.lists_lag) {
        sim_list_publish(world);
    }
}

void sim_store_restore(sim_world_t *world, cw_time_us_t down, cw_time_us_t age)
{
    const sim_copy_t *copy = NULL;
    size_t            index;

    if (world->store_down_until > world->now) {
        return; /* one at a time */
    }
    for (index = 0; index < CW_SIM_COPIES; index++) {
        const sim_copy_t *other = &world->copies[index];

        if (other->at != 0 && other->at <= world->now - age && (copy == NULL || other->at > copy->at)) {
            copy = other;
        }
    }
    if (copy != NULL) {
        world->store_down_until = world->now + down;
        sim_schedule(world, world->now + down, come_back, (void *)copy);
    }
}

void sim_store_clear(sim_world_t *world)
{
    size_t index;

    json_decref(world->lock.value);
    json_decref(world->record.value);
    for (index = 0; index < CW_SIM_COPIES; index++) {
        json_decref(world->copies[index].lock.value);
        json_decref(world->copies[index].record.value);
    }
}

void sim_store_port(sim_node_t *node)
{
    node->port =
        (cw_store_port_t){.context = node, .read = read_object, .create = create_object, .replace = replace_object};
}
