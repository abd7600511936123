/**
 * @file limits.c
 * @brief Counts arrivals at servers with a rate limit in a sliding window.
 */
#include "limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "incarnations.h"
#include "nodes.h"

/* The bounds of the rule; limits.h describes them. */
enum { SLACK = 5 };

static const double   factor = 1.5;
static const uint64_t window_ns = 4000000000;
static const uint64_t settle_ns = 3000000000;
static const uint64_t notice_settle_ns = 500000000;

/** The first answer with a server's current limit that a node forwarded. */
typedef struct limit_notice {
    char           key[120];          /**< name of the node, a blank, incarnation of the server */
    uint64_t       limit_reported_at; /**< limit_reported_at of the server, which identifies the period of the limit */
    uint64_t       at;
    UT_hash_handle hh;
} limit_notice_t;

typedef struct arrival {
    uint64_t ns;
    double   per_s;
} arrival_t;

/** One incarnation of a server. */
typedef struct limited_server {
    char           server[64];
    double         per_s;             /**< limit in requests per second; below 0: none */
    uint64_t       limit_reported_at; /**< time at which it began to report a limit */
    uint64_t       reported_at;
    arrival_t     *arrivals;
    size_t         count;
    size_t         window_start; /**< index of the oldest arrival in the window */
    UT_hash_handle hh;
} limited_server_t;

static limit_notice_t   *notices;
static limited_server_t *servers;
static uint64_t          counted_arrivals;

static void *allocate(size_t size)
{
    void *memory = calloc(1, size);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

static limited_server_t *server_of(const char *name)
{
    limited_server_t *server;

    HASH_FIND_STR(servers, name, server);
    if (server == NULL) {
        server = allocate(sizeof(*server));
        snprintf(server->server, sizeof(server->server), "%s", name);
        server->per_s = -1;
        HASH_ADD_STR(servers, server, server);
    }
    return server;
}

static limited_server_t *server_with_id(const char *id)
{
    limited_server_t *server;
    limited_server_t *next;
    limited_server_t *latest = NULL;

    HASH_ITER(hh, servers, server, next)
    {
        if (incarnation_is_of(server->server, id) && server->per_s >= 0 &&
            (latest == NULL || server->limit_reported_at > latest->limit_reported_at)) {
            latest = server;
        }
    }
    return latest;
}

static limit_notice_t *notice_of(const char *node, const char *server)
{
    char            key[sizeof(((limit_notice_t *)NULL)->key)];
    limit_notice_t *notice;

    snprintf(key, sizeof(key), "%s %s", node, server);
    HASH_FIND_STR(notices, key, notice);
    if (notice == NULL) {
        notice = allocate(sizeof(*notice));
        memcpy(notice->key, key, sizeof(key));
        HASH_ADD_STR(notices, key, notice);
    }
    return notice;
}

static void add_notice(const record_t *record)
{
    limited_server_t *server = server_with_id(record->limit);
    limit_notice_t   *notice;

    if (server == NULL) {
        return;
    }
    notice = notice_of(record->node, server->server);
    if (notice->limit_reported_at != server->limit_reported_at) {
        notice->limit_reported_at = server->limit_reported_at;
        notice->at = record->ns;
    }
}

static void handle_limit(const record_t *record)
{
    limited_server_t *server = server_of(record->server);

    if (server->per_s < 0 && record->per_s >= 0) {
        server->limit_reported_at = record->ns;
        server->window_start = server->count;
    }
    server->per_s = record->per_s;
}

static bool is_counted(const limited_server_t *server, const record_t *record)
{
    const char           *node = nodes_of_request(record->id);
    const limit_notice_t *notice;

    if (server->per_s < 0 || node == NULL || record->ns < server->limit_reported_at + settle_ns) {
        return false;
    }
    notice = notice_of(node, server->server);
    return notice->at != 0 && notice->limit_reported_at == server->limit_reported_at &&
           notice->at + notice_settle_ns <= record->ns && !nodes_in_trouble(node, record->ns, settle_ns);
}

static double highest_limit(const limited_server_t *server)
{
    double highest = server->per_s;
    size_t index;

    for (index = server->window_start; index < server->count; index++) {
        highest = server->arrivals[index].per_s > highest ? server->arrivals[index].per_s : highest;
    }
    return highest;
}

static void handle_arrival(const record_t *record)
{
    limited_server_t *server = server_of(record->server);
    double            allowed;
    char              detail[96];

    if (!is_counted(server, record)) {
        return;
    }
    counted_arrivals++;
    server->arrivals = realloc(server->arrivals, (server->count + 1) * sizeof(*server->arrivals));
    if (server->arrivals == NULL) {
        abort();
    }
    server->arrivals[server->count++] = (arrival_t){record->ns, server->per_s};
    while (server->arrivals[server->window_start].ns + window_ns <= record->ns) {
        server->window_start++;
    }
    allowed = factor * highest_limit(server) * (double)window_ns / 1e9 + SLACK;
    if ((double)(server->count - server->window_start) > allowed && record->ns >= server->reported_at + window_ns) {
        server->reported_at = record->ns;
        snprintf(detail, sizeof(detail), "%zu requests in 4 s, %.0f allowed by its limit of %g a second",
                 server->count - server->window_start, allowed, server->per_s);
        records_violation("LIMIT", record, detail);
    }
}

static void handle_record(const record_t *record)
{
    if (record->of_caller && record->limit[0] != '\0') {
        add_notice(record);
    } else if (strcmp(record->event, "limit") == 0) {
        handle_limit(record);
    } else if (strcmp(record->event, "arrive") == 0) {
        handle_arrival(record);
    }
}

uint64_t limits_check(const records_t *records)
{
    size_t index;

    for (index = 0; index < records->count; index++) {
        handle_record(&records->items[index]);
    }
    return counted_arrivals;
}
