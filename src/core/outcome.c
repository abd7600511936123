/**
 * @file outcome.c
 * @brief Table of the reasons, and the one decision about the outcome of an exchange with a server.
 *
 * Rule: "not run" is said only where it is proved, that is, when no byte left for the server or the server itself said
 * so. Everything else that is not a whole answer is "unknown".
 */
#include "cedarwinch/outcome.h"

#include <string.h>

typedef struct cw_reason_entry {
    const char *text;
    uint32_t    status;
    Cw__Outcome outcome;
    bool        is_transient;
} cw_reason_entry_t;

static const cw_reason_entry_t reasons[CW_REASON_COUNT] = {
    [CW_REASON_NONE] = {"", 200, CW__OUTCOME__OUTCOME_ANSWERED, false},
    [CW_REASON_BAD_REQUEST] = {"bad-request", 400, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_UNAUTHORIZED] = {"unauthorized", 401, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_NOT_FOUND] = {"not-found", 404, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_TOO_LARGE] = {"too-large", 413, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_RATE_LIMIT] = {"rate-limit", 429, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_CONCURRENCY_LIMIT] = {"concurrency-limit", 429, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_OUT_OF_TOUCH] = {"out-of-touch", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_NO_OWNER] = {"no-owner", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_MOVING] = {"moving", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_STALE_ROUTE] = {"stale-route", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_QUEUE_FULL] = {"queue-full", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_DEADLINE] = {"deadline", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_SERVER_REFUSED] = {"server-refused", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_SERVER_UNREACHABLE] = {"server-unreachable", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_JOURNAL_UNAVAILABLE] = {"journal-unavailable", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
    [CW_REASON_ID_IN_FUTURE] = {"id-in-future", 400, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_ID_TOO_OLD] = {"id-too-old", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_ID_REUSED] = {"id-reused", 409, CW__OUTCOME__OUTCOME_NOT_RUN, false},
    [CW_REASON_IN_PROGRESS] = {"in-progress", 409, CW__OUTCOME__OUTCOME_IN_PROGRESS, false},
    [CW_REASON_STARTED_BEFORE] = {"started-before", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_CONNECTION_LOST] = {"connection-lost", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_TIMEOUT] = {"timeout", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_FORWARDER_LOST] = {"forwarder-lost", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_CANCELLED] = {"cancelled", 504, CW__OUTCOME__OUTCOME_UNKNOWN, false},
    [CW_REASON_STOPPING] = {"stopping", 503, CW__OUTCOME__OUTCOME_NOT_RUN, true},
};

const char *cw_reason_text(cw_reason_t reason)
{
    return reasons[reason].text;
}

cw_reason_t cw_reason_from_text(const char *text)
{
    int reason;

    for (reason = 0; reason < CW_REASON_COUNT; reason++) {
        if (strcmp(reasons[reason].text, text) == 0) {
            return (cw_reason_t)reason;
        }
    }
    return CW_REASON_NONE;
}

uint32_t cw_reason_status(cw_reason_t reason)
{
    return reasons[reason].status;
}

Cw__Outcome cw_reason_outcome(cw_reason_t reason)
{
    return reasons[reason].outcome;
}

bool cw_reason_is_transient(cw_reason_t reason)
{
    return reasons[reason].is_transient;
}

const char *cw_outcome_text(Cw__Outcome outcome)
{
    switch (outcome) {
    case CW__OUTCOME__OUTCOME_ANSWERED:
        return "answered";
    case CW__OUTCOME__OUTCOME_NOT_RUN:
        return "not-run";
    case CW__OUTCOME__OUTCOME_IN_PROGRESS:
        return "in-progress";
    default:
        return "unknown";
    }
}

cw_reason_t cw_outcome_decide(const cw_outcome_facts_t *facts)
{
    if (!facts->sent) {
        return facts->deadline_over ? CW_REASON_DEADLINE : CW_REASON_SERVER_UNREACHABLE;
    }
    switch (facts->result) {
    case CW_SERVER_ANSWERED:
        return CW_REASON_NONE;
    case CW_SERVER_NOT_SENT:
        return facts->deadline_over ? CW_REASON_DEADLINE : CW_REASON_SERVER_UNREACHABLE;
    case CW_SERVER_REFUSED:
        return CW_REASON_SERVER_REFUSED;
    default:
        return facts->deadline_over ? CW_REASON_TIMEOUT : CW_REASON_CONNECTION_LOST;
    }
}
