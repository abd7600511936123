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
    ENGINE_FIXTURE_SERVERS = 2,
    ENGINE_FIXTURE_CALLS = 8,
    ENGINE_FIXTURE_TEXT_BYTES = 1024,
    ENGINE_FIXTURE_PAUSE_US = 1000 /**< between turns of the loop where time has to pass */
};

typedef struct engine_fixture engine_fixture_t;

/** A server: a listener whose requests the test answers. */
typedef struct engine_server {
    engine_fixture_t   *fixture;
    cw_http_listener_t *listener;
    char                id[24];
    char                address[32];
    uint32_t            requests;
    uint32_t            gone;
    cw_http_exchange_t *exchange; /**< of the last request */
    bool                has_request;
    char                deadline[32];
    char                target[64];
    char                seen[ENGINE_FIXTURE_TEXT_BYTES]; /**< fields of its last request, a line each */
    /* what it answers by itself */
    int         status; /**< 0: the test answers */
    bool        not_run;
    const char *instance;
} engine_server_t;

/** One request of a caller, and its answer. */
typedef struct engine_call {
    engine_fixture_t    *fixture;
    bool                 answered;
    cw_upstream_result_t result;
    int                  status;
    double               retry_after_s; /**< -1: none */
    bool                 is_challenged; /**< the answer names the scheme */
    char                 body[32];
    cw_upstream_call_t  *call;
} engine_call_t;

struct engine_fixture {
    uv_loop_t             loop;
    cw_server_pool_t     *pool;
    cw_upstream_t        *upstream;
    cw_engine_t          *engine;
    cw_http_listener_t   *front;
    bool                  rejects_all; /**< requests are rejected by their heads */
    engine_server_t       servers[ENGINE_FIXTURE_SERVERS];
    size_t                server_count;
    cw_upstream_t        *caller;
    cw_upstream_target_t *front_target;
    engine_call_t         calls[ENGINE_FIXTURE_CALLS];
    size_t                next_call;
    /* the latest answer to any call since the last engine_fixture_ask */
    bool                 answered;
    cw_upstream_result_t result;
    int                  status;
    double               retry_after_s;
    cw_bytes_t           body;
};

typedef struct engine_fixture_setup {
    size_t      servers;            /**< s0 in zone z1 (region near), s1 in z2 (region far); the engine is in z1 */
    uint32_t    capacity;           /**< slots of each */
    double      silence_factor;     /**< cw_engine_settings_t */
    double      crossing_ms_per_mb; /**< what a megabyte across the regions' border is worth */
    const char *tenant_field;       /**< NULL: servers do not get the tenant's name */
    const char *credential_scheme;  /**< NULL: the engine's own */
} engine_fixture_setup_t;

/** Two servers of one slot, no repeat while a server does not answer. */
engine_fixture_setup_t engine_fixture_usual_setup(void);
/** Without a configuration. */
void engine_fixture_begin(engine_fixture_t *fixture, const engine_fixture_setup_t *setup);
/** The usual setup, and routes: safe (repeatable), once (not), keyed, far and far-keyed (bound to the region of s1),
 * elsewhere (bound to one without servers). */
void engine_fixture_init(engine_fixture_t *fixture);
/** The same, with another silence_factor, or another crossing_ms_per_mb. */
void engine_fixture_init_with_silence(engine_fixture_t *fixture, double silence_factor);
void engine_fixture_init_with_crossing(engine_fixture_t *fixture, double crossing_ms_per_mb);

/** Its prefix is its name between slashes; it has no part yet. */
cw_route_t *engine_fixture_add_route(cw_configuration_t *configuration, const char *name, bool repeatable);
/** It is in force from now on; the caller's hold of it ends. */
void engine_fixture_use(engine_fixture_t *fixture, cw_configuration_t *configuration);

/** field: a header field of the answer; NULL: none. */
void engine_server_answer(engine_server_t *server, int status, const char *text, const char *field);
/** A whole request, as text. */
engine_call_t *engine_fixture_send(engine_fixture_t *fixture, size_t number, const char *text, size_t length);
/** A request without a body, of the key 500. */
cw_upstream_call_t *engine_fixture_ask(engine_fixture_t *fixture, const char *method, const char *path,
                                       const char *deadline_ms);
/** A POST with a body of 60,000 bytes. */
cw_upstream_call_t *engine_fixture_upload(engine_fixture_t *fixture, const char *path);
/** Turns the loop for so long. */
void engine_fixture_run_for(engine_fixture_t *fixture, cw_time_us_t time);

#endif
