/**
 * @file platform_http.c
 * @brief The platform's object store: read, conditional write, list. See standins/DIALECT.md.
 *
 * A write whose answer did not arrive whole is "unknown" unless nothing was sent: it may have taken effect. Reads and
 * lists change nothing, so everything but an answer is "unavailable" for them.
 */
#include "adapters/platform_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "adapters/text_encoding.h"

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_PRECONDITION = 412,
    STATUS_SERVER_ERROR = 500,
    STATUS_UNAVAILABLE = 503,
    VERSION_TEXT_BYTES = 21
};

static const char objects_path[] = "/objects/";
static const char list_path[] = "/objects?prefix=";

/* ---- answers ---- */

static bool read_version(const cw_http_answer_t *answer, uint64_t *version)
{
    const char *text = cw_http_answer_find(answer, "x-version");

    return text != NULL && cw_decimal_read(text, version);
}

static int write_error(const cw_http_answer_t *answer, cw_store_completion_t *completion)
{
    bool has_version = read_version(answer, &completion->version);

    if (answer->result == CW_HTTP_NOT_SENT) {
        return CW_ERROR_UNAVAILABLE;
    }
    if (answer->result != CW_HTTP_ANSWERED) {
        return CW_ERROR_UNKNOWN;
    }
    if (answer->status == CW_PLATFORM_STATUS_OK) {
        return has_version ? CW_OK : CW_ERROR_UNKNOWN;
    }
    if (answer->status == STATUS_PRECONDITION) {
        return CW_ERROR_CONFLICT;
    }
    if (answer->status == STATUS_UNAVAILABLE ||
        (answer->status >= STATUS_BAD_REQUEST && answer->status < STATUS_SERVER_ERROR)) {
        return CW_ERROR_UNAVAILABLE;
    }
    return CW_ERROR_UNKNOWN;
}

static int read_error(const cw_http_answer_t *answer)
{
    if (answer->result != CW_HTTP_ANSWERED) {
        return CW_ERROR_UNAVAILABLE;
    }
    if (answer->status == STATUS_NOT_FOUND) {
        return CW_ERROR_NOT_FOUND;
    }
    return answer->status == CW_PLATFORM_STATUS_OK ? CW_OK : CW_ERROR_UNAVAILABLE;
}

static void complete(cw_platform_t *platform, const cw_store_completion_t *completion)
{
    platform->callbacks.store_completed(platform->callbacks.context, completion);
}

static void complete_read(const cw_platform_call_t *call, const cw_http_answer_t *answer,
                          cw_store_completion_t *completion)
{
    cw_store_object_t object;

    memset(&object, 0, sizeof(object));
    completion->error = read_error(answer);
    if (completion->error == CW_OK && !read_version(answer, &completion->version)) {
        completion->error = CW_ERROR_UNAVAILABLE;
    }
    if (completion->error == CW_OK) {
        object.name = call->name;
        object.version = completion->version;
        object.value = answer->body;
        object.value_length = answer->body_length;
        completion->objects = &object;
        completion->object_count = 1;
    }
    complete(call->platform, completion);
}

cw_store_object_t *cw_platform_read_objects(const json_t *json, size_t *count)
{
    const json_t      *list = json_object_get(json, "objects");
    cw_store_object_t *objects;
    json_int_t         version;

    *count = 0;
    if (!json_is_array(list)) {
        return NULL;
    }
    objects = calloc(json_array_size(list) + 1, sizeof(*objects));
    while (objects != NULL && *count < json_array_size(list)) {
        if (json_unpack(json_array_get(list, *count), "{s:s,s:I}", "name", &objects[*count].name, "version",
                        &version) != 0) {
            free(objects);
            return NULL;
        }
        objects[*count].version = (uint64_t)version;
        (*count)++;
    }
    return objects;
}

static void complete_list(const cw_platform_call_t *call, const cw_http_answer_t *answer,
                          cw_store_completion_t *completion)
{
    json_t            *json = json_loadb((const char *)answer->body, answer->body_length, 0, NULL);
    cw_store_object_t *objects = cw_platform_read_objects(json, &completion->object_count);

    completion->error = read_error(answer);
    if (completion->error == CW_OK && objects == NULL) {
        completion->error = CW_ERROR_UNAVAILABLE;
    }
    if (completion->error != CW_OK) {
        completion->object_count = 0;
    }
    completion->objects = objects;
    complete(call->platform, completion);
    free(objects);
    json_decref(json);
}

static void on_answered(void *context, const cw_http_answer_t *answer)
{
    cw_platform_call_t   *call = context;
    cw_store_completion_t completion;

    memset(&completion, 0, sizeof(completion));
    completion.id = call->id;
    DL_DELETE(call->platform->calls, call);
    if (call->operation == CW_STORE_READ) {
        complete_read(call, answer, &completion);
    } else if (call->operation == CW_STORE_LIST) {
        complete_list(call, answer, &completion);
    } else {
        completion.error = write_error(answer, &completion);
        complete(call->platform, &completion);
    }
    free(call->name);
    free(call);
}

/* ---- requests ---- */

/* Path of an object or a list; slashes of the name stay. Free with free(). */
static char *write_target(const cw_store_request_t *request)
{
    const char *path = request->operation == CW_STORE_LIST ? list_path : objects_path;
    size_t      name_length = strlen(request->name);
    char       *target = malloc(strlen(path) + 3 * name_length + 1);

    if (target == NULL) {
        return NULL;
    }
    cw_percent_encode(stpcpy(target, path), request->name, name_length, "/");
    return target;
}

static void fill_condition(Cw__Header *header, char text[VERSION_TEXT_BYTES], uint64_t expected_version)
{
    cw__header__init(header);
    header->value = text;
    if (expected_version == 0) {
        header->name = "if-none-match";
        snprintf(text, VERSION_TEXT_BYTES, "*");
        return;
    }
    header->name = "if-match";
    snprintf(text, VERSION_TEXT_BYTES, "%" PRIu64, expected_version);
}

static cw_http_call_t *start_call(cw_platform_call_t *call, const cw_store_request_t *request, const char *target)
{
    cw_http_request_t http;
    Cw__Header        condition;
    Cw__Header       *headers[] = {&condition};
    char              version[VERSION_TEXT_BYTES];

    if (request->operation != CW_STORE_WRITE) {
        return cw_platform_get(call->platform, target, CW_PLATFORM_TIMEOUT_US, on_answered, call);
    }
    memset(&http, 0, sizeof(http));
    fill_condition(&condition, version, request->expected_version);
    http.address = call->platform->address;
    http.port = call->platform->port;
    http.method = "PUT";
    http.target = target;
    http.headers = headers;
    http.header_count = 1;
    http.body = request->value;
    http.body_length = request->value_length;
    http.timeout_us = CW_PLATFORM_TIMEOUT_US;
    http.answer_max = CW_PLATFORM_ANSWER_MAX;
    return cw_http_client_call(call->platform->client, &http, on_answered, call);
}

cw_http_call_t *cw_platform_get(cw_platform_t *platform, const char *target, int64_t timeout_us,
                                cw_http_answered_t answered, void *context)
{
    cw_http_request_t http;

    memset(&http, 0, sizeof(http));
    http.address = platform->address;
    http.port = platform->port;
    http.method = "GET";
    http.target = target;
    http.timeout_us = timeout_us;
    http.answer_max = CW_PLATFORM_ANSWER_MAX;
    return cw_http_client_call(platform->client, &http, answered, context);
}

static void complete_unavailable(cw_platform_t *platform, uint64_t id)
{
    cw_store_completion_t completion;

    memset(&completion, 0, sizeof(completion));
    completion.id = id;
    completion.error = CW_ERROR_UNAVAILABLE;
    complete(platform, &completion);
}

void cw_platform_store(cw_platform_t *platform, const cw_store_request_t *request)
{
    cw_platform_call_t *call = calloc(1, sizeof(*call));
    char               *target = write_target(request);

    if (call == NULL || target == NULL) {
        free(call);
        free(target);
        complete_unavailable(platform, request->id);
        return;
    }
    call->id = request->id;
    call->operation = request->operation;
    call->platform = platform;
    call->name = strdup(request->name);
    DL_APPEND(platform->calls, call);
    if (start_call(call, request, target) == NULL) {
        DL_DELETE(platform->calls, call);
        free(call->name);
        free(call);
        complete_unavailable(platform, request->id);
    }
    free(target);
}

/* ---- life of the adapter ---- */

int cw_platform_create(cw_platform_t **platform, uv_loop_t *loop, const char *address, uint16_t port,
                       const cw_platform_callbacks_t *callbacks)
{
    cw_platform_t *created = calloc(1, sizeof(*created));

    if (created == NULL) {
        return CW_ERROR_NO_MEMORY;
    }
    created->loop = loop;
    created->callbacks = *callbacks;
    created->address = strdup(address);
    created->port = port;
    if (created->address == NULL || cw_http_client_create(&created->client, loop) != CW_OK) {
        free(created->address);
        free(created);
        return CW_ERROR_NO_MEMORY;
    }
    cw_platform_watch_init(created);
    *platform = created;
    return CW_OK;
}

static void on_timer_closed(uv_handle_t *handle)
{
    cw_platform_t *platform = handle->data;

    platform->open_handles--;
    if (platform->open_handles == 0) {
        free(platform->address);
        free(platform);
    }
}

void cw_platform_free(cw_platform_t *platform)
{
    cw_platform_call_t *call;
    cw_platform_call_t *following;

    if (platform == NULL) {
        return;
    }
    cw_platform_watch_stop(platform);
    cw_http_client_free(platform->client);
    call = platform->calls;
    while (call != NULL) {
        following = call->next;
        free(call->name);
        free(call);
        call = following;
    }
    uv_close((uv_handle_t *)&platform->watch_timer, on_timer_closed);
    uv_close((uv_handle_t *)&platform->machine_timer, on_timer_closed);
}
