/**
 * @file loop_start.c
 * @brief Initialises the event loop, with several tries.
 */
#include "router/loop_start.h"

#include <stdbool.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Whether enough descriptors are free. libuv aborts if it cannot create the first of its pipes, so it is called only
 * when there are descriptors for all of them. */
static bool has_descriptors(void)
{
    int    pairs[CW_LOOP_DESCRIPTORS / 2][2];
    size_t created = 0;
    size_t index;

    while (created < CW_LOOP_DESCRIPTORS / 2 && pipe(pairs[created]) == 0) {
        created++;
    }
    for (index = 0; index < created; index++) {
        close(pairs[index][0]);
        close(pairs[index][1]);
    }
    return created == CW_LOOP_DESCRIPTORS / 2;
}

int cw_loop_start(uv_loop_t *loop)
{
    const struct timespec interval = {.tv_nsec = CW_LOOP_RETRY_INTERVAL_MS * 1000000L};
    int                   error = UV_EMFILE;
    int                   tries;

    for (tries = 0; tries < CW_LOOP_TRIES; tries++) {
        if (tries > 0) {
            (void)nanosleep(&interval, NULL);
        }
        memset(loop, 0, sizeof(*loop));
        error = has_descriptors() ? uv_loop_init(loop) : UV_EMFILE;
        if (error == 0) {
            break;
        }
    }
    return error;
}
