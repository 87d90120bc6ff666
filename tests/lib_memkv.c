#include "lib_memkv.h"

#include "util.h"

#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 512
#define EVENTS_MAX 4096
#define ANSWER_MS 1
#define LATE_MS 300

struct entry {
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
};

struct lease {
	int64_t id;
	uint64_t end_ms;
	uint32_t ttl_ms;
};

struct memkv {
	struct tevent_context *ev;
	struct entry *entries[ITEMS_MAX];
	size_t entry_count;
	struct event events[EVENTS_MAX];
	size_t event_count;
	struct lease leases[ITEMS_MAX];
	size_t lease_count;
	int64_t revision;
	int64_t kept_from; /* events after this revision are kept */
};

enum op_kind {
	OP_GET,
	OP_RANGE,
	OP_TXN,
	OP_GRANT,
	OP_KEEP,
	OP_END,
	OP_POLL,
};

/* A call under way, with copies of its arguments. */
struct op {
	struct memkv_client *client;
	enum op_kind kind;
	char *key;
	char *after;
	struct kv_txn txn;
	int64_t number;
	uint32_t ttl_ms;
	uint64_t end_ms; /* of a poll */
	struct kv_cb cb;
};

static void on_tick(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	bool *done = ctx;

	*done = true;
}

void memkv_run(struct tevent_context *ev, uint32_t ms)
{
	bool done = false;

	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000), on_tick,
			 &done);
	while (!done)
		tevent_loop_once(ev);
}

static struct entry *find(const struct memkv *s, const char *key)
{
	for (size_t i = 0; i < s->entry_count; i++) {
		if (!strcmp(s->entries[i]->key, key))
			return s->entries[i];
	}
	return NULL;
}

static void note(struct memkv *s, const char *key, const char *value, int64_t created)
{
	if (s->event_count == EVENTS_MAX)
		abort();
	s->events[s->event_count++] =
		(struct event){talloc_strdup(s, key), value ? talloc_strdup(s, value) : NULL,
			       s->revision, created};
}

static void put(struct memkv *s, const char *key, const char *value, int64_t lease)
{
	struct entry *e = find(s, key);

	if (!e) {
		e = talloc_zero(s, struct entry);
		e->key = talloc_strdup(e, key);
		e->created = s->revision;
		s->entries[s->entry_count++] = e;
	}
	talloc_free(e->value);
	e->value = talloc_strdup(e, value);
	e->revision = s->revision;
	e->lease = lease;
	note(s, key, value, e->created);
}

static void drop(struct memkv *s, const char *key)
{
	for (size_t i = 0; i < s->entry_count; i++) {
		if (strcmp(s->entries[i]->key, key) != 0)
			continue;
		note(s, key, NULL, 0);
		talloc_free(s->entries[i]);
		s->entries[i] = s->entries[--s->entry_count];
		return;
	}
}

static void end_lease(struct memkv *s, size_t index)
{
	int64_t id = s->leases[index].id;

	s->leases[index] = s->leases[--s->lease_count];
	s->revision++;
	for (size_t i = s->entry_count; i > 0; i--) {
		if (s->entries[i - 1]->lease == id)
			drop(s, s->entries[i - 1]->key);
	}
}

static void end_leases(struct memkv *s, uint64_t now_ms)
{
	for (size_t i = s->lease_count; i > 0; i--) {
		if (s->leases[i - 1].end_ms <= now_ms)
			end_lease(s, i - 1);
	}
}

static struct lease *find_lease(struct memkv *s, int64_t id)
{
	for (size_t i = 0; i < s->lease_count; i++) {
		if (s->leases[i].id == id)
			return &s->leases[i];
	}
	return NULL;
}

static struct kv_item item_of(TALLOC_CTX *mem, const struct entry *e)
{
	return (struct kv_item){talloc_strdup(mem, e->key), talloc_strdup(mem, e->value),
				strlen(e->value), e->revision, e->created};
}

static int by_key(const void *a, const void *b)
{
	return strcmp(((const struct kv_item *)a)->key, ((const struct kv_item *)b)->key);
}

static int do_range(struct memkv *s, struct op *op, struct kv_result *result)
{
	result->items = talloc_zero_array(op, struct kv_item, s->entry_count + 1);
	for (size_t i = 0; i < s->entry_count; i++) {
		const struct entry *e = s->entries[i];

		if (strncmp(e->key, op->key, strlen(op->key)) != 0 ||
		    strcmp(e->key, op->after) <= 0)
			continue;
		result->items[result->count++] = item_of(op, e);
	}
	qsort(result->items, result->count, sizeof(result->items[0]), by_key);
	return 0;
}

static int do_txn(struct memkv *s, struct op *op, struct kv_result *result)
{
	bool holds = true;

	result->items = talloc_zero_array(op, struct kv_item, op->txn.expect_count + 1);
	for (size_t i = 0; i < op->txn.expect_count; i++) {
		const struct kv_expect *expect = &op->txn.expects[i];
		const struct entry *e = find(s, expect->key);

		holds = holds && (e ? e->revision : 0) == expect->revision;
		result->items[result->count++] =
			e ? item_of(op, e) : (struct kv_item){.key = expect->key, .value = ""};
	}
	if (!holds)
		return -ERR_CONFLICT;
	s->revision++;
	for (size_t i = 0; i < op->txn.put_count; i++)
		put(s, op->txn.puts[i].key, op->txn.puts[i].value, op->txn.puts[i].lease);
	for (size_t i = 0; i < op->txn.remove_count; i++)
		drop(s, op->txn.removes[i]);
	return 0;
}

static int do_lease(struct memkv *s, struct op *op, struct kv_result *result)
{
	struct lease *lease = find_lease(s, op->number);

	if (op->kind == OP_GRANT) {
		lease = &s->leases[s->lease_count++];
		*lease = (struct lease){++s->revision, util_clock_ms() + op->ttl_ms, op->ttl_ms};
		result->lease = lease->id;
		return 0;
	}
	if (!lease)
		return -ERR_NOT_FOUND;
	if (op->kind == OP_KEEP)
		lease->end_ms = util_clock_ms() + lease->ttl_ms;
	else
		end_lease(s, (size_t)(lease - s->leases));
	return 0;
}

static int perform(struct op *op, struct kv_result *result)
{
	struct memkv *s = op->client->store;
	const struct entry *e;
	int status = 0;

	end_leases(s, util_clock_ms());
	switch (op->kind) {
	case OP_GET:
		e = find(s, op->key);
		result->items = talloc_zero_array(op, struct kv_item, 1);
		if (e)
			result->items[result->count++] = item_of(op, e);
		break;
	case OP_RANGE:
		status = do_range(s, op, result);
		break;
	case OP_TXN:
		status = do_txn(s, op, result);
		break;
	default:
		status = do_lease(s, op, result);
		break;
	}
	result->revision = s->revision;
	return status;
}

static bool is_write(const struct op *op)
{
	return op->kind == OP_TXN || op->kind == OP_GRANT || op->kind == OP_END;
}

static void on_late(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		    void *ctx)
{
	struct kv_result unused = {0};

	perform(ctx, &unused);
	talloc_free(ctx);
}

static void after(struct op *op, uint32_t ms, tevent_timer_handler_t handler)
{
	tevent_add_timer(op->client->store->ev, op, tevent_timeval_current_ofs(0, ms * 1000),
			 handler, op);
}

static void on_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		   void *ctx)
{
	struct op *op = ctx;
	struct kv_result result = {0};
	enum memkv_trouble trouble = op->client->trouble;
	int status;

	if (trouble == MEMKV_REFUSES) {
		op->cb.done(-ERR_UNAVAILABLE, NULL, op->cb.ctx);
		talloc_free(op);
		return;
	}
	if (trouble == MEMKV_LATE && is_write(op)) {
		op->cb.done(-ERR_OUTCOME_UNKNOWN, NULL, op->cb.ctx);
		after(op, LATE_MS, on_late);
		return;
	}
	status = perform(op, &result);
	if (trouble == MEMKV_LOSES && is_write(op))
		op->cb.done(-ERR_OUTCOME_UNKNOWN, NULL, op->cb.ctx);
	else
		op->cb.done(status, status == 0 || status == -ERR_CONFLICT ? &result : NULL,
			    op->cb.ctx);
	talloc_free(op);
}

static struct op *new_op(void *impl, enum op_kind kind, const char *key, struct kv_cb cb)
{
	struct memkv_client *client = impl;
	struct op *op = talloc_zero(client, struct op);

	op->client = client;
	op->kind = kind;
	op->key = talloc_strdup(op, key);
	op->after = talloc_strdup(op, "");
	op->cb = cb;
	client->calls++;
	client->writes += kind == OP_TXN;
	return op;
}

static void mem_get(void *impl, const char *key, struct kv_cb cb)
{
	after(new_op(impl, OP_GET, key, cb), ANSWER_MS, on_due);
}

static void mem_range(void *impl, const char *prefix, const char *from, struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_RANGE, prefix, cb);

	op->after = talloc_strdup(op, from);
	after(op, ANSWER_MS, on_due);
}

static void mem_txn(void *impl, const struct kv_txn *txn, struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_TXN, "", cb);
	struct kv_expect *expects = talloc_zero_array(op, struct kv_expect, txn->expect_count + 1);
	struct kv_put *puts = talloc_zero_array(op, struct kv_put, txn->put_count + 1);
	const char **removes = talloc_zero_array(op, const char *, txn->remove_count + 1);

	for (size_t i = 0; i < txn->expect_count; i++)
		expects[i] = (struct kv_expect){talloc_strdup(op, txn->expects[i].key),
						txn->expects[i].revision};
	for (size_t i = 0; i < txn->put_count; i++)
		puts[i] =
			(struct kv_put){talloc_strdup(op, txn->puts[i].key),
					talloc_strdup(op, txn->puts[i].value), txn->puts[i].lease};
	for (size_t i = 0; i < txn->remove_count; i++)
		removes[i] = talloc_strdup(op, txn->removes[i]);
	op->txn = (struct kv_txn){expects,	  txn->expect_count, puts,
				  txn->put_count, removes,	     txn->remove_count};
	after(op, ANSWER_MS, on_due);
}

static void mem_grant(void *impl, uint32_t ttl_ms, struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_GRANT, "", cb);

	op->ttl_ms = ttl_ms;
	after(op, ANSWER_MS, on_due);
}

static void mem_keep(void *impl, int64_t lease, struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_KEEP, "", cb);

	op->number = lease;
	after(op, ANSWER_MS, on_due);
}

static void mem_end(void *impl, int64_t lease, struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_END, "", cb);

	op->number = lease;
	after(op, ANSWER_MS, on_due);
}

static void collect_events(struct op *op, struct kv_result *result)
{
	const struct memkv *s = op->client->store;

	result->items = talloc_zero_array(op, struct kv_item, s->event_count + 1);
	for (size_t i = 0; i < s->event_count; i++) {
		const struct event *e = &s->events[i];

		if (e->revision <= op->number || strncmp(e->key, op->key, strlen(op->key)) != 0)
			continue;
		result->items[result->count++] = (struct kv_item){
			e->key, e->value ? e->value : "", e->value ? strlen(e->value) : 0,
			e->value ? e->revision : 0, e->created};
	}
	result->revision = s->revision;
}

static void on_poll_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *ctx)
{
	struct op *op = ctx;
	struct kv_result result = {0};
	int status = 0;

	end_leases(op->client->store, util_clock_ms());
	if (op->client->trouble == MEMKV_REFUSES)
		status = -ERR_UNAVAILABLE;
	else if (op->client->trouble != MEMKV_SILENT_POLL)
		collect_events(op, &result);
	if (!status && result.count == 0 && util_clock_ms() < op->end_ms) {
		after(op, ANSWER_MS, on_poll_due);
		return;
	}
	if (!status && op->number < op->client->store->kept_from)
		status = -ERR_STALE;
	if (result.revision == 0)
		result.revision = op->number;
	op->cb.done(status, status ? NULL : &result, op->cb.ctx);
	talloc_free(op);
}

static void mem_poll(void *impl, const char *prefix, int64_t from, uint32_t wait_ms,
		     struct kv_cb cb)
{
	struct op *op = new_op(impl, OP_POLL, prefix, cb);

	op->number = from;
	op->end_ms = util_clock_ms() + wait_ms;
	after(op, ANSWER_MS, on_poll_due);
}

static bool mem_answers(void *impl)
{
	return !((struct memkv_client *)impl)->down;
}

static const struct kv_ops mem_ops = {mem_get,	mem_range, mem_txn,  mem_grant,
				      mem_keep, mem_end,   mem_poll, mem_answers};

struct memkv *memkv_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct memkv *s = talloc_zero(mem, struct memkv);

	s->ev = ev;
	s->revision = 1;
	return s;
}

struct memkv_client *memkv_client(struct memkv *s)
{
	struct memkv_client *client = talloc_zero(s, struct memkv_client);

	client->store = s;
	client->kv = (struct kv){&mem_ops, client};
	return client;
}

void memkv_put(struct memkv *s, const char *key, const char *value)
{
	s->revision++;
	put(s, key, value, 0);
}

void memkv_remove(struct memkv *s, const char *key)
{
	s->revision++;
	drop(s, key);
}

const char *memkv_value(const struct memkv *s, const char *key)
{
	const struct entry *e = find(s, key);

	return e ? e->value : NULL;
}

void memkv_expire(struct memkv *s)
{
	end_leases(s, UINT64_MAX);
}

void memkv_compact(struct memkv *s)
{
	s->kept_from = s->revision;
}
