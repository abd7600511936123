/**
 * @file engine_fixture.h
 * @brief Test fixture: an engine with real connections to callers on one side, and to servers whose answers the test
 * gives on the other.
 */
#ifndef CEDARWINCH_TESTS_ENGINE_FIXTURE_H
#define CEDARWINCH_TESTS_ENGINE_FIXTURE_H

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "proxy/engine_internal.h"

/** Sizes and times of a fixture. */
enum {
    ENGINE_FIXTURE_SERVERS = 2,
    ENGINE_FIXTURE_CALLS = 8,
    ENGINE_FIXTURE_TEXT_BYTES = 1024,
    ENGINE_FIXTURE_PAUSE_US = 1000 /**< pause between turns of the loop while a test waits for time to pass */
};

/** An engine with its servers and callers, all on one loop. */
typedef struct engine_fixture engine_fixture_t;

/** A server: a listener whose requests are answered by the test, or with a fixed status. */
typedef struct engine_server {
    engine_fixture_t   *fixture;
    cw_http_listener_t *listener;
    char                id[24];
    char                address[32];
    uint32_t            requests;  /**< requests received */
    uint32_t            cancelled; /**< requests whose connection ended before an answer */
    cw_http_exchange_t *exchange;  /**< exchange of the last request */
    bool                has_request;
    char                deadline[32];                    /**< deadline field of the last request */
    char                target[64];                      /**< target field of the last request */
    char                seen[ENGINE_FIXTURE_TEXT_BYTES]; /**< header fields of the last request, one per line */
    /* automatic answers */
    int         status;   /**< status of automatic answers; 0: the test answers */
    bool        not_run;  /**< automatic answers say that the request was not run */
    const char *instance; /**< id that answers carry; NULL: none */
} engine_server_t;

/** One request of a caller, and its answer. */
typedef struct engine_call {
    engine_fixture_t    *fixture;
    bool                 answered;
    cw_upstream_result_t result;
    int                  status;
    double               retry_after_s; /**< -1: none */
    bool                 is_challenged; /**< the answer names the authentication scheme */
    char                 body[32];
    char                 delegation_outcome[32]; /**< field between nodes; empty: none */
    cw_upstream_call_t  *call;
} engine_call_t;

struct engine_fixture {
    uv_loop_t             loop;
    cw_server_pool_t     *pool;
    cw_upstream_t        *upstream;
    cw_engine_t          *engine;
    cw_http_listener_t   *front;
    bool                  rejects_all;     /**< all requests are rejected by their heads */
    bool                  takes_delegated; /**< requests with the field of delegation are taken as other nodes' */
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

/** Settings of a fixture. */
typedef struct engine_fixture_setup {
    size_t   servers; /**< number of servers: s0 in zone z1 (region near), s1 in z2 (region far); the engine is in z1 */
    uint32_t capacity;             /**< slots of each server */
    double   repeat_factor;        /**< cw_engine_settings_t */
    double   crossing_ms_per_mb;   /**< cost of a megabyte across the regions' border, in ms */
    const char *tenant_field;      /**< name of the header field with the tenant's name; NULL: servers do not get it */
    const char *credential_scheme; /**< NULL: the engine's default */
} engine_fixture_setup_t;

/** Two servers with one slot each, and practically no repeat while a server does not answer. */
engine_fixture_setup_t engine_fixture_default_setup(void);
/** Starts the servers and the engine, without a configuration. */
void engine_fixture_begin(engine_fixture_t *fixture, const engine_fixture_setup_t *setup);
/** Starts the default setup with the routes safe (repeatable), once (not repeatable), keyed, far and far-keyed
 * (restricted to the region of s1) and elsewhere (restricted to a region without servers). */
void engine_fixture_init(engine_fixture_t *fixture);
/** Like engine_fixture_init, with another repeat_factor, which sets when unanswered requests are repeated. */
void engine_fixture_init_with_repeat_factor(engine_fixture_t *fixture, double repeat_factor);
/** Like engine_fixture_init, with another crossing_ms_per_mb. */
void engine_fixture_init_with_crossing(engine_fixture_t *fixture, double crossing_ms_per_mb);

/** Adds a route whose prefix is its name between slashes; it has no part yet. */
cw_route_t *engine_fixture_add_route(cw_configuration_t *configuration, const char *name, bool repeatable);
/** Puts a configuration in force and releases the caller's reference to it. */
void engine_fixture_use(engine_fixture_t *fixture, cw_configuration_t *configuration);

/** Answers the server's last request. field: name of a header field of the answer; NULL: none. */
void engine_server_answer(engine_server_t *server, int status, const char *text, const char *field);
/** Sends a complete request, given as text, as the call with this number. */
engine_call_t *engine_fixture_send(engine_fixture_t *fixture, size_t number, const char *text, size_t length);
/** Sends a request without a body for key 500. */
cw_upstream_call_t *engine_fixture_ask(engine_fixture_t *fixture, const char *method, const char *path,
                                       const char *deadline_ms);
/** Sends a POST with a body of 60,000 bytes. */
cw_upstream_call_t *engine_fixture_upload(engine_fixture_t *fixture, const char *path);
/** Runs the loop for this time. */
void engine_fixture_run_for(engine_fixture_t *fixture, cw_time_us_t time);

#endif
