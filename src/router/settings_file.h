/**
 * @file settings_file.h
 * @brief The file with this process's settings, and whether it has changed since it was last read. The platform may
 * replace it with or without a signal.
 */
#ifndef CEDARWINCH_ROUTER_SETTINGS_FILE_H
#define CEDARWINCH_ROUTER_SETTINGS_FILE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

enum {
    CW_SETTINGS_FILE_NAME_MAX = 256,
    CW_SETTINGS_FILE_CHECK_MS = 500 /**< between looks at the file, each of which is a system call */
};

/** The file as it was last seen. */
typedef struct cw_settings_file {
    char    name[CW_SETTINGS_FILE_NAME_MAX];
    int64_t fingerprint; /**< changes with the time of its last change, its size and its inode; 0: it was not there */
    cw_time_us_t checked_at;
} cw_settings_file_t;

/** Takes the file as it is now for read. */
void cw_settings_file_init(cw_settings_file_t *file, const char *name);
/** The same, when its settings are read again. */
void cw_settings_file_record_read(cw_settings_file_t *file);
/** Whether the file has changed since it was last read; then it counts as read. A file that is gone has not changed.
 * Looks at it at intervals only. */
bool cw_settings_file_has_changed(cw_settings_file_t *file, cw_time_us_t now);

#endif
