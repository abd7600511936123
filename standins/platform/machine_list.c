/**
 * @file machine_list.c
 * @brief Lagging list of machines.
 *
 * Changes wait in a queue in the order of their arrival and are applied when a reader comes after their lag.
 */
#include "machine_list.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

typedef struct machine {
    char              *name;
    cw_machine_state_t state;
    struct machine    *prev;
    struct machine    *next;
} machine_t;

typedef struct change {
    char              *name;
    cw_machine_state_t state;
    int64_t            visible_us;
    struct change     *prev;
    struct change     *next;
} change_t;

struct cw_machine_list {
    int64_t    lag_us;
    machine_t *machines;
    change_t  *changes;
};

cw_machine_list_t *cw_machine_list_create(int64_t lag_us)
{
    cw_machine_list_t *list = calloc(1, sizeof(*list));

    if (list != NULL) {
        list->lag_us = lag_us;
    }
    return list;
}

static void change_free(change_t *change)
{
    free(change->name);
    free(change);
}

void cw_machine_list_free(cw_machine_list_t *list)
{
    machine_t *machine;
    machine_t *next_machine;
    change_t  *change;
    change_t  *next_change;

    DL_FOREACH_SAFE(list->machines, machine, next_machine)
    {
        DL_DELETE(list->machines, machine);
        free(machine->name);
        free(machine);
    }
    DL_FOREACH_SAFE(list->changes, change, next_change)
    {
        DL_DELETE(list->changes, change);
        change_free(change);
    }
    free(list);
}

void cw_machine_list_set(cw_machine_list_t *list, const char *name, cw_machine_state_t state, int64_t now_us)
{
    change_t *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        return;
    }
    change->name = strdup(name);
    change->state = state;
    change->visible_us = now_us + list->lag_us;
    DL_APPEND(list->changes, change);
}

static void apply_change(cw_machine_list_t *list, const change_t *change)
{
    machine_t *machine;

    DL_FOREACH(list->machines, machine)
    {
        if (strcmp(machine->name, change->name) == 0) {
            break;
        }
    }
    if (machine == NULL) {
        machine = calloc(1, sizeof(*machine));
        machine->name = strdup(change->name);
        DL_APPEND(list->machines, machine);
    }
    machine->state = change->state;
}

void cw_machine_list_visit(cw_machine_list_t *list, int64_t                                                now_us,
                           void (*visit)(void *context, const char *name, cw_machine_state_t state), void *context)
{
    machine_t *machine;
    change_t  *change;

    while (list->changes != NULL && list->changes->visible_us <= now_us) {
        change = list->changes;
        apply_change(list, change);
        DL_DELETE(list->changes, change);
        change_free(change);
    }
    DL_FOREACH(list->machines, machine)
    {
        if (machine->state != CW_MACHINE_GONE) {
            visit(context, machine->name, machine->state);
        }
    }
}
