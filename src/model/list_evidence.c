/**
 * @file list_evidence.c
 * @brief Names of the sources of evidence.
 */
#include "model/list_evidence.h"

const char *cw_list_source_name(cw_list_source_t source)
{
    static const char *const names[] = {"none", "own reading", "leader", "relay", "reader"};

    return names[source];
}
