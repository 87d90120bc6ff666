#include "bench_cmd.h"

#include <stdio.h>
#include <string.h>

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{"place", bench_cmd_place, "replay a workload against a placement policy"},
	{"workload", bench_cmd_workload, "write a fleet and a workload made from a seed"},
	{"table", bench_cmd_table, "compare with first-fit and check the bounds"},
	{"load", bench_cmd_load, "send requests and measure what the system adds"},
};

static void usage(FILE *out)
{
	fprintf(out, "Usage: jaycourse-bench COMMAND [OPTION...]\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name, commands[i].help);
	fprintf(out, "\nExample: jaycourse-bench table --size nefeli\n"
		     "Each command takes --help.\n");
}

int main(int argc, char **argv)
{
	if (argc >= 2 && !strcmp(argv[1], "--help")) {
		usage(stdout);
		return 0;
	}
	for (size_t i = 0; argc >= 2 && i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	}
	usage(stderr);
	return 2;
}
