/**
 * @file router.h
 * @brief One node: takes callers' requests, knows servers and configuration, follows or leads.
 *
 * Parts: router.c (start, ticks), router_admin.c (readiness, status, metrics), router_reload.c (settings),
 * router_stop.c (planned stop), router_configuration.c (the configuration in force), router_peers.c (reports between
 * nodes), router_view.c (the leader's list of servers and tables of keys, and their age), router_lead.c (leadership,
 * assignments, plans).
 */
#ifndef CEDARWINCH_ROUTER_ROUTER_H
#define CEDARWINCH_ROUTER_ROUTER_H

#include "config/router_settings.h"
#include "router/adapter.h"

/** Runs a node until it is stopped. Returns 0, or a libuv error when it could not start. file_name: read again at
 * SIGHUP and when the file changes. */
int cw_router_run(const cw_router_settings_t *settings, const char *file_name, const cw_adapter_t *adapter);

#endif
