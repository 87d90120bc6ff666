#ifndef JAYCOURSE_BENCH_CMD_H
#define JAYCOURSE_BENCH_CMD_H

/**
 * DOC: Subcommands of jaycourse-bench
 *
 * Each function parses its own arguments (argv[0] is the name of the subcommand) and returns the
 * exit code: 0 on success, 1 when a bound is exceeded or an error occurred, 2 for wrong usage.
 */

int bench_cmd_place(int argc, char **argv);
int bench_cmd_workload(int argc, char **argv);
int bench_cmd_table(int argc, char **argv);
int bench_cmd_load(int argc, char **argv);

#endif
