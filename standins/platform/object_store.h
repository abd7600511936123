/**
 * @file object_store.h
 * @brief Versioned objects with conditional writes. Pure: no I/O and no clock.
 *
 * Every write raises the store's revision by one; an object's version is the revision of its last write.
 */
#ifndef CEDARWINCH_STANDINS_OBJECT_STORE_H
#define CEDARWINCH_STANDINS_OBJECT_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct cw_object_store cw_object_store_t;

typedef struct cw_object {
    char    *name;
    uint64_t version;
    char    *value;
    size_t   length;
} cw_object_t;

enum { CW_OBJECT_MUST_NOT_EXIST = 0 /**< expected version of a creating write */ };

cw_object_store_t *cw_object_store_create(void);
void               cw_object_store_free(cw_object_store_t *store);
uint64_t           cw_object_store_revision(const cw_object_store_t *store);
/** NULL: not there. */
const cw_object_t *cw_object_store_find(const cw_object_store_t *store, const char *name);
/** Writes when the present version is the expected one; CW_ERROR_CONFLICT and the present version (0: none) else. */
int cw_object_store_write(cw_object_store_t *store, const char *name, const char *value, size_t length,
                          uint64_t expected_version, uint64_t *version);
/** Visits objects with the prefix whose version is above since, in name order. Returns their number. */
size_t cw_object_store_changed(const cw_object_store_t *store, const char *prefix, uint64_t since,
                               void (*visit)(void *context, const cw_object_t *object), void *context);

#endif
