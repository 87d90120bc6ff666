#include "fleet-2.h"

#include "httpc.h"
#include "httpd.h"
#include "util.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Usage of a case: case PROGRAM FOLDER, with the path of jaycourse-fleet and of a temporary folder.
 */

#define BODY_MAX (4 * 1024 * 1024)
#define VALUE_MAX (1024 * 1024)
#define PAGE_MAX 500
#define TXN_MAX 32
#define HISTORY_MS 20000
#define TICK_MS 10
#define HEARTBEAT_MS 1500
#define LEASE_MAX_MS 10000
#define STOP_MS 100
#define STARTUP_MS 500
#define PORT_STORE 7000
#define DEADLINE_MS 3000 /* of clients */
#define READY_TRIES 200
#define READY_PAUSE_MS 100
#define SETTLE_MS 1000
#define NETWORKS 128
#define SERVICE "render"
#define HOST "h.example"
#define LIMIT_S 118 /* the case ends by then, whatever happens */
#define EXIT_BROKEN 1
#define EXIT_FAILED 2

struct item {
	char *key;
	char *value;
	int64_t revision;
	int64_t created;
	int64_t lease;
};

struct event {
	char *key;
	char *value; /* NULL: removed */
	int64_t revision;
	int64_t created;
	int64_t lease;
	uint64_t at_ms;
};

struct lease {
	uint64_t end_ms;
	uint32_t ttl_ms;
};

struct watch {
	struct httpd_call *call;
	char *prefix;
	int64_t after;
	uint64_t until_ms;
};

/* A process of the fleet, with the address at which it finds the store. */
struct node {
	char name[16];
	char ip[32];
	char settings[256];
	char log[256];
	bool entry;
	pid_t pid;
	struct httpd *store;
};

struct run {
	char *task;
	uint32_t number;
	uint64_t began_ms;
	uint64_t work_ms; /* 0: lasts */
	uint64_t stop_ms; /* end of a stop that is under way; 0: none */
	uint32_t gpu;
};

struct end {
	uint64_t number;
	char *task;
	uint32_t run;
	const char *how;
	uint64_t at_ms;
};

struct hold {
	struct httpd_call *call;
	uint64_t until_ms; /* it is answered before if there is an end to list */
};

struct minion {
	unsigned int index;
	char id[24];
	char address[40];
	struct node *agent;
	struct httpd *httpd;
	const char *kind;
	char rack[8];
	uint64_t born_ms;
	uint64_t began_ms;
	uint64_t beat_ms;
	uint64_t sequence;
	uint64_t fence;
	uint64_t lease_ms; /* on its clock */
	uint64_t known;	   /* ends up to this one are forgotten */
	uint64_t ended;
	bool unhealthy;
	GPtrArray *runs;
	GPtrArray *ends;
	GPtrArray *holds;
	GHashTable *closed; /* task -> highest run that was stopped or has ended */
};

static struct {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct httpc *http;
	FILE *record;
	const char *program;
	const char *folder;
	unsigned int network;
	uint64_t began_ms;
	int64_t revision;
	int64_t compacted;
	GHashTable *items;
	GHashTable *leases;
	GPtrArray *events;
	GPtrArray *watches;
	struct node entries[FLEET_ENTRIES];
	struct node agents[FLEET_MINIONS_MAX];
	struct minion minions[FLEET_MINIONS_MAX];
	unsigned int minion_count;
	GPtrArray *started; /* names of tasks, one for each start */
} world;

uint64_t fleet_now_ms(void)
{
	return util_clock_ms() - world.began_ms;
}

void fleet_note(const char *format, ...)
{
	uint64_t ms = fleet_now_ms();
	va_list args;

	fprintf(world.record, "%3" PRIu64 ".%03" PRIu64 " ", ms / 1000, ms % 1000);
	va_start(args, format);
	vfprintf(world.record, format, args);
	va_end(args);
	fputc('\n', world.record);
	fflush(world.record);
}

static void end_nodes(void)
{
	for (unsigned int i = 0; i < FLEET_ENTRIES + FLEET_MINIONS_MAX; i++) {
		struct node *node =
			i < FLEET_ENTRIES ? &world.entries[i] : &world.agents[i - FLEET_ENTRIES];

		if (node->pid <= 0)
			continue;
		kill(node->pid, SIGKILL);
		waitpid(node->pid, NULL, 0);
		node->pid = 0;
	}
}

static void give_up(const char *why)
{
	fprintf(stderr, "%s\n", why);
	fleet_note("could not run: %s", why);
	end_nodes();
	exit(EXIT_FAILED);
}

/* The event loop. */

static void on_wake(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	*(bool *)ctx = true;
}

void fleet_run(uint32_t ms)
{
	bool done = false;

	tevent_add_timer(world.ev, world.mem,
			 tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000), on_wake, &done);
	while (!done)
		tevent_loop_once(world.ev);
}

static void answer(struct httpd_call *call, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	httpd_answer(call, status, "application/json", text, 0);
	free(text);
	json_decref(json);
}

/* The store. */

static json_t *encode(const char *value)
{
	char *text = g_base64_encode((const guchar *)value, strlen(value));
	json_t *json = json_string(text);

	g_free(text);
	return json;
}

static json_t *item_json(const char *key, const struct item *item)
{
	if (!item)
		return json_pack("{s:s, s:i}", "key", key, "revision", 0);
	return json_pack("{s:s, s:o, s:I, s:I, s:I}", "key", key, "value", encode(item->value),
			 "revision", (json_int_t)item->revision, "created",
			 (json_int_t)item->created, "lease", (json_int_t)item->lease);
}

static json_t *event_json(const struct event *event)
{
	if (!event->value)
		return json_pack("{s:s, s:I, s:b}", "key", event->key, "revision",
				 (json_int_t)event->revision, "deleted", 1);
	return json_pack("{s:s, s:o, s:I, s:I, s:I}", "key", event->key, "value",
			 encode(event->value), "revision", (json_int_t)event->revision, "created",
			 (json_int_t)event->created, "lease", (json_int_t)event->lease);
}

static void free_event(gpointer data)
{
	struct event *event = data;

	g_free(event->key);
	g_free(event->value);
	g_free(event);
}

static void free_item(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void add_event(const char *key, const struct item *item)
{
	struct event *event = g_new0(struct event, 1);
	struct event *first;

	*event = (struct event){g_strdup(key),		item ? g_strdup(item->value) : NULL,
				world.revision,		item ? item->created : 0,
				item ? item->lease : 0, util_clock_ms()};
	g_ptr_array_add(world.events, event);
	while ((first = world.events->pdata[0])->at_ms + HISTORY_MS < util_clock_ms()) {
		world.compacted = first->revision;
		g_ptr_array_remove_index(world.events, 0);
	}
}

static void put_item(const char *key, const char *value, int64_t lease)
{
	struct item *item = g_hash_table_lookup(world.items, key);

	if (!item) {
		item = g_new0(struct item, 1);
		item->key = g_strdup(key);
		item->created = world.revision;
		g_hash_table_insert(world.items, item->key, item);
	}
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = world.revision;
	item->lease = lease;
	add_event(key, item);
}

static void remove_item(const char *key)
{
	char *copy = g_strdup(key);

	if (g_hash_table_remove(world.items, copy))
		add_event(copy, NULL);
	g_free(copy);
}

static json_t *watch_events(const struct watch *watch)
{
	json_t *list = json_array();

	for (guint i = 0; i < world.events->len; i++) {
		const struct event *event = world.events->pdata[i];

		if (event->revision > watch->after && g_str_has_prefix(event->key, watch->prefix))
			json_array_append_new(list, event_json(event));
	}
	return list;
}

static void answer_watches(void)
{
	for (guint i = world.watches->len; i-- > 0;) {
		struct watch *watch = world.watches->pdata[i];
		json_t *list = watch_events(watch);

		if (json_array_size(list) == 0 && util_clock_ms() < watch->until_ms) {
			json_decref(list);
			continue;
		}
		answer(watch->call, 200,
		       json_pack("{s:o, s:I}", "events", list, "current_rev",
				 (json_int_t)world.revision));
		g_ptr_array_remove_index(world.watches, i);
		g_free(watch->prefix);
		g_free(watch);
	}
}

static void end_lease(int64_t id)
{
	GList *items = g_hash_table_get_values(world.items);

	g_hash_table_remove(world.leases, &id);
	world.revision++;
	for (GList *at = items; at; at = at->next) {
		const struct item *item = at->data;

		if (item->lease == id)
			remove_item(item->key);
	}
	g_list_free(items);
}

static void end_due_leases(void)
{
	GList *ids = g_hash_table_get_keys(world.leases);

	for (GList *at = ids; at; at = at->next) {
		int64_t id = *(int64_t *)at->data;
		const struct lease *lease = g_hash_table_lookup(world.leases, &id);

		if (lease->end_ms <= util_clock_ms())
			end_lease(id);
	}
	g_list_free(ids);
}

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return text ? text : "";
}

static json_int_t number_of(const json_t *json, const char *name)
{
	return json_integer_value(json_object_get(json, name));
}

static int commit(const json_t *body, json_t **out)
{
	const json_t *expected = json_object_get(body, "expected");
	const json_t *puts = json_object_get(body, "puts");
	const json_t *removes = json_object_get(body, "remove");
	const json_t *row;
	json_t *items = json_array();
	bool holds = true;
	size_t i;

	*out = json_object();
	if (json_array_size(expected) + json_array_size(puts) + json_array_size(removes) > TXN_MAX)
		return 400;
	json_array_foreach(puts, i, row)
	{
		int64_t lease = number_of(row, "lease");

		/* Of base64 text, of which up to two bytes are padding. */
		if (strlen(text_of(row, "value")) / 4 * 3 > VALUE_MAX + 2) {
			fleet_note("store: %s refused, its value is over value_bytes",
				   text_of(row, "key"));
			return 400;
		}
		if (lease && !g_hash_table_contains(world.leases, &lease))
			return 404;
	}
	json_array_foreach(expected, i, row)
	{
		const char *key = text_of(row, "key");
		const struct item *item = g_hash_table_lookup(world.items, key);

		holds = holds && (item ? item->revision : 0) == number_of(row, "revision");
		json_array_append_new(items, item_json(key, item));
	}
	json_object_set_new(*out, "items", items);
	if (!holds)
		return 412;
	world.revision++;
	json_array_foreach(puts, i, row)
	{
		gsize len;
		guchar *bytes = g_base64_decode(text_of(row, "value"), &len);
		char *value = g_strndup((char *)bytes, len);

		put_item(text_of(row, "key"), value, number_of(row, "lease"));
		g_free(value);
		g_free(bytes);
	}
	json_array_foreach(removes, i, row) remove_item(json_string_value(row));
	json_object_set_new(*out, "revision", json_integer(world.revision));
	answer_watches();
	return 200;
}

static void serve_txn(struct httpd_call *call, const json_t *body)
{
	json_t *out;
	int status = commit(body, &out);

	answer(call, status, out);
}

static gint compare_items(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct item *)a)->key, ((const struct item *)b)->key);
}

static void serve_range(struct httpd_call *call)
{
	const char *prefix = httpd_argument(call, "prefix");
	const char *after = httpd_argument(call, "after");
	GList *items = g_list_sort(g_hash_table_get_values(world.items), compare_items);
	json_t *list = json_array();
	bool more = false;

	for (GList *at = items; at && !more; at = at->next) {
		const struct item *item = at->data;

		if (!g_str_has_prefix(item->key, prefix ? prefix : "") ||
		    (after && strcmp(item->key, after) <= 0))
			continue;
		more = json_array_size(list) == PAGE_MAX;
		if (!more)
			json_array_append_new(list, item_json(item->key, item));
	}
	g_list_free(items);
	answer(call, 200,
	       json_pack("{s:o, s:b, s:I}", "items", list, "has_more", more, "current_rev",
			 (json_int_t)world.revision));
}

static void serve_watch(struct httpd_call *call)
{
	const char *prefix = httpd_argument(call, "prefix");
	const char *after = httpd_argument(call, "after");
	const char *wait = httpd_argument(call, "wait_ms");
	struct watch *watch;

	if (after && atoll(after) < world.compacted) {
		answer(call, 410, json_object());
		return;
	}
	watch = g_new0(struct watch, 1);
	*watch = (struct watch){call, g_strdup(prefix ? prefix : ""), after ? atoll(after) : 0,
				util_clock_ms() + (uint64_t)(wait ? atoi(wait) : 0)};
	g_ptr_array_add(world.watches, watch);
	answer_watches();
}

static void serve_lease(struct httpd_call *call, const char *path, const json_t *body)
{
	int64_t id = atoll(strrchr(path, '/') + 1);
	struct lease *lease;

	if (!strcmp(path, "/v1/kv-lease")) {
		lease = g_new0(struct lease, 1);
		lease->ttl_ms = (uint32_t)MAX(number_of(body, "ttl_ms"), 1000);
		id = ++world.revision;
		g_hash_table_insert(world.leases, g_memdup2(&id, sizeof(id)), lease);
	} else {
		lease = g_hash_table_lookup(world.leases, &id);
	}
	if (!lease) {
		answer(call, 404, json_object());
		return;
	}
	lease->end_ms = util_clock_ms() + lease->ttl_ms;
	answer(call, 200,
	       json_pack("{s:I, s:i}", "lease", (json_int_t)id, "ttl_ms", (int)lease->ttl_ms));
}

static void on_store_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);
	const char *key = httpd_argument(call, "key");
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	const struct item *item;
	json_t *json;

	end_due_leases();
	if (!strcmp(path, "/v1/kv-key")) {
		item = g_hash_table_lookup(world.items, key ? key : "");
		json = item ? item_json(item->key, item) : json_object();
		json_object_set_new(json, "current_rev", json_integer(world.revision));
		answer(call, item ? 200 : 404, json);
	} else if (!strcmp(path, "/v1/kv-range")) {
		serve_range(call);
	} else if (!strcmp(path, "/v1/kv-watch")) {
		serve_watch(call);
	} else if (!strcmp(path, "/v1/kv-txn")) {
		serve_txn(call, body);
	} else if (g_str_has_prefix(path, "/v1/kv-lease-end/")) {
		end_lease(atoll(strrchr(path, '/') + 1));
		answer(call, 200, json_object());
	} else if (g_str_has_prefix(path, "/v1/kv-lease") ||
		   g_str_has_prefix(path, "/v1/kv-keep")) {
		serve_lease(call, path, body);
	} else {
		answer(call, 404, json_object());
	}
	json_decref(body);
}

static void on_store_disconnect(struct httpd_call *call, void *ctx)
{
	for (guint i = 0; i < world.watches->len; i++) {
		struct watch *watch = world.watches->pdata[i];

		if (watch->call != call)
			continue;
		g_ptr_array_remove_index(world.watches, i);
		g_free(watch->prefix);
		g_free(watch);
		return;
	}
}

static void operator_writes(const char *key, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	world.revision++;
	put_item(key, text, 0);
	fleet_note("operator: %s is stored", key);
	answer_watches();
	free(text);
	json_decref(json);
}

/* Minions. */

static uint64_t minion_clock(const struct minion *minion)
{
	return util_clock_ms() - minion->began_ms;
}

static void minion_answer(struct minion *minion, struct httpd_call *call, int status, json_t *json)
{
	json_object_set_new(json, "clock_ms", json_integer((json_int_t)minion_clock(minion)));
	answer(call, status, json);
}

/* A lasting task is at work a short time after its start. */
static unsigned int run_percent(const struct run *run)
{
	uint64_t passed_ms = util_clock_ms() - run->began_ms;

	if (!run->work_ms)
		return passed_ms >= STARTUP_MS ? 100 : (unsigned int)(passed_ms * 100 / STARTUP_MS);
	return (unsigned int)MIN(passed_ms * 100 / run->work_ms, 99);
}

static json_t *lists_json(const struct minion *minion)
{
	json_t *running = json_array();
	json_t *ended = json_array();

	for (guint i = 0; i < minion->runs->len; i++) {
		const struct run *run = minion->runs->pdata[i];

		json_array_append_new(running,
				      json_pack("[s, i, s, i, i]", run->task, (int)run->number, "",
						(int)run_percent(run), 0));
	}
	for (guint i = 0; i < minion->ends->len && json_array_size(ended) < PAGE_MAX; i++) {
		const struct end *end = minion->ends->pdata[i];

		if (end->number > minion->known)
			json_array_append_new(ended,
					      json_pack("[I, s, i, s, s]", (json_int_t)end->number,
							end->task, (int)end->run, end->how, ""));
	}
	return json_pack("{s:I, s:o, s:o}", "born", (json_int_t)minion->born_ms, "running", running,
			 "ended", ended);
}

static void close_run(struct minion *minion, const char *task, uint32_t run)
{
	uint32_t highest = GPOINTER_TO_UINT(g_hash_table_lookup(minion->closed, task));

	g_hash_table_insert(minion->closed, g_strdup(task), GUINT_TO_POINTER(MAX(highest, run)));
}

static void end_run(struct minion *minion, guint index, const char *how)
{
	struct run *run = minion->runs->pdata[index];
	struct end *end = g_new0(struct end, 1);

	*end = (struct end){++minion->ended, run->task, run->number, how, util_clock_ms()};
	g_ptr_array_add(minion->ends, end);
	close_run(minion, run->task, run->number);
	fleet_note("%s: task %s run %u ends %s", minion->id, run->task, run->number, how);
	g_ptr_array_remove_index(minion->runs, index);
	g_free(run);
}

static struct run *find_run(const struct minion *minion, const char *task, uint32_t number,
			    guint *index)
{
	for (guint i = 0; i < minion->runs->len; i++) {
		struct run *run = minion->runs->pdata[i];

		if (!strcmp(run->task, task) && run->number == number) {
			*index = i;
			return run;
		}
	}
	return NULL;
}

static void extend(struct minion *minion, uint64_t deadline_ms)
{
	deadline_ms = MIN(deadline_ms, minion_clock(minion) + LEASE_MAX_MS);
	minion->lease_ms = MAX(minion->lease_ms, deadline_ms);
}

/* The task_spec says what a task does: "work MS GPU", MS 0 for one that lasts. */
static const char *start_run(struct minion *minion, const json_t *body)
{
	const char *task = text_of(body, "task");
	uint32_t number = (uint32_t)number_of(body, "run");
	unsigned int work_ms = 0;
	unsigned int gpu = 0;
	uint32_t used = 0;
	struct run *run;
	guint index;

	if (find_run(minion, task, number, &index))
		return NULL;
	extend(minion, (uint64_t)number_of(body, "deadline_ms"));
	if ((uint64_t)number_of(body, "deadline_ms") <= minion_clock(minion))
		return "late";
	if (GPOINTER_TO_UINT(g_hash_table_lookup(minion->closed, task)) >= number)
		return "old";
	sscanf(text_of(body, "task_spec"), "work %u %u", &work_ms, &gpu);
	for (guint i = 0; i < minion->runs->len; i++)
		used += ((struct run *)minion->runs->pdata[i])->gpu;
	if (used + gpu > FLEET_GPUS)
		return "room";
	run = g_new0(struct run, 1);
	*run = (struct run){.task = g_strdup(task),
			    .number = number,
			    .began_ms = util_clock_ms(),
			    .work_ms = work_ms,
			    .gpu = gpu};
	g_ptr_array_add(minion->runs, run);
	g_ptr_array_add(world.started, g_strdup(task));
	fleet_note("%s: task %s run %u starts (%.20s)", minion->id, task, number,
		   text_of(body, "task_spec"));
	return NULL;
}

static void stop_run(struct minion *minion, const json_t *body)
{
	const char *task = text_of(body, "task");
	uint32_t number = (uint32_t)number_of(body, "run");
	guint index;
	struct run *run = find_run(minion, task, number, &index);

	close_run(minion, task, number);
	if (!run || run->stop_ms)
		return;
	run->stop_ms = util_clock_ms() + STOP_MS;
	fleet_note("%s: task %s run %u is told to stop", minion->id, task, number);
}

static void hold_lease(struct minion *minion, struct httpd_call *call, const json_t *body)
{
	struct hold *hold = g_new0(struct hold, 1);
	uint64_t seen = (uint64_t)number_of(body, "last_seen");

	extend(minion, (uint64_t)number_of(body, "deadline_ms"));
	if (seen > minion->known) {
		minion->known = MIN(seen, minion->ended);
		fleet_note("%s: ends up to %" PRIu64 " are taken note of", minion->id,
			   minion->known);
	}
	*hold = (struct hold){call, util_clock_ms() + (uint64_t)number_of(body, "wait_ms")};
	g_ptr_array_add(minion->holds, hold);
}

static void on_minion_call(struct httpd_call *call, void *ctx)
{
	struct minion *minion = ctx;
	const char *path = httpd_path(call);
	const char *target = httpd_header(call, "Target-Instance");
	size_t len;
	json_t *body = json_loads(httpd_body(call, &len), 0, NULL);
	uint64_t fence = (uint64_t)number_of(body, "fencing_token");
	const char *refusal = NULL;

	if (target && strcmp(target, minion->id) != 0) {
		minion_answer(minion, call, 421, json_object());
	} else if (fence < minion->fence) {
		minion_answer(minion, call, 409, json_pack("{s:s}", "reason", "fence"));
	} else if (!strcmp(path, "/v1/run-start") && minion->unhealthy) {
		fleet_note("%s: start of %s run %d is answered 503", minion->id,
			   text_of(body, "task"), (int)number_of(body, "run"));
		minion_answer(minion, call, 503, json_object());
	} else {
		minion->fence = fence;
		if (!strcmp(path, "/v1/hold")) {
			hold_lease(minion, call, body);
		} else {
			if (!strcmp(path, "/v1/run-start"))
				refusal = start_run(minion, body);
			else
				stop_run(minion, body);
			minion_answer(minion, call, refusal ? 409 : 200,
				      refusal ? json_pack("{s:s}", "reason", refusal)
					      : json_object());
		}
	}
	json_decref(body);
}

static void on_minion_disconnect(struct httpd_call *call, void *ctx)
{
	struct minion *minion = ctx;

	for (guint i = 0; i < minion->holds->len; i++) {
		struct hold *hold = minion->holds->pdata[i];

		if (hold->call != call)
			continue;
		g_ptr_array_remove_index(minion->holds, i);
		g_free(hold);
		return;
	}
}

static void on_ignored(int status, int http_status, const char *body, size_t len, void *ctx)
{
}

static void send_heartbeat(struct minion *minion)
{
	static const char *const headers[] = {"Content-Type: application/json"};
	char *url =
		g_strdup_printf("http://%s:7004/v1/instances/%s", minion->agent->ip, minion->id);
	json_t *json = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
		"service", SERVICE, "address", minion->address, "zone", "z", "version", "v1",
		"slots", 8, "state", "ready", "cold_remaining_ms", 0, "capacity", "cpu", 128000,
		"mem_mb", 524288, "gpu", FLEET_GPUS, "labels", minion->kind, minion->rack,
		"clock_ms", (json_int_t)minion_clock(minion), "seq", (json_int_t)++minion->sequence,
		"born", (json_int_t)minion->born_ms);
	char *text = json_dumps(json, JSON_COMPACT);
	struct httpc_request request = {.method = "PUT",
					.url = url,
					.headers = headers,
					.header_count = 1,
					.body = text,
					.body_len = strlen(text),
					.timeout_ms = 1000,
					.done = on_ignored};

	httpc_start(world.http, &request);
	free(text);
	json_decref(json);
	g_free(url);
}

static void tick_minion(struct minion *minion)
{
	bool lapsed = minion_clock(minion) > minion->lease_ms;

	for (guint i = minion->runs->len; i-- > 0;) {
		const struct run *run = minion->runs->pdata[i];
		uint64_t ms = util_clock_ms();

		if (lapsed)
			end_run(minion, i, "lapsed");
		else if (run->work_ms && ms >= run->began_ms + run->work_ms)
			end_run(minion, i, "done");
		else if (run->stop_ms && ms >= run->stop_ms)
			end_run(minion, i, "stopped");
	}
	for (guint i = minion->holds->len; i-- > 0;) {
		struct hold *hold = minion->holds->pdata[i];

		if (util_clock_ms() < hold->until_ms && minion->ended == minion->known)
			continue;
		minion_answer(minion, hold->call, 200, lists_json(minion));
		g_ptr_array_remove_index(minion->holds, i);
		g_free(hold);
	}
	if (util_clock_ms() >= minion->beat_ms) {
		minion->beat_ms = util_clock_ms() + HEARTBEAT_MS;
		send_heartbeat(minion);
	}
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	end_due_leases();
	answer_watches();
	for (unsigned int i = 0; i < world.minion_count; i++)
		tick_minion(&world.minions[i]);
	tevent_add_timer(ev, world.mem, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick,
			 NULL);
}

static struct httpd *serve(const char *address, struct httpd_handlers handlers)
{
	struct err err = {0};
	struct httpd *httpd = httpd_create(world.mem, world.ev, address, BODY_MAX, &handlers, &err);

	if (!httpd)
		give_up(err.message);
	return httpd;
}

static void create_minion(unsigned int index, const char *kind)
{
	struct minion *minion = &world.minions[index];

	minion->index = index;
	minion->kind = kind;
	minion->agent = &world.agents[index];
	minion->born_ms = util_wall_ms();
	minion->began_ms = util_clock_ms() - 1000;
	minion->beat_ms = util_clock_ms() + 100 * index % HEARTBEAT_MS;
	minion->runs = g_ptr_array_new();
	minion->ends = g_ptr_array_new();
	minion->holds = g_ptr_array_new();
	minion->closed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	snprintf(minion->rack, sizeof(minion->rack), "r%u", index / FLEET_RACK_MINIONS);
	snprintf(minion->id, sizeof(minion->id), "i-%u", index);
	snprintf(minion->address, sizeof(minion->address), "127.%u.3.%u:7005", world.network,
		 index + 1);
	minion->httpd =
		serve(minion->address,
		      (struct httpd_handlers){on_minion_call, on_minion_disconnect, minion});
}

void fleet_set_unhealthy(unsigned int minion, bool unhealthy)
{
	world.minions[minion].unhealthy = unhealthy;
	fleet_note("%s is %s", world.minions[minion].id, unhealthy ? "unhealthy" : "healthy");
}

/* The processes of the fleet, with settings as deploy/entry.json and deploy/agent.json make them.
 */

static void write_settings(struct node *node, unsigned int index)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:i}", "node", node->name, "message_address", "",
				 "store_address", "", "grace_s", 6);
	char text[64];

	snprintf(text, sizeof(text), "%s:7001", node->ip);
	json_object_set_new(json, "message_address", json_string(text));
	snprintf(text, sizeof(text), "127.%u.%u.%u:7000", world.network, node->entry ? 4 : 5,
		 index + 1);
	json_object_set_new(json, "store_address", json_string(text));
	node->store =
		serve(text, (struct httpd_handlers){on_store_call, on_store_disconnect, node});
	if (node->entry) {
		snprintf(text, sizeof(text), "%s:7002", node->ip);
		json_object_set_new(json, "callers_address", json_string(text));
		snprintf(text, sizeof(text), "%s:7003", node->ip);
		json_object_set_new(json, "ready_address", json_string(text));
		json_object_set_new(json, "keep_ended_s", json_integer(120));
		json_object_set_new(json, "stop_ms", json_integer(200));
		json_object_set_new(json, "away_factor", json_integer(3));
		json_object_set_new(json, "unavailable_after_ms", json_integer(4500));
		json_object_set_new(json, "processor_share", json_real(0.25));
		json_object_set_new(json, "processors", json_integer(1));
	} else {
		snprintf(text, sizeof(text), "%s:7004", node->ip);
		json_object_set_new(json, "control_address", json_string(text));
		snprintf(text, sizeof(text), "127.%u.3.%u:7005", world.network, index + 1);
		json_object_set_new(json, "worker_address", json_string(text));
		json_object_set_new(json, "service", json_string(SERVICE));
	}
	snprintf(node->settings, sizeof(node->settings), "%s/%s.json", world.folder, node->name);
	snprintf(node->log, sizeof(node->log), "%s/%s.log", world.folder, node->name);
	if (json_dump_file(json, node->settings, 0))
		give_up("cannot write the settings");
	json_decref(json);
}

static void start_node(struct node *node)
{
	node->pid = fork();
	if (node->pid < 0)
		give_up("cannot fork");
	if (node->pid == 0) {
		int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL); /* ends also if this process is ended */
		dup2(fd, 1);
		dup2(fd, 2);
		for (int i = 3; i < 1024; i++)
			close(i);
		execl(world.program, world.program, node->entry ? "entry" : "agent", "--config",
		      node->settings, NULL);
		_exit(127);
	}
	fleet_note("%s is started", node->name);
}

static void create_node(struct node *node, bool entry, unsigned int index)
{
	node->entry = entry;
	snprintf(node->name, sizeof(node->name), "%s-%u", entry ? "edge" : "side", index);
	snprintf(node->ip, sizeof(node->ip), "127.%u.%u.%u", world.network, entry ? 1 : 2,
		 index + 1);
	write_settings(node, index);
	start_node(node);
}

void fleet_signal(unsigned int entry, int signum)
{
	fleet_note("%s gets signal %d (%s)", world.entries[entry].name, signum, strsignal(signum));
	kill(world.entries[entry].pid, signum);
}

/* Clients. */

struct reply {
	bool done;
	int status; /* 0: no answer */
	char *body;
};

static void on_reply(int status, int http_status, const char *body, size_t len, void *ctx)
{
	struct reply *reply = ctx;

	reply->done = true;
	reply->status = status ? 0 : http_status;
	reply->body = g_strndup(body, len);
}

static struct reply call(const char *method, const char *url, const char *const *headers,
			 size_t header_count, const char *body, uint32_t wait_ms)
{
	struct reply reply = {0};
	struct httpc_request request = {.method = method,
					.url = url,
					.headers = headers,
					.header_count = header_count,
					.body = body,
					.body_len = body ? strlen(body) : 0,
					.timeout_ms = wait_ms,
					.fresh_connection = true,
					.done = on_reply,
					.ctx = &reply};

	httpc_start(world.http, &request);
	while (!reply.done)
		tevent_loop_once(world.ev);
	return reply;
}

static struct reply call_entry(unsigned int entry, const char *method, const char *path,
			       const char *key, const char *body)
{
	char *url = g_strdup_printf("http://%s:7002%s", world.entries[entry].ip, path);
	char *authorization = g_strdup_printf("Authorization: Bearer %s", key);
	const char *const headers[] = {"Content-Type: application/json", "Host: " HOST,
				       "Deadline-Ms: 3000", authorization};
	struct reply reply = call(method, url, headers, G_N_ELEMENTS(headers), body, DEADLINE_MS);

	fleet_note("client with %s: %s %s at %s: %d %s", key, method, path,
		   world.entries[entry].name, reply.status, reply.body);
	g_free(url);
	g_free(authorization);
	return reply;
}

int fleet_call(unsigned int entry, const char *method, const char *prefix, const char *id,
	       const char *key, char **body)
{
	char *path = g_strconcat(prefix, id, NULL);
	struct reply reply = call_entry(entry, method, path, key, NULL);

	if (body)
		*body = reply.body;
	else
		g_free(reply.body);
	g_free(path);
	return reply.status;
}

json_t *fleet_step(int count, int gpu, int estimate_ms)
{
	json_t *json = json_pack("{s:i, s:i, s:i, s:i}", "count", count, "cpu", 1000, "mem_mb", 100,
				 "estimate_ms", estimate_ms);

	if (gpu)
		json_object_set_new(json, "gpu", json_integer(gpu));
	return json;
}

int fleet_submit_spec(unsigned int entry, const char *prefix, const char *id, const char *key,
		      const char *spec, json_t *step, json_t *fields)
{
	char *path = g_strconcat(prefix, id, NULL);
	json_t *json = fields ? fields : json_object();
	struct reply reply;
	char *body;

	json_object_set_new(json, "task_spec", json_string(spec));
	json_object_set_new(json, "steps", json_pack("[o]", step));
	body = json_dumps(json, JSON_COMPACT);
	fleet_note("client with %s submits %.200s", key, body);
	reply = call_entry(entry, "POST", path, key, body);
	free(body);
	json_decref(json);
	g_free(reply.body);
	g_free(path);
	return reply.status;
}

int fleet_submit(unsigned int entry, const char *prefix, const char *id, const char *key,
		 unsigned int work_ms, json_t *step, json_t *fields)
{
	char *spec = g_strdup_printf("work %u %d", work_ms, (int)number_of(step, "gpu"));
	int status = fleet_submit_spec(entry, prefix, id, key, spec, step, fields);

	g_free(spec);
	return status;
}

/* The operator. */

static json_t *route(const char *name, const char *prefix, int priority)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f, s:b}", "name", name,
			 "host", HOST, "prefix", prefix, "kind", "non_idempotent", "timeout_ms",
			 DEADLINE_MS, "slo_ms", 1000, "priority", priority, "service", SERVICE,
			 "max_attempts", 4, "stretch", 3.0, "public", 0);
}

static json_t *tenant(const char *name, const char *key, int gpu)
{
	return json_pack("{s:s, s:[s], s:i, s:{s:i}}", "name", name, "api_keys", key, "priority", 1,
			 "guaranteed", "gpu", gpu);
}

static void write_config(void)
{
	json_t *service = json_pack("{s:s, s:s, s:i, s:s, s:b, s:b, s:b}", "name", SERVICE,
				    "health_path", "/healthz", "max_connections", 64, "protocol",
				    "h1", "tls", 0, "rejects_overload", 1, "standby", 0);
	json_t *limits =
		json_pack("{s:i, s:i, s:i, s:i}", "max_header_bytes", 16384, "max_body_bytes",
			  262144, "header_timeout_ms", 3000, "idle_timeout_ms", 15000);

	operator_writes("op/config",
			json_pack("{s:i, s:[o, o, o], s:[o], s:o, s:[o, o]}", "version", 1,
				  "routes", route("urgent", FLEET_URGENT, 0),
				  route("normal", FLEET_NORMAL, 1), route("batch", FLEET_BATCH, 2),
				  "services", service, "limits", limits, "tenants",
				  tenant("t1", FLEET_KEY_1, 24), tenant("t2", FLEET_KEY_2, 16)));
}

/* What minions have seen. */

unsigned int fleet_running(const char *prefix)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < world.minion_count; i++) {
		const GPtrArray *runs = world.minions[i].runs;

		for (guint k = 0; k < runs->len; k++)
			count += g_str_has_prefix(((struct run *)runs->pdata[k])->task, prefix);
	}
	return count;
}

unsigned int fleet_starts(const char *prefix)
{
	unsigned int count = 0;

	for (guint i = 0; i < world.started->len; i++)
		count += g_str_has_prefix(world.started->pdata[i], prefix);
	return count;
}

unsigned int fleet_gpus_used(void)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < world.minion_count; i++) {
		const GPtrArray *runs = world.minions[i].runs;

		for (guint k = 0; k < runs->len; k++)
			sum += ((struct run *)runs->pdata[k])->gpu;
	}
	return sum;
}

void fleet_count_ends(uint32_t age_ms, unsigned int *listed, unsigned int *unnoted)
{
	*listed = 0;
	*unnoted = 0;
	for (unsigned int i = 0; i < world.minion_count; i++) {
		const struct minion *minion = &world.minions[i];

		for (guint k = 0; k < minion->ends->len; k++) {
			const struct end *end = minion->ends->pdata[k];

			if (util_clock_ms() - end->at_ms < age_ms)
				continue;
			(*listed)++;
			*unnoted += end->number > minion->known;
		}
	}
}

/* The whole deployment. */

static bool is_ready(unsigned int entry)
{
	char *url = g_strdup_printf("http://%s:7003/v1/ready", world.entries[entry].ip);
	struct reply reply = call("GET", url, NULL, 0, NULL, 500);

	g_free(reply.body);
	g_free(url);
	return reply.status == 200;
}

static int find_leader(void)
{
	const struct item *item = g_hash_table_lookup(world.items, "leader");

	for (unsigned int i = 0; item && i < FLEET_ENTRIES; i++) {
		if (strstr(item->value, world.entries[i].ip))
			return (int)i;
	}
	return -1;
}

unsigned int fleet_leader(void)
{
	int leader = find_leader();

	return leader < 0 ? 0 : (unsigned int)leader;
}

static bool all_ready(void)
{
	for (unsigned int i = 0; i < world.minion_count; i++) {
		char key[32];

		snprintf(key, sizeof(key), "agent/%s", world.agents[i].name);
		if (!g_hash_table_contains(world.items, key))
			return false;
	}
	for (unsigned int i = 0; i < FLEET_ENTRIES; i++) {
		if (!is_ready(i))
			return false;
	}
	return find_leader() >= 0;
}

static void create_store(void)
{
	world.revision = 1;
	world.items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
	world.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	world.events = g_ptr_array_new_with_free_func(free_event);
	world.watches = g_ptr_array_new();
}

static void create_fleet(unsigned int minions, const char *odd_kind)
{
	world.minion_count = minions;
	world.started = g_ptr_array_new();
	create_store();
	write_config();
	for (unsigned int i = 0; i < FLEET_ENTRIES; i++)
		create_node(&world.entries[i], true, i);
	for (unsigned int i = 0; i < minions; i++) {
		create_node(&world.agents[i], false, i);
		create_minion(i, odd_kind && i == minions - 1 ? odd_kind : "a");
	}
	on_tick(world.ev, NULL, tevent_timeval_zero(), NULL);
	for (int tries = 0; tries < READY_TRIES; tries++) {
		fleet_run(READY_PAUSE_MS);
		if (!all_ready())
			continue;
		fleet_run(SETTLE_MS);
		fleet_note("the deployment is ready; %s leads", world.entries[fleet_leader()].name);
		return;
	}
	give_up("the deployment did not become ready");
}

/* Returns the second byte of addresses that no other run on this machine uses. */
static unsigned int find_network(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(PORT_STORE)};

	for (unsigned int i = 0; i < NETWORKS; i++) {
		unsigned int network = 64 + ((unsigned int)getpid() + i) % NETWORKS;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bool is_free;

		address.sin_addr.s_addr = htonl(127U << 24 | network << 16 | 4U << 8 | 1U);
		is_free = !bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (is_free)
			return network;
	}
	return 64;
}

int fleet_play(int argc, char **argv, unsigned int minions, const char *odd_kind,
	       bool (*play)(bool trouble))
{
	const char *trouble = getenv("TROUBLE");
	bool broken;

	if (argc != 3) {
		fprintf(stderr, "usage: %s PROGRAM FOLDER\n", argv[0]);
		return EXIT_FAILED;
	}
	signal(SIGPIPE, SIG_IGN);
	alarm(LIMIT_S);
	world.record = fopen("record.txt", "w");
	if (!world.record) {
		perror("record.txt");
		return EXIT_FAILED;
	}
	world.mem = talloc_new(NULL);
	world.ev = tevent_context_init(world.mem);
	world.http = httpc_create(world.mem, world.ev);
	world.began_ms = util_clock_ms();
	world.program = argv[1];
	world.folder = argv[2];
	world.network = find_network();
	create_fleet(minions, odd_kind);
	broken = play(!trouble || strcmp(trouble, "0") != 0);
	fleet_note("the rule %s", broken ? "was broken" : "held");
	end_nodes();
	return broken ? EXIT_BROKEN : 0;
}
