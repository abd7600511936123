/**
 * @file machine_list.h
 * @brief List of live and leaving machines whose readers see each change only after a lag. Pure: time is an argument.
 */
#ifndef CEDARWINCH_STANDINS_MACHINE_LIST_H
#define CEDARWINCH_STANDINS_MACHINE_LIST_H

#include <stdint.h>

typedef enum cw_machine_state { CW_MACHINE_GONE, CW_MACHINE_LIVE, CW_MACHINE_LEAVING } cw_machine_state_t;

typedef struct cw_machine_list cw_machine_list_t;

cw_machine_list_t *cw_machine_list_create(int64_t lag_us);
void               cw_machine_list_free(cw_machine_list_t *list);
void cw_machine_list_set(cw_machine_list_t *list, const char *name, cw_machine_state_t state, int64_t now_us);
/** Visits the machines as readers see them now, in the order of their first appearance; gone ones are left out. */
void cw_machine_list_visit(cw_machine_list_t *list, int64_t                                                now_us,
                           void (*visit)(void *context, const char *name, cw_machine_state_t state), void *context);

#endif
