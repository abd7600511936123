/**
 * @file zone.c
 * @brief `cedarwinch zone out` and `cedarwinch zone in`: takes a zone out of service or puts it back, with a plan.
 *
 * The store has one object for each zone that is out of service; it is created or deleted by one write. Two operators
 * who take two zones out at the same moment do not see each other's change in their plans. After the write the state is
 * therefore read once more, and the zones that are left to each service are checked again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "assignment/range.h"
#include "base/error.h"
#include "base/memory.h"
#include "cli/cli.h"
#include "intent/zone_plan.h"
#include "router/adapter.h"

/** State of one command. */
typedef struct zone_session {
    uv_loop_t           loop;
    void               *adapter;
    const char         *zone;
    cw_zone_change_t    change;
    bool                done; /**< the call in flight has ended */
    cw_store_result_t   result;
    cw_server_list_t   *servers;
    cw_configuration_t *configuration;
    cw_zone_keys_t     *keys;
    size_t              key_count;
    cw_zone_plan_t      plan;
} zone_session_t;

/* ---- the store's answers ---- */

static void on_configuration_watched(void *context, cw_configuration_t *configuration, const char *problem)
{
    (void)context;
    (void)problem;
    cw_configuration_release(configuration);
}

static void on_newest_watched(void *context, uint64_t version, cw_time_us_t at)
{
    (void)context;
    (void)version;
    (void)at;
}

static void on_answered(void *context, bool is_answered, cw_time_us_t asked_at)
{
    (void)asked_at;
    (void)context;
    (void)is_answered;
}

static void on_servers(void *context, const cw_servers_read_t *read)
{
    zone_session_t *session = context;

    cw_server_list_release(session->servers);
    session->servers = read->list;
    session->done = true;
}

/* The configuration is read only to show the keys in the plan; a zone can also be taken out if it cannot be read. */
static void on_configuration(void *context, const cw_accepted_t *accepted)
{
    zone_session_t *session = context;

    if (accepted->problem != NULL) {
        fprintf(stderr, "cedarwinch: the accepted configuration cannot be read: %s; owners of keys are not listed\n",
                accepted->problem);
    }
    session->result = accepted->result;
    session->configuration = accepted->configuration;
    session->done = true;
}

/* Share of the keys whose owners are in the zone. */
static double share_of(const zone_session_t *session, const cw_range_list_t *ranges)
{
    double keys = 0;
    size_t index;

    for (index = 0; index < ranges->count; index++) {
        const cw_range_t        *range = &ranges->items[index];
        const cw_server_entry_t *owner = cw_server_list_find(session->servers, range->owner.id);

        if (owner != NULL && strcmp(owner->zone, session->zone) == 0) {
            keys += (double)range->last - range->low + 1;
        }
    }
    return keys / (CW_KEY_LAST + 1);
}

static void on_record(void *context, const cw_store_reply_t *reply)
{
    zone_session_t        *session = context;
    cw_assignment_record_t record;

    session->result = reply->result;
    session->done = true;
    if (reply->result == CW_STORE_DONE && cw_assignment_record_from_json(&record, reply->value)) {
        session->keys[session->key_count++].share = share_of(session, &record.ranges);
        cw_range_list_clear(&record.ranges);
    }
}

static void on_written(void *context, const cw_store_reply_t *reply)
{
    zone_session_t *session = context;

    session->result = reply->result;
    session->done = true;
}

static void wait_for_answer(zone_session_t *session)
{
    while (!session->done) {
        uv_run(&session->loop, UV_RUN_ONCE);
    }
    session->done = false;
}

/* ---- reading ---- */

static bool read_servers(zone_session_t *session)
{
    const cw_store_port_t *store = cw_adapter.store(session->adapter);

    store->read_servers(store->context, CW_LIST_READ);
    wait_for_answer(session);
    return session->servers != NULL;
}

/* Reads the owners of the keys of each keyed service. If a record cannot be read, its service is shown without keys. */
static void read_keys(zone_session_t *session)
{
    const cw_store_port_t    *store = cw_adapter.store(session->adapter);
    const cw_configuration_t *configuration = session->configuration;
    size_t                    index;

    session->keys = cw_memory_zeroed_items(configuration->service_count + 1, sizeof(*session->keys));
    for (index = 0; index < configuration->service_count; index++) {
        if (configuration->services[index].keyed) {
            session->keys[session->key_count].service = configuration->services[index].name;
            store->read(store->context, CW_ASSIGNMENTS_KIND, configuration->services[index].name, on_record, session);
            wait_for_answer(session);
        }
    }
}

static int read_state(zone_session_t *session)
{
    if (!read_servers(session)) {
        fprintf(stderr, "cedarwinch: the store did not answer; nothing was changed\n");
        return CW_EXIT_UNAVAILABLE;
    }
    cw_adapter.read_accepted(session->adapter, on_configuration, session);
    wait_for_answer(session);
    if (session->configuration != NULL) {
        read_keys(session);
    }
    return CW_EXIT_DONE;
}

static int make_plan(zone_session_t *session)
{
    cw_findings_t findings;
    int           error;

    cw_zone_plan_clear(&session->plan);
    cw_findings_init(&findings);
    error = cw_zone_plan_make(&session->plan, session->zone, session->change, session->servers, session->keys,
                              session->key_count, &findings);
    cw_findings_print(&findings, stdout);
    cw_findings_clear(&findings);
    return error == CW_OK ? CW_EXIT_DONE : CW_EXIT_REFUSED;
}

/* ---- writing ---- */

static bool is_change_done(const zone_session_t *session)
{
    return cw_name_set_has(&session->servers->zones_out, session->zone) == (session->change == CW_ZONE_TAKEN_OUT);
}

/* Removes this zone from the zones out of service in the list that was read, so that the plan can be made again. */
static void remove_own_zone(zone_session_t *session)
{
    cw_name_set_t out = {0};
    size_t        index;

    cw_name_set_copy(&out, &session->servers->zones_out);
    cw_name_set_clear(&session->servers->zones_out);
    for (index = 0; index < out.count; index++) {
        if (strcmp(out.names[index], session->zone) != 0) {
            cw_name_set_add(&session->servers->zones_out, out.names[index]);
        }
    }
    cw_name_set_clear(&out);
}

/* Reads the state after a write whose answer may have been lost, and reports services that would have no
 * server left because another operator has taken out another zone at the same moment. */
static int verify_write(zone_session_t *session, bool is_acknowledged)
{
    cw_findings_t  findings;
    cw_zone_plan_t plan;

    if (!read_servers(session) || (!is_acknowledged && !is_change_done(session))) {
        fprintf(stderr, "cedarwinch: %s\n",
                is_acknowledged ? "done; the state could not be read again" : "no answer; it may still be done");
        return is_acknowledged ? CW_EXIT_DONE : CW_EXIT_UNKNOWN;
    }
    printf("accepted: zone %s is %s%s\n", session->zone,
           session->change == CW_ZONE_TAKEN_OUT ? "out of service" : "in service",
           is_acknowledged ? "" : " (its answer was lost; read back)");
    if (session->change == CW_ZONE_PUT_BACK) {
        return CW_EXIT_DONE;
    }
    remove_own_zone(session);
    cw_findings_init(&findings);
    (void)cw_zone_plan_make(&plan, session->zone, session->change, session->servers, NULL, 0, &findings);
    cw_findings_print(&findings, stdout); /* findings if another zone was taken out meanwhile */
    cw_findings_clear(&findings);
    cw_zone_plan_clear(&plan);
    return CW_EXIT_DONE;
}

static int write_zone(zone_session_t *session)
{
    cw_adapter.set_zone_out(session->adapter, session->zone, session->change == CW_ZONE_TAKEN_OUT, on_written, session);
    wait_for_answer(session);
    switch (session->result) {
    case CW_STORE_DONE:
        return verify_write(session, true);
    case CW_STORE_CONFLICT:
    case CW_STORE_NOT_FOUND:
        fprintf(stderr, "cedarwinch: another operator was first; plan again\n");
        return CW_EXIT_REFUSED;
    case CW_STORE_REFUSED:
        fprintf(stderr, "cedarwinch: the store refused; nothing was changed\n");
        return CW_EXIT_UNAVAILABLE;
    case CW_STORE_UNKNOWN:
        return verify_write(session, false);
    }
    return CW_EXIT_UNKNOWN;
}

static int plan_or_confirm(zone_session_t *session, const char *plan)
{
    int code = make_plan(session);

    if (code != CW_EXIT_DONE) {
        return code;
    }
    if (plan == NULL) {
        printf("plan %s\nzone %s %s\n%.*s", session->plan.id, session->zone,
               session->change == CW_ZONE_TAKEN_OUT ? "out of service" : "back in service",
               (int)session->plan.lines.length, session->plan.lines.data == NULL ? "" : session->plan.lines.data);
        return CW_EXIT_DONE;
    }
    if (strcmp(plan, session->plan.id) != 0) {
        fprintf(stderr, "cedarwinch: plan %s is stale: zones have changed; plan again\n", plan);
        return CW_EXIT_REFUSED;
    }
    return write_zone(session);
}

int cw_cli_zone(const char *zone, bool out, const char *plan, const char *store)
{
    zone_session_t       session = {.zone = zone, .change = out ? CW_ZONE_TAKEN_OUT : CW_ZONE_PUT_BACK};
    cw_store_callbacks_t readers = {.context = &session,
                                    .configuration = on_configuration_watched,
                                    .configuration_newest = on_newest_watched,
                                    .answered = on_answered,
                                    .zones_can_be_taken_out = true,
                                    .servers = on_servers};
    int                  code;

    uv_loop_init(&session.loop);
    session.adapter = cw_adapter.create(&session.loop, store, &readers);
    code = read_state(&session);
    if (code == CW_EXIT_DONE) {
        code = plan_or_confirm(&session, plan);
    }
    cw_adapter.close(session.adapter);
    cw_server_list_release(session.servers);
    cw_configuration_release(session.configuration);
    free(session.keys);
    cw_zone_plan_clear(&session.plan);
    return code;
}
