/**
 * @file control_split.c
 * @brief Gives a hot key a range of its own, so that it and its neighbours can be moved apart; merges what cooled.
 *
 * The parts stay with the server of the whole, under a new fence. They keep its journal replicas; requests that were
 * started under the whole's fence are found there, since entries are kept by key hash.
 *
 * A merged range takes the journal replicas of its wider half. Only services without non-repeatable requests have
 * ranges merged, so nothing is in their journals; in case the rules change, request ids from before the merge are not
 * run.
 */
#include <stdlib.h>
#include <string.h>

#include "cedarwinch/intent.h"
#include "core/control_assign.h"

static bool is_granted(const cw_pass_t *pass, size_t position)
{
    const Cw__RangeInfo *range = pass->ranges[position];

    return range->state == CW__RANGE_STATE__RANGE_GRANTED && !cw_command_has_range(pass->builder, range->id);
}

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

    if (!cw_placement_choose_split(input, &position) || !is_granted(pass, position)) {
        return false;
    }
    if (pass->control->now.monotonic_us < pass->track->split_us) {
        return true; /* nothing is moved for balance before it is split */
    }
    pass->track->split_us = pass->control->now.monotonic_us + CW_PLACEMENT_SPLIT_PAUSE_US;
    whole = pass->ranges[position];
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

static void add_whole(cw_pass_t *pass, const Cw__RangeInfo *left, const Cw__RangeInfo *right)
{
    Cw__RangeInfo whole = left->last - left->low < right->last - right->low ? *right : *left;

    whole.id = 0;
    whole.low = left->low;
    whole.last = right->last;
    whole.journal_valid_from_ms = cw_control_journal_valid_from(pass->control);
    whole.reason = (char *)"merged: cooled down";
    cw_command_add_range(pass->builder, &whole);
}

bool cw_control_merge_cold(cw_pass_t *pass, const cw_placement_input_t *input)
{
    cw_placement_merge_t step;
    const Cw__RangeInfo *left;
    const Cw__RangeInfo *right;

    if (!cw_placement_choose_merge(input, &step) || !is_granted(pass, step.left) || !is_granted(pass, step.left + 1)) {
        return false;
    }
    if (step.move_first) {
        cw_control_revoke_range(pass, pass->ranges[step.moved], step.to, "cooled down: goes to its neighbour");
        return true;
    }
    left = pass->ranges[step.left];
    right = pass->ranges[step.left + 1];
    cw_control_note_merge(pass->control, left, right);
    cw_command_remove_range(pass->builder, left->id);
    cw_command_remove_range(pass->builder, right->id);
    add_whole(pass, left, right);
    return true;
}
