/**
 * @file store_epoch.c
 * @brief Epochs of the store. The rules are in the header.
 */
#include "model/store_epoch.h"

enum { COUNT_BITS = 40 };

static const char stamp_field[] = "epoch";

uint64_t cw_store_revision_join(uint64_t epoch, uint64_t count)
{
    if (count == 0) {
        return 0;
    }
    epoch = epoch < CW_STORE_EPOCH_MAX ? epoch : CW_STORE_EPOCH_MAX;
    count = count < CW_STORE_COUNT_MAX ? count : CW_STORE_COUNT_MAX;
    return epoch << COUNT_BITS | count;
}

uint64_t cw_store_revision_epoch(uint64_t revision)
{
    return revision >> COUNT_BITS;
}

uint64_t cw_store_revision_count(uint64_t revision)
{
    return revision & CW_STORE_COUNT_MAX;
}

bool cw_store_epochs_observe(cw_store_epochs_t *epochs, uint64_t epoch, cw_time_us_t now)
{
    if (!epochs->is_known) {
        epochs->is_known = true;
        epochs->known_at = now;
        epochs->current = epoch;
        return false;
    }
    if (epoch <= epochs->current) {
        return false;
    }
    epochs->current = epoch;
    epochs->has_changed = true;
    epochs->changed_at = now;
    return true;
}

uint64_t cw_store_epoch_stamp(uint64_t epoch)
{
    return epoch + 1;
}

bool cw_store_epochs_is_outdated(const cw_store_epochs_t *epochs, uint64_t stamp)
{
    return stamp == 0 ? epochs->has_changed : stamp < cw_store_epoch_stamp(epochs->current);
}

void cw_store_stamp_to_json(json_t *object, uint64_t stamp)
{
    if (stamp != 0) {
        json_object_set_new(object, stamp_field, json_integer((json_int_t)(stamp - 1)));
    }
}

uint64_t cw_store_stamp_from_json(const json_t *object)
{
    const json_t *epoch = json_object_get(object, stamp_field);

    if (!json_is_integer(epoch) || json_integer_value(epoch) < 0) {
        return 0;
    }
    return cw_store_epoch_stamp((uint64_t)json_integer_value(epoch));
}
