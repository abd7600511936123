/**
 * @file control.h
 * @brief Control replica: one member of a control group. Holds a raft and the replicated state; as leader it tracks
 *        nodes and servers, grants and renews leases, moves ranges, answers operators and accepts configuration.
 *
 * Pure: events in, messages out through cw_ports_t (send, learn_node, store).
 */
#ifndef CEDARWINCH_CONTROL_H
#define CEDARWINCH_CONTROL_H

#include "cedarwinch/control_state.h"
#include "cedarwinch/ports.h"
#include "cedarwinch/raft.h"

typedef struct cw_control cw_control_t;

typedef struct cw_control_options {
    uint64_t              group;
    uint64_t              generation;
    const Cw__NodeInfo   *self;
    const Cw__Membership *membership;       /**< NULL: join as learner */
    const uint8_t        *initial_snapshot; /**< packed ControlSnapshot of an earlier generation, may be NULL */
    size_t                initial_snapshot_length;
    cw_time_us_t          node_silence_us; /**< heartbeats missing this long: suspected */
    uint32_t              clock_drift_ppm; /**< bound on the rate difference of any two clocks */
    uint32_t              control_size;    /**< voters wanted: 3 or 5 */
    uint64_t              seed;
} cw_control_options_t;

/** Defaults: generation 1, silence 1000 ms, drift 1000 ppm, 3 voters. */
void cw_control_options_default(cw_control_options_t *options);

/** Copies the options and the ports. CW_ERROR_INVALID: no self, or one without an incarnation; *control is NULL on any
 *  error. */
int          cw_control_create(cw_control_t **control, const cw_control_options_t *options, const cw_ports_t *ports,
                               cw_instant_t now);
void         cw_control_free(cw_control_t *control);
void         cw_control_tick(cw_control_t *control, cw_instant_t now);
cw_time_us_t cw_control_next_tick(const cw_control_t *control);

/** Takes raft, heartbeat, grant report, revoke report and operator request messages. */
void cw_control_receive(cw_control_t *control, const Cw__Envelope *envelope, cw_instant_t now);
void cw_control_store_completed(cw_control_t *control, const cw_store_completion_t *completion, cw_instant_t now);
/** News of the machine list (lags): a server or node is "live", "leaving" or gone. Advisory only. */
void cw_control_machine_listed(cw_control_t *control, const char *name, const char *state, cw_instant_t now);
/** The store's watch saw this object change. */
void cw_control_object_changed(cw_control_t *control, const char *name, uint64_t version, cw_instant_t now);

bool cw_control_is_leader(const cw_control_t *control); /**< ready to decide */
/** Should this replica watch the store: the leader, and one standby. */
bool                      cw_control_should_watch(const cw_control_t *control);
const cw_control_state_t *cw_control_state(const cw_control_t *control);
cw_raft_t                *cw_control_raft(cw_control_t *control);
const Cw__NodeInfo       *cw_control_leader_node(const cw_control_t *control); /**< NULL: not known */
/** Completed quorum rounds as leader; only grows. The relay root stamps it on route updates. */
uint64_t cw_control_beat(const cw_control_t *control);
/** Planned stop: hand over leadership and membership. True once it is safe to end. */
bool cw_control_leave(cw_control_t *control, cw_instant_t now);

#endif
