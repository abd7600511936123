/**
 * @file journal.h
 * @brief Journal replica: remembers which non-repeatable requests were started under which epoch, so that none is
 *        started twice. A pure store of entries with seals; the forwarder drives it.
 *
 * An epoch is the effective fence of the range. A seal on an interval of key hashes refuses starts of lower epochs.
 */
#ifndef CEDARWINCH_JOURNAL_H
#define CEDARWINCH_JOURNAL_H

#include "cedarwinch/ports.h"

typedef struct cw_journal cw_journal_t;

enum { CW_JOURNAL_ANSWER_MAX = 4096 /**< bytes of headers and body; larger answers are not sent to replicas */ };

/** Bytes of a stored answer: its headers and body. */
size_t cw_journal_answer_size(Cw__Header *const *headers, size_t header_count, size_t body_length);

typedef struct cw_journal_options {
    cw_incarnation_t incarnation;
    int64_t          window_ms;   /**< entries are kept at least this long; older ids are answered unknown */
    size_t           entry_limit; /**< JOURNAL_FULL beyond it */
    size_t           body_limit;  /**< stored answers (headers and body) larger than this are kept as status only */
} cw_journal_options_t;

/** Copies the options and the ports. CW_ERROR_NO_MEMORY. */
int  cw_journal_create(cw_journal_t **journal, const cw_journal_options_t *options, const cw_ports_t *ports);
void cw_journal_free(cw_journal_t *journal);
/** Takes journal start, finish, seal and copy messages; answers with journal replies through send. */
void   cw_journal_receive(cw_journal_t *journal, const Cw__Envelope *envelope, cw_instant_t now);
void   cw_journal_tick(cw_journal_t *journal, cw_instant_t now);
size_t cw_journal_entry_count(const cw_journal_t *journal);

#endif
