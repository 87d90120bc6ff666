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

#define FLAGS_MAX 8
#define TICK_MS 5
#define TIMEOUT_MS 10000 /* a stalled machine must not look like a failed store */
#define PREFIX "listening "

struct fakestore {
	struct tevent_context *ev;
	struct httpc *http;
	pid_t pid;
	char *url;
};

struct answer {
	int done;
	json_t *json;
};

static int fakestore_destructor(struct fakestore *fake)
{
	kill(fake->pid, SIGKILL);
	waitpid(fake->pid, NULL, 0);
	return 0;
}

static void run_child(const int *pipes, const char *const *flags)
{
	const char *bin = getenv("JAYCOURSE_BIN");
	char path[512];
	char *argv[FLAGS_MAX + 2] = {path};

	snprintf(path, sizeof(path), "%s/fake_store", bin ? bin : "build/bin");
	for (int i = 0; flags && flags[i] && i < FLAGS_MAX; i++)
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
		run_child(pipes, flags);
	talloc_set_destructor(fake, fakestore_destructor);
	close(pipes[1]);
	out = fdopen(pipes[0], "r");
	if (!out || !fgets(line, sizeof(line), out) || strncmp(line, PREFIX, strlen(PREFIX)) != 0) {
		fprintf(stderr, "fake_store did not start\n");
		exit(1);
	}
	fclose(out);
	line[strcspn(line, "\n")] = '\0';
	fake->url = talloc_asprintf(fake, "http://%s", line + strlen(PREFIX));
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
					.timeout_ms = timeout_ms ? timeout_ms : TIMEOUT_MS};

	return store_create(mem, fake->ev, &options, NULL, NULL);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	*(bool *)ctx = true;
}

/* One turn of the loop that lasts at most TICK_MS. */
static void turn(struct tevent_context *ev)
{
	struct timeval at = tevent_timeval_current_ofs(0, TICK_MS * 1000);
	bool fired = false;
	struct tevent_timer *timer = tevent_add_timer(ev, ev, at, on_tick, &fired);

	tevent_loop_once(ev);
	if (!fired)
		talloc_free(timer);
}

bool loop_until(struct tevent_context *ev, const int *done)
{
	uint64_t end_ms = util_clock_ms() + LOOP_TIMEOUT_MS;

	while (*done <= 0 && util_clock_ms() < end_ms)
		turn(ev);
	return *done > 0;
}

void loop_for(struct tevent_context *ev, uint32_t ms)
{
	uint64_t end_ms = util_clock_ms() + ms;

	while (util_clock_ms() < end_ms)
		turn(ev);
}

static void on_answer(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct answer *answer = ctx;

	answer->done = 1;
	answer->json = status ? NULL : json_loadb(body, len, 0, NULL);
}

static json_t *call(struct fakestore *fake, const char *method, const char *path, const char *body)
{
	struct answer answer = {0};
	char *url = talloc_asprintf(fake, "%s%s", fake->url, path);
	struct httpc_request request = {
		.method = method,
		.url = url,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.done = on_answer,
		.ctx = &answer,
	};

	httpc_start(fake->http, &request);
	if (!loop_until(fake->ev, &answer.done) || !answer.json) {
		fprintf(stderr, "fake_store does not answer %s\n", path);
		exit(1);
	}
	talloc_free(url);
	return answer.json;
}

void fakestore_fault(struct fakestore *fake, const char *json)
{
	json_decref(call(fake, "POST", "/fault", json));
}

void fakestore_pause(struct fakestore *fake, bool pause)
{
	kill(fake->pid, pause ? SIGSTOP : SIGCONT);
}

int64_t fakestore_stat(struct fakestore *fake, const char *name)
{
	json_t *stats = call(fake, "GET", "/stats", NULL);
	int64_t value = json_integer_value(json_object_get(stats, name));

	json_decref(stats);
	return value;
}
