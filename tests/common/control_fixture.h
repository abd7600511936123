/**
 * @file control_fixture.h
 * @brief Fixture of the tests of the control replicas: the cluster with one service begun, and what they all ask of it.
 */
#ifndef CEDARWINCH_TESTS_CONTROL_FIXTURE_H
#define CEDARWINCH_TESTS_CONTROL_FIXTURE_H

#include <check.h>

#include "control_cluster.h"

enum {
    SECOND = CW_US_PER_S,
    CONTROL_LEASE_MS = 1500,
    CONTROL_LONG_LEASE_MS = 6000,
    CONTROL_SERVERS = 4,
    CONTROL_RANGES = 16 /**< four servers with four ranges each */
};

void control_create(void);
void control_create_with_long_lease(void);
/** Accepts a service on the first CONTROL_SERVERS servers and waits until they hold all of its ranges. */
void control_begin_service(void);
/** Range of the lowest key hash. */
const Cw__RangeInfo *control_first_range(void);
/** What the leader knows of a server; NULL: nothing. */
const Cw__ServerInfo *control_server_info(size_t server);
/** Visitor of ranges: are the journal replicas in three zones? The context is the control state. */
bool control_check_zones(void *context, const Cw__RangeInfo *range);
/** Has the first server lost all its ranges, and are they held by others? */
bool control_first_server_is_empty(void);

/** Test case with a limit of time on a cluster made anew for each test, with short leases or with long ones. */
TCase *control_case(const char *name, bool long_leases);
/** Runs and frees a suite; returns the exit status of the program. */
int control_run_suite(Suite *suite);

#endif
