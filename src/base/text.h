/**
 * @file text.h
 * @brief Copies short texts into buffers of fixed size.
 */
#ifndef CEDARWINCH_BASE_TEXT_H
#define CEDARWINCH_BASE_TEXT_H

#include <stddef.h>

/** Copies as much of the text as fits into `size` bytes; the target always ends with NUL. The two may overlap. */
void cw_text_copy(char *target, size_t size, const char *text);

#endif
