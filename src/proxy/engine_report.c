/**
 * @file engine_report.c
 * @brief What the engine tells the node: requests here, queues, keys seen, usual times.
 */
#include <string.h>

#include "proxy/engine_internal.h"

size_t cw_engine_requests(const cw_engine_t *engine)
{
    return engine->requests;
}

size_t cw_engine_queued(const cw_engine_t *engine)
{
    return engine->queued;
}

bool cw_engine_has_samples(const cw_engine_t *engine)
{
    const cw_service_state_t *service;

    for (service = engine->services; service != NULL; service = service->hh.next) {
        if (service->samples.count > 0) {
            return true;
        }
    }
    return false;
}

void cw_engine_take_samples(cw_engine_t *engine,
                            void (*take)(void *context, const char *service, const cw_key_samples_t *samples),
                            void *context)
{
    cw_service_state_t *service;
    cw_service_state_t *next;

    HASH_ITER(hh, engine->services, service, next)
    {
        if (service->samples.count > 0) {
            take(context, service->name, &service->samples);
            memset(&service->samples, 0, sizeof(service->samples));
        }
    }
}

void cw_engine_each_queue(cw_engine_t *engine, void (*tell)(void *context, const char *service, uint32_t queued),
                          void        *context)
{
    cw_service_state_t *service;
    cw_service_state_t *next;

    HASH_ITER(hh, engine->services, service, next)
    {
        if (service->queued > 0) {
            tell(context, service->name, (uint32_t)service->queued);
        }
    }
}

void cw_engine_each_service(cw_engine_t *engine, void (*tell)(void *context, const char *service, uint32_t queued),
                            void        *context)
{
    cw_service_state_t *service;
    cw_service_state_t *next;

    HASH_ITER(hh, engine->services, service, next)
    {
        tell(context, service->name, (uint32_t)service->queued);
    }
}

void cw_engine_set_queued_elsewhere(cw_engine_t *engine, const char *name, uint32_t queued)
{
    cw_service_state_t *service;

    HASH_FIND_STR(engine->services, name, service);
    if (service != NULL) {
        service->queued_elsewhere = queued;
    }
}

cw_time_us_t cw_engine_mean_time(cw_engine_t *engine, const char *name)
{
    return cw_engine_service(engine, name)->usual;
}

cw_time_us_t cw_engine_mean_time_by_hash(const cw_engine_t *engine, uint32_t hash)
{
    const cw_service_state_t *service;

    for (service = engine->services; service != NULL; service = service->hh.next) {
        if (service->hash == hash) {
            return service->usual;
        }
    }
    return CW_MS(CW_USUAL_FIRST_MS);
}

bool cw_engine_take_changed(cw_engine_t *engine)
{
    bool changed = engine->changed;

    engine->changed = false;
    return changed;
}
