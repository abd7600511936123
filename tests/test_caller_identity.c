/**
 * @file test_caller_identity.c
 * @brief Tests which tenant a request's key identifies, and for how long keys may be used.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "tenancy/caller_identity.h"
#include "tenancy/credential_evidence.h"
#include "tenancy/request_rank.h"

/* from: printf %s sesame | sha256sum; and the digest of a key that no caller has */
static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";
static const char other_key[] = "d3a4646728a9de9a74d8fc4c41966a42e1c4b2b0b1b4ff9a0f2b7d4b0a5b5c1e";

static cw_tenant_t *add_tenant(cw_configuration_t *configuration, const char *name, const char *digest)
{
    cw_tenant_t    *tenant = cw_configuration_add_tenant(configuration);
    cw_key_digest_t key;

    tenant->name = strdup(name);
    if (digest != NULL) {
        ck_assert(cw_tenant_digest_from_text(&key, digest));
        cw_tenant_add_key(tenant, &key);
    }
    return tenant;
}

static void add_route(cw_configuration_t *configuration, const char *name, const char *prefix, bool anonymous)
{
    cw_route_t *route = cw_configuration_add_route(configuration);

    route->name = strdup(name);
    route->host = strdup("h");
    route->prefix = strdup(prefix);
    route->allows_anonymous = anonymous;
    cw_route_add_part(route, "s", 1);
}

/* Tenant a has the key sesame, b has another key, and c has none and needs none. */
static cw_configuration_t *configured(void)
{
    cw_configuration_t *configuration = cw_configuration_create(1);

    (void)add_tenant(configuration, "a", sesame);
    (void)add_tenant(configuration, "b", other_key);
    (void)add_tenant(configuration, "c", NULL);
    add_route(configuration, "all", "/all/", false);
    add_route(configuration, "open", "/open/", true);
    add_route(configuration, "a/own", "/a/", false);
    add_route(configuration, "b/own", "/b/", false);
    add_route(configuration, "b/open", "/b-open/", true);
    add_route(configuration, "c/own", "/c/", false);
    cw_configuration_seal(configuration);
    return configuration;
}

static void add_field(cw_http_fields_t *fields, const char *name, const char *value)
{
    cw_http_field_builder_t builder = {.in_value = true};

    cw_http_field_builder_name(&builder, fields, name, strlen(name));
    cw_http_field_builder_value(&builder, fields, value, strlen(value));
}

/* authorization: value of the field; NULL: no such field. */
static cw_caller_t identify(const cw_configuration_t *configuration, const char *path, const char *authorization)
{
    cw_http_fields_t fields = {0};
    cw_caller_t      caller;

    if (authorization != NULL) {
        add_field(&fields, "AUTHORIZATION", authorization);
    }
    caller = cw_caller_identify(configuration, cw_configuration_match(configuration, "h", path), &fields, "Token");
    cw_http_fields_clear(&fields);
    return caller;
}

static cw_caller_verdict_t verdict(const cw_configuration_t *configuration, const char *path, const char *authorization)
{
    return identify(configuration, path, authorization).verdict;
}

START_TEST(a_key_names_its_tenant_on_any_route)
{
    cw_configuration_t *configuration = configured();
    cw_caller_t         caller = identify(configuration, "/all/x", "Token sesame");

    ck_assert_int_eq(caller.verdict, CW_CALLER_KNOWN);
    ck_assert_str_eq(caller.tenant->name, "a");
    ck_assert(caller.strips_credentials);
    ck_assert_int_eq(verdict(configuration, "/all/x", "token  sesame"), CW_CALLER_KNOWN);
    caller = identify(configuration, "/open/x", "Token sesame");
    ck_assert_int_eq(caller.verdict, CW_CALLER_KNOWN);
    ck_assert_str_eq(caller.tenant->name, "a");
    ck_assert_int_eq(verdict(configuration, "/a/x", "Token sesame"), CW_CALLER_KNOWN);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(unknown_and_malformed_keys_are_rejected)
{
    static const char *const malformed[] = {"",
                                            "Token",
                                            "Token ",
                                            "sesame",
                                            "Bearer sesame",
                                            "Tokensesame",
                                            "Token\tsesame",
                                            "Token a b",
                                            "Token sesame,",
                                            "Token sesame, Token sesame",
                                            " Token sesame"};
    cw_configuration_t      *configuration = configured();
    size_t                   index;

    ck_assert_int_eq(verdict(configuration, "/all/x", NULL), CW_CALLER_NO_KEY);
    ck_assert_int_eq(verdict(configuration, "/a/x", NULL), CW_CALLER_NO_KEY);
    ck_assert_int_eq(verdict(configuration, "/all/x", "Token Sesame"), CW_CALLER_UNKNOWN_KEY);
    ck_assert_int_eq(verdict(configuration, "/b/x", "Token sesame"), CW_CALLER_OTHER_TENANT);
    for (index = 0; index < sizeof(malformed) / sizeof(malformed[0]); index++) {
        ck_assert_msg(verdict(configuration, "/all/x", malformed[index]) == CW_CALLER_MALFORMED, "'%s'",
                      malformed[index]);
        ck_assert_msg(verdict(configuration, "/open/x", malformed[index]) == CW_CALLER_MALFORMED, "'%s'",
                      malformed[index]);
    }
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(doubled_credentials_are_rejected_in_any_spelling)
{
    static const char *const names[] = {"Authorization", "authorization", "AUTHORIZATION", "Authorization "};
    cw_configuration_t      *configuration = configured();
    const cw_route_t        *route = cw_configuration_match(configuration, "h", "/all/x");
    size_t                   index;

    for (index = 0; index < sizeof(names) / sizeof(names[0]); index++) {
        cw_http_fields_t fields = {0};

        add_field(&fields, "Authorization", "Token sesame");
        add_field(&fields, names[index], "Token sesame");
        ck_assert_int_eq(cw_caller_identify(configuration, route, &fields, "Token").verdict, CW_CALLER_MALFORMED);
        cw_http_fields_clear(&fields);
    }
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(an_open_route_needs_no_key_and_rejects_unknown_ones)
{
    cw_configuration_t *configuration = configured();
    cw_caller_t         caller = identify(configuration, "/open/x", NULL);

    ck_assert_int_eq(caller.verdict, CW_CALLER_ANONYMOUS);
    ck_assert_ptr_null(caller.tenant);
    ck_assert(caller.strips_credentials);
    ck_assert_int_eq(verdict(configuration, "/open/x", "Token other"), CW_CALLER_UNKNOWN_KEY);
    ck_assert_int_eq(verdict(configuration, "/b-open/x", "Token sesame"), CW_CALLER_KNOWN);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(the_route_of_a_tenant_without_keys_is_open_and_passes_credentials_on)
{
    cw_configuration_t *configuration = configured();
    cw_caller_t         caller = identify(configuration, "/c/x", "Basic xyz");

    ck_assert_int_eq(caller.verdict, CW_CALLER_ANONYMOUS);
    ck_assert(!caller.strips_credentials);
    caller = identify(configuration, "/c/x", "Token sesame"); /* another tenant's key is not forwarded to its servers */
    ck_assert_int_eq(caller.verdict, CW_CALLER_ANONYMOUS);
    ck_assert(caller.strips_credentials);
    ck_assert_ptr_null(caller.tenant);
    ck_assert_str_eq(
        cw_caller_limiting_tenant(&caller, configuration, cw_configuration_match(configuration, "h", "/c/x"))->name,
        "c");
    cw_configuration_release(configuration);
}
END_TEST

/* Tenant c needs no key. Its servers must not see another tenant's key, in whatever form it was sent. */
START_TEST(another_tenants_key_is_hidden_in_any_form)
{
    static const char *const forms[] = {"sesame",
                                        "Tokensesame",
                                        "Bearer sesame",
                                        "Token sesame,",
                                        "Token x, sesame",
                                        "Token sesame x",
                                        "Token  sesame",
                                        "Token \"sesame\"",
                                        "Token 'sesame';",
                                        "Basic x\tToken\tsesame",
                                        "Token key=\"sesame\"",
                                        "Token key=sesame, x=y",
                                        "Token key =\"sesame\";"};
    cw_configuration_t      *configuration = configured();
    cw_http_fields_t         fields = {0};
    char                     parts[200] = "";
    size_t                   index;

    for (index = 0; index < sizeof(forms) / sizeof(forms[0]); index++) {
        cw_caller_t caller = identify(configuration, "/c/x", forms[index]);

        ck_assert_int_eq(caller.verdict, CW_CALLER_ANONYMOUS);
        ck_assert_msg(caller.strips_credentials, "%s", forms[index]);
    }
    add_field(&fields, "Authorization", "Basic xyz");
    add_field(&fields, "authorization", "Token sesame");
    ck_assert(cw_caller_identify(configuration, cw_configuration_match(configuration, "h", "/c/x"), &fields, "Token")
                  .strips_credentials);
    cw_http_fields_clear(&fields);
    memset(parts, 'x', sizeof(parts) - 1);
    for (index = 1; index < sizeof(parts) - 1; index += 2) { /* more parts than are examined */
        parts[index] = ' ';
    }
    ck_assert(identify(configuration, "/c/x", parts).strips_credentials);
    ck_assert(!identify(configuration, "/c/x", "Digest username=\"a\", uri=\"/c\"").strips_credentials);
    cw_configuration_release(configuration);
}
END_TEST

/* Examining credentials takes time, so the number of parts examined is bounded for a request, no matter how many fields
 * they are in. */
START_TEST(the_number_of_credential_parts_examined_is_bounded)
{
    enum { PARTS = 40 };
    cw_configuration_t *configuration = configured();
    const cw_route_t   *route = cw_configuration_match(configuration, "h", "/c/x");
    cw_http_fields_t    fields = {0};
    char                parts[2 * PARTS];
    size_t              index;

    for (index = 0; index < PARTS; index++) {
        parts[2 * index] = 'x';
        parts[2 * index + 1] = ' ';
    }
    parts[2 * PARTS - 1] = '\0';
    add_field(&fields, "Authorization", parts);
    ck_assert(!cw_caller_identify(configuration, route, &fields, "Token").strips_credentials);
    add_field(&fields, "Authorization", parts);
    ck_assert(cw_caller_identify(configuration, route, &fields, "Token").strips_credentials);
    cw_http_fields_clear(&fields);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(without_configured_keys_credentials_are_passed_on)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_caller_t         caller;

    (void)add_tenant(configuration, "c", NULL);
    add_route(configuration, "all", "/all/", false);
    cw_configuration_seal(configuration);
    caller = identify(configuration, "/all/x", "Bearer anything");
    ck_assert_int_eq(caller.verdict, CW_CALLER_ANONYMOUS);
    ck_assert(!caller.strips_credentials);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_later_configuration_keeps_revokes_or_moves_a_key)
{
    cw_configuration_t *configuration = configured();
    cw_caller_t         caller = identify(configuration, "/all/x", "Token sesame");
    cw_caller_t         nobody = identify(configuration, "/open/x", NULL);
    cw_configuration_t *later = cw_configuration_create(2);

    ck_assert_int_eq(cw_caller_recheck(&caller, configuration), CW_CALLER_UNCHANGED);
    cw_configuration_seal(later);
    ck_assert_int_eq(cw_caller_recheck(&caller, later), CW_CALLER_UNCHANGED); /* no tenant needs a key any more */
    cw_configuration_release(later);

    later = cw_configuration_create(3);
    add_tenant(later, "a", NULL)->needs_key = true;
    cw_configuration_seal(later);
    ck_assert_int_eq(cw_caller_recheck(&caller, later), CW_CALLER_REVOKED);
    ck_assert_int_eq(cw_caller_recheck(&nobody, later), CW_CALLER_UNCHANGED);
    cw_configuration_release(later);

    later = cw_configuration_create(4);
    (void)add_tenant(later, "b", sesame);
    cw_configuration_seal(later);
    ck_assert_int_eq(cw_caller_recheck(&caller, later), CW_CALLER_MOVED);
    cw_configuration_release(later);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_tenants_priority_goes_before_its_routes)
{
    cw_tenant_t urgent = {.priority = 0};
    cw_tenant_t usual = {.priority = 1};
    cw_route_t  first = {.priority = 0};
    cw_route_t  last = {.priority = 100000};

    ck_assert_uint_lt(cw_request_rank(&urgent, &last), cw_request_rank(&usual, &first));
    ck_assert_uint_lt(cw_request_rank(&usual, &first), cw_request_rank(&usual, &last));
    ck_assert_uint_eq(cw_request_rank(NULL, &first), cw_request_rank(&urgent, &first));
    ck_assert_uint_lt(cw_request_rank(NULL, &last), cw_request_rank(&usual, &first));
}
END_TEST

START_TEST(field_names_match_in_any_spelling)
{
    ck_assert(cw_http_name_is_equivalent("X-Tenant", "x-tenant"));
    ck_assert(cw_http_name_is_equivalent("X_TENANT", "X-Tenant"));
    ck_assert(cw_http_name_is_equivalent("x-Tenant \t", "X-Tenant"));
    ck_assert(cw_http_name_is_equivalent("x tenant", "X-Tenant"));
    ck_assert(!cw_http_name_is_equivalent("X-Tenants", "X-Tenant"));
    ck_assert(!cw_http_name_is_equivalent("XTenant", "X-Tenant"));
    ck_assert(!cw_http_name_is_equivalent("", "X-Tenant"));
}
END_TEST

START_TEST(keys_are_used_until_their_evidence_is_stale)
{
    cw_credential_evidence_t fail_open = {.stale_after = CW_SECONDS(5)};
    cw_credential_evidence_t fail_closed = {.stale_after = CW_SECONDS(5), .fails_closed = true};
    cw_credential_evidence_t unbounded = {.fails_closed = true};

    ck_assert_int_eq(cw_credential_evidence_check(&fail_open, 0, CW_SECONDS(9)), CW_EVIDENCE_UNCHANGED);
    ck_assert_int_eq(cw_credential_evidence_check(&fail_open, CW_SECONDS(10), CW_SECONDS(14)), CW_EVIDENCE_UNCHANGED);
    ck_assert_int_eq(cw_credential_evidence_check(&fail_open, CW_SECONDS(10), CW_SECONDS(15)), CW_EVIDENCE_STALE);
    ck_assert_int_eq(cw_credential_evidence_check(&fail_open, CW_SECONDS(10), CW_SECONDS(16)), CW_EVIDENCE_UNCHANGED);
    ck_assert_int_eq(cw_credential_evidence_check(&fail_open, CW_SECONDS(16), CW_SECONDS(16)), CW_EVIDENCE_FRESH);
    ck_assert_int_eq(cw_credential_evidence_trusted_until(&fail_open, CW_SECONDS(10)), CW_NEVER);
    ck_assert_int_eq(cw_credential_evidence_trusted_until(&fail_closed, CW_SECONDS(10)), CW_SECONDS(15));
    ck_assert_int_eq(cw_credential_evidence_trusted_until(&fail_closed, 0), 0);
    ck_assert_int_eq(cw_credential_evidence_trusted_until(&unbounded, 0), CW_NEVER);
    ck_assert_int_eq(cw_credential_evidence_check(&unbounded, CW_SECONDS(1), CW_SECONDS(900)), CW_EVIDENCE_UNCHANGED);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("caller identity");
    TCase *cases = tcase_create("caller identity");

    tcase_add_test(cases, a_key_names_its_tenant_on_any_route);
    tcase_add_test(cases, unknown_and_malformed_keys_are_rejected);
    tcase_add_test(cases, doubled_credentials_are_rejected_in_any_spelling);
    tcase_add_test(cases, an_open_route_needs_no_key_and_rejects_unknown_ones);
    tcase_add_test(cases, the_route_of_a_tenant_without_keys_is_open_and_passes_credentials_on);
    tcase_add_test(cases, another_tenants_key_is_hidden_in_any_form);
    tcase_add_test(cases, the_number_of_credential_parts_examined_is_bounded);
    tcase_add_test(cases, without_configured_keys_credentials_are_passed_on);
    tcase_add_test(cases, a_later_configuration_keeps_revokes_or_moves_a_key);
    tcase_add_test(cases, a_tenants_priority_goes_before_its_routes);
    tcase_add_test(cases, field_names_match_in_any_spelling);
    tcase_add_test(cases, keys_are_used_until_their_evidence_is_stale);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
