/**
 * @file scripted_engine.c
 * @brief Implements the fixture of an engine with a scripted server.
 */
#include "scripted_engine.h"

#include <stdio.h>
#include <string.h>

enum { CAPACITY = 4, REQUEST_BYTES = 256 };

static void configure(scripted_engine_t *fixture, uint32_t max_attempts)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_service_t       *service = cw_configuration_add_service(configuration);
    cw_route_t         *route = engine_fixture_add_route(configuration, "once", false);

    service->name = strdup("service");
    route->max_attempts = max_attempts;
    cw_route_add_part(route, "service", 1);
    engine_fixture_use(&fixture->engine, configuration);
}

static void list_server(scripted_engine_t *fixture)
{
    cw_server_list_t  *list = cw_server_list_create();
    cw_server_entry_t *entry = cw_server_list_add(list);

    entry->id = strdup("s0");
    entry->service = strdup("service");
    entry->address = strdup(fixture->server.address);
    entry->zone = strdup("z1");
    entry->capacity = CAPACITY;
    cw_server_list_seal(list);
    cw_server_pool_update(fixture->engine.pool, list, 0);
    cw_server_list_release(list);
}

void scripted_engine_begin(scripted_engine_t *fixture, uint32_t max_attempts, scripted_request_t on_request,
                           void *context)
{
    engine_fixture_setup_t setup = engine_fixture_default_setup();

    setup.servers = 0;
    engine_fixture_begin(&fixture->engine, &setup);
    cw_engine_set_nodes(fixture->engine.engine, 1, 0);
    scripted_server_start(&fixture->server, &fixture->engine.loop, on_request, context);
    list_server(fixture);
    configure(fixture, max_attempts);
}

void scripted_engine_ask(scripted_engine_t *fixture, const char *id)
{
    char text[REQUEST_BYTES];
    int  length = snprintf(text, sizeof(text),
                           "POST /once/x HTTP/1.1\r\nHost: a.example\r\nid: %s\r\ndeadline: 15000\r\n"
                            "Content-Length: 0\r\n\r\n",
                           id);

    fixture->engine.answered = false;
    (void)engine_fixture_send(&fixture->engine, 0, text, (size_t)length);
}
