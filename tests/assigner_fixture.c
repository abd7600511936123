/**
 * @file assigner_fixture.c
 * @brief An assigner with a store of one object and servers whose orders the test answers.
 */
#include "assigner_fixture.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void give(assigner_world_t *world, cw_store_replied_t replied, void *data, cw_store_reply_t *reply)
{
    if (world->hold_answers) {
        ck_assert_ptr_null(world->waiting);
        world->waiting = replied;
        world->waiting_data = data;
        world->waiting_reply = *reply;
        world->waiting_value = json_deep_copy(reply->value);
        return;
    }
    replied(data, reply);
}

static void read_object(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data)
{
    assigner_world_t *world = context;
    cw_store_reply_t  reply = {.result = world->object == NULL ? CW_STORE_NOT_FOUND : CW_STORE_DONE,
                               .revision = world->object == NULL ? 0 : world->revision,
                               .value = world->object};

    (void)kind;
    (void)name;
    give(world, replied, data, &reply);
}

static void write_object(assigner_world_t *world, bool allowed, json_t *value, cw_store_replied_t replied, void *data)
{
    cw_store_reply_t  reply = {.result = CW_STORE_CONFLICT, .revision = world->revision, .value = world->object};
    cw_store_result_t fail = world->fail_next;

    world->fail_next = CW_STORE_DONE;
    if (allowed && (fail == CW_STORE_DONE || world->done_before_fail)) {
        json_decref(world->object);
        world->object = json_deep_copy(value);
        world->revision++;
        world->writes++;
        reply = (cw_store_reply_t){.result = CW_STORE_DONE, .revision = world->revision, .value = world->object};
    }
    if (fail != CW_STORE_DONE) {
        reply = (cw_store_reply_t){.result = fail};
    }
    give(world, replied, data, &reply);
}

static void create_object(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                          void *data)
{
    assigner_world_t *world = context;

    (void)kind;
    (void)name;
    write_object(world, world->object == NULL, value, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    assigner_world_t *world = context;

    (void)kind;
    (void)name;
    write_object(world, world->object != NULL && world->revision == revision, value, replied, data);
}

static void take_order(void *context, const cw_order_t *order)
{
    assigner_world_t *world = context;

    ck_assert_uint_lt(world->order_count, ASSIGNER_ORDERS_MAX);
    world->orders[world->order_count++] = *order;
}

static void note_change(void *context)
{
    ((assigner_world_t *)context)->changes++;
}

static void note(void *context, const char *service, const char *event, const cw_range_t *range, const char *detail)
{
    (void)context;
    (void)service;
    (void)event;
    (void)range;
    (void)detail;
}

static void create_assigner(assigner_world_t *world, uint64_t term)
{
    cw_assigner_settings_t settings = {.hold = CW_MS(5000),
                                       .hold_long = CW_MS(8000),
                                       .max_hold = CW_MS(8000),
                                       .renew_every = CW_MS(1250),
                                       .order_timeout = CW_MS(350),
                                       .release_timeout = CW_MS(1500),
                                       .late_order_time = CW_SECONDS(13),
                                       .table_validity = CW_MS(4000)};
    cw_assigner_ports_t    ports = {
           .context = world, .store = &world->port, .order = take_order, .changed = note_change, .note = note};

    world->assigner = cw_assigner_create("service", term, 1000 + term, &settings, &ports);
}

void assigner_world_init(assigner_world_t *world, uint64_t term)
{
    memset(world, 0, sizeof(*world));
    world->now = CW_SECONDS(100);
    world->port =
        (cw_store_port_t){.context = world, .read = read_object, .create = create_object, .replace = replace_object};
    create_assigner(world, term);
}

void assigner_world_take_over(assigner_world_t *world, uint64_t term)
{
    cw_assigner_free(world->assigner);
    world->waiting = NULL;
    world->answered = world->order_count;
    create_assigner(world, term);
}

void assigner_world_clear(assigner_world_t *world)
{
    cw_assigner_free(world->assigner);
    cw_server_list_release(world->servers);
    json_decref(world->object);
    json_decref(world->waiting_value);
}

void assigner_world_servers(assigner_world_t *world, const char *const *texts)
{
    cw_server_list_t *list = cw_server_list_create();
    char              id[64];
    char              address[64];

    for (; *texts != NULL; texts++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        ck_assert_int_eq(sscanf(*texts, "%63[^@]@%63[^!]", id, address), 2);
        if (strchr(id, '#') != NULL) {
            *strchr(id, '#') = CW_SERVER_ID_MARK;
        }
        entry->id = strdup(id);
        entry->address = strdup(address);
        entry->service = strdup("service");
        entry->zone = strdup("z");
        entry->capacity = 2;
        entry->draining = strchr(*texts, '!') != NULL;
    }
    cw_server_list_seal(list);
    cw_server_list_release(world->servers);
    world->servers = list;
}

void assigner_world_tick(assigner_world_t *world, cw_time_us_t passed)
{
    world->now += passed;
    cw_assigner_tick(world->assigner, world->servers, true, false, world->now);
}

void assigner_world_answer(assigner_world_t *world, cw_order_result_t result, const char *handover)
{
    while (world->answered < world->order_count) {
        cw_order_t order = world->orders[world->answered++];

        cw_assigner_order_done(world->assigner, order.id, result, handover, world->now);
    }
}

void assigner_world_answer_store(assigner_world_t *world)
{
    cw_store_replied_t replied = world->waiting;
    cw_store_reply_t   reply = world->waiting_reply;
    json_t            *value = world->waiting_value;

    ck_assert_ptr_nonnull(replied);
    world->waiting = NULL;
    world->waiting_value = NULL;
    reply.value = value;
    replied(world->waiting_data, &reply);
    json_decref(value);
}

void assigner_world_settle(assigner_world_t *world)
{
    const cw_server_entry_t *entries[16];
    size_t                   index;

    assigner_world_tick(world, 0);
    ck_assert_int_eq(cw_assigner_state(world->assigner), CW_ASSIGNER_EMPTY);
    for (index = 0; index < world->servers->count; index++) {
        entries[index] = &world->servers->entries[index];
    }
    cw_assigner_plan_first(world->assigner, entries, world->servers->count, world->now);
    assigner_world_tick(world, CW_MS(20));
    assigner_world_tick(world, CW_MS(20));
    assigner_world_answer(world, CW_ORDER_DONE, NULL);
}

size_t assigner_world_count(const assigner_world_t *world, cw_order_kind_t kind, size_t from)
{
    size_t count = 0;
    size_t index;

    for (index = from; index < world->order_count; index++) {
        count += world->orders[index].kind == kind ? 1 : 0;
    }
    return count;
}

const cw_range_t *assigner_world_range(const assigner_world_t *world, uint32_t key)
{
    return cw_range_list_find(cw_assigner_ranges(world->assigner), key);
}
