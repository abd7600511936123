/**
 * @file traffic.c
 * @brief Poisson arrivals over keys of unlike popularity, with a hot spot that
 * wanders or a few keys that many read.
 */
#include "traffic.h"

#include <math.h>
#include <stdlib.h>

#include "cedarwinch/error.h"

static const double POPULARITY_EXPONENT = 0.4; /* of the rank, without a hot spot */
static const double WANDERING_SHARE = 0.4;     /* of the requests; the hot spot at rush hour */
static const double WANDERING_WIDTH = 10.0;    /* standard deviation, in neighbouring areas */
static const double WANDERING_SPEED = 0.1;     /* areas a second */
static const double FEW_SHARE = 0.32;          /* of the requests; the keys under hearing together */
static const double MEMORY_STEP = 1.0 / 9007199254740992.0;

static double uniform(uint64_t *random)
{
    return ((double)(cw_random_next(random) >> 11) + 0.5) * MEMORY_STEP;
}

static double exponential(uint64_t *random, double mean)
{
    return -mean * log(uniform(random));
}

static double normal(uint64_t *random)
{
    double radius = sqrt(-2.0 * log(uniform(random)));

    return radius * cos(2.0 * M_PI * uniform(random));
}

int bench_requests_init(bench_requests_t *requests, const bench_scenario_t *scenario, uint64_t seed)
{
    size_t keys = scenario->deployment->keys;
    double sum = 0;
    size_t key;

    *requests = (bench_requests_t){.scenario = scenario, .random = seed, .period = SIZE_MAX};
    requests->shares = calloc(keys, sizeof(*requests->shares));
    requests->hashes = calloc(keys, sizeof(*requests->hashes));
    requests->few = calloc(BENCH_FEW, sizeof(*requests->few));
    if (requests->shares == NULL || requests->hashes == NULL || requests->few == NULL) {
        bench_requests_clear(requests);
        return CW_ERROR_NO_MEMORY;
    }
    for (key = 0; key < keys; key++) {
        requests->hashes[key] = cw_random_next(&requests->random);
        sum += pow((double)(cw_random_below(&requests->random, keys) + 1), -POPULARITY_EXPONENT);
        requests->shares[key] = sum;
    }
    for (key = 0; key < keys; key++) {
        requests->shares[key] /= sum;
    }
    return CW_OK;
}

void bench_requests_clear(bench_requests_t *requests)
{
    free(requests->shares);
    free(requests->hashes);
    free(requests->few);
}

static size_t any_key(bench_requests_t *requests)
{
    double wanted = uniform(&requests->random);
    size_t low = 0;
    size_t high = requests->scenario->deployment->keys - 1;
    size_t middle;

    while (low < high) {
        middle = (low + high) / 2;
        if (requests->shares[middle] < wanted) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

static size_t wandering_key(bench_requests_t *requests)
{
    double  centre = WANDERING_SPEED * requests->clock_us / CW_US_PER_S;
    int64_t keys = (int64_t)requests->scenario->deployment->keys;
    int64_t key = (int64_t)floor(centre + WANDERING_WIDTH * normal(&requests->random)) % keys;

    return (size_t)(key < 0 ? key + keys : key);
}

static size_t few_key(bench_requests_t *requests)
{
    size_t period = (size_t)(requests->clock_us / CW_US_PER_S) / BENCH_FEW_PERIOD_S;
    size_t position;

    if (period != requests->period) {
        requests->period = period;
        for (position = 0; position < BENCH_FEW; position++) {
            requests->few[position] = cw_random_below(&requests->random, requests->scenario->deployment->keys);
        }
    }
    return requests->few[cw_random_below(&requests->random, BENCH_FEW)];
}

void bench_requests_next(bench_requests_t *requests, bench_arrival_t *arrival)
{
    const bench_deployment_t *deployment = requests->scenario->deployment;
    double                    choice;

    requests->clock_us += exponential(&requests->random, CW_US_PER_S / deployment->requests_per_second);
    choice = uniform(&requests->random);
    if (requests->scenario->traffic == BENCH_WANDERING && choice < WANDERING_SHARE) {
        arrival->key = wandering_key(requests);
    } else if (requests->scenario->traffic == BENCH_FEW_KEYS && choice < FEW_SHARE) {
        arrival->key = few_key(requests);
    } else {
        arrival->key = any_key(requests);
    }
    arrival->at_us = (cw_time_us_t)requests->clock_us;
    arrival->service_us = (cw_time_us_t)exponential(&requests->random, deployment->service_ms * CW_US_PER_MS);
}
