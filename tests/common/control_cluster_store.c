/**
 * @file control_cluster_store.c
 * @brief Store of the control tests: versioned objects, and answers that can fail or get lost.
 */
#include "control_cluster_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"

cluster_object_t *cluster_object(const char *name)
{
    size_t position;

    for (position = 0; position < cluster.object_count; position++) {
        if (strcmp(cluster.objects[position].name, name) == 0) {
            return &cluster.objects[position];
        }
    }
    return NULL;
}

static int write_object(const cw_store_request_t *request, uint64_t *version)
{
    cluster_object_t *object = cluster_object(request->name);

    if ((object == NULL ? 0 : object->version) != request->expected_version) {
        return CW_ERROR_CONFLICT;
    }
    if (object == NULL) {
        object = &cluster.objects[cluster.object_count++];
        snprintf(object->name, sizeof(object->name), "%s", request->name);
    }
    free(object->value);
    object->value = malloc(request->value_length + 1);
    memcpy(object->value, request->value, request->value_length);
    object->length = request->value_length;
    object->version = *version = ++cluster.store_revision;
    return CW_OK;
}

void cluster_port_store(void *context, const cw_store_request_t *request)
{
    cluster_event_t *event;

    if (cluster.store_mode == STORE_HANGS) {
        return;
    }
    event = cluster_add_event(EVENT_STORE, cluster_node_of(context), CLUSTER_CALL_DELAY_US);
    event->id = request->id;
    event->operation = request->operation;
    snprintf(event->name, sizeof(event->name), "%s", request->name);
    if (cluster.store_mode == STORE_REFUSES) {
        event->error = CW_ERROR_UNAVAILABLE;
    } else if (request->operation == CW_STORE_WRITE) {
        event->error = write_object(request, &event->version);
        if (cluster.store_mode == STORE_LOSES_ANSWERS) {
            event->error = CW_ERROR_UNKNOWN;
        }
    }
}

void cluster_deliver_store(const cluster_event_t *event)
{
    cw_store_completion_t   completion = {.id = event->id, .error = event->error, .version = event->version};
    cw_store_object_t       objects[16];
    size_t                  position;
    const cluster_object_t *object;

    completion.objects = objects;
    for (position = 0; event->error == CW_OK && position < cluster.object_count; position++) {
        object = &cluster.objects[position];
        if (event->operation == CW_STORE_READ ? strcmp(object->name, event->name) == 0
                                              : strncmp(object->name, event->name, strlen(event->name)) == 0) {
            objects[completion.object_count++] =
                (cw_store_object_t){object->name, object->version, object->value, object->length};
        }
    }
    if (event->operation == CW_STORE_READ && event->error == CW_OK && completion.object_count == 0) {
        completion.error = CW_ERROR_NOT_FOUND;
    }
    if (cluster.nodes[event->node].control != NULL) {
        cw_control_store_completed(cluster.nodes[event->node].control, &completion, cluster.now);
    }
}
