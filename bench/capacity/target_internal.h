/**
 * @file target_internal.h
 * @brief The size planned for, and the lines of the table of needs.
 */
#ifndef CEDARWINCH_CAPACITY_TARGET_INTERNAL_H
#define CEDARWINCH_CAPACITY_TARGET_INTERNAL_H

#include <stdbool.h>

#include "target.h"

/* The size planned for. */
#define TARGET_NODES            10000.0
#define TARGET_KEYS             11e9
#define TARGET_REQUESTS         31e6  /* per second */
#define TARGET_REQUEST_S        0.013 /* 99 in 100 */
#define TARGET_HOT_KEYS         170.0
#define TARGET_FAILOVER_S       3.0
#define TARGET_CHANGES_PER_DAY  25000.0
#define TARGET_IN_FORCE_S       8.0
#define TARGET_CONTROL_US       15000.0 /* per second: 1.5 % of a core */
#define TARGET_CONTROL_MEMORY   32e6
#define TARGET_CONTROL_BYTES    3000.0 /* per second */
#define TARGET_RESTARTS_PER_DAY 3232.0 /* 32 machines lost, 3200 processes replaced */
#define SECONDS_PER_DAY         86400.0

/* Assumed, because the size planned for does not say: see the page. */
#define ASSUMED_SERVER_REQUESTS   1200.0 /* per second: 4 slots, 2 ms each, 60 % busy */
#define ASSUMED_SERVERS           (TARGET_REQUESTS / ASSUMED_SERVER_REQUESTS)
#define ASSUMED_RANGES_PER_SERVER 4.0 /* the configuration's default */
#define ASSUMED_RANGES            (ASSUMED_SERVERS * ASSUMED_RANGES_PER_SERVER + TARGET_HOT_KEYS)
#define ASSUMED_TENANTS           300.0
#define ASSUMED_NON_REPEATABLE    0.1
#define ASSUMED_JOURNAL_REPLICAS  3.0
#define ASSUMED_WINDOW_S          120.0 /* the journal's default window */
#define ASSUMED_REGION_HOP_S      0.1   /* one way between regions, generous */
#define ASSUMED_SERVICES          (3 * ASSUMED_TENANTS)
#define ASSUMED_HOT_CHANGE_S      300.0 /* the hottest keys are other ones after so long */
#define ASSUMED_BOOTSTRAP_S       60.0  /* the leader writes the state to the store this often */
#define ASSUMED_BEAT_S            0.3   /* the default interval of heartbeats and of the tree */

#define SERVERS_PER_NODE   (ASSUMED_SERVERS / TARGET_NODES)
#define SERVERS_PER_TENANT (ASSUMED_SERVERS / ASSUMED_TENANTS)
#define RANGES_PER_NODE    (ASSUMED_RANGES / TARGET_NODES)
#define REQUESTS_PER_NODE  (TARGET_REQUESTS / TARGET_NODES)
#define CHANGES_PER_SECOND (TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY)
/* Versions of the table: configurations, four for each restart, and split, move and join of the hot keys. */
#define TABLE_CHANGES_PER_SECOND                                                                                       \
    (CHANGES_PER_SECOND + 4 * RESTARTS_PER_SECOND + 3 * TARGET_HOT_KEYS / ASSUMED_HOT_CHANGE_S)
#define RESTARTS_PER_SECOND (TARGET_RESTARTS_PER_DAY / SECONDS_PER_DAY)

enum { TARGET_ARITHMETIC_ROOM = 400 };

/** Lines are written as they are worked out. */
typedef struct target_writer {
    const cw_capacity_results_t *results;
    FILE                        *file;
    bool                         missing; /**< a slope that the present line needs was not measured */
} target_writer_t;

/** One need of a role. */
typedef struct target_line {
    const char *role;
    const char *need;
    double      value;
    const char *unit;
    double      bound; /**< 0: none is set */
    char        arithmetic[TARGET_ARITHMETIC_ROOM];
} target_line_t;

/* Parts of a measured line; a missing series marks the line. */
double target_slope(target_writer_t *writer, const char *name);
double target_intercept(target_writer_t *writer, const char *name);
double target_at(target_writer_t *writer, const char *name, double size);
/** Value at the largest size measured. */
double target_largest(target_writer_t *writer, const char *name);
void   target_write_line(target_writer_t *writer, const target_line_t *line);

/** Fills the arithmetic of a line. */
void target_explain(target_line_t *line, const char *format, ...) __attribute__((format(printf, 2, 3)));

void target_write_relay(target_writer_t *writer);
void target_write_control(target_writer_t *writer);
void target_write_node(target_writer_t *writer);
void target_write_requests(target_writer_t *writer);

#endif
