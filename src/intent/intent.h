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

/** Where the file names a key, for findings. */
typedef struct cw_key_place {
    cw_key_digest_t key;
    unsigned        line;
    unsigned        column;
} cw_key_place_t;

typedef struct cw_intent {
    char                 tenant[64];
    cw_configuration_t  *part; /**< this tenant's entries only */
    cw_key_place_t      *key_places;
    size_t               key_place_count;
    const cw_name_set_t *known_regions; /**< while it is read; NULL: not known */
} cw_intent_t;

/** Reads and checks a text. CW_ERROR_PARSE, with findings that name the places, when anything is wrong. regions: that
 * exist, others are findings; NULL: not known. */
int  cw_intent_parse(cw_intent_t *intent, const char *text, size_t length, const char *file_name,
                     const cw_name_set_t *regions, cw_findings_t *findings);
int  cw_intent_read(cw_intent_t *intent, const char *file_name, const cw_name_set_t *regions, cw_findings_t *findings);
void cw_intent_clear(cw_intent_t *intent);

#endif
