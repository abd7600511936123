/**
 * @file intent.h
 * @brief An operator's intent: what one tenant's services and routes should be. A YAML file under version control.
 *
 * Names in the file are short; in the configuration they begin with the tenant's name and a slash.
 */
#ifndef CEDARWINCH_INTENT_INTENT_H
#define CEDARWINCH_INTENT_INTENT_H

#include "base/findings.h"
#include "model/configuration.h"

typedef struct cw_intent {
    char                tenant[64];
    cw_configuration_t *part; /**< this tenant's entries only */
} cw_intent_t;

/** Reads and checks a text. CW_ERROR_PARSE, with findings that name the places, when anything is wrong. */
int  cw_intent_parse(cw_intent_t *intent, const char *text, size_t length, const char *file_name,
                     cw_findings_t *findings);
int  cw_intent_read(cw_intent_t *intent, const char *file_name, cw_findings_t *findings);
void cw_intent_clear(cw_intent_t *intent);

#endif
