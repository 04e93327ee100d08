/**
 * @file jobd.h
 * @brief The job service process on a machine of the ESOA platform: creates and
 * connects its components.
 *
 * Prefix: jobd_.
 */
#ifndef JOBD_H
#define JOBD_H

#include <stdbool.h>

/** @brief Returns whether the arguments or the environment name a node file. */
bool jobd_is_requested(int argc, char *const *argv);

/** @brief Runs the process until it is stopped. @return its exit code */
int jobd_main(int argc, char **argv);

#endif
