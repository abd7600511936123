/**
 * @file server_incarnation.c
 * @brief Ids that consist of a name and a start time.
 */
#include "model/server_incarnation.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { DECIMAL = 10 };

bool cw_server_id_write(char id[CW_SERVER_ID_MAX], const char *name, uint64_t start_ms)
{
    char text[CW_SERVER_ID_MAX];
    int  length;

    if (start_ms == 0 && strchr(name, CW_SERVER_ID_MARK) == NULL) {
        length = snprintf(text, sizeof(text), "%s", name);
    } else {
        length = snprintf(text, sizeof(text), "%s%c%" PRIu64, name, CW_SERVER_ID_MARK, start_ms);
    }
    if (length < 0 || length >= CW_SERVER_ID_MAX) {
        return false;
    }
    memcpy(id, text, (size_t)length + 1);
    return true;
}

size_t cw_server_id_name_length(const char *id)
{
    const char *mark = strrchr(id, CW_SERVER_ID_MARK);

    return mark == NULL ? strlen(id) : (size_t)(mark - id);
}

uint64_t cw_server_id_start_ms(const char *id)
{
    const char *mark = strrchr(id, CW_SERVER_ID_MARK);

    return mark == NULL ? 0 : strtoull(mark + 1, NULL, DECIMAL);
}

bool cw_server_id_has_name(const char *id, const char *name)
{
    size_t length = cw_server_id_name_length(id);

    return strlen(name) == length && memcmp(id, name, length) == 0;
}

bool cw_server_id_is_same_server(const char *left, const char *right)
{
    size_t length = cw_server_id_name_length(left);

    return length > 0 && length == cw_server_id_name_length(right) && memcmp(left, right, length) == 0;
}

bool cw_server_id_succeeds(const char *later, const char *earlier)
{
    size_t length = cw_server_id_name_length(later);

    return length == cw_server_id_name_length(earlier) && memcmp(later, earlier, length) == 0 &&
           cw_server_id_start_ms(later) > cw_server_id_start_ms(earlier);
}
