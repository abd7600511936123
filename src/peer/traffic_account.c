/**
 * @file traffic_account.c
 * @brief Traffic counts and their representation as metrics and log text.
 */
#include "peer/traffic_account.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "peer.pb-c.h"

enum {
    SUMMARY_ENTRY_BYTES = 96 /**< buffer of one kind's entry in the summary; the longest name has 21 bytes */
};

static const char *const distance_names[CW_DISTANCES] = {"zone", "region", "remote"};

/* Numbers beyond the table are counted together in row 0, since a later version may have more kinds. */
static uint32_t row_index(uint32_t kind)
{
    return kind < CW_TRAFFIC_KINDS ? kind : 0;
}

void cw_traffic_account_add(cw_traffic_account_t *account, uint32_t kind, cw_distance_t distance, size_t bytes)
{
    account->bytes[row_index(kind)][distance] += bytes;
    account->datagrams[row_index(kind)][distance]++;
}

const char *cw_traffic_kind_name(uint32_t kind)
{
    const ProtobufCFieldDescriptor *field =
        protobuf_c_message_descriptor_get_field(&cwp__datagram__descriptor, row_index(kind));

    return field == NULL ? "other" : field->name;
}

const char *cw_traffic_distance_name(cw_distance_t distance)
{
    return distance_names[distance];
}

static void write_counter(cw_bytes_t *text, const char *name, const char *help,
                          const uint64_t values[CW_TRAFFIC_KINDS][CW_DISTANCES])
{
    uint32_t kind;
    int      distance;

    cw_bytes_append_format(text, "# HELP %s %s\n# TYPE %s counter\n", name, help, name);
    for (kind = 0; kind < CW_TRAFFIC_KINDS; kind++) {
        for (distance = 0; distance < CW_DISTANCES; distance++) {
            if (values[kind][distance] != 0) {
                cw_bytes_append_format(text, "%s{kind=\"%s\",distance=\"%s\"} %" PRIu64 "\n", name,
                                       cw_traffic_kind_name(kind), distance_names[distance], values[kind][distance]);
            }
        }
    }
}

void cw_traffic_account_metrics(const cw_traffic_account_t *account, cw_bytes_t *text)
{
    write_counter(text, "cedarwinch_peer_bytes_total", "bytes of datagrams sent to other nodes", account->bytes);
    write_counter(text, "cedarwinch_peer_datagrams_total", "datagrams sent to other nodes", account->datagrams);
}

/* The kind with the most bytes among those not shown yet; CW_TRAFFIC_KINDS: none is left. */
static uint32_t find_largest_kind(const cw_traffic_account_t *account, cw_distance_t distance, const bool *is_shown)
{
    uint32_t found = CW_TRAFFIC_KINDS;
    uint32_t kind;

    for (kind = 0; kind < CW_TRAFFIC_KINDS; kind++) {
        if (!is_shown[kind] && account->bytes[kind][distance] != 0 &&
            (found == CW_TRAFFIC_KINDS || account->bytes[kind][distance] > account->bytes[found][distance])) {
            found = kind;
        }
    }
    return found;
}

void cw_traffic_account_summary(const cw_traffic_account_t *account, cw_distance_t distance, char *text, size_t room)
{
    bool     is_shown[CW_TRAFFIC_KINDS] = {false};
    char     entry[SUMMARY_ENTRY_BYTES];
    uint64_t sum = 0;
    size_t   length;
    uint32_t kind;

    for (kind = 0; kind < CW_TRAFFIC_KINDS; kind++) {
        sum += account->bytes[kind][distance];
    }
    length = (size_t)snprintf(text, room, "%" PRIu64, sum);
    while ((kind = find_largest_kind(account, distance, is_shown)) != CW_TRAFFIC_KINDS) {
        int written = snprintf(entry, sizeof(entry), " %s:%" PRIu64 "/%" PRIu64, cw_traffic_kind_name(kind),
                               account->bytes[kind][distance], account->datagrams[kind][distance]);

        if (written < 0 || length + (size_t)written >= room) {
            return;
        }
        memcpy(text + length, entry, (size_t)written + 1);
        length += (size_t)written;
        is_shown[kind] = true;
    }
}
