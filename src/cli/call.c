/**
 * @file call.c
 * @brief One operator call to a node over HTTP, and the exit code its answer stands for.
 */
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "adapters/http_client.h"
#include "cedarwinch/error.h"
#include "cli/cli.h"

enum {
    CALL_TIMEOUT_US = 15 * CW_US_PER_S, /* longer than the node waits for its leader */
    ANSWER_MAX = 64 * 1024 * 1024,
    TEXT_MAX = 512,
    STATUS_OK = 200,
    STATUS_MULTIPLE = 300,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
    STATUS_TIMEOUT = 504
};

/** A call under way. */
typedef struct cw_cli_wait {
    cw_cli_answer_t *answer;
    bool             done;
} cw_cli_wait_t;

static void on_answered(void *context, const cw_http_answer_t *http_answer)
{
    cw_cli_wait_t   *wait = context;
    cw_cli_answer_t *answer = wait->answer;

    wait->done = true;
    answer->sent = http_answer->result != CW_HTTP_NOT_SENT;
    if (http_answer->result == CW_HTTP_ANSWERED) {
        answer->status = (int)http_answer->status;
        answer->body = json_loadb((const char *)http_answer->body, http_answer->body_length, 0, NULL);
    }
}

void cw_cli_call(const cw_cli_target_t *target, const char *operation, const char *file_name, const char *argument,
                 cw_cli_answer_t *answer)
{
    char              path[TEXT_MAX];
    char              bearer[TEXT_MAX];
    Cw__Header        authorization = CW__HEADER__INIT;
    Cw__Header        file = CW__HEADER__INIT;
    Cw__Header       *headers[] = {&authorization, &file};
    cw_http_request_t request = {.address = target->address,
                                 .port = target->port,
                                 .method = "POST",
                                 .target = path,
                                 .headers = headers,
                                 .header_count = file_name != NULL ? 2 : 1,
                                 .body = argument,
                                 .body_length = strlen(argument),
                                 .timeout_us = CALL_TIMEOUT_US,
                                 .answer_max = ANSWER_MAX};
    cw_http_client_t *client = NULL;
    cw_cli_wait_t     wait = {answer, false};
    uv_loop_t         loop;
    int               more;

    memset(answer, 0, sizeof(*answer));
    snprintf(path, sizeof(path), "/operator/v1/%s", operation);
    snprintf(bearer, sizeof(bearer), "Bearer %s", target->token != NULL ? target->token : "");
    authorization.name = "authorization";
    authorization.value = bearer;
    file.name = "cw-file-name";
    file.value = (char *)file_name;
    uv_loop_init(&loop);
    if (cw_http_client_create(&client, &loop) != CW_OK) {
        return;
    }
    if (cw_http_client_call(client, &request, on_answered, &wait) != NULL) {
        do {
            more = uv_run(&loop, UV_RUN_ONCE);
        } while (!wait.done && more != 0);
    }
    /* The program ends right after: the idle connection and the loop are left to the system. */
    cw_http_client_free(client);
    uv_run(&loop, UV_RUN_NOWAIT);
}

void cw_cli_answer_clear(cw_cli_answer_t *answer)
{
    json_decref(answer->body);
    memset(answer, 0, sizeof(*answer));
}

cw_cli_exit_t cw_cli_exit_of(const cw_cli_answer_t *answer)
{
    if (answer->status == 0) {
        return answer->sent ? CW_CLI_UNKNOWN : CW_CLI_UNAVAILABLE;
    }
    if (answer->status >= STATUS_OK && answer->status < STATUS_MULTIPLE) {
        return CW_CLI_OK;
    }
    if (answer->status == STATUS_UNAVAILABLE || answer->status == STATUS_TOO_MANY) {
        return CW_CLI_UNAVAILABLE;
    }
    return answer->status == STATUS_TIMEOUT ? CW_CLI_UNKNOWN : CW_CLI_REFUSED;
}
