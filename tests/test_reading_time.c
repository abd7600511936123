/**
 * @file test_reading_time.c
 * @brief Guards against bytes of other parties whose reading takes far more than their length: a node stood still for
 * seconds over one entry of 1 MB, and answered nobody.
 *
 * The measure is the processor time for a sound body of the same length in the same run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/byte_buffer.h"
#include "loop_fixture.h"
#include "platform_salvage.h"

enum {
    BODY_BYTES = 1024 * 1024,
    RATIO_MAX = 16, /* a byte may be looked at this many times as long as one of a sound body */
    FRAGMENTS_MAX = 6,
    SEEDS = 30,
    FIRST_ELEMENTS = 3
};

static const char begin[] = "{\"items\":[{\"metadata\":{\"name\":\"a0\",\"revision\":3},\"spec\":{}},"
                            "{\"metadata\":{\"name\":\"a1\",\"revision\":4},\"spec\":{}},"
                            "{\"metadata\":{\"name\":\"history\",\"revision\":5},\"spec\":{\"note\":\"";
static const char end[] =
    "\"}},{\"metadata\":{\"name\":\"z\",\"revision\":6},\"spec\":{}}],\"has-more\":false,\"at\":9}";

/* %u: a number that rises */
static const char *const fragments[] = {
    "\"i-%06u\":[{\"metadata\":{\"name\":\"i-%06u\"}},{\"metadata\":{\"name\":\"i-%06u\"}}],",
    ",{\"metadata\":{\"name\":\"i-%06u\"}}]",
    ",{\"metadata\":{\"name\":\"i-%06u\"}},{\"x\":[1",
    ",{\"metadata\":{\"name\":\"i-%06u\"}},{\"metadata\":{\"x\":[",
    ",{\"metadata\":{\"name\":\"i-%06u\"}},{\"metadata\":{\"name\":\"i-%06u\"},\"x\":\"",
    "\"at\":[",
    "\"at\\\"at",
    "\"at\":\"\\",
    "\"has-more\":{\"a\":",
    "],\"x%u\":[",
    "]",
    "[",
    "{\"a\":",
    ",{",
    ",",
    "\"",
    "\\\"",
    "{\"metadata\":{\"name\":\"i-%06u\",\"revision\":1},\"spec\":{\"a\":1}},",
    "\"items\":[",
    "],\"items\":[{\"metadata\":{\"name\":\"i-%06u\"}}",
    "\"events\":[{\"object\":{\"metadata\":{\"name\":\"i-%06u\"}}}",
    "1",
    "1e9",
    " ",
    "\xff"};

enum { FRAGMENTS = sizeof(fragments) / sizeof(fragments[0]) };

static uint64_t state;

static uint32_t draw(uint32_t below)
{
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (uint32_t)(state >> 33) % below;
}

static double processor_s(void)
{
    struct timespec time;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static void append_fragment(cw_bytes_t *text, const char *fragment, unsigned number)
{
    const char *place;

    for (place = fragment; *place != '\0'; place++) {
        if (strncmp(place, "%06u", 4) == 0) {
            cw_bytes_append_format(text, "%06u", number);
            place += 3;
        } else if (strncmp(place, "%u", 2) == 0) {
            cw_bytes_append_format(text, "%u", number);
            place += 1;
        } else {
            cw_bytes_append(text, place, 1);
        }
    }
}

/* A listing whose third entry holds these fragments over and over. */
static cw_bytes_t listing_with(const char *const *chosen, size_t count)
{
    cw_bytes_t text = {0};
    size_t     next = 0;
    unsigned   number = 0;

    cw_bytes_append_text(&text, begin);
    cw_bytes_append_text(&text, "\",\"history\":{");
    while (text.length < BODY_BYTES) {
        append_fragment(&text, chosen[next], number);
        next = next + 1 < count ? next + 1 : 0;
        number++;
    }
    cw_bytes_append_text(&text, end);
    return text;
}

/* The time that the JSON parser takes for a sound listing of this length. */
static double time_of_sound_body(void)
{
    cw_bytes_t text = {0};
    unsigned   number;
    double     began;
    json_t    *body;

    cw_bytes_append_text(&text, "{\"items\":[{}");
    for (number = 0; text.length < BODY_BYTES; number++) {
        append_fragment(&text, ",{\"metadata\":{\"name\":\"i-%06u\",\"revision\":1},\"spec\":{\"a\":1}}", number);
    }
    cw_bytes_append_text(&text, "],\"has-more\":false,\"at\":9}");
    began = processor_s();
    body = json_loadb(text.data, text.length, 0, NULL);
    began = processor_s() - began;
    ck_assert_ptr_nonnull(body);
    json_decref(body);
    cw_bytes_clear(&text);
    return began;
}

/* Returns how many times as long this listing takes as a sound one does. */
static double ratio_of(const char *const *chosen, size_t count, double sound_s)
{
    cw_bytes_t    text = listing_with(chosen, count);
    double        began = processor_s();
    cw_salvaged_t salvaged = cw_platform_salvage(text.data, text.length);
    double        took = processor_s() - began;

    ck_assert_ptr_nonnull(salvaged.body);
    ck_assert_uint_ge(json_array_size(json_object_get(salvaged.body, "items")), FIRST_ELEMENTS);
    json_decref(salvaged.body);
    cw_bytes_clear(&text);
    printf("%.1f of %.4f: %s\n", took / sound_s, sound_s, chosen[0]);
    return took / sound_s;
}

START_TEST(an_entry_takes_time_in_proportion_to_its_length)
{
    const char *const *fragment = &fragments[_i];
    double             ratio = ratio_of(fragment, 1, time_of_sound_body());

    ck_assert_msg(ratio < RATIO_MAX, "%s: %.0f times as long as a sound body", *fragment, ratio);
}
END_TEST

START_TEST(an_entry_of_drawn_pieces_takes_time_in_proportion_to_its_length)
{
    const char *chosen[FRAGMENTS_MAX];
    size_t      count;
    size_t      index;
    double      ratio;

    state = (uint64_t)_i;
    count = 2 + draw(FRAGMENTS_MAX - 1);
    for (index = 0; index < FRAGMENTS_MAX; index++) {
        chosen[index] = fragments[draw(FRAGMENTS)];
    }
    ratio = ratio_of(chosen, count, time_of_sound_body());
    ck_assert_msg(ratio < RATIO_MAX, "seed %d: %.0f times as long as a sound body", _i, ratio);
}
END_TEST

int main(void)
{
    Suite *suite = suite_create("reading time");
    TCase *cases = tcase_create("listings");

    tcase_set_timeout(cases, 120);
    tcase_add_loop_test(cases, an_entry_takes_time_in_proportion_to_its_length, 0, FRAGMENTS);
    tcase_add_loop_test(cases, an_entry_of_drawn_pieces_takes_time_in_proportion_to_its_length, 1, SEEDS + 1);
    suite_add_tcase(suite, cases);
    return cw_test_main(suite);
}
