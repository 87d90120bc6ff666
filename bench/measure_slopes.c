/*
 * Measures the cost of membership for an entry, an agent and the store over the number of agents.
 */
#include "lib_cluster.h"
#include "lib_figures.h"
#include "util.h"

#include <argp.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define AGENTS_MAX 256
#define SIZES_MAX 8
#define HEARTBEAT_SETTLE_MS 15000 /* the heartbeat period grows after 10 s without change */

struct arguments {
	unsigned int sizes[SIZES_MAX];
	unsigned int size_count;
	unsigned int entries;
	unsigned int seconds;
};

struct sample {
	double entry_cpu_percent;
	double entry_bytes_per_s;
	double entry_rss_mb;
	double agent_cpu_percent;
	double agent_bytes_per_s;
	double agent_rss_mb;
	double store_calls_per_s;
};

static struct cluster cluster;
static struct proc agents[AGENTS_MAX];
static atomic_uint agent_count;
static atomic_bool announcing;

static bool start_agent(unsigned int i)
{
	char node[64];
	char zone[64];
	char rack[64];
	char store[128];
	char seeds[128];
	char label[64];
	const char *const arguments[] = {"--set", node,
					 "--set", "region=region-1",
					 "--set", zone,
					 "--set", rack,
					 "--set", "http_address=127.0.0.1:0",
					 "--set", "peer_address=127.0.0.1:0",
					 "--set", store,
					 "--set", seeds,
					 NULL};

	snprintf(node, sizeof(node), "node=agent-%03u", i);
	snprintf(zone, sizeof(zone), "zone=%s", cluster.zones[i % 3]);
	snprintf(rack, sizeof(rack), "rack=r%u", i / 9);
	snprintf(store, sizeof(store), "store_endpoints=http://%s", cluster.store.address[0]);
	snprintf(seeds, sizeof(seeds), "seeds=%s", cluster.entries[0].address[0]);
	snprintf(label, sizeof(label), "agent-%03u", i);
	return proc_start(&agents[i], "jaycourse-agent", label, arguments);
}

/* Stands in for one worker per agent: announces each worker to its agent every second. */
static void *announce_workers(void *ctx)
{
	while (atomic_load(&announcing)) {
		uint64_t start = util_clock_ms();
		unsigned int count = atomic_load(&agent_count);
		uint64_t took;

		for (unsigned int i = 0; i < count; i++) {
			char body[320];
			char url[128];
			struct http_reply reply;

			snprintf(url, sizeof(url), "http://%s/v1/announce", agents[i].address[0]);
			snprintf(body, sizeof(body),
				 "{\"kind\":\"worker\",\"target\":\"w%03u\","
				 "\"url\":\"http://127.0.0.1:9\",\"incarnation\":1,"
				 "\"state\":\"alive\",\"accelerators\":8,\"cores\":128,"
				 "\"memory_mb\":524288}",
				 i);
			reply = http_call("POST", url, NULL, body, 1000);
			http_reply_free(&reply);
		}
		took = util_clock_ms() - start;
		if (took < 1000)
			usleep((useconds_t)(1000 - took) * 1000U);
	}
	return NULL;
}

static double sum_of(double (*figure)(const struct proc *proc), const struct proc *procs,
		     unsigned int count)
{
	double sum = 0;

	for (unsigned int i = 0; i < count; i++)
		sum += figure(&procs[i]);
	return sum;
}

static struct sample measure_sample(unsigned int count, unsigned int seconds)
{
	double entry_cpu = sum_of(figure_cpu_seconds, cluster.entries, cluster.entry_count);
	double entry_bytes = sum_of(figure_control_bytes, cluster.entries, cluster.entry_count);
	double agent_cpu = sum_of(figure_cpu_seconds, agents, count);
	double agent_bytes = sum_of(figure_control_bytes, agents, count);
	double calls = figure_store_calls(&cluster.store);
	uint64_t start = util_clock_ms();
	double entries = cluster.entry_count;
	struct sample sample;
	double span;

	sleep(seconds);
	span = (double)(util_clock_ms() - start) / 1000.0;
	sample.entry_cpu_percent =
		100.0 *
		(sum_of(figure_cpu_seconds, cluster.entries, cluster.entry_count) - entry_cpu) /
		span / entries;
	sample.entry_bytes_per_s =
		(sum_of(figure_control_bytes, cluster.entries, cluster.entry_count) - entry_bytes) /
		span / entries;
	sample.entry_rss_mb = sum_of(figure_rss_mb, cluster.entries, cluster.entry_count) / entries;
	sample.agent_cpu_percent =
		100.0 * (sum_of(figure_cpu_seconds, agents, count) - agent_cpu) / span / count;
	sample.agent_bytes_per_s =
		(sum_of(figure_control_bytes, agents, count) - agent_bytes) / span / count;
	sample.agent_rss_mb = sum_of(figure_rss_mb, agents, count) / count;
	sample.store_calls_per_s = (figure_store_calls(&cluster.store) - calls) / span;
	return sample;
}

struct target_wait {
	unsigned int entry;
	unsigned int count;
};

static bool all_agents_known(void *ctx)
{
	const struct target_wait *wait = ctx;

	return cluster_alive_targets(&cluster, wait->entry) >= wait->count;
}

static bool start_agents_up_to(unsigned int count)
{
	for (unsigned int i = atomic_load(&agent_count); i < count; i++) {
		if (!start_agent(i))
			return false;
		atomic_store(&agent_count, i + 1);
	}
	for (unsigned int e = 0; e < cluster.entry_count; e++) {
		struct target_wait wait = {.entry = e, .count = count};

		if (!wait_until(all_agents_known, &wait, 60000)) {
			fprintf(stderr, "entry %u knows %u of %u agents\n", e,
				cluster_alive_targets(&cluster, e), count);
			return false;
		}
	}
	return true;
}

static const struct {
	const char *name;
	size_t offset;
} figures[] = {
	{"entry_cpu_percent", offsetof(struct sample, entry_cpu_percent)},
	{"entry_bytes_per_s", offsetof(struct sample, entry_bytes_per_s)},
	{"entry_rss_mb", offsetof(struct sample, entry_rss_mb)},
	{"agent_cpu_percent", offsetof(struct sample, agent_cpu_percent)},
	{"agent_bytes_per_s", offsetof(struct sample, agent_bytes_per_s)},
	{"agent_rss_mb", offsetof(struct sample, agent_rss_mb)},
	{"store_calls_per_s", offsetof(struct sample, store_calls_per_s)},
};

static void print_report(const struct arguments *args, const struct sample *samples)
{
	json_t *json = json_object();

	for (size_t f = 0; f < sizeof(figures) / sizeof(figures[0]); f++) {
		json_t *points = json_array();
		double values[SIZES_MAX];
		struct figure_fit fit;

		for (unsigned int i = 0; i < args->size_count; i++) {
			values[i] =
				*(const double *)((const char *)&samples[i] + figures[f].offset);
			json_array_append_new(points,
					      json_pack("[i, f]", (int)args->sizes[i], values[i]));
		}
		fit = figure_fit(args->sizes, values, args->size_count);
		json_object_set_new(json, figures[f].name,
				    json_pack("{s:o, s:f, s:f, s:f}", "points", points, "intercept",
					      fit.intercept, "slope", fit.slope, "residual",
					      fit.residual));
	}
	json_object_set_new(json, "entries", json_integer((json_int_t)args->entries));
	json_dumpf(json, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(5));
	putchar('\n');
	json_decref(json);
}

enum option_key {
	OPT_SIZES = 256,
	OPT_ENTRIES,
	OPT_SECONDS,
};

static const struct argp_option options[] = {
	{"sizes", OPT_SIZES, "N,N,…", 0, "Numbers of agents; default 25,50,100,200", 0},
	{"entries", OPT_ENTRIES, "N", 0, "Number of entries; default 4", 0},
	{"seconds", OPT_SECONDS, "N", 0, "Length of each measurement; default 20", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;
	char *save = NULL;

	switch (key) {
	case OPT_SIZES:
		args->size_count = 0;
		for (char *word = strtok_r(arg, ",", &save); word && args->size_count < SIZES_MAX;
		     word = strtok_r(NULL, ",", &save))
			args->sizes[args->size_count++] = (unsigned int)strtoul(word, NULL, 10);
		return 0;
	case OPT_ENTRIES:
		args->entries = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case OPT_SECONDS:
		args->seconds = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		options, parse_option,
		NULL,	 "Measure the slopes of membership over the number of agents.",
		NULL,	 NULL,
		NULL};
	struct arguments args = {
		.sizes = {25, 50, 100, 200}, .size_count = 4, .entries = 4, .seconds = 20};
	struct sample samples[SIZES_MAX];
	pthread_t thread;
	int code = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	{
		struct cluster_options cluster_options = {.example = "nefeli",
							  .entries = args.entries};

		if (!cluster_start(&cluster, &cluster_options))
			return 1;
	}
	atomic_store(&announcing, true);
	pthread_create(&thread, NULL, announce_workers, NULL);
	for (unsigned int i = 0; i < args.size_count && !code; i++) {
		if (args.sizes[i] > AGENTS_MAX || !start_agents_up_to(args.sizes[i])) {
			code = 1;
			break;
		}
		usleep(HEARTBEAT_SETTLE_MS * 1000U);
		samples[i] = measure_sample(args.sizes[i], args.seconds);
	}
	if (!code)
		print_report(&args, samples);
	atomic_store(&announcing, false);
	pthread_join(thread, NULL);
	for (unsigned int i = 0; i < atomic_load(&agent_count); i++)
		proc_kill(&agents[i]);
	return cluster_stop(&cluster) ? code : 1;
}
