/* Measures the control bytes and store calls of one gang and of one configuration change. */
#include "lib_cluster.h"
#include "lib_figures.h"
#include "util.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WORKERS 9
#define POINTS 4
#define JOBS_PER_POINT 10
#define RUN_MS 2000
#define CONFIG_TIMEOUT_MS 20000

static struct cluster cluster;

struct totals {
	double entry_bytes; /* sum over all entries; one of them is the leader */
	double agent_bytes;
	double calls;
	uint64_t at_ms;
};

static struct totals read_totals(void)
{
	struct totals t = {.calls = figure_store_calls(&cluster.store), .at_ms = util_clock_ms()};

	for (unsigned int i = 0; i < cluster.entry_count; i++)
		t.entry_bytes += figure_control_bytes(&cluster.entries[i]);
	for (unsigned int i = 0; i < cluster.target_count; i++)
		t.agent_bytes += figure_control_bytes(&cluster.targets[i].agent);
	return t;
}

/* Returns the costs since @before less the costs of an idle cluster over the same time. */
static struct totals totals_since(const struct totals *before, const struct totals *idle_per_ms)
{
	struct totals now = read_totals();
	double ms = (double)(now.at_ms - before->at_ms);

	now.entry_bytes -= before->entry_bytes + idle_per_ms->entry_bytes * ms;
	now.agent_bytes -= before->agent_bytes + idle_per_ms->agent_bytes * ms;
	now.calls -= before->calls + idle_per_ms->calls * ms;
	return now;
}

static struct totals measure_idle(void)
{
	struct totals before = read_totals();
	struct totals after;
	double ms;

	sleep(20);
	after = read_totals();
	ms = (double)(after.at_ms - before.at_ms);
	after.entry_bytes = (after.entry_bytes - before.entry_bytes) / ms;
	after.agent_bytes = (after.agent_bytes - before.agent_bytes) / ms;
	after.calls = (after.calls - before.calls) / ms;
	return after;
}

static bool run_job(unsigned int members)
{
	char body[256];
	char id[32];

	snprintf(body, sizeof(body),
		 "{\"class\":\"yield-forecast\",\"members\":%u,\"accelerators\":1,\"cores\":1,"
		 "\"memory_gb\":1,\"declared_s\":2,\"payload\":{\"run_ms\":%d}}",
		 members, RUN_MS);
	return cluster_submit(&cluster, 0, NULL, body, id) == 202 &&
	       cluster_wait_job(&cluster, 0, id, "done", 60000);
}

static bool apply_configuration(unsigned int number)
{
	json_t *current =
		cluster_get_json(&cluster, 0, cluster_operator_token(&cluster), "/v1/config");
	json_t *files = json_deep_copy(json_object_get(current, "files"));
	char authorization[128];
	char content[128];
	char url[128];
	const char *const headers[] = {authorization, NULL};
	struct http_reply reply;
	json_t *body;
	char *text;
	bool ok;

	snprintf(content, sizeof(content),
		 "{\"decision\":\"class\",\"name\":\"net-angle-check\",\"weight\":%u}",
		 1 + number % 900);
	json_object_set_new(files, "70-weight.json", json_string(content));
	body = json_pack("{s:o, s:I, s:s}", "files", files, "base_revision", (json_int_t)0,
			 "message", "weight");
	text = json_dumps(body, JSON_COMPACT);
	snprintf(authorization, sizeof(authorization), "Authorization: Bearer %s",
		 cluster_operator_token(&cluster));
	snprintf(url, sizeof(url), "http://%s/v1/config", cluster.entries[0].address[0]);
	reply = http_call("POST", url, headers, text, CONFIG_TIMEOUT_MS);
	ok = reply.status == 200;
	if (!ok)
		fprintf(stderr, "%d %s\n", reply.status, reply.body);
	http_reply_free(&reply);
	free(text);
	json_decref(body);
	json_decref(current);
	return ok;
}

static json_t *fit_json(const unsigned int *x, const double *y)
{
	struct figure_fit fit = figure_fit(x, y, POINTS);
	json_t *points = json_array();

	for (int i = 0; i < POINTS; i++)
		json_array_append_new(points, json_pack("[i, f]", (int)x[i], y[i]));
	return json_pack("{s:o, s:f, s:f, s:f}", "points", points, "intercept", fit.intercept,
			 "slope", fit.slope, "residual", fit.residual);
}

static json_t *figures_json(const unsigned int *x, const struct totals *figures, double each)
{
	double entry[POINTS];
	double agent[POINTS];
	double calls[POINTS];

	for (int i = 0; i < POINTS; i++) {
		entry[i] = figures[i].entry_bytes / each;
		agent[i] = figures[i].agent_bytes / each;
		calls[i] = figures[i].calls / each;
	}
	return json_pack("{s:o, s:o, s:o}", "entries_bytes", fit_json(x, entry), "agents_bytes",
			 fit_json(x, agent), "store_calls", fit_json(x, calls));
}

static bool measure_gangs(const struct totals *idle, json_t *out)
{
	static const unsigned int members[POINTS] = {1, 8, 16, 24};
	struct totals figures[POINTS];

	for (int i = 0; i < POINTS; i++) {
		struct totals before = read_totals();

		for (int j = 0; j < JOBS_PER_POINT; j++) {
			if (!run_job(members[i]))
				return false;
		}
		figures[i] = totals_since(&before, idle);
	}
	json_object_set_new(out, "per_gang_over_members",
			    figures_json(members, figures, JOBS_PER_POINT));
	return true;
}

static bool measure_changes(const struct totals *idle, json_t *out)
{
	static const unsigned int changes[POINTS] = {5, 10, 20, 40};
	struct totals figures[POINTS];
	unsigned int number = 0;

	for (int i = 0; i < POINTS; i++) {
		struct totals before = read_totals();

		for (unsigned int j = 0; j < changes[i]; j++) {
			if (!apply_configuration(number++))
				return false;
		}
		sleep(3); /* until every agent has received the last change */
		figures[i] = totals_since(&before, idle);
	}
	json_object_set_new(out, "over_configuration_changes", figures_json(changes, figures, 1));
	return true;
}

/* Measures the control bytes per second of all agents while one gang runs. */
static bool measure_running(const struct totals *idle, json_t *out)
{
	static const unsigned int members[POINTS] = {2, 8, 16, 24};
	double bytes[POINTS];

	for (int i = 0; i < POINTS; i++) {
		struct totals before;
		struct totals after;
		char body[256];
		char id[32];

		snprintf(body, sizeof(body),
			 "{\"class\":\"yield-forecast\",\"members\":%u,\"accelerators\":1,"
			 "\"cores\":1,\"memory_gb\":1,\"declared_s\":20,"
			 "\"payload\":{\"run_ms\":20000}}",
			 members[i]);
		if (cluster_submit(&cluster, 0, NULL, body, id) != 202 ||
		    !cluster_wait_job(&cluster, 0, id, "running", 30000))
			return false;
		sleep(3);
		before = read_totals();
		sleep(10);
		after = totals_since(&before, idle);
		bytes[i] = after.agent_bytes / 10.0;
		if (!cluster_wait_job(&cluster, 0, id, "done", 60000))
			return false;
	}
	json_object_set_new(out, "agents_bytes_per_s_over_running_members",
			    fit_json(members, bytes));
	return true;
}

int main(void)
{
	struct cluster_options options = {
		.example = "nefeli", .entries = 2, .services = 1, .workers = WORKERS};
	json_t *out = json_object();
	struct totals idle;
	bool ok;

	if (!cluster_start(&cluster, &options))
		return 1;
	sleep(15); /* the heartbeat period grows after 10 s without change */
	idle = measure_idle();
	ok = measure_gangs(&idle, out) && measure_running(&idle, out) &&
	     measure_changes(&idle, out);
	json_dumpf(out, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(5));
	putchar('\n');
	json_decref(out);
	return cluster_stop(&cluster) && ok ? 0 : 1;
}
