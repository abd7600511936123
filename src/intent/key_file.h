/**
 * @file key_file.h
 * @brief A caller's key out of a file, as its digest. The key itself is kept, printed and sent nowhere.
 */
#ifndef CEDARWINCH_INTENT_KEY_FILE_H
#define CEDARWINCH_INTENT_KEY_FILE_H

#include "model/tenant.h"

/** Digest of what the file holds, without the blanks and line ends around it. A relative path counts from the folder of
 * `beside` (a file's name). NULL on success; else what is wrong, in words that hold nothing of the content. */
const char *cw_key_file_read(cw_key_digest_t *digest, const char *path, const char *beside);

#endif
