/**
 * @file peer_internal.h
 * @brief Types shared by the parts of the peer transport: frames, sending connections, receiving connections.
 */
#ifndef CEDARWINCH_PEER_INTERNAL_H
#define CEDARWINCH_PEER_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/adapters.h"
#include "cedarwinch/error.h"
#include "cedarwinch/log.h"

enum {
    CW_PEER_FRAME_HEADER_BYTES = 4,
    CW_PEER_FRAME_MAX = 64 * 1024 * 1024, /**< payload of one frame: a snapshot is the largest message */
    CW_PEER_QUEUE_MAX = 8 * 1024 * 1024,  /**< bytes queued for a peer, unless one larger frame is alone */
    CW_PEER_BACKOFF_FIRST_MS = 50,
    CW_PEER_BACKOFF_LAST_MS = 1000,
    CW_PEER_CONNECT_TIMEOUT_MS = 1000,
    CW_PEER_UNACKNOWLEDGED_MS = 3000, /**< data not acknowledged this long breaks the connection */
    CW_PEER_IDLE_MS = 60 * 1000,
    CW_PEER_SWEEP_MS = 10 * 1000
};

/** Growable bytes. */
typedef struct cw_bytes {
    uint8_t *data;
    size_t   length;
    size_t   capacity;
} cw_bytes_t;

int  cw_bytes_reserve(cw_bytes_t *bytes, size_t more); /**< room for `more` bytes behind length */
void cw_bytes_clear(cw_bytes_t *bytes);                /**< frees the memory */

/* ---- frames (peer_frame.c) ---- */

/** Appends one frame: length, then the packed envelope. CW_ERROR_INVALID when it is too large. */
int cw_peer_frame_append(cw_bytes_t *bytes, const Cw__Envelope *envelope);

/** Looks for a frame at the start of received bytes. Returns its payload's length, 0 when more bytes are needed, or
 *  CW_ERROR_PARSE when the length is not allowed. */
int64_t cw_peer_frame_find(const uint8_t *data, size_t length);

/* ---- sending (peer_outbound.c) ---- */

typedef enum cw_peer_state { CW_PEER_IDLE, CW_PEER_CONNECTING, CW_PEER_CONNECTED, CW_PEER_BACKOFF } cw_peer_state_t;

typedef struct cw_peer cw_peer_t;

/** One TCP connection that this node opened. Outlives its peer's interest until libuv has closed it. */
typedef struct cw_peer_connection {
    uv_tcp_t             tcp;
    uv_connect_t         connect;
    uv_write_t           write;
    cw_bytes_t           writing; /**< bytes of the write in progress */
    bool                 write_active;
    cw_peer_t           *peer; /**< NULL: given up */
    cw_peer_transport_t *transport;
} cw_peer_connection_t;

struct cw_peer {
    cw_node_id_t            node;
    struct sockaddr_storage address;
    cw_peer_state_t         state;
    cw_peer_connection_t   *connection;
    cw_bytes_t              pending; /**< frames not yet handed to the connection */
    uv_timer_t              timer;   /**< connect timeout or end of the backoff */
    uint32_t                backoff_ms;
    uint64_t                last_used_ms;
    bool                    lost_pending;
    bool                    dirty; /**< on the transport's list of peers to look at */
    struct cw_peer         *dirty_next;
    cw_peer_transport_t    *transport;
    UT_hash_handle          hh;
};

int  cw_peer_outbound_queue(cw_peer_t *peer, const Cw__Envelope *envelope);
void cw_peer_outbound_flush(cw_peer_t *peer);
/** Closes the connection. Queued messages are dropped and the loss is reported when `lost`. */
void cw_peer_outbound_break(cw_peer_t *peer, bool lost);
/** Connects when messages wait and nothing is under way. */
void cw_peer_outbound_start(cw_peer_t *peer);
void cw_peer_outbound_close_idle(cw_peer_t *peer, uint64_t now_ms);

/* ---- receiving (peer_inbound.c) ---- */

typedef struct cw_peer_inbound {
    uv_tcp_t                tcp;
    cw_bytes_t              received;
    cw_node_id_t            node; /**< 0 until the first frame */
    uint64_t                last_used_ms;
    cw_peer_transport_t    *transport;
    struct cw_peer_inbound *prev; /**< utlist's names */
    struct cw_peer_inbound *next;
} cw_peer_inbound_t;

void cw_peer_inbound_accept(uv_stream_t *listener, int status);
void cw_peer_inbound_close(cw_peer_inbound_t *inbound);
void cw_peer_inbound_close_idle(cw_peer_transport_t *transport, uint64_t now_ms);

/* ---- the transport (peer_transport.c) ---- */

struct cw_peer_transport {
    uv_loop_t          *loop;
    cw_peer_callbacks_t callbacks;
    uv_tcp_t            listener;
    uv_prepare_t        flush; /**< once per loop iteration: reports losses, writes what was queued */
    uv_timer_t          sweep; /**< closes idle connections */
    cw_peer_t          *peers; /**< by node id */
    cw_peer_t          *dirty; /**< with a loss to report or messages to write */
    cw_peer_inbound_t  *inbound;
    size_t              open_handles;
    bool                closing;
};

/** Every handle's close callback ends here: the transport's memory goes with the last one. */
void cw_peer_transport_handle_closed(cw_peer_transport_t *transport);

/** Has the peer looked at before the loop waits again. */
void cw_peer_transport_mark_dirty(cw_peer_t *peer);

#endif
