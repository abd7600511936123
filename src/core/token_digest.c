/**
 * @file token_digest.c
 * @brief Digests of bearer tokens (SHA-256, compared in constant time).
 */
#include "cedarwinch/token_digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

void cw_token_digest(const char *token, uint8_t digest[CW_TOKEN_DIGEST_BYTES])
{
    const char *text = token == NULL ? "" : token;

    SHA256((const unsigned char *)text, strlen(text), digest);
}

bool cw_token_digest_is_accepted(const uint8_t digest[CW_TOKEN_DIGEST_BYTES], const ProtobufCBinaryData *accepted,
                                 size_t count)
{
    bool   found = false;
    size_t index;

    for (index = 0; index < count; index++) {
        if (accepted[index].len == CW_TOKEN_DIGEST_BYTES &&
            CRYPTO_memcmp(accepted[index].data, digest, CW_TOKEN_DIGEST_BYTES) == 0) {
            found = true;
        }
    }
    return found;
}
