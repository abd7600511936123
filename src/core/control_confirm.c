/**
 * @file control_confirm.c
 * @brief Confirmation of a plan: durable in the platform's store on the version it was planned from, then committed.
 *
 * State machine of a confirmation:
 *
 *     WRITE --written--> COMMIT --applied--> answered 200
 *     WRITE --refused by the store, nothing written--> answered 503 at once
 *     WRITE --version moved, or outcome not known--> READ
 *     READ --object carries this plan--> COMMIT
 *     READ --object moved on without it--> answered 409: it can never take effect, its condition is gone
 *     READ --object as before--> PAUSE --> WRITE again, on the same condition
 *     READ --failed--> PAUSE --> READ again
 *     any --deadline--> answered 504, since a write may have taken effect
 *
 * Rules: accepted is said only when the configuration is durable and committed. Writing again is harmless, since the
 * condition lets at most one write through. Leadership that ends answers 504 for what is not settled.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/intent.h"
#include "core/control_plan.h"

enum { SETTLE_US = 8 * CW_US_PER_S, PAUSE_US = 500 * CW_US_PER_MS, RETRY_AFTER_S = 5, OBJECT_NAME_MAX = 128 };

static const char unknown_outcome[] =
    "the store did not tell what became of the write; see status for the version in force, then plan again";

static const char slow_commit[] =
    "the configuration is durable in the store, but not yet committed; it will be: see status for the version in force";

static void answer_accepted(cw_control_t *control, const cw_confirmation_t *confirmation)
{
    json_t *body =
        json_pack("{s:b, s:s, s:I, s:s}", "accepted", 1, "tenant", confirmation->configuration->name, "version",
                  (json_int_t)confirmation->version, "plan", confirmation->configuration->plan_id);
    char *text = json_dumps(body, JSON_COMPACT);

    cw_control_answer(control, confirmation->origin, confirmation->id, CW_STATUS_OK, text, 0);
    free(text);
    json_decref(body);
}

static void end_confirmation(cw_control_t *control, cw_confirmation_t *confirmation)
{
    cw_confirmation_t **place = &control->leading.confirmations;

    while (*place != confirmation) {
        place = &(*place)->next;
    }
    *place = confirmation->next;
    cw__tenant_configuration__free_unpacked(confirmation->configuration, NULL);
    free(confirmation);
}

static void refuse(cw_control_t *control, cw_confirmation_t *confirmation, uint32_t status, const char *message,
                   uint32_t retry_after_s)
{
    cw_control_answer_error(control, confirmation->origin, confirmation->id, status, message, retry_after_s);
    end_confirmation(control, confirmation);
}

/* ---- store ---- */

static void write_object(cw_control_t *control, cw_confirmation_t *confirmation)
{
    char name[OBJECT_NAME_MAX];

    cw_control_object_name(name, sizeof(name), confirmation->configuration->name);
    confirmation->phase = CW_CONFIRM_WRITE;
    confirmation->store_id =
        cw_control_store_write(control, name, &confirmation->configuration->base, confirmation->base_version);
}

static void read_object(cw_control_t *control, cw_confirmation_t *confirmation)
{
    char name[OBJECT_NAME_MAX];

    cw_control_object_name(name, sizeof(name), confirmation->configuration->name);
    confirmation->phase = CW_CONFIRM_READ;
    confirmation->store_id = cw_control_store_read(control, name);
}

static void pause_confirmation(cw_control_t *control, cw_confirmation_t *confirmation, bool write_next)
{
    confirmation->phase = CW_CONFIRM_PAUSE;
    confirmation->write_next = write_next;
    confirmation->store_id = 0;
    confirmation->retry_us = control->now.monotonic_us + PAUSE_US;
}

static void commit(cw_control_t *control, cw_confirmation_t *confirmation, uint64_t version)
{
    Cw__TenantConfiguration *copy = (Cw__TenantConfiguration *)cw_message_copy(&confirmation->configuration->base);

    confirmation->phase = CW_CONFIRM_COMMIT;
    confirmation->store_id = 0;
    confirmation->version = version;
    if (copy != NULL) {
        copy->version = version;
        cw_control_accept(control, copy);
    }
}

static void take_write(cw_control_t *control, cw_confirmation_t *confirmation, const cw_store_completion_t *completion)
{
    if (completion->error == CW_OK) {
        commit(control, confirmation, completion->version);
    } else if (completion->error == CW_ERROR_UNAVAILABLE && !confirmation->uncertain) {
        refuse(control, confirmation, CW_STATUS_UNAVAILABLE, "the store is not available: nothing was accepted",
               RETRY_AFTER_S);
    } else {
        confirmation->uncertain |= completion->error != CW_ERROR_UNAVAILABLE;
        read_object(control, confirmation);
    }
}

static bool carries_plan(const cw_store_object_t *object, const char *plan_id)
{
    Cw__TenantConfiguration *found = cw__tenant_configuration__unpack(NULL, object->value_length, object->value);
    bool                     carries = found != NULL && strcmp(found->plan_id, plan_id) == 0;

    if (found != NULL) {
        cw__tenant_configuration__free_unpacked(found, NULL);
    }
    return carries;
}

static void take_read(cw_control_t *control, cw_confirmation_t *confirmation, const cw_store_completion_t *completion)
{
    const cw_store_object_t *object = completion->object_count > 0 ? &completion->objects[0] : NULL;

    if (completion->error == CW_ERROR_NOT_FOUND && confirmation->base_version == 0) {
        pause_confirmation(control, confirmation, true);
    } else if (completion->error != CW_OK || object == NULL) {
        pause_confirmation(control, confirmation, false);
    } else if (carries_plan(object, confirmation->configuration->plan_id)) {
        commit(control, confirmation, object->version);
    } else if (object->version != confirmation->base_version) {
        refuse(control, confirmation, CW_STATUS_CONFLICT,
               "the plan is stale: another configuration was accepted meanwhile; plan again", 0);
    } else {
        pause_confirmation(control, confirmation, true);
    }
}

bool cw_control_take_confirmation(cw_control_t *control, const cw_store_completion_t *completion)
{
    cw_confirmation_t *confirmation = control->leading.confirmations;

    while (confirmation != NULL && confirmation->store_id != completion->id) {
        confirmation = confirmation->next;
    }
    if (confirmation == NULL) {
        return false;
    }
    if (confirmation->phase == CW_CONFIRM_WRITE) {
        take_write(control, confirmation, completion);
    } else {
        take_read(control, confirmation, completion);
    }
    return true;
}

/* ---- time ---- */

static bool is_applied(const cw_control_t *control, const cw_confirmation_t *confirmation)
{
    const Cw__TenantConfiguration *present = cw_control_state_tenant(control->state, confirmation->configuration->name);

    return present != NULL && present->version >= confirmation->version;
}

static void tend(cw_control_t *control, cw_confirmation_t *confirmation)
{
    if (confirmation->phase == CW_CONFIRM_COMMIT && is_applied(control, confirmation)) {
        answer_accepted(control, confirmation);
        end_confirmation(control, confirmation);
    } else if (control->now.monotonic_us >= confirmation->deadline_us) {
        refuse(control, confirmation, CW_STATUS_TIMEOUT,
               confirmation->phase == CW_CONFIRM_COMMIT ? slow_commit : unknown_outcome, 0);
    } else if (confirmation->phase == CW_CONFIRM_PAUSE && control->now.monotonic_us >= confirmation->retry_us) {
        confirmation->write_next ? write_object(control, confirmation) : read_object(control, confirmation);
    }
}

void cw_control_tend_confirmations(cw_control_t *control)
{
    cw_confirmation_t *confirmation = control->leading.confirmations;
    cw_confirmation_t *next;

    for (; confirmation != NULL; confirmation = next) {
        next = confirmation->next;
        tend(control, confirmation);
    }
}

void cw_control_end_confirmations(cw_control_t *control)
{
    while (control->leading.confirmations != NULL) {
        refuse(control, control->leading.confirmations, CW_STATUS_TIMEOUT,
               "leadership changed before the outcome was known; see status for the version in force", 0);
    }
}

/* ---- request ---- */

/* Why the plan cannot be confirmed by this asker now; 0: it can. */
static uint32_t check_confirmation(cw_control_t *control, const Cw__OperatorRequest *request, const cw_plan_t *plan,
                                   const char **message)
{
    const Cw__TenantConfiguration *present;

    *message = "no such plan: it may have expired, or been made by another leader; plan again";
    if (plan == NULL) {
        return CW_STATUS_NOT_FOUND;
    }
    present = cw_control_state_tenant(control->state, plan->configuration->name);
    if (!cw_control_authorized(request, present)) {
        return CW_STATUS_NOT_FOUND;
    }
    if (plan->administrator_only && !request->authorized_administrator) {
        *message = "this plan needs an administrator";
        return CW_STATUS_FORBIDDEN;
    }
    if ((present == NULL ? 0 : present->version) != plan->base_version) {
        *message = "the plan is stale: another configuration was accepted meanwhile; plan again";
        return CW_STATUS_CONFLICT;
    }
    if (cw_control_find_taken_address(control, plan->configuration) != NULL) {
        *message = "a server's address and port are already in use by another server";
        return CW_STATUS_CONFLICT;
    }
    return 0;
}

void cw_control_operate_confirm(cw_control_t *control, const Cw__OperatorRequest *request)
{
    cw_plan_t         *plan = cw_control_find_plan(control, request->argument);
    const char        *message = NULL;
    uint32_t           refused = check_confirmation(control, request, plan, &message);
    cw_confirmation_t *confirmation;

    if (refused != 0) {
        cw_control_answer_error(control, request->origin, request->id, refused, message, 0);
        return;
    }
    confirmation = calloc(1, sizeof(*confirmation));
    if (confirmation != NULL) {
        confirmation->configuration = (Cw__TenantConfiguration *)cw_message_copy(&plan->configuration->base);
    }
    if (confirmation == NULL || confirmation->configuration == NULL) {
        free(confirmation);
        cw_control_answer_error(control, request->origin, request->id, CW_STATUS_UNAVAILABLE, "out of memory", 1);
        return;
    }
    cw_control_set_string(&confirmation->configuration->plan_id, plan->id);
    confirmation->id = request->id;
    confirmation->origin = request->origin;
    confirmation->base_version = plan->base_version;
    confirmation->deadline_us = control->now.monotonic_us + SETTLE_US;
    confirmation->next = control->leading.confirmations;
    control->leading.confirmations = confirmation;
    write_object(control, confirmation);
}
