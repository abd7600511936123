/**
 * @file incarnations.c
 * @brief Names of lives.
 */
#include "incarnations.h"

#include <string.h>

bool lives_is_of(const char *life, const char *id)
{
    size_t length = strlen(id);

    return strncmp(life, id, length) == 0 && life[length] == '@';
}
