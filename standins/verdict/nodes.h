/**
 * @file nodes.h
 * @brief Finds the node that a request was sent to and the one that sent it to a server, and the times at which nodes
 * were in trouble.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_NODES_H
#define CEDARWINCH_STANDINS_VERDICT_NODES_H

#include "records.h"

/** Collects destinations of requests and troubles of nodes from all records, which must be sorted. */
void nodes_collect(const records_t *records);
/** Name of the node that a caller sent the request of this id to; NULL: not known. */
const char *nodes_of_request(const char *id);
/** Name of the node that sent the request to a server which got it at this time: the one that the caller sent it to, or
 * the one that it had been passed to last. Logs have milliseconds: an arrival within the one in which the request was
 * passed counts as sent by the node that took it. NULL: not known. */
const char *nodes_sender_of(const char *id, uint64_t at);
/** Time at which the caller sent the request, in ns; 0: not known. */
uint64_t nodes_request_sent(const char *id);
/** Whether the node was restarted or frozen at any time between the two times. */
bool nodes_restarted_between(const char *node, uint64_t from, uint64_t until);
/** Whether the node was restarted, frozen or cut off at this time or at most settle_ns before it. */
bool nodes_in_trouble(const char *node, uint64_t at, uint64_t settle_ns);

#endif
