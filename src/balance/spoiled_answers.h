/**
 * @file spoiled_answers.h
 * @brief Servers that spoil each of their answers: bytes that are no answer, answers that break off or have no end.
 *
 * Such a server has a connection and sends bytes, so it does not count as failed by that alone, and a single spoiled
 * answer now and then is no reason to avoid it. Rules:
 *  - A server that has spoiled CW_SPOILED_MAX answers in a row, without a whole one between them, is avoided as one
 * that failed repeatedly (cw_server_is_suspect): for a growing time, and then it gets one request at a time. A whole
 *    answer ends that.
 *  - If no other server of the service is sound, none is avoided for this reason: the requests would only gather at
 *    the last one, or be refused.
 *  - The owner of a key gets the requests for that key all the same, since no other server can run them. The leader
 *    gives no further keys to a server that is avoided, and leaves it those that it has: it answers the leader's
 * orders.
 *
 * Where a broker granted the slot of the request, it counts for all nodes (slot_broker.h), otherwise each node for
 * itself; nodes report the servers that they avoid.
 */
#ifndef CEDARWINCH_BALANCE_SPOILED_ANSWERS_H
#define CEDARWINCH_BALANCE_SPOILED_ANSWERS_H

#include <stdbool.h>

#include "balance/server_pool.h"

enum {
    /** Spoiled answers in a row after which a server is avoided. One that spoils 2 answers in 100 by chance spoils as
     * many in a row once in 300 million answers. */
    CW_SPOILED_MAX = 5
};

/** True if the server has spoiled too many answers in a row. */
bool cw_server_spoils_answers(const cw_server_t *server);
/** The server has spoiled an answer. Returns true if it is avoided from now on, and was not before. */
bool cw_server_pool_record_spoiled(cw_server_pool_t *pool, cw_server_t *server, cw_time_us_t now);

#endif
