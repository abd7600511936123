/**
 * @file control_command.c
 * @brief Puts decisions together into one command of the replicated log, one command at a time.
 *
 * Rules: a command holds at most one change of each object; it carries the version of the state it was decided on, so
 * it is refused should the state have moved. While it is under way nothing else is decided; what is marked meanwhile
 * goes into the next one. A term that ends drops the wait together with everything else the leader knew.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_internal.h"

void cw_control_set_string(char **field, const char *value)
{
    char *copy = strdup(value);

    if (copy == NULL) {
        return;
    }
    if (*field != protobuf_c_empty_string) {
        free(*field); /* an empty string of a message is shared and not allocated */
    }
    *field = copy;
}

void cw_command_init(cw_command_builder_t *builder)
{
    memset(builder, 0, sizeof(*builder));
    cw__command__init(&builder->command);
}

static void free_messages(void *list, size_t count)
{
    ProtobufCMessage **messages = list;
    size_t             position;

    for (position = 0; position < count; position++) {
        protobuf_c_message_free_unpacked(messages[position], NULL);
    }
    free(messages);
}

void cw_command_clear(cw_command_builder_t *builder)
{
    free_messages(builder->command.nodes, builder->command.n_nodes);
    free_messages(builder->command.tenants, builder->command.n_tenants);
    free_messages(builder->command.servers, builder->command.n_servers);
    free_messages(builder->command.ranges, builder->command.n_ranges);
    free(builder->command.removed_ranges);
    cw_ordered_table_clear(&builder->servers);
    cw_ordered_table_clear(&builder->ranges);
}

bool cw_command_full(const cw_command_builder_t *builder)
{
    return builder->failed || builder->object_count >= CW_COMMAND_OBJECTS_MAX;
}

bool cw_command_has_server(const cw_command_builder_t *builder, cw_server_id_t server)
{
    return cw_ordered_table_find(&builder->servers, server) != NULL;
}

bool cw_command_has_range(const cw_command_builder_t *builder, cw_range_id_t range)
{
    return cw_ordered_table_find(&builder->ranges, range) != NULL;
}

/* Appends a copy to a list of messages. The list grows to each power of two. */
static void append_copy(cw_command_builder_t *builder, ProtobufCMessage ***list, size_t *count,
                        const ProtobufCMessage *message)
{
    ProtobufCMessage **grown = *list;
    ProtobufCMessage  *copy = cw_message_copy(message);

    if ((*count & (*count - 1)) == 0) {
        grown = realloc(*list, (*count == 0 ? 1 : 2 * *count) * sizeof(ProtobufCMessage *));
    }
    if (grown != NULL) {
        *list = grown;
    }
    if (copy == NULL || grown == NULL) {
        builder->failed = true;
        if (copy != NULL) {
            protobuf_c_message_free_unpacked(copy, NULL);
        }
        return;
    }
    grown[*count] = copy;
    (*count)++;
    builder->object_count++;
}

void cw_command_add_node(cw_command_builder_t *builder, const Cw__NodeInfo *node)
{
    append_copy(builder, (ProtobufCMessage ***)&builder->command.nodes, &builder->command.n_nodes, &node->base);
}

void cw_command_add_tenant(cw_command_builder_t *builder, const Cw__TenantConfiguration *tenant)
{
    append_copy(builder, (ProtobufCMessage ***)&builder->command.tenants, &builder->command.n_tenants, &tenant->base);
}

void cw_command_add_server(cw_command_builder_t *builder, const Cw__ServerInfo *server)
{
    if (cw_ordered_table_put(&builder->servers, server->server, builder) != CW_OK) {
        builder->failed = true;
        return;
    }
    append_copy(builder, (ProtobufCMessage ***)&builder->command.servers, &builder->command.n_servers, &server->base);
}

void cw_command_add_range(cw_command_builder_t *builder, const Cw__RangeInfo *range)
{
    if (range->id != 0 && cw_ordered_table_put(&builder->ranges, range->id, builder) != CW_OK) {
        builder->failed = true;
        return;
    }
    append_copy(builder, (ProtobufCMessage ***)&builder->command.ranges, &builder->command.n_ranges, &range->base);
}

void cw_command_remove_range(cw_command_builder_t *builder, cw_range_id_t range)
{
    Cw__Command *command = &builder->command;
    uint64_t    *removed = realloc(command->removed_ranges, (command->n_removed_ranges + 1) * sizeof(*removed));

    if (removed == NULL || cw_ordered_table_put(&builder->ranges, range, builder) != CW_OK) {
        builder->failed = true;
        command->removed_ranges = removed != NULL ? removed : command->removed_ranges;
        return;
    }
    command->removed_ranges = removed;
    removed[command->n_removed_ranges] = range;
    command->n_removed_ranges++;
    builder->object_count++;
}

static void unseal_servers(cw_control_t *control)
{
    cw_server_track_t *track;
    size_t             position;

    for (position = 0; position < control->leading.servers.count; position++) {
        track = control->leading.servers.slots[position].value;
        track->sealed = false;
    }
}

void cw_control_command_ended(cw_control_t *control)
{
    control->leading.command_pending = false;
    control->leading.decide_wanted = true;
    unseal_servers(control);
}

static int propose(cw_control_t *control, const Cw__Command *command)
{
    size_t   length = cw__command__get_packed_size(command);
    uint8_t *data = malloc(length + 1);
    int      error;

    if (data == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    cw__command__pack(command, data);
    control->leading.command_pending = true; /* a lone voter applies it before the call returns */
    error = cw_raft_propose(control->raft, data, length, NULL, control->now.monotonic_us);
    free(data);
    return error;
}

static void forget_planned(cw_control_t *control)
{
    cw_node_track_t *track;
    size_t           position;

    for (position = 0; position < control->leading.nodes.count; position++) {
        track = control->leading.nodes.slots[position].value;
        track->planned = 0;
    }
}

void cw_control_decide(cw_control_t *control)
{
    cw_command_builder_t builder;

    if (control->leading.command_pending || !control->leading.decide_wanted) {
        return;
    }
    control->leading.decide_wanted = false;
    forget_planned(control);
    cw_command_init(&builder);
    cw_control_decide_nodes(control, &builder);
    cw_control_decide_tenants(control, &builder);
    cw_control_decide_drains(control, &builder);
    cw_control_decide_servers(control, &builder);
    cw_control_decide_ranges(control, &builder);
    builder.command.expected_version = cw_control_state_version(control->state);
    if (builder.failed || (builder.object_count > 0 && propose(control, &builder.command) != CW_OK)) {
        cw_control_command_ended(control);
        cw_control_mark_all(control);
        control->leading.decide_wanted = false; /* again at the next tick */
    }
    cw_command_clear(&builder);
}
