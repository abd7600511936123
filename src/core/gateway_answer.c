/**
 * @file gateway_answer.c
 * @brief Final answers. Each request gets one here and is removed at once, so there is never a second.
 */
#include "gateway_internal.h"

static void count_answer(cw_gateway_t *gateway, Cw__Outcome outcome, cw_reason_t reason)
{
    switch (outcome) {
    case CW__OUTCOME__OUTCOME_ANSWERED:
        gateway->counters.answered++;
        break;
    case CW__OUTCOME__OUTCOME_NOT_RUN:
        gateway->counters.not_run++;
        break;
    case CW__OUTCOME__OUTCOME_IN_PROGRESS:
        gateway->counters.in_progress++;
        break;
    default:
        gateway->counters.unknown++;
        break;
    }
    gateway->counters.by_reason[reason]++;
}

/* Gives an answer to the caller, with the request id if there is one. */
static void respond(cw_gateway_t *gateway, uint64_t caller_id, const uint8_t *request_id,
                    const Cw__ForwardResponse *response)
{
    Cw__ForwardResponse answer = *response;

    count_answer(gateway, response->outcome, cw_reason_from_text(response->reason));
    answer.request_id.data = (uint8_t *)request_id;
    answer.request_id.len = request_id == NULL ? 0 : CW_REQUEST_ID_BYTES;
    gateway->ports->respond(gateway->ports->context, caller_id, &answer);
}

void cw_gateway_refuse(cw_gateway_t *gateway, uint64_t caller_id, const uint8_t *request_id,
                       cw_gateway_refusal_t refusal)
{
    Cw__ForwardResponse response = CW__FORWARD_RESPONSE__INIT;

    response.outcome = cw_reason_outcome(refusal.reason);
    response.status = cw_reason_status(refusal.reason);
    response.reason = (char *)cw_reason_text(refusal.reason);
    response.retry_after_ms = refusal.retry_after_ms;
    if (response.retry_after_ms == 0 && cw_reason_is_transient(refusal.reason)) {
        response.retry_after_ms = CW_GATEWAY_RETRY_AFTER_MS;
    }
    respond(gateway, caller_id, request_id, &response);
}

void cw_gateway_end(cw_gateway_t *gateway, cw_gateway_request_t *request, cw_reason_t reason)
{
    cw_gateway_refusal_t refusal = {reason, 0};

    if (request->uncertain != CW_REASON_NONE && cw_reason_outcome(reason) == CW__OUTCOME__OUTCOME_NOT_RUN) {
        refusal.reason = request->uncertain;
    }
    cw_gateway_refuse(gateway, request->caller_id, request->request_id, refusal);
    cw_gateway_request_remove(gateway, request);
}

void cw_gateway_answer(cw_gateway_t *gateway, cw_gateway_request_t *request, const Cw__ForwardResponse *response)
{
    Cw__ForwardResponse answer = *response;
    cw_reason_t         reason = cw_reason_from_text(response->reason);

    if (response->outcome == CW__OUTCOME__OUTCOME_NOT_RUN && request->uncertain != CW_REASON_NONE) {
        cw_gateway_end(gateway, request, request->uncertain);
        return;
    }
    if (answer.retry_after_ms == 0 && answer.outcome == CW__OUTCOME__OUTCOME_NOT_RUN &&
        cw_reason_is_transient(reason)) {
        answer.retry_after_ms = CW_GATEWAY_RETRY_AFTER_MS;
    }
    respond(gateway, request->caller_id, request->request_id, &answer);
    cw_gateway_request_remove(gateway, request);
}
