/**
 * @file incarnations.h
 * @brief Names of incarnations of servers in records.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_INCARNATIONS_H
#define CEDARWINCH_STANDINS_VERDICT_INCARNATIONS_H

#include <stdbool.h>

/** Whether the name of an incarnation (server id, "@", time of the start in ms) belongs to the server of this id. */
bool incarnation_is_of(const char *incarnation, const char *id);

#endif
