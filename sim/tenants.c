/**
 * @file tenants.c
 * @brief Tenants, services and intents of the simulation.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/token_digest.h"
#include "world.h"

enum { INTENT_MAX = 8192, HEX_DIGEST = 2 * CW_TOKEN_DIGEST_BYTES + 1 };

const char *const sim_tenants[SIM_TENANTS] = {"alpha", "beta"};

const sim_service_t sim_services[SIM_SERVICES] = {
    {"map", 0, 3, "GET", true, 800},
    {"refund", 0, 3, "POST", false, 1500},
    {"notes", 1, 2, "POST", false, 1200},
};

void sim_token(char text[32], const char *kind, size_t tenant)
{
    snprintf(text, 32, "%s-%s", sim_tenants[tenant], kind);
}

static void write_digest(char hex[HEX_DIGEST], const char *kind, size_t tenant)
{
    uint8_t digest[CW_TOKEN_DIGEST_BYTES];
    char    token[32];
    size_t  index;

    sim_token(token, kind, tenant);
    cw_token_digest(token, digest);
    for (index = 0; index < CW_TOKEN_DIGEST_BYTES; index++) {
        snprintf(hex + 2 * index, 3, "%02x", digest[index]);
    }
}

static void write_service(FILE *file, const sim_world_t *world, size_t service, size_t left_out, uint32_t variant)
{
    size_t index;

    fprintf(file,
            "  - name: %s\n    slots_per_server: 2\n    timeout_ms: %u\n    ranges_per_server: 2\n    lease_ms: %u\n",
            sim_services[service].name, 1000 + variant, world->options.lease_ms);
    if (!sim_services[service].repeatable) {
        fprintf(file, "    non_repeatable:\n      - {method: POST, path_prefix: /}\n");
    }
    fprintf(file, "    servers:\n");
    for (index = 0; index < world->server_count; index++) {
        const sim_server_t *server = &world->servers[index];

        if (server->service == service && index != left_out) {
            fprintf(file, "      - {name: %s, address: %s, port: %u, zone: zone-%c}\n", server->name, server->address,
                    server->port, (char)('a' + index % 3));
        }
    }
}

char *sim_intent(const sim_world_t *world, size_t tenant, size_t left_out, uint32_t variant)
{
    char   operators[HEX_DIGEST];
    char   callers[HEX_DIGEST];
    char  *text = NULL;
    size_t length = 0;
    FILE  *file = open_memstream(&text, &length);
    size_t service;

    if (file == NULL) {
        abort();
    }
    write_digest(operators, "operator", tenant);
    write_digest(callers, "caller", tenant);
    fprintf(file, "tenant: %s\noperator_tokens:\n  - %s\ncaller_tokens:\n  - %s\nservices:\n", sim_tenants[tenant],
            operators, callers);
    for (service = 0; service < SIM_SERVICES; service++) {
        if (sim_services[service].tenant == tenant) {
            write_service(file, world, service, left_out, variant);
        }
    }
    fclose(file);
    return text;
}
