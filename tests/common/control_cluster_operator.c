/**
 * @file control_cluster_operator.c
 * @brief Operators of the control tests: requests to the leader, and what the state says of the ranges.
 */
#include "control_cluster_internal.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/token_digest.h"

static bool has_leader(void)
{
    return cluster_leader() != NULL;
}

bool cluster_answered(void)
{
    return cluster.answer_status != 0;
}

void cluster_ask(const char *operation, const char *argument, const char *token)
{
    Cw__Envelope        envelope = CW__ENVELOPE__INIT;
    Cw__OperatorRequest request = CW__OPERATOR_REQUEST__INIT;
    uint8_t             digest[CW_TOKEN_DIGEST_BYTES];

    ck_assert(cluster_run_until(has_leader, 5 * CW_US_PER_S));
    cw_token_digest(token, digest);
    request.id = ++cluster.next_request;
    request.origin = 1;
    request.operation = (char *)operation;
    request.argument = (char *)argument;
    request.file_name = "intent.yaml";
    request.token_sha256.data = digest;
    request.token_sha256.len = sizeof(digest);
    request.authorized_administrator = token == NULL;
    envelope.body_case = CW__ENVELOPE__BODY_OPERATOR_REQUEST;
    envelope.operator_request = &request;
    cluster.answer_status = 0;
    cw_control_receive(cluster_leader()->control, &envelope, cluster.now);
}

char *cluster_answer_text(const char *member)
{
    json_t     *body = json_loads(cluster.answer, 0, NULL);
    const char *found = json_string_value(json_object_get(body, member));
    char       *text = strdup(found == NULL ? "" : found);

    json_decref(body);
    return text;
}

void cluster_intent(char *text, size_t size, size_t server_count)
{
    uint8_t bytes[CW_TOKEN_DIGEST_BYTES];
    char    digest[2 * CW_TOKEN_DIGEST_BYTES + 1];
    size_t  length;
    size_t  position;

    cw_token_digest("token", bytes);
    for (position = 0; position < CW_TOKEN_DIGEST_BYTES; position++) {
        snprintf(digest + 2 * position, 3, "%02x", bytes[position]);
    }
    length = (size_t)snprintf(text, size,
                              "tenant: t\noperator_tokens: [%s]\ncaller_tokens: [%s]\nservices:\n- name: s\n"
                              "  lease_ms: %u\n  slots_per_server: 2\n  servers:\n",
                              digest, digest, cluster.lease_ms);
    for (position = 0; position < server_count; position++) {
        length += (size_t)snprintf(text + length, size - length,
                                   "  - {name: s%zu, address: 127.0.0.1, port: %zu, zone: %s}\n", position,
                                   9000 + position, cluster.servers[position].configuration.zone);
    }
}

void cluster_accept(size_t server_count)
{
    char  text[2048];
    char *plan;

    cluster_intent(text, sizeof(text), server_count);
    cluster_ask("plan", text, NULL);
    ck_assert_msg(cluster.answer_status == 200, "plan: %u %s", cluster.answer_status, cluster.answer);
    plan = cluster_answer_text("plan");
    cluster_ask("confirm", plan, NULL);
    free(plan);
    ck_assert(cluster_run_until(cluster_answered, 5 * CW_US_PER_S));
    ck_assert_msg(cluster.answer_status == 200, "confirm: %u %s", cluster.answer_status, cluster.answer);
}

/* ---- ranges ---- */

cw_service_id_t cluster_service(void)
{
    return cw_hash_service("t", "s");
}

static const cluster_server_t *find_server(cw_server_id_t id)
{
    size_t position;

    for (position = 0; position < CLUSTER_SERVERS; position++) {
        if (cluster.servers[position].configuration.id == id) {
            return &cluster.servers[position];
        }
    }
    return NULL;
}

typedef struct range_check {
    size_t         ranges;
    size_t         held;
    cw_server_id_t server;
} range_check_t;

static bool check_range(void *context, const Cw__RangeInfo *range)
{
    range_check_t          *check = context;
    const cluster_server_t *server = find_server(range->server);
    cw_fence_t              fence = cw_fence_effective(range, cw_control_state_server(cluster_state(), range->server));
    size_t                  position;

    check->ranges++;
    if (server == NULL || range->state != CW__RANGE_STATE__RANGE_GRANTED || !cluster_holds(server, range->low)) {
        return true;
    }
    for (position = 0; position < server->grant_count; position++) {
        if (server->grants[position].held && server->grants[position].grant.range == range->id &&
            cw_fence_compare(cw_fence_from_message(&server->grants[position].fence), fence) == 0) {
            check->held++;
        }
    }
    return true;
}

bool cluster_settled(void)
{
    const cw_control_state_t *state = cluster_state();
    range_check_t             check = {0};

    if (state == NULL) {
        return false;
    }
    cw_control_state_each_service_range(state, cluster_service(), check_range, &check);
    return check.ranges > 0 && check.ranges == check.held;
}

static bool count_range(void *context, const Cw__RangeInfo *range)
{
    (void)range;
    ++*(size_t *)context;
    return true;
}

size_t cluster_ranges_of(size_t server)
{
    size_t count = 0;

    cw_control_state_each_server_range(cluster_state(), cluster.servers[server].configuration.id, count_range, &count);
    return count;
}
