/**
 * @file request_id.c
 * @brief Request ids: UUID version 7 (RFC 9562, section 5.7).
 *
 * Layout: 48 bits Unix time in milliseconds, 4 bits version, 12 random bits, 2 bits variant, 62 random bits.
 */
#include <string.h>

#include "cedarwinch/error.h"
#include "cedarwinch/outcome.h"

enum {
    TEXT_LENGTH = 36,
    TIME_BYTES = 6,
    VERSION_BYTE = 6,
    VARIANT_BYTE = 8,
    VERSION_7 = 0x70,
    VERSION_MASK = 0xf0,
    VARIANT_RFC = 0x80,
    VARIANT_MASK = 0xc0
};

static bool is_hyphen_place(size_t place)
{
    return place == 8 || place == 13 || place == 18 || place == 23;
}

static int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

int cw_request_id_parse(const char *text, size_t length, uint8_t id[CW_REQUEST_ID_BYTES])
{
    uint8_t parsed[CW_REQUEST_ID_BYTES] = {0};
    size_t  digits = 0;
    size_t  place;
    int     value;

    if (text == NULL || length != TEXT_LENGTH) {
        return CW_ERROR_PARSE;
    }
    for (place = 0; place < TEXT_LENGTH; place++) {
        if (is_hyphen_place(place)) {
            if (text[place] != '-') {
                return CW_ERROR_PARSE;
            }
            continue;
        }
        value = hex_value(text[place]);
        if (value < 0) {
            return CW_ERROR_PARSE;
        }
        parsed[digits / 2] = (uint8_t)(parsed[digits / 2] << 4 | value);
        digits++;
    }
    if ((parsed[VERSION_BYTE] & VERSION_MASK) != VERSION_7 || (parsed[VARIANT_BYTE] & VARIANT_MASK) != VARIANT_RFC) {
        return CW_ERROR_PARSE;
    }
    memcpy(id, parsed, sizeof(parsed));
    return CW_OK;
}

void cw_request_id_format(const uint8_t id[CW_REQUEST_ID_BYTES], char text[37])
{
    static const char digits[] = "0123456789abcdef";
    size_t            place = 0;
    size_t            byte;

    for (byte = 0; byte < CW_REQUEST_ID_BYTES; byte++) {
        if (is_hyphen_place(place)) {
            text[place++] = '-';
        }
        text[place++] = digits[id[byte] >> 4];
        text[place++] = digits[id[byte] & 0x0f];
    }
    text[place] = '\0';
}

void cw_request_id_make(uint8_t id[CW_REQUEST_ID_BYTES], int64_t wall_ms, uint64_t *random_state)
{
    uint64_t random[2] = {cw_random_next(random_state), cw_random_next(random_state)};
    size_t   byte;

    memcpy(id, random, CW_REQUEST_ID_BYTES);
    for (byte = 0; byte < TIME_BYTES; byte++) {
        id[byte] = (uint8_t)((uint64_t)wall_ms >> (8 * (TIME_BYTES - 1 - byte)));
    }
    id[VERSION_BYTE] = (uint8_t)((id[VERSION_BYTE] & ~VERSION_MASK) | VERSION_7);
    id[VARIANT_BYTE] = (uint8_t)((id[VARIANT_BYTE] & ~VARIANT_MASK) | VARIANT_RFC);
}

int64_t cw_request_id_time_ms(const uint8_t id[CW_REQUEST_ID_BYTES])
{
    int64_t time_ms = 0;
    size_t  byte;

    for (byte = 0; byte < TIME_BYTES; byte++) {
        time_ms = time_ms << 8 | id[byte];
    }
    return time_ms;
}
