#include "lib_proc.h"
#include "util.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT_MS 20000
#define POLL_PERIOD_MS 20

const char *proc_log_folder(void)
{
	static char folder[] = "/tmp/jaycourse-test-XXXXXX";
	static bool created;

	if (!created && !mkdtemp(folder))
		perror("mkdtemp");
	created = true;
	return folder;
}

static void program_path(const char *name, char *out, size_t len)
{
	const char *folder = getenv("JAYCOURSE_BIN");

	snprintf(out, len, "%s/%s", folder ? folder : "build/bin", name);
}

/* Runs in the child process, which the kernel kills when the test ends or is killed. */
static void exec_program(const char *path, const char *const *arguments)
{
	const char *argv[PROC_ARGUMENTS + 2];
	size_t count = 0;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	argv[count++] = path;
	for (size_t i = 0; arguments[i] && count <= PROC_ARGUMENTS; i++)
		argv[count++] = arguments[i];
	argv[count] = NULL;
	execv(path, (char *const *)argv);
	perror(path);
	_exit(127);
}

static bool read_first_line(int fd, char *line, size_t len)
{
	uint64_t deadline = util_clock_ms() + START_TIMEOUT_MS;
	size_t count = 0;

	while (count + 1 < len && util_clock_ms() < deadline) {
		struct pollfd poll_fd = {.fd = fd, .events = POLLIN};

		if (poll(&poll_fd, 1, 100) <= 0)
			continue;
		if (read(fd, &line[count], 1) <= 0)
			return false;
		if (line[count] == '\n') {
			line[count] = '\0';
			return true;
		}
		count++;
	}
	return false;
}

static void parse_addresses(struct proc *proc, char *line)
{
	size_t found = 0;
	char *save = NULL;

	for (char *word = strtok_r(line, " ", &save); word && found < PROC_ADDRESSES;
	     word = strtok_r(NULL, " ", &save)) {
		if (strchr(word, ':'))
			snprintf(proc->address[found++], sizeof(proc->address[0]), "%s", word);
	}
}

static void print_log(const struct proc *proc)
{
	char line[512];
	FILE *file = fopen(proc->log, "r");

	fprintf(stderr, "---- %s (%s)\n", proc->name, proc->log);
	while (file && fgets(line, sizeof(line), file))
		fputs(line, stderr);
	if (file)
		fclose(file);
}

bool proc_start(struct proc *proc, const char *name, const char *label,
		const char *const *arguments)
{
	char path[512];
	char line[256];
	int out[2];

	memset(proc, 0, sizeof(*proc));
	program_path(name, path, sizeof(path));
	snprintf(proc->name, sizeof(proc->name), "%s", label);
	snprintf(proc->log, sizeof(proc->log), "%s/%s.log", proc_log_folder(), label);
	if (pipe2(out, O_CLOEXEC))
		return false;
	proc->pid = fork();
	if (proc->pid == 0) {
		int log = open(proc->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(out[1], STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		exec_program(path, arguments);
	}
	close(out[1]);
	if (proc->pid < 0 || !read_first_line(out[0], line, sizeof(line))) {
		close(out[0]);
		print_log(proc);
		return false;
	}
	close(out[0]);
	parse_addresses(proc, line);
	return true;
}

bool proc_spawn(struct proc *proc, const char *name, const char *label,
		const char *const *arguments, const char *const *environment)
{
	char path[512];

	memset(proc, 0, sizeof(*proc));
	program_path(name, path, sizeof(path));
	snprintf(proc->name, sizeof(proc->name), "%s", label);
	snprintf(proc->log, sizeof(proc->log), "%s/%s.log", proc_log_folder(), label);
	proc->pid = fork();
	if (proc->pid == 0) {
		int log = open(proc->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		for (size_t i = 0; environment && environment[i]; i++)
			putenv((char *)environment[i]);
		exec_program(path, arguments);
	}
	return proc->pid > 0;
}

bool proc_ended(struct proc *proc, int *status)
{
	if (proc->pid <= 0 || waitpid(proc->pid, status, WNOHANG) != proc->pid)
		return false;
	proc->pid = 0;
	return true;
}

void proc_signal(const struct proc *proc, int signal)
{
	if (proc->pid > 0)
		kill(proc->pid, signal);
}

static bool reap_process(struct proc *proc, uint32_t timeout_ms, int *status)
{
	uint64_t deadline = util_clock_ms() + timeout_ms;

	while (waitpid(proc->pid, status, WNOHANG) == 0) {
		if (util_clock_ms() > deadline)
			return false;
		poll(NULL, 0, POLL_PERIOD_MS);
	}
	proc->pid = 0;
	return true;
}

int proc_stop(struct proc *proc, uint32_t timeout_ms)
{
	int status;

	if (proc->pid <= 0)
		return -1;
	proc_signal(proc, SIGTERM);
	if (!reap_process(proc, timeout_ms, &status)) {
		print_log(proc);
		proc_kill(proc);
		return -1;
	}
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void proc_kill(struct proc *proc)
{
	if (proc->pid <= 0)
		return;
	proc_signal(proc, SIGKILL);
	waitpid(proc->pid, NULL, 0);
	proc->pid = 0;
}

int proc_run(const char *name, const char *const *arguments, char *out, size_t out_len)
{
	char path[512];
	int fds[2];
	int status;
	size_t count = 0;
	ssize_t received;
	pid_t pid;

	program_path(name, path, sizeof(path));
	if (pipe2(fds, O_CLOEXEC))
		return -1;
	pid = fork();
	if (pid == 0) {
		dup2(fds[1], STDOUT_FILENO);
		dup2(fds[1], STDERR_FILENO);
		exec_program(path, arguments);
	}
	close(fds[1]);
	while (count + 1 < out_len &&
	       (received = read(fds[0], out + count, out_len - 1 - count)) > 0)
		count += (size_t)received;
	out[count] = '\0';
	close(fds[0]);
	if (waitpid(pid, &status, 0) < 0)
		return -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct http_reply *reply = ctx;
	size_t len = size * count;

	reply->body = realloc(reply->body, reply->len + len + 1);
	memcpy(reply->body + reply->len, data, len);
	reply->len += len;
	reply->body[reply->len] = '\0';
	return len;
}

struct http_reply http_call(const char *method, const char *url, const char *const *headers,
			    const char *body, uint32_t timeout_ms)
{
	struct http_reply reply = {.body = calloc(1, 1)};
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();
	long status = 0;
	CURLcode code;

	for (size_t i = 0; headers && headers[i]; i++)
		list = curl_slist_append(list, headers[i]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	else if (!strcmp(method, "POST") || !strcmp(method, "PUT"))
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply);
	code = curl_easy_perform(easy);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	else if (code == CURLE_COULDNT_CONNECT)
		status = -1;
	reply.status = (int)status;
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	return reply;
}

void http_reply_free(struct http_reply *reply)
{
	free(reply->body);
	reply->body = NULL;
}

bool wait_until(bool (*check)(void *ctx), void *ctx, uint32_t timeout_ms)
{
	uint64_t deadline = util_clock_ms() + timeout_ms;

	while (!check(ctx)) {
		if (util_clock_ms() > deadline)
			return false;
		poll(NULL, 0, POLL_PERIOD_MS);
	}
	return true;
}
