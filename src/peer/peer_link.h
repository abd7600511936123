/**
 * @file peer_link.h
 * @brief Sends and receives datagrams between nodes, and keeps the list of known nodes (peers).
 *
 * All nodes listen on the same port. A peer is identified by its address. It is added when a datagram is received
 * from it or when its address is learned elsewhere (seeds, holder of the leader's lock, the leader's list of nodes).
 * Peers from which nothing is received are removed.
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
#include "peer/clock_offset.h"
#include "peer/datagram_batch.h"
#include "peer/peer_paths.h"
#include "peer/traffic_account.h"

/** Socket and peers of a node. */
typedef struct cw_peer_link cw_peer_link_t;

/** Transmission of the list of servers, or of the tables, to a peer that lacks the newest version. */
typedef struct cw_push_state {
    cw_time_us_t due_at;     /**< time of the next transmission */
    uint32_t     tries;      /**< transmissions since the peer last had the newest version */
    bool         is_waiting; /**< the peer is expected to get them from another node until due_at */
} cw_push_state_t;

/** A known node. */
typedef struct cw_peer {
    uint32_t        address;  /**< IPv4, in network order */
    char            text[16]; /**< the address as text */
    char            node[64]; /**< name; empty until it is known */
    char            zone[64];
    cw_distance_t   distance; /**< distance of that zone; the farthest one until the zone is known */
    uint64_t        incarnation;
    uint64_t        former_incarnation; /**< previous incarnation; 0: none known */
    cw_time_us_t    incarnation_at;     /**< time since which the present incarnation has been known */
    uint32_t        sequence;           /**< sequence of its last report */
    cw_time_us_t    last_received_at; /**< last time it was reported alive by itself or a relay of its zone; 0: never */
    cw_time_us_t    last_direct_report_at; /**< last time a report was received from it directly; 0: never */
    cw_time_us_t    details_at; /**< last change of its details, including its first report and a return after a loss */
    cw_time_us_t    learned_at; /**< last time its address was learned */
    bool            stopping;
    uint32_t        capability; /**< capability to lead, as stated by the peer; 0: not known */
    bool            is_lost;
    bool            store_lost;        /**< its calls to the store get no answer */
    cw_peer_paths_t paths;             /**< to servers */
    bool     receives_nothing_from_us; /**< its last report states that it receives nothing from this node directly */
    uint64_t term;                     /**< term of the list and tables that it has */
    uint64_t servers;                  /**< version of its list of servers */
    uint64_t tables;                   /**< version of its tables */
    cw_push_state_t   servers_push;
    cw_push_state_t   tables_push;
    uint32_t          peers;        /**< number of nodes from which it received recently, by its last report */
    cw_clock_offset_t clock;        /**< of its steady clock, by its heartbeats as leader and its notices as reader */
    cw_time_us_t      nodes_due_at; /**< earliest time at which the other nodes' addresses are sent to it again */
    struct cw_peer   *next;
    UT_hash_handle    by_address;
} cw_peer_t;

/** Callback for received datagrams. */
typedef struct cw_peer_handler {
    void *context;
    /** Called for each valid datagram; it is valid during the call only. */
    void (*datagram)(void *context, cw_peer_t *peer, const Cwp__Datagram *datagram);
} cw_peer_handler_t;

/** Binds the socket and starts to receive. Returns 0 or a libuv error; `link` is set in both cases. */
int cw_peer_link_create(cw_peer_link_t **link, uv_loop_t *loop, const char *address, uint16_t port,
                        const cw_peer_handler_t *handler);
/** Sets the address by which other nodes know this one, if it is not the bound address. Returns 0, or a negative value
 * if this is not an IPv4 address. */
int cw_peer_link_advertise(cw_peer_link_t *link, const char *address);
/** Closes the socket; memory is freed once the loop has closed its handle. */
void cw_peer_link_close(cw_peer_link_t *link);
/** Sets the zone of this node and the region of each zone. `zones` must remain valid as long as the link. */
void cw_peer_link_set_zone(cw_peer_link_t *link, const char *zone, const cw_zone_region_t *zones, size_t count);
/** Sets the zone that a peer has stated, and its distance. */
void cw_peer_link_set_peer_zone(const cw_peer_link_t *link, cw_peer_t *peer, const char *zone);
/** Counts of sent datagrams by kind and distance. */
const cw_traffic_account_t *cw_peer_link_traffic(const cw_peer_link_t *link);
/** Adds the peer at an address that may be a node's, or updates the time at which it was last learned. NULL: it is this
 * node's own address, or 0. */
cw_peer_t *cw_peer_link_learn(cw_peer_link_t *link, uint32_t address, cw_time_us_t now);
/** The peer at an address; NULL: not known. */
cw_peer_t *cw_peer_link_find(cw_peer_link_t *link, uint32_t address);
/** As cw_peer_link_learn, for an address as text, with or without a port. NULL also if it is not an IPv4 address. */
cw_peer_t *cw_peer_link_learn_text(cw_peer_link_t *link, const char *address, cw_time_us_t now);
uint32_t   cw_peer_link_own_address(const cw_peer_link_t *link); /**< IPv4, in network order */
cw_peer_t *cw_peer_link_peers(cw_peer_link_t *link);             /**< first of the list linked by next */
/** Packs a datagram and sends it to one peer. If the socket does not accept it now, it is lost. */
void cw_peer_link_send(cw_peer_link_t *link, const cw_peer_t *peer, const Cwp__Datagram *datagram);
/** Packs a datagram for cw_peer_link_send_packed and returns its length. 0: it is too large to be sent, which is
 * logged. */
size_t cw_peer_link_pack(cw_peer_link_t *link, const Cwp__Datagram *datagram);
/** Sends the datagram that was packed last to one peer. */
void cw_peer_link_send_packed(cw_peer_link_t *link, const cw_peer_t *peer, size_t length);
/** Copies the datagram that was packed last. */
void cw_peer_link_copy_packed(const cw_peer_link_t *link, uint8_t *bytes, size_t length);
/** Packs a datagram and adds it to a batch. */
void cw_peer_link_pack_into(cw_peer_link_t *link, cw_datagram_batch_t *batch, const Cwp__Datagram *datagram);
/** Sends all datagrams of a batch to one peer. Returns the number of bytes. */
size_t cw_peer_link_send_batch(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch);
/** Sends `count` datagrams of a batch to one peer, starting at index `first`. Returns the number of bytes. */
size_t cw_peer_link_send_range(cw_peer_link_t *link, const cw_peer_t *peer, const cw_datagram_batch_t *batch,
                               size_t first, size_t count);
/** Sets the incarnation of a peer. If it differs from the known one, the node has restarted: its reports begin with
 * sequence 0, and the state of transmissions to the previous process is reset. */
void cw_peer_set_incarnation(cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now);
/** True if this is the incarnation before the known one, and the known one is recent. A message about it is then late.
 * If messages about that incarnation continue for longer, it is the running one, and the message about the other
 * incarnation was late. */
bool cw_peer_is_former_incarnation(const cw_peer_t *peer, uint64_t incarnation, cw_time_us_t now);
/** Removes peers that were neither received from nor learned for longer than `timeout`. */
void cw_peer_link_expire(cw_peer_link_t *link, cw_time_us_t timeout, cw_time_us_t now);
/** Number of peers that were received from within `timeout`. */
uint32_t cw_peer_link_count_alive(const cw_peer_link_t *link, cw_time_us_t timeout, cw_time_us_t now);

#endif
