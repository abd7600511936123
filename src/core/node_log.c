/**
 * @file node_log.c
 * @brief A node's log lines on requests. One request id runs through the lines of gateway and forwarder.
 *
 * Levels: answers and refusals that a retry mends are DEBUG, what a caller did wrong is INFO, outcomes that are not
 * known are NOTICE, since somebody has to look after them.
 */
#include <inttypes.h>

#include "cedarwinch/log.h"
#include "node_internal.h"

enum { REQUEST_ID_TEXT = 37, STATUS_CLIENT_FIRST = 400, STATUS_SERVER_FIRST = 500, STATUS_TOO_MANY = 429 };

static cw_log_level_t answer_level(const Cw__ForwardResponse *response)
{
    if (response->outcome == CW__OUTCOME__OUTCOME_UNKNOWN) {
        return CW_LOG_NOTICE;
    }
    if (response->outcome == CW__OUTCOME__OUTCOME_NOT_RUN && response->status >= STATUS_CLIENT_FIRST &&
        response->status < STATUS_SERVER_FIRST && response->status != STATUS_TOO_MANY) {
        return CW_LOG_INFO;
    }
    return CW_LOG_DEBUG;
}

static void format_id(const ProtobufCBinaryData *id, char text[REQUEST_ID_TEXT])
{
    if (id->len == CW_REQUEST_ID_BYTES) {
        cw_request_id_format(id->data, text);
    } else {
        text[0] = '-';
        text[1] = '\0';
    }
}

void cw_node_log_answer(const Cw__ForwardResponse *response)
{
    cw_log_level_t level = answer_level(response);
    char           id[REQUEST_ID_TEXT];

    if (!cw_log_enabled(level)) {
        return;
    }
    format_id(&response->request_id, id);
    cw_log(level, "gateway", "request ended", "request=%s outcome=%s status=%u reason=%s", id,
           cw_outcome_text(response->outcome), response->status, response->reason[0] != '\0' ? response->reason : "-");
}

void cw_node_log_sent(const cw_server_request_t *request)
{
    char id[REQUEST_ID_TEXT];

    if (!cw_log_enabled(CW_LOG_DEBUG)) {
        return;
    }
    format_id(&request->request->request_id, id);
    cw_log(CW_LOG_DEBUG, "forwarder", "request sent to server", "request=%s server=%s exchange=%" PRIu64 " gateway=%u",
           id, request->server->name, request->id, request->request->gateway);
}

void cw_node_log_server_response(const cw_server_response_t *response)
{
    static const char *const results[] = {"answered", "not-sent", "refused", "broken"};

    cw_log(CW_LOG_DEBUG, "forwarder", "server exchange ended", "exchange=%" PRIu64 " result=%s status=%u", response->id,
           results[response->result], response->status);
}
