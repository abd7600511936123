/**
 * @file version.h
 * @brief Version of cedarwinch, as the programs print it.
 */
#ifndef CEDARWINCH_VERSION_H
#define CEDARWINCH_VERSION_H

#define CW_VERSION "0.1.0"

#endif
