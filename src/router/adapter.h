/**
 * @file adapter.h
 * @brief What the router needs of the world it runs in. One adapter is linked into the program; it only translates.
 */
#ifndef CEDARWINCH_ROUTER_ADAPTER_H
#define CEDARWINCH_ROUTER_ADAPTER_H

#include <uv.h>

#include "assignment/assigner.h"
#include "proxy/engine.h"
#include "store/store.h"

typedef void (*cw_order_done_t)(void *context, uint64_t order, cw_order_result_t result, const char *handover);

/** What a reading of the accepted configuration brought. */
typedef struct cw_accepted {
    cw_store_result_t   result;
    uint64_t            revision;
    cw_configuration_t *configuration; /**< given away; NULL: there is none, or it cannot be read */
    const char         *problem;       /**< why it cannot be read, with the place; NULL: it can, or there is none */
} cw_accepted_t;

typedef void (*cw_accepted_read_t)(void *context, const cw_accepted_t *accepted);

typedef struct cw_adapter {
    const cw_header_names_t *header_names;
    /** Decodes what servers say of themselves in the fields of their answers. */
    cw_server_signals_decoder_t decode_signals;
    /** store_address: "IPv4:PORT". Standing reads begin at once; their results go to the readers (NULL: none). */
    void *(*create)(uv_loop_t *loop, const char *store_address, const cw_store_readers_t *readers);
    cw_store_port_t *(*store)(void *adapter);
    /** Sends a grant or release to a server; done is called once. */
    void (*order)(void *adapter, const cw_order_t *order, cw_order_done_t done, void *context);
    /** For the command line: reads the accepted configuration, and writes another under that revision (0: none yet). */
    void (*read_accepted)(void *adapter, cw_accepted_read_t done, void *context);
    void (*write_accepted)(void *adapter, const cw_configuration_t *configuration, uint64_t revision,
                           cw_store_replied_t done, void *context);
    /** For the command line: takes a zone out of service, or puts it back. CW_STORE_CONFLICT: it is out already;
     * CW_STORE_NOT_FOUND: it is in service already. */
    void (*set_zone_out)(void *adapter, const char *zone, bool is_out, cw_store_replied_t done, void *context);
    void (*close)(void *adapter);
} cw_adapter_t;

/** The adapter of this program. */
extern const cw_adapter_t cw_adapter;

#endif
