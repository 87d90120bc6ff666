#include "fleetmsg.h"

#include "jsonread.h"

#include <stdlib.h>
#include <string.h>

static char *dump_json(TALLOC_CTX *mem, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char *copy = talloc_strdup(mem, text ? text : "{}");

	free(text);
	json_decref(json);
	return copy;
}

static json_t *write_runs(const struct plan_run *runs, size_t count)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(rows,
				      json_pack("[s, i, s, i]", runs[i].task, (int)runs[i].run,
						runs[i].checkpoint, (int)runs[i].percent));
	return rows;
}

static json_t *write_ends(const struct fleet_report *report)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < report->end_count; i++) {
		const struct fleet_run_end *end = &report->ends[i];

		json_array_append_new(rows, json_pack("[s, i, s, i, I, i]", end->run.task,
						      (int)end->run.run, end->run.checkpoint,
						      (int)end->run.percent,
						      (json_int_t)end->number, (int)end->how));
	}
	return rows;
}

static json_t *write_refusals(const struct fleet_report *report)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < report->refusal_count; i++) {
		const struct fleet_refusal *refusal = &report->refusals[i];

		json_array_append_new(rows,
				      json_pack("[s, i, s, i, i]", refusal->run.task,
						(int)refusal->run.run, "", 0, (int)refusal->why));
	}
	return rows;
}

char *fleet_report_write(TALLOC_CTX *mem, const struct fleet_report *report)
{
	const struct plan_worker_info *info = &report->info;
	json_t *json = json_pack(
		"{s:I, s:I, s:I, s:s, s:b, s:b, s:b, s:b, s:s, s:s, s:s, s:s, "
		"s:s, s:s, s:s, s:i, "
		"s:i, s:i, s:b, s:s, s:o, s:o, s:o, s:o}",
		"session", (json_int_t)report->session, "sent", (json_int_t)report->sent_ms,
		"list_age", (json_int_t)report->list_age_ms, "address", report->address, "alive",
		report->alive, "settled", report->settled, "more_ends", report->more_ends,
		"unreadable", report->unreadable, "node", info->node, "worker", info->id,
		"incarnation", info->incarnation, "service", info->service, "zone", info->zone,
		"kind", info->kind, "rack", info->rack, "cpu", (int)info->room.cpu_milli, "memory",
		(int)info->room.memory_mb, "accelerators", (int)info->room.accelerators,
		"accepting", info->accepting, "why_down", report->why_down ? report->why_down : "",
		"running", write_runs(report->running, report->running_count), "pending",
		write_runs(report->pending, report->pending_count), "ends", write_ends(report),
		"refusals", write_refusals(report));

	if (report->long_lease_ms)
		json_object_set_new(json, "long_lease",
				    json_integer((json_int_t)report->long_lease_ms));
	if (info->leaves)
		json_object_set_new(json, "remaining_ms",
				    json_integer((json_int_t)info->remaining_ms));
	if (info->health_good > 0 || info->health_bad > 0)
		json_object_set_new(
			json, "health",
			json_pack("[i, i]", (int)info->health_good, (int)info->health_bad));
	return dump_json(mem, json);
}

/* Malformed counts are no evidence. */
static void read_health(const json_t *value, struct plan_worker_info *info)
{
	if (jsonread_u32(json_array_get(value, 0), PLAN_HEALTH_MAX, &info->health_good) &&
	    jsonread_u32(json_array_get(value, 1), PLAN_HEALTH_MAX, &info->health_bad))
		return;
	info->health_good = 0;
	info->health_bad = 0;
}

/* Reads the first four fields of a row; the strings belong to @mem. */
static bool read_run(TALLOC_CTX *mem, const json_t *row, struct plan_run *run)
{
	const char *task = json_string_value(json_array_get(row, 0));
	const char *checkpoint = json_string_value(json_array_get(row, 2));

	if (!task || !checkpoint ||
	    !jsonread_u32(json_array_get(row, 1), PLAN_RUN_MAX, &run->run) ||
	    !jsonread_u32(json_array_get(row, 3), PLAN_PERCENT_MAX, &run->percent))
		return false;
	run->task = talloc_strdup(mem, task);
	run->checkpoint = talloc_strdup(mem, checkpoint);
	return true;
}

static struct plan_run *read_runs(TALLOC_CTX *mem, const json_t *rows, size_t *count)
{
	struct plan_run *runs = talloc_zero_array(mem, struct plan_run, json_array_size(rows) + 1);
	const json_t *row;
	size_t i;

	*count = 0;
	json_array_foreach(rows, i, row) *count += read_run(mem, row, &runs[*count]);
	return runs;
}

static void read_ends(struct fleet_report *report, const json_t *rows)
{
	const json_t *row;
	size_t i;

	report->ends = talloc_zero_array(report, struct fleet_run_end, json_array_size(rows) + 1);
	json_array_foreach(rows, i, row)
	{
		struct fleet_run_end *end = &report->ends[report->end_count];
		json_int_t how = json_integer_value(json_array_get(row, 5));

		if (how < 0 || how >= PLAN_END_COUNT || !read_run(report, row, &end->run) ||
		    !jsonread_u64(json_array_get(row, 4), INT64_MAX, &end->number))
			continue;
		end->how = (enum plan_end)how;
		report->end_count++;
	}
}

static void read_refusals(struct fleet_report *report, const json_t *rows)
{
	const json_t *row;
	size_t i;

	report->refusals =
		talloc_zero_array(report, struct fleet_refusal, json_array_size(rows) + 1);
	json_array_foreach(rows, i, row)
	{
		struct fleet_refusal *refusal = &report->refusals[report->refusal_count];
		json_int_t why = json_integer_value(json_array_get(row, 4));

		if (why < 0 || why >= PLAN_REFUSED_COUNT || !read_run(report, row, &refusal->run))
			continue;
		refusal->why = (enum plan_refusal)why;
		report->refusal_count++;
	}
}

static const char *read_string(TALLOC_CTX *mem, const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	return talloc_strdup(mem, text ? text : "");
}

/* Returns 0 for a number that is missing or unusable. */
static uint64_t read_number(const json_t *json, const char *name)
{
	uint64_t number = 0;

	jsonread_u64(json_object_get(json, name), INT64_MAX, &number);
	return number;
}

static uint32_t read_small_number(const json_t *json, const char *name)
{
	uint32_t number = 0;

	jsonread_u32(json_object_get(json, name), JSONREAD_RESOURCE_MAX, &number);
	return number;
}

/* True if the list is missing or has rows that were not among the @count read ones. */
static bool has_lost_rows(const json_t *json, const char *name, size_t count)
{
	const json_t *rows = json_object_get(json, name);

	return !json_is_array(rows) || json_array_size(rows) > count;
}

struct fleet_report *fleet_report_read(TALLOC_CTX *mem, const void *data, size_t len)
{
	json_t *json = json_loadb(data, len, 0, NULL);
	struct fleet_report *report;
	struct plan_worker_info *info;

	if (!json_is_object(json)) {
		json_decref(json);
		return NULL;
	}
	report = talloc_zero(mem, struct fleet_report);
	info = &report->info;
	report->session = read_number(json, "session");
	report->sent_ms = read_number(json, "sent");
	report->list_age_ms = read_number(json, "list_age");
	report->address = read_string(report, json, "address");
	report->alive = json_is_true(json_object_get(json, "alive"));
	report->why_down = read_string(report, json, "why_down");
	report->settled = json_is_true(json_object_get(json, "settled"));
	info->node = read_string(report, json, "node");
	info->id = read_string(report, json, "worker");
	info->incarnation = read_string(report, json, "incarnation");
	info->service = read_string(report, json, "service");
	info->zone = read_string(report, json, "zone");
	info->kind = read_string(report, json, "kind");
	info->rack = read_string(report, json, "rack");
	info->room.cpu_milli = read_small_number(json, "cpu");
	info->room.memory_mb = read_small_number(json, "memory");
	info->room.accelerators = read_small_number(json, "accelerators");
	info->accepting = json_is_true(json_object_get(json, "accepting"));
	info->leaves = jsonread_u32(json_object_get(json, "remaining_ms"), PLAN_REMAINING_MAX_MS,
				    &info->remaining_ms);
	read_health(json_object_get(json, "health"), info);
	report->running =
		read_runs(report, json_object_get(json, "running"), &report->running_count);
	report->pending =
		read_runs(report, json_object_get(json, "pending"), &report->pending_count);
	read_ends(report, json_object_get(json, "ends"));
	read_refusals(report, json_object_get(json, "refusals"));
	report->long_lease_ms = read_number(json, "long_lease");
	report->more_ends = json_is_true(json_object_get(json, "more_ends"));
	report->unreadable = json_is_true(json_object_get(json, "unreadable")) ||
			     has_lost_rows(json, "running", report->running_count) ||
			     has_lost_rows(json, "pending", report->pending_count) ||
			     has_lost_rows(json, "ends", report->end_count);
	json_decref(json);
	if (*info->node)
		return report;
	talloc_free(report);
	return NULL;
}

static json_t *write_order_rows(const struct fleet_orders *orders)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < orders->order_count; i++) {
		const struct plan_order *order = &orders->orders[i];

		if (order->start)
			json_array_append_new(rows, json_pack("[s, i, s, s, s, b]", order->task,
							      (int)order->run, order->checkpoint,
							      order->payload, order->ticket,
							      order->maybe_begun));
		else
			json_array_append_new(rows,
					      json_pack("[s, i]", order->task, (int)order->run));
	}
	return rows;
}

char *fleet_orders_write(TALLOC_CTX *mem, const struct fleet_orders *orders)
{
	json_t *json = json_pack(
		"{s:I, s:I, s:i, s:s, s:I, s:i, s:b, s:o, s:o}", "session",
		(json_int_t)orders->session, "echo", (json_int_t)orders->echo_ms, "valid_ms",
		(int)orders->valid_ms, "incarnation", orders->incarnation, "ends_stored",
		(json_int_t)orders->ends_stored, "report_ms", (int)orders->report_ms, "unsure",
		orders->unsure, "handled", write_runs(orders->handled, orders->handled_count),
		"orders", write_order_rows(orders));

	if (orders->closed)
		json_object_set_new(json, "closed", json_true());
	if (orders->health_path && *orders->health_path)
		json_object_set_new(json, "health_path", json_string(orders->health_path));
	return dump_json(mem, json);
}

static void read_order_rows(struct fleet_orders *orders, const json_t *rows)
{
	const json_t *row;
	size_t i;

	orders->orders = talloc_zero_array(orders, struct plan_order, json_array_size(rows) + 1);
	json_array_foreach(rows, i, row)
	{
		struct plan_order *order = &orders->orders[orders->order_count];
		const char *task = json_string_value(json_array_get(row, 0));
		const char *checkpoint = json_string_value(json_array_get(row, 2));
		const char *payload = json_string_value(json_array_get(row, 3));
		const char *ticket = json_string_value(json_array_get(row, 4));

		if (!task || !jsonread_u32(json_array_get(row, 1), PLAN_RUN_MAX, &order->run))
			continue;
		order->task = talloc_strdup(orders, task);
		order->start = payload != NULL;
		order->checkpoint = talloc_strdup(orders, checkpoint ? checkpoint : "");
		order->payload = talloc_strdup(orders, payload ? payload : "");
		order->ticket = talloc_strdup(orders, ticket ? ticket : "");
		order->maybe_begun = json_is_true(json_array_get(row, 5));
		orders->order_count++;
	}
}

struct fleet_orders *fleet_orders_read(TALLOC_CTX *mem, const void *data, size_t len)
{
	json_t *json = json_loadb(data, len, 0, NULL);
	struct fleet_orders *orders;

	if (!json_is_object(json)) {
		json_decref(json);
		return NULL;
	}
	orders = talloc_zero(mem, struct fleet_orders);
	orders->session = read_number(json, "session");
	orders->echo_ms = read_number(json, "echo");
	orders->valid_ms = read_small_number(json, "valid_ms");
	orders->incarnation = read_string(orders, json, "incarnation");
	orders->ends_stored = read_number(json, "ends_stored");
	orders->report_ms = read_small_number(json, "report_ms");
	orders->unsure = json_is_true(json_object_get(json, "unsure"));
	orders->closed = json_is_true(json_object_get(json, "closed"));
	orders->health_path = read_string(orders, json, "health_path");
	if (!fleetconf_is_health_path(orders->health_path))
		orders->health_path = "";
	orders->handled =
		read_runs(orders, json_object_get(json, "handled"), &orders->handled_count);
	read_order_rows(orders, json_object_get(json, "orders"));
	orders->unreadable = has_lost_rows(json, "orders", orders->order_count);
	json_decref(json);
	return orders;
}
