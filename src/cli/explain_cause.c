/**
 * @file explain_cause.c
 * @brief Table of causes, chosen by the event, the reason and the limit mode of a line.
 */
#include "cli/explain_cause.h"

#include <string.h>

enum { TENANT_BYTES = 128 };

/** One kind of line: its cause in words, and the events that explain it. */
typedef struct cause {
    const char          *event;
    const char          *reason;     /**< beginning of the line's reason; NULL: any */
    const char          *limit_mode; /**< the line's limit mode; NULL: any */
    const char          *explanation;
    cw_explain_related_t related;
} cause_t;

/* The first entry that matches a line applies. */
static const cause_t causes[] = {
    {"refused",
     "the server asked for rest",
     NULL,
     "503: its server, or each that would do, had turned a request of this node away and wants nothing from it until "
     "then",
     {.events = {"server rests"}}},
    {"delegated",
     NULL,
     NULL,
     "this node reaches no server of the service, or not the owner of the key: the request went by way of by_node, "
     "whose "
     "own lines name it, too",
     {.events = {"server paths lost"}}},
    {"refused",
     "the node that took it refused it",
     NULL,
     "503: this node reaches no server; the node that it passed the request to refused it, as that node's line says",
     {.events = {"server paths lost"}}},
    {"failed",
     "the node that took it",
     NULL,
     "502: this node reaches no server, and the node that it passed the request to had no whole answer: it may have "
     "run",
     {.events = {"server paths lost", "peer lost"}}},
    {"refused",
     "this node reaches no server",
     NULL,
     "503: nothing came from any server that this node asked; the network between it and the servers is cut",
     {.events = {"server paths lost"}}},
    {"refused",
     "the server's rate limit",
     NULL,
     "503: its server, or each that would do, names in its answers how many requests a second it takes; it is beyond "
     "that",
     {.events = {"server limit"}}},
    {"refused",
     "no key",
     NULL,
     "401: the route is not open, and the request had no Authorization. It was sent to no server",
     {.events = {NULL}}},
    {"refused",
     "malformed or doubled credentials",
     NULL,
     "401: two such headers, another scheme than the settings' credential_scheme, or no single key behind it",
     {.events = {NULL}}},
    {"refused",
     "unknown key",
     NULL,
     "401: no tenant has this key in the version named here; if the store's version has it, this node was behind",
     {.events = {"configuration refused", "keys stale"}}},
    {"refused",
     "the route is another tenant's",
     NULL,
     "401: the key is good, and is the named tenant's; the route belongs to another one and is not open",
     {.events = {NULL}}},
    {"refused",
     "the caller's key was taken away",
     NULL,
     "401: it was let in, and a later version took its key away before it was sent",
     {.events = {NULL}}},
    {"refused",
     "the caller's key is another tenant's now",
     NULL,
     "503: a later version gave the key to another tenant while the request waited; sent again, it is that one's",
     {.events = {NULL}}},
    {"refused",
     "its key is new, and its body was not read",
     NULL,
     "503: the key was unknown when the head came, and a later version has it; sent again, it is let in",
     {.events = {"configuration accepted"}}},
    {"refused",
     "too long without evidence",
     NULL,
     "503: this node does not know whether a key was taken away, and credentials_fail_closed is set",
     {.events = {"keys stale", "watch failed"}}},
    {"refused",
     "the tenant's rate",
     "metered",
     "429: over all nodes the tenant is at its limit; the node that counts for it had no token",
     {.events = {"limit mode"}}},
    {"refused",
     "the tenant's rate",
     "alone",
     "429: the node that counts for the tenant did not reply, and this node's own part of the limit was used up",
     {.events = {"limit mode", "peer lost"}}},
    {"refused", "the tenant's rate", NULL, "429: above the tenant's rate", {.events = {"limit mode"}}},
    {"refused",
     "the tenant's requests at once",
     NULL,
     "429: this node's part of the tenant's limit of requests at once was taken",
     {.events = {NULL}}},
    {"refused",
     "outside regions",
     NULL,
     "503: the owner of its key lies where the route or the tenant may not go; it was sent nowhere",
     {.events = {"zone out of service"}}},
    {"refused",
     "the list of servers is too old",
     NULL,
     "503: this node had not renewed its list of servers for so long that some may have left; it was sent nowhere",
     {.events = {"list too old", "store lost", "leader silent"}}},
    {"refused",
     "no server",
     NULL,
     "503: no server of the service is in service within the regions of the route and the tenant",
     {.events = {"zone out of service"}}},
    {"refused",
     "it crashes servers",
     NULL,
     "503: such requests were under way at three servers that ended, and no server answered one; it was sent nowhere",
     {.events = {"server crashed"}}},
    {"answer waited",
     NULL,
     NULL,
     "its answer was here; an earlier request of the same connection had to be answered first, and was slower",
     {.events = {NULL}}},
};

static bool starts_with(const char *text, const char *beginning)
{
    return beginning == NULL || strncmp(text, beginning, strlen(beginning)) == 0;
}

static const cause_t *cause_of(const cw_log_line_t *line)
{
    const char *reason = cw_log_line_text(line, "reason");
    const char *mode = cw_log_line_text(line, "limit_mode");
    size_t      index;

    for (index = 0; index < sizeof(causes) / sizeof(causes[0]); index++) {
        const cause_t *cause = &causes[index];

        if (strcmp(cause->event, line->event) == 0 && starts_with(reason, cause->reason) &&
            (cause->limit_mode == NULL || strcmp(cause->limit_mode, mode) == 0)) {
            return cause;
        }
    }
    return NULL;
}

const char *cw_explain_cause(const cw_log_line_t *line)
{
    const cause_t *cause = cause_of(line);

    return cause == NULL ? NULL : cause->explanation;
}

const cw_explain_related_t *cw_explain_related(const cw_log_line_t *line)
{
    const cause_t *cause = cause_of(line);

    return cause == NULL || cause->related.events[0] == NULL ? NULL : &cause->related;
}

bool cw_explain_is_related(const cw_log_line_t *line, const cw_log_line_t *other, const char *event)
{
    const char *named = cw_log_line_text(other, "tenant");
    char        tenant[TENANT_BYTES];

    cw_log_line_tenant(line, tenant, sizeof(tenant));
    return strcmp(other->event, event) == 0 && strcmp(other->node, line->node) == 0 &&
           (named[0] == '\0' || strcmp(named, tenant) == 0);
}
