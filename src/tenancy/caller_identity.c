/**
 * @file caller_identity.c
 * @brief A request's credentials, and whose they are.
 */
#include "tenancy/caller_identity.h"

#include <nettle/sha2.h>
#include <string.h>
#include <strings.h>

enum {
    KEY_MOST = 4096, /* bytes that are looked at as one key: a quarter of the longest head (router_callers.c) */
    PARTS_MOST = 64  /* of all credentials of a request: some 1 us each */
};

static const char header[] = "authorization";
static const char separators[] = " \t,"; /* no key has one */
static const char marks[] = ";\"'";      /* that may stand around a key in another form */

/** The credentials of a request, as far as they can be told apart. */
typedef enum credentials_state { CREDENTIALS_NONE, CREDENTIALS_MALFORMED, CREDENTIALS_KEY } credentials_state_t;

/* The key behind the scheme; NULL: another scheme, or what follows it is no key. */
static const char *key_in(const char *value, const char *scheme)
{
    size_t      length = strlen(scheme);
    const char *key;

    if (strncasecmp(value, scheme, length) != 0 || value[length] != ' ') {
        return NULL;
    }
    key = value + length + strspn(value + length, " ");
    length = strcspn(key, " \t,"); /* a comma or a blank would join several */
    return length == 0 || key[length] != '\0' ? NULL : key;
}

static void digest_of(const char *key, cw_key_digest_t *digest)
{
    struct sha256_ctx context;

    sha256_init(&context);
    sha256_update(&context, strlen(key), (const uint8_t *)key);
    sha256_digest(&context, sizeof(digest->bytes), digest->bytes);
}

static credentials_state_t read_credentials(const cw_http_fields_t *fields, const char *scheme, cw_key_digest_t *digest)
{
    const char *value = NULL;
    const char *key;
    size_t      index;

    for (index = 0; index < fields->count; index++) {
        if (!cw_http_name_is_equivalent(fields->items[index].name, header)) {
            continue;
        }
        if (value != NULL) {
            return CREDENTIALS_MALFORMED;
        }
        value = fields->items[index].value == NULL ? "" : fields->items[index].value;
    }
    if (value == NULL) {
        return CREDENTIALS_NONE;
    }
    key = key_in(value, scheme);
    if (key == NULL) {
        return CREDENTIALS_MALFORMED;
    }
    digest_of(key, digest);
    return CREDENTIALS_KEY;
}

static cw_caller_t identify_by_key(const cw_configuration_t *configuration, const cw_route_t *route,
                                   const cw_tenant_t *owner, const cw_key_digest_t *key)
{
    const cw_tenant_t *tenant = cw_credential_index_find(configuration->credentials, key);
    cw_caller_t        caller = {.tenant = tenant, .strips_credentials = true};

    if (tenant == NULL) {
        caller.verdict = CW_CALLER_UNKNOWN_KEY;
        return caller;
    }
    caller.key = *key;
    caller.verdict =
        owner != NULL && owner != tenant && !route->allows_anonymous ? CW_CALLER_OTHER_TENANT : CW_CALLER_KNOWN;
    return caller;
}

/* Is this part of a field's value a key, by itself or glued to the scheme? */
static bool is_known_key(const cw_configuration_t *configuration, const char *part, size_t length, const char *scheme)
{
    size_t          glued = strlen(scheme);
    char            text[KEY_MOST + 1];
    cw_key_digest_t key;

    if (length == 0 || length > KEY_MOST) {
        return length > 0;
    }
    memcpy(text, part, length);
    text[length] = '\0';
    digest_of(text, &key);
    if (cw_credential_index_find(configuration->credentials, &key) != NULL) {
        return true;
    }
    if (length <= glued || strncasecmp(text, scheme, glued) != 0) {
        return false;
    }
    digest_of(text + glued, &key);
    return cw_credential_index_find(configuration->credentials, &key) != NULL;
}

static bool is_marked_key(const cw_configuration_t *configuration, const char *part, size_t length, const char *scheme)
{
    size_t before = strspn(part, marks);

    while (length > before && strchr(marks, part[length - 1]) != NULL) {
        length--;
    }
    return length > before && is_known_key(configuration, part + before, length - before, scheme);
}

static bool is_key(const cw_configuration_t *configuration, const char *part, size_t length, const char *scheme)
{
    return is_known_key(configuration, part, length, scheme) || is_marked_key(configuration, part, length, scheme);
}

/* As a parameter, name=key (RFC 9110, 11.2). */
static bool is_parameter_key(const cw_configuration_t *configuration, const char *part, size_t length,
                             const char *scheme)
{
    size_t before = strcspn(part, "=") + 1;

    return before < length && is_key(configuration, part + before, length - before, scheme);
}

/* What could not be read as one key may hold one all the same. Where there is more than is looked at, it is taken to.
 */
static bool may_hold_key(const cw_configuration_t *configuration, const char *value, const char *scheme, size_t *parts)
{
    for (; *parts < PARTS_MOST; (*parts)++) {
        size_t length;

        value += strspn(value, separators);
        if (*value == '\0') {
            return false;
        }
        length = strcspn(value, separators);
        if (is_key(configuration, value, length, scheme) || is_parameter_key(configuration, value, length, scheme)) {
            return true;
        }
        value += length;
    }
    return true;
}

/* Of a request whose tenant needs no key: is another tenant's key among its credentials? */
static bool holds_key(const cw_configuration_t *configuration, const cw_http_fields_t *fields, const char *scheme)
{
    size_t parts = 0;
    size_t index;

    for (index = 0; index < fields->count; index++) {
        const cw_http_field_t *field = &fields->items[index];

        if (cw_http_name_is_equivalent(field->name, header) && field->value != NULL &&
            may_hold_key(configuration, field->value, scheme, &parts)) {
            return true;
        }
    }
    return false;
}

cw_caller_t cw_caller_identify(const cw_configuration_t *configuration, const cw_route_t *route,
                               const cw_http_fields_t *fields, const char *scheme)
{
    const cw_tenant_t  *owner = cw_configuration_tenant_of(configuration, route->name);
    cw_caller_t         caller = {.verdict = CW_CALLER_ANONYMOUS};
    cw_key_digest_t     key;
    credentials_state_t state;

    if (!configuration->needs_keys) {
        return caller;
    }
    if (owner != NULL && !owner->needs_key) {
        caller.strips_credentials = holds_key(configuration, fields, scheme);
        return caller;
    }
    state = read_credentials(fields, scheme, &key);
    if (state == CREDENTIALS_KEY) {
        return identify_by_key(configuration, route, owner, &key);
    }
    caller.strips_credentials = true;
    if (state == CREDENTIALS_MALFORMED) {
        caller.verdict = CW_CALLER_MALFORMED;
    } else if (!route->allows_anonymous) {
        caller.verdict = CW_CALLER_NO_KEY;
    }
    return caller;
}

bool cw_caller_is_rejected(const cw_caller_t *caller)
{
    return caller->verdict != CW_CALLER_ANONYMOUS && caller->verdict != CW_CALLER_KNOWN;
}

cw_caller_recheck_t cw_caller_recheck(const cw_caller_t *caller, const cw_configuration_t *later)
{
    const cw_tenant_t *tenant;

    if (caller->tenant == NULL || !later->needs_keys) {
        return CW_CALLER_UNCHANGED;
    }
    tenant = cw_credential_index_find(later->credentials, &caller->key);
    if (tenant == NULL) {
        return CW_CALLER_REVOKED;
    }
    return strcmp(tenant->name, caller->tenant->name) == 0 ? CW_CALLER_UNCHANGED : CW_CALLER_MOVED;
}

const char *cw_caller_reason(cw_caller_verdict_t verdict)
{
    static const char *const reasons[] = {
        [CW_CALLER_ANONYMOUS] = "no key needed",
        [CW_CALLER_KNOWN] = "key known",
        [CW_CALLER_NO_KEY] = "no key",
        [CW_CALLER_MALFORMED] = "malformed or doubled credentials, or another scheme",
        [CW_CALLER_UNKNOWN_KEY] = "unknown key",
        [CW_CALLER_OTHER_TENANT] = "the route is another tenant's",
    };

    return reasons[verdict];
}

const cw_tenant_t *cw_caller_limiting_tenant(const cw_caller_t *caller, const cw_configuration_t *configuration,
                                             const cw_route_t *route)
{
    return caller->tenant != NULL ? caller->tenant : cw_configuration_tenant_of(configuration, route->name);
}
