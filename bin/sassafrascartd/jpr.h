/**
 * @file jpr.h
 * @brief The process on a machine of the ESOA platform: wires the job service.
 *
 * Prefix: jpr_.
 */
#ifndef JPR_H
#define JPR_H

#include <stdbool.h>

/** @brief Tells whether arguments or environment name a machine's file. */
bool jpr_is_asked_for(int argc, char *const *argv);

/** @brief Runs until it is stopped. @return exit code of the process */
int jpr_main(int argc, char **argv);

#endif
