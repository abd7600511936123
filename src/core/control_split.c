/**
 * @file control_split.c
 * @brief Gives a hot key a range of its own, so that its neighbours can be moved away from it.
 *
 * The parts stay with the server of the whole, under a new fence. They keep its journal replicas; requests that were
 * started under the whole's fence are found there, since entries are kept by key hash.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "core/control_assign.h"

static void add_part(cw_pass_t *pass, const Cw__RangeInfo *whole, cw_key_hash_t low, cw_key_hash_t last,
                     const char *reason)
{
    Cw__RangeInfo part = *whole;

    part.id = 0;
    part.low = low;
    part.last = last;
    part.reason = (char *)reason;
    cw_command_add_range(pass->builder, &part);
}

bool cw_control_split_hot(cw_pass_t *pass, const cw_placement_input_t *input)
{
    const Cw__RangeInfo *whole;
    cw_key_hash_t        key;
    size_t               position;

    if (!cw_placement_choose_split(input, &position)) {
        return false;
    }
    whole = pass->ranges[position];
    if (whole->state != CW__RANGE_STATE__RANGE_GRANTED || cw_command_has_range(pass->builder, whole->id)) {
        return false;
    }
    key = input->ranges[position].hot_key;
    cw_control_note_split(pass->control, whole, key);
    cw_command_remove_range(pass->builder, whole->id);
    if (key > whole->low) {
        add_part(pass, whole, whole->low, key - 1, "split: beside a hot key");
    }
    add_part(pass, whole, key, key, "split: hot key");
    if (key < whole->last) {
        add_part(pass, whole, key + 1, whole->last, "split: beside a hot key");
    }
    return true;
}
