/**
 * @file adapter.h
 * @brief Interface to the platform that the router runs on: its store, its servers and their header names.
 *
 * One adapter is linked into the program. It only translates between this interface and the platform's protocols.
 */
#ifndef CEDARWINCH_ROUTER_ADAPTER_H
#define CEDARWINCH_ROUTER_ADAPTER_H

#include <uv.h>

#include "assignment/assigner.h"
#include "proxy/engine.h"
#include "store/store.h"

/** Called once with the outcome of an order. handover: the state that the former owner of the keys handed over; NULL:
 * none. */
typedef void (*cw_order_done_t)(void *context, uint64_t order, cw_order_result_t result, const char *handover);

/** What the sender of an order decides and learns. */
typedef struct cw_order_callbacks {
    /** Asked right before the first byte leaves on a new connection, which takes time. False: the order ends as
     * CW_ORDER_WITHDRAWN. */
    bool (*may_be_sent)(void *context);
    cw_order_done_t done; /**< called once */
} cw_order_callbacks_t;

/** Called once when a probe of a server has ended. is_answered: a byte has come from the server's address. */
typedef void (*cw_server_probed_t)(void *context, bool is_answered);

/** Result of reading the accepted configuration. */
typedef struct cw_accepted {
    cw_store_result_t   result;
    uint64_t            revision;      /**< of the object in the store */
    cw_configuration_t *configuration; /**< reference passes to the callee; NULL: there is none, or it is unreadable */
    const char *problem; /**< why the configuration is unreadable, and where; NULL: it is readable, or there is none */
} cw_accepted_t;

/** Called once with the result of read_accepted. */
typedef void (*cw_accepted_read_t)(void *context, const cw_accepted_t *accepted);

/** Functions of an adapter. `adapter`: the state that create() returned. */
typedef struct cw_adapter {
    /** Names of the header fields of requests and answers. */
    const cw_header_names_t *header_names;
    /** Decodes the state that servers report in the header fields of their answers. */
    cw_server_signals_decoder_t decode_signals;
    /** Creates the adapter's state. store_address: "IPv4:PORT". Standing reads begin at once; their results go to
     * `readers` (NULL: no standing reads). */
    void *(*create)(uv_loop_t *loop, const char *store_address, const cw_store_callbacks_t *readers);
    /** The store, as the router calls it. */
    cw_store_port_t *(*store)(void *adapter);
    /** Sends a grant or a release to a server. */
    void (*send_order)(void *adapter, const cw_order_t *order, const cw_order_callbacks_t *callbacks, void *context);
    /** Sends a server, on a new connection, a request that runs nothing there. done: called once. */
    void (*probe_server)(void *adapter, const char *address, cw_time_us_t timeout, cw_server_probed_t done,
                         void *context);
    /** For the command line: reads the accepted configuration. */
    void (*read_accepted)(void *adapter, cw_accepted_read_t done, void *context);
    /** For the command line: writes another accepted configuration if the object still has this revision (0: there is
     * none yet). */
    void (*write_accepted)(void *adapter, const cw_configuration_t *configuration, uint64_t revision,
                           cw_store_replied_t done, void *context);
    /** For the command line: takes a zone out of service, or puts it back. Results: CW_STORE_CONFLICT if it is out
     * already, CW_STORE_NOT_FOUND if it is in service already. */
    void (*set_zone_out)(void *adapter, const char *zone, bool is_out, cw_store_replied_t done, void *context);
    /** Ends standing reads and frees the state. */
    void (*close)(void *adapter);
} cw_adapter_t;

/** The adapter of this program. */
extern const cw_adapter_t cw_adapter;

#endif
