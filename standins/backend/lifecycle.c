/**
 * @file lifecycle.c
 * @brief Lease timer, drain and end of the back-end stand-in.
 */
#include "backend.h"

enum { LAST_ANSWERS_MS = 20 /**< for the last answers to leave */ };

int64_t cw_backend_clock(cw_backend_standin_t *backend)
{
    int64_t clock_us = cw_server_clock_read(&backend->clock, cw_real_us());

    cw_ownership_expire(backend->ownership, clock_us);
    return clock_us;
}

static void on_lease_timer(uv_timer_t *timer)
{
    cw_backend_standin_t *backend = timer->data;

    cw_backend_lease_changed(backend);
    cw_jobs_refuse_unowned(backend);
    cw_backend_check_exit(backend);
}

void cw_backend_lease_changed(cw_backend_standin_t *backend)
{
    int64_t clock_us = cw_backend_clock(backend);
    int64_t end_us = cw_ownership_lease_end_us(backend->ownership);
    int64_t left_us = cw_server_clock_real(&backend->clock, end_us) - cw_server_clock_real(&backend->clock, clock_us);

    if (end_us == 0) {
        uv_timer_stop(&backend->lease_timer);
        return;
    }
    uv_update_time(backend->loop);
    uv_timer_start(&backend->lease_timer, on_lease_timer, (uint64_t)(left_us / CW_US_PER_MS + 1), 0);
}

static void on_end(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

void cw_backend_check_exit(cw_backend_standin_t *backend)
{
    if (!backend->draining || backend->jobs != NULL || backend->revocations != NULL ||
        (!backend->drain_over && cw_ownership_holds_any(backend->ownership))) {
        return;
    }
    backend->drain_over = true;
    uv_update_time(backend->loop);
    uv_timer_start(&backend->drain_timer, on_end, LAST_ANSWERS_MS, 0);
}

static void on_drain_over(uv_timer_t *timer)
{
    cw_backend_standin_t *backend = timer->data;

    backend->drain_over = true;
    cw_backend_check_exit(backend);
}

void cw_backend_drain(cw_backend_standin_t *backend)
{
    if (backend->draining) {
        return;
    }
    backend->draining = true;
    uv_update_time(backend->loop);
    uv_timer_start(&backend->drain_timer, on_drain_over, (uint64_t)backend->options.drain_s * CW_US_PER_MS, 0);
    cw_backend_check_exit(backend);
}
