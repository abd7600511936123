/**
 * @file link_rules.h
 * @brief The named ends of links, the faults between them, and the draws.
 */
#ifndef CW_LINK_RULES_H
#define CW_LINK_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    LINK_NAME_MAX = 32,
    LINK_ENDS_MAX = 256, /* of one test: 90 nodes and as many servers, with some to spare */
    LINK_RULES_MAX = 64
};

/** One side of a link: a node, a server, the store, callers. */
typedef struct link_end {
    char name[LINK_NAME_MAX];
    char group[LINK_NAME_MAX]; /**< as a region; a fault names an end, a group or "all" */
    int  process;              /**< whose connections come from this end; 0: none */
} link_end_t;

/** Faults that last until `heal`. */
typedef enum link_fault {
    LINK_CUT, /**< nothing passes, on open connections and new ones */
    LINK_CUT_ONE_WAY,
    LINK_DELAY, /**< milliseconds, each way */
    LINK_LOSE,  /**< percent of datagrams; so are the next two */
    LINK_DOUBLE,
    LINK_REORDER, /**< a datagram is sent behind those of the next milliseconds */
    LINK_THROTTLE /**< bytes of a connection in a second, each way */
} link_fault_t;

typedef struct link_rule {
    link_fault_t fault;
    char         from[LINK_NAME_MAX];
    char         to[LINK_NAME_MAX];
    uint32_t     number;
} link_rule_t;

typedef struct link_rules {
    link_end_t  ends[LINK_ENDS_MAX];
    size_t      end_count;
    link_rule_t rules[LINK_RULES_MAX];
    size_t      rule_count;
    uint64_t    draw_state;
} link_rules_t;

/** NULL: the table is full, or the name is too long. */
link_end_t *link_rules_add_end(link_rules_t *rules, const char *name, const char *group);
/** NULL: there is none. */
link_end_t *link_rules_find_end(link_rules_t *rules, const char *name);
/** Whether a name stands for an end: its own, its group's, or "all". */
bool link_end_matches(const link_end_t *end, const char *name);
/** Whether a name stands for any end. */
bool link_rules_knows(const link_rules_t *rules, const char *name);
/** False: the table is full. */
bool link_rules_add(link_rules_t *rules, const link_rule_t *rule);
/** The number of the last such fault from an end to another one; 0: none. Of a cut: 1. */
uint32_t link_rules_number(const link_rules_t *rules, link_fault_t fault, const link_end_t *from, const link_end_t *to);
/** Whether nothing passes from an end to another one. */
bool link_rules_is_cut(const link_rules_t *rules, const link_end_t *from, const link_end_t *to);
/** True in so many of a hundred draws. */
bool link_rules_draw(link_rules_t *rules, uint32_t percent);

#endif
