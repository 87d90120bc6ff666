#include "lib_memkv.h"

#include "util.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ITEMS_MAX 4096
#define EVENTS_MAX 65536
#define ANSWER_MS 1
#define SLOW_ANSWER_MS 250
#define LATE_WRITE_MS 300
#define JOURNAL_LINE_MAX (1024 * 1024)

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
	int64_t lease;
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
	uint64_t paused_ms; /* since when leases are paused; 0: they are not */
	int64_t revision;
	int64_t compacted_revision; /* polls after an earlier revision than this fail */
	FILE *journal;		    /* all changes; NULL: nothing outlives the process */
};

enum op_kind {
	OP_GET,
	OP_RANGE,
	OP_TXN,
	OP_LEASE_GRANT,
	OP_LEASE_KEEP,
	OP_LEASE_END,
	OP_POLL,
};

/* A call in progress, with copies of its arguments. */
struct op {
	struct memkv_client *client;
	enum op_kind kind;
	char *key;
	char *after;
	struct kv_txn txn;
	int64_t number; /* lease; of a poll: revision after which changes are reported */
	uint32_t ttl_ms;
	uint64_t end_ms; /* end of the wait of a poll */
	struct kv_cb cb;
};

static void on_run_timeout(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			   void *ctx)
{
	bool *done = ctx;

	*done = true;
}

void memkv_run(struct tevent_context *ev, uint32_t ms)
{
	bool done = false;

	tevent_add_timer(ev, ev, tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000),
			 on_run_timeout, &done);
	while (!done)
		tevent_loop_once(ev);
}

static struct entry *find_entry(const struct memkv *store, const char *key)
{
	for (size_t i = 0; i < store->entry_count; i++) {
		if (!strcmp(store->entries[i]->key, key))
			return store->entries[i];
	}
	return NULL;
}

static void write_journal(struct memkv *store, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void write_journal(struct memkv *store, const char *format, ...)
{
	va_list args;

	if (!store->journal)
		return;
	va_start(args, format);
	if (vfprintf(store->journal, format, args) < 0 || fflush(store->journal))
		abort();
	va_end(args);
}

static void append_event(struct memkv *store, const char *key, const char *value, int64_t created,
			 int64_t lease)
{
	if (store->event_count == EVENTS_MAX)
		abort();
	store->events[store->event_count++] = (struct event){
		talloc_strdup(store, key), value ? talloc_strdup(store, value) : NULL,
		store->revision, created, lease};
}

static void put_entry(struct memkv *store, const char *key, const char *value, int64_t lease)
{
	struct entry *entry = find_entry(store, key);

	if (!entry) {
		entry = talloc_zero(store, struct entry);
		entry->key = talloc_strdup(entry, key);
		entry->created = store->revision;
		store->entries[store->entry_count++] = entry;
	}
	talloc_free(entry->value);
	entry->value = talloc_strdup(entry, value);
	entry->revision = store->revision;
	entry->lease = lease;
	append_event(store, key, value, entry->created, lease);
	write_journal(store, "put %" PRId64 " %" PRId64 " %s %s\n", store->revision, lease, key,
		      value);
}

static void remove_entry(struct memkv *store, const char *key)
{
	for (size_t i = 0; i < store->entry_count; i++) {
		if (strcmp(store->entries[i]->key, key) != 0)
			continue;
		append_event(store, key, NULL, 0, 0);
		write_journal(store, "remove %" PRId64 " 0 %s \n", store->revision, key);
		talloc_free(store->entries[i]);
		store->entries[i] = store->entries[--store->entry_count];
		return;
	}
}

static void end_lease(struct memkv *store, size_t index)
{
	int64_t id = store->leases[index].id;

	store->leases[index] = store->leases[--store->lease_count];
	store->revision++;
	write_journal(store, "end %" PRId64 " %" PRId64 " - \n", store->revision, id);
	for (size_t i = store->entry_count; i > 0; i--) {
		if (store->entries[i - 1]->lease == id)
			remove_entry(store, store->entries[i - 1]->key);
	}
}

static void end_leases(struct memkv *store, uint64_t now_ms)
{
	if (store->paused_ms)
		return;
	for (size_t i = store->lease_count; i > 0; i--) {
		if (store->leases[i - 1].end_ms <= now_ms)
			end_lease(store, i - 1);
	}
}

static struct lease *find_lease(struct memkv *store, int64_t id)
{
	for (size_t i = 0; i < store->lease_count; i++) {
		if (store->leases[i].id == id)
			return &store->leases[i];
	}
	return NULL;
}

static struct kv_item entry_item(TALLOC_CTX *mem, const struct entry *entry)
{
	return (struct kv_item){talloc_strdup(mem, entry->key),
				talloc_strdup(mem, entry->value),
				strlen(entry->value),
				entry->revision,
				entry->created,
				entry->lease};
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct kv_item *)a)->key, ((const struct kv_item *)b)->key);
}

static int do_range(struct memkv *store, struct op *op, struct kv_result *result)
{
	result->items = talloc_zero_array(op, struct kv_item, store->entry_count + 1);
	for (size_t i = 0; i < store->entry_count; i++) {
		const struct entry *entry = store->entries[i];

		if (strncmp(entry->key, op->key, strlen(op->key)) != 0 ||
		    strcmp(entry->key, op->after) <= 0)
			continue;
		result->items[result->count++] = entry_item(op, entry);
	}
	qsort(result->items, result->count, sizeof(result->items[0]), compare_keys);
	return 0;
}

static int do_txn(struct memkv *store, struct op *op, struct kv_result *result)
{
	bool holds = true;

	result->items = talloc_zero_array(op, struct kv_item, op->txn.expect_count + 1);
	for (size_t i = 0; i < op->txn.expect_count; i++) {
		const struct kv_expect *expect = &op->txn.expects[i];
		const struct entry *entry = find_entry(store, expect->key);

		holds = holds && (entry ? entry->revision : 0) == expect->revision;
		result->items[result->count++] =
			entry ? entry_item(op, entry)
			      : (struct kv_item){.key = expect->key, .value = ""};
	}
	if (!holds)
		return -ERR_CONFLICT;
	store->revision++;
	for (size_t i = 0; i < op->txn.put_count; i++)
		put_entry(store, op->txn.puts[i].key, op->txn.puts[i].value, op->txn.puts[i].lease);
	for (size_t i = 0; i < op->txn.remove_count; i++)
		remove_entry(store, op->txn.removes[i]);
	return 0;
}

static int do_lease(struct memkv *store, struct op *op, struct kv_result *result)
{
	struct lease *lease = find_lease(store, op->number);

	if (op->kind == OP_LEASE_GRANT) {
		lease = &store->leases[store->lease_count++];
		*lease =
			(struct lease){++store->revision, util_clock_ms() + op->ttl_ms, op->ttl_ms};
		result->lease = lease->id;
		write_journal(store, "lease %" PRId64 " %" PRIu32 " - \n", lease->id, op->ttl_ms);
		return 0;
	}
	if (!lease)
		return -ERR_NOT_FOUND;
	if (op->kind == OP_LEASE_KEEP)
		lease->end_ms = util_clock_ms() + lease->ttl_ms;
	else
		end_lease(store, (size_t)(lease - store->leases));
	return 0;
}

static int execute_op(struct op *op, struct kv_result *result)
{
	struct memkv *store = op->client->store;
	const struct entry *entry;
	int status = 0;

	end_leases(store, util_clock_ms());
	switch (op->kind) {
	case OP_GET:
		entry = find_entry(store, op->key);
		result->items = talloc_zero_array(op, struct kv_item, 1);
		if (entry)
			result->items[result->count++] = entry_item(op, entry);
		break;
	case OP_RANGE:
		status = do_range(store, op, result);
		break;
	case OP_TXN:
		status = do_txn(store, op, result);
		break;
	default:
		status = do_lease(store, op, result);
		break;
	}
	result->revision = store->revision;
	return status;
}

static bool is_write(const struct op *op)
{
	return op->kind == OP_TXN || op->kind == OP_LEASE_GRANT || op->kind == OP_LEASE_END;
}

static void on_late_write(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			  void *ctx)
{
	struct kv_result unused = {0};

	execute_op(ctx, &unused);
	talloc_free(ctx);
}

static void schedule_op(struct op *op, uint32_t ms, tevent_timer_handler_t handler)
{
	tevent_add_timer(op->client->store->ev, op,
			 tevent_timeval_current_ofs(ms / 1000, ms % 1000 * 1000), handler, op);
}

static void on_op_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		      void *ctx);

static void schedule_answer(struct op *op)
{
	schedule_op(op, op->client->fault == MEMKV_SLOW ? SLOW_ANSWER_MS : ANSWER_MS, on_op_due);
}

static void on_op_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		      void *ctx)
{
	struct op *op = ctx;
	struct kv_result result = {0};
	enum memkv_fault fault = op->client->fault;
	int status;

	if (fault == MEMKV_REJECT_CALLS) {
		op->cb.done(-ERR_UNAVAILABLE, NULL, op->cb.ctx);
		talloc_free(op);
		return;
	}
	if ((fault == MEMKV_DELAY_WRITES && is_write(op)) ||
	    (fault == MEMKV_DELAY_TXNS && op->kind == OP_TXN)) {
		op->cb.done(-ERR_OUTCOME_UNKNOWN, NULL, op->cb.ctx);
		schedule_op(op, op->client->late_write_ms, on_late_write);
		return;
	}
	status = execute_op(op, &result);
	if (fault == MEMKV_LOSE_ANSWERS && is_write(op))
		op->cb.done(-ERR_OUTCOME_UNKNOWN, NULL, op->cb.ctx);
	else
		op->cb.done(status, status == 0 || status == -ERR_CONFLICT ? &result : NULL,
			    op->cb.ctx);
	talloc_free(op);
}

static struct op *create_op(void *impl, enum op_kind kind, const char *key, struct kv_cb cb)
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
	schedule_answer(create_op(impl, OP_GET, key, cb));
}

static void mem_range(void *impl, const char *prefix, const char *from, struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_RANGE, prefix, cb);

	op->after = talloc_strdup(op, from);
	schedule_answer(op);
}

static void mem_txn(void *impl, const struct kv_txn *txn, struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_TXN, "", cb);
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
	schedule_answer(op);
}

static void mem_lease_grant(void *impl, uint32_t ttl_ms, struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_LEASE_GRANT, "", cb);

	op->ttl_ms = ttl_ms;
	schedule_answer(op);
}

static void mem_lease_keep(void *impl, int64_t lease, struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_LEASE_KEEP, "", cb);

	op->number = lease;
	schedule_answer(op);
}

static void mem_lease_end(void *impl, int64_t lease, struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_LEASE_END, "", cb);

	op->number = lease;
	schedule_answer(op);
}

static void collect_events(struct op *op, struct kv_result *result)
{
	const struct memkv *store = op->client->store;

	size_t first = store->event_count;

	result->revision = store->revision;
	while (first > 0 && store->events[first - 1].revision > op->number)
		first--;
	/* Mostly nothing is new; an allocation in each look would take most of a test's time. */
	while (first < store->event_count &&
	       strncmp(store->events[first].key, op->key, strlen(op->key)) != 0)
		first++;
	if (first == store->event_count)
		return;
	result->items = talloc_zero_array(op, struct kv_item, store->event_count - first + 1);
	for (size_t i = first; i < store->event_count; i++) {
		const struct event *event = &store->events[i];

		if (strncmp(event->key, op->key, strlen(op->key)) != 0)
			continue;
		result->items[result->count++] =
			(struct kv_item){event->key,
					 event->value ? event->value : "",
					 event->value ? strlen(event->value) : 0,
					 event->value ? event->revision : 0,
					 event->created,
					 event->lease};
	}
}

static void on_poll_due(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
			void *ctx)
{
	struct op *op = ctx;
	struct kv_result result = {0};
	int status = 0;

	end_leases(op->client->store, util_clock_ms());
	if (op->client->fault == MEMKV_REJECT_CALLS)
		status = -ERR_UNAVAILABLE;
	else if (op->client->fault != MEMKV_EMPTY_POLLS)
		collect_events(op, &result);
	if (!status && result.count == 0 && util_clock_ms() < op->end_ms) {
		schedule_op(op, ANSWER_MS, on_poll_due);
		return;
	}
	if (!status && op->number < op->client->store->compacted_revision)
		status = -ERR_STALE;
	if (result.revision == 0)
		result.revision = op->number;
	op->cb.done(status, status ? NULL : &result, op->cb.ctx);
	talloc_free(op);
}

static void mem_poll(void *impl, const char *prefix, int64_t from, uint32_t wait_ms,
		     struct kv_cb cb)
{
	struct op *op = create_op(impl, OP_POLL, prefix, cb);

	op->number = from;
	op->end_ms = util_clock_ms() + wait_ms;
	schedule_op(op, ANSWER_MS, on_poll_due);
}

static bool mem_is_responding(void *impl)
{
	return !((struct memkv_client *)impl)->unresponsive;
}

static const struct kv_ops mem_ops = {mem_get,	      mem_range,     mem_txn,  mem_lease_grant,
				      mem_lease_keep, mem_lease_end, mem_poll, mem_is_responding};

struct memkv *memkv_create(TALLOC_CTX *mem, struct tevent_context *ev)
{
	struct memkv *store = talloc_zero(mem, struct memkv);

	store->ev = ev;
	store->revision = 1;
	return store;
}

struct memkv_client *memkv_client(struct memkv *store)
{
	struct memkv_client *client = talloc_zero(store, struct memkv_client);

	client->store = store;
	client->late_write_ms = LATE_WRITE_MS;
	client->kv = (struct kv){&mem_ops, client};
	return client;
}

/* Leases last their whole time again, since the store does not know how long it was away. */
static void replay_line(struct memkv *store, const char *line)
{
	char verb[8];
	char key[256];
	int64_t revision;
	int64_t number;
	int value;

	if (sscanf(line, "%7s %" SCNd64 " %" SCNd64 " %255s %n", verb, &revision, &number, key,
		   &value) != 4)
		return;
	store->revision = revision;
	if (!strcmp(verb, "put")) {
		put_entry(store, key, line + value, number);
	} else if (!strcmp(verb, "remove")) {
		remove_entry(store, key);
	} else if (!strcmp(verb, "lease")) {
		store->leases[store->lease_count++] = (struct lease){
			revision, util_clock_ms() + (uint64_t)number, (uint32_t)number};
	} else {
		for (size_t i = 0; i < store->lease_count; i++) {
			if (store->leases[i].id == number)
				store->leases[i] = store->leases[--store->lease_count];
		}
	}
}

bool memkv_open_journal(struct memkv *store, const char *path)
{
	char *line = talloc_size(store, JOURNAL_LINE_MAX);
	FILE *file = fopen(path, "a+");

	while (file && fgets(line, JOURNAL_LINE_MAX, file)) {
		line[strcspn(line, "\n")] = '\0';
		replay_line(store, line);
	}
	talloc_free(line);
	store->journal = file;
	return file != NULL;
}

void memkv_put(struct memkv *store, const char *key, const char *value)
{
	store->revision++;
	put_entry(store, key, value, 0);
}

void memkv_remove(struct memkv *store, const char *key)
{
	store->revision++;
	remove_entry(store, key);
}

const char *memkv_value(const struct memkv *store, const char *key)
{
	const struct entry *entry = find_entry(store, key);

	return entry ? entry->value : NULL;
}

int64_t memkv_revision(const struct memkv *store, const char *key)
{
	const struct entry *entry = find_entry(store, key);

	return entry ? entry->revision : 0;
}

void memkv_expire(struct memkv *store)
{
	end_leases(store, UINT64_MAX);
}

void memkv_pause_leases(struct memkv *store, bool paused)
{
	uint64_t now_ms = util_clock_ms();

	if (paused == (store->paused_ms > 0))
		return;
	if (paused) {
		end_leases(store, now_ms);
		store->paused_ms = now_ms;
		return;
	}
	for (size_t i = 0; i < store->lease_count; i++)
		store->leases[i].end_ms += now_ms - store->paused_ms;
	store->paused_ms = 0;
}

void memkv_compact(struct memkv *store)
{
	store->compacted_revision = store->revision;
}
