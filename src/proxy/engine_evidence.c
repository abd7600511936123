/**
 * @file engine_evidence.c
 * @brief Reads from an answer the facts by which run_evidence.h decides what it shows.
 */
#include <strings.h>

#include "model/server_incarnation.h"
#include "proxy/engine_internal.h"

bool cw_request_names_other_server(const cw_request_t *request, const cw_server_t *server,
                                   const cw_upstream_answer_t *answer)
{
    const char *instance = cw_http_fields_find(answer->fields, request->engine->settings.names.instance);

    return instance != NULL && !cw_server_id_has_name(server->id, instance);
}

static bool has_signature(const cw_header_names_t *names, const cw_upstream_answer_t *answer)
{
    const char *signature;

    if (names->signature == NULL) {
        return true;
    }
    signature = cw_http_fields_find(answer->fields, names->signature);
    return signature != NULL && signature[0] != '\0';
}

/* A caller that names no encodings gets none. */
static bool is_encoded(const cw_request_t *request, const cw_upstream_answer_t *answer)
{
    const char *encoding = cw_http_fields_find(answer->fields, "content-encoding");

    return encoding != NULL && strcasecmp(encoding, "identity") != 0 &&
           cw_http_fields_find(request->fields, "accept-encoding") == NULL;
}

/* server: the one that the request was sent to; NULL: another node passed its answer on. */
static cw_answer_facts_t facts_of(const cw_request_t *request, const cw_server_t *server,
                                  const cw_upstream_answer_t *answer)
{
    const cw_header_names_t *names = &request->engine->settings.names;

    return (cw_answer_facts_t){.status = answer->status,
                               .has_denial = cw_http_fields_find(answer->fields, names->not_run) != NULL,
                               .has_signature = has_signature(names, answer),
                               .is_encoded = is_encoded(request, answer),
                               .names_request = answer->names_request || request->id == NULL,
                               .names_other_server =
                                   server != NULL && cw_request_names_other_server(request, server, answer),
                               .is_first_on_connection = answer->is_first,
                               .carried_before = answer->carried_before};
}

cw_run_evidence_t cw_request_evidence_of(const cw_request_t *request, const cw_server_t *server,
                                         const cw_upstream_answer_t *answer)
{
    cw_answer_facts_t facts;

    if (answer->result != CW_UPSTREAM_ANSWERED) {
        return cw_run_evidence_without_answer(answer->result != CW_UPSTREAM_NOT_SENT &&
                                              answer->result != CW_UPSTREAM_WITHDRAWN);
    }
    facts = facts_of(request, server, answer);
    return cw_run_evidence_of_answer(&facts);
}

cw_run_evidence_t cw_request_evidence_of_relayed(const cw_request_t *request, const cw_upstream_answer_t *answer)
{
    cw_answer_facts_t facts = facts_of(request, NULL, answer);

    return cw_run_evidence_of_relayed_answer(&facts);
}

bool cw_request_may_keep_connection(void *context, const cw_upstream_answer_t *answer)
{
    const cw_request_t *request = context;

    return cw_run_evidence_is_servers_own(cw_request_evidence_of(request, request->server, answer));
}

void cw_request_record_evidence(cw_request_t *request, cw_run_evidence_t evidence)
{
    request->evidence = evidence;
    request->may_have_run = request->may_have_run || !cw_run_evidence_excludes_run(evidence);
}
