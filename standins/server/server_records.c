/**
 * @file server_records.c
 * @brief Records for the checker: one JSON line on standard output for each event.
 */
#include <inttypes.h>
#include <stdio.h>

#include "server.h"

void server_print_record_of_tenant(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                                   uint64_t fence, const char *tenant)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"%s\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\",\"low\":%u,"
           "\"last\":%u,\"fence\":%" PRIu64 ",\"tenant\":\"%s\"}\n",
           uv_hrtime(), event, server->incarnation, server->service, id, low, last, fence, tenant);
    fflush(stdout);
}

void server_print_record(server_t *server, const char *event, const char *id, uint32_t low, uint32_t last,
                         uint64_t fence)
{
    server_print_record_of_tenant(server, event, id, low, last, fence, "");
}

void server_print_start(const server_t *server)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"start\",\"server\":\"%s\",\"service\":\"%s\",\"address\":\"%s\"}\n",
           uv_hrtime(), server->incarnation, server->service, server->address);
    fflush(stdout);
}

void server_print_grant(const server_t *server, uint32_t low, uint32_t last, uint64_t fence, uint64_t hold_ms,
                        uint64_t late_ms)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"grant\",\"server\":\"%s\",\"service\":\"%s\",\"low\":%u,\"last\":%u,"
           "\"fence\":%" PRIu64 ",\"hold_ms\":%" PRIu64 ",\"late_ms\":%" PRIu64 "}\n",
           uv_hrtime(), server->incarnation, server->service, low, last, fence, hold_ms, late_ms);
    fflush(stdout);
}

void server_print_limit(const server_t *server)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"limit\",\"server\":\"%s\",\"service\":\"%s\",\"per_s\":%g}\n", uv_hrtime(),
           server->incarnation, server->service, server->signals.now.limit_per_s);
    fflush(stdout);
}

void server_print_rest(const server_t *server, const char *id)
{
    printf("{\"ns\":%" PRIu64 ",\"event\":\"rest\",\"server\":\"%s\",\"service\":\"%s\",\"id\":\"%s\",\"rest_s\":%g}\n",
           uv_hrtime(), server->incarnation, server->service, id, server->signals.now.rest_s);
    fflush(stdout);
}
