/**
 * @file peer_link.h
 * @brief Datagrams between nodes, and the nodes known.
 *
 * All nodes listen on the same port. A node is known by its address once a datagram came from it, or as an address that
 * was told (seeds, the lock's holder, the leader's list). Nodes that stay silent are forgotten.
 */
#ifndef CEDARWINCH_PEER_PEER_LINK_H
#define CEDARWINCH_PEER_PEER_LINK_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>
#include <uv.h>

#include "base/time.h"
#include "model/zone_region.h"
#include "peer.pb-c.h"
#include "peer/datagram_batch.h"
#include "peer/traffic_account.h"

typedef struct cw_peer_link cw_peer_link_t;

/** When what a node lacks is sent to it next. */
typedef struct cw_push_state {
    cw_time_us_t due_at;
    uint32_t     tries;      /**< since it last had the newest */
    bool         is_waiting; /**< it was left to get it from another node until due_at */
} cw_push_state_t;

typedef struct cw_peer {
    uint32_t        address; /**< IPv4, in network order */
    char            text[16];
    char            node[64];
    char            zone[64];
    cw_distance_t   distance; /**< of that zone; the farthest until it is known */
    uint64_t        incarnation;
    uint64_t        former_incarnation; /**< the one before; 0: none known */
    cw_time_us_t    incarnation_at;     /**< the present one has been known since */
    uint32_t        sequence;
    cw_time_us_t    last_received_at;      /**< by itself, or by a relay of its zone; 0: never */
    cw_time_us_t    last_direct_report_at; /**< last report of its own that came here; 0: never */
    cw_time_us_t    details_at;            /**< when it was heard first or again, or what it says of itself changed */
    cw_time_us_t    told_at;               /**< when its address was told */
    bool            stopping;
    uint32_t        capability; /**< to lead, as it told; 0: not known */
    bool            is_lost;
    bool            store_lost;               /**< its calls to the store bring nothing */
    bool            receives_nothing_from_us; /**< by its last report nothing of this node reaches it directly */
    uint64_t        term;                     /**< of the view it has */
    uint64_t        servers;
    uint64_t        tables;
    cw_push_state_t servers_push;
    cw_push_state_t tables_push;
    uint32_t        peers;        /**< nodes that it has heard lately, as it told last */
    cw_time_us_t    nodes_due_at; /**< it may be told of the other nodes from then on */
    struct cw_peer *next;
    UT_hash_handle  by_address;
} cw_peer_t;

typedef struct cw_peer_handler {
    void *context;
    void (*datagram)(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram);
} cw_peer_handler_t;

int cw_peer_link_create(cw_peer_link_t **link, uv_loop_t *loop, const char *address, uint16_t port,
                        const cw_peer_handler_t *handler);
/** The address by which other nodes know this one, if it is not the bound one. Negative: not an IPv4 number. */
int  cw_peer_link_advertise(cw_peer_link_t *link, const char *address);
void cw_peer_link_close(cw_peer_link_t *link);
/** Where this node is, and which region each zone lies in; `zones` stays valid as long as the link. */
void cw_peer_link_set_zone(cw_peer_link_t *link, const char *zone, const cw_zone_region_t *zones, size_t count);
/** A peer has said which zone it is in. */
void cw_peer_link_set_peer_zone(const cw_peer_link_t *link, cw_peer_t *peer, const char *zone);
/** What was sent, by kind and distance. */
const cw_traffic_account_t *cw_peer_link_traffic(const cw_peer_link_t *link);
/** An address that may be a node's; this node's own is left out. */
cw_peer_t *cw_peer_link_learn(cw_peer_link_t *link, uint32_t address, cw_time_us_t now);
/** NULL: not known. */
cw_peer_t *cw_peer_link_find(cw_peer_link_t *link, uint32_t address);
cw_peer_t *cw_peer_link_learn_text(cw_peer_link_t *link, const char *address, cw_time_us_t now);
uint32_t   cw_peer_link_own_address(const cw_peer_link_t *link); /**< IPv4, in network order */
cw_peer_t *cw_peer_link_peers(cw_peer_link_t *link);             /**< linked by next */
/** Packs once, sends to one peer. What the socket does not take is lost. */
void cw_peer_link_send(cw_peer_link_t *link, const cw_peer_t *peer, const Cwp__Datagram *datagram);
/** Packs for cw_peer_link_send_packed. 0: it is too large for a datagram, which a line of the log says. */
size_t cw_peer_link_pack(cw_peer_link_t *link, const Cwp__Datagram *datagram);
void   cw_peer_link_send_packed(cw_peer_link_t *link, const cw_peer_t *peer, size_t length);
/** Copies what was packed last. */
void cw_peer_link_copy_packed(const cw_peer_link_t *link, uint8_t *bytes, size_t length);
/** Packs, and adds it to a batch. */
void cw_peer_link_pack_into(cw_peer_link_t *link, cw_datagram_batch_t *batch, const Cwp__Datagram *datagram);
/** Sends all of a batch to one peer. Returns its bytes. */
size_t cw_peer_link_send_batch(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch);
/** Sends `count` datagrams of a batch from the one at `first` on. Returns their bytes. */
size_t cw_peer_link_send_range(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch,
                               size_t first, size_t count);
/** The node has started anew, if this is another incarnation: its reports begin with sequence 0, and what was sent to
 * the process before it, and when, does not count for this one. */
void cw_peer_set_incarnation(cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now);
/** Is it the incarnation before the one known? Then what tells of it was late: it has been out of date for a short time
 * only. One that is told of for longer is at work, and the other was told of late. */
bool cw_peer_is_former_incarnation(const cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now);
/** Forgets peers unheard of for so long. */
void cw_peer_link_expire(cw_peer_link_t *link, cw_time_us_t silence, cw_time_us_t now);
/** Peers heard within `silence`. */
uint32_t cw_peer_link_count_alive(const cw_peer_link_t *link, cw_time_us_t silence, cw_time_us_t now);

#endif
