#ifndef JAYCOURSE_LIB_PROC_H
#define JAYCOURSE_LIB_PROC_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * DOC: Processes of the system under test
 *
 * Programs are started from the folder in the environment variable JAYCOURSE_BIN (default
 * build/bin). Each prints its addresses on its first line of output. Standard error goes to a log
 * file in a temporary folder; the log is printed when the process does not start or stop in time.
 */

#define PROC_ADDRESSES 2
#define PROC_ARGUMENTS 48

struct proc {
	pid_t pid;
	char name[64];
	char log[256];
	char address[PROC_ADDRESSES][64]; /* "ip:port" in the order printed */
};

/**
 * proc_start() - start a program and wait for its first line of output
 * @name: file name of the program
 * @label: unique name of the process and its log file
 * @arguments: NULL-terminated, without the program's name
 *
 * Return: true when it printed a first line within 20 s; its addresses are then set.
 */
bool proc_start(struct proc *proc, const char *name, const char *label,
		const char *const *arguments);

/**
 * proc_spawn() - start a program without waiting for it; its whole output goes to its log
 * @environment: NULL-terminated list of "NAME=value" added to the environment, or NULL
 */
bool proc_spawn(struct proc *proc, const char *name, const char *label,
		const char *const *arguments, const char *const *environment);

/** proc_ended() - whether a process has ended; sets @status as waitpid() does and reaps it */
bool proc_ended(struct proc *proc, int *status);

/** proc_signal() - send a signal to a started process */
void proc_signal(const struct proc *proc, int signal);

/** proc_stop() - send SIGTERM and wait up to @timeout_ms, then SIGKILL; returns the exit code,
 * or -1 if the process did not exit by itself */
int proc_stop(struct proc *proc, uint32_t timeout_ms);

/** proc_kill() - send SIGKILL and reap the process */
void proc_kill(struct proc *proc);

/** proc_run() - run a program to its end with its output in @out; returns the exit code */
int proc_run(const char *name, const char *const *arguments, char *out, size_t out_len);

/** proc_log_folder() - folder of the log files, created on first use */
const char *proc_log_folder(void);

struct http_reply {
	int status; /* HTTP status; 0: no complete answer; -1: not connected, nothing sent */
	char *body; /* NUL terminated */
	size_t len;
};

/**
 * http_call() - make one blocking HTTP call
 * @headers: NULL-terminated list of header lines, or NULL
 * @body: request body, or NULL
 */
struct http_reply http_call(const char *method, const char *url, const char *const *headers,
			    const char *body, uint32_t timeout_ms);

void http_reply_free(struct http_reply *reply);

/** wait_until() - call @check every 20 ms until it is true; false after @timeout_ms */
bool wait_until(bool (*check)(void *ctx), void *ctx, uint32_t timeout_ms);

#endif
