/**
 * @file version.h
 * @brief Version of cedarwinch that the programs print.
 */
#ifndef CEDARWINCH_VERSION_H
#define CEDARWINCH_VERSION_H

#define CW_VERSION "0.1.0"

#endif
