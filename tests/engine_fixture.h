/**
 * @file engine_fixture.h
 * @brief An engine between real connections: callers on one side, servers whose answers the test gives on the other.
 */
#ifndef CEDARWINCH_TESTS_ENGINE_FIXTURE_H
#define CEDARWINCH_TESTS_ENGINE_FIXTURE_H

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "proxy/engine_internal.h"

enum {
    ENGINE_WORLD_SERVERS = 2,
    ENGINE_WORLD_CALLS = 8,
    ENGINE_WORLD_TEXT_BYTES = 1024,
    ENGINE_WORLD_PAUSE_US = 1000 /**< between turns of the loop where time has to pass */
};

typedef struct engine_world engine_world_t;

/** A server: a listener whose requests the test answers. */
typedef struct engine_server {
    engine_world_t     *world;
    cw_http_listener_t *listener;
    char                id[24];
    char                address[32];
    uint32_t            requests;
    uint32_t            gone;
    cw_http_exchange_t *exchange; /**< of the last request */
    bool                has_request;
    char                deadline[32];
    char                target[64];
    char                seen[ENGINE_WORLD_TEXT_BYTES]; /**< fields of its last request, a line each */
    /* what it answers by itself */
    int         status; /**< 0: the test answers */
    bool        not_run;
    const char *instance;
} engine_server_t;

/** One request of a caller, and its answer. */
typedef struct engine_call {
    engine_world_t      *world;
    bool                 answered;
    cw_upstream_result_t result;
    int                  status;
    double               retry_after_s; /**< -1: none */
    bool                 is_challenged; /**< the answer names the scheme */
    char                 body[32];
    cw_upstream_call_t  *call;
} engine_call_t;

struct engine_world {
    uv_loop_t             loop;
    cw_server_pool_t     *pool;
    cw_upstream_t        *upstream;
    cw_engine_t          *engine;
    cw_http_listener_t   *front;
    bool                  rejects_all; /**< requests are rejected by their heads */
    engine_server_t       servers[ENGINE_WORLD_SERVERS];
    size_t                server_count;
    cw_upstream_t        *caller;
    cw_upstream_target_t *front_target;
    engine_call_t         calls[ENGINE_WORLD_CALLS];
    size_t                next_call;
    /* the latest answer to any call since the last engine_world_ask */
    bool                 answered;
    cw_upstream_result_t result;
    int                  status;
    double               retry_after_s;
    cw_bytes_t           body;
};

typedef struct engine_world_setup {
    size_t      servers;            /**< s0 in zone z1 (region near), s1 in z2 (region far); the engine is in z1 */
    uint32_t    capacity;           /**< slots of each */
    double      silence_factor;     /**< cw_engine_settings_t */
    double      crossing_ms_per_mb; /**< what a megabyte across the regions' border is worth */
    const char *tenant_field;       /**< NULL: servers do not get the tenant's name */
    const char *credential_scheme;  /**< NULL: the engine's own */
} engine_world_setup_t;

/** Two servers of one slot, no repeat while a server does not answer. */
engine_world_setup_t engine_world_usual_setup(void);
/** Without a configuration. */
void engine_world_begin(engine_world_t *world, const engine_world_setup_t *setup);
/** The usual setup, and routes: safe (repeatable), once (not), keyed, far and far-keyed (bound to the region of s1),
 * elsewhere (bound to one without servers). */
void engine_world_init(engine_world_t *world);
/** The same, with another silence_factor, or another crossing_ms_per_mb. */
void engine_world_init_with_silence(engine_world_t *world, double silence_factor);
void engine_world_init_with_crossing(engine_world_t *world, double crossing_ms_per_mb);

/** Its prefix is its name between slashes; it has no part yet. */
cw_route_t *engine_world_add_route(cw_configuration_t *configuration, const char *name, bool repeatable);
/** It is in force from now on; the caller's hold of it ends. */
void engine_world_use(engine_world_t *world, cw_configuration_t *configuration);

/** field: a header field of the answer; NULL: none. */
void engine_server_answer(engine_server_t *server, int status, const char *text, const char *field);
/** A whole request, as text. */
engine_call_t *engine_world_send(engine_world_t *world, size_t number, const char *text, size_t length);
/** A request without a body, of the key 500. */
cw_upstream_call_t *engine_world_ask(engine_world_t *world, const char *method, const char *path,
                                     const char *deadline_ms);
/** A POST with a body of 60,000 bytes. */
cw_upstream_call_t *engine_world_upload(engine_world_t *world, const char *path);
/** Turns the loop for so long. */
void engine_world_run_for(engine_world_t *world, cw_time_us_t time);

#endif
