/**
 * @file assigner_fixture.c
 * @brief Test fixture: an assigner with a store of one object, and servers whose orders the test answers.
 */
#include "assigner_fixture.h"
#include "model/store_epoch.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void deliver(assigner_fixture_t *fixture, cw_store_replied_t replied, void *data, cw_store_reply_t *reply)
{
    if (fixture->delays_answers) {
        ck_assert_ptr_null(fixture->waiting);
        fixture->waiting = replied;
        fixture->waiting_data = data;
        fixture->waiting_reply = *reply;
        fixture->waiting_value = json_deep_copy(reply->value);
        return;
    }
    replied(data, reply);
}

/* Revision of the object with the epoch; 0: there is none. */
static uint64_t revision_of(const assigner_fixture_t *fixture)
{
    return fixture->object == NULL ? 0 : cw_store_revision_join(fixture->epoch, fixture->revision);
}

static void read_object(void *context, const char *kind, const char *name, cw_store_replied_t replied, void *data)
{
    assigner_fixture_t *fixture = context;
    cw_store_reply_t    reply = {.result = fixture->object == NULL ? CW_STORE_NOT_FOUND : CW_STORE_DONE,
                                 .epoch = fixture->epoch,
                                 .revision = revision_of(fixture),
                                 .value = fixture->object};

    (void)kind;
    (void)name;
    deliver(fixture, replied, data, &reply);
}

/* epoch: that of the write's condition. As with the adapter, a write that is done in another one has an unknown
 * outcome. */
static void write_object(assigner_fixture_t *fixture, bool allowed, uint64_t epoch, json_t *value,
                         cw_store_replied_t replied, void *data)
{
    cw_store_reply_t  reply = {.result = CW_STORE_CONFLICT,
                               .epoch = fixture->epoch,
                               .revision = revision_of(fixture),
                               .value = fixture->object};
    cw_store_result_t fail = fixture->fail_next;

    fixture->fail_next = CW_STORE_DONE;
    if (allowed && (fail == CW_STORE_DONE || fixture->done_before_fail)) {
        json_decref(fixture->object);
        fixture->object = json_deep_copy(value);
        fixture->revision++;
        fixture->writes++;
        reply.result = epoch == fixture->epoch ? CW_STORE_DONE : CW_STORE_UNKNOWN;
        reply.revision = revision_of(fixture);
        reply.value = fixture->object;
    }
    if (fail != CW_STORE_DONE) {
        reply = (cw_store_reply_t){.result = fail};
    }
    deliver(fixture, replied, data, &reply);
}

static void create_object(void *context, const char *kind, const char *name, json_t *value, cw_store_replied_t replied,
                          void *data)
{
    assigner_fixture_t *fixture = context;

    (void)kind;
    (void)name;
    write_object(fixture, fixture->object == NULL, fixture->epoch, value, replied, data);
}

static void replace_object(void *context, const char *kind, const char *name, uint64_t revision, json_t *value,
                           cw_store_replied_t replied, void *data)
{
    assigner_fixture_t *fixture = context;

    (void)kind;
    (void)name;
    write_object(fixture, fixture->object != NULL && fixture->revision == cw_store_revision_count(revision),
                 cw_store_revision_epoch(revision), value, replied, data);
}

static void take_order(void *context, const cw_order_t *order)
{
    assigner_fixture_t *fixture = context;

    if (order->kind == CW_ORDER_PROBE && !fixture->keeps_probes) {
        cw_assigner_order_done(fixture->assigner, order->id, CW_ORDER_DONE, NULL, order->sent_at);
        return;
    }
    ck_assert_uint_lt(fixture->order_count, ASSIGNER_ORDERS_MAX);
    fixture->orders[fixture->order_count++] = *order;
    cw_assigner_order_leaves(fixture->assigner, order->id, order->sent_at + fixture->begin_delay);
}

static void on_change(void *context)
{
    ((assigner_fixture_t *)context)->changes++;
}

static void on_decision(void *context, const cw_assignment_decision_t *decision)
{
    assigner_fixture_t *fixture = context;

    fixture->decision = *decision;
    fixture->decided_range = *decision->range;
    fixture->decision.range = &fixture->decided_range;
}

static void create_assigner(assigner_fixture_t *fixture, uint64_t term)
{
    cw_assigner_settings_t settings = {.hold = CW_MS(5000),
                                       .hold_long = CW_MS(8000),
                                       .max_hold = CW_MS(8000),
                                       .renew_every = CW_MS(1250),
                                       .order_timeout = CW_MS(ASSIGNER_ORDER_TIMEOUT_MS),
                                       .release_timeout = CW_MS(1500),
                                       .late_order_time = CW_SECONDS(13),
                                       .table_validity = CW_MS(4000),
                                       .loss = fixture->loss};
    cw_assigner_ports_t    ports = {.context = fixture,
                                    .store = &fixture->port,
                                    .send_order = take_order,
                                    .on_change = on_change,
                                    .log_decision = on_decision};

    fixture->assigner = cw_assigner_create("service", term, 1000 + term, &settings, &ports);
}

void assigner_fixture_init(assigner_fixture_t *fixture, uint64_t term)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = CW_SECONDS(100);
    fixture->port =
        (cw_store_port_t){.context = fixture, .read = read_object, .create = create_object, .replace = replace_object};
    create_assigner(fixture, term);
}

void assigner_fixture_take_over(assigner_fixture_t *fixture, uint64_t term)
{
    cw_assigner_free(fixture->assigner);
    fixture->waiting = NULL;
    fixture->answered = fixture->order_count;
    create_assigner(fixture, term);
}

void assigner_fixture_restore(assigner_fixture_t *fixture, json_t *object, uint64_t revision)
{
    json_decref(fixture->object);
    fixture->object = object;
    fixture->revision = revision;
    fixture->epoch++;
}

void assigner_fixture_clear(assigner_fixture_t *fixture)
{
    cw_assigner_free(fixture->assigner);
    cw_server_list_release(fixture->servers);
    json_decref(fixture->object);
    json_decref(fixture->waiting_value);
}

void assigner_fixture_set_servers(assigner_fixture_t *fixture, const char *const *texts)
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
    cw_server_list_release(fixture->servers);
    fixture->servers = list;
}

void assigner_fixture_tick(assigner_fixture_t *fixture, cw_time_us_t passed)
{
    fixture->now += passed;
    cw_assigner_tick(fixture->assigner, fixture->servers, true, false, fixture->now);
}

void assigner_fixture_answer(assigner_fixture_t *fixture, cw_order_result_t result, const char *handover)
{
    while (fixture->answered < fixture->order_count) {
        cw_order_t order = fixture->orders[fixture->answered++];

        cw_assigner_order_done(fixture->assigner, order.id, result, handover, fixture->now);
    }
}

void assigner_fixture_answer_store(assigner_fixture_t *fixture)
{
    cw_store_replied_t replied = fixture->waiting;
    cw_store_reply_t   reply = fixture->waiting_reply;
    json_t            *value = fixture->waiting_value;

    ck_assert_ptr_nonnull(replied);
    fixture->waiting = NULL;
    fixture->waiting_value = NULL;
    reply.value = value;
    replied(fixture->waiting_data, &reply);
    json_decref(value);
}

void assigner_fixture_settle(assigner_fixture_t *fixture)
{
    const cw_server_entry_t *entries[16];
    size_t                   index;

    assigner_fixture_tick(fixture, 0);
    ck_assert_int_eq(cw_assigner_state(fixture->assigner), CW_ASSIGNER_EMPTY);
    for (index = 0; index < fixture->servers->count; index++) {
        entries[index] = &fixture->servers->entries[index];
    }
    cw_assigner_plan_first(fixture->assigner, entries, fixture->servers->count, fixture->now);
    assigner_fixture_tick(fixture, CW_MS(20));
    assigner_fixture_tick(fixture, CW_MS(20));
    assigner_fixture_answer(fixture, CW_ORDER_DONE, NULL);
}

size_t assigner_fixture_count(const assigner_fixture_t *fixture, cw_order_kind_t kind, size_t from)
{
    size_t count = 0;
    size_t index;

    for (index = from; index < fixture->order_count; index++) {
        count += fixture->orders[index].kind == kind ? 1 : 0;
    }
    return count;
}

const cw_range_t *assigner_fixture_range(const assigner_fixture_t *fixture, uint32_t key)
{
    return cw_range_list_find(cw_assigner_ranges(fixture->assigner), key);
}
