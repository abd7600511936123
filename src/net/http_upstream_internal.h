/**
 * @file http_upstream_internal.h
 * @brief Types and functions shared by the source files of the HTTP client.
 */
#ifndef CEDARWINCH_NET_HTTP_UPSTREAM_INTERNAL_H
#define CEDARWINCH_NET_HTTP_UPSTREAM_INTERNAL_H

#include <http_parser.h>
#include <netinet/in.h>

#include "base/byte_buffer.h"
#include "net/answer_bounds.h"
#include "net/http_upstream.h"

enum {
    CW_UPSTREAM_CHUNK = 16 * 1024, /* bytes of one read */
    /* Requests whose names a connection remembers. An answer that is sent a second time stands before the answers to
     * later requests on its connection, so it shows when the next one is answered. */
    CW_UPSTREAM_NAMES = 8
};

#define CW_UPSTREAM_UNSTATED SIZE_MAX

/** One connection to a target. */
typedef struct cw_upstream_connection {
    uv_tcp_t                       tcp; /* first member: libuv's callbacks get this pointer */
    uv_timer_t                     timer;
    uv_connect_t                   connect;
    uv_write_t                     write;
    cw_upstream_target_t          *target;
    cw_upstream_call_t            *call; /* NULL: idle or closing */
    bool                           connected;
    bool                           used; /* it has carried a call */
    bool                           closing;
    bool                           writing;
    bool                           is_idle;
    bool                           is_postponed; /* its timer waits until the sockets have been read, after a stall */
    int                            handles;
    cw_time_us_t                   opened_at;                /* when it was established */
    uint64_t                       number;                   /* counted from 1 */
    uint64_t                       names[CW_UPSTREAM_NAMES]; /* digests of the match values of the latest calls */
    size_t                         named;                    /* calls with a match value so far */
    struct cw_upstream_connection *prev;                     /* names required by utlist */
    struct cw_upstream_connection *next;
} cw_upstream_connection_t;

/** A call with its request, and the answer as far as it was received. */
struct cw_upstream_call {
    cw_upstream_connection_t *connection;
    cw_upstream_answered_t    answered;
    void                     *context;
    bool (*may_be_sent)(void *context);                                     /* NULL: always */
    bool (*may_be_kept)(void *context, const cw_upstream_answer_t *answer); /* NULL: always */
    char                   *bytes;
    size_t                  length;
    const char             *tail; /* the request's body if it is not part of `bytes`; owned by the caller */
    size_t                  tail_length;
    size_t                  answer_max;
    cw_time_us_t            due_us; /* 0: none */
    cw_time_us_t            progress_us;
    bool                    is_head;
    bool                    sent;
    bool                    reused;
    bool                    any_byte;
    bool                    complete;
    bool                    is_match_required;
    bool                    carried_before; /* as in cw_upstream_answer_t */
    uint32_t                discarded;      /* answers to other requests */
    bool                    not_reusable;   /* its connection ends, or bytes arrived that belong to no request */
    char                   *match_name;
    char                   *match_value;
    const char             *failure;       /* why the answer is given up; NULL: it is not */
    bool                    lacks_memory;  /* given up since other answers need the memory */
    size_t                  stated_length; /* of the body; CW_UPSTREAM_UNSTATED: not stated */
    cw_answer_share_t       share;         /* of the memory for answers */
    cw_answer_bounds_t      bounds;
    http_parser             parser;
    cw_http_fields_t        fields;
    cw_http_field_builder_t builder;
    bool                    head_done;
    cw_bytes_t              body;
};

/** A target with its connections. */
struct cw_upstream_target {
    cw_upstream_t            *upstream;
    struct sockaddr_in        socket_address;
    cw_upstream_connection_t *idle; /* most recently used first */
    size_t                    idle_count;
    size_t                    connections; /* connections that are not freed yet */
    bool                      released;
    cw_upstream_target_t     *prev; /* names required by utlist */
    cw_upstream_target_t     *next;
};

/** A client with its targets. */
struct cw_upstream {
    uv_loop_t            *loop;
    cw_upstream_options_t options;
    cw_upstream_target_t *targets;
    uint64_t              opened;
    bool                  released;
    char                  chunk[CW_UPSTREAM_CHUNK];
};

/** Ends a call: keeps or closes its connection, then calls its callback. */
void cw_upstream_end_call(cw_upstream_call_t *call, cw_upstream_result_t result, const char *failure, bool reset);
/** Extends the call's timeout so that it ends `progress` from now at the earliest. Called when bytes of the answer have
 * arrived. */
void cw_upstream_extend_timeout(cw_upstream_call_t *call);
/** Closes a connection; reset: with a TCP reset. */
void cw_upstream_close_connection(cw_upstream_connection_t *connection, bool reset);

/** Frees the body of a call's answer, and its share of the memory for answers. */
void cw_upstream_free_body(cw_upstream_call_t *call);
/** Gives up a call since other answers need its memory, which is free at once. The call ends in the next turn of the
 * loop, so that this may be called while another answer is parsed. */
void cw_upstream_give_up_for_memory(cw_upstream_call_t *call);

/* ---- http_upstream_answer.c ---- */
/** True if the answer of a call names its request. */
bool cw_upstream_names_request(const cw_upstream_call_t *call);
/** Callbacks of libuv for reading. */
void cw_upstream_on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
void cw_upstream_on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);

#endif
