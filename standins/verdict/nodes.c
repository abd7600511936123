/**
 * @file nodes.c
 * @brief Stores destinations of requests, and time spans in which nodes were in trouble.
 */
#include "nodes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum { SENDERS_STEP = 16 /* senders of one request for which memory is allocated at a time */ };

/** The destination of one attempt, by the request's id. */
typedef struct destination {
    const record_t *end_record; /* record of the attempt's end, written by its caller */
    UT_hash_handle  hh;
} destination_t;

/** The nodes that a request was passed to, by its id. */
typedef struct passing {
    const char      *id;
    const record_t **senders; /* ordered by time */
    size_t           count;
    UT_hash_handle   hh;
} passing_t;

/** The address of a node, by its name in logs. */
typedef struct node_name {
    const record_t *record;
    UT_hash_handle  hh;
} node_name_t;

/** A time span from a "trouble" or "cut" record of a node until its "calm" record. */
typedef struct trouble {
    char     node[48];
    bool     is_cut; /* cut off from other nodes; false: restarted or frozen */
    uint64_t from;
    uint64_t until; /* UINT64_MAX: it has not ended */
} trouble_t;

static destination_t *destinations;
static passing_t     *passings;
static node_name_t   *node_names;
static trouble_t     *troubles;
static size_t         trouble_count;

static void *allocate(size_t bytes)
{
    void *memory = calloc(1, bytes);

    if (memory == NULL) {
        abort();
    }
    return memory;
}

static void add_destination(const record_t *record)
{
    destination_t *destination = allocate(sizeof(*destination));

    destination->end_record = record;
    HASH_ADD_KEYPTR(hh, destinations, record->id, strlen(record->id), destination);
}

static void add_sender(const record_t *record)
{
    passing_t *passing;

    HASH_FIND_STR(passings, record->id, passing);
    if (passing == NULL) {
        passing = allocate(sizeof(*passing));
        passing->id = record->id;
        HASH_ADD_KEYPTR(hh, passings, passing->id, strlen(passing->id), passing);
    }
    if (passing->count % SENDERS_STEP == 0) {
        passing->senders = realloc(passing->senders, (passing->count + SENDERS_STEP) * sizeof(void *));
        if (passing->senders == NULL) {
            abort();
        }
    }
    passing->senders[passing->count++] = record;
}

static void add_name(const record_t *record)
{
    node_name_t *name = allocate(sizeof(*name));

    name->record = record;
    HASH_ADD_KEYPTR(hh, node_names, record->id, strlen(record->id), name);
}

static void begin_trouble(const record_t *record)
{
    trouble_t *trouble;

    troubles = realloc(troubles, (trouble_count + 1) * sizeof(*troubles));
    if (troubles == NULL) {
        abort();
    }
    trouble = &troubles[trouble_count++];
    *trouble = (trouble_t){.from = record->ns, .until = UINT64_MAX, .is_cut = strcmp(record->event, "cut") == 0};
    snprintf(trouble->node, sizeof(trouble->node), "%s", record->node);
}

static void end_trouble(const record_t *record)
{
    size_t index;

    for (index = 0; index < trouble_count; index++) {
        if (troubles[index].until == UINT64_MAX && strcmp(troubles[index].node, record->node) == 0) {
            troubles[index].until = record->ns;
        }
    }
}

void nodes_collect(const records_t *records)
{
    size_t index;

    for (index = 0; index < records->count; index++) {
        const record_t *record = &records->items[index];

        if (record->of_caller && record->node[0] != '\0') {
            add_destination(record);
        } else if (strcmp(record->event, "sender") == 0) {
            add_sender(record);
        } else if (strcmp(record->event, "name") == 0) {
            add_name(record);
        } else if (strcmp(record->event, "trouble") == 0 || strcmp(record->event, "cut") == 0) {
            begin_trouble(record);
        } else if (strcmp(record->event, "calm") == 0) {
            end_trouble(record);
        }
    }
}

static const record_t *end_record_of(const char *id)
{
    destination_t *destination;

    HASH_FIND_STR(destinations, id, destination);
    return destination == NULL ? NULL : destination->end_record;
}

const char *nodes_of_request(const char *id)
{
    const record_t *end = end_record_of(id);

    return end == NULL ? NULL : end->node;
}

/* Address of a node; its name, if the address is not known. */
static const char *address_of(const char *name)
{
    node_name_t *found;

    HASH_FIND_STR(node_names, name, found);
    return found == NULL ? name : found->record->node;
}

const char *nodes_sender_of(const char *id, uint64_t at)
{
    const char *sender = nodes_of_request(id);
    passing_t  *passing;
    size_t      index;

    HASH_FIND_STR(passings, id, passing);
    for (index = 0; passing != NULL && index < passing->count && passing->senders[index]->ns <= at; index++) {
        sender = address_of(passing->senders[index]->node);
    }
    return sender;
}

uint64_t nodes_request_sent(const char *id)
{
    const record_t *end = end_record_of(id);

    return end == NULL ? 0 : end->sent_ns;
}

bool nodes_restarted_between(const char *node, uint64_t from, uint64_t until)
{
    size_t index;

    for (index = 0; index < trouble_count; index++) {
        const trouble_t *trouble = &troubles[index];

        if (!trouble->is_cut && strcmp(trouble->node, node) == 0 && trouble->from <= until && trouble->until >= from) {
            return true;
        }
    }
    return false;
}

bool nodes_in_trouble(const char *node, uint64_t at, uint64_t settle_ns)
{
    size_t index;

    for (index = 0; index < trouble_count; index++) {
        const trouble_t *trouble = &troubles[index];

        if (strcmp(trouble->node, node) == 0 && trouble->from <= at &&
            (trouble->until == UINT64_MAX || at <= trouble->until + settle_ns)) {
            return true;
        }
    }
    return false;
}
