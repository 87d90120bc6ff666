#ifndef JAYCOURSE_BENCH_CMD_H
#define JAYCOURSE_BENCH_CMD_H

/**
 * DOC: Subcommands of jaycourse-bench
 *
 * Each parses its own arguments (argv[0] is the subcommand) and returns the exit code: 0,
 * 1 when a bound is missed or something failed, 2 for wrong usage.
 */

int bench_cmd_place(int argc, char **argv);
int bench_cmd_workload(int argc, char **argv);
int bench_cmd_table(int argc, char **argv);
int bench_cmd_load(int argc, char **argv);

#endif
