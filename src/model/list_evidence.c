/**
 * @file list_evidence.c
 * @brief Bound on the age of a list, and names of the sources of evidence.
 */
#include "model/list_evidence.h"

cw_time_us_t cw_list_usable_age(cw_time_us_t drain)
{
    return drain * CW_LIST_USABLE_PERCENT / 100;
}

const char *cw_list_source_name(cw_list_source_t source)
{
    static const char *const names[] = {"none", "own reading", "leader", "relay", "reader"};

    return names[source];
}
