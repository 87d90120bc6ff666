#include "lib_fakestore.h"

#include "httpc.h"
#include "util.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define ARGUMENTS_MAX 8
#define LOOP_ITERATION_MS 5
#define DEFAULT_STORE_TIMEOUT_MS \
	10000 /* shorter time-outs on a stalled machine would look like a failed store */
#define LISTENING_PREFIX "listening "

struct fakestore {
	struct tevent_context *ev;
	struct httpc *http;
	pid_t pid;
	char *url;
};

struct response {
	int done;
	json_t *json;
};

static int fakestore_destructor(struct fakestore *fake)
{
	kill(fake->pid, SIGKILL);
	waitpid(fake->pid, NULL, 0);
	return 0;
}

static void exec_fake_store(const int *pipes, const char *const *flags)
{
	const char *bin = getenv("JAYCOURSE_BIN");
	char path[512];
	char *argv[ARGUMENTS_MAX + 2] = {path};

	snprintf(path, sizeof(path), "%s/fake_store", bin ? bin : "build/bin");
	for (int i = 0; flags && flags[i] && i < ARGUMENTS_MAX; i++)
		argv[i + 1] = (char *)flags[i];
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(pipes[1], STDOUT_FILENO);
	close(pipes[0]);
	execv(path, argv);
	_exit(127);
}

struct fakestore *fakestore_start(TALLOC_CTX *mem, struct tevent_context *ev,
				  const char *const *flags)
{
	struct fakestore *fake = talloc_zero(mem, struct fakestore);
	char line[128] = "";
	int pipes[2];
	FILE *out;

	if (pipe(pipes))
		abort();
	fake->ev = ev;
	fake->http = httpc_create(fake, ev);
	fake->pid = fork();
	if (fake->pid == 0)
		exec_fake_store(pipes, flags);
	talloc_set_destructor(fake, fakestore_destructor);
	close(pipes[1]);
	out = fdopen(pipes[0], "r");
	if (!out || !fgets(line, sizeof(line), out) ||
	    strncmp(line, LISTENING_PREFIX, strlen(LISTENING_PREFIX)) != 0) {
		fprintf(stderr, "fake_store did not start\n");
		exit(1);
	}
	fclose(out);
	line[strcspn(line, "\n")] = '\0';
	fake->url = talloc_asprintf(fake, "http://%s", line + strlen(LISTENING_PREFIX));
	return fake;
}

const char *fakestore_url(const struct fakestore *fake)
{
	return fake->url;
}

struct store *fakestore_client(TALLOC_CTX *mem, struct fakestore *fake, uint32_t timeout_ms)
{
	const char *endpoints[] = {fake->url};
	struct store_options options = {.endpoints = endpoints,
					.endpoint_count = 1,
					.timeout_ms =
						timeout_ms ? timeout_ms : DEFAULT_STORE_TIMEOUT_MS};

	return store_create(mem, fake->ev, &options, NULL, NULL);
}

static void on_iteration_timeout(struct tevent_context *ev, struct tevent_timer *te,
				 struct timeval now, void *ctx)
{
	*(bool *)ctx = true;
}

/* Runs one iteration of the event loop that waits at most LOOP_ITERATION_MS. */
static void run_loop_once(struct tevent_context *ev)
{
	struct timeval at = tevent_timeval_current_ofs(0, LOOP_ITERATION_MS * 1000);
	bool fired = false;
	struct tevent_timer *timer = tevent_add_timer(ev, ev, at, on_iteration_timeout, &fired);

	tevent_loop_once(ev);
	if (!fired)
		talloc_free(timer);
}

bool loop_until(struct tevent_context *ev, const int *done)
{
	uint64_t end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (*done <= 0 && util_clock_ms() < end_ms)
		run_loop_once(ev);
	return *done > 0;
}

void loop_for(struct tevent_context *ev, uint32_t ms)
{
	uint64_t end_ms = util_clock_ms() + ms;

	while (util_clock_ms() < end_ms)
		run_loop_once(ev);
}

static void on_response(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct response *response = ctx;

	response->done = 1;
	response->json = status ? NULL : json_loadb(body, len, 0, NULL);
}

static json_t *request_json(struct fakestore *fake, const char *method, const char *path,
			    const char *body)
{
	struct response response = {0};
	char *url = talloc_asprintf(fake, "%s%s", fake->url, path);
	struct httpc_request request = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.done = on_response,
		.ctx = &response,
	};

	httpc_start(fake->http, &request);
	if (!loop_until(fake->ev, &response.done) || !response.json) {
		fprintf(stderr, "fake_store does not answer %s\n", path);
		exit(1);
	}
	talloc_free(url);
	return response.json;
}

void fakestore_set_fault(struct fakestore *fake, const char *json)
{
	json_decref(request_json(fake, "POST", "/fault", json));
}

void fakestore_pause(struct fakestore *fake, bool pause)
{
	kill(fake->pid, pause ? SIGSTOP : SIGCONT);
}

int64_t fakestore_stat(struct fakestore *fake, const char *name)
{
	json_t *stats = request_json(fake, "GET", "/stats", NULL);
	int64_t value = json_integer_value(json_object_get(stats, name));

	json_decref(stats);
	return value;
}
