/**
 * @file cold_rate.c
 * @brief Selects the sharers of a cold server by rendezvous hashing.
 */
#include "balance/cold_rate.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/memory.h"

enum {
    SEND_WINDOW_MS = 1100, /* one second, plus the differences in network delay to the server */
    /* Time without sends after the set of running nodes has changed: all others detect a stopped node within 1.5
     * seconds (CW_PEER_TIMEOUT_MS, plus a delayed report). */
    CHANGE_PAUSE_MS = 2000,
    /* A number of known nodes that has stayed lower for so long is accepted as the number of nodes. */
    MAX_NODES_EXPIRY_S = 60
};

bool cw_cold_sends_allowed(const cw_cold_sends_t *sends, cw_time_us_t now)
{
    cw_time_us_t oldest = sends->at[sends->next];

    return oldest == 0 || now - oldest >= CW_MS(SEND_WINDOW_MS);
}

void cw_cold_sends_record(cw_cold_sends_t *sends, cw_time_us_t now)
{
    sends->at[sends->next] = now;
    sends->next = (sends->next + 1) % CW_COLD_SENDS_PER_SECOND;
}

struct cw_cold_rate {
    uint32_t     own_address;
    uint32_t    *addresses; /* sorted */
    size_t       count;
    cw_time_us_t changed_at; /* of addresses */
    size_t       max_nodes;  /* most nodes known at once recently, including this one */
    cw_time_us_t max_nodes_at;
};

cw_cold_rate_t *cw_cold_rate_create(uint32_t own_address)
{
    cw_cold_rate_t *rate = cw_memory_zeroed(sizeof(*rate));

    rate->own_address = own_address;
    return rate;
}

void cw_cold_rate_free(cw_cold_rate_t *rate)
{
    free(rate->addresses);
    free(rate);
}

static int compare_addresses(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left;
    uint32_t b = *(const uint32_t *)right;

    return a < b ? -1 : a > b;
}

static void update_max_nodes(cw_cold_rate_t *rate, cw_time_us_t now)
{
    size_t nodes = rate->count + 1;

    if (nodes >= rate->max_nodes || now - rate->max_nodes_at > CW_SECONDS(MAX_NODES_EXPIRY_S)) {
        rate->max_nodes = nodes;
        rate->max_nodes_at = now;
    }
}

void cw_cold_rate_set_nodes(cw_cold_rate_t *rate, const uint32_t *addresses, size_t count, cw_time_us_t now)
{
    uint32_t *sorted = cw_memory_zeroed_items(count + 1, sizeof(*sorted));

    if (count > 0) {
        memcpy(sorted, addresses, count * sizeof(*sorted));
        qsort(sorted, count, sizeof(*sorted), compare_addresses);
    }
    if (rate->addresses == NULL || count != rate->count ||
        memcmp(sorted, rate->addresses, count * sizeof(*sorted)) != 0) {
        rate->changed_at = now;
    }
    free(rate->addresses);
    rate->addresses = sorted;
    rate->count = count;
    update_max_nodes(rate, now);
}

uint32_t cw_cold_rate_sharers(double per_s)
{
    uint32_t sharers = (uint32_t)(per_s / CW_COLD_SENDS_PER_SECOND);

    return sharers == 0 ? 1 : sharers;
}

static uint64_t rank(uint32_t server, uint32_t address)
{
    return XXH3_64bits_withSeed(&address, sizeof(address), server);
}

bool cw_cold_rate_is_sharer(const cw_cold_rate_t *rate, uint32_t server, double per_s, cw_time_us_t now)
{
    uint32_t sharers = cw_cold_rate_sharers(per_s);
    uint64_t own = rank(server, rate->own_address);
    uint32_t before = 0;
    size_t   index;

    if (rate->addresses == NULL || now - rate->changed_at < CW_MS(CHANGE_PAUSE_MS) ||
        2 * (rate->count + 1) <= rate->max_nodes) {
        return false;
    }
    for (index = 0; index < rate->count && before < sharers; index++) {
        before += rank(server, rate->addresses[index]) > own ? 1 : 0;
    }
    return before < sharers;
}
