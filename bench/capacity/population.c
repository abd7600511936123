/**
 * @file population.c
 * @brief States of a given size, made by applying commands as a control group does.
 */
#include "population.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "cedarwinch/token_digest.h"

enum {
    NAME_ROOM = 32,
    JOURNAL_REPLICAS = 3,
    PEER_PORT = 7100,
    HTTP_PORT = 7200,
    SERVER_PORT = 9000,
    SLOTS = 4,
    CONNECTIONS = 120,
    LEASE_MS = 1500, /**< the configuration's default */
    ZONES = 10,
    REGIONS = 4
};

#define SERVICE_NAME "transcripts"
#define CALLER_TOKEN "caller token of a tenant"
#define RANGE_REASON "balance: owner at 1.32 of the mean, target at 0.84"

/** One tenant's configuration with the memory that it points to. */
typedef struct tenant_parts {
    char name[NAME_ROOM];
    char (*server_names)[NAME_ROOM];
    Cw__ServerConfiguration  *servers;
    Cw__ServerConfiguration **server_pointers;
    Cw__NonRepeatableRule     rule;
    Cw__NonRepeatableRule    *rules[1];
    Cw__PlacementWeights      weights;
    Cw__ServiceConfiguration  service;
    Cw__ServiceConfiguration *services[1];
    Cw__TenantLimits          limits;
    uint8_t                   digest[CW_TOKEN_DIGEST_BYTES];
    ProtobufCBinaryData       token;
    Cw__TenantConfiguration   tenant;
} tenant_parts_t;

void cw_capacity_node_init(cw_capacity_node_t *node, cw_node_id_t id)
{
    cw__node_info__init(&node->info);
    snprintf(node->address, sizeof(node->address), "10.%u.%u.%u", id >> 16 & 0xff, id >> 8 & 0xff, id & 0xff);
    node->info.id = id;
    node->info.incarnation = CW_CAPACITY_INCARNATIONS + id;
    snprintf(node->zone, sizeof(node->zone), "eu-west-%uz%u", id % ZONES % REGIONS, id % ZONES);
    snprintf(node->region, sizeof(node->region), "eu-west-%u", id % ZONES % REGIONS);
    node->info.zone = node->zone;
    node->info.region = node->region;
    node->info.address = node->address;
    node->info.peer_port = PEER_PORT;
    node->info.http_port = HTTP_PORT;
    node->info.state = CW__NODE_STATE__NODE_UP;
}

void cw_capacity_tenant_name(char *text, size_t room, size_t tenant)
{
    snprintf(text, room, "tenant-%05zu", tenant);
}

void cw_capacity_server_name(char *text, size_t room, size_t server)
{
    snprintf(text, room, "server-%05zu", server);
}

const char *cw_capacity_service_name(void)
{
    return SERVICE_NAME;
}

const char *cw_capacity_caller_token(void)
{
    return CALLER_TOKEN;
}

static void apply(cw_control_state_t *state, const Cw__Command *command)
{
    uint64_t index = cw_control_state_version(state) + 1;

    if (cw_control_state_apply(state, command, CW_CAPACITY_GENERATION, index) != CW_OK) {
        fprintf(stderr, "capacity: a command was refused\n");
        exit(EXIT_FAILURE);
    }
}

static void apply_nodes(cw_control_state_t *state, size_t count)
{
    cw_capacity_node_t *nodes = calloc(count + 1, sizeof(*nodes));
    Cw__NodeInfo      **pointers = calloc(count + 1, sizeof(Cw__NodeInfo *));
    Cw__Command         command = CW__COMMAND__INIT;
    size_t              position;

    for (position = 0; nodes != NULL && pointers != NULL && position < count; position++) {
        cw_capacity_node_init(&nodes[position], (cw_node_id_t)position + 1);
        pointers[position] = &nodes[position].info;
    }
    command.n_nodes = position;
    command.nodes = pointers;
    apply(state, &command);
    free(nodes);
    free(pointers);
}

static void fill_server(tenant_parts_t *parts, size_t position)
{
    Cw__ServerConfiguration *server = &parts->servers[position];

    cw__server_configuration__init(server);
    cw_capacity_server_name(parts->server_names[position], NAME_ROOM, position);
    server->id = cw_hash_server(parts->name, SERVICE_NAME, parts->server_names[position]);
    server->name = parts->server_names[position];
    server->address = (char *)"10.200.100.50";
    server->port = SERVER_PORT;
    server->zone = (char *)"eu-west-1z1";
    parts->server_pointers[position] = server;
}

static void fill_service(tenant_parts_t *parts, const cw_capacity_population_t *population)
{
    cw__non_repeatable_rule__init(&parts->rule);
    parts->rule.method = (char *)"POST";
    parts->rule.path_prefix = (char *)"/certify";
    parts->rules[0] = &parts->rule;
    cw__placement_weights__init(&parts->weights);
    parts->weights.imbalance = parts->weights.churn = parts->weights.unavailable = 1;
    cw__service_configuration__init(&parts->service);
    parts->service.id = cw_hash_service(parts->name, SERVICE_NAME);
    parts->service.name = (char *)SERVICE_NAME;
    parts->service.n_servers = population->servers_per_tenant;
    parts->service.servers = parts->server_pointers;
    parts->service.n_non_repeatable = 1;
    parts->service.non_repeatable = parts->rules;
    parts->service.slots_per_server = SLOTS;
    parts->service.connections_per_server = CONNECTIONS;
    parts->service.default_timeout_ms = CW_US_PER_MS;
    parts->service.lease_ms = LEASE_MS;
    parts->service.ranges_per_server = (uint32_t)population->ranges_per_server;
    parts->service.weights = &parts->weights;
    parts->services[0] = &parts->service;
}

static void fill_tenant(tenant_parts_t *parts)
{
    cw_token_digest(CALLER_TOKEN, parts->digest);
    parts->token.len = sizeof(parts->digest);
    parts->token.data = parts->digest;
    cw__tenant_limits__init(&parts->limits);
    parts->limits.requests_per_second = UINT32_MAX;
    parts->limits.concurrent_requests = UINT32_MAX;
    cw__tenant_configuration__init(&parts->tenant);
    parts->tenant.name = parts->name;
    parts->tenant.version = 1;
    parts->tenant.plan_id = (char *)"00000000000000000000000000000000";
    parts->tenant.n_operator_token_sha256 = parts->tenant.n_caller_token_sha256 = 1;
    parts->tenant.operator_token_sha256 = parts->tenant.caller_token_sha256 = &parts->token;
    parts->tenant.limits = &parts->limits;
    parts->tenant.n_services = 1;
    parts->tenant.services = parts->services;
}

static void apply_tenant(cw_control_state_t *state, tenant_parts_t *parts, const cw_capacity_population_t *population,
                         size_t tenant)
{
    Cw__TenantConfiguration *tenants[] = {&parts->tenant};
    Cw__Command              command = CW__COMMAND__INIT;
    size_t                   position;

    cw_capacity_tenant_name(parts->name, sizeof(parts->name), tenant);
    for (position = 0; position < population->servers_per_tenant; position++) {
        fill_server(parts, position);
    }
    fill_service(parts, population);
    fill_tenant(parts);
    command.n_tenants = 1;
    command.tenants = tenants;
    apply(state, &command);
}

/** Forwarder of a server: nodes in turn over all tenants' servers. */
static cw_node_id_t forwarder_of(const cw_capacity_population_t *population, size_t tenant, size_t server)
{
    size_t number = tenant * population->servers_per_tenant + server;

    return (cw_node_id_t)(number % population->nodes) + 1;
}

static void apply_servers(cw_control_state_t *state, const tenant_parts_t *parts,
                          const cw_capacity_population_t *population, size_t tenant)
{
    size_t           count = population->servers_per_tenant;
    Cw__ServerInfo  *servers = calloc(count + 1, sizeof(*servers));
    Cw__ServerInfo **pointers = calloc(count + 1, sizeof(Cw__ServerInfo *));
    Cw__Command      command = CW__COMMAND__INIT;
    size_t           position;

    for (position = 0; servers != NULL && pointers != NULL && position < count; position++) {
        cw__server_info__init(&servers[position]);
        servers[position].server = parts->servers[position].id;
        servers[position].service = parts->service.id;
        servers[position].forwarder = forwarder_of(population, tenant, position);
        servers[position].forwarder_incarnation = CW_CAPACITY_INCARNATIONS + servers[position].forwarder;
        pointers[position] = &servers[position];
    }
    command.n_servers = position;
    command.servers = pointers;
    if (position > 0) {
        apply(state, &command);
    }
    free(servers);
    free(pointers);
}

typedef struct range_parts {
    Cw__RangeInfo         info;
    Cw__ReplicaReference  replicas[JOURNAL_REPLICAS];
    Cw__ReplicaReference *replica_pointers[JOURNAL_REPLICAS];
} range_parts_t;

/** Journal sets go over all nodes in turn, over the ranges of all tenants. */
static void fill_journal(range_parts_t *range, const cw_capacity_population_t *population, size_t number)
{
    size_t replica;

    for (replica = 0; replica < JOURNAL_REPLICAS; replica++) {
        cw__replica_reference__init(&range->replicas[replica]);
        range->replicas[replica].node = (uint32_t)((number * JOURNAL_REPLICAS + replica) % population->nodes) + 1;
        range->replicas[replica].incarnation = CW_CAPACITY_INCARNATIONS + range->replicas[replica].node;
        range->replica_pointers[replica] = &range->replicas[replica];
    }
    range->info.n_journal = JOURNAL_REPLICAS;
    range->info.journal = range->replica_pointers;
}

static void fill_range(range_parts_t *range, const tenant_parts_t *parts, const cw_capacity_population_t *population,
                       size_t position, size_t total)
{
    uint64_t width = UINT64_MAX / total;

    cw__range_info__init(&range->info);
    range->info.service = parts->service.id;
    range->info.low = position * width;
    range->info.last = position + 1 == total ? UINT64_MAX : (position + 1) * width - 1;
    range->info.server = parts->servers[position % population->servers_per_tenant].id;
    range->info.state = CW__RANGE_STATE__RANGE_GRANTED;
    range->info.reason = (char *)RANGE_REASON;
    range->info.tenant = (char *)parts->name;
    range->info.journal_valid_from_ms = INT64_C(1790000000000);
}

static void apply_ranges(cw_control_state_t *state, const tenant_parts_t *parts,
                         const cw_capacity_population_t *population, size_t tenant)
{
    size_t          count = population->servers_per_tenant * population->ranges_per_server;
    range_parts_t  *ranges = calloc(count + 1, sizeof(*ranges));
    Cw__RangeInfo **pointers = calloc(count + 1, sizeof(Cw__RangeInfo *));
    Cw__Command     command = CW__COMMAND__INIT;
    size_t          position;

    for (position = 0; ranges != NULL && pointers != NULL && position < count; position++) {
        fill_range(&ranges[position], parts, population, position, count);
        fill_journal(&ranges[position], population, tenant * count + position);
        pointers[position] = &ranges[position].info;
    }
    command.n_ranges = position;
    command.ranges = pointers;
    if (position > 0) {
        apply(state, &command);
    }
    free(ranges);
    free(pointers);
}

static bool tenant_parts_create(tenant_parts_t *parts, size_t servers)
{
    memset(parts, 0, sizeof(*parts));
    parts->server_names = calloc(servers + 1, NAME_ROOM);
    parts->servers = calloc(servers + 1, sizeof(Cw__ServerConfiguration));
    parts->server_pointers = calloc(servers + 1, sizeof(Cw__ServerConfiguration *));
    return parts->server_names != NULL && parts->servers != NULL && parts->server_pointers != NULL;
}

static void tenant_parts_clear(tenant_parts_t *parts)
{
    free(parts->server_names);
    free(parts->servers);
    free(parts->server_pointers);
}

cw_control_state_t *cw_capacity_population_create(const cw_capacity_population_t *population)
{
    cw_control_state_t *state = cw_control_state_create();
    tenant_parts_t      parts;
    size_t              tenant;

    if (!tenant_parts_create(&parts, population->servers_per_tenant) || state == NULL) {
        tenant_parts_clear(&parts);
        cw_control_state_free(state);
        return NULL;
    }
    apply_nodes(state, population->nodes);
    for (tenant = 0; tenant < population->tenants; tenant++) {
        apply_tenant(state, &parts, population, tenant);
        apply_servers(state, &parts, population, tenant);
        apply_ranges(state, &parts, population, tenant);
    }
    tenant_parts_clear(&parts);
    return state;
}

void cw_capacity_change_node(cw_control_state_t *state, cw_node_id_t id, Cw__NodeState node_state)
{
    cw_capacity_node_t node;
    Cw__NodeInfo      *nodes[] = {&node.info};
    Cw__Command        command = CW__COMMAND__INIT;

    cw_capacity_node_init(&node, id);
    node.info.state = node_state;
    command.n_nodes = 1;
    command.nodes = nodes;
    apply(state, &command);
}

void cw_capacity_change_range(cw_control_state_t *state, cw_range_id_t range)
{
    const Cw__RangeInfo *present = cw_control_state_range(state, range);
    Cw__RangeInfo       *copy = (Cw__RangeInfo *)cw_message_copy(&present->base);
    Cw__RangeInfo       *ranges[] = {copy};
    Cw__Command          command = CW__COMMAND__INIT;

    command.n_ranges = 1;
    command.ranges = ranges;
    apply(state, &command);
    cw__range_info__free_unpacked(copy, NULL);
}

void cw_capacity_change_tenant(cw_control_state_t *state, size_t tenant)
{
    char                     name[NAME_ROOM];
    Cw__TenantConfiguration *copy;
    Cw__TenantConfiguration *tenants[] = {NULL};
    Cw__Command              command = CW__COMMAND__INIT;

    cw_capacity_tenant_name(name, sizeof(name), tenant);
    copy = (Cw__TenantConfiguration *)cw_message_copy(&cw_control_state_tenant(state, name)->base);
    copy->version++;
    tenants[0] = copy;
    command.n_tenants = 1;
    command.tenants = tenants;
    apply(state, &command);
    cw__tenant_configuration__free_unpacked(copy, NULL);
}
