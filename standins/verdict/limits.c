/**
 * @file limits.c
 * @brief Arrivals at servers that name a limit, by a window that slides over them.
 */
#include "limits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "incarnations.h"
#include "nodes.h"

enum { SLACK = 5 };

static const double   factor = 1.5;
static const uint64_t window_ns = 4000000000;
static const uint64_t settle_ns = 3000000000;
static const uint64_t told_ns = 500000000;

/** A node has passed on an answer with a server's limit. */
typedef struct told {
    char           key[120]; /**< node and server */
    uint64_t       named_at; /**< which naming it was */
    uint64_t       at;
    UT_hash_handle hh;
} told_t;

typedef struct arrival {
    uint64_t ns;
    double   per_s;
} arrival_t;

/** One life of a server. */
typedef struct limited {
    char           server[64];
    double         per_s;    /**< below 0: none */
    uint64_t       named_at; /**< when it began to name one */
    uint64_t       reported_at;
    arrival_t     *arrivals;
    size_t         count;
    size_t         first; /**< in the window */
    UT_hash_handle hh;
} limited_t;

static told_t    *tellings;
static limited_t *servers;
static uint64_t   counted;

static void *zeroed(size_t size)
{
    void *memory = calloc(1, size);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

static limited_t *server_of(const char *name)
{
    limited_t *server;

    HASH_FIND_STR(servers, name, server);
    if (server == NULL) {
        server = zeroed(sizeof(*server));
        snprintf(server->server, sizeof(server->server), "%s", name);
        server->per_s = -1;
        HASH_ADD_STR(servers, server, server);
    }
    return server;
}

static limited_t *server_with_id(const char *id)
{
    limited_t *server;
    limited_t *next;
    limited_t *latest = NULL;

    HASH_ITER(hh, servers, server, next)
    {
        if (lives_is_of(server->server, id) && server->per_s >= 0 &&
            (latest == NULL || server->named_at > latest->named_at)) {
            latest = server;
        }
    }
    return latest;
}

static told_t *telling(const char *node, const char *server)
{
    char    key[sizeof(((told_t *)NULL)->key)];
    told_t *told;

    snprintf(key, sizeof(key), "%s %s", node, server);
    HASH_FIND_STR(tellings, key, told);
    if (told == NULL) {
        told = zeroed(sizeof(*told));
        memcpy(told->key, key, sizeof(key));
        HASH_ADD_STR(tellings, key, told);
    }
    return told;
}

static void note_told(const record_t *record)
{
    limited_t *server = server_with_id(record->limit);
    told_t    *told;

    if (server == NULL) {
        return;
    }
    told = telling(record->node, server->server);
    if (told->named_at != server->named_at) {
        told->named_at = server->named_at;
        told->at = record->ns;
    }
}

static void note_limit(const record_t *record)
{
    limited_t *server = server_of(record->server);

    if (server->per_s < 0 && record->per_s >= 0) {
        server->named_at = record->ns;
        server->first = server->count;
    }
    server->per_s = record->per_s;
}

static bool counts(const limited_t *server, const record_t *record)
{
    const char   *node = nodes_of_request(record->id);
    const told_t *told;

    if (server->per_s < 0 || node == NULL || record->ns < server->named_at + settle_ns) {
        return false;
    }
    told = telling(node, server->server);
    return told->at != 0 && told->named_at == server->named_at && told->at + told_ns <= record->ns &&
           !nodes_in_trouble(node, record->ns, settle_ns);
}

static double highest_limit(const limited_t *server)
{
    double highest = server->per_s;
    size_t index;

    for (index = server->first; index < server->count; index++) {
        highest = server->arrivals[index].per_s > highest ? server->arrivals[index].per_s : highest;
    }
    return highest;
}

static void note_arrival(const record_t *record)
{
    limited_t *server = server_of(record->server);
    double     allowed;
    char       detail[96];

    if (!counts(server, record)) {
        return;
    }
    counted++;
    server->arrivals = realloc(server->arrivals, (server->count + 1) * sizeof(*server->arrivals));
    if (server->arrivals == NULL) {
        abort();
    }
    server->arrivals[server->count++] = (arrival_t){record->ns, server->per_s};
    while (server->arrivals[server->first].ns + window_ns <= record->ns) {
        server->first++;
    }
    allowed = factor * highest_limit(server) * (double)window_ns / 1e9 + SLACK;
    if ((double)(server->count - server->first) > allowed && record->ns >= server->reported_at + window_ns) {
        server->reported_at = record->ns;
        snprintf(detail, sizeof(detail), "%zu requests in 4 s, %.0f allowed by its limit of %g a second",
                 server->count - server->first, allowed, server->per_s);
        records_violation("LIMIT", record, detail);
    }
}

static void take(const record_t *record)
{
    if (record->of_caller && record->limit[0] != '\0') {
        note_told(record);
    } else if (strcmp(record->event, "limit") == 0) {
        note_limit(record);
    } else if (strcmp(record->event, "arrive") == 0) {
        note_arrival(record);
    }
}

uint64_t limits_check(const records_t *records)
{
    size_t index;

    for (index = 0; index < records->count; index++) {
        take(&records->items[index]);
    }
    return counted;
}
