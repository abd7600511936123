/**
 * @file plan.c
 * @brief `cedarwinch plan` and `cedarwinch confirm`: makes the plan for an intent, and writes its configuration.
 *
 * A confirmation is one conditional write. If its answer is lost, the object is read again: a new revision with the
 * plan's version counts as done; the old revision means that it was not done so far but may still be.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <uv.h>

#include "base/error.h"
#include "cli/cli.h"
#include "intent/plan.h"
#include "router/adapter.h"

/** Result of a read or a write. */
typedef struct store_answer {
    bool                done;
    cw_store_result_t   result;
    uint64_t            revision;
    cw_configuration_t *configuration;
    char problem[CW_PROBLEM_BYTES]; /**< why the configuration cannot be read; empty: it can, or there is none */
} store_answer_t;

/** State of one command. */
typedef struct session {
    uv_loop_t   loop;
    void       *adapter;
    cw_intent_t intent;
    cw_plan_t   plan;
    uint64_t    revision; /**< revision of the configuration that the plan was made from; 0: none */
} session_t;

static void on_read(void *context, const cw_accepted_t *accepted)
{
    store_answer_t *answer = context;

    answer->done = true;
    answer->result = accepted->result;
    answer->revision = accepted->revision;
    answer->configuration = accepted->configuration;
    snprintf(answer->problem, sizeof(answer->problem), "%s", accepted->problem == NULL ? "" : accepted->problem);
}

static void on_written(void *context, const cw_store_reply_t *reply)
{
    store_answer_t *answer = context;

    answer->done = true;
    answer->result = reply->result;
    answer->revision = reply->revision;
}

static void wait_for(session_t *session, const store_answer_t *answer)
{
    while (!answer->done) {
        uv_run(&session->loop, UV_RUN_ONCE);
    }
}

static store_answer_t read_present(session_t *session)
{
    store_answer_t answer = {0};

    cw_adapter.read_accepted(session->adapter, on_read, &answer);
    wait_for(session, &answer);
    return answer;
}

static int open_session(session_t *session, const char *file, const char *store, const cw_name_set_t *regions)
{
    cw_findings_t findings;
    int           error;

    memset(session, 0, sizeof(*session));
    cw_findings_init(&findings);
    error = cw_intent_read(&session->intent, file, regions, &findings);
    cw_findings_print(&findings, stdout);
    cw_findings_clear(&findings);
    if (error != CW_OK) {
        return CW_EXIT_REFUSED;
    }
    uv_loop_init(&session->loop);
    session->adapter = cw_adapter.create(&session->loop, store, NULL);
    return CW_EXIT_DONE;
}

static int make_plan(session_t *session, const char *file)
{
    store_answer_t present = read_present(session);
    cw_findings_t  findings;
    int            error;

    if (present.result != CW_STORE_DONE && present.result != CW_STORE_NOT_FOUND) {
        fprintf(stderr, "cedarwinch: the store did not answer; nothing was changed\n");
        return CW_EXIT_UNAVAILABLE;
    }
    if (present.problem[0] != '\0') { /* a plan made without the configuration would remove all that it holds */
        fprintf(stderr, "cedarwinch: the accepted configuration cannot be read: %s; nothing was changed\n",
                present.problem);
        return CW_EXIT_REFUSED;
    }
    session->revision = present.result == CW_STORE_DONE ? present.revision : 0;
    cw_findings_init(&findings);
    error = cw_plan_make(&session->plan, &session->intent, present.configuration, session->revision, file, &findings);
    cw_findings_print(&findings, stdout);
    cw_findings_clear(&findings);
    cw_configuration_release(present.configuration);
    return error == CW_OK ? CW_EXIT_DONE : CW_EXIT_REFUSED;
}

static void close_session(session_t *session)
{
    cw_intent_clear(&session->intent);
    cw_plan_clear(&session->plan);
}

static void print_plan(const session_t *session)
{
    printf("plan %s\ntenant %s, configuration %" PRIu64 " -> %" PRIu64 ", %zu changes\n", session->plan.id,
           session->intent.tenant, session->plan.configuration->version - 1, session->plan.configuration->version,
           session->plan.change_count);
    printf("%.*s", (int)session->plan.changes.length,
           session->plan.changes.data == NULL ? "" : session->plan.changes.data);
}

int cw_cli_plan(const char *file, const char *store, const cw_name_set_t *regions)
{
    session_t session;
    int       code = open_session(&session, file, store, regions);

    if (code == CW_EXIT_DONE) {
        code = make_plan(&session, file);
    }
    if (code == CW_EXIT_DONE) {
        print_plan(&session);
    }
    close_session(&session);
    return code;
}

/* Reads the configuration after a write without an answer, to find out whether it was done. */
static int resolve_unknown_write(session_t *session)
{
    store_answer_t now = read_present(session);
    int            code = CW_EXIT_UNKNOWN;

    if (now.result == CW_STORE_DONE && now.configuration != NULL &&
        now.configuration->version == session->plan.configuration->version && now.revision != session->revision) {
        printf("accepted: configuration %" PRIu64 " (its answer was lost; read back)\n", now.configuration->version);
        code = CW_EXIT_DONE;
    } else if (now.result == CW_STORE_DONE && now.revision == session->revision) {
        fprintf(stderr, "cedarwinch: no answer, and not done so far; it may still be: plan again before you confirm\n");
    } else {
        fprintf(stderr, "cedarwinch: no answer, and the outcome cannot be read\n");
    }
    cw_configuration_release(now.configuration);
    return code;
}

static int write_plan(session_t *session)
{
    store_answer_t answer = {0};

    cw_adapter.write_accepted(session->adapter, session->plan.configuration, session->revision, on_written, &answer);
    wait_for(session, &answer);
    switch (answer.result) {
    case CW_STORE_DONE:
        printf("accepted: configuration %" PRIu64 "\n", session->plan.configuration->version);
        return CW_EXIT_DONE;
    case CW_STORE_CONFLICT:
    case CW_STORE_NOT_FOUND:
        fprintf(stderr, "cedarwinch: another change came first; plan again\n");
        return CW_EXIT_REFUSED;
    case CW_STORE_REFUSED:
        fprintf(stderr, "cedarwinch: the store refused; nothing was changed\n");
        return CW_EXIT_UNAVAILABLE;
    case CW_STORE_UNKNOWN:
        return resolve_unknown_write(session);
    }
    return CW_EXIT_UNKNOWN;
}

int cw_cli_confirm(const char *plan, const char *file, const char *store, const cw_name_set_t *regions)
{
    session_t session;
    int       code = open_session(&session, file, store, regions);

    if (code == CW_EXIT_DONE) {
        code = make_plan(&session, file);
    }
    if (code == CW_EXIT_DONE && strcmp(session.plan.id, plan) != 0) {
        fprintf(stderr, "cedarwinch: plan %s is stale: the intent or the configuration has changed; plan again\n",
                plan);
        code = CW_EXIT_REFUSED;
    }
    if (code == CW_EXIT_DONE) {
        code = write_plan(&session);
    }
    close_session(&session);
    return code;
}
