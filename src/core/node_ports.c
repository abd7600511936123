/**
 * @file node_ports.c
 * @brief The ports a node gives to its parts: messages to the node itself are queued, all else passes on.
 */
#include <stdlib.h>

#include "cedarwinch/intent.h"
#include "node_internal.h"

static void queue_local(cw_node_t *node, const Cw__Envelope *envelope)
{
    cw_local_message_t *message = calloc(1, sizeof(*message));

    if (message == NULL) {
        return;
    }
    message->envelope = (Cw__Envelope *)cw_message_copy(&envelope->base);
    if (node->local_last == NULL) {
        node->local_first = message;
    } else {
        node->local_last->next = message;
    }
    node->local_last = message;
}

bool cw_node_take_local(cw_node_t *node, Cw__Envelope **envelope)
{
    cw_local_message_t *message = node->local_first;

    if (message == NULL) {
        return false;
    }
    node->local_first = message->next;
    if (node->local_first == NULL) {
        node->local_last = NULL;
    }
    *envelope = message->envelope;
    free(message);
    return true;
}

void cw_node_ports_clear(cw_node_t *node)
{
    Cw__Envelope *envelope;

    while (cw_node_take_local(node, &envelope)) {
        if (envelope != NULL) {
            cw__envelope__free_unpacked(envelope, NULL);
        }
    }
}

void cw_node_send(cw_node_t *node, cw_node_id_t to, Cw__Envelope *envelope)
{
    envelope->from = node->self->id;
    envelope->from_incarnation = node->self->incarnation;
    envelope->to = to;
    if (to == node->self->id) {
        queue_local(node, envelope);
    } else {
        node->outer.send(node->outer.context, to, envelope);
    }
}

static void inner_send(void *context, cw_node_id_t to, Cw__Envelope *envelope)
{
    cw_node_send(context, to, envelope);
}

static void inner_learn_node(void *context, const Cw__NodeInfo *info)
{
    cw_node_t *node = context;

    if (info->id != node->self->id) {
        node->outer.learn_node(node->outer.context, info);
    }
}

static void inner_store(void *context, const cw_store_request_t *request)
{
    cw_node_t *node = context;

    node->outer.store(node->outer.context, request);
}

static void inner_server_call(void *context, const cw_server_call_t *call)
{
    cw_node_t *node = context;

    node->outer.server_call(node->outer.context, call);
}

static void inner_server_request(void *context, const cw_server_request_t *request)
{
    cw_node_t *node = context;

    cw_node_log_sent(request);
    node->outer.server_request(node->outer.context, request);
}

static void inner_server_cancel(void *context, uint64_t request_id)
{
    cw_node_t *node = context;

    node->outer.server_cancel(node->outer.context, request_id);
}

static void inner_respond(void *context, uint64_t caller_id, const Cw__ForwardResponse *response)
{
    cw_node_t *node = context;

    cw_node_log_answer(response);
    node->outer.respond(node->outer.context, caller_id, response);
}

static void inner_operator_respond(void *context, uint64_t caller_id, const Cw__OperatorResponse *response)
{
    cw_node_t *node = context;

    node->outer.operator_respond(node->outer.context, caller_id, response);
}

void cw_node_ports_init(cw_node_t *node)
{
    node->inner.context = node;
    node->inner.send = inner_send;
    node->inner.learn_node = inner_learn_node;
    node->inner.store = inner_store;
    node->inner.server_call = inner_server_call;
    node->inner.server_request = inner_server_request;
    node->inner.server_cancel = inner_server_cancel;
    node->inner.respond = inner_respond;
    node->inner.operator_respond = inner_operator_respond;
}
