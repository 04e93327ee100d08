/**
 * @file jobd.h
 * @brief The process on a machine of the ESOA platform: wires the job service.
 *
 * Prefix: jobd_.
 */
#ifndef JOBD_H
#define JOBD_H

#include <stdbool.h>

/** @brief Tells whether arguments or environment name a machine's file. */
bool jobd_is_requested(int argc, char *const *argv);

/** @brief Runs until it is stopped. @return exit code of the process */
int jobd_main(int argc, char **argv);

#endif
