/**
 * @file yaml_tree.h
 * @brief Typed reading of a YAML document with findings that carry line and column.
 *
 * A reader takes the keys it knows out of a mapping; cw_yaml_finish then reports every key that nobody took.
 * All functions accept NULL nodes and mappings, so that one fault does not hide the next.
 */
#ifndef CEDARWINCH_YAML_TREE_H
#define CEDARWINCH_YAML_TREE_H

#include <stdbool.h>
#include <stdint.h>
#include <yaml.h>

#include "base/findings.h"

typedef struct cw_yaml_document {
    yaml_document_t document;
    yaml_node_t    *root;
    const char     *file_name;
    cw_findings_t  *findings;
    bool            loaded;
} cw_yaml_document_t;

enum {
    CW_YAML_KEYS_MAX = 128,
    CW_NAME_MAX = 63,          /**< bytes of a name */
    CW_TOKEN_DIGEST_BYTES = 32 /**< SHA-256 */
};

/** A mapping being read; remembers which keys were taken. */
typedef struct cw_yaml_mapping {
    cw_yaml_document_t *document;
    yaml_node_t        *node;
    const char         *known[CW_YAML_KEYS_MAX]; /**< keys asked for */
    size_t              known_count;
} cw_yaml_mapping_t;

/** Parses text; a syntax fault is a finding and CW_ERROR_PARSE. */
int  cw_yaml_load(cw_yaml_document_t *document, const char *text, size_t length, const char *file_name,
                  cw_findings_t *findings);
void cw_yaml_unload(cw_yaml_document_t *document);

/** Adds a finding at a node's place. */
void cw_yaml_report(cw_yaml_document_t *document, const yaml_node_t *node, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Begins to read a mapping; reports a node of another kind (then every key reads as absent). */
void cw_yaml_open(cw_yaml_mapping_t *mapping, cw_yaml_document_t *document, yaml_node_t *node, const char *what);
/** Reports keys that were not asked for, and keys given twice. */
void cw_yaml_finish(const cw_yaml_mapping_t *mapping);

/** Value node of a key, or NULL; required reports its absence. */
yaml_node_t *cw_yaml_get(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Scalar text of a key, or NULL. Valid while the document is loaded. */
const char *cw_yaml_text(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Name: letters, digits, '-', '_' and '.', at most CW_NAME_MAX bytes. */
const char *cw_yaml_name(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** Unsigned number within [low, high]; fallback when absent. */
uint64_t cw_yaml_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high, uint64_t fallback);
uint64_t cw_yaml_required_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high);
/** Real number within [low, high]; fallback when absent. */
double cw_yaml_real(cw_yaml_mapping_t *mapping, const char *key, double low, double high, double fallback);
/** true or false; fallback when absent. */
bool cw_yaml_flag(cw_yaml_mapping_t *mapping, const char *key, bool fallback);
/** IPv4 or IPv6 number. */
const char *cw_yaml_address(cw_yaml_mapping_t *mapping, const char *key, bool required);
/** SHA-256 digest of 64 hexadecimal digits. */
bool cw_yaml_digest(cw_yaml_document_t *document, const yaml_node_t *node, uint8_t digest[32]);

/** Items of a sequence node: count, and item by position. Reports a node of another kind. */
size_t       cw_yaml_count(cw_yaml_document_t *document, const yaml_node_t *node, const char *what);
yaml_node_t *cw_yaml_item(cw_yaml_document_t *document, const yaml_node_t *node, size_t position);

#endif
