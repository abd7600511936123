/**
 * @file event_names.h
 * @brief Table of all log events and fields. docs/OPERATIONS.md describes each of them; a test compares the two.
 */
#ifndef CEDARWINCH_BASE_EVENT_NAMES_H
#define CEDARWINCH_BASE_EVENT_NAMES_H

/* X(symbol, name in the log, level, limit of lines per second) */
#define CW_EVENT_TABLE(X)                                                                                              \
    X(START, "start", NOTICE, 10)                                                                                      \
    X(STOP, "stop", NOTICE, 10)                                                                                        \
    X(END, "end", NOTICE, 10)                                                                                          \
    X(TRAFFIC, "traffic", NOTICE, 10)                                                                                  \
    X(RELOAD, "reload", NOTICE, 10)                                                                                    \
    X(LINES_DROPPED, "lines dropped", WARNING, 10)                                                                     \
    X(ENTRIES_DROPPED, "entries dropped", WARNING, 1)                                                                  \
    X(FATAL_SIGNAL, "fatal signal", ERROR, 10)                                                                         \
    X(STORE_CALLS, "store calls", NOTICE, 1)                                                                           \
    X(STORE_LOST, "store lost", WARNING, 10)                                                                           \
    X(STORE_BACK, "store back", NOTICE, 10)                                                                            \
    X(STORE_RESTORED, "store restored", WARNING, 10)                                                                   \
    X(PEER_LOST, "peer lost", WARNING, 20)                                                                             \
    X(PEER_BACK, "peer back", NOTICE, 20)                                                                              \
    X(SUSPENDED, "suspended", WARNING, 10)                                                                             \
    X(LOOP_STALLED, "loop stalled", WARNING, 10)                                                                       \
    X(SUMMARY_LATE, "summary late", NOTICE, 10)                                                                        \
    X(DATAGRAM_TOO_LARGE, "datagram too large", WARNING, 10)                                                           \
    X(SERVER_LOST, "server lost", WARNING, 20)                                                                         \
    X(SERVER_CRASHED, "server crashed", WARNING, 20)                                                                   \
    X(SERVER_BACK, "server back", NOTICE, 20)                                                                          \
    X(PATHS_LOST, "server paths lost", WARNING, 10)                                                                    \
    X(PATHS_BACK, "server paths back", NOTICE, 10)                                                                     \
    X(SERVER_LIMIT, "server limit", NOTICE, 20)                                                                        \
    X(SERVER_LEAVING, "server leaving", NOTICE, 20)                                                                    \
    X(SERVER_RESTS, "server rests", NOTICE, 20)                                                                        \
    X(SERVER_SIGNAL_MALFORMED, "malformed server signal", WARNING, 10)                                                 \
    X(LEADER_TAKEN, "leadership taken", NOTICE, 10)                                                                    \
    X(LEADER_LOST, "leadership lost", WARNING, 10)                                                                     \
    X(LEADER_SEEN, "leader seen", NOTICE, 10)                                                                          \
    X(LEADER_SILENT, "leader silent", WARNING, 10)                                                                     \
    X(CONFIGURATION_ACCEPTED, "configuration accepted", NOTICE, 50)                                                    \
    X(CONFIGURATION_OVERDUE, "configuration overdue", NOTICE, 10)                                                      \
    X(CONFIGURATION_REFUSED, "configuration refused", ERROR, 20)                                                       \
    X(KEYS_STALE, "keys stale", WARNING, 10)                                                                           \
    X(KEYS_CONFIRMED, "keys confirmed", NOTICE, 10)                                                                    \
    X(WATCH_BEGUN, "watch begun", INFO, 10)                                                                            \
    X(WATCH_FAILED, "watch failed", WARNING, 10)                                                                       \
    X(STORE_BODY_MALFORMED, "malformed store body", WARNING, 20)                                                       \
    X(LISTING_GAP, "unnamed entry", WARNING, 10)                                                                       \
    X(READER, "store reader", NOTICE, 10)                                                                              \
    X(SERVERS_CHANGED, "servers changed", NOTICE, 20)                                                                  \
    X(SERVERS_KEPT, "servers kept", WARNING, 20)                                                                       \
    X(SERVERS_OLDER, "servers older", NOTICE, 10)                                                                      \
    X(LIST_OLD, "list too old", WARNING, 10)                                                                           \
    X(LIST_RENEWED, "list renewed", NOTICE, 10)                                                                        \
    X(LIST_REQUESTED, "list requested", INFO, 20)                                                                      \
    X(LIST_FROM_ZONE, "list from zone", NOTICE, 10)                                                                    \
    X(ZONE_OUT, "zone out of service", WARNING, 20)                                                                    \
    X(ZONE_BACK, "zone back in service", NOTICE, 20)                                                                   \
    X(VIEW_TAKEN, "view taken", INFO, 20)                                                                              \
    X(VIEW_UNEQUAL, "view unequal", WARNING, 10)                                                                       \
    X(VIEW_EXPIRED, "view expired", WARNING, 10)                                                                       \
    X(ASSIGNMENT, "assignment", NOTICE, 100)                                                                           \
    X(ORDER_UNANSWERED, "order unanswered", NOTICE, 100)                                                               \
    X(PLAN_WRITTEN, "plan written", NOTICE, 20)                                                                        \
    X(LIMIT_MODE, "limit mode", NOTICE, 20)                                                                            \
    X(REQUEST_SERVED, "served", INFO, 200)                                                                             \
    X(REQUEST_RETRIED, "retried", NOTICE, 100)                                                                         \
    X(REQUEST_DELEGATED, "delegated", INFO, 100)                                                                       \
    X(DELEGATION_DECLINED, "delegation declined", NOTICE, 20)                                                          \
    X(REQUEST_REFUSED, "refused", NOTICE, 100)                                                                         \
    X(REQUEST_FAILED, "failed", NOTICE, 100)                                                                           \
    X(ORDER_ANSWER_NOT_ACCEPTED, "order answer not accepted", WARNING, 20)                                             \
    X(ANSWER_DISCARDED, "answer discarded", NOTICE, 20)                                                                \
    X(REQUEST_GONE, "caller left", INFO, 50)                                                                           \
    X(ANSWER_WAITED, "answer waited", INFO, 50)                                                                        \
    X(ANSWER_CUT, "answer cut", NOTICE, 20)                                                                            \
    X(REQUESTS_DROPPED, "requests dropped", NOTICE, 10)                                                                \
    X(MESSAGE_UNSENT, "message not sent", WARNING, 5)

/* X(symbol, name in the log) */
#define CW_EVENT_FIELD_TABLE(X)                                                                                        \
    X(REQUEST, "request")                                                                                              \
    X(ROUTE, "route")                                                                                                  \
    X(SERVICE, "service")                                                                                              \
    X(TENANT, "tenant")                                                                                                \
    X(SERVER, "server")                                                                                                \
    X(CONFIGURATION, "configuration")                                                                                  \
    X(STATUS, "status")                                                                                                \
    X(REASON, "reason")                                                                                                \
    X(KEY, "key")                                                                                                      \
    X(FENCE, "fence")                                                                                                  \
    X(LOW, "low")                                                                                                      \
    X(LAST, "last")                                                                                                    \
    X(FORMER, "former")                                                                                                \
    X(FORMER_LEFT_MS, "former_left_ms")                                                                                \
    X(ANSWERED_MS, "answered_ms")                                                                                      \
    X(OPEN_ORDERS, "open_orders")                                                                                      \
    X(FORMER_ANSWERED_MS, "former_answered_ms")                                                                        \
    X(FORMER_OPEN_ORDERS, "former_open_orders")                                                                        \
    X(ORDER, "order")                                                                                                  \
    X(RECORD, "record")                                                                                                \
    X(LIST, "list")                                                                                                    \
    X(TERM, "term")                                                                                                    \
    X(VIEW, "view")                                                                                                    \
    X(VIEW_AGE_MS, "view_age_ms")                                                                                      \
    X(ATTEMPT, "attempt")                                                                                              \
    X(QUEUE_MS, "queue_ms")                                                                                            \
    X(SERVER_MS, "server_ms")                                                                                          \
    X(TOTAL_MS, "total_ms")                                                                                            \
    X(AIM_MS, "aim_ms")                                                                                                \
    X(LEFT_MS, "left_ms")                                                                                              \
    X(ESTIMATE_MS, "estimate_ms")                                                                                      \
    X(RETRY_AFTER_MS, "retry_after_ms")                                                                                \
    X(BUDGET, "budget")                                                                                                \
    X(UNDER_WAY, "under_way")                                                                                          \
    X(QUEUED, "queued")                                                                                                \
    X(WAITED_MS, "waited_ms")                                                                                          \
    X(WAITED_FOR, "waited_for")                                                                                        \
    X(SUSPENDED_MS, "suspended_ms")                                                                                    \
    X(STALLED_MS, "stalled_ms")                                                                                        \
    X(EVIDENCE_MS, "evidence_ms")                                                                                      \
    X(SILENT_MS, "silent_ms")                                                                                          \
    X(ZONE, "zone")                                                                                                    \
    X(BY_NODE, "by_node")                                                                                              \
    X(FOR_NODE, "for_node")                                                                                            \
    X(PEER, "peer")                                                                                                    \
    X(LEADER, "leader")                                                                                                \
    X(COUNT, "count")                                                                                                  \
    X(MOST, "most")                                                                                                    \
    X(ADDED, "added")                                                                                                  \
    X(REMOVED, "removed")                                                                                              \
    X(CHANGED, "changed")                                                                                              \
    X(VERSION, "version")                                                                                              \
    X(REVISION, "revision")                                                                                            \
    X(EPOCH, "epoch")                                                                                                  \
    X(IN_FORCE, "in_force")                                                                                            \
    X(SIGNAL, "signal")                                                                                                \
    X(SENDER, "sender")                                                                                                \
    X(ADDRESS, "address")                                                                                              \
    X(BUILD, "build")                                                                                                  \
    X(LOAD_ADDRESS, "load_address")                                                                                    \
    X(TRACE, "trace")                                                                                                  \
    X(SENT_ZONE, "sent_zone")                                                                                          \
    X(SENT_REGION, "sent_region")                                                                                      \
    X(SENT_REMOTE, "sent_remote")                                                                                      \
    X(LIMIT_MODE, "limit_mode")                                                                                        \
    X(LIMIT_PER_S, "limit_per_s")                                                                                      \
    X(LIMIT_AGE_MS, "limit_age_ms")                                                                                    \
    X(NODES, "nodes")                                                                                                  \
    X(IN_REACH, "in_reach")                                                                                            \
    X(DIGEST, "digest")                                                                                                \
    X(READS, "reads")                                                                                                  \
    X(WRITES, "writes")                                                                                                \
    X(COPIES, "copies")                                                                                                \
    X(WATCHES, "watches")                                                                                              \
    X(LIST_PAGES, "list_pages")                                                                                        \
    X(LIST_CHANGES, "list_changes")                                                                                    \
    X(LIST_UNCHANGED, "list_unchanged")                                                                                \
    X(LIST_AGE_MS, "list_age_ms")                                                                                      \
    X(LIST_SOURCE, "list_source")                                                                                      \
    X(LIST_FROM, "list_from")                                                                                          \
    X(CONNECTION, "connection")                                                                                        \
    X(EVIDENCE, "evidence")                                                                                            \
    X(LEAVING_LEFT_MS, "leaving_left_ms")                                                                              \
    X(DETAIL, "detail")

#define CW_EVENT_SYMBOL(symbol, name, level, limit) CW_EVENT_##symbol,
/** Events, in the order of the table. */
typedef enum cw_event_kind { CW_EVENT_TABLE(CW_EVENT_SYMBOL) CW_EVENT_KINDS } cw_event_kind_t;
#undef CW_EVENT_SYMBOL

#define CW_FIELD_SYMBOL(symbol, name) CW_FIELD_##symbol,
/** Fields of events, in the order of the table. */
typedef enum cw_event_field { CW_EVENT_FIELD_TABLE(CW_FIELD_SYMBOL) CW_EVENT_FIELDS } cw_event_field_t;
#undef CW_FIELD_SYMBOL

#endif
