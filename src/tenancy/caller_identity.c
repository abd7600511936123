/**
 * @file caller_identity.c
 * @brief A request's credentials, and whose they are.
 */
#include "tenancy/caller_identity.h"

#include <nettle/sha2.h>
#include <string.h>
#include <strings.h>

static const char header[] = "authorization";

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
        if (!cw_http_name_is_alike(fields->items[index].name, header)) {
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
    cw_caller_t        caller = {.tenant = tenant, .hides_credentials = true};

    if (tenant == NULL) {
        caller.verdict = CW_CALLER_UNKNOWN_KEY;
        return caller;
    }
    caller.key = *key;
    caller.verdict =
        owner != NULL && owner != tenant && !route->allows_anonymous ? CW_CALLER_OTHER_TENANT : CW_CALLER_KNOWN;
    return caller;
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
    state = read_credentials(fields, scheme, &key);
    if (owner != NULL && !owner->needs_key) {
        caller.hides_credentials =
            state == CREDENTIALS_KEY && cw_credential_index_find(configuration->credentials, &key) != NULL;
        return caller;
    }
    if (state == CREDENTIALS_KEY) {
        return identify_by_key(configuration, route, owner, &key);
    }
    caller.hides_credentials = true;
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

cw_caller_standing_t cw_caller_standing(const cw_caller_t *caller, const cw_configuration_t *later)
{
    const cw_tenant_t *tenant;

    if (caller->tenant == NULL || !later->needs_keys) {
        return CW_CALLER_STAYS;
    }
    tenant = cw_credential_index_find(later->credentials, &caller->key);
    if (tenant == NULL) {
        return CW_CALLER_REVOKED;
    }
    return strcmp(tenant->name, caller->tenant->name) == 0 ? CW_CALLER_STAYS : CW_CALLER_MOVED;
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

const cw_tenant_t *cw_caller_accountable(const cw_caller_t *caller, const cw_configuration_t *configuration,
                                         const cw_route_t *route)
{
    return caller->tenant != NULL ? caller->tenant : cw_configuration_tenant_of(configuration, route->name);
}
