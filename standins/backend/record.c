/**
 * @file record.c
 * @brief Evidence lines of the back-end stand-in: one JSON object a line, written at once, so that a killed process
 *        loses none.
 */
#include <fcntl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include "backend.h"
#include "cedarwinch/error.h"

enum { RECORD_MODE = 0644 };

int cw_record_open(cw_backend_standin_t *backend)
{
    backend->record_file = -1;
    if (backend->options.record == NULL) {
        return CW_OK;
    }
    backend->record_file = open(backend->options.record, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, RECORD_MODE);
    return backend->record_file < 0 ? CW_ERROR_IO : CW_OK;
}

/* Takes over the line. A line that cannot be written ends the server: evidence must not be lost unseen. */
static void write_line(cw_backend_standin_t *backend, json_t *line)
{
    char        *text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);
    struct iovec parts[2];
    size_t       length = text == NULL ? 0 : strlen(text);

    parts[0] = (struct iovec){.iov_base = text, .iov_len = length};
    parts[1] = (struct iovec){.iov_base = "\n", .iov_len = 1};
    if (text == NULL || writev(backend->record_file, parts, 2) != (ssize_t)length + 1) {
        abort();
    }
    free(text);
    json_decref(line);
}

static json_t *event_json(const cw_backend_standin_t *backend, const char *event)
{
    char incarnation[CW_HEX_TEXT];

    cw_hex_format(backend->incarnation, incarnation);
    return json_pack("{s:s,s:s,s:s}", "event", event, "server", backend->options.name, "incarnation", incarnation);
}

static void add_hex(json_t *line, const char *name, uint64_t value)
{
    char text[CW_HEX_TEXT];

    cw_hex_format(value, text);
    json_object_set_new(line, name, json_string(text));
}

static void add_fence(json_t *line, cw_fence_t fence)
{
    char text[CW_FENCE_TEXT];

    cw_fence_format(fence, text);
    json_object_set_new(line, "fence", json_string(text));
}

static void add_times(const cw_backend_standin_t *backend, json_t *line, int64_t real_us)
{
    json_object_set_new(line, "clock_us", json_integer(cw_server_clock_read(&backend->clock, real_us)));
    json_object_set_new(line, "real_us", json_integer(real_us));
}

void cw_record_boot(cw_backend_standin_t *backend)
{
    json_t *line;

    if (backend->record_file < 0) {
        return;
    }
    line = event_json(backend, "boot");
    add_times(backend, line, backend->clock.boot_real_us);
    write_line(backend, line);
}

void cw_record_renewal(cw_backend_standin_t *backend)
{
    int64_t real_us = cw_real_us();
    json_t *line;

    if (backend->record_file < 0 || real_us - backend->renewal_recorded_us < CW_US_PER_S) {
        return;
    }
    backend->renewal_recorded_us = real_us;
    line = event_json(backend, "renew");
    json_object_set_new(line, "lease_end_us", json_integer(cw_ownership_lease_end_us(backend->ownership)));
    add_times(backend, line, real_us);
    write_line(backend, line);
}

void cw_record_job(cw_backend_standin_t *backend, const char *event, const cw_job_t *job, int64_t real_us)
{
    json_t *line;
    json_t *key;

    if (backend->record_file < 0 || job->kind != CW_JOB_APPLICATION) {
        return;
    }
    line = event_json(backend, event);
    key = json_string(job->key);
    json_object_set_new(line, "request", json_string(job->request_id));
    json_object_set_new(line, "key", key != NULL ? key : json_string("(not UTF-8)"));
    add_hex(line, "key_hash", job->key_hash);
    add_hex(line, "service", job->service);
    add_fence(line, job->fence);
    add_times(backend, line, real_us);
    write_line(backend, line);
}

static const char *change_name(cw_ownership_change_t change)
{
    switch (change) {
    case CW_OWNERSHIP_GRANTED:
        return "grant";
    case CW_OWNERSHIP_LAPSED:
        return "lapse";
    default:
        return "revoke";
    }
}

void cw_record_ownership(cw_backend_standin_t *backend, cw_ownership_change_t change, const cw_server_grant_t *part)
{
    int64_t real_us = cw_real_us();
    json_t *line;

    if (backend->record_file < 0) {
        return;
    }
    if (change == CW_OWNERSHIP_LAPSED) { /* noticed now, but over since the end of the lease */
        real_us = cw_server_clock_real(&backend->clock, cw_ownership_lease_end_us(backend->ownership));
    }
    line = event_json(backend, change_name(change));
    json_object_set_new(line, "range", json_integer((json_int_t)part->range));
    add_hex(line, "service", part->service);
    add_hex(line, "low", part->low);
    add_hex(line, "last", part->last);
    add_fence(line, part->fence);
    add_times(backend, line, real_us);
    write_line(backend, line);
}
