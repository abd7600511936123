/**
 * @file list_renewal.c
 * @brief Ages at which a node reads its list of servers.
 */
#include "router/list_renewal.h"

#include "model/list_evidence.h"
#include "router/list_read_delay.h"

static cw_time_us_t part(cw_time_us_t whole, int percent)
{
    return whole * percent / 100;
}

static int least_percent(const cw_list_renewal_t *renewal)
{
    return renewal->has_heartbeat ? CW_LIST_READ_WITH_HEARTBEAT_PERCENT : CW_LIST_READ_PERCENT;
}

/* In a small fleet without the leader's heartbeat the reads are not spread, since the nodes read little. */
static cw_time_us_t spread(const cw_list_renewal_t *renewal)
{
    int          percent = CW_LIST_READ_PERCENT + CW_LIST_SPREAD_PERCENT - least_percent(renewal);
    cw_time_us_t usual = part(renewal->drain, percent);

    if (renewal->window < usual) {
        return renewal->has_heartbeat ? usual : 0;
    }
    return renewal->is_short ? usual : renewal->window;
}

static cw_time_us_t max_age(const cw_list_renewal_t *renewal)
{
    return part(renewal->drain, least_percent(renewal)) + cw_list_read_delay(renewal->node, spread(renewal));
}

static cw_time_us_t first_read_at(const cw_list_renewal_t *renewal)
{
    cw_time_us_t usual = part(renewal->settle, CW_LIST_SPREAD_PERCENT);
    cw_time_us_t window = renewal->is_short && renewal->window > usual ? usual : renewal->window;

    return renewal->started_at + part(renewal->settle, CW_LIST_START_PERCENT) +
           cw_list_read_delay(renewal->node, window);
}

bool cw_list_renewal_is_due(const cw_list_renewal_t *renewal, cw_time_us_t now)
{
    cw_time_us_t age = now - renewal->valid_at;

    if (now < first_read_at(renewal)) {
        return false;
    }
    if (renewal->is_reader && (!renewal->has_heartbeat || age > part(renewal->drain, CW_LIST_READER_PERCENT))) {
        return true;
    }
    return age > max_age(renewal);
}

bool cw_list_renewal_takes_turns(const cw_list_renewal_t *renewal)
{
    return renewal->window >= part(renewal->drain, CW_LIST_SPREAD_PERCENT);
}

bool cw_list_renewal_is_binding(const cw_list_renewal_t *renewal, bool is_store_out, cw_time_us_t now)
{
    return !is_store_out && now - renewal->started_at >= part(renewal->settle, CW_LIST_USABLE_PERCENT);
}
