/**
 * @file control_lease.c
 * @brief Readings of the servers' clocks, lease renewals, and when a silent server's leases are over.
 *
 * Rules:
 * - Readings count only from the node and incarnation that forwards to the server now.
 * - A renewal names reading + lease, in the server's clock, and only after a quorum round that began when the reading
 *   had arrived. Orders name the end of the newest confirmed reading, never of a later one.
 * - A lease named for a reading is over at the latest lease * (1 + drift) after the reading arrived here, whatever
 *   became of the messages.
 * - Leases of earlier leaders are over lease * (1 + drift) after this leader's election: a reading that an earlier
 *   leader could confirm had arrived there before that.
 * - A reading beyond every end named to that incarnation proves the same without waiting, once the leases of the
 *   server's former lives are over. A new incarnation alone proves nothing about them here: it only gets new fences.
 * - A server that accepted grants lost them if a reading shows no live lease, or if it comes after the end of the lease
 *   that the reading before it showed: the lease may have lapsed and a later grant begun a new one, without the others.
 * - While a command that takes ranges from a server without its consent is under way, the server is sealed: nothing is
 *   named to it.
 *
 * Invariant: cw_control_leases_over() is true only when the server cannot act on any grant made so far.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/error.h"
#include "core/control_internal.h"

enum { PARTS_PER_MILLION = 1000000 };

int64_t cw_control_lease_us(const cw_control_t *control, cw_service_id_t service)
{
    const Cw__ServiceConfiguration *configuration = cw_control_state_service(control->state, service);
    uint32_t                        lease_ms = control->longest_lease_ms;

    if (configuration != NULL) {
        lease_ms = configuration->lease_ms;
    }
    return (int64_t)lease_ms * CW_US_PER_MS;
}

cw_time_us_t cw_control_wait_us(const cw_control_t *control, int64_t lease_us)
{
    return lease_us + lease_us * control->options.clock_drift_ppm / PARTS_PER_MILLION + 1;
}

/* ---- readings ---- */

static bool is_forwarder(const cw_server_track_t *track, const Cw__NodeInfo *node)
{
    return track != NULL && track->forwarder == node->id && track->forwarder_incarnation == node->incarnation;
}

/* The server was started anew: what its former life was granted is gone, and cannot be taken up by this one. */
static void begin_incarnation(cw_control_t *control, cw_server_track_t *track, cw_incarnation_t incarnation)
{
    if (track->incarnation != 0) {
        track->fence_wanted = true;
        track->holds = false;
        track->former_until_us = track->issued_until_us;
        cw_control_mark(control, &control->leading.changed_servers, track->id);
        cw_control_mark(control, &control->leading.dirty_services, track->service);
    }
    track->incarnation = incarnation;
    track->confirmed_clock_us = 0;
    track->issued_end_us = 0;
    track->ordered_end_us = 0;
    track->clock_us = -1;
    cw_control_mark(control, &control->leading.dirty_servers, track->id);
}

static void note_lapse(cw_control_t *control, cw_server_track_t *track)
{
    bool lapsed = track->lease_end_us <= track->clock_us || track->clock_us >= track->unbroken_until_us;

    if (!track->holds) {
        return;
    }
    if (!lapsed) {
        track->unbroken_until_us = track->lease_end_us;
        return;
    }
    track->holds = false;
    track->ordered_end_us = 0;
    track->fence_wanted = true;
    cw_control_mark(control, &control->leading.changed_servers, track->id);
}

/* Returns true when the report brings a reading that is newer than the last one. */
static bool take_report(cw_control_t *control, cw_server_track_t *track, const Cw__ServerReport *report)
{
    track->reachable = report->reachable;
    if (!report->reachable || report->incarnation == 0) {
        return false;
    }
    if (track->says_draining != report->draining) {
        track->says_draining = report->draining;
        cw_control_mark(control, &control->leading.dirty_services, track->service);
    }
    if (report->incarnation != track->incarnation) {
        begin_incarnation(control, track, report->incarnation);
    }
    if (report->clock_us <= track->clock_us) {
        return false;
    }
    track->clock_us = report->clock_us;
    track->lease_end_us = report->lease_end_us;
    track->reading_us = control->now.monotonic_us;
    note_lapse(control, track);
    return true;
}

void cw_control_take_reports(cw_control_t *control, const Cw__Heartbeat *heartbeat, cw_pending_heartbeat_t *pending)
{
    cw_server_track_t      *track;
    cw_pending_reading_t   *reading;
    const Cw__ServerReport *report;
    size_t                  position;

    if (heartbeat->n_servers == 0) {
        return;
    }
    pending->readings = calloc(heartbeat->n_servers, sizeof(*pending->readings));
    for (position = 0; position < heartbeat->n_servers && pending->readings != NULL; position++) {
        report = heartbeat->servers[position];
        track = cw_control_server_track(control, report->server);
        if (!is_forwarder(track, heartbeat->node) || !take_report(control, track, report)) {
            continue;
        }
        reading = &pending->readings[pending->reading_count++];
        reading->server = track->id;
        reading->incarnation = track->incarnation;
        reading->clock_us = report->clock_us;
    }
}

/* ---- renewals ---- */

/* Takes a reading as confirmed. Returns the lease end to name for it, or 0 for none. */
static int64_t confirm_reading(cw_control_t *control, const cw_pending_heartbeat_t *heartbeat,
                               const cw_pending_reading_t *reading)
{
    cw_server_track_t *track = cw_control_server_track(control, reading->server);
    int64_t            lease_us;
    cw_time_us_t       until_us;

    if (track == NULL || track->sealed || track->incarnation != reading->incarnation ||
        track->forwarder != heartbeat->node || track->forwarder_incarnation != heartbeat->incarnation) {
        return 0;
    }
    lease_us = cw_control_lease_us(control, track->service);
    until_us = heartbeat->arrived_us + cw_control_wait_us(control, lease_us);
    if (reading->clock_us > track->confirmed_clock_us) {
        track->confirmed_clock_us = reading->clock_us;
    }
    if (reading->clock_us + lease_us > track->issued_end_us) {
        track->issued_end_us = reading->clock_us + lease_us;
    }
    if (until_us > track->issued_until_us) {
        track->issued_until_us = until_us;
    }
    if (track->orders_withheld) {
        track->orders_us = 0;
    }
    return reading->clock_us + lease_us;
}

static void answer_heartbeat(cw_control_t *control, const cw_pending_heartbeat_t *heartbeat)
{
    Cw__Envelope       envelope = CW__ENVELOPE__INIT;
    Cw__HeartbeatReply reply = CW__HEARTBEAT_REPLY__INIT;
    Cw__LeaseRenewal  *renewals = calloc(heartbeat->reading_count + 1, sizeof(*renewals));
    Cw__LeaseRenewal **list = calloc(heartbeat->reading_count + 1, sizeof(Cw__LeaseRenewal *));
    size_t             position;

    for (position = 0; position < heartbeat->reading_count && renewals != NULL && list != NULL; position++) {
        Cw__LeaseRenewal *renewal = &renewals[reply.n_renewals];

        cw__lease_renewal__init(renewal);
        renewal->server = heartbeat->readings[position].server;
        renewal->incarnation = heartbeat->readings[position].incarnation;
        renewal->lease_end_us = confirm_reading(control, heartbeat, &heartbeat->readings[position]);
        if (renewal->lease_end_us != 0) {
            list[reply.n_renewals++] = renewal;
        }
    }
    reply.sequence = heartbeat->sequence;
    reply.accepted = true;
    reply.leader = control->self;
    reply.version = cw_control_state_version(control->state);
    reply.renewals = list;
    envelope.body_case = CW__ENVELOPE__BODY_HEARTBEAT_REPLY;
    envelope.heartbeat_reply = &reply;
    cw_control_send(control, heartbeat->node, &envelope);
    free(renewals);
    free(list);
}

void cw_control_answer_heartbeats(cw_control_t *control)
{
    cw_leading_t *leading = &control->leading;
    size_t        answered = 0;

    while (answered < leading->heartbeat_count && leading->heartbeats[answered].round <= control->confirmed_round) {
        answer_heartbeat(control, &leading->heartbeats[answered]);
        free(leading->heartbeats[answered].readings);
        answered++;
    }
    if (answered == 0) {
        return;
    }
    leading->heartbeat_count -= answered;
    memmove(leading->heartbeats, leading->heartbeats + answered,
            leading->heartbeat_count * sizeof(*leading->heartbeats));
}

/* ---- silence ---- */

bool cw_control_server_suspected(const cw_control_t *control, const cw_server_track_t *track)
{
    cw_time_us_t since_us = track->reading_us > track->expected_us ? track->reading_us : track->expected_us;

    return control->now.monotonic_us - since_us > CW_SERVER_SILENCE_US;
}

bool cw_control_leases_over(const cw_control_t *control, const cw_server_track_t *track)
{
    cw_time_us_t now_us = control->now.monotonic_us;
    bool         past_every_end = track->issued_end_us != 0 && track->clock_us > track->issued_end_us;

    if (now_us < control->leading.predecessors_until_us) {
        return false;
    }
    return now_us >= track->issued_until_us || (past_every_end && now_us >= track->former_until_us);
}

bool cw_control_server_usable(const cw_control_t *control, const cw_server_track_t *track)
{
    const Cw__ServerInfo *server = cw_control_state_server(control->state, track->id);
    cw_time_us_t          age_us = control->now.monotonic_us - track->reading_us;

    return server != NULL && !server->draining && !track->says_draining && !track->sealed && !track->handover &&
           track->reachable && track->incarnation != 0 && age_us <= CW_SERVER_SILENCE_US;
}

/* Silent or draining; not one whose forwarder changes, or from which ranges are just being taken. */
static bool is_away(const cw_server_track_t *server, bool usable)
{
    return !usable && !server->sealed && !server->handover;
}

static void note_usable(cw_control_t *control, cw_server_track_t *server, bool usable)
{
    cw_service_track_t *track = cw_control_make_service_track(control, server->service);

    if (usable) {
        server->in_use = true;
    }
    if (track != NULL) {
        track->balance_wanted = true;
        track->rebalance_us = control->now.monotonic_us;
        track->left_us = is_away(server, usable) ? control->now.monotonic_us : track->left_us;
    }
    cw_control_mark(control, &control->leading.dirty_services, server->service);
}

/* Its ranges may go elsewhere. A server that drains is expected to go: that is no loss. */
static void note_lost(cw_control_t *control, cw_server_track_t *server)
{
    const Cw__ServerInfo *info = cw_control_state_server(control->state, server->id);

    if (server->in_use && !server->says_draining && (info == NULL || !info->draining)) {
        cw_placement_note_loss(&server->losses, control->now.monotonic_us);
    }
    server->in_use = false;
    cw_control_mark(control, &control->leading.dirty_services, server->service);
}

/* A server whose use changed, or whose ranges may go elsewhere by now, has its service placed anew. */
void cw_control_scan_servers(cw_control_t *control)
{
    cw_server_track_t *track;
    bool               usable;
    size_t             position;

    for (position = 0; position < control->leading.servers.count; position++) {
        track = control->leading.servers.slots[position].value;
        usable = cw_control_server_usable(control, track);
        if (usable != track->was_usable) {
            note_usable(control, track, usable);
        } else if (cw_control_server_suspected(control, track) && cw_control_leases_over(control, track)) {
            note_lost(control, track);
        }
        track->was_usable = usable;
    }
}
