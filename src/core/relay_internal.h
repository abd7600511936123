/**
 * @file relay_internal.h
 * @brief Private parts of the relay: position in the tree, parent, children.
 */
#ifndef CEDARWINCH_RELAY_INTERNAL_H
#define CEDARWINCH_RELAY_INTERNAL_H

#include "cedarwinch/relay.h"

enum {
    CW_RELAY_STRAYS_MAX = 32,               /**< children kept beyond those of the tree */
    CW_RELAY_ANCESTORS_MAX = 16,            /**< depth of a tree of degree 16 over all 32-bit ids is 8 */
    CW_RELAY_FULL_UPDATES_PER_INTERVAL = 8, /**< to all; a large table takes hundreds of kilobytes */
    CW_RELAY_SILENT_INTERVALS = 3           /**< a child without subscription this long is forgotten */
};

/** A node that takes updates from this one. */
typedef struct cw_relay_child {
    cw_node_id_t     node;
    cw_incarnation_t incarnation;
    uint64_t         generation; /**< of the version it holds, as far as was sent or told */
    uint64_t         version;
    uint64_t         flight_base; /**< version that the first of the deltas sent lately starts from */
    cw_time_us_t     flight_us;   /**< when that one was sent */
    uint64_t         former_base; /**< the same of the deltas sent shortly before those */
    cw_time_us_t     heard_us;
    bool             full_sent;
    cw_time_us_t     full_sent_us; /**< last full update */
    uint32_t         updates_sent; /**< since leader or members changed */
} cw_relay_child_t;

struct cw_relay {
    Cw__NodeInfo       *self;
    Cw__NodeInfo      **seeds;
    size_t              seed_count;
    cw_ports_t          ports;
    cw_time_us_t        interval_us;
    cw_time_us_t        out_of_touch_us;
    cw_time_us_t        next_us; /**< next regular tick */
    bool                ticked;
    uint64_t            random;
    cw_control_state_t *routes;
    uint64_t            generation; /**< of the routes; 0: none yet */
    uint64_t            version;
    bool                is_source;

    /* newest beat heard, ordered by (generation, term, beat) */
    uint64_t     term;
    uint64_t     beat;
    bool         beat_heard;
    cw_time_us_t beat_us;        /**< when it came */
    cw_time_us_t beat_passed_us; /**< when a beat was last sent to the children */
    cw_time_us_t pass_due_us;    /**< when the source's waiting changes are sent; 0: none wait */

    Cw__NodeInfo  *leader; /**< NULL: not known */
    uint64_t       leader_term;
    Cw__NodeInfo **members; /**< of the control group */
    size_t         member_count;

    /* position in the tree, computed when the node table or the leader changed */
    bool         tree_stale;
    cw_node_id_t ancestors[CW_RELAY_ANCESTORS_MAX]; /**< parent first, leader last */
    size_t       ancestor_count;
    cw_node_id_t tree_children[CW_RELAY_FANOUT]; /**< ascending */
    size_t       tree_child_count;

    /* parent in use */
    cw_node_id_t parent; /**< 0: none */
    cw_node_id_t silent; /**< parent left as silent last, until it is heard again; 0: none */
    cw_time_us_t parent_since_us;
    cw_time_us_t silence_limit_us;  /**< drawn anew for each parent */
    bool         parent_introduced; /**< it answered, so that short subscriptions do */
    size_t       level;             /**< position among the candidates */
    cw_time_us_t probe_us;          /**< next try of the computed parent while another is in use */
    cw_time_us_t refresh_us;        /**< last subscription ahead of its time */
    cw_time_us_t gap_us;            /**< last subscription because of a gap */

    /* discovery by hello */
    bool         discovering;
    cw_node_id_t answerer; /**< node whose hello answer was taken last */
    size_t       next_seed;
    uint32_t     hello_count;
    cw_time_us_t next_hello_us;
    cw_time_us_t redirected_us; /**< last time that another node was named instead */

    cw_relay_child_t *children;
    size_t            child_count;
    size_t            child_capacity;
    cw_time_us_t      full_window_us;
    uint32_t          full_in_window;
    size_t            next_alternative; /**< child that the next surplus subscriber is sent to */
};

/* relay.c */
void cw_relay_send(cw_relay_t *relay, cw_node_id_t to, Cw__Envelope *envelope);
/** Takes leader and members over; NULL or empty: left as they are. */
void cw_relay_use_leader(cw_relay_t *relay, const Cw__NodeInfo *leader, uint64_t term, Cw__NodeInfo *const *members,
                         size_t member_count);

/* relay_tree.c */
void cw_relay_compute_tree(cw_relay_t *relay);
bool cw_relay_is_tree_child(const cw_relay_t *relay, cw_node_id_t node);

/* relay_update.c: taking updates. Returns true when the route table changed. */
bool cw_relay_take_update(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now);
bool cw_relay_merge(cw_relay_t *relay, uint64_t generation, uint64_t base_version, const Cw__ControlSnapshot *changes,
                    const uint64_t *removed_ranges, size_t removed_count);
/** Notes a beat. Returns false when it is not newer than the newest one heard. */
bool cw_relay_note_beat(cw_relay_t *relay, uint64_t term, uint64_t beat, cw_instant_t now);

/* relay_children.c */
void cw_relay_take_subscribe(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now);
void cw_relay_pass_on(cw_relay_t *relay, cw_instant_t now);
void cw_relay_forget_silent_children(cw_relay_t *relay, cw_instant_t now);
void cw_relay_announce_leader(cw_relay_t *relay);
void cw_relay_call_tree_children(cw_relay_t *relay, cw_instant_t now);

/* relay_parent.c */
void cw_relay_watch_parent(cw_relay_t *relay, cw_instant_t now);
void cw_relay_subscribe(cw_relay_t *relay, cw_node_id_t to);
void cw_relay_heard_parent(cw_relay_t *relay, cw_node_id_t from, bool current_beat, cw_instant_t now);
void cw_relay_send_hello(cw_relay_t *relay, cw_node_id_t to, bool request, const Cw__NodeInfo *alternative);
void cw_relay_take_hello(cw_relay_t *relay, const Cw__Envelope *envelope, cw_instant_t now);

#endif
