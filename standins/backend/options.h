/**
 * @file options.h
 * @brief Command line of the back-end stand-in.
 */
#ifndef CEDARWINCH_STANDINS_BACKEND_OPTIONS_H
#define CEDARWINCH_STANDINS_BACKEND_OPTIONS_H

#include "backend.h"

/** Exits after --help; false: a fault was printed. */
bool cw_backend_options_parse(int argc, char **argv, cw_backend_options_t *options);

#endif
