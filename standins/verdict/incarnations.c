/**
 * @file incarnations.c
 * @brief Compares names of incarnations with ids of servers.
 */
#include "incarnations.h"

#include <string.h>

bool incarnation_is_of(const char *incarnation, const char *id)
{
    size_t length = strlen(id);

    return strncmp(incarnation, id, length) == 0 && incarnation[length] == '@';
}
