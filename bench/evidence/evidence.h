/**
 * @file evidence.h
 * @brief Checks the records of all back-end servers and of the load tool against what must always hold.
 */
#ifndef CEDARWINCH_BENCH_EVIDENCE_H
#define CEDARWINCH_BENCH_EVIDENCE_H

#include <stdio.h>
#include <uthash.h>

#include "../common/call_end.h"
#include "cedarwinch/types.h"

enum { CW_REQUEST_TEXT = 64 };

typedef enum cw_event_kind {
    CW_EVENT_BOOT,
    CW_EVENT_GRANT,
    CW_EVENT_REVOKE,
    CW_EVENT_LAPSE,
    CW_EVENT_RENEW,
    CW_EVENT_START,
    CW_EVENT_EFFECT,
    CW_EVENT_ABANDONED,
    CW_EVENT_KIND_COUNT
} cw_event_kind_t;

/** One process of a server, from its boot to its end. */
typedef struct cw_life {
    char            *server;
    cw_incarnation_t incarnation;
    int64_t          last_us; /**< of its events: it was alive then */
} cw_life_t;

/** All that is known of a request id. */
typedef struct cw_request_facts {
    char            id[CW_REQUEST_TEXT];
    bool            sent; /**< the load tool knows it */
    bool            non_repeatable;
    cw_service_id_t service;
    cw_key_hash_t   key_hash;
    uint32_t        effects;
    int64_t         first_effect_us;
    uint32_t        refusals; /**< answers that say it was not run, or never left the caller */
    uint32_t        others;   /**< all other ends */
    UT_hash_handle  hh;
} cw_request_facts_t;

typedef struct cw_event {
    cw_event_kind_t     kind;
    size_t              life; /**< index */
    cw_service_id_t     service;
    cw_key_hash_t       low; /**< of a request's event: the key hash, as is last */
    cw_key_hash_t       last;
    cw_fence_t          fence;
    int64_t             real_us;
    size_t              sequence;
    cw_request_facts_t *request; /**< NULL: event of ownership */
} cw_event_t;

typedef struct cw_answer {
    cw_request_facts_t *request;
    size_t              service; /**< index */
    int64_t             intended_us;
    int64_t             answered_us;
    cw_call_end_t       end;
    int                 status;
    bool                is_repeat;
    bool                is_foreign; /**< its body named another request */
} cw_answer_t;

typedef struct cw_service_name {
    char           *text; /**< "tenant/service" */
    cw_service_id_t id;
} cw_service_name_t;

typedef struct cw_records {
    cw_life_t          *lives;
    size_t              life_count;
    cw_event_t         *events;
    size_t              event_count;
    cw_answer_t        *answers;
    size_t              answer_count;
    cw_service_name_t  *services;
    size_t              service_count;
    cw_request_facts_t *requests;
    int64_t             end_us; /**< latest time in any record */
} cw_records_t;

typedef enum cw_violation_kind {
    CW_VIOLATION_TWO_OWNERS,
    CW_VIOLATION_NOT_OWNED,
    CW_VIOLATION_FENCE_DOWN,
    CW_VIOLATION_RAN_TWICE,
    CW_VIOLATION_NOT_RUN_RAN,
    CW_VIOLATION_ANSWERED_NOT_RUN,
    CW_VIOLATION_OTHER_KEY,
    CW_VIOLATION_FOREIGN_ANSWER,
    CW_VIOLATION_MALFORMED,
    CW_VIOLATION_KIND_COUNT
} cw_violation_kind_t;

enum {
    CW_VIOLATION_TEXT = 320,
    CW_VIOLATIONS_KEPT = 50 /**< with text; further ones are counted only */
};

typedef struct cw_violations {
    uint64_t counts[CW_VIOLATION_KIND_COUNT];
    uint64_t total;
    char     texts[CW_VIOLATIONS_KEPT][CW_VIOLATION_TEXT];
} cw_violations_t;

/* ---- violations.c ---- */
void cw_violation_add(cw_violations_t *violations, cw_violation_kind_t kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
const char *cw_violation_kind_text(cw_violation_kind_t kind);
void        cw_violations_print(const cw_violations_t *violations, FILE *stream);

/* ---- records.c ---- */
/** Adds a line of a server's record or of the load tool's. CW_ERROR_PARSE: malformed. */
int cw_records_add_event(cw_records_t *records, const char *line);
int cw_records_add_answer(cw_records_t *records, const char *line);
/** Reads a file; malformed lines become violations. CW_ERROR_IO: it cannot be read. */
int cw_records_read(cw_records_t *records, const char *file_name, bool is_load, cw_violations_t *violations);
/** Puts events and answers in the order of time. */
void cw_records_sort(cw_records_t *records);
void cw_records_clear(cw_records_t *records);

/* ---- checks, on sorted records ---- */
/** No key hash has two owners; every effect lies within its server's ownership under the same fence. */
void cw_check_ownership(const cw_records_t *records, cw_violations_t *violations);
/** Fences of a key's starts and effects never go down. */
void cw_check_fences(const cw_records_t *records, cw_violations_t *violations);
/** At most once for non-repeatable ids; not run means no effect; answered means an effect; own answers only. */
void cw_check_requests(cw_records_t *records, cw_violations_t *violations);

/* ---- summary.c ---- */
typedef struct cw_service_summary {
    uint64_t ends[CW_CALL_END_COUNT];
    uint64_t requests;
    uint64_t effects;
    int64_t  p50_us;
    int64_t  p99_us;
    int64_t  p999_us;
    double   imbalance;            /**< effects of the busiest owner over the mean of all owners; 0: no effects */
    uint64_t key_moves;            /**< changes of the server between successive effects of a key */
    int64_t  unavailable_us;       /**< sum over keys: from the first request that failed to the next answer */
    int64_t  unavailable_least_us; /**< the same to the last failure: a rare key's next request may come much later */
    int64_t  longest_gap_us;
    uint64_t keys_with_gap;
} cw_service_summary_t;

int  cw_summary_make(const cw_records_t *records, size_t service, cw_service_summary_t *summary);
void cw_summary_print(const cw_records_t *records, FILE *stream);
int  cw_summary_write_json(const cw_records_t *records, const cw_violations_t *violations, const char *file_name);

#endif
