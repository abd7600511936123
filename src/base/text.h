/**
 * @file text.h
 * @brief Copies of short texts into buffers of fixed size.
 */
#ifndef CEDARWINCH_BASE_TEXT_H
#define CEDARWINCH_BASE_TEXT_H

#include <stddef.h>

/** Copies as much as fits; the target always ends with NUL. */
void cw_text_copy(char *target, size_t size, const char *text);

#endif
