/**
 * @file gateway_request.c
 * @brief The requests in flight: copied in one piece of memory, found by caller, by hop id and by node.
 */
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "cedarwinch/error.h"
#include "gateway_internal.h"

enum { FIRST_TIMERS = 64 };

/* Longest deadline that a request may have. */
static const int64_t TIMEOUT_MAX_US = INT64_C(3600) * CW_US_PER_S;
/* Deadline where neither the caller nor the service names one. */
static const int64_t TIMEOUT_DEFAULT_US = INT64_C(10) * CW_US_PER_S;

/* Digest by which the journal tells two requests with one id apart. Each part's hash is the seed of the next one's. */
static uint64_t digest_request(const cw_caller_request_t *caller)
{
    uint64_t digest = XXH3_64bits(caller->method, strlen(caller->method));

    digest = XXH3_64bits_withSeed(caller->path, strlen(caller->path), digest);
    return XXH3_64bits_withSeed(caller->body, caller->body_length, digest);
}

static size_t content_size(const cw_caller_request_t *caller)
{
    size_t size = caller->header_count * (sizeof(Cw__Header) + sizeof(Cw__Header *));
    size_t index;

    for (index = 0; index < caller->header_count; index++) {
        size += strlen(caller->headers[index]->name) + strlen(caller->headers[index]->value) + 2;
    }
    return size + caller->key_length + strlen(caller->method) + strlen(caller->path) + 3 + caller->body_length;
}

static char *copy_text(char **place, const char *text, size_t length)
{
    char *copy = *place;

    memcpy(copy, text, length);
    copy[length] = '\0';
    *place += length + 1;
    return copy;
}

/* Copies the headers: the header objects, then the pointers to them, then their texts. */
static void copy_headers(cw_gateway_request_t *request, const cw_caller_request_t *caller, char **place)
{
    Cw__Header  *objects = (Cw__Header *)(void *)request->content;
    Cw__Header **pointers = (Cw__Header **)(void *)(objects + caller->header_count);
    size_t       index;

    *place = (char *)(pointers + caller->header_count);
    for (index = 0; index < caller->header_count; index++) {
        const Cw__Header *header = caller->headers[index];

        cw__header__init(&objects[index]);
        objects[index].name = copy_text(place, header->name, strlen(header->name));
        objects[index].value = copy_text(place, header->value, strlen(header->value));
        pointers[index] = &objects[index];
    }
    request->message.headers = pointers;
    request->message.n_headers = caller->header_count;
}

static void copy_content(cw_gateway_request_t *request, const cw_caller_request_t *caller)
{
    Cw__ForwardRequest *message = &request->message;
    char               *place;

    copy_headers(request, caller, &place);
    message->key = copy_text(&place, caller->key, caller->key_length);
    message->method = copy_text(&place, caller->method, strlen(caller->method));
    message->path = copy_text(&place, caller->path, strlen(caller->path));
    if (caller->body_length > 0) {
        memcpy(place, caller->body, caller->body_length);
        message->body.data = (uint8_t *)place;
        message->body.len = caller->body_length;
    }
}

static void fill_message(cw_gateway_t *gateway, cw_gateway_request_t *request, const cw_caller_request_t *caller,
                         const cw_gateway_checked_t *checked)
{
    Cw__ForwardRequest *message = &request->message;

    cw__fence__init(&request->fence);
    message->gateway = gateway->options.node;
    message->gateway_incarnation = gateway->options.incarnation;
    message->tenant = request->tenant->name;
    message->service = checked->service->id;
    message->key_hash = cw_hash_key(caller->key, caller->key_length);
    message->request_digest = digest_request(caller);
    message->request_id.data = request->request_id;
    message->request_id.len = CW_REQUEST_ID_BYTES;
    message->fence = &request->fence;
}

static cw_time_us_t deadline_of(const cw_caller_request_t *caller, const Cw__ServiceConfiguration *service,
                                cw_instant_t now)
{
    int64_t timeout_us = caller->timeout_us;

    if (timeout_us == 0) {
        timeout_us = (int64_t)service->default_timeout_ms * CW_US_PER_MS;
    }
    if (timeout_us == 0) {
        timeout_us = TIMEOUT_DEFAULT_US;
    }
    return now.monotonic_us + (timeout_us < TIMEOUT_MAX_US ? timeout_us : TIMEOUT_MAX_US);
}

/* Room for a timer of every request in flight: then setting one never fails later. */
static int reserve_timer(cw_gateway_t *gateway)
{
    size_t capacity = gateway->timers.capacity;

    if (gateway->admission.in_use <= capacity) {
        return CW_OK;
    }
    return cw_timer_heap_reserve(&gateway->timers, capacity == 0 ? FIRST_TIMERS : capacity * 2);
}

cw_gateway_request_t *cw_gateway_request_create(cw_gateway_t *gateway, const cw_caller_request_t *caller,
                                                const cw_gateway_checked_t *checked, cw_instant_t now)
{
    cw_gateway_request_t *request;

    if (reserve_timer(gateway) != CW_OK) {
        return NULL;
    }
    request = malloc(sizeof(*request) + content_size(caller));
    if (request == NULL) {
        return NULL;
    }
    memset(request, 0, sizeof(*request));
    cw__forward_request__init(&request->message);
    request->caller_id = caller->caller_id;
    request->tenant = checked->tenant;
    request->deadline_us = deadline_of(caller, checked->service, now);
    request->uncertain = CW_REASON_NONE;
    memcpy(request->request_id, checked->request_id, CW_REQUEST_ID_BYTES);
    copy_content(request, caller);
    fill_message(gateway, request, caller, checked);
    HASH_ADD(by_caller, gateway->by_caller, caller_id, sizeof(request->caller_id), request);
    return request;
}

void cw_gateway_request_remove(cw_gateway_t *gateway, cw_gateway_request_t *request)
{
    cw_gateway_request_detach(gateway, request);
    cw_timer_heap_cancel(&gateway->timers, &request->timer);
    HASH_DELETE(by_caller, gateway->by_caller, request);
    cw_admission_leave(&gateway->admission, &request->tenant->share);
    free(request);
}

cw_gateway_node_t *cw_gateway_open_node(cw_gateway_t *gateway, cw_node_id_t id)
{
    cw_gateway_node_t *node;

    HASH_FIND(hh, gateway->nodes, &id, sizeof(id), node);
    if (node == NULL) {
        node = calloc(1, sizeof(*node));
        if (node == NULL) {
            return NULL;
        }
        node->id = id;
        HASH_ADD(hh, gateway->nodes, id, sizeof(node->id), node);
    }
    return node;
}

void cw_gateway_request_attach(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_gateway_node_t *node)
{
    request->node = node;
    request->message.id = ++gateway->last_hop_id;
    DL_APPEND2(node->waiting, request, previous, next);
    HASH_ADD(by_hop, gateway->by_hop, message.id, sizeof(request->message.id), request);
}

void cw_gateway_request_detach(cw_gateway_t *gateway, cw_gateway_request_t *request)
{
    if (request->node == NULL) {
        return;
    }
    DL_DELETE2(request->node->waiting, request, previous, next);
    HASH_DELETE(by_hop, gateway->by_hop, request);
    request->node = NULL;
}
