/**
 * @file plan_difference.h
 * @brief What an intent changes, in words, one change a line.
 */
#ifndef CEDARWINCH_INTENT_PLAN_DIFFERENCE_H
#define CEDARWINCH_INTENT_PLAN_DIFFERENCE_H

#include "base/byte_buffer.h"
#include "intent/intent.h"

/** Keys are shown by the first digits of their digests. */
enum { CW_KEY_FINGERPRINT_BYTES = 9 /**< 8 hexadecimal digits and the end */ };
void cw_key_fingerprint(char text[CW_KEY_FINGERPRINT_BYTES], const cw_key_digest_t *key);

/** Appends the lines; their number. present: NULL for none yet. */
size_t cw_plan_difference(cw_bytes_t *lines, const cw_intent_t *intent, const cw_configuration_t *present);

#endif
