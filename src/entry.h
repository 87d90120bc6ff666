#ifndef JAYCOURSE_ENTRY_H
#define JAYCOURSE_ENTRY_H

#include "settings.h"

/**
 * DOC: The entry host: creation of its modules, message dispatch and shutdown
 */

/**
 * entry_run() - serve until SIGTERM or SIGINT
 * @settings: borrowed for the call
 *
 * Prints "listening http ip:port peer ip:port" on standard output once both are bound.
 *
 * Return: exit code of the process.
 */
int entry_run(const struct settings *settings);

#endif
