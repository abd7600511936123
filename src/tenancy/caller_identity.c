/**
 * @file caller_identity.c
 * @brief Reads the credentials of a request and finds the tenant that they belong to.
 */
#include "tenancy/caller_identity.h"

#include <nettle/sha2.h>
#include <string.h>
#include <strings.h>

enum {
    /* Longest text that is examined as one key: a quarter of the longest request head (router_callers.c) */
    MAX_KEY_BYTES = 4096,
    MAX_PARTS = 64 /* number of parts examined over all credentials of a request; each takes about 1 us */
};

static const char authorization_name[] = "authorization";
static const char separators[] = " \t,"; /* characters that no key contains */
static const char delimiters[] = ";\"'"; /* characters that may enclose a key in another form of credentials */

/** Form of the credentials of a request. */
typedef enum credentials_state { CREDENTIALS_NONE, CREDENTIALS_MALFORMED, CREDENTIALS_KEY } credentials_state_t;

/* Returns the key after the scheme; NULL: the scheme is another one, or no single key follows it. */
static const char *parse_key(const char *value, const char *scheme)
{
    size_t      length = strlen(scheme);
    const char *key;

    if (strncasecmp(value, scheme, length) != 0 || value[length] != ' ') {
        return NULL;
    }
    key = value + length + strspn(value + length, " ");
    length = strcspn(key, " \t,"); /* several values joined by a comma or a blank are not one key */
    return length == 0 || key[length] != '\0' ? NULL : key;
}

static void compute_digest(const char *key, cw_key_digest_t *digest)
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
        if (!cw_http_name_is_equivalent(fields->items[index].name, authorization_name)) {
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
    key = parse_key(value, scheme);
    if (key == NULL) {
        return CREDENTIALS_MALFORMED;
    }
    compute_digest(key, digest);
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

/* True if this part of a field's value is a known key, by itself or with the scheme directly before it. A part that is
 * too long to be examined counts as one. */
static bool is_known_key(const cw_configuration_t *configuration, const char *part, size_t length, const char *scheme)
{
    size_t          scheme_length = strlen(scheme);
    char            text[MAX_KEY_BYTES + 1];
    cw_key_digest_t key;

    if (length == 0 || length > MAX_KEY_BYTES) {
        return length > 0;
    }
    memcpy(text, part, length);
    text[length] = '\0';
    compute_digest(text, &key);
    if (cw_credential_index_find(configuration->credentials, &key) != NULL) {
        return true;
    }
    if (length <= scheme_length || strncasecmp(text, scheme, scheme_length) != 0) {
        return false;
    }
    compute_digest(text + scheme_length, &key);
    return cw_credential_index_find(configuration->credentials, &key) != NULL;
}

static bool is_delimited_key(const cw_configuration_t *configuration, const char *part, size_t length,
                             const char *scheme)
{
    size_t skipped = strspn(part, delimiters);

    while (length > skipped && strchr(delimiters, part[length - 1]) != NULL) {
        length--;
    }
    return length > skipped && is_known_key(configuration, part + skipped, length - skipped, scheme);
}

static bool is_bare_or_delimited_key(const cw_configuration_t *configuration, const char *part, size_t length,
                                     const char *scheme)
{
    return is_known_key(configuration, part, length, scheme) || is_delimited_key(configuration, part, length, scheme);
}

/* Checks the value of a parameter, name=key (RFC 9110, 11.2). */
static bool is_parameter_key(const cw_configuration_t *configuration, const char *part, size_t length,
                             const char *scheme)
{
    size_t skipped = strcspn(part, "=") + 1;

    return skipped < length && is_bare_or_delimited_key(configuration, part + skipped, length - skipped, scheme);
}

/* Checks credentials that could not be read as one key, since they may still contain one. If they have more parts than
 * are examined, they are assumed to contain one. */
static bool may_contain_key(const cw_configuration_t *configuration, const char *value, const char *scheme,
                            size_t *parts)
{
    for (; *parts < MAX_PARTS; (*parts)++) {
        size_t length;

        value += strspn(value, separators);
        if (*value == '\0') {
            return false;
        }
        length = strcspn(value, separators);
        if (is_bare_or_delimited_key(configuration, value, length, scheme) ||
            is_parameter_key(configuration, value, length, scheme)) {
            return true;
        }
        value += length;
    }
    return true;
}

/* For a request whose tenant needs no key: true if the credentials may contain another tenant's key, which must not be
 * forwarded. */
static bool contains_key(const cw_configuration_t *configuration, const cw_http_fields_t *fields, const char *scheme)
{
    size_t parts = 0;
    size_t index;

    for (index = 0; index < fields->count; index++) {
        const cw_http_field_t *field = &fields->items[index];

        if (cw_http_name_is_equivalent(field->name, authorization_name) && field->value != NULL &&
            may_contain_key(configuration, field->value, scheme, &parts)) {
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
        caller.strips_credentials = contains_key(configuration, fields, scheme);
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
