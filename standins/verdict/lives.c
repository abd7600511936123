/**
 * @file lives.c
 * @brief Names of lives.
 */
#include "lives.h"

#include <string.h>

bool lives_is_of(const char *life, const char *id)
{
    size_t length = strlen(id);

    return strncmp(life, id, length) == 0 && life[length] == '@';
}
