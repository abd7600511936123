/**
 * @file test_quota_memory.c
 * @brief Measures the memory of 10,000 tenants with limits on a node that admits their requests and on one that counts
 * them.
 *
 * The measure is the heap in use, so it includes the allocator's overhead and the hash tables. docs/CAPACITY.md states
 * the figures.
 */
#include <malloc.h>
#include <stdio.h>

#include "loop_fixture.h"
#include "quota_port.h"
#include "tenancy/quota_counter.h"
#include "tenancy/quota_share.h"
#include "tenancy/tenant_gate.h"

enum {
    TENANTS = 10000,
    NODES = 8,          /* nodes that report each tenant */
    SHARE_BYTES = 400,  /* a tenant on a node that admits its requests */
    LIMIT_BYTES = 200,  /* a tenant without reports, on a node that may count it */
    RECORD_BYTES = 260, /* a node's record of a tenant on the counting node, including the hash table of the records */
    STDIO_BUFFER_BYTES = 8192, /* buffer that stdio allocates with the first line that is printed */
    GATE_BYTES = 160           /* a tenant with a request in flight */
};

static const cw_quota_limit_t    limit = {.rate_per_s = 100, .burst = 100};
static const cw_quota_settings_t settings = {.window = CW_SECONDS(5), .overshoot = 0.1, .slack = 20};
static const cw_time_us_t        start = CW_SECONDS(100);

static size_t heap_in_use(void)
{
    return mallinfo2().uordblks;
}

static void expect_each(const char *what, size_t before, size_t count, size_t most)
{
    size_t each = (heap_in_use() - before) / count;

    printf("%s: %zu bytes each\n", what, each);
    ck_assert_uint_gt(each, 0);
    ck_assert_uint_le(each, most);
}

START_TEST(tenants_at_a_node_that_admits_requests)
{
    quota_sent_t      sent = {.counter = 4};
    cw_quota_port_t   port = quota_port(&sent);
    size_t            before = heap_in_use();
    cw_quota_share_t *share = cw_quota_share_create(&settings, &port, 1, 1);
    cw_time_us_t      retry_after;
    uint32_t          tenant;

    for (tenant = 1; tenant <= TENANTS; tenant++) {
        (void)cw_quota_share_enter(share, tenant, &limit, start, &retry_after);
    }
    ck_assert_uint_eq(cw_quota_share_tenants(share), TENANTS);
    expect_each("a tenant at a node", before, TENANTS, SHARE_BYTES);
    cw_quota_share_free(share);
    ck_assert_uint_le(heap_in_use(), before + STDIO_BUFFER_BYTES);
}
END_TEST

START_TEST(tenants_at_the_counting_node)
{
    static cw_quota_tenant_limit_t limits[TENANTS];
    size_t                         before = heap_in_use();
    cw_quota_counter_t            *counter = cw_quota_counter_create(&settings);
    uint32_t                       node;
    uint32_t                       tenant;

    for (tenant = 0; tenant < TENANTS; tenant++) {
        limits[tenant] = (cw_quota_tenant_limit_t){.tenant = tenant + 1, .limit = limit};
    }
    cw_quota_counter_set_limits(counter, limits, TENANTS, start);
    expect_each("a limit that nobody has reported", before, TENANTS, LIMIT_BYTES);
    before = heap_in_use();
    for (node = 1; node <= NODES; node++) {
        for (tenant = 1; tenant <= TENANTS; tenant++) {
            cw_quota_usage_t usage = {.tenant = tenant, .admitted = 1, .recent = 1};

            cw_quota_counter_report(counter, node, 1, &usage, 1, start);
        }
    }
    ck_assert_uint_eq(cw_quota_counter_records(counter), (size_t)TENANTS * NODES);
    expect_each("a node's record of a tenant", before, (size_t)TENANTS * NODES, RECORD_BYTES);
    cw_quota_counter_free(counter);
}
END_TEST

START_TEST(tenants_at_the_concurrency_gate)
{
    size_t            before = heap_in_use();
    cw_tenant_gate_t *gate = cw_tenant_gate_create();
    int               index;

    for (index = 0; index < TENANTS; index++) {
        char               name[16];
        cw_tenant_t        tenant = {.name = name};
        cw_tenant_count_t *count;
        cw_time_us_t       wait;

        snprintf(name, sizeof(name), "tenant-%d", index);
        (void)cw_tenant_gate_enter(gate, &tenant, 1, &count, &wait);
    }
    ck_assert_uint_eq(cw_tenant_gate_counts(gate), TENANTS);
    expect_each("a tenant with a request under way", before, TENANTS, GATE_BYTES);
    cw_tenant_gate_free(gate);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("quota memory");
    TCase *cases = tcase_create("ten thousand tenants");

    tcase_add_test(cases, tenants_at_a_node_that_admits_requests);
    tcase_add_test(cases, tenants_at_the_counting_node);
    tcase_add_test(cases, tenants_at_the_concurrency_gate);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
