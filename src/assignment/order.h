/**
 * @file order.h
 * @brief Orders of a leader to servers: grants, renewals and releases of keys, and their results.
 */
#ifndef CEDARWINCH_ASSIGNMENT_ORDER_H
#define CEDARWINCH_ASSIGNMENT_ORDER_H

#include "assignment/range.h"

enum {
    /** Timeout of a grant or probe. What its sender's kernel could not deliver by then is not sent any more, also if
     * the sender has ended: its holds are counted from then by the next leader, too. */
    CW_ORDER_TIMEOUT_MS = 350
};

/** Kind of an order to a server. */
typedef enum cw_order_kind {
    CW_ORDER_GRANT,
    CW_ORDER_RELEASE,
    /** Covers no keys and changes nothing, however late it is carried out. Its answer shows that the server carries out
     * orders now. */
    CW_ORDER_PROBE
} cw_order_kind_t;

/** Result of an order. */
typedef enum cw_order_result {
    CW_ORDER_DONE,
    CW_ORDER_FENCED, /**< not done: the server has seen a higher fence for one of the keys */
    /** Not done: another incarnation answers at the address, so the addressed one has ended. */
    CW_ORDER_OTHER_INCARNATION,
    CW_ORDER_REFUSED,   /**< not done: any other answer */
    CW_ORDER_NOT_SENT,  /**< certainly no byte of the order was sent */
    CW_ORDER_WITHDRAWN, /**< the same, since the leader had no authority any more when its connection was open */
    /** Certainly not sent: no connection meets `connected_by`, so another incarnation may be at the address. */
    CW_ORDER_OTHER_CONNECTION,
    CW_ORDER_UNANSWERED /**< the server may have carried out the order, or may do so seconds later */
} cw_order_result_t;

/** An order to a server about a range of keys. */
typedef struct cw_order {
    uint64_t        id;
    cw_order_kind_t kind;
    char            server[CW_SERVER_ID_MAX]; /**< id of the addressed incarnation */
    char            address[CW_SERVER_ADDRESS_MAX];
    uint32_t        low;
    uint32_t        last;
    uint64_t        fence;
    cw_time_us_t    hold;
    char            handover[CW_HANDOVER_MAX];
    bool            is_to_unanswering; /**< its server had not answered the order before */
    bool            fresh;     /**< a new connection must be used, since recent orders about the range have failed */
    cw_time_us_t connected_by; /**< only a connection opened by then may be used, so that the order reaches the process
                                  that confirmed an order sent at that time; 0: any connection */
    cw_time_us_t timeout;
    cw_time_us_t sent_at;           /**< when it was decided, from which its hold is counted */
    cw_time_us_t leave_by;          /**< it is withdrawn if its first byte cannot leave by then */
    cw_time_us_t left_at;           /**< when its first byte left; until then, when it was passed to the port */
    cw_time_us_t hold_until_before; /**< end of the owner's hold if this order is not sent */
} cw_order_t;

/** Time at which a hold has ended by any server's clock whose grant was carried out by `arrived_by`. */
cw_time_us_t cw_order_hold_end(cw_time_us_t arrived_by, cw_time_us_t hold);

#endif
