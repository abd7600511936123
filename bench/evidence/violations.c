/**
 * @file violations.c
 * @brief Violations found in the records, collected and reported together.
 */
#include <inttypes.h>
#include <stdarg.h>

#include "evidence.h"

static const char *const kind_texts[CW_VIOLATION_KIND_COUNT] = {
    [CW_VIOLATION_TWO_OWNERS] = "two owners at once",
    [CW_VIOLATION_NOT_OWNED] = "effect outside of its server's ownership",
    [CW_VIOLATION_FENCE_DOWN] = "fence went down",
    [CW_VIOLATION_RAN_TWICE] = "non-repeatable request ran more than once",
    [CW_VIOLATION_NOT_RUN_RAN] = "refused as not run, but took effect",
    [CW_VIOLATION_ANSWERED_NOT_RUN] = "answered without an effect before",
    [CW_VIOLATION_OTHER_KEY] = "effect on another key or service",
    [CW_VIOLATION_FOREIGN_ANSWER] = "answer of another request",
    [CW_VIOLATION_MALFORMED] = "malformed record",
};

const char *cw_violation_kind_text(cw_violation_kind_t kind)
{
    return kind_texts[kind];
}

void cw_violation_add(cw_violations_t *violations, cw_violation_kind_t kind, const char *format, ...)
{
    va_list arguments;

    violations->counts[kind]++;
    if (violations->total < CW_VIOLATIONS_KEPT) {
        va_start(arguments, format);
        vsnprintf(violations->texts[violations->total], CW_VIOLATION_TEXT, format, arguments);
        va_end(arguments);
    }
    violations->total++;
}

void cw_violations_print(const cw_violations_t *violations, FILE *stream)
{
    size_t i;

    for (i = 0; i < CW_VIOLATION_KIND_COUNT; i++) {
        fprintf(stream, "%-45s %" PRIu64 "\n", kind_texts[i], violations->counts[i]);
    }
    for (i = 0; i < violations->total && i < CW_VIOLATIONS_KEPT; i++) {
        fprintf(stream, "violation: %s\n", violations->texts[i]);
    }
    if (violations->total > CW_VIOLATIONS_KEPT) {
        fprintf(stream, "and %" PRIu64 " more\n", violations->total - CW_VIOLATIONS_KEPT);
    }
}
