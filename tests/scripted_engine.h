/**
 * @file scripted_engine.h
 * @brief Test fixture: an engine whose only server sends the bytes that the test gives. The route "once" may not be
 * repeated.
 */
#ifndef CEDARWINCH_TESTS_SCRIPTED_ENGINE_H
#define CEDARWINCH_TESTS_SCRIPTED_ENGINE_H

#include "engine_fixture.h"
#include "scripted_server.h"

/** The engine with its callers, and the server "s0". */
typedef struct scripted_engine {
    engine_fixture_t  engine;
    scripted_server_t server;
} scripted_engine_t;

/** Starts both. max_attempts: of the route. */
void scripted_engine_begin(scripted_engine_t *fixture, uint32_t max_attempts, scripted_request_t on_request,
                           void *context);
/** Sends a request with this id as the engine's call 0, to the route "once". */
void scripted_engine_ask(scripted_engine_t *fixture, const char *id);

#endif
