/**
 * @file platform_internal.h
 * @brief Types shared by the platform adapter's parts.
 */
#ifndef CEDARWINCH_PLATFORM_INTERNAL_H
#define CEDARWINCH_PLATFORM_INTERNAL_H

#include <jansson.h>

#include "adapters/http_client.h"
#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "cedarwinch/log.h"

enum {
    CW_PLATFORM_TIMEOUT_US = 2 * CW_US_PER_S,
    CW_PLATFORM_ANSWER_MAX = 64 * 1024 * 1024,
    CW_PLATFORM_STATUS_OK = 200
};

/** Prefix of the names of cedarwinch's own objects. */
#define CW_PLATFORM_PREFIX "config/"

/** A store request under way. */
typedef struct cw_platform_call {
    uint64_t                 id;
    cw_store_operation_t     operation;
    char                    *name;
    cw_platform_t           *platform;
    struct cw_platform_call *prev; /**< utlist's names */
    struct cw_platform_call *next;
} cw_platform_call_t;

struct cw_platform {
    uv_loop_t              *loop;
    cw_platform_callbacks_t callbacks;
    char                   *address;
    uint16_t                port;
    cw_http_client_t       *client;
    cw_platform_call_t     *calls;
    bool                    watching;
    bool                    listed;       /**< revision is known */
    uint64_t                revision;     /**< changes up to here are reported */
    cw_http_call_t         *watch_call;   /**< list or long poll under way */
    uv_timer_t              watch_timer;  /**< next try after a failure */
    cw_http_call_t         *machine_call; /**< machine list under way */
    uv_timer_t              machine_timer;
    json_t                 *machines; /**< latest list: name to state */
    size_t                  open_handles;
};

/** Starts a call to the platform without a body. */
cw_http_call_t *cw_platform_get(cw_platform_t *platform, const char *target, int64_t timeout_us,
                                cw_http_answered_t answered, void *context);
/** Reads {"objects":[{"name","version"}]} into an array to free; the names stay the JSON's. NULL: malformed. */
cw_store_object_t *cw_platform_read_objects(const json_t *json, size_t *count);

void cw_platform_watch_init(cw_platform_t *platform);
void cw_platform_watch_stop(cw_platform_t *platform);

#endif
