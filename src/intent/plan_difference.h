/**
 * @file plan_difference.h
 * @brief Describes the changes of an intent to a configuration, one change per line.
 */
#ifndef CEDARWINCH_INTENT_PLAN_DIFFERENCE_H
#define CEDARWINCH_INTENT_PLAN_DIFFERENCE_H

#include "base/byte_buffer.h"
#include "intent/intent.h"

/** Fingerprint of a key: the first digits of its digest, by which plans and findings show it. */
enum { CW_KEY_FINGERPRINT_BYTES = 9 /**< 8 hexadecimal digits and NUL */ };

/** Writes the fingerprint of a key. */
void cw_key_fingerprint(char text[CW_KEY_FINGERPRINT_BYTES], const cw_key_digest_t *key);

/** Appends the lines and returns their number. present: the configuration in the store; NULL if there is none yet. */
size_t cw_plan_difference(cw_bytes_t *lines, const cw_intent_t *intent, const cw_configuration_t *present);

#endif
