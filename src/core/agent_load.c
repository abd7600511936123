/**
 * @file agent_load.c
 * @brief Loads of the agent's ranges, and when each is to be reported.
 */
#include <math.h>
#include <stdlib.h>

#include "core/agent_internal.h"

enum { LOAD_REPORT_US = 5 * CW_US_PER_S /**< an unchanged load is told again after this long */ };

static const double LOAD_CHANGE_SHARE = 0.1;
static const double LOAD_CHANGE_LEAST = 0.1; /**< requests per second */

void cw_agent_report_load(cw_agent_t *agent, const Cw__RangeLoad *source)
{
    cw_agent_load_t *load;
    size_t           i;

    HASH_FIND(hh, agent->loads, &source->range, sizeof(source->range), load);
    if (load == NULL) {
        load = calloc(1, sizeof(*load));
        if (load == NULL) {
            return;
        }
        load->id = source->range;
        HASH_ADD(hh, agent->loads, id, sizeof(load->id), load);
    }
    load->requests_per_second = source->requests_per_second;
    load->updated_us = agent->now_us;
    load->hot_key_count = source->n_hot_keys < CW_AGENT_HOT_KEYS_MAX ? source->n_hot_keys : CW_AGENT_HOT_KEYS_MAX;
    for (i = 0; i < load->hot_key_count; i++) {
        cw__key_load__init(&load->hot_keys[i]);
        load->hot_keys[i].key_hash = source->hot_keys[i]->key_hash;
        load->hot_keys[i].requests_per_second = source->hot_keys[i]->requests_per_second;
    }
}

void cw_agent_remove_load(cw_agent_t *agent, cw_agent_load_t *load)
{
    HASH_DEL(agent->loads, load);
    free(load);
}

bool cw_agent_load_due(const cw_agent_t *agent, const cw_agent_load_t *load)
{
    double change = fabs(load->requests_per_second - load->reported);

    if (!load->ever_reported || agent->now_us - load->reported_us >= LOAD_REPORT_US) {
        return true;
    }
    return change > LOAD_CHANGE_LEAST && change > LOAD_CHANGE_SHARE * load->reported;
}

/** A reported load moves to the end, so that every one gets its turn. */
void cw_agent_mark_load_reported(cw_agent_t *agent, cw_agent_load_t *load)
{
    load->reported = load->requests_per_second;
    load->reported_us = agent->now_us;
    load->ever_reported = true;
    HASH_DEL(agent->loads, load);
    HASH_ADD(hh, agent->loads, id, sizeof(load->id), load);
}
