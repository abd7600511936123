/**
 * @file control_plan.c
 * @brief Plans: an operator's intent, checked and compared with the present state, kept until it is confirmed.
 *
 * Rules:
 * - A plan is bound to the tenant's configuration version it was made from. It expires after PLAN_LIFE_US and is lost
 *   with the leader; then it is made anew.
 * - Plans of a tenant are bounded, the oldest makes room, so that no tenant takes the memory of another.
 * - The first configuration of a tenant and changes of its limits are for administrators, at plan and at confirmation.
 * - A server's address belongs to one tenant's one server: another tenant that named it could lengthen its lease.
 */
#include <jansson.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_plan.h"

enum { PLAN_LIFE_US = 600 * CW_US_PER_S, PLANS_PER_TENANT = 8, PLAN_ID_BYTES = 16 };

/* ---- kept plans ---- */

static void free_plan(cw_plan_t *plan)
{
    cw__tenant_configuration__free_unpacked(plan->configuration, NULL);
    free(plan);
}

static void expire_plans(cw_control_t *control)
{
    cw_plan_t **place = &control->leading.plans;
    cw_plan_t  *plan;

    while (*place != NULL) {
        plan = *place;
        if (control->now.monotonic_us < plan->expires_us) {
            place = &plan->next;
            continue;
        }
        *place = plan->next;
        free_plan(plan);
    }
}

/* Newest first: drops a tenant's plans beyond its share, one of which is about to be added. */
static void bound_plans(cw_control_t *control, const char *tenant)
{
    cw_plan_t **place = &control->leading.plans;
    cw_plan_t  *plan;
    size_t      count = 0;

    while (*place != NULL) {
        plan = *place;
        if (strcmp(plan->configuration->name, tenant) != 0 || ++count < PLANS_PER_TENANT) {
            place = &plan->next;
            continue;
        }
        *place = plan->next;
        free_plan(plan);
    }
}

cw_plan_t *cw_control_find_plan(cw_control_t *control, const char *id)
{
    cw_plan_t *plan;

    expire_plans(control);
    for (plan = control->leading.plans; plan != NULL; plan = plan->next) {
        if (strcmp(plan->id, id) == 0) {
            return plan;
        }
    }
    return NULL;
}

void cw_control_end_plans(cw_control_t *control)
{
    cw_plan_t *plan;

    while (control->leading.plans != NULL) {
        plan = control->leading.plans;
        control->leading.plans = plan->next;
        free_plan(plan);
    }
    cw_control_end_confirmations(control);
}

static void make_id(cw_control_t *control, cw_plan_t *plan, const char *intent)
{
    struct {
        uint64_t      base_version;
        uint64_t      salt;
        unsigned char intent[SHA256_DIGEST_LENGTH];
    } source;
    unsigned char digest[SHA256_DIGEST_LENGTH];
    size_t        position;

    memset(&source, 0, sizeof(source));
    source.base_version = plan->base_version;
    source.salt = cw_random_next(&control->random_state);
    SHA256((const unsigned char *)intent, strlen(intent), source.intent);
    SHA256((const unsigned char *)&source, sizeof(source), digest);
    for (position = 0; position < PLAN_ID_BYTES; position++) {
        snprintf(plan->id + 2 * position, 3, "%02x", digest[position]);
    }
}

/* ---- checks ---- */

static bool same_limits(const Cw__TenantLimits *left, const Cw__TenantLimits *right)
{
    if (left == NULL || right == NULL) {
        return left == right;
    }
    return left->requests_per_second == right->requests_per_second &&
           left->concurrent_requests == right->concurrent_requests;
}

bool cw_control_needs_administrator(const Cw__TenantConfiguration *present, const Cw__TenantConfiguration *wanted)
{
    return present == NULL || !same_limits(present->limits, wanted->limits);
}

typedef struct address_search {
    const Cw__TenantConfiguration *wanted;
    const Cw__ServerConfiguration *taken;
} address_search_t;

static bool names_address(const Cw__TenantConfiguration *tenant, const Cw__ServerConfiguration *server)
{
    const Cw__ServerConfiguration *other;
    size_t                         service;
    size_t                         position;

    for (service = 0; service < tenant->n_services; service++) {
        for (position = 0; position < tenant->services[service]->n_servers; position++) {
            other = tenant->services[service]->servers[position];
            if (other->id != server->id && other->port == server->port &&
                strcmp(other->address, server->address) == 0) {
                return true;
            }
        }
    }
    return false;
}

static bool compare_addresses(void *context, const Cw__TenantConfiguration *tenant)
{
    address_search_t               *search = context;
    const Cw__ServiceConfiguration *service;
    size_t                          number;
    size_t                          position;

    if (strcmp(tenant->name, search->wanted->name) == 0) {
        tenant = search->wanted; /* its new configuration replaces this one */
    }
    for (number = 0; number < search->wanted->n_services; number++) {
        service = search->wanted->services[number];
        for (position = 0; position < service->n_servers; position++) {
            if (names_address(tenant, service->servers[position])) {
                search->taken = service->servers[position];
                return false;
            }
        }
    }
    return true;
}

const Cw__ServerConfiguration *cw_control_find_taken_address(const cw_control_t            *control,
                                                             const Cw__TenantConfiguration *wanted)
{
    address_search_t         search = {wanted, NULL};
    const cw_confirmation_t *confirmation;

    (void)compare_addresses(&search, wanted);
    if (search.taken == NULL) {
        cw_control_state_each_tenant(control->state, compare_addresses, &search);
    }
    for (confirmation = control->leading.confirmations; confirmation != NULL && search.taken == NULL;
         confirmation = confirmation->next) {
        (void)compare_addresses(&search, confirmation->configuration);
    }
    return search.taken;
}

/* ---- answers ---- */

static void answer_findings(cw_control_t *control, const Cw__OperatorRequest *request, const cw_findings_t *findings)
{
    char   *list = cw_findings_to_json(findings);
    json_t *items = json_loads(list == NULL ? "[]" : list, 0, NULL);
    json_t *body = json_pack("{s:s, s:o}", "error", "the intent has findings", "findings", items);
    char   *text = json_dumps(body, JSON_COMPACT);

    cw_control_answer(control, request->origin, request->id, CW_STATUS_UNPROCESSABLE, text, 0);
    free(text);
    json_decref(body);
    free(list);
}

static void answer_plan(cw_control_t *control, const Cw__OperatorRequest *request, const cw_plan_t *plan)
{
    json_t *services = cw_control_plan_effects(control, plan->configuration);
    json_t *body = json_pack("{s:s, s:s, s:I, s:i, s:b, s:o}", "plan", plan->id, "tenant", plan->configuration->name,
                             "base_version", (json_int_t)plan->base_version, "expires_s", PLAN_LIFE_US / CW_US_PER_S,
                             "administrator_only", plan->administrator_only, "services", services);
    char   *text = json_dumps(body, JSON_COMPACT);

    cw_control_answer(control, request->origin, request->id, CW_STATUS_OK, text, 0);
    free(text);
    json_decref(body);
}

/* Why the intent cannot become a plan for this asker; 0: it can. */
static uint32_t check_plan(cw_control_t *control, const Cw__OperatorRequest *request,
                           const Cw__TenantConfiguration *wanted, const char **message)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(control->state, wanted->name);

    if (!cw_control_authorized(request, present)) {
        *message = "the token may not act for this tenant";
        return CW_STATUS_FORBIDDEN;
    }
    if (!request->authorized_administrator && cw_control_needs_administrator(present, wanted)) {
        *message = "a tenant's first configuration and changes of its limits need an administrator";
        return CW_STATUS_FORBIDDEN;
    }
    if (cw_control_find_taken_address(control, wanted) != NULL) {
        *message = "a server's address and port are already in use by another server";
        return CW_STATUS_CONFLICT;
    }
    return 0;
}

static void keep_plan(cw_control_t *control, const Cw__OperatorRequest *request, Cw__TenantConfiguration *wanted)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(control->state, wanted->name);
    cw_plan_t                     *plan = calloc(1, sizeof(*plan));

    if (plan == NULL) {
        cw__tenant_configuration__free_unpacked(wanted, NULL);
        cw_control_answer_error(control, request->origin, request->id, CW_STATUS_UNAVAILABLE, "out of memory", 1);
        return;
    }
    plan->configuration = wanted;
    plan->base_version = present == NULL ? 0 : present->version;
    plan->administrator_only = cw_control_needs_administrator(present, wanted);
    plan->expires_us = control->now.monotonic_us + PLAN_LIFE_US;
    make_id(control, plan, request->argument);
    expire_plans(control);
    bound_plans(control, wanted->name);
    plan->next = control->leading.plans;
    control->leading.plans = plan;
    answer_plan(control, request, plan);
}

void cw_control_operate_plan(cw_control_t *control, const Cw__OperatorRequest *request)
{
    cw_findings_t            findings;
    Cw__TenantConfiguration *wanted;
    const char              *message = NULL;
    uint32_t                 refused;

    cw_findings_init(&findings);
    wanted = cw_intent_read(request->argument, strlen(request->argument), request->file_name, &findings);
    if (wanted == NULL) {
        answer_findings(control, request, &findings);
        cw_findings_clear(&findings);
        return;
    }
    cw_findings_clear(&findings);
    refused = check_plan(control, request, wanted, &message);
    if (refused != 0) {
        cw__tenant_configuration__free_unpacked(wanted, NULL);
        cw_control_answer_error(control, request->origin, request->id, refused, message, 0);
        return;
    }
    keep_plan(control, request, wanted);
}
