/**
 * @file test_credential_index.c
 * @brief Tests the index from keys to tenants: known, unknown and duplicate keys, and the memory it takes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "model/configuration.h"

enum { TENANTS = 10000, KEYS = 2, BYTES_A_KEY = 16 };

/* Digests are evenly distributed; a pseudo-random sequence from the number imitates that. */
static cw_key_digest_t digest(uint32_t number)
{
    cw_key_digest_t key;
    uint32_t        state = number * 2654435761U + 1;
    size_t          index;

    for (index = 0; index < sizeof(key.bytes); index++) {
        state ^= state << 13;
        state ^= state >> 17;
        state ^= state << 5;
        key.bytes[index] = (uint8_t)(state >> 11);
    }
    return key;
}

static cw_tenant_t *add_tenant(cw_configuration_t *configuration, const char *name)
{
    cw_tenant_t *tenant = cw_configuration_add_tenant(configuration);

    tenant->name = strdup(name);
    return tenant;
}

static void add_key(cw_tenant_t *tenant, uint32_t number)
{
    cw_key_digest_t key = digest(number);

    cw_tenant_add_key(tenant, &key);
}

static const char *found(const cw_configuration_t *configuration, uint32_t number)
{
    cw_key_digest_t    key = digest(number);
    const cw_tenant_t *tenant = cw_credential_index_find(configuration->credentials, &key);

    return tenant == NULL ? "" : tenant->name;
}

START_TEST(a_key_finds_its_tenant_and_others_find_none)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    char                problem[CW_PROBLEM_BYTES];

    add_key(add_tenant(configuration, "b"), 1);
    add_key(&configuration->tenants[0], 2);
    add_key(&configuration->tenants[0], 2);
    add_key(add_tenant(configuration, "a"), 3);
    cw_configuration_seal(configuration);
    ck_assert(cw_configuration_check(configuration, problem, sizeof(problem)));
    ck_assert(configuration->needs_keys);
    ck_assert_uint_eq(cw_credential_index_count(configuration->credentials), 3);
    ck_assert_str_eq(found(configuration, 1), "b");
    ck_assert_str_eq(found(configuration, 2), "b");
    ck_assert_str_eq(found(configuration, 3), "a");
    ck_assert_str_eq(found(configuration, 4), "");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(digests_with_a_common_prefix_are_distinguished)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_tenant_t        *tenant = add_tenant(configuration, "t");
    cw_key_digest_t     key = digest(1);
    uint32_t            number;

    for (number = 0; number < 200; number++) { /* all fall into one slot of the index */
        key.bytes[31] = (uint8_t)number;
        cw_tenant_add_key(tenant, &key);
    }
    cw_configuration_seal(configuration);
    ck_assert_uint_eq(cw_credential_index_count(configuration->credentials), 200);
    ck_assert_ptr_nonnull(cw_credential_index_find(configuration->credentials, &key));
    key.bytes[31] = 200;
    ck_assert_ptr_null(cw_credential_index_find(configuration->credentials, &key));
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_key_or_a_name_at_two_tenants_makes_a_configuration_invalid)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    char                problem[CW_PROBLEM_BYTES];

    add_key(add_tenant(configuration, "b"), 1);
    add_key(add_tenant(configuration, "a"), 1);
    cw_configuration_seal(configuration);
    ck_assert(!cw_configuration_check(configuration, problem, sizeof(problem)));
    ck_assert_str_eq(problem, "tenants 'a' and 'b' have the same key");
    cw_configuration_release(configuration);

    configuration = cw_configuration_create(1);
    add_key(add_tenant(configuration, "a"), 1);
    add_key(add_tenant(configuration, "a"), 2);
    cw_configuration_seal(configuration);
    ck_assert(!cw_configuration_check(configuration, problem, sizeof(problem)));
    ck_assert_str_eq(problem, "two tenants are named 'a'");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_tenant_that_lost_its_last_key_still_needs_one)
{
    cw_configuration_t *configuration = cw_configuration_create(1);

    add_tenant(configuration, "a")->needs_key = true;
    cw_configuration_seal(configuration);
    ck_assert(configuration->needs_keys);
    ck_assert_uint_eq(cw_credential_index_count(configuration->credentials), 0);
    ck_assert_str_eq(found(configuration, 1), "");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(ten_thousand_tenants_take_less_than_a_megabyte)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    char                name[16];
    uint32_t            index;
    size_t              digests = (size_t)TENANTS * KEYS * sizeof(cw_key_digest_t);
    size_t              bytes;

    for (index = 0; index < TENANTS; index++) {
        snprintf(name, sizeof(name), "t%u", index);
        add_key(add_tenant(configuration, name), 2 * index);
        add_key(&configuration->tenants[index], 2 * index + 1);
    }
    cw_configuration_seal(configuration);
    bytes = cw_credential_index_bytes(configuration->credentials);
    printf("index of %d tenants with %d keys each: %zu bytes, digests %zu\n", TENANTS, KEYS, bytes, digests);
    ck_assert_uint_eq(cw_credential_index_count(configuration->credentials), TENANTS * KEYS);
    ck_assert_uint_le(bytes, (size_t)TENANTS * KEYS * BYTES_A_KEY);
    for (index = 0; index < TENANTS * KEYS; index++) {
        snprintf(name, sizeof(name), "t%u", index / 2);
        ck_assert_str_eq(found(configuration, index), name);
    }
    ck_assert_str_eq(found(configuration, TENANTS * KEYS), "");
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_routes_owner_is_the_tenant_before_its_slash)
{
    cw_configuration_t *configuration = cw_configuration_create(1);

    add_tenant(configuration, "harbour-east");
    add_tenant(configuration, "harbour");
    add_tenant(configuration, "h");
    cw_configuration_seal(configuration);
    ck_assert_str_eq(cw_configuration_tenant_of(configuration, "harbour/maps")->name, "harbour");
    ck_assert_str_eq(cw_configuration_tenant_of(configuration, "harbour-east/maps")->name, "harbour-east");
    ck_assert_str_eq(cw_configuration_tenant_of(configuration, "h/maps/x")->name, "h");
    ck_assert_ptr_null(cw_configuration_tenant_of(configuration, "harbou/maps"));
    ck_assert_ptr_null(cw_configuration_tenant_of(configuration, "harbour"));
    cw_configuration_release(configuration);
}
END_TEST

/* The hashes of these two names are equal, and limits are counted by hash. */
START_TEST(two_limited_tenants_with_one_hash_are_rejected)
{
    static const char *const names[] = {"tenant-45619", "tenant-94911"};
    cw_configuration_t      *configuration = cw_configuration_create(1);
    char                     problem[160] = "";
    size_t                   index;

    ck_assert_uint_eq(cw_tenant_hash(names[0]), cw_tenant_hash(names[1]));
    for (index = 0; index < 2; index++) {
        cw_tenant_t *tenant = cw_configuration_add_tenant(configuration);

        tenant->name = strdup(names[index]);
        tenant->rate_per_s = 5;
    }
    cw_configuration_seal(configuration);
    ck_assert(!cw_configuration_check(configuration, problem, sizeof(problem)));
    ck_assert_ptr_nonnull(strstr(problem, names[0]));
    ck_assert_ptr_nonnull(strstr(problem, names[1]));
    configuration->tenants[0].rate_per_s = 0;
    ck_assert(cw_configuration_check(configuration, problem, sizeof(problem)));
    cw_configuration_release(configuration);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("credential index");
    TCase *cases = tcase_create("credential index");

    tcase_add_test(cases, a_key_finds_its_tenant_and_others_find_none);
    tcase_add_test(cases, digests_with_a_common_prefix_are_distinguished);
    tcase_add_test(cases, a_key_or_a_name_at_two_tenants_makes_a_configuration_invalid);
    tcase_add_test(cases, a_tenant_that_lost_its_last_key_still_needs_one);
    tcase_add_test(cases, ten_thousand_tenants_take_less_than_a_megabyte);
    tcase_add_test(cases, two_limited_tenants_with_one_hash_are_rejected);
    tcase_add_test(cases, a_routes_owner_is_the_tenant_before_its_slash);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
