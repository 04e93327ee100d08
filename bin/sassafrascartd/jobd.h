/**
 * @file jobd.h
 * @brief Job mode of the daemon, on a machine of the ESOA platform: connects
 * the components of the job service.
 *
 * Prefix: jobd_.
 */
#ifndef JOBD_H
#define JOBD_H

#include <stdbool.h>

/** @brief Returns whether the arguments or the environment name a node file. */
bool jobd_is_requested(int argc, char *const *argv);

/**
 * @brief Runs the daemon until it is stopped. @return exit code of the process
 */
int jobd_main(int argc, char **argv);

#endif
