/**
 * @file table_publication.c
 * @brief The interval between two publications of a leader.
 */
#include "router/table_publication.h"

void cw_table_publication_record_change(cw_table_publication_t *publication, cw_time_us_t now)
{
    if (!publication->is_due) {
        publication->is_due = true;
        publication->changed_at = now;
    }
}

bool cw_table_publication_is_due(const cw_table_publication_t *publication, size_t targets, double datagrams_per_second,
                                 cw_time_us_t now)
{
    cw_time_us_t pause = (cw_time_us_t)((double)targets / datagrams_per_second * 1e6);

    return publication->is_due && (publication->published_at == 0 || now - publication->published_at >= pause);
}

void cw_table_publication_done(cw_table_publication_t *publication, cw_time_us_t now)
{
    publication->is_due = false;
    publication->published_at = now;
}
