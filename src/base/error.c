/**
 * @file error.c
 * @brief Texts of the error numbers.
 */
#include "base/error.h"

const char *cw_error_text(int error)
{
    switch (error) {
    case CW_OK:
        return "success";
    case CW_ERROR_NO_MEMORY:
        return "out of memory";
    case CW_ERROR_INVALID:
        return "invalid argument or message";
    case CW_ERROR_NOT_FOUND:
        return "not found";
    case CW_ERROR_EXISTS:
        return "already exists";
    case CW_ERROR_NOT_LEADER:
        return "not the leader";
    case CW_ERROR_CONFLICT:
        return "version or fence conflict";
    case CW_ERROR_UNAVAILABLE:
        return "unavailable, nothing happened";
    case CW_ERROR_UNKNOWN:
        return "outcome not known";
    case CW_ERROR_TIMEOUT:
        return "timed out";
    case CW_ERROR_FULL:
        return "bound reached";
    case CW_ERROR_IO:
        return "input or output error";
    case CW_ERROR_PARSE:
        return "cannot be parsed";
    case CW_ERROR_UNAUTHORIZED:
        return "not authorized";
    default:
        return "unknown error";
    }
}
