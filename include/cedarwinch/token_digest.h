/**
 * @file token_digest.h
 * @brief Digests of bearer tokens. Tokens themselves are never kept or passed on.
 */
#ifndef CEDARWINCH_TOKEN_DIGEST_H
#define CEDARWINCH_TOKEN_DIGEST_H

#include "cedarwinch/types.h"

/** SHA-256 of a token; NULL counts as "". */
void cw_token_digest(const char *token, uint8_t digest[CW_TOKEN_DIGEST_BYTES]);
/** Is the digest among the accepted ones? Every one is compared, each in constant time. */
bool cw_token_digest_is_accepted(const uint8_t digest[CW_TOKEN_DIGEST_BYTES], const ProtobufCBinaryData *accepted,
                                 size_t count);

#endif
