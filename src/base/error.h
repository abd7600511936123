/**
 * @file error.h
 * @brief Error numbers of cedarwinch: 0 is success, every error is negative.
 */
#ifndef CEDARWINCH_ERROR_H
#define CEDARWINCH_ERROR_H

typedef enum cw_error {
    CW_OK = 0,
    CW_ERROR_NO_MEMORY = -1,
    CW_ERROR_INVALID = -2, /**< argument or message breaks its contract */
    CW_ERROR_NOT_FOUND = -3,
    CW_ERROR_EXISTS = -4,
    CW_ERROR_NOT_LEADER = -5,
    CW_ERROR_CONFLICT = -6,    /**< a version or fence moved on */
    CW_ERROR_UNAVAILABLE = -7, /**< the other party refused or could not be reached: nothing happened */
    CW_ERROR_UNKNOWN = -8,     /**< the other party may have acted: outcome not known */
    CW_ERROR_TIMEOUT = -9,
    CW_ERROR_FULL = -10, /**< a stated bound is reached */
    CW_ERROR_IO = -11,
    CW_ERROR_PARSE = -12,
    CW_ERROR_UNAUTHORIZED = -13
} cw_error_t;

/** Short English text for an error number; never NULL. */
const char *cw_error_text(int error);

#endif
