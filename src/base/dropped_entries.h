/**
 * @file dropped_entries.h
 * @brief Reports entries that were left out because an array of fixed size was full: a metric and a log event that
 * names the array's capacity.
 */
#ifndef CEDARWINCH_BASE_DROPPED_ENTRIES_H
#define CEDARWINCH_BASE_DROPPED_ENTRIES_H

#include <stddef.h>

/** Counts and logs `dropped` entries that did not fit; does nothing if `dropped` is 0. what: the kind of the entries
 * and the consequence, for the log. capacity: the greatest number of entries that fit. */
void cw_dropped_entries_report(const char *what, size_t capacity, size_t dropped);

#endif
