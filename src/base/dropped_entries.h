/**
 * @file dropped_entries.h
 * @brief Entries that are left out because an array of fixed size is full: counted, and logged with the bound.
 */
#ifndef CEDARWINCH_BASE_DROPPED_ENTRIES_H
#define CEDARWINCH_BASE_DROPPED_ENTRIES_H

#include <stddef.h>

/** So many entries (0: none, and nothing is logged) did not fit. what: of which kind, and the consequence. most: that
 * fit. */
void cw_dropped_entries_report(const char *what, size_t most, size_t dropped);

#endif
