/* Stand-in for a request-serving instance. */
#include "lib_fake.h"
#include "util.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ANNOUNCE_PERIOD_MS 1000
#define OUT_OF_ORDER_MS 300	/* extra work time of every other request under delay_answers */
#define IDLE_MS 300		/* a leaving instance ends after this time without a request */
#define CONTROL_CONNECTIONS 16U /* for /history and /fault, beyond those for requests */
#define HISTORY_MAX 100000
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

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
	json_t *history; /* array with one object per request */
	unsigned int running;
	unsigned int max_running;
	uint64_t count;
	uint64_t last_end_ms;
	long work_ms;
	const char *name;
	const char *target;
	unsigned int slots;
	unsigned int connections;
	uint64_t incarnation;
	bool leaving;
};

/* Work of one request, including the faults in effect at its start. */
struct work {
	json_t *record; /* entry of the history */
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
static void apply_faults(struct service *service, struct work *work)
{
	work->work_ms += service->faults.slow_ms;
	if (service->faults.delay_answers && service->count % 2)
		work->work_ms += OUT_OF_ORDER_MS;
	work->fails = service->faults.fail_every > 0 &&
		      service->count % (uint64_t)service->faults.fail_every == 0;
	work->cut_after = service->faults.cut_after;
}

static void begin_request(struct service *service, const struct fake_request *request,
			  struct work *work)
{
	json_t *body = json_loadb(request->body, request->body_len, 0, NULL);

	memset(work, 0, sizeof(*work));
	work->echo = json_incref(json_object_get(body, "echo"));
	work->answer_bytes = read_long(body, "answer_bytes", 0);
	pthread_mutex_lock(&service->lock);
	work->work_ms = read_long(body, "work_ms", service->work_ms);
	service->count++;
	service->running++;
	if (service->running > service->max_running)
		service->max_running = service->running;
	apply_faults(service, work);
	work->record = json_pack("{s:s, s:s, s:s, s:O?, s:I}", "request", request->id, "class",
				 request->class_name, "organisation", request->organisation, "echo",
				 work->echo, "started_ms", (json_int_t)util_clock_ms());
	if (json_array_size(service->history) < HISTORY_MAX)
		json_array_append(service->history, work->record);
	pthread_mutex_unlock(&service->lock);
	json_decref(body);
}

static void end_request(struct service *service, struct work *work, unsigned int status)
{
	pthread_mutex_lock(&service->lock);
	json_object_set_new(work->record, "finished_ms", json_integer((json_int_t)util_clock_ms()));
	json_object_set_new(work->record, "status", json_integer((json_int_t)status));
	json_decref(work->record);
	service->running--;
	service->last_end_ms = util_clock_ms();
	pthread_mutex_unlock(&service->lock);
	json_decref(work->echo);
}

/* The answer names the request, so that a test can check to which request it belongs. */
static char *create_answer(const struct service *service, const struct fake_request *request,
			   const struct work *work)
{
	json_t *root = json_pack("{s:s, s:s, s:O?}", "request", request->id, "target",
				 service->target, "echo", work->echo);
	char *text = json_dumps(root, JSON_COMPACT);
	size_t len = strlen(text);
	size_t total = (size_t)work->answer_bytes;

	json_decref(root);
	if (work->answer_bytes <= (long)len || work->answer_bytes > ANSWER_BYTES_MAX)
		return text;
	/* Blanks after the object keep the answer valid JSON. */
	text = realloc(text, total + 1);
	memset(text + len, ' ', total - len);
	text[total] = '\0';
	return text;
}

static void serve_run(struct service *service, const struct fake_request *request,
		      struct fake_reply *reply)
{
	struct work work;

	begin_request(service, request, &work);
	sleep_ms(work.work_ms);
	if (work.fails) {
		fake_reply_error(reply, 500, "fault fail_every");
	} else {
		reply->status = 200;
		reply->body = create_answer(service, request, &work);
		reply->cut_after = work.cut_after > 0 ? (size_t)work.cut_after : 0;
	}
	end_request(service, &work, reply->status);
}

static void set_faults(struct service *service, const struct fake_request *request,
		       struct fake_reply *reply)
{
	json_t *root = json_loadb(request->body, request->body_len, 0, NULL);
	struct faults *faults = &service->faults;

	if (!json_is_object(root)) {
		json_decref(root);
		fake_reply_error(reply, 400, "not a JSON object");
		return;
	}
	pthread_mutex_lock(&service->lock);
	faults->slow_ms = read_long(root, "slow_ms", faults->slow_ms);
	faults->cut_after = read_long(root, "cut_after", faults->cut_after);
	faults->fail_every = read_long(root, "fail_every", faults->fail_every);
	faults->delay_answers = read_bool(root, "delay_answers", faults->delay_answers);
	faults->silent = read_bool(root, "silent", faults->silent);
	pthread_mutex_unlock(&service->lock);
	json_decref(root);
	fake_reply_json(reply, 200, json_object());
}

static void serve_history(struct service *service, struct fake_reply *reply)
{
	pthread_mutex_lock(&service->lock);
	fake_reply_json(reply, 200,
			json_pack("{s:O, s:i, s:i}", "requests", service->history, "running",
				  (int)service->running, "max_running", (int)service->max_running));
	pthread_mutex_unlock(&service->lock);
}

static void handle_request(const struct fake_request *request, struct fake_reply *reply, void *ctx)
{
	struct service *service = ctx;

	if (!strcmp(request->path, "/run") && !strcmp(request->method, "POST"))
		serve_run(service, request, reply);
	else if (!strcmp(request->path, "/fault"))
		set_faults(service, request, reply);
	else if (!strcmp(request->path, "/history"))
		serve_history(service, reply);
}

static void send_announcement(struct service *service, const char *agent, const char *url)
{
	json_t *root;
	bool silent;

	pthread_mutex_lock(&service->lock);
	silent = service->faults.silent;
	pthread_mutex_unlock(&service->lock);
	if (silent || !agent[0])
		return;
	root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:i}", "kind", "service", "target",
			 service->target, "service", service->name, "url", url, "incarnation",
			 (json_int_t)service->incarnation, "state",
			 service->leaving ? "leaving" : "alive", "slots", (int)service->slots,
			 "connections", (int)service->connections);
	fake_announce(agent, root);
}

static bool is_idle(struct service *service)
{
	bool result;

	pthread_mutex_lock(&service->lock);
	result = service->running == 0 && util_clock_ms() - service->last_end_ms > IDLE_MS;
	pthread_mutex_unlock(&service->lock);
	return result;
}

static void leave_when_idle(struct service *service, const char *agent, const char *url)
{
	service->leaving = true;
	service->last_end_ms = util_clock_ms();
	send_announcement(service, agent, url);
	while (!is_idle(service)) {
		fake_wait_signal(IDLE_MS);
		send_announcement(service, agent, url);
	}
}

int main(int argc, char **argv)
{
	const char *listen = "127.0.0.1:0";
	const char *agent = "";
	const char *slots = "8";
	const char *connections = "64";
	const char *work_ms = "20";
	struct service service = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.name = "service",
		.target = "instance",
		.incarnation = util_wall_ms(),
	};
	const struct fake_option options[] = {
		{"--listen", &listen},	       {"--agent", &agent}, {"--service", &service.name},
		{"--target", &service.target}, {"--slots", &slots}, {"--connections", &connections},
		{"--work-ms", &work_ms},
	};
	struct fake_server *server;

	fake_block_signals();
	fake_parse_options(argc, argv, options, sizeof(options) / sizeof(options[0]));
	service.slots = (unsigned int)strtoul(slots, NULL, 10);
	service.connections = (unsigned int)strtoul(connections, NULL, 10);
	service.work_ms = strtol(work_ms, NULL, 10);
	service.history = json_array();
	server = fake_server_start(listen, service.connections + CONTROL_CONNECTIONS,
				   handle_request, &service);
	do {
		send_announcement(&service, agent, fake_server_url(server));
	} while (!fake_wait_signal(ANNOUNCE_PERIOD_MS));
	leave_when_idle(&service, agent, fake_server_url(server));
	fake_server_stop(server);
	json_decref(service.history);
	return EXIT_SUCCESS;
}
