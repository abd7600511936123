/**
 * @file incarnations.h
 * @brief Lives of servers by the id that callers know them by.
 */
#ifndef CEDARWINCH_STANDINS_VERDICT_LIVES_H
#define CEDARWINCH_STANDINS_VERDICT_LIVES_H

#include <stdbool.h>

/** Records name a life of a server: its id, "@" and when it was born. Is it one of the server of this id? */
bool lives_is_of(const char *life, const char *id);

#endif
