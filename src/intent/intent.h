/**
 * @file intent.h
 * @brief An operator's intent: the desired services, routes, keys and limits of one tenant, in a YAML file.
 *
 * The file is meant to be kept under version control. Names of services and routes in it are short; in the
 * configuration the tenant's name and a slash precede them.
 */
#ifndef CEDARWINCH_INTENT_INTENT_H
#define CEDARWINCH_INTENT_INTENT_H

#include "base/findings.h"
#include "model/configuration.h"

/** A caller's key and the line and column of the file that name it, for findings. */
typedef struct cw_key_location {
    cw_key_digest_t key;
    unsigned        line;
    unsigned        column;
} cw_key_location_t;

/** A parsed intent. */
typedef struct cw_intent {
    char                 tenant[64];
    cw_configuration_t  *configuration; /**< the entries of this tenant only */
    cw_key_location_t   *key_locations;
    size_t               key_location_count;
    const cw_name_set_t *known_regions; /**< regions that exist, during the parsing only; NULL: not known */
} cw_intent_t;

/** Parses and checks a text. Returns CW_ERROR_PARSE, with findings that name line and column, if anything in it is
 * wrong. regions: the regions that exist, any other region is a finding; NULL: not known, any region is accepted. */
int cw_intent_parse(cw_intent_t *intent, const char *text, size_t length, const char *file_name,
                    const cw_name_set_t *regions, cw_findings_t *findings);
/** Parses and checks a file as cw_intent_parse does a text; CW_ERROR_IO if the file cannot be read. */
int cw_intent_read(cw_intent_t *intent, const char *file_name, const cw_name_set_t *regions, cw_findings_t *findings);
/** Frees an intent; also after an error. */
void cw_intent_clear(cw_intent_t *intent);

#endif
