/**
 * @file nodes.h
 * @brief Which node each request was sent to, and when nodes were in trouble.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_NODES_H
#define CEDARWINCH_STANDINS_VERDICT_NODES_H

#include "records.h"

/** Collects them from all records, which are sorted. */
void nodes_collect(const records_t *records);
/** Node that a caller sent the request of this id to; NULL: not known. */
const char *nodes_of_request(const char *id);
/** When the caller sent it; 0: not known. */
uint64_t nodes_request_sent(const char *id);
/** Was the node restarted or frozen at any time between? */
bool nodes_restarted_between(const char *node, uint64_t from, uint64_t until);
/** Was it restarted, frozen or cut off, or have less than so many nanoseconds passed since? */
bool nodes_in_trouble(const char *node, uint64_t at, uint64_t settle_ns);

#endif
