/* Stand-in of a request-serving instance. */
#include "lib_fake.h"
#include "util.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_MS 1000
#define OUT_OF_ORDER_MS 300 /* extra time of every other answer under the fault delay_answers */
#define QUIET_MS 300 /* no request for this time while leaving: none is on its way any more */
#define SPARE_CONNECTIONS 16U /* for /history and /fault beside the requests */
#define HISTORY_MAX 100000
#define ANSWER_MAX (64 * 1024 * 1024)

struct faults {
	long slow_ms;
	long cut_after;
	long fail_every;
	bool delay_answers;
	bool silent;
};

struct service {
	pthread_mutex_t lock; /* guards all fields below */
	struct faults faults;
	json_t *history; /* array, one object a request */
	unsigned int running;
	unsigned int max_running;
	uint64_t count;
	uint64_t last_ms;
	long work_ms;
	const char *name;
	const char *target;
	unsigned int slots;
	unsigned int connections;
	uint64_t incarnation;
	bool leaving;
};

/* What one request asks for, with the faults at its start. */
struct work {
	json_t *record; /* in the history */
	json_t *echo;
	long work_ms;
	long answer_bytes;
	bool fails;
	long cut_after;
};

static void sleep_ms(long ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000U);
}

static long read_long(json_t *root, const char *field, long fallback)
{
	json_t *value = json_object_get(root, field);

	return json_is_integer(value) ? (long)json_integer_value(value) : fallback;
}

static bool read_bool(json_t *root, const char *field, bool fallback)
{
	json_t *value = json_object_get(root, field);

	return json_is_boolean(value) ? json_boolean_value(value) : fallback;
}

/* Called with the lock held. */
static void apply_faults(struct service *s, struct work *work)
{
	work->work_ms += s->faults.slow_ms;
	if (s->faults.delay_answers && s->count % 2)
		work->work_ms += OUT_OF_ORDER_MS;
	work->fails = s->faults.fail_every > 0 && s->count % (uint64_t)s->faults.fail_every == 0;
	work->cut_after = s->faults.cut_after;
}

static void begin(struct service *s, const struct fake_request *request, struct work *work)
{
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);

	memset(work, 0, sizeof(*work));
	work->echo = json_incref(json_object_get(body, "echo"));
	work->answer_bytes = read_long(body, "answer_bytes", 0);
	pthread_mutex_lock(&s->lock);
	work->work_ms = read_long(body, "work_ms", s->work_ms);
	s->count++;
	s->running++;
	if (s->running > s->max_running)
		s->max_running = s->running;
	apply_faults(s, work);
	work->record = json_pack("{s:s, s:s, s:s, s:O?, s:I}", "request", request->id, "class",
				 request->class_name, "organisation", request->organisation, "echo",
				 work->echo, "started_ms", (json_int_t)util_clock_ms());
	if (json_array_size(s->history) < HISTORY_MAX)
		json_array_append(s->history, work->record);
	pthread_mutex_unlock(&s->lock);
	json_decref(body);
}

static void end(struct service *s, struct work *work, unsigned int status)
{
	pthread_mutex_lock(&s->lock);
	json_object_set_new(work->record, "finished_ms", json_integer((json_int_t)util_clock_ms()));
	json_object_set_new(work->record, "status", json_integer((json_int_t)status));
	json_decref(work->record);
	s->running--;
	s->last_ms = util_clock_ms();
	pthread_mutex_unlock(&s->lock);
	json_decref(work->echo);
}

/* The answer names the request, so that a test sees whose answer it got. */
static char *answer_text(const struct service *s, const struct fake_request *request,
			 const struct work *work)
{
	json_t *root = json_pack("{s:s, s:s, s:O?}", "request", request->id, "target", s->target,
				 "echo", work->echo);
	char *text = json_dumps(root, JSON_COMPACT);
	size_t len = strlen(text);
	size_t total = (size_t)work->answer_bytes;

	json_decref(root);
	if (work->answer_bytes <= (long)len || work->answer_bytes > ANSWER_MAX)
		return text;
	/* Blanks after the object keep the answer valid JSON. */
	text = realloc(text, total + 1);
	memset(text + len, ' ', total - len);
	text[total] = '\0';
	return text;
}

static void run(struct service *s, const struct fake_request *request, struct fake_reply *reply)
{
	struct work work;

	begin(s, request, &work);
	sleep_ms(work.work_ms);
	if (work.fails) {
		fake_reply_error(reply, 500, "fault fail_every");
	} else {
		reply->status = 200;
		reply->body = answer_text(s, request, &work);
		reply->cut_after = work.cut_after > 0 ? (size_t)work.cut_after : 0;
	}
	end(s, &work, reply->status);
}

static void set_faults(struct service *s, const struct fake_request *request,
		       struct fake_reply *reply)
{
	json_t *root = json_loadb(request->body, request->body_len, 0, NULL);
	struct faults *f = &s->faults;

	if (!json_is_object(root)) {
		json_decref(root);
		fake_reply_error(reply, 400, "not a JSON object");
		return;
	}
	pthread_mutex_lock(&s->lock);
	f->slow_ms = read_long(root, "slow_ms", f->slow_ms);
	f->cut_after = read_long(root, "cut_after", f->cut_after);
	f->fail_every = read_long(root, "fail_every", f->fail_every);
	f->delay_answers = read_bool(root, "delay_answers", f->delay_answers);
	f->silent = read_bool(root, "silent", f->silent);
	pthread_mutex_unlock(&s->lock);
	json_decref(root);
	fake_reply_json(reply, 200, json_object());
}

static void show_history(struct service *s, struct fake_reply *reply)
{
	pthread_mutex_lock(&s->lock);
	fake_reply_json(reply, 200,
			json_pack("{s:O, s:i, s:i}", "requests", s->history, "running",
				  (int)s->running, "max_running", (int)s->max_running));
	pthread_mutex_unlock(&s->lock);
}

static void handle(const struct fake_request *request, struct fake_reply *reply, void *ctx)
{
	struct service *s = ctx;

	if (!strcmp(request->path, "/run") && !strcmp(request->method, "POST"))
		run(s, request, reply);
	else if (!strcmp(request->path, "/fault"))
		set_faults(s, request, reply);
	else if (!strcmp(request->path, "/history"))
		show_history(s, reply);
}

static void announce(struct service *s, const char *agent, const char *url)
{
	json_t *root;
	bool silent;

	pthread_mutex_lock(&s->lock);
	silent = s->faults.silent;
	pthread_mutex_unlock(&s->lock);
	if (silent || !agent[0])
		return;
	root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:i}", "kind", "service", "target",
			 s->target, "service", s->name, "url", url, "incarnation",
			 (json_int_t)s->incarnation, "state", s->leaving ? "leaving" : "alive",
			 "slots", (int)s->slots, "connections", (int)s->connections);
	fake_announce(agent, root);
}

static bool quiet(struct service *s)
{
	bool result;

	pthread_mutex_lock(&s->lock);
	result = s->running == 0 && util_clock_ms() - s->last_ms > QUIET_MS;
	pthread_mutex_unlock(&s->lock);
	return result;
}

static void leave(struct service *s, const char *agent, const char *url)
{
	s->leaving = true;
	s->last_ms = util_clock_ms();
	announce(s, agent, url);
	while (!quiet(s)) {
		fake_wait(QUIET_MS);
		announce(s, agent, url);
	}
}

int main(int argc, char **argv)
{
	const char *listen = "127.0.0.1:0";
	const char *agent = "";
	const char *slots = "8";
	const char *connections = "64";
	const char *work_ms = "20";
	struct service s = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.name = "service",
		.target = "instance",
		.incarnation = util_wall_ms(),
	};
	const struct fake_option options[] = {
		{"--listen", &listen},	 {"--agent", &agent}, {"--service", &s.name},
		{"--target", &s.target}, {"--slots", &slots}, {"--connections", &connections},
		{"--work-ms", &work_ms},
	};
	struct fake_server *server;

	fake_block_signals();
	fake_parse(argc, argv, options, sizeof(options) / sizeof(options[0]));
	s.slots = (unsigned int)strtoul(slots, NULL, 10);
	s.connections = (unsigned int)strtoul(connections, NULL, 10);
	s.work_ms = strtol(work_ms, NULL, 10);
	s.history = json_array();
	server = fake_server_start(listen, s.connections + SPARE_CONNECTIONS, handle, &s);
	do {
		announce(&s, agent, fake_server_url(server));
	} while (!fake_wait(ANNOUNCE_MS));
	leave(&s, agent, fake_server_url(server));
	fake_server_stop(server);
	json_decref(s.history);
	return EXIT_SUCCESS;
}
