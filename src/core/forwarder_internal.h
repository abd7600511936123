/**
 * @file forwarder_internal.h
 * @brief Private parts of the forwarder, shared by the forwarder_*.c files.
 */
#ifndef CEDARWINCH_FORWARDER_INTERNAL_H
#define CEDARWINCH_FORWARDER_INTERNAL_H

#include <uthash.h>

#include "cedarwinch/forwarder.h"
#include "cedarwinch/timer_heap.h"
#include "core/replay_filter.h"

enum {
    CW_JOURNAL_REPLICAS_MAX = 7,
    CW_HOT_KEYS = 16,
    CW_UNSENT_IDS_MAX = 4096, /**< ids remembered as never sent; a forgotten one is answered unknown */
    CW_QUEUE_LENGTH_MAX = 1024,
    CW_JOURNAL_ATTEMPTS = 3 /**< sends of a start within journal_timeout_us */
};

/** What the forwarder asks about grants and leases. Answered by the agent, by a fake in tests. */
typedef struct cw_lease_view {
    void *context;
    cw_range_readiness_t (*readiness)(void *context, cw_range_id_t range, cw_fence_t fence);
    int64_t (*lease_left_us)(void *context, cw_server_id_t server, cw_instant_t now);
} cw_lease_view_t;

/** Journal replicas of a range. */
typedef struct cw_replica_set {
    size_t           count; /**< 0: none, or more than can be handled */
    cw_node_id_t     nodes[CW_JOURNAL_REPLICAS_MAX];
    cw_incarnation_t incarnations[CW_JOURNAL_REPLICAS_MAX];
    uint64_t         digest; /**< does not depend on the order */
} cw_replica_set_t;

/** Space-saving counter of one key (Metwally, Agrawal, El Abbadi, 2005), decayed. */
typedef struct cw_hot_key {
    cw_key_hash_t key_hash;
    double        count;
    double        error; /**< part of count that may belong to keys displaced by this one */
} cw_hot_key_t;

typedef struct cw_range_load {
    cw_time_us_t updated_us;
    double       requests_per_second;
    cw_hot_key_t keys[CW_HOT_KEYS];
    size_t       key_count;
} cw_range_load_t;

typedef struct cw_forwarder_range cw_forwarder_range_t;

/** Progress of one replica in the present phase of an opening. */
typedef struct cw_opening_replica {
    cw_forwarder_range_t *range;
    size_t                index;
    uint64_t              exchange; /**< outstanding; 0: none */
    bool                  done;
    bool                  failed; /**< another process runs there now */
    cw_fence_t            opened; /**< of the seal's answer */
    uint64_t              opened_set;
    cw_fence_t            left;
    uint64_t              position; /**< seal: page to ask for; copy: first entry to send */
    uint64_t              next;     /**< copy: first entry of the following message */
    UT_hash_handle        hh;       /**< by exchange */
} cw_opening_replica_t;

typedef enum cw_opening_phase {
    CW_OPENING_IDLE,
    CW_OPENING_SEAL_OWN,     /**< seals the range's own set: is it open already? */
    CW_OPENING_READ_OWN,     /**< it was opened at a minority: reads it, to copy to the rest */
    CW_OPENING_SEAL_FORMER,  /**< seals and reads the former set */
    CW_OPENING_WAIT_READY,   /**< gives up the ids used so far once the grant is accepted */
    CW_OPENING_COPY,         /**< copies to the own set and opens it */
    CW_OPENING_READ_ANSWERS, /**< option unfinished_first, range is open: reads the stored answers */
    CW_OPENING_COPY_ANSWERS  /**< and copies them */
} cw_opening_phase_t;

/** Entry read while sealing. */
typedef struct cw_recovered_entry {
    uint8_t           request_id[CW_REQUEST_ID_BYTES];
    Cw__JournalEntry *message;
    UT_hash_handle    hh;
} cw_recovered_entry_t;

typedef struct cw_opening {
    cw_opening_phase_t    phase;
    cw_opening_replica_t  replicas[CW_JOURNAL_REPLICAS_MAX];
    bool                  decided;         /**< a majority was reached in this phase */
    bool                  answers_missing; /**< stored answers were left out at first */
    int64_t               valid_from_ms;   /**< highest told by replicas */
    cw_recovered_entry_t *recovered;
    Cw__JournalEntry    **copied; /**< recovered entries in the order of copying */
    size_t                copied_count;
    uint32_t              attempts;
    cw_timer_t            timer;
} cw_opening_t;

/** Range that this node forwards for. */
struct cw_forwarder_range {
    cw_range_id_t    id;
    cw_service_id_t  service;
    cw_key_hash_t    low;
    cw_key_hash_t    last;
    cw_server_id_t   server;
    cw_fence_t       fence;    /**< effective fence, also the epoch in the journal */
    bool             revoking; /**< nothing new */
    bool             deposed;  /**< the journal is sealed above this fence */
    bool             open;     /**< non-repeatable requests may start */
    int64_t          valid_from_ms;
    cw_replica_set_t own;
    cw_replica_set_t former;
    cw_opening_t     opening;
    cw_range_load_t  load;
    uint64_t         routes_pass;
    UT_hash_handle   hh;
};

/** Queue in front of one server. */
typedef struct cw_forwarder_server {
    cw_server_id_t  id;
    cw_timer_heap_t queue;     /**< requests that may be sent, by deadline */
    size_t          waiting;   /**< requests that wait for their journal exchange */
    size_t          in_flight; /**< slots in use */
    double          service_time_us;
    cw_time_us_t    warm_at_us;    /**< half of the slots until then */
    cw_time_us_t    shed_until_us; /**< no request beyond the slots until then */
    size_t          range_count;   /**< ranges in the present route table */
    bool            had_ranges;    /**< it had some in the former one */
    cw_timer_t      warm_timer;
    uint64_t        routes_pass;
    UT_hash_handle  hh;
} cw_forwarder_server_t;

typedef enum cw_request_phase {
    CW_REQUEST_STARTING, /**< waits for the journal */
    CW_REQUEST_QUEUED,   /**< may be sent */
    CW_REQUEST_SENT      /**< a byte may have left for the server */
} cw_request_phase_t;

typedef struct cw_origin {
    cw_incarnation_t gateway_incarnation;
    uint64_t         id;
} cw_origin_t;

typedef struct cw_request_key {
    cw_service_id_t service;
    uint8_t         request_id[CW_REQUEST_ID_BYTES];
} cw_request_key_t;

typedef struct cw_forwarder_request {
    uint64_t               id; /**< at the server, and of the journal exchange; grows */
    Cw__ForwardRequest    *message;
    cw_origin_t            origin;
    cw_request_key_t       key;
    cw_request_phase_t     phase;
    bool                   journaled;
    bool                   cancelled; /**< nobody waits for the answer */
    cw_forwarder_server_t *server;
    cw_time_us_t           arrived_us;
    cw_time_us_t           sent_us;
    cw_time_us_t           deadline_us;
    cw_time_us_t           server_deadline_us;
    cw_replica_set_t       replicas;
    uint32_t               acknowledged; /**< bit for each replica that holds the entry */
    uint32_t               replied;      /**< bit for each replica that answered anything */
    bool                   too_old;      /**< a replica no longer keeps entries of that age */
    uint64_t               supersedes_first;
    uint64_t               supersedes;
    uint32_t               journal_attempts;
    Cw__JournalEntry      *duplicate; /**< entry that a replica held for this id */
    cw_timer_t             queue_timer;
    cw_timer_t             deadline_timer;
    cw_timer_t             journal_timer;
    UT_hash_handle         hh;         /**< by id */
    UT_hash_handle         hh_origin;  /**< by gateway's incarnation and id */
    UT_hash_handle         hh_journal; /**< by service and request id, journaled only */
} cw_forwarder_request_t;

/** Journal exchanges [first, last] of an id under this incarnation, none of which was sent to a server. */
typedef struct cw_unsent_id {
    cw_request_key_t key;
    uint64_t         first;
    uint64_t         last;
    UT_hash_handle   hh;
} cw_unsent_id_t;

struct cw_forwarder {
    cw_forwarder_options_t    options;
    cw_ports_t                ports;
    cw_lease_view_t           view;
    const cw_control_state_t *routes;
    uint64_t                  routes_pass;
    uint64_t                  last_id; /**< of requests and journal exchanges */
    cw_replay_filter_t        seen;    /**< hops taken in, by gateway incarnation */
    cw_forwarder_range_t     *ranges;
    cw_forwarder_server_t    *servers;
    cw_forwarder_request_t   *requests;
    cw_forwarder_request_t   *requests_by_origin;
    cw_forwarder_request_t   *requests_by_key;
    cw_opening_replica_t     *openings; /**< outstanding exchanges */
    cw_unsent_id_t           *unsent;
    cw_timer_heap_t           deadline_timers;
    cw_timer_heap_t           journal_timers;
    cw_timer_heap_t           opening_timers;
    cw_timer_heap_t           warm_timers;
    cw_forwarder_counters_t   counters;
};

/** What is told to the gateway. */
typedef struct cw_forwarder_answer {
    cw_reason_t  reason;
    uint32_t     status;
    Cw__Header **headers;
    size_t       header_count;
    const void  *body;
    size_t       body_length;
    int64_t      retry_after_us;
    bool         stale_route;
} cw_forwarder_answer_t;

/* ---- forwarder.c ---- */

int cw_forwarder_create_with_view(cw_forwarder_t **forwarder, const cw_forwarder_options_t *options,
                                  const cw_ports_t *ports, const cw_lease_view_t *view);
/** Answers the gateway (unless it has cancelled) and forgets the request. */
void cw_forwarder_end_request(cw_forwarder_t *forwarder, cw_forwarder_request_t *request,
                              const cw_forwarder_answer_t *answer, cw_instant_t now);
/** Ends a request of which nothing was sent to the server. */
void cw_forwarder_refuse_unsent(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_reason_t reason,
                                cw_instant_t now);
void cw_forwarder_send(cw_forwarder_t *forwarder, cw_node_id_t to, Cw__Envelope *envelope);
void cw_forwarder_fill_fence(Cw__Fence *message, cw_fence_t fence);

/* ---- forwarder_admission.c ---- */

/** Time left of the caller's deadline, bounded so that sums with it cannot overflow. */
int64_t cw_forwarder_timeout_us(const Cw__ForwardRequest *message);
bool    cw_forwarder_needs_journal(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message);
/** CW_REASON_NONE when the request's route is in force here: this node, this fence, granted. */
cw_reason_t cw_forwarder_check_route(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                     cw_forwarder_range_t **range);
/** Request id, route and journal. Sets range when it returns CW_REASON_NONE. */
cw_reason_t cw_forwarder_check_request(const cw_forwarder_t *forwarder, const Cw__ForwardRequest *message,
                                       const cw_request_key_t *key, cw_forwarder_range_t **range, cw_instant_t now);
/** Could the request be answered in time, and is there room for it? */
cw_reason_t cw_forwarder_check_queue(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server,
                                     const Cw__ForwardRequest *message, cw_instant_t now);

/* ---- forwarder_routes.c ---- */

void cw_forwarder_remove_range(cw_forwarder_t *forwarder, cw_forwarder_range_t *range);

/* ---- forwarder_queue.c ---- */

cw_forwarder_server_t *cw_forwarder_server_get(cw_forwarder_t *forwarder, cw_server_id_t server); /**< or NULL */
void                   cw_forwarder_server_remove(cw_forwarder_t *forwarder, cw_forwarder_server_t *server);
size_t                 cw_forwarder_queue_length(const cw_forwarder_server_t *server);
/** Time until a request with this deadline would be answered, from the service times seen so far. */
int64_t cw_forwarder_estimate_us(const cw_forwarder_t *forwarder, const cw_forwarder_server_t *server,
                                 cw_time_us_t deadline_us, cw_time_us_t now);
/** The request may be sent from now on. */
void cw_forwarder_enqueue(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_instant_t now);
/** Sends as many queued requests as may be in flight. */
void cw_forwarder_pump(cw_forwarder_t *forwarder, cw_forwarder_server_t *server, cw_instant_t now);
/** A slot is free again. */
void cw_forwarder_slot_freed(cw_forwarder_server_t *server, cw_server_result_t result, cw_time_us_t service_time_us);
/** The server said that it is full. */
void cw_forwarder_server_shed(cw_forwarder_server_t *server, cw_time_us_t now);

/* ---- forwarder_journal.c ---- */

size_t cw_replica_set_majority(const cw_replica_set_t *set);
void   cw_replica_set_read(cw_replica_set_t *set, Cw__ReplicaReference *const *references, size_t count);
void   cw_forwarder_journal_start(cw_forwarder_t *forwarder, cw_forwarder_request_t *request,
                                  const cw_forwarder_range_t *range, cw_instant_t now);
/** Answer to a start. */
void cw_forwarder_journal_replied(cw_forwarder_t *forwarder, cw_forwarder_request_t *request,
                                  const Cw__JournalReply *reply, cw_instant_t now);
void cw_forwarder_journal_timer(cw_forwarder_t *forwarder, cw_forwarder_request_t *request, cw_instant_t now);
/** The request did not run: frees its id at the replicas and remembers that it was never sent. */
void cw_forwarder_journal_release(cw_forwarder_t *forwarder, const cw_forwarder_request_t *request);
/** Stores the answer at the replicas; nothing waits for it. */
void cw_forwarder_journal_finish(cw_forwarder_t *forwarder, const cw_forwarder_request_t *request,
                                 const cw_server_response_t *response);
/** The request is about to be sent: it may no longer be taken for unsent. */
void cw_forwarder_journal_sending(cw_forwarder_t *forwarder, const cw_forwarder_request_t *request);
void cw_forwarder_journal_clear(cw_forwarder_t *forwarder);

/* ---- forwarder_opening.c ---- */

void cw_forwarder_opening_start(cw_forwarder_t *forwarder, cw_forwarder_range_t *range, cw_instant_t now);
void cw_forwarder_opening_stop(cw_forwarder_t *forwarder, cw_forwarder_range_t *range);
void cw_forwarder_opening_replied(cw_forwarder_t *forwarder, cw_opening_replica_t *replica,
                                  const Cw__JournalReply *reply, cw_instant_t now);
void cw_forwarder_opening_timer(cw_forwarder_t *forwarder, cw_forwarder_range_t *range, cw_instant_t now);

/* ---- forwarder_recovered.c ---- */

void cw_opening_clear_entries(cw_opening_t *opening);
/** Takes an entry into the union: finished beats started, a stored answer beats none. */
int cw_opening_add_entry(cw_opening_t *opening, const Cw__JournalEntry *message);
/** Puts the union into opening->copied. */
int cw_opening_list_entries(cw_opening_t *opening);

/* ---- forwarder_load.c ---- */

void cw_range_load_add(cw_range_load_t *load, cw_key_hash_t key_hash, cw_time_us_t now);
void cw_range_load_decay(cw_range_load_t *load, cw_time_us_t now);

#endif
