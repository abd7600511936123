/**
 * @file fuzz.h
 * @brief Shared by the fuzz targets. Each target is one program with libFuzzer's entry point.
 */
#ifndef CEDARWINCH_FUZZ_H
#define CEDARWINCH_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <strings.h>

enum { CW_FUZZ_REQUEST_ID_TEXT = 37 };

/** Ends the run as a finding when the condition does not hold. */
#define CW_FUZZ_CHECK(condition)                                                                                       \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            abort();                                                                                                   \
        }                                                                                                              \
    } while (0)

int LLVMFuzzerInitialize(int *argument_count, char ***arguments);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
