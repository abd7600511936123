/**
 * @file quota_port.c
 * @brief A port of cw_quota_share that records what the share sends.
 */
#include "quota_port.h"

#include "loop_fixture.h"

static uint32_t on_counter(void *context, uint32_t tenant)
{
    (void)tenant;
    return ((const quota_sent_t *)context)->counter;
}

static void on_report(void *context, uint32_t counter, uint32_t sequence, const cw_quota_usage_t *usages, size_t count)
{
    quota_sent_t *sent = context;
    size_t        index;

    (void)counter;
    for (index = 0; index < count; index++) {
        if (usages[index].tenant < QUOTA_PORT_TENANTS) {
            sent->named[usages[index].tenant]++;
        }
    }
    sent->usage = count > 0 ? usages[0] : sent->usage;
    sent->reports++;
    sent->sequence = sequence;
}

static void on_ask(void *context, uint32_t counter, const cw_quota_ask_t *ask)
{
    quota_sent_t *sent = context;

    (void)counter;
    if (sent->ask_count < QUOTA_PORT_ASKS) {
        sent->asks[sent->ask_count] = *ask;
    }
    sent->ask_count++;
    sent->ask = *ask;
    sent->has_ask = true;
}

static void on_give_back(void *context, uint32_t counter, const cw_quota_return_t *returned)
{
    quota_sent_t *sent = context;

    (void)counter;
    ck_assert_uint_gt(returned->number, sent->returned.number);
    sent->given_back += returned->tokens;
    sent->returned = *returned;
}

static void on_decided(void *context, uint32_t tenant)
{
    quota_sent_t *sent = context;

    sent->decided++;
    if (sent->on_decided != NULL) {
        sent->on_decided(sent->owner, tenant);
    }
}

static void on_mode(void *context, uint32_t tenant, cw_quota_mode_t mode, uint32_t counter, cw_time_us_t age)
{
    (void)context, (void)tenant, (void)mode, (void)counter, (void)age;
}

cw_quota_port_t quota_port(quota_sent_t *sent)
{
    return (cw_quota_port_t){.context = sent,
                             .counter_of = on_counter,
                             .report = on_report,
                             .ask = on_ask,
                             .give_back = on_give_back,
                             .decided = on_decided,
                             .mode_changed = on_mode};
}
