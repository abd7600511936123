/**
 * @file test_platform_configuration.c
 * @brief Decoding of configurations in the platform's store: accepted ones, and the place and reason of each refusal.
 */
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "platform_internal.h"

#define ROUTE_START "{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\",\"service\":\"s\""
#define BODY_START  "{\"version\":3,\"routes\":[" ROUTE_START "}]"
#define TENANT      "{\"name\":\"t\",\"api-keys\":[\"sesame\"]"

/* output of: printf %s sesame | sha256sum */
static const char sesame[] = "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272";

static cw_configuration_t *parse(const char *text, cw_platform_problem_t *problem)
{
    json_t             *value = json_loads(text, 0, NULL);
    cw_configuration_t *configuration;

    ck_assert_msg(value != NULL, "%s", text);
    configuration = cw_platform_parse_configuration(value, problem);
    json_decref(value);
    return configuration;
}

static cw_configuration_t *read_valid(const char *text)
{
    cw_platform_problem_t problem;
    cw_configuration_t   *configuration = parse(text, &problem);

    ck_assert_msg(configuration != NULL, "%s: %s", text, problem.text);
    return configuration;
}

START_TEST(decodes_all_fields_of_tenants_and_routes)
{
    cw_configuration_t *configuration = read_valid(
        "{\"version\":7,\"routes\":[" ROUTE_START ",\"route-type\":\"safe\",\"allow-anonymous\":true},"
        "{\"name\":\"u\",\"host\":\"h\",\"path-prefix\":\"/u/\",\"service\":\"s\",\"route-type\":\"upload\","
        "\"allowed-regions\":[\"cuyo\"]}],\"tenants\":["
        "{\"name\":\"b\",\"api-keys\":[\"sesame\",\"other\"],\"priority\":1,\"rate-per-s\":317.5,\"burst\":20,"
        "\"allowed-regions\":[\"pampeana\",\"cuyo\"]},{\"name\":\"a\",\"api-keys\":[],\"rate-per-s\":0}]}");
    const cw_tenant_t *tenant = &configuration->tenants[1];
    cw_key_digest_t    key;

    ck_assert_uint_eq(configuration->tenant_count, 2);
    ck_assert_str_eq(configuration->tenants[0].name, "a");
    ck_assert(configuration->tenants[0].needs_key); /* a tenant whose keys were all removed still needs one */
    ck_assert_double_eq(configuration->tenants[0].rate_per_s, 0);
    ck_assert_str_eq(tenant->name, "b");
    ck_assert_uint_eq(tenant->key_count, 2);
    ck_assert_uint_eq(tenant->priority, 1);
    ck_assert_double_eq(tenant->rate_per_s, 317.5);
    ck_assert_double_eq(tenant->burst, 20);
    ck_assert(cw_name_set_has(&tenant->regions, "cuyo"));
    ck_assert(cw_tenant_digest_from_text(&key, sesame));
    ck_assert_ptr_eq(cw_credential_index_find(configuration->credentials, &key), tenant);
    ck_assert(cw_configuration_match(configuration, "h", "/x")->allows_anonymous);
    ck_assert(cw_configuration_match(configuration, "h", "/x")->repeatable);
    ck_assert(!cw_configuration_match(configuration, "h", "/u/x")->allows_anonymous);
    ck_assert(!cw_configuration_match(configuration, "h", "/u/x")->repeatable);
    ck_assert_uint_eq(cw_configuration_match(configuration, "h", "/u/x")->regions.count, 1);
    cw_configuration_release(configuration);
}
END_TEST

/** A body that is refused, and the place and reason that the problem names. */
typedef struct refusal {
    const char *body;
    const char *problem;
} refusal_t;

#define REFUSED_TENANT(fields, reason)                                                                                 \
    {                                                                                                                  \
        BODY_START ",\"tenants\":[" TENANT "},{\"name\":\"u\"" fields "}]}", reason                                    \
    }
#define REFUSED_ROUTE(fields, reason)                                                                                  \
    {                                                                                                                  \
        "{\"version\":3,\"routes\":[" ROUTE_START fields "}]}", reason                                                 \
    }

static const refusal_t refusals[] = {
    {"{\"routes\":[]}", "version: not a whole number"},
    {"{\"version\":\"7\",\"routes\":[]}", "version: not a whole number"},
    {"{\"version\":7}", "routes: missing"},
    {"{\"version\":7,\"routes\":{}}", "routes: not a list"},
    {"{\"version\":7,\"routes\":[3]}", "routes[0]: not an object"},
    {"{\"version\":7,\"routes\":[],\"services\":7}", "services: not a list"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":7}]}", "services[0].name: not a text"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"use-sharding\":\"yes\"}]}",
     "services[0].use-sharding: neither true nor false"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-per-s\":\"9\"}]}",
     "services[0].warmup-per-s: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":[]}", "limits: not an object"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-body-bytes\":\"1\"}}", "limits.max-body-bytes: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"idle_timeout_ms\":-1}}", "limits.idle_timeout_ms: below zero"},
    {"{\"version\":7,\"routes\":[{\"host\":\"h\"}]}", "routes[0].name: missing"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"x/\",\"service\":\"s\"}]}",
     "routes[0].path-prefix: does not begin with a slash"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\"}]}",
     "routes[0].service: missing"},
    REFUSED_ROUTE(",\"route-type\":1", "routes[0].route-type: not a text"),
    REFUSED_ROUTE(",\"timeout_ms\":\"3\"", "routes[0].timeout_ms: not a number"),
    REFUSED_ROUTE(",\"timeout_ms\":1e300", "routes[0].timeout_ms: too large"),
    REFUSED_ROUTE(",\"max-attempts\":1.5", "routes[0].max-attempts: not a whole number, or too large"),
    REFUSED_ROUTE(",\"priority\":true", "routes[0].priority: not a number"),
    REFUSED_ROUTE(",\"allow-anonymous\":1", "routes[0].allow-anonymous: neither true nor false"),
    REFUSED_ROUTE(",\"allowed-regions\":\"cuyo\"", "routes[0].allowed-regions: not a list"),
    REFUSED_ROUTE(",\"allowed-regions\":[1]", "routes[0].allowed-regions[0]: not a text"),
    REFUSED_ROUTE(",\"traffic-split\":[{\"service\":\"s\"}]", "routes[0].traffic-split[0].weight: missing"),
    REFUSED_ROUTE(",\"traffic-split\":[{\"service\":\"s\",\"weight\":\"1\"}]",
                  "routes[0].traffic-split[0].weight: not a number"),
    {BODY_START ",\"tenants\":{}}", "tenants: not a list"},
    {BODY_START ",\"tenants\":[7]}", "tenants[0]: not an object"},
    {BODY_START ",\"tenants\":[{\"api-keys\":[]}]}", "tenants[0].name: missing"},
    {BODY_START ",\"tenants\":[{\"name\":\"\",\"api-keys\":[]}]}", "tenants[0].name: empty"},
    {BODY_START ",\"tenants\":[{\"name\":\"a\\r\\nb\",\"api-keys\":[]}]}",
     "tenants[0].name: holds blanks or control characters"},
    REFUSED_TENANT("", "tenants[1].api-keys: missing"),
    REFUSED_TENANT(",\"api-keys\":\"other\"", "tenants[1].api-keys: not a list"),
    REFUSED_TENANT(",\"api-keys\":[\"other\",5]", "tenants[1].api-keys[1]: not a text"),
    REFUSED_TENANT(",\"api-keys\":[\"\"]", "tenants[1].api-keys[0]: empty"),
    REFUSED_TENANT(",\"api-keys\":[],\"tokens\":[]", "tenants[1].api-keys: stands beside tokens"),
    REFUSED_TENANT(",\"tokens\":[\"other\"]", "tenants[1].tokens: not digests of 64 hexadecimal digits"),
    REFUSED_TENANT(",\"api-keys\":[],\"rate-per-s\":\"10\"", "tenants[1].rate-per-s: not a number"),
    REFUSED_TENANT(",\"api-keys\":[],\"rate-per-s\":-10", "tenants[1].rate-per-s: below zero"),
    REFUSED_TENANT(",\"api-keys\":[],\"burst\":[]", "tenants[1].burst: not a number"),
    REFUSED_TENANT(",\"api-keys\":[],\"priority\":\"1\"", "tenants[1].priority: not a number"),
    REFUSED_TENANT(",\"api-keys\":[],\"allowed-regions\":{}", "tenants[1].allowed-regions: not a list"),
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-header-bytes\":[]}}", "limits.max-header-bytes: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-header-bytes\":1.5}}",
     "limits.max-header-bytes: not a whole number, or too large"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-header-bytes\":1e300}}",
     "limits.max-header-bytes: not a whole number, or too large"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-header-bytes\":-1}}", "limits.max-header-bytes: below zero"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-body-bytes\":[]}}", "limits.max-body-bytes: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-body-bytes\":1.5}}",
     "limits.max-body-bytes: not a whole number, or too large"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-body-bytes\":1e300}}",
     "limits.max-body-bytes: not a whole number, or too large"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"max-body-bytes\":-1}}", "limits.max-body-bytes: below zero"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"header_timeout_ms\":\"3\"}}",
     "limits.header_timeout_ms: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"header_timeout_ms\":1e300}}", "limits.header_timeout_ms: too large"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"idle_timeout_ms\":\"3\"}}", "limits.idle_timeout_ms: not a number"},
    {"{\"version\":7,\"routes\":[],\"limits\":{\"idle_timeout_ms\":1e300}}", "limits.idle_timeout_ms: too large"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"max-connections\":\"9\"}]}",
     "services[0].max-connections: not a number"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"max-connections\":9.5}]}",
     "services[0].max-connections: not a whole number, or too large"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"warm-s\":true}]}",
     "services[0].warm-s: not a number"},
    {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-s\":true}]}",
     "services[0].warmup-s: not a number"},
    REFUSED_ROUTE(",\"aim_ms\":\"3\"", "routes[0].aim_ms: not a number"),
    REFUSED_ROUTE(",\"max-attempts\":\"2\"", "routes[0].max-attempts: not a number"),
    REFUSED_ROUTE(",\"traffic-split\":{}", "routes[0].traffic-split: not a list"),
    REFUSED_ROUTE(",\"traffic-split\":[7]", "routes[0].traffic-split[0]: not an object"),
    REFUSED_ROUTE(",\"traffic-split\":[{\"weight\":1}]", "routes[0].traffic-split[0].service: missing"),
    REFUSED_ROUTE(",\"traffic-split\":[{\"service\":7,\"weight\":1}]",
                  "routes[0].traffic-split[0].service: not a text"),
    {"{\"version\":7,\"routes\":[{\"name\":7,\"host\":\"h\",\"path-prefix\":\"/\",\"service\":\"s\"}]}",
     "routes[0].name: not a text"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":7,\"path-prefix\":\"/\",\"service\":\"s\"}]}",
     "routes[0].host: not a text"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":7,\"service\":\"s\"}]}",
     "routes[0].path-prefix: not a text"},
    {"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\",\"service\":7}]}",
     "routes[0].service: not a text"},
    {BODY_START ",\"tenants\":[{\"name\":7,\"api-keys\":[]}]}", "tenants[0].name: not a text"},
    REFUSED_TENANT(",\"tokens\":{}", "tenants[1].tokens: not a list"),
    REFUSED_TENANT(",\"tokens\":[7]", "tenants[1].tokens[0]: not a text"),
    REFUSED_TENANT(",\"tokens\":[],\"needs-key\":1", "tenants[1].needs-key: neither true nor false"),
    REFUSED_TENANT(",\"api-keys\":[],\"concurrent\":\"3\"", "tenants[1].concurrent: not a number"),
    REFUSED_TENANT(",\"api-keys\":[],\"requests_per_s\":\"3\"", "tenants[1].requests_per_s: not a number"),
    REFUSED_TENANT(",\"api-keys\":[],\"allowed-regions\":[7]", "tenants[1].allowed-regions[0]: not a text"),
    REFUSED_TENANT(",\"api-keys\":[\"sesame\"]", "tenants 't' and 'u' have the same key"),
    {BODY_START ",\"tenants\":[" TENANT "}," TENANT "}]}", "two tenants are named 't'"},
};

START_TEST(malformed_field_refuses_the_configuration_and_names_its_place)
{
    cw_platform_problem_t problem;

    ck_assert_ptr_null(parse(refusals[_i].body, &problem));
    ck_assert_str_eq(problem.text, refusals[_i].problem);
    ck_assert_ptr_null(strstr(problem.text, "sesame"));
}
END_TEST

START_TEST(optional_fields_may_be_null)
{
    cw_configuration_t *configuration =
        read_valid("{\"version\":3,\"routes\":[" ROUTE_START ",\"priority\":null,\"allow-anonymous\":null}],"
                   "\"tenants\":[" TENANT ",\"rate-per-s\":null}],\"limits\":null}");

    ck_assert_double_eq(configuration->tenants[0].rate_per_s, 0);
    ck_assert(!configuration->routes[0].allows_anonymous);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(written_configuration_is_decoded_unchanged)
{
    cw_configuration_t   *configuration = cw_configuration_create(4);
    cw_tenant_t          *tenant = cw_configuration_add_tenant(configuration);
    cw_route_t           *route = cw_configuration_add_route(configuration);
    cw_key_digest_t       key;
    cw_platform_problem_t problem;
    json_t               *value;
    char                 *text;
    cw_configuration_t   *back;

    ck_assert(cw_tenant_digest_from_text(&key, sesame));
    tenant->name = strdup("t");
    tenant->rate_per_s = 2.5;
    tenant->burst = 7;
    tenant->priority = 3;
    cw_tenant_add_key(tenant, &key);
    cw_configuration_add_tenant(configuration)->name = strdup("open");
    route->name = strdup("t/r");
    route->host = strdup("h");
    route->prefix = strdup("/");
    route->max_attempts = 1;
    route->allows_anonymous = true;
    cw_route_add_part(route, "t/s", 1);
    cw_configuration_seal(configuration);
    value = cw_platform_write_configuration(configuration);
    text = json_dumps(value, 0);
    ck_assert_ptr_nonnull(strstr(text, sesame));
    ck_assert_ptr_null(strstr(text, "api-keys"));
    back = cw_platform_parse_configuration(value, &problem);
    ck_assert_msg(back != NULL, "%s", problem.text);
    ck_assert_str_eq(back->tenants[0].name, "open");
    ck_assert(!back->tenants[0].needs_key);
    ck_assert(cw_tenant_same_keys(&back->tenants[1], &configuration->tenants[1]));
    ck_assert_double_eq(back->tenants[1].rate_per_s, 2.5);
    ck_assert_double_eq(back->tenants[1].burst, 7);
    ck_assert_uint_eq(back->tenants[1].priority, 3);
    ck_assert(cw_route_same(&back->routes[0], &configuration->routes[0]));
    free(text);
    json_decref(value);
    cw_configuration_release(back);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(accepts_the_former_name_of_a_rate)
{
    cw_configuration_t *configuration =
        read_valid(BODY_START ",\"tenants\":[{\"name\":\"t\",\"tokens\":[],\"requests_per_s\":40,\"concurrent\":3}]}");

    ck_assert_double_eq(configuration->tenants[0].rate_per_s, 40);
    ck_assert_uint_eq(configuration->tenants[0].concurrent, 3);
    ck_assert(!configuration->tenants[0].needs_key);
    cw_configuration_release(configuration);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("platform configuration");
    TCase *cases = tcase_create("platform configuration");

    tcase_add_test(cases, decodes_all_fields_of_tenants_and_routes);
    tcase_add_loop_test(cases, malformed_field_refuses_the_configuration_and_names_its_place, 0,
                        (int)(sizeof(refusals) / sizeof(refusals[0])));
    tcase_add_test(cases, optional_fields_may_be_null);
    tcase_add_test(cases, written_configuration_is_decoded_unchanged);
    tcase_add_test(cases, accepts_the_former_name_of_a_rate);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
