/**
 * @file yaml_tree.c
 * @brief Typed reading of a YAML document.
 */
#include "config/yaml_tree.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

enum { DIGEST_TEXT_LENGTH = 2 * CW_YAML_DIGEST_BYTES, MESSAGE_MAX = 512 };

int cw_yaml_load(cw_yaml_document_t *document, const char *text, size_t length, const char *file_name,
                 cw_findings_t *findings)
{
    yaml_parser_t parser;
    int           error = CW_OK;

    memset(document, 0, sizeof(*document));
    document->file_name = file_name;
    document->findings = findings;
    if (!yaml_parser_initialize(&parser)) {
        return CW_ERROR_NO_MEMORY;
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text, length);
    if (!yaml_parser_load(&parser, &document->document)) {
        cw_findings_add(findings, file_name, (unsigned)parser.problem_mark.line + 1,
                        (unsigned)parser.problem_mark.column + 1, "not valid YAML: %s",
                        parser.problem != NULL ? parser.problem : "cannot be read");
        error = CW_ERROR_PARSE;
    } else {
        document->loaded = true;
        document->root = yaml_document_get_root_node(&document->document);
        if (document->root == NULL) {
            cw_findings_add(findings, file_name, 1, 1, "the file is empty; expected a mapping of keys to values");
            error = CW_ERROR_PARSE;
        }
    }
    yaml_parser_delete(&parser);
    return error;
}

void cw_yaml_unload(cw_yaml_document_t *document)
{
    if (document->loaded) {
        yaml_document_delete(&document->document);
    }
    document->loaded = false;
}

void cw_yaml_report(cw_yaml_document_t *document, const yaml_node_t *node, const char *format, ...)
{
    char     message[MESSAGE_MAX];
    va_list  arguments;
    unsigned line = node != NULL ? (unsigned)node->start_mark.line + 1 : 0;
    unsigned column = node != NULL ? (unsigned)node->start_mark.column + 1 : 0;

    va_start(arguments, format);
    vsnprintf(message, sizeof(message), format, arguments);
    va_end(arguments);
    cw_findings_add(document->findings, document->file_name, line, column, "%s", message);
}

void cw_yaml_open(cw_yaml_mapping_t *mapping, cw_yaml_document_t *document, yaml_node_t *node, const char *what)
{
    memset(mapping, 0, sizeof(*mapping));
    mapping->document = document;
    if (node != NULL && node->type != YAML_MAPPING_NODE) {
        cw_yaml_report(document, node, "%s must be a mapping of keys to values", what);
        node = NULL;
    }
    mapping->node = node;
}

static yaml_node_t *pair_key(const cw_yaml_mapping_t *mapping, const yaml_node_pair_t *pair)
{
    return yaml_document_get_node(&mapping->document->document, pair->key);
}

static bool scalar_equals(const yaml_node_t *node, const char *text)
{
    return node->type == YAML_SCALAR_NODE && strcmp((const char *)node->data.scalar.value, text) == 0;
}

static bool is_known(const cw_yaml_mapping_t *mapping, const yaml_node_t *key)
{
    size_t position;

    for (position = 0; position < mapping->known_count; position++) {
        if (scalar_equals(key, mapping->known[position])) {
            return true;
        }
    }
    return false;
}

/* Writes the known keys, separated by commas, for a finding about an unknown key. */
static void list_known(const cw_yaml_mapping_t *mapping, char *text, size_t size)
{
    size_t position;
    size_t length = 0;

    text[0] = '\0';
    for (position = 0; position < mapping->known_count && length < size; position++) {
        length +=
            (size_t)snprintf(text + length, size - length, "%s%s", position == 0 ? "" : ", ", mapping->known[position]);
    }
}

static bool appears_before(const cw_yaml_mapping_t *mapping, const yaml_node_pair_t *end, const char *name)
{
    const yaml_node_pair_t *pair;

    for (pair = mapping->node->data.mapping.pairs.start; pair < end; pair++) {
        if (scalar_equals(pair_key(mapping, pair), name)) {
            return true;
        }
    }
    return false;
}

void cw_yaml_finish(const cw_yaml_mapping_t *mapping)
{
    const yaml_node_pair_t *pair;
    const yaml_node_t      *key;
    char                    known[MESSAGE_MAX / 2];

    if (mapping->node == NULL) {
        return;
    }
    list_known(mapping, known, sizeof(known));
    for (pair = mapping->node->data.mapping.pairs.start; pair < mapping->node->data.mapping.pairs.top; pair++) {
        key = pair_key(mapping, pair);
        if (!is_known(mapping, key)) {
            cw_yaml_report(mapping->document, key, "unknown key '%s'; known here: %s",
                           key->type == YAML_SCALAR_NODE ? (const char *)key->data.scalar.value : "(not a scalar)",
                           known);
        } else if (appears_before(mapping, pair, (const char *)key->data.scalar.value)) {
            cw_yaml_report(mapping->document, key, "key '%s' is given twice", key->data.scalar.value);
        }
    }
}

yaml_node_t *cw_yaml_get(cw_yaml_mapping_t *mapping, const char *key, bool required)
{
    const yaml_node_pair_t *pair;

    if (mapping->known_count < CW_YAML_KEYS_MAX) {
        mapping->known[mapping->known_count++] = key;
    }
    if (mapping->node == NULL) {
        return NULL;
    }
    for (pair = mapping->node->data.mapping.pairs.start; pair < mapping->node->data.mapping.pairs.top; pair++) {
        if (scalar_equals(pair_key(mapping, pair), key)) {
            return yaml_document_get_node(&mapping->document->document, pair->value);
        }
    }
    if (required) {
        cw_yaml_report(mapping->document, mapping->node, "key '%s' is missing", key);
    }
    return NULL;
}

static const char *scalar_of(cw_yaml_mapping_t *mapping, const char *key, yaml_node_t *node)
{
    if (node == NULL) {
        return NULL;
    }
    if (node->type != YAML_SCALAR_NODE || node->data.scalar.length == 0) {
        cw_yaml_report(mapping->document, node, "'%s' must be a single value that is not empty", key);
        return NULL;
    }
    return (const char *)node->data.scalar.value;
}

const char *cw_yaml_text(cw_yaml_mapping_t *mapping, const char *key, bool required)
{
    return scalar_of(mapping, key, cw_yaml_get(mapping, key, required));
}

const char *cw_yaml_name(cw_yaml_mapping_t *mapping, const char *key, bool required)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    yaml_node_t      *node = cw_yaml_get(mapping, key, required);
    const char       *text = scalar_of(mapping, key, node);

    if (text == NULL) {
        return NULL;
    }
    if (strlen(text) > CW_NAME_MAX || strspn(text, allowed) != strlen(text)) {
        cw_yaml_report(mapping->document, node,
                       "'%s' must be a name of letters, digits, '-', '_' and '.', at most %d bytes", key, CW_NAME_MAX);
        return NULL;
    }
    return text;
}

static uint64_t read_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high, uint64_t fallback,
                            bool required)
{
    yaml_node_t *node = cw_yaml_get(mapping, key, required);
    const char  *text = scalar_of(mapping, key, node);
    char        *end = NULL;
    uint64_t     value;

    if (text == NULL) {
        return fallback;
    }
    errno = 0;
    value = strtoull(text, &end, 10);
    if (errno != 0 || *end != '\0' || text[0] == '-' || value < low || value > high) {
        cw_yaml_report(mapping->document, node, "'%s' must be a whole number from %" PRIu64 " to %" PRIu64, key, low,
                       high);
        return fallback;
    }
    return value;
}

uint64_t cw_yaml_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high, uint64_t fallback)
{
    return read_number(mapping, key, low, high, fallback, false);
}

uint64_t cw_yaml_required_number(cw_yaml_mapping_t *mapping, const char *key, uint64_t low, uint64_t high)
{
    return read_number(mapping, key, low, high, low, true);
}

double cw_yaml_real(cw_yaml_mapping_t *mapping, const char *key, double low, double high, double fallback)
{
    yaml_node_t *node = cw_yaml_get(mapping, key, false);
    const char  *text = scalar_of(mapping, key, node);
    char        *end = NULL;
    double       value;

    if (text == NULL) {
        return fallback;
    }
    value = strtod(text, &end);
    if (*end != '\0' || !(value >= low && value <= high)) {
        cw_yaml_report(mapping->document, node, "'%s' must be a number from %g to %g", key, low, high);
        return fallback;
    }
    return value;
}

bool cw_yaml_flag(cw_yaml_mapping_t *mapping, const char *key, bool fallback)
{
    yaml_node_t *node = cw_yaml_get(mapping, key, false);
    const char  *text = scalar_of(mapping, key, node);

    if (text == NULL) {
        return fallback;
    }
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        cw_yaml_report(mapping->document, node, "'%s' is '%s'; must be true or false", key, text);
        return fallback;
    }
    return strcmp(text, "true") == 0;
}

const char *cw_yaml_address(cw_yaml_mapping_t *mapping, const char *key, bool required)
{
    yaml_node_t    *node = cw_yaml_get(mapping, key, required);
    const char     *text = scalar_of(mapping, key, node);
    struct in6_addr parsed;

    if (text == NULL) {
        return NULL;
    }
    if (inet_pton(AF_INET, text, &parsed) != 1 && inet_pton(AF_INET6, text, &parsed) != 1) {
        cw_yaml_report(mapping->document, node, "'%s' must be an IP number, such as 127.0.0.1", key);
        return NULL;
    }
    return text;
}

static int hexadecimal_digit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return -1;
}

static bool parse_digest(const char *text, size_t length, uint8_t digest[CW_YAML_DIGEST_BYTES])
{
    size_t position;
    int    high;
    int    low;

    if (length != DIGEST_TEXT_LENGTH) {
        return false;
    }
    for (position = 0; position < CW_YAML_DIGEST_BYTES; position++) {
        high = hexadecimal_digit(text[2 * position]);
        low = hexadecimal_digit(text[2 * position + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        digest[position] = (uint8_t)(high * 16 + low);
    }
    return true;
}

bool cw_yaml_digest(cw_yaml_document_t *document, const yaml_node_t *node, uint8_t digest[CW_YAML_DIGEST_BYTES])
{
    if (node == NULL) {
        return false;
    }
    if (node->type == YAML_SCALAR_NODE &&
        parse_digest((const char *)node->data.scalar.value, node->data.scalar.length, digest)) {
        return true;
    }
    cw_yaml_report(document, node, "must be the SHA-256 digest of a key: %d hexadecimal digits", DIGEST_TEXT_LENGTH);
    return false;
}

size_t cw_yaml_count(cw_yaml_document_t *document, const yaml_node_t *node, const char *what)
{
    if (node == NULL) {
        return 0;
    }
    if (node->type != YAML_SEQUENCE_NODE) {
        cw_yaml_report(document, node, "'%s' must be a list", what);
        return 0;
    }
    return (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
}

yaml_node_t *cw_yaml_item(cw_yaml_document_t *document, const yaml_node_t *node, size_t position)
{
    return yaml_document_get_node(&document->document, node->data.sequence.items.start[position]);
}
