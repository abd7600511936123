/**
 * @file keeper_world.c
 * @brief A keeper with a store of one object and servers whose orders the test answers.
 */
#include "keeper_world.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void give(keeper_world_t *world, cw_store_replied_t replied, void *data, cw_store_reply_t *reply)
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
    keeper_world_t  *world = context;
    cw_store_reply_t reply = {.result = world->object == NULL ? CW_STORE_NOT_FOUND : CW_STORE_DONE,
                              .revision = world->object == NULL ? 0 : world->revision,
                              .value = world->object};

    (void)kind;
    (void)name;
    give(world, replied, data, &reply);
}

static void write_object(keeper_world_t *world, bool allowed, json_t *value, cw_store_replied_t replied, void *data)
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
    keeper_world_t *world = context;

    (void)kind;
    (void)name;
    write_object(world, world->object == NULL, value, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    keeper_world_t *world = context;

    (void)kind;
    (void)name;
    write_object(world, world->object != NULL && world->revision == revision, value, replied, data);
}

static void take_order(void *context, const cw_order_t *order)
{
    keeper_world_t *world = context;

    ck_assert_uint_lt(world->order_count, KEEPER_ORDERS_MAX);
    world->orders[world->order_count++] = *order;
}

static void note_change(void *context)
{
    ((keeper_world_t *)context)->changes++;
}

static void note(void *context, const char *service, const char *event, const cw_range_t *range, const char *detail)
{
    (void)context;
    (void)service;
    (void)event;
    (void)range;
    (void)detail;
}

static void create_keeper(keeper_world_t *world, uint64_t term)
{
    cw_keeper_settings_t settings = {.hold = CW_MS(5000),
                                     .hold_long = CW_MS(8000),
                                     .renew_every = CW_MS(1250),
                                     .order_timeout = CW_MS(350),
                                     .release_timeout = CW_MS(1500),
                                     .late_orders = CW_SECONDS(13),
                                     .table_valid = CW_MS(4000)};
    cw_keeper_ports_t    ports = {
           .context = world, .store = &world->port, .order = take_order, .changed = note_change, .note = note};

    world->keeper = cw_keeper_create("service", term, 1000 + term, &settings, &ports);
}

void keeper_world_init(keeper_world_t *world, uint64_t term)
{
    memset(world, 0, sizeof(*world));
    world->now = CW_SECONDS(100);
    world->port =
        (cw_store_port_t){.context = world, .read = read_object, .create = create_object, .replace = replace_object};
    create_keeper(world, term);
}

void keeper_world_take_over(keeper_world_t *world, uint64_t term)
{
    cw_keeper_free(world->keeper);
    world->waiting = NULL;
    world->answered = world->order_count;
    create_keeper(world, term);
}

void keeper_world_clear(keeper_world_t *world)
{
    cw_keeper_free(world->keeper);
    cw_server_list_release(world->servers);
    json_decref(world->object);
    json_decref(world->waiting_value);
}

void keeper_world_servers(keeper_world_t *world, const char *const *texts)
{
    cw_server_list_t *list = cw_server_list_create();
    char              id[64];
    char              address[64];

    for (; *texts != NULL; texts++) {
        cw_server_entry_t *entry = cw_server_list_add(list);

        ck_assert_int_eq(sscanf(*texts, "%63[^@]@%63[^!]", id, address), 2);
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

void keeper_world_tick(keeper_world_t *world, cw_time_us_t passed)
{
    world->now += passed;
    cw_keeper_tick(world->keeper, world->servers, true, false, world->now);
}

void keeper_world_answer(keeper_world_t *world, cw_order_result_t result, const char *handover)
{
    while (world->answered < world->order_count) {
        cw_order_t order = world->orders[world->answered++];

        cw_keeper_order_done(world->keeper, order.id, result, handover, world->now);
    }
}

void keeper_world_answer_store(keeper_world_t *world)
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

void keeper_world_settle(keeper_world_t *world)
{
    const cw_server_entry_t *entries[16];
    size_t                   index;

    keeper_world_tick(world, 0);
    ck_assert_int_eq(cw_keeper_state(world->keeper), CW_KEEPER_EMPTY);
    for (index = 0; index < world->servers->count; index++) {
        entries[index] = &world->servers->entries[index];
    }
    cw_keeper_plan_first(world->keeper, entries, world->servers->count, world->now);
    keeper_world_tick(world, CW_MS(20));
    keeper_world_tick(world, CW_MS(20));
    keeper_world_answer(world, CW_ORDER_DONE, NULL);
}

size_t keeper_world_count(const keeper_world_t *world, cw_order_kind_t kind, size_t from)
{
    size_t count = 0;
    size_t index;

    for (index = from; index < world->order_count; index++) {
        count += world->orders[index].kind == kind ? 1 : 0;
    }
    return count;
}

const cw_range_t *keeper_world_range(const keeper_world_t *world, uint32_t key)
{
    return cw_range_list_find(cw_keeper_ranges(world->keeper), key);
}
