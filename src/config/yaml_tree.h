/**
 * @file yaml_tree.h
 * @brief Typed reading of a YAML document; every error becomes a finding with line and column.
 *
 * The caller reads the keys that it knows from a mapping; cw_yaml_finish then reports all other keys of the mapping.
 * All functions accept nodes that are NULL and mappings without a node and read them as empty, so that reading
 * continues after an error and reports all errors together.
 */
#ifndef CEDARWINCH_YAML_TREE_H
#define CEDARWINCH_YAML_TREE_H

#include <stdbool.h>
#include <stdint.h>
#include <yaml.h>

#include "base/findings.h"

/** A parsed document. */
typedef struct cw_yaml_document {
    yaml_document_t document;
    yaml_node_t    *root;
    const char     *file_name; /**< shown in findings */
    cw_findings_t  *findings;
    bool            loaded;
} cw_yaml_document_t;

enum {
    CW_YAML_KEYS_MAX = 128,   /**< keys that can be read from one mapping */
    CW_NAME_MAX = 63,         /**< bytes of a name */
    CW_YAML_DIGEST_BYTES = 32 /**< SHA-256 */
};

/** A mapping that is being read, with the keys that the caller has read. */
typedef struct cw_yaml_mapping {
    cw_yaml_document_t *document;
    yaml_node_t        *node;
    const char         *known[CW_YAML_KEYS_MAX]; /**< keys read so far, also absent ones */
    size_t              known_count;
} cw_yaml_mapping_t;

/** Parses a text. Returns CW_ERROR_PARSE, with a finding, if it is empty or not valid YAML. */
int cw_yaml_load(cw_yaml_document_t *document, const char *text, size_t length, const char *file_name,
                 cw_findings_t *findings);
/** Frees the document; also after a failed load. */
void cw_yaml_unload(cw_yaml_document_t *document);

/** Adds a finding with the line and column of a node; node: NULL for the file as a whole. */
void cw_yaml_report(cw_yaml_document_t *document, const yaml_node_t *node, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Begins to read a mapping. A node of another kind is reported, and all keys are then read as absent. what:
 * description of the mapping for the finding. */
void cw_yaml_open(cw_yaml_mapping_t *mapping, cw_yaml_document_t *document, yaml_node_t *node, const char *what);
/** Reports the keys that the caller has not read and the keys that are given twice; called after all keys were read. */
void cw_yaml_finish(const cw_yaml_mapping_t *mapping);

/** Value node of a key, or NULL if it is absent; if it is required, its absence is reported. */
yaml_node_t *cw_yaml_get(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Text of a key with a scalar value, or NULL. Valid until cw_yaml_unload. */
const char *cw_yaml_text(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Text of a key that must be a name: letters, digits, '-', '_' and '.', at most CW_NAME_MAX bytes. */
const char *cw_yaml_name(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Whole number within [low, high]; `fallback` if the key is absent or its value is wrong. */
uint64_t cw_yaml_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high, uint64_t fallback);
/** Whole number within [low, high] of a required key; `low` if it is absent or wrong. */
uint64_t cw_yaml_required_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high);
/** Real number within [low, high]; `fallback` if the key is absent or its value is wrong. */
double cw_yaml_real(cw_yaml_mapping_t *mapping, const char *key, double low, double high, double fallback);
/** Boolean, "true" or "false"; `fallback` if the key is absent or its value is wrong. */
bool cw_yaml_flag(cw_yaml_mapping_t *mapping, const char *key, bool fallback);
/** Text of a key that must be an IPv4 or IPv6 address. */
const char *cw_yaml_address(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Parses a SHA-256 digest of 64 hexadecimal digits; reports anything else and returns false. */
bool cw_yaml_digest(cw_yaml_document_t *document, const yaml_node_t *node, uint8_t digest[32]);

/** Number of items of a sequence; 0 if the node is NULL. A node of another kind is reported and has 0 items. */
size_t cw_yaml_count(cw_yaml_document_t *document, const yaml_node_t *node, const char *what);
/** Item of a sequence; position: below cw_yaml_count. */
yaml_node_t *cw_yaml_item(cw_yaml_document_t *document, const yaml_node_t *node, size_t position);

#endif
