/**
 * @file answer_faults.h
 * @brief Faults of a server's answers, as the platform's servers may have them: an answer is sent a second time in the
 * place of the next one, with or without the name of its request, answers are cut off at any byte, by a close or a
 * reset, or the page of another program comes in the place of an answer: the server never gets that request, or order.
 *
 * Stands between the callers and the server's own listener, and forwards bytes. An answer is forwarded once it is
 * whole, with a stated length, in chunks, or without a length, as drawn. One without a length is cut off by a reset
 * only, since its end by a close counts as the end of the answer.
 */
#ifndef CEDARWINCH_STANDINS_SERVER_ANSWER_FAULTS_H
#define CEDARWINCH_STANDINS_SERVER_ANSWER_FAULTS_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Kinds of faults. */
typedef enum answer_fault {
    ANSWER_FAULT_SECOND,  /**< the answer is sent a second time */
    ANSWER_FAULT_UNNAMED, /**< the same, without the name of its request */
    ANSWER_FAULT_CUT,     /**< the answer is cut off */
    ANSWER_FAULT_PAGE,    /**< a page of another program, with or without the name of the request */
    ANSWER_FAULT_ORDERS,  /**< the same in the place of the answer to a grant, renewal, release or probe */
    ANSWER_FAULT_DENY,    /**< the server turns the request away; drawn by the server */
    ANSWER_FAULTS
} answer_fault_t;

/** Called for each fault. id: of the request whose answer it is; empty: none. */
typedef void (*answer_fault_done_t)(void *context, answer_fault_t fault, const char *id);

/** The faults of one server. */
typedef struct answer_faults {
    uv_loop_t          *loop;
    uv_tcp_t            listener;
    struct sockaddr_in  server; /**< address of the server's own listener */
    double              shares[ANSWER_FAULTS];
    uint64_t            random;
    bool                is_used;
    answer_fault_done_t on_fault;
    void               *context;
} answer_faults_t;

/** Reads shares of 0 to 1 from "second=S,unnamed=S,cut=S,page=S,orders=S,deny=S"; parts may be left out. Returns false
 * if the text is not valid. */
bool answer_faults_init(answer_faults_t *faults, const char *text, uint64_t seed);
/** Draws whether this fault happens now. */
bool answer_faults_draw(answer_faults_t *faults, answer_fault_t fault);
/** Name of a fault in records. */
const char *answer_fault_name(answer_fault_t fault);
/** Listens, and forwards to the server's own listener at the same address. Sets `port`; returns 0 or a libuv error. */
int answer_faults_start(answer_faults_t *faults, uv_loop_t *loop, const char *address, uint16_t *port,
                        uint16_t server_port);

#endif
