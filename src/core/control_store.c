/**
 * @file control_store.c
 * @brief The leader and the platform's store: accepted configurations, and the bootstrap record.
 *
 * Rules:
 * - Object `config/TENANT` is the truth about what was accepted. A new leader lists these objects, reads each that is
 *   newer than the replicated state, and commits it; so does the watch's news. A version that is not newer is dropped,
 *   so a configuration never goes back.
 * - Object `cedarwinch/bootstrap` is written when the members change and now and then, on the version that was last
 *   seen. A record of a later generation means that this group was replaced: the replica stops leading for good.
 * - Nothing else of the control group waits for the store.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

enum {
    LIST_RETRY_US = 2 * CW_US_PER_S,
    BOOTSTRAP_INTERVAL_US = 60 * CW_US_PER_S,
    BOOTSTRAP_RETRY_US = 2 * CW_US_PER_S,
    STORE_PATIENCE_US = 15 * CW_US_PER_S
};

static const char config_prefix[] = "config/";
static const char bootstrap_object[] = "cedarwinch/bootstrap";

void cw_control_object_name(char *name, size_t size, const char *tenant)
{
    snprintf(name, size, "%s%s", config_prefix, tenant);
}

/* ---- requests ---- */

uint64_t cw_control_store_read(cw_control_t *control, const char *name)
{
    cw_store_request_t request = {.operation = CW_STORE_READ, .name = name};

    request.id = ++control->next_store_id;
    control->ports.store(control->ports.context, &request);
    return request.id;
}

uint64_t cw_control_store_write(cw_control_t *control, const char *name, const ProtobufCMessage *message,
                                uint64_t expected_version)
{
    cw_store_request_t request = {.operation = CW_STORE_WRITE, .name = name, .expected_version = expected_version};
    size_t             length = protobuf_c_message_get_packed_size(message);
    uint8_t           *bytes = malloc(length + 1);

    if (bytes == NULL) {
        return 0;
    }
    protobuf_c_message_pack(message, bytes);
    request.id = ++control->next_store_id;
    request.value = bytes;
    request.value_length = length;
    control->ports.store(control->ports.context, &request);
    free(bytes);
    return request.id;
}

static void wait_for(cw_control_t *control, uint64_t id, cw_store_purpose_t purpose)
{
    cw_store_wait_t *wait = calloc(1, sizeof(*wait));

    if (wait == NULL) {
        return;
    }
    wait->id = id;
    wait->purpose = purpose;
    wait->expires_us = control->now.monotonic_us + STORE_PATIENCE_US;
    wait->next = control->leading.store_waits;
    control->leading.store_waits = wait;
}

static void read_configuration(cw_control_t *control, const char *name)
{
    wait_for(control, cw_control_store_read(control, name), CW_STORE_FOR_CONFIGURATION);
}

static void list_configurations(cw_control_t *control)
{
    cw_store_request_t request = {.operation = CW_STORE_LIST, .name = config_prefix};

    request.id = ++control->next_store_id;
    wait_for(control, request.id, CW_STORE_FOR_LIST);
    control->ports.store(control->ports.context, &request);
}

/* ---- accepted configurations ---- */

static bool is_newer(const cw_control_t *control, const char *tenant, uint64_t version)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(control->state, tenant);

    return present == NULL || version > present->version;
}

void cw_control_accept(cw_control_t *control, Cw__TenantConfiguration *configuration)
{
    cw_accepted_t *accepted = calloc(1, sizeof(*accepted));

    if (accepted == NULL) {
        cw__tenant_configuration__free_unpacked(configuration, NULL);
        control->leading.list_wanted = true;
        return;
    }
    accepted->configuration = configuration;
    accepted->next = control->leading.accepted;
    control->leading.accepted = accepted;
    control->leading.decide_wanted = true;
}

/* One version of a tenant in a command; the rest waits. */
static bool is_in_command(const cw_command_builder_t *builder, const char *tenant)
{
    size_t position;

    for (position = 0; position < builder->command.n_tenants; position++) {
        if (strcmp(builder->command.tenants[position]->name, tenant) == 0) {
            return true;
        }
    }
    return false;
}

void cw_control_decide_tenants(cw_control_t *control, cw_command_builder_t *builder)
{
    cw_accepted_t **place = &control->leading.accepted;
    cw_accepted_t  *accepted;

    while (*place != NULL) {
        accepted = *place;
        if (!is_newer(control, accepted->configuration->name, accepted->configuration->version)) {
            *place = accepted->next;
            cw__tenant_configuration__free_unpacked(accepted->configuration, NULL);
            free(accepted);
            continue;
        }
        if (!is_in_command(builder, accepted->configuration->name)) {
            cw_command_add_tenant(builder, accepted->configuration);
        }
        place = &accepted->next; /* dropped above once the state has it */
    }
}

static void take_configuration(cw_control_t *control, const cw_store_object_t *object)
{
    Cw__TenantConfiguration *configuration =
        cw__tenant_configuration__unpack(NULL, object->value_length, object->value);

    if (configuration == NULL) {
        return;
    }
    configuration->version = object->version;
    if (configuration->name[0] == '\0' || !is_newer(control, configuration->name, configuration->version)) {
        cw__tenant_configuration__free_unpacked(configuration, NULL);
        return;
    }
    cw_control_accept(control, configuration);
}

static void take_list(cw_control_t *control, const cw_store_completion_t *completion)
{
    const cw_store_object_t *object;
    size_t                   position;

    if (completion->error != CW_OK && completion->error != CW_ERROR_NOT_FOUND) {
        control->leading.list_wanted = true;
        return;
    }
    for (position = 0; position < completion->object_count; position++) {
        object = &completion->objects[position];
        if (strncmp(object->name, config_prefix, strlen(config_prefix)) == 0 &&
            is_newer(control, object->name + strlen(config_prefix), object->version)) {
            read_configuration(control, object->name);
        }
    }
}

void cw_control_object_changed(cw_control_t *control, const char *name, uint64_t version, cw_instant_t now)
{
    control->now = now;
    if (control->leading.active && strncmp(name, config_prefix, strlen(config_prefix)) == 0 &&
        is_newer(control, name + strlen(config_prefix), version)) {
        read_configuration(control, name);
    }
}

/* ---- bootstrap record ---- */

static uint64_t members_digest(const Cw__Membership *membership)
{
    uint64_t digest = 0;
    size_t   position;

    for (position = 0; position < membership->n_voters; position++) {
        digest = XXH3_64bits_withSeed(&membership->voters[position]->incarnation, sizeof(cw_incarnation_t), digest);
    }
    return digest;
}

static void write_bootstrap(cw_control_t *control)
{
    const Cw__Membership *membership = cw_raft_membership(control->raft);
    Cw__Bootstrap         record = CW__BOOTSTRAP__INIT;
    uint64_t              id;

    if (cw_control_state_pack(control->state, &record.snapshot.data, &record.snapshot.len) != CW_OK) {
        return;
    }
    record.generation = control->options.generation;
    record.n_members = membership->n_voters;
    record.members = membership->voters;
    id = cw_control_store_write(control, bootstrap_object, &record.base, control->leading.bootstrap_version);
    free(record.snapshot.data);
    if (id != 0) {
        wait_for(control, id, CW_STORE_FOR_BOOTSTRAP_WRITE);
        control->leading.bootstrap_busy = true;
        control->leading.bootstrap_members = members_digest(membership);
    }
}

static void read_bootstrap(cw_control_t *control)
{
    wait_for(control, cw_control_store_read(control, bootstrap_object), CW_STORE_FOR_BOOTSTRAP_READ);
    control->leading.bootstrap_busy = true;
}

static void take_bootstrap(cw_control_t *control, const cw_store_completion_t *completion)
{
    Cw__Bootstrap *record;

    control->leading.bootstrap_busy = false;
    if (completion->error == CW_OK || completion->error == CW_ERROR_NOT_FOUND) {
        control->leading.bootstrap_retry_us = 0;
    }
    if (completion->error == CW_ERROR_NOT_FOUND) {
        control->leading.bootstrap_known = true;
        control->leading.bootstrap_version = 0;
        return;
    }
    if (completion->error != CW_OK || completion->object_count == 0) {
        return;
    }
    control->leading.bootstrap_known = true;
    control->leading.bootstrap_version = completion->objects[0].version;
    record = cw__bootstrap__unpack(NULL, completion->objects[0].value_length, completion->objects[0].value);
    if (record != NULL) {
        control->superseded = record->generation > control->options.generation;
        cw__bootstrap__free_unpacked(record, NULL);
    }
}

static void take_bootstrap_write(cw_control_t *control, const cw_store_completion_t *completion)
{
    control->leading.bootstrap_busy = false;
    if (completion->error == CW_OK) {
        control->leading.bootstrap_version = completion->version;
        control->leading.bootstrap_us = control->now.monotonic_us + BOOTSTRAP_INTERVAL_US;
        return;
    }
    control->leading.bootstrap_known = completion->error == CW_ERROR_UNAVAILABLE;
    control->leading.bootstrap_wanted = true;
}

static void tend_bootstrap(cw_control_t *control)
{
    cw_leading_t *leading = &control->leading;

    if (members_digest(cw_raft_membership(control->raft)) != leading->bootstrap_members) {
        leading->bootstrap_wanted = true;
    }
    if (leading->bootstrap_busy || control->now.monotonic_us < leading->bootstrap_retry_us ||
        (!leading->bootstrap_wanted && control->now.monotonic_us < leading->bootstrap_us)) {
        return;
    }
    leading->bootstrap_retry_us = control->now.monotonic_us + BOOTSTRAP_RETRY_US;
    if (!leading->bootstrap_known) {
        leading->bootstrap_wanted = true;
        read_bootstrap(control);
        return;
    }
    leading->bootstrap_wanted = false;
    write_bootstrap(control);
}

/* ---- completions ---- */

static void complete(cw_control_t *control, cw_store_purpose_t purpose, const cw_store_completion_t *completion)
{
    switch (purpose) {
    case CW_STORE_FOR_LIST:
        take_list(control, completion);
        break;
    case CW_STORE_FOR_CONFIGURATION:
        if (completion->error == CW_OK && completion->object_count > 0) {
            take_configuration(control, &completion->objects[0]);
        } else {
            control->leading.list_wanted = true;
        }
        break;
    case CW_STORE_FOR_BOOTSTRAP_READ:
        take_bootstrap(control, completion);
        break;
    case CW_STORE_FOR_BOOTSTRAP_WRITE:
        take_bootstrap_write(control, completion);
        break;
    }
}

bool cw_control_take_store(cw_control_t *control, const cw_store_completion_t *completion)
{
    cw_store_wait_t **place = &control->leading.store_waits;
    cw_store_wait_t  *wait;

    while (*place != NULL && (*place)->id != completion->id) {
        place = &(*place)->next;
    }
    wait = *place;
    if (wait == NULL) {
        return false;
    }
    *place = wait->next;
    complete(control, wait->purpose, completion);
    free(wait);
    return true;
}

/* An answer that never came counts as one whose outcome is not known. */
static void expire_waits(cw_control_t *control)
{
    cw_store_completion_t completion = {.error = CW_ERROR_UNKNOWN};
    cw_store_wait_t      *wait = control->leading.store_waits;

    while (wait != NULL && control->now.monotonic_us < wait->expires_us) {
        wait = wait->next;
    }
    if (wait != NULL) {
        completion.id = wait->id;
        (void)cw_control_take_store(control, &completion);
    }
}

void cw_control_tend_store(cw_control_t *control)
{
    cw_leading_t *leading = &control->leading;

    expire_waits(control);
    if (leading->list_wanted && control->now.monotonic_us >= leading->list_us) {
        leading->list_wanted = false;
        leading->list_us = control->now.monotonic_us + LIST_RETRY_US;
        list_configurations(control);
    }
    tend_bootstrap(control);
}
