/**
 * @file link_rules.h
 * @brief The named ends of links, the faults between them, and the pseudo-random draws for datagrams.
 */
#ifndef CW_LINK_RULES_H
#define CW_LINK_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    LINK_NAME_MAX = 32,
    LINK_ENDS_MAX = 256,  /* a test has up to 90 nodes and as many servers */
    LINK_RULES_MAX = 1024 /* a test cuts many nodes from each of many servers */
};

/** One end of a link: a node, a server, the store, or all callers. */
typedef struct link_end {
    char name[LINK_NAME_MAX];
    char group[LINK_NAME_MAX]; /**< for example a region; faults name an end, a group or "all" */
    int  process;              /**< id of the process whose connections come from this end; 0: none */
} link_end_t;

/** Faults that last until the command `heal`; the comments name the unit of the fault's value. */
typedef enum link_fault {
    LINK_CUT,         /**< nothing passes in either direction, on open connections and new ones */
    LINK_REFUSE,      /**< new connections are reset; open ones are not affected */
    LINK_CUT_ONE_WAY, /**< nothing passes in one direction; the other one is not affected */
    LINK_DELAY,       /**< milliseconds in each direction */
    LINK_LOSE,        /**< percent of datagrams that are lost */
    LINK_DOUBLE,      /**< percent of datagrams that are sent twice */
    LINK_REORDER,     /**< percent of datagrams that are delayed, so that later ones overtake them */
    LINK_THROTTLE     /**< bytes per second of a connection, in each direction */
} link_fault_t;

/** A fault between two ends or groups. */
typedef struct link_rule {
    link_fault_t fault;
    char         from[LINK_NAME_MAX];
    char         to[LINK_NAME_MAX];
    uint32_t     value; /**< in the unit of the fault; 1 for cuts */
} link_rule_t;

/** All ends, and the faults in force. */
typedef struct link_rules {
    link_end_t  ends[LINK_ENDS_MAX];
    size_t      end_count;
    link_rule_t rules[LINK_RULES_MAX];
    size_t      rule_count;
    uint64_t    draw_state; /**< of the pseudo-random generator */
} link_rules_t;

/** Adds an end; NULL: the table is full, or a name is too long. */
link_end_t *link_rules_add_end(link_rules_t *rules, const char *name, const char *group);
/** Finds an end by its name; NULL: there is none. */
link_end_t *link_rules_find_end(link_rules_t *rules, const char *name);
/** Whether a name in a fault includes an end: it is the end's name, its group, or "all". */
bool link_end_matches(const link_end_t *end, const char *name);
/** Whether a name in a fault includes any end. */
bool link_rules_has_match(const link_rules_t *rules, const char *name);
/** Adds a fault; false: the table is full. */
bool link_rules_add(link_rules_t *rules, const link_rule_t *rule);
/** The value of the latest fault of this kind that applies from an end to another one; 0: none. */
uint32_t link_rules_value(const link_rules_t *rules, link_fault_t fault, const link_end_t *from, const link_end_t *to);
/** Whether nothing passes from an end to another one. */
bool link_rules_is_cut(const link_rules_t *rules, const link_end_t *from, const link_end_t *to);
/** Draws a pseudo-random result that is true with this probability in percent. */
bool link_rules_draw(link_rules_t *rules, uint32_t percent);

#endif
