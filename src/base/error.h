/**
 * @file error.h
 * @brief Error numbers of cedarwinch: 0 is success, every error is negative.
 */
#ifndef CEDARWINCH_ERROR_H
#define CEDARWINCH_ERROR_H

/** Error numbers that functions return as int. */
typedef enum cw_error {
    CW_OK = 0,
    CW_ERROR_NO_MEMORY = -1,
    CW_ERROR_INVALID = -2, /**< an argument or a message violates its contract */
    CW_ERROR_NOT_FOUND = -3,
    CW_ERROR_EXISTS = -4,
    CW_ERROR_NOT_LEADER = -5,
    CW_ERROR_CONFLICT = -6,    /**< a version or a fence has changed since it was read */
    CW_ERROR_UNAVAILABLE = -7, /**< the other party refused or was not reached: it did nothing */
    CW_ERROR_UNKNOWN = -8,     /**< the other party may have acted: the outcome is not known */
    CW_ERROR_TIMEOUT = -9,
    CW_ERROR_FULL = -10, /**< a documented bound is reached */
    CW_ERROR_IO = -11,
    CW_ERROR_PARSE = -12,
    CW_ERROR_UNAUTHORIZED = -13
} cw_error_t;

/** Short English description of an error number; never NULL. */
const char *cw_error_text(int error);

#endif
