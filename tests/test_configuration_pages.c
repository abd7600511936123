/**
 * @file test_configuration_pages.c
 * @brief Transfer of configurations as pages between nodes: complete configurations, changed and removed tenants and
 *        keys.
 *
 * Pages are packed and unpacked as on the network, and received with the last page first.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop_fixture.h"
#include "peer/configuration_pages.h"

enum { DATAGRAM_BYTES = 65507, TENANTS = 10000, MANY_KEYS = 2500 };

/** Pages and sizes of one transfer. */
typedef struct transfer {
    Cwp__ConfigurationPage **pages;
    size_t                   count;
    size_t                   tenants; /**< entries of tenants in all pages */
    size_t                   bytes;
    size_t                   largest;
} transfer_t;

static void on_page(void *context, const Cwp__ConfigurationPage *page)
{
    transfer_t *transfer = context;
    size_t      length = cwp__configuration_page__get_packed_size(page);
    uint8_t    *packed = malloc(length + 1);

    cwp__configuration_page__pack(page, packed);
    transfer->pages = realloc(transfer->pages, (transfer->count + 1) * sizeof(void *));
    transfer->pages[transfer->count++] = cwp__configuration_page__unpack(NULL, length, packed);
    transfer->tenants += page->n_tenants;
    transfer->bytes += length;
    transfer->largest = length > transfer->largest ? length : transfer->largest;
    free(packed);
}

static transfer_t make_transfer(const cw_configuration_t *base, const cw_configuration_t *configuration)
{
    transfer_t       transfer = {0};
    cw_page_window_t all = {.first = 0, .count = CW_CONFIGURATION_PAGES_MAX};

    ck_assert(cw_configuration_pages_make(base, configuration, all, on_page, &transfer));
    return transfer;
}

/* Receives the pages of a transfer, the last page first. NULL: refused. */
static cw_configuration_t *receive(const transfer_t *transfer, const cw_configuration_t *base)
{
    cw_configuration_assembly_t assembly = {0};
    cw_configuration_t         *whole = NULL;
    size_t                      index;

    for (index = transfer->count; index > 0; index--) {
        ck_assert_ptr_null(whole);
        whole = cw_configuration_assembly_add_page(&assembly, base, transfer->pages[index - 1]);
    }
    cw_configuration_assembly_clear(&assembly);
    return whole;
}

static void clear_transfer(transfer_t *transfer)
{
    size_t index;

    for (index = 0; index < transfer->count; index++) {
        cwp__configuration_page__free_unpacked(transfer->pages[index], NULL);
    }
    free(transfer->pages);
}

static void add_key(cw_tenant_t *tenant, uint32_t number)
{
    cw_key_digest_t key = {{0}};

    memcpy(key.bytes, &number, sizeof(number));
    cw_tenant_add_key(tenant, &key);
}

static cw_tenant_t *add_tenant(cw_configuration_t *configuration, const char *name)
{
    cw_tenant_t *tenant = cw_configuration_add_tenant(configuration);

    tenant->name = strdup(name);
    tenant->needs_key = true;
    return tenant;
}

static void assert_same_tenants(const cw_configuration_t *left, const cw_configuration_t *right)
{
    size_t index;

    ck_assert_ptr_nonnull(left);
    ck_assert_uint_eq(left->version, right->version);
    ck_assert_uint_eq(left->tenant_count, right->tenant_count);
    for (index = 0; index < left->tenant_count; index++) {
        ck_assert(cw_tenant_same(&left->tenants[index], &right->tenants[index]));
    }
    ck_assert(left->needs_keys == right->needs_keys);
    ck_assert_uint_eq(cw_credential_index_count(left->credentials), cw_credential_index_count(right->credentials));
}

/* Sends `later` to a receiver that has `base` (NULL: none) and checks that it receives the same tenants. Returns the
 * number of tenant entries that were sent. */
static size_t transfer_and_check(const cw_configuration_t *base, const cw_configuration_t *later)
{
    transfer_t          transfer = make_transfer(base, later);
    cw_configuration_t *received = receive(&transfer, base);
    size_t              tenants = transfer.tenants;

    assert_same_tenants(received, later);
    ck_assert_uint_lt(transfer.largest, DATAGRAM_BYTES);
    cw_configuration_release(received);
    clear_transfer(&transfer);
    return tenants;
}

/* Tenants t0, t1 and optionally t2. t1 has key 3 and key_of_second, unless that is 0. */
static cw_configuration_t *make_configuration(uint64_t version, bool with_last, uint32_t key_of_second)
{
    cw_configuration_t *configuration = cw_configuration_create(version);
    cw_tenant_t        *tenant = add_tenant(configuration, "t0");

    tenant->rate_per_s = 2.5;
    tenant->burst = 7;
    tenant->priority = 3;
    tenant->concurrent = 9;
    cw_name_set_add(&tenant->regions, "cuyo");
    add_key(tenant, 1);
    add_key(tenant, 2);
    tenant = add_tenant(configuration, "t1");
    add_key(tenant, 3);
    if (key_of_second != 0) {
        add_key(tenant, key_of_second);
    }
    if (with_last) {
        add_key(add_tenant(configuration, "t2"), 5);
    }
    cw_configuration_seal(configuration);
    return configuration;
}

START_TEST(added_and_removed_keys_are_transferred)
{
    cw_configuration_t *first = make_configuration(1, true, 4);
    cw_configuration_t *added = make_configuration(2, true, 6);         /* t1 has another second key */
    cw_configuration_t *removed = make_configuration(3, true, 0);       /* t1 has no second key */
    cw_configuration_t *without_last = make_configuration(4, false, 0); /* t2 is removed */

    ck_assert_uint_eq(transfer_and_check(NULL, first), 3);
    ck_assert_uint_eq(transfer_and_check(first, added), 1);
    ck_assert_uint_eq(transfer_and_check(added, removed), 1);
    ck_assert_uint_eq(transfer_and_check(removed, without_last), 0);
    ck_assert_uint_eq(transfer_and_check(first, without_last), 1);
    cw_configuration_release(first);
    cw_configuration_release(added);
    cw_configuration_release(removed);
    cw_configuration_release(without_last);
}
END_TEST

START_TEST(a_tenant_without_keys_left_still_needs_a_key_after_a_transfer)
{
    cw_configuration_t *first = make_configuration(1, true, 4);
    cw_configuration_t *later = cw_configuration_create(2);
    transfer_t          transfer;
    cw_configuration_t *received;

    (void)add_tenant(later, "t0");
    cw_configuration_seal(later);
    transfer = make_transfer(first, later);
    received = receive(&transfer, first);
    assert_same_tenants(received, later);
    ck_assert(received->needs_keys);
    ck_assert(received->tenants[0].needs_key);
    ck_assert_uint_eq(cw_credential_index_count(received->credentials), 0);
    clear_transfer(&transfer);
    cw_configuration_release(received);
    cw_configuration_release(first);
    cw_configuration_release(later);
}
END_TEST

START_TEST(a_route_for_anonymous_callers_is_transferred_as_such)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    cw_route_t         *route = cw_configuration_add_route(configuration);
    transfer_t          transfer;
    cw_configuration_t *received;

    route->name = strdup("r");
    route->host = strdup("h");
    route->prefix = strdup("/");
    route->allows_anonymous = true;
    cw_route_add_part(route, "s", 1);
    cw_configuration_seal(configuration);
    transfer = make_transfer(NULL, configuration);
    received = receive(&transfer, NULL);
    ck_assert_ptr_nonnull(received);
    ck_assert(cw_route_same(&received->routes[0], &configuration->routes[0]));
    clear_transfer(&transfer);
    cw_configuration_release(received);
    cw_configuration_release(configuration);
}
END_TEST

START_TEST(a_tenant_with_many_keys_fits_into_datagrams)
{
    cw_configuration_t *first = cw_configuration_create(1);
    cw_configuration_t *later = cw_configuration_create(2);
    cw_tenant_t        *tenant = add_tenant(first, "t");
    uint32_t            key;

    for (key = 0; key < MANY_KEYS; key++) {
        add_key(tenant, key);
    }
    cw_configuration_seal(first);
    cw_configuration_copy_tenant(later, tenant);
    add_key(&later->tenants[0], MANY_KEYS);
    cw_configuration_seal(later);
    (void)transfer_and_check(NULL, first);
    (void)transfer_and_check(first, later);

    cw_configuration_release(first);
    cw_configuration_release(later);
}
END_TEST

START_TEST(only_changed_tenants_of_ten_thousand_are_sent)
{
    cw_configuration_t *first = cw_configuration_create(1);
    cw_configuration_t *later = cw_configuration_create(2);
    transfer_t          transfer;
    char                name[16];
    uint32_t            index;

    for (index = 0; index < TENANTS; index++) {
        snprintf(name, sizeof(name), "t%u", index);
        add_key(add_tenant(first, name), 2 * index);
        add_key(&first->tenants[index], 2 * index + 1);
        cw_configuration_copy_tenant(later, &first->tenants[index]);
    }
    add_key(&later->tenants[TENANTS / 2], 2 * TENANTS);
    cw_configuration_seal(first);
    cw_configuration_seal(later);
    ck_assert_uint_eq(transfer_and_check(NULL, first), TENANTS);
    ck_assert_uint_eq(transfer_and_check(first, later), 1);
    transfer = make_transfer(NULL, first);
    printf("%d tenants: %zu pages, %zu bytes, the largest %zu; ", TENANTS, transfer.count, transfer.bytes,
           transfer.largest);
    clear_transfer(&transfer);
    transfer = make_transfer(first, later);
    printf("one more key: %zu bytes\n", transfer.bytes);
    ck_assert_uint_eq(transfer.count, 1);
    clear_transfer(&transfer);
    cw_configuration_release(first);
    cw_configuration_release(later);
}
END_TEST

START_TEST(pages_with_one_key_for_two_tenants_are_refused)
{
    cw_configuration_t *configuration = cw_configuration_create(1);
    transfer_t          transfer;

    add_key(add_tenant(configuration, "a"), 1);
    add_key(add_tenant(configuration, "b"), 1);
    cw_configuration_seal(configuration);
    transfer = make_transfer(NULL, configuration);
    ck_assert_ptr_null(receive(&transfer, NULL));
    clear_transfer(&transfer);
    cw_configuration_release(configuration);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("configuration pages");
    TCase *cases = tcase_create("configuration pages");

    tcase_add_test(cases, added_and_removed_keys_are_transferred);
    tcase_add_test(cases, a_tenant_without_keys_left_still_needs_a_key_after_a_transfer);
    tcase_add_test(cases, a_route_for_anonymous_callers_is_transferred_as_such);
    tcase_add_test(cases, a_tenant_with_many_keys_fits_into_datagrams);
    tcase_add_test(cases, only_changed_tenants_of_ten_thousand_are_sent);
    tcase_add_test(cases, pages_with_one_key_for_two_tenants_are_refused);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
