/**
 * @file settings_file.c
 * @brief Whether the file with the settings has changed.
 */
#include "router/settings_file.h"

#include <stdio.h>
#include <sys/stat.h>

static int64_t fingerprint_of(const char *name)
{
    struct stat status;

    if (stat(name, &status) != 0) {
        return 0;
    }
    return (int64_t)status.st_mtim.tv_sec * 1000000007 + status.st_mtim.tv_nsec + status.st_size * 31 +
           (int64_t)status.st_ino;
}

void cw_settings_file_init(cw_settings_file_t *file, const char *name)
{
    *file = (cw_settings_file_t){.checked_at = 0};
    snprintf(file->name, sizeof(file->name), "%s", name);
    cw_settings_file_record_read(file);
}

void cw_settings_file_record_read(cw_settings_file_t *file)
{
    file->fingerprint = fingerprint_of(file->name);
}

bool cw_settings_file_has_changed(cw_settings_file_t *file, cw_time_us_t now)
{
    int64_t fingerprint;

    if (now - file->checked_at < CW_MS(CW_SETTINGS_FILE_CHECK_MS)) {
        return false;
    }
    file->checked_at = now;
    fingerprint = fingerprint_of(file->name);
    if (fingerprint == 0 || fingerprint == file->fingerprint) {
        return false;
    }
    file->fingerprint = fingerprint;
    return true;
}
