/**
 * @file metrics.h
 * @brief Counters, gauges and latency histograms of this process, as Prometheus text. Two tables define all of them.
 */
#ifndef CEDARWINCH_BASE_METRICS_H
#define CEDARWINCH_BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "base/byte_buffer.h"
#include "base/time.h"

/* X(symbol, name, type, help). Metrics that show a node's state come first: collectors may truncate a long text. */
#define CW_METRIC_TABLE(X)                                                                                             \
    X(LEADING, "cedarwinch_leading", "gauge", "1 while this node leads with authority")                                \
    X(CONFIGURATION, "cedarwinch_configuration_version", "gauge", "configuration in force")                            \
    X(CONFIGURATION_AGE_MS, "cedarwinch_configuration_age_milliseconds", "gauge",                                      \
      "time since the configuration in force was surely the newest one")                                               \
    X(PATHS_LOST, "cedarwinch_server_paths_lost", "gauge", "services of which this node reaches no server")            \
    X(REACHED_AGE_MS, "cedarwinch_server_reached_age_milliseconds", "gauge",                                           \
      "time since anything last came from a server")                                                                   \
    X(SERVERS_AVOIDED, "cedarwinch_servers_avoided", "gauge",                                                          \
      "servers avoided now because of faults, of this node or reported by others")                                     \
    X(OWN_IN_FLIGHT, "cedarwinch_own_in_flight", "gauge", "requests of this node in flight at servers")                \
    X(OTHERS_IN_FLIGHT, "cedarwinch_others_in_flight", "gauge", "the same of other nodes, as they reported")           \
    X(SLOTS_GRANTED, "cedarwinch_slots_granted", "gauge",                                                              \
      "slots that this node, as a broker, granted and has not back")                                                   \
    X(PATH_PROBES, "cedarwinch_server_path_probes_total", "counter",                                                   \
      "connections opened to find out whether servers are reached")                                                    \
    X(READER, "cedarwinch_store_reader", "gauge", "1 while this node reads the store for its zone")                    \
    X(WATCHES_FAILED, "cedarwinch_configuration_watches_failed_total", "counter",                                      \
      "watches of the configuration that were refused, broke or got no answer")                                        \
    X(REQUESTS, "cedarwinch_requests_total", "counter", "requests read from callers")                                  \
    X(SERVED, "cedarwinch_served_total", "counter", "answers of servers passed on")                                    \
    X(REFUSED_LOAD, "cedarwinch_refused_load_total", "counter", "refused: no slot in time")                            \
    X(REFUSED_OWNER, "cedarwinch_refused_owner_total", "counter", "refused: the key's owner is not known or moving")   \
    X(REFUSED_SERVERS, "cedarwinch_refused_servers_total", "counter", "refused: the service has no server")            \
    X(REFUSED_LIST, "cedarwinch_refused_list_total", "counter",                                                        \
      "refused: the list of servers was too old, and was not renewed in time")                                         \
    X(REFUSED_REGIONS, "cedarwinch_refused_regions_total", "counter",                                                  \
      "refused: the key's owner lies outside the regions of the request's route and tenant")                           \
    X(REFUSED_STOPPING, "cedarwinch_refused_stopping_total", "counter",                                                \
      "refused: this node stops before they may end")                                                                  \
    X(REFUSED_UNREADY, "cedarwinch_refused_unready_total", "counter", "refused: no configuration yet")                 \
    X(REFUSED_TENANT, "cedarwinch_refused_tenant_total", "counter", "refused: the tenant's limits")                    \
    X(REFUSED_LIMIT, "cedarwinch_refused_limit_total", "counter", "of them, the tenant's rate")                        \
    X(LIMIT_ASKS, "cedarwinch_limit_asks_total", "counter", "tokens' asks sent, and sent again")                       \
    X(LIMIT_REPORTS, "cedarwinch_limit_reports_total", "counter", "reports to nodes that count for tenants")           \
    X(LIMIT_RETURNED, "cedarwinch_limit_tokens_returned_total", "counter", "tokens that were not used")                \
    X(LIMIT_MODES, "cedarwinch_limit_mode_changes_total", "counter",                                                   \
      "times a tenant became free, metered or alone on this node")                                                     \
    X(LIMIT_ALONE, "cedarwinch_limit_alone_total", "counter", "of them, alone: the counting node did not reply")       \
    X(LIMIT_UNSENT, "cedarwinch_limit_messages_unsent_total", "counter",                                               \
      "messages about limits that were not sent: no such peer, or too long")                                           \
    X(LIMIT_REDIRECTS, "cedarwinch_limit_redirects_total", "counter", "tenants for which another node was named")      \
    X(DETOURS, "cedarwinch_detours", "gauge", "nodes that are reached by way of another one")                          \
    X(DETOURS_TAKEN, "cedarwinch_detours_taken_total", "counter", "datagrams sent by way of another node")             \
    X(LIMIT_TENANTS, "cedarwinch_limit_tenants", "gauge", "tenants of which this node counts its own requests")        \
    X(LIMIT_BUCKETS, "cedarwinch_limit_buckets", "gauge", "tenants for which this node counts for all")                \
    X(REFUSED_KEYS_STALE, "cedarwinch_refused_keys_stale_total", "counter",                                            \
      "refused: a key may have been taken away, and there is no late enough evidence that none was")                   \
    X(REFUSED_KEY_MOVED, "cedarwinch_refused_key_moved_total", "counter",                                              \
      "refused: the caller's key became another tenant's while the request waited")                                    \
    X(REFUSED_UNREAD, "cedarwinch_refused_unread_total", "counter",                                                    \
      "refused: the body was not read, and a later version has the caller's key")                                      \
    X(REJECTED_NO_KEY, "cedarwinch_rejected_no_key_total", "counter", "401: no key")                                   \
    X(REJECTED_MALFORMED, "cedarwinch_rejected_malformed_total", "counter",                                            \
      "401: malformed or doubled credentials, or another scheme")                                                      \
    X(REJECTED_UNKNOWN_KEY, "cedarwinch_rejected_unknown_key_total", "counter", "401: unknown key")                    \
    X(REJECTED_OTHER_TENANT, "cedarwinch_rejected_other_tenant_total", "counter",                                      \
      "401: the route is another tenant's")                                                                            \
    X(REJECTED_REVOKED, "cedarwinch_rejected_revoked_total", "counter",                                                \
      "401: the key was taken away while the request waited")                                                          \
    X(NOT_FOUND, "cedarwinch_not_found_total", "counter", "no route for host and path")                                \
    X(FAILED_UNKNOWN, "cedarwinch_failed_unknown_total", "counter", "502: sent, and the answer was broken or lost")    \
    X(FAILED_LATE, "cedarwinch_failed_late_total", "counter", "504: no answer within the time limit")                  \
    X(CALLERS_LEFT, "cedarwinch_callers_left_total", "counter", "callers that left before their answer")               \
    X(PIPELINED, "cedarwinch_pipelined_total", "counter",                                                              \
      "requests handed over while an earlier one of their connection had no answer written")                           \
    X(ANSWERS_WAITED, "cedarwinch_answers_waited_total", "counter",                                                    \
      "answers that waited for an earlier one of their connection")                                                    \
    X(ANSWERS_CUT, "cedarwinch_answers_cut_total", "counter", "answers cut short: their callers did not read them")    \
    X(REQUESTS_DROPPED, "cedarwinch_requests_dropped_total", "counter",                                                \
      "requests that were read and not handed over before their connection ended")                                     \
    X(READING_STOPPED, "cedarwinch_reading_stopped_total", "counter",                                                  \
      "times a connection was not read on: its pipeline was full, or a body waited for memory")                        \
    X(BODIES_WAITED, "cedarwinch_bodies_waited_total", "counter", "bodies that waited for memory")                     \
    X(REFUSED_BODIES, "cedarwinch_refused_bodies_total", "counter", "refused: no memory for the body in time")         \
    X(BODIES_UNREAD, "cedarwinch_bodies_unread_total", "counter",                                                      \
      "requests rejected by their head: their bodies were not read")                                                   \
    X(BODY_BYTES, "cedarwinch_body_bytes", "gauge", "bytes reserved for callers' bodies")                              \
    X(ANSWER_BYTES, "cedarwinch_answer_bytes", "gauge", "bytes reserved for answers that are being read")              \
    X(SENT, "cedarwinch_sent_total", "counter", "requests sent to servers")                                            \
    X(RETRIES, "cedarwinch_retries_total", "counter", "requests sent once more")                                       \
    X(ORDER_ANSWERS_NOT_ACCEPTED, "cedarwinch_order_answers_not_accepted_total", "counter",                            \
      "answers to orders without what the server's own answer carries")                                                \
    X(ANSWERS_DISCARDED, "cedarwinch_answers_discarded_total", "counter", "answers of servers to other requests")      \
    X(RETRIES_DENIED, "cedarwinch_retries_denied_total", "counter", "retries that the budget did not allow")           \
    X(NOT_RUN, "cedarwinch_server_not_run_total", "counter", "servers that said they did not run a request")           \
    X(BROKEN, "cedarwinch_server_broken_total", "counter", "answers that broke off, were reset or were no answer")     \
    X(SIGNALS_MALFORMED, "cedarwinch_server_signals_malformed_total", "counter",                                       \
      "answers with a field of the server about itself that could not be decoded")                                     \
    X(SERVER_LIMIT_CHANGES, "cedarwinch_server_limit_changes_total", "counter",                                        \
      "rate limits of servers that began, changed or ended, as this node came to know them")                           \
    X(SERVERS_LEAVING, "cedarwinch_servers_leaving_total", "counter",                                                  \
      "servers that said in an answer, to this node or another one, that they leave")                                  \
    X(SERVER_RESTS, "cedarwinch_server_rests_total", "counter",                                                        \
      "rests that servers asked this node for when they turned it away")                                               \
    X(SENT_RESTING, "cedarwinch_sent_resting_total", "counter",                                                        \
      "of the requests sent, those to servers that had asked this node for a rest")                                    \
    X(SENT_LEAVING, "cedarwinch_sent_leaving_total", "counter",                                                        \
      "of the requests sent, those to servers that had said that they leave")                                          \
    X(LIST_AGE_MS, "cedarwinch_list_age_milliseconds", "gauge",                                                        \
      "time since the list of servers in force was surely valid")                                                      \
    X(SENT_LIMITED, "cedarwinch_sent_limited_total", "counter",                                                        \
      "of the requests sent, those to servers with a rate limit")                                                      \
    X(UNREACHED, "cedarwinch_server_unreached_total", "counter", "servers to which no connection could be made")       \
    X(CONNECTIONS_OPENED, "cedarwinch_server_connections_total", "counter", "connections opened to servers")           \
    X(STORE_READS, "cedarwinch_store_reads_total", "counter", "reading calls to the store")                            \
    X(STORE_WRITES, "cedarwinch_store_writes_total", "counter", "writing calls to the store")                          \
    X(STORE_WATCHES, "cedarwinch_store_watches_total", "counter", "of them, watches of the configuration")             \
    X(LIST_PAGES, "cedarwinch_list_pages_total", "counter", "of them, pages of whole lists of servers")                \
    X(LISTING_GAPS, "cedarwinch_listing_gaps_total", "counter",                                                        \
      "searches for a place to continue a listing behind an entry without a name")                                     \
    X(LIST_UNCHANGED, "cedarwinch_list_unchanged_total", "counter", "of them, for changes of the list, without any")   \
    X(LIST_CHANGES, "cedarwinch_list_changes_total", "counter",                                                        \
      "times the list was brought up to date by its changes")                                                          \
    X(LIST_REQUESTS, "cedarwinch_list_requests_total", "counter",                                                      \
      "requests sent to nodes of the zone for pages of the whole list")                                                \
    X(LIST_PAGES_SERVED, "cedarwinch_list_pages_served_total", "counter",                                              \
      "pages of whole lists sent to nodes that asked for them")                                                        \
    X(LIST_REDIRECTS, "cedarwinch_list_redirects_total", "counter",                                                    \
      "nodes that asked for the list and were given the address of another one")                                       \
    X(LIST_FROM_ZONE, "cedarwinch_list_from_zone_total", "counter", "whole lists that came from a node of the zone")   \
    X(STORE_COPIES, "cedarwinch_store_copy_reads_total", "counter", "reading calls answered from a copy, cheaper")     \
    X(STORE_FAILURES, "cedarwinch_store_failures_total", "counter", "calls to the store refused or without an answer") \
    X(STORE_EPOCH, "cedarwinch_store_epoch", "gauge", "latest epoch that the store stated; rises when it is restored") \
    X(STORE_RESTORES, "cedarwinch_store_restores_total", "counter",                                                    \
      "times this node saw the store come back from a copy, with an earlier state")                                    \
    X(STORE_BODIES_MALFORMED, "cedarwinch_store_bodies_malformed_total", "counter",                                    \
      "answers of the store, or entries in them, with a field missing or of another type")                             \
    X(STORE_BODIES_BROKEN, "cedarwinch_store_bodies_broken_total", "counter",                                          \
      "answers of the store in which bytes of an entry break the structure around it")                                 \
    X(GRANTS, "cedarwinch_grants_total", "counter", "grants and renewals sent")                                        \
    X(RELEASES, "cedarwinch_releases_total", "counter", "releases sent")                                               \
    X(ORDER_PROBES, "cedarwinch_order_probes_total", "counter",                                                        \
      "orders without keys sent to see whether a server carries out orders")                                           \
    X(ORDERS_FAILED, "cedarwinch_orders_failed_total", "counter", "grants and releases without a good answer")         \
    X(ORDERS_UNANSWERED, "cedarwinch_orders_unanswered_total", "counter", "orders to servers that got no answer")      \
    X(ORDERS_OPEN, "cedarwinch_orders_open", "gauge",                                                                  \
      "orders without an answer that servers may still carry out, while this node leads")                              \
    X(SERVERS_UNANSWERING, "cedarwinch_servers_unanswering", "gauge",                                                  \
      "servers whose last order got no answer, while this node leads")                                                 \
    X(MOVES, "cedarwinch_moves_total", "counter", "changes of ranges planned by this node")                            \
    X(MOVED_KEYS, "cedarwinch_moved_keys_total", "counter", "keys whose owner changed, while this node led")           \
    X(MOVED_COLD_KEYS, "cedarwinch_moved_cold_keys_total", "counter", "of them without a handover")                    \
    X(MOVED_LOAD_PPM, "cedarwinch_moved_load_ppm_total", "counter", "load on moved keys, millionths of all load")      \
    X(UNAVAILABLE_KEY_MS, "cedarwinch_unavailable_key_milliseconds_total", "counter",                                  \
      "keys times milliseconds without an owner that can be reached, while this node led")                             \
    X(UNAVAILABLE_LONGEST_MS, "cedarwinch_unavailable_longest_milliseconds", "gauge", "longest such time of a key")    \
    X(IMBALANCE_WEIGHTED_MS, "cedarwinch_imbalance_weighted_milliseconds_total", "counter",                            \
      "load of the busiest owner over the mean of owners, times milliseconds")                                         \
    X(IMBALANCE_MS, "cedarwinch_imbalance_milliseconds_total", "counter", "over so many milliseconds")                 \
    X(SLOT_BROKERS_SILENT, "cedarwinch_slot_brokers_silent_total", "counter", "asks for a slot that got no reply")     \
    X(ENTRIES_DROPPED, "cedarwinch_entries_dropped_total", "counter",                                                  \
      "entries left out because an array of fixed size was full, counted at each look")                                \
    X(SUSPENDED_MS, "cedarwinch_suspended_milliseconds_total", "counter", "time for which the machine was suspended")  \
    X(LOOP_STALLED_MS, "cedarwinch_loop_stalled_milliseconds_total", "counter",                                        \
      "time for which the process did not look at its sockets")                                                        \
    X(REFUSED_CRASHES, "cedarwinch_refused_crashes_total", "counter", "refused: the request crashes servers")          \
    X(REFUSED_SERVER_LIMIT, "cedarwinch_refused_server_limit_total", "counter",                                        \
      "refused: beyond the rate limit of its server, or of all servers that would do")                                 \
    X(REFUSED_REST, "cedarwinch_refused_rest_total", "counter",                                                        \
      "refused: its server, or all servers that would do, had asked this node for rest")                               \
    X(DELEGATIONS, "cedarwinch_delegations_total", "counter", "requests passed to another node")                       \
    X(DELEGATIONS_DECLINED, "cedarwinch_delegations_declined_total", "counter",                                        \
      "of them, those that the other node did not take, or that did not reach it")                                     \
    X(DELEGATIONS_REFUSED, "cedarwinch_delegations_refused_total", "counter",                                          \
      "of them, refused by the node that took them")                                                                   \
    X(DELEGATED, "cedarwinch_delegated_total", "counter", "requests taken from other nodes")                           \
    X(DELEGATED_SERVED, "cedarwinch_delegated_served_total", "counter", "of them, answered by a server")               \
    X(DELEGATED_REFUSED, "cedarwinch_delegated_refused_total", "counter", "of them, refused")                          \
    X(DELEGATED_FAILED, "cedarwinch_delegated_failed_total", "counter", "of them, 502 or 504")                         \
    X(REFUSED_PATHS, "cedarwinch_refused_paths_total", "counter", "refused: this node reaches no server")              \
    X(SERVERS_CRASHED, "cedarwinch_servers_crashed_total", "counter",                                                  \
      "servers that this node saw end with a request under way")                                                       \
    X(CRASH_SUSPECTS, "cedarwinch_crash_suspects", "gauge", "requests remembered that were under way at crashes")      \
    X(LOSSES_DROPPED, "cedarwinch_losses_dropped_total", "counter",                                                    \
      "losses of servers, or reports of them, beyond what is remembered")                                              \
    X(PAGES_NOT_FORWARDED, "cedarwinch_pages_not_passed_on_total", "counter",                                          \
      "pages of the leader that this relay dropped, since too many updates waited")                                    \
    X(LOG_DROPPED, "cedarwinch_log_lines_dropped", "gauge", "log lines not written")                                   \
    X(SERVERS, "cedarwinch_servers", "gauge", "servers listed")                                                        \
    X(ZONES_OUT, "cedarwinch_zones_out_of_service", "gauge", "zones that operators have taken out of service")         \
    X(PEERS, "cedarwinch_peers", "gauge", "nodes received from lately")                                                \
    X(CONNECTIONS, "cedarwinch_connections", "gauge", "callers' connections")                                          \
    X(QUEUED, "cedarwinch_queued", "gauge", "requests waiting for a slot")                                             \
    X(MEMORY, "cedarwinch_memory_bytes", "gauge", "resident memory")

/* X(symbol, name, help). All histograms are in seconds. */
#define CW_HISTOGRAM_TABLE(X)                                                                                          \
    X(QUEUE, "cedarwinch_queue_seconds", "time from a request's arrival to its sending")                               \
    X(SERVER, "cedarwinch_server_seconds", "time from sending to the whole answer")                                    \
    X(TOTAL, "cedarwinch_total_seconds", "time from a request's arrival to its answer")                                \
    X(TURN, "cedarwinch_turn_seconds", "time that answers waited for an earlier one of their connection")              \
    X(LIST_AGE, "cedarwinch_sent_list_age_seconds", "age of the list of servers by which a request was sent")

#define CW_METRIC_SYMBOL(symbol, name, type, help) CW_METRIC_##symbol,
/** Counters and gauges, in the order of the table. */
typedef enum cw_metric { CW_METRIC_TABLE(CW_METRIC_SYMBOL) CW_METRICS } cw_metric_t;
#undef CW_METRIC_SYMBOL

#define CW_HISTOGRAM_SYMBOL(symbol, name, help) CW_HISTOGRAM_##symbol,
/** Histograms, in the order of the table. */
typedef enum cw_histogram { CW_HISTOGRAM_TABLE(CW_HISTOGRAM_SYMBOL) CW_HISTOGRAMS } cw_histogram_t;
#undef CW_HISTOGRAM_SYMBOL

/** Adds to a counter. */
void cw_metric_add(cw_metric_t metric, uint64_t amount);
/** Sets a gauge. */
void cw_metric_set(cw_metric_t metric, uint64_t value);
/** Current value of a counter or a gauge. */
uint64_t cw_metric_value(cw_metric_t metric);
/** Adds one latency of a route to a histogram. The first 31 routes have histograms of their own; all others share one,
 * "other". */
void cw_histogram_add(cw_histogram_t histogram, const char *route, cw_time_us_t value);
/** Appends all metrics except those by tenant as Prometheus text. */
void cw_metrics_append(cw_bytes_t *text);
/** All metrics as Prometheus text; the caller frees it with free(). */
char *cw_metrics_text(size_t *length);
/** Resets all metrics; for tests. */
void cw_metrics_reset(void);

#endif
