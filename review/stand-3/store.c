/*
 * Stand-in of the platform's store that loses answers during an election, from PROTOCOL.md.
 *
 * Usage: store ADDRESS. Prints "listening ip:port". It is the project's stand-in, and answers as
 * that does until PUT /test/arm. From then on, once:
 *
 * - Transactions that write the key "leader" get no answer. They are carried out, if their
 *   conditions still hold, when a process reads the key "term" again, 1 s after the first of them
 *   at the earliest.
 * - Grants of leases in the next GRANTS_MS are carried out and get no answer.
 *
 * Waiting watches are answered WATCH_MS after a change. What is lost is written to standard error.
 */
#define main fake_platform_main
#include "../../tests/fake_platform.c"
#undef main

#include "util.h"

#define LATE_MIN_MS 1000
#define WATCH_MS 4
#define GRANTS_MS 20
#define TICK_MS 1

struct held_watch {
	struct held_watch *next;
	struct httpd_call *call;
};

static enum {
	SOUND,
	LOSE_ELECTIONS,
	LOSE_GRANTS
} mode;
static json_t *late[8];
static size_t late_count;
static uint64_t late_since_ms; /* first lost write; in LOSE_GRANTS: when they were carried out */
static uint64_t release_ms;
static struct held_watch *watches;

static void note(const char *what, json_int_t value)
{
	fprintf(stderr, "%" PRIu64 " %s %lld\n", util_wall_ms(), what, (long long)value);
}

static void on_late_write(int status, const struct kv_result *result, void *ctx)
{
	note("a late write of the key leader is carried out; status", status);
}

static void on_lost_grant(int status, const struct kv_result *result, void *ctx)
{
	note("a lease is granted without an answer; number", result ? result->lease : 0);
}

static bool writes_leader(const json_t *body)
{
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "puts"), i, row)
	{
		if (!strcmp(string_member(row, "key"), "leader"))
			return true;
	}
	return false;
}

static json_t *read_body(struct httpd_call *call)
{
	size_t len;
	const char *text = httpd_body(call, &len);

	return json_loadb(text, len, 0, NULL);
}

/* True if the call is left without an answer. */
static bool lose(struct platform *platform, struct httpd_call *call, const char *path)
{
	json_t *body = read_body(call);

	if (mode == LOSE_ELECTIONS && !strcmp(path, "/v1/kv-txn") && writes_leader(body) &&
	    late_count < G_N_ELEMENTS(late)) {
		note("a write of the key leader gets no answer; number", (json_int_t)late_count);
		if (late_count == 0)
			late_since_ms = util_clock_ms();
		late[late_count++] = body;
		return true;
	}
	if (mode == LOSE_GRANTS && !strcmp(path, "/v1/kv-lease") &&
	    util_clock_ms() < late_since_ms + GRANTS_MS) {
		const struct kv_ops *ops = platform->client->kv.ops;

		ops->lease_grant(platform->client,
				 (uint32_t)json_integer_value(json_object_get(body, "ttl_ms")),
				 (struct kv_cb){on_lost_grant, NULL});
		json_decref(body);
		return true;
	}
	json_decref(body);
	return false;
}

static void carry_out_late_writes(struct platform *platform)
{
	note("milliseconds after the first of them", (json_int_t)(util_clock_ms() - late_since_ms));
	for (size_t i = 0; i < late_count; i++)
		serve_txn(platform, (struct kv_cb){on_late_write, NULL}, late[i]);
	mode = LOSE_GRANTS;
	late_since_ms = util_clock_ms();
	release_ms = late_since_ms + WATCH_MS;
}

static void hold_watch(struct httpd_call *call)
{
	struct held_watch *watch = calloc(1, sizeof(*watch));

	watch->call = call;
	watch->next = watches;
	watches = watch;
}

static void on_store_call(struct httpd_call *call, void *ctx)
{
	const char *path = httpd_path(call);
	bool reads_term =
		!strcmp(path, "/v1/kv-key") && !strcmp(query_argument(call, "key"), "term");

	if (!strcmp(path, "/test/arm")) {
		mode = LOSE_ELECTIONS;
		httpd_answer(call, HTTP_OK, NULL, NULL, 0);
		return;
	}
	if (mode == LOSE_ELECTIONS && reads_term && late_count > 0 &&
	    util_clock_ms() >= late_since_ms + LATE_MIN_MS)
		carry_out_late_writes(ctx);
	if (mode == LOSE_ELECTIONS && !strcmp(path, "/v1/kv-watch") &&
	    !strcmp(query_argument(call, "prefix"), "leader"))
		hold_watch(call);
	else if (!lose(ctx, call, path))
		on_call(call, ctx);
}

static void on_gone(struct httpd_call *call, void *ctx)
{
	for (struct held_watch **at = &watches; *at; at = &(*at)->next) {
		struct held_watch *watch = *at;

		if (watch->call != call)
			continue;
		*at = watch->next;
		free(watch);
		return;
	}
}

/* Passes the watches on to the store, which has something to report to them. */
static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	while (release_ms && util_clock_ms() >= release_ms && watches) {
		struct held_watch *watch = watches;

		watches = watch->next;
		on_call(watch->call, ctx);
		free(watch);
	}
	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_MS * 1000), on_tick, ctx);
}

int main(int argc, char **argv)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct platform platform = {.ev = tevent_context_init(mem)};
	struct httpd_handlers handlers = {on_store_call, on_gone, &platform};
	struct err err = {0};
	struct httpd *httpd;

	signal(SIGPIPE, SIG_IGN);
	platform.store = memkv_create(mem, platform.ev);
	platform.client = memkv_client(platform.store);
	httpd = httpd_create(mem, platform.ev, argc > 1 ? argv[1] : "127.0.0.1:0", BODY_BYTES_MAX,
			     &handlers, &err);
	if (!httpd) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	on_tick(platform.ev, NULL, tevent_timeval_zero(), &platform);
	printf("listening %s\n", httpd_address(httpd));
	fflush(stdout);
	while (tevent_loop_once(platform.ev) == 0)
		;
	return 1;
}
