/**
 * @file key_file.h
 * @brief Reads a caller's key from a file and computes its digest. The key itself is never stored, printed or sent.
 */
#ifndef CEDARWINCH_INTENT_KEY_FILE_H
#define CEDARWINCH_INTENT_KEY_FILE_H

#include "model/tenant.h"

/** Computes the digest of the key in a file, without the blanks and line ends around it. beside: name of a file; a
 * relative path is relative to its folder. Returns NULL on success, else a description of the error that holds nothing
 * of the file's content. */
const char *cw_key_file_read(cw_key_digest_t *digest, const char *path, const char *beside);

#endif
