#include "bench_workload.h"
#include "util.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define SECONDS_PER_HOUR 3600.0
#define BURST_FACTOR 6.0   /* arrivals in a burst against those outside */
#define BURST_SHARE 0.15   /* of the time */
#define BURST_MEAN_S 900.0 /* length of a burst */
#define CANCEL_SHARE 0.02  /* of the jobs */
#define CANCEL_WAVES_PER_DAY 2
#define CANCEL_WAVE_JOBS 12
#define NEVER_RUNS_SHARE 0.005
#define DECLARED_SPREAD 0.9 /* of the logarithm of declared by actual run time */
#define TEXT_MAX 64

/* One class of work: shape, run time and who sends it. */
struct work_class {
	const char *name;
	double share; /* of the offered accelerator time, or of the jobs when it needs none */
	uint32_t members[4];
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_gb;
	double median_s;
	double spread;
	bool urgent;
	bool checkpoint;
	const char *within;
};

struct organisation_class {
	uint32_t count;
	uint32_t members; /* of the guaranteed shape; 0: no guarantee */
	uint32_t accelerators;
	double weight; /* of its submissions */
};

struct size {
	const char *name;
	const char *zones[4];
	uint32_t zone_count;
	uint32_t large_workers; /* with 8 accelerators each */
	uint32_t small_workers; /* with 1 accelerator each */
	uint32_t plain_workers; /* without accelerators */
	uint32_t per_rack;
	uint32_t memory_gb;
	double hours;
	double failures_per_day;
	double restarts_per_day;
	double bad_per_day;
	struct organisation_class organisations[4];
	struct work_class classes[6];
};

static const struct size sizes[] = {
	{
		.name = "nefeli",
		.zones = {"naxos", "tinos", "andros"},
		.zone_count = 3,
		.large_workers = 10,
		.per_rack = 3,
		.memory_gb = 512,
		.hours = 72,
		.failures_per_day = 0.3,
		.restarts_per_day = 2,
		.bad_per_day = 0.4,
		.organisations = {{1, 2, 8, 4}, {1, 1, 8, 3}, {1, 2, 4, 2}, {1, 1, 4, 1}},
		.classes =
			{
				{"yield-forecast",
				 0.45,
				 {1, 1, 2, 2},
				 8,
				 48,
				 160,
				 9000,
				 0.5,
				 false,
				 true,
				 "rack"},
				{"mapping-run",
				 0.30,
				 {1, 1, 1, 2},
				 2,
				 12,
				 40,
				 2400,
				 0.7,
				 false,
				 true,
				 "zone"},
				{"panel-scoring",
				 0.22,
				 {1, 1, 1, 1},
				 1,
				 6,
				 16,
				 1200,
				 0.8,
				 false,
				 true,
				 "zone"},
				{"net-angle-check",
				 0.03,
				 {1, 1, 1, 1},
				 1,
				 4,
				 8,
				 60,
				 0.5,
				 true,
				 false,
				 "zone"},
			},
	},
	{
		.name = "sonhario",
		.zones = {"porto-a", "braga-b", "guimaraes-c"},
		.zone_count = 3,
		.large_workers = 10,
		.per_rack = 3,
		.memory_gb = 256,
		.hours = 72,
		.failures_per_day = 0.3,
		.restarts_per_day = 2,
		.bad_per_day = 0.4,
		.organisations = {{1, 2, 8, 4}, {1, 2, 4, 3}, {1, 1, 8, 2}, {1, 1, 4, 1}},
		.classes =
			{
				{"illustrated-volume",
				 0.50,
				 {1, 1, 2, 2},
				 8,
				 40,
				 80,
				 7200,
				 0.5,
				 false,
				 true,
				 "rack"},
				{"page-layout",
				 0.27,
				 {1, 1, 1, 2},
				 2,
				 8,
				 20,
				 1800,
				 0.7,
				 false,
				 true,
				 "zone"},
				{"page-render",
				 0.20,
				 {1, 1, 1, 1},
				 1,
				 4,
				 8,
				 900,
				 0.8,
				 false,
				 true,
				 "zone"},
				{"cover-proof",
				 0.03,
				 {1, 1, 1, 1},
				 1,
				 4,
				 8,
				 45,
				 0.5,
				 true,
				 false,
				 "zone"},
			},
	},
	{
		.name = "two-year",
		.zones = {"east-1", "east-2", "west-1", "west-2"},
		.zone_count = 4,
		.large_workers = 80,
		.small_workers = 70,
		.plain_workers = 360,
		.per_rack = 10,
		.memory_gb = 512,
		.hours = 48,
		.failures_per_day = 8,
		.restarts_per_day = 190,
		.bad_per_day = 2,
		.organisations = {{4, 4, 8, 30}, {16, 2, 8, 6}, {50, 1, 1, 1}, {300, 0, 0, 0.3}},
		.classes =
			{
				{"training",
				 0.40,
				 {1, 2, 4, 8},
				 8,
				 48,
				 200,
				 14400,
				 0.5,
				 false,
				 true,
				 "zone"},
				{"tuning",
				 0.30,
				 {1, 2, 4, 8},
				 2,
				 12,
				 40,
				 10800,
				 0.6,
				 false,
				 true,
				 "zone"},
				{"inference-batch",
				 0.297,
				 {1, 1, 4, 16},
				 1,
				 6,
				 16,
				 7200,
				 0.6,
				 false,
				 true,
				 "zone"},
				{"check",
				 0.003,
				 {1, 1, 1, 1},
				 1,
				 4,
				 8,
				 600,
				 0.5,
				 true,
				 false,
				 "zone"},
				{"data-preparation",
				 0,
				 {16, 24, 32, 32},
				 0,
				 4,
				 16,
				 43200,
				 0.4,
				 false,
				 true,
				 "zone"},
			},
	},
};

struct generator {
	const struct size *size;
	const struct bench_workload_options *options;
	struct util_rng rng;
	uint32_t capacity; /* accelerators */
	GArray *lines;	   /* struct line */
	uint64_t next_job;
};

struct line {
	double time_s;
	uint64_t order;
	char *text;
};

static double exponential(struct util_rng *rng, double mean)
{
	return -mean * log(1.0 - util_rng_unit(rng));
}

static double normal(struct util_rng *rng)
{
	double radius = sqrt(-2.0 * log(1.0 - util_rng_unit(rng)));

	return radius * cos(2.0 * G_PI * util_rng_unit(rng));
}

static void add_line(struct generator *g, double time_s, json_t *event)
{
	struct line line = {.time_s = time_s, .order = g->lines->len};

	line.text = json_dumps(event, JSON_COMPACT | JSON_REAL_PRECISION(9));
	json_decref(event);
	g_array_append_val(g->lines, line);
}

static json_t *worker_json(const struct generator *g, const char *zone, uint32_t number)
{
	const struct size *size = g->size;
	uint32_t large = size->large_workers * g->options->scale;
	uint32_t small = size->small_workers * g->options->scale;
	char name[TEXT_MAX];
	int accelerators = 0;

	if (number < large)
		accelerators = 8;
	else if (number < large + small)
		accelerators = 1;
	snprintf(name, sizeof(name), "%s-w%04u", zone, number);
	return json_pack("{s:s, s:i, s:i, s:i}", "name", name, "accelerators", accelerators,
			 "cores", 128, "memory_gb", (int)size->memory_gb);
}

static uint32_t worker_count(const struct generator *g)
{
	return (g->size->large_workers + g->size->small_workers + g->size->plain_workers) *
	       g->options->scale;
}

/* Workers go round the zones, so that each zone holds a share of every kind. */
static json_t *zone_json(const struct generator *g, uint32_t zone)
{
	const char *name = g->size->zones[zone];
	json_t *racks = json_array();
	json_t *workers = NULL;
	uint32_t in_zone = 0;

	for (uint32_t i = zone; i < worker_count(g); i += g->size->zone_count) {
		if (in_zone % g->size->per_rack == 0) {
			char rack[TEXT_MAX];

			workers = json_array();
			snprintf(rack, sizeof(rack), "%s-r%02u", name, in_zone / g->size->per_rack);
			json_array_append_new(
				racks, json_pack("{s:s, s:o}", "name", rack, "workers", workers));
		}
		json_array_append_new(workers, worker_json(g, name, i));
		in_zone++;
	}
	return json_pack("{s:s, s:o}", "name", name, "racks", racks);
}

static json_t *organisations_json(const struct generator *g)
{
	json_t *list = json_array();

	for (size_t c = 0; c < 4; c++) {
		const struct organisation_class *class = &g->size->organisations[c];

		for (uint32_t i = 0; i < class->count * g->options->scale; i++) {
			char name[TEXT_MAX];
			json_t *item;

			snprintf(name, sizeof(name), "org-%zu-%03u", c, i);
			item = json_pack("{s:s}", "name", name);
			if (class->members)
				json_object_set_new(item, "guarantee",
						    json_pack("{s:i, s:i}", "members",
							      (int)class->members, "accelerators",
							      (int)class->accelerators));
			json_array_append_new(list, item);
		}
	}
	return list;
}

static int write_fleet(const struct generator *g, struct err *err)
{
	json_t *zones = json_array();
	json_t *root;
	int ret;

	for (uint32_t i = 0; i < g->size->zone_count; i++)
		json_array_append_new(zones, zone_json(g, i));
	root = json_pack("{s:o, s:o}", "zones", zones, "organisations", organisations_json(g));
	ret = json_dump_file(root, g->options->fleet_path, JSON_INDENT(1));
	json_decref(root);
	if (ret)
		return err_set(err, ERR_SYSTEM, "choose a folder that can be written",
			       "cannot write %s: %s", g->options->fleet_path, strerror(errno));
	return 0;
}

static double class_members(const struct work_class *class)
{
	double sum = 0;

	for (size_t i = 0; i < 4; i++)
		sum += class->members[i];
	return sum / 4.0;
}

static double class_mean_s(const struct work_class *class)
{
	return class->median_s * exp(class->spread * class->spread / 2.0);
}

static void pick_organisation(struct generator *g, char *out, size_t len)
{
	const struct organisation_class *classes = g->size->organisations;
	double total = 0;
	double at;

	for (size_t c = 0; c < 4; c++)
		total += classes[c].weight * classes[c].count;
	at = util_rng_unit(&g->rng) * total;
	for (size_t c = 0; c < 4; c++) {
		double weight = classes[c].weight * classes[c].count;

		if (at < weight || c == 3) {
			uint64_t number =
				util_rng_below(&g->rng, classes[c].count * g->options->scale);

			snprintf(out, len, "org-%zu-%03" PRIu64, c, number);
			return;
		}
		at -= weight;
	}
}

static void add_cancel(struct generator *g, double time_s, uint64_t job)
{
	char id[TEXT_MAX];

	snprintf(id, sizeof(id), "job-%06" PRIu64, job);
	add_line(g, time_s, json_pack("{s:f, s:s, s:s}", "t", time_s, "event", "cancel", "id", id));
}

static void add_job(struct generator *g, const struct work_class *class, double time_s)
{
	double actual_s = class->median_s * exp(class->spread * normal(&g->rng));
	double declared_s = actual_s * exp(DECLARED_SPREAD * normal(&g->rng));
	uint32_t members = class->members[util_rng_below(&g->rng, 4)];
	bool never = !class->urgent && util_rng_unit(&g->rng) < NEVER_RUNS_SHARE;
	char organisation[TEXT_MAX];
	char id[TEXT_MAX];

	pick_organisation(g, organisation, sizeof(organisation));
	snprintf(id, sizeof(id), "job-%06" PRIu64, g->next_job);
	add_line(g, time_s,
		 json_pack("{s:f, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:f, s:f, s:b, "
			   "s:b, s:b}",
			   "t", time_s, "event", "submit", "id", id, "organisation", organisation,
			   "class", class->name, "members", (int)members, "accelerators",
			   (int)class->accelerators, "cores", (int)class->cores, "memory_gb",
			   (int)class->memory_gb, "within", class->within, "declared_s",
			   ceil(declared_s), "actual_s", ceil(actual_s), "urgent", class->urgent,
			   "checkpoint", class->checkpoint, "never_runs", never));
	if (util_rng_unit(&g->rng) < CANCEL_SHARE)
		add_cancel(g, time_s + exponential(&g->rng, actual_s), g->next_job);
	g->next_job++;
}

/* Bursts and quiet spells alternate; the mean rate is the one asked for. */
static void add_class(struct generator *g, const struct work_class *class, double per_s)
{
	double quiet = per_s / (1.0 + BURST_SHARE * (BURST_FACTOR - 1.0));
	double end = g->options->hours * SECONDS_PER_HOUR;
	double quiet_mean_s = BURST_MEAN_S * (1.0 - BURST_SHARE) / BURST_SHARE;
	bool burst = false;
	double phase_end = exponential(&g->rng, quiet_mean_s);
	double at = 0;

	while (at < end) {
		double rate = burst ? quiet * BURST_FACTOR : quiet;
		double next = at + exponential(&g->rng, 1.0 / rate);

		if (next > phase_end) {
			at = phase_end;
			burst = !burst;
			phase_end += exponential(&g->rng, burst ? BURST_MEAN_S : quiet_mean_s);
			continue;
		}
		at = next;
		if (at < end)
			add_job(g, class, at);
	}
}

/* Work without accelerators: enough jobs for the running tasks of the size, 6,200. */
#define PLAIN_TASKS_RUNNING 5000.0

static void add_classes(struct generator *g)
{
	for (size_t i = 0; i < 6 && g->size->classes[i].name; i++) {
		const struct work_class *class = &g->size->classes[i];
		double work = class_members(class) * class_mean_s(class);

		if (class->accelerators)
			add_class(g, class,
				  g->options->demand * class->share * g->capacity /
					  (work * class->accelerators));
		else
			add_class(g, class, PLAIN_TASKS_RUNNING * g->options->scale / work);
	}
}

static void add_worker_event(struct generator *g, double time_s, const char *event,
			     const char *worker)
{
	add_line(g, time_s,
		 json_pack("{s:f, s:s, s:s}", "t", time_s, "event", event, "worker", worker));
}

static void add_failures(struct generator *g, double per_day, double mean_s, const char *from,
			 const char *to)
{
	double end = g->options->hours * SECONDS_PER_HOUR;
	double rate = per_day * g->options->scale / (24.0 * SECONDS_PER_HOUR);
	double at = rate > 0 ? exponential(&g->rng, 1.0 / rate) : end;

	while (at < end) {
		uint32_t number = (uint32_t)util_rng_below(&g->rng, worker_count(g));
		char name[TEXT_MAX];

		snprintf(name, sizeof(name), "%s-w%04u",
			 g->size->zones[number % g->size->zone_count], number);
		add_worker_event(g, at, from, name);
		add_worker_event(g, at + exponential(&g->rng, mean_s), to, name);
		at += exponential(&g->rng, 1.0 / rate);
	}
}

static void add_cancel_waves(struct generator *g)
{
	unsigned int waves = (unsigned int)ceil(CANCEL_WAVES_PER_DAY * g->options->hours / 24.0);

	for (unsigned int i = 0; i < waves; i++) {
		double at = util_rng_unit(&g->rng) * g->options->hours * SECONDS_PER_HOUR;

		for (int j = 0; j < CANCEL_WAVE_JOBS && g->next_job; j++)
			add_cancel(g, at, util_rng_below(&g->rng, g->next_job));
	}
}

static int by_time(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	if (x->time_s != y->time_s)
		return x->time_s < y->time_s ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static int write_workload(struct generator *g, struct err *err)
{
	FILE *file = fopen(g->options->workload_path, "w");

	if (!file)
		return err_set(err, ERR_SYSTEM, "choose a folder that can be written",
			       "cannot write %s: %s", g->options->workload_path, strerror(errno));
	g_array_sort(g->lines, by_time);
	for (guint i = 0; i < g->lines->len; i++)
		fprintf(file, "%s\n", g_array_index(g->lines, struct line, i).text);
	fclose(file);
	return 0;
}

static const struct size *find_size(const char *name)
{
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		if (!strcmp(sizes[i].name, name))
			return &sizes[i];
	}
	return NULL;
}

int bench_workload_write(const struct bench_workload_options *options, struct err *err)
{
	struct bench_workload_options own = *options;
	struct generator g = {.options = &own, .rng.state = options->seed};
	int ret;

	g.size = find_size(options->size);
	if (!g.size)
		return err_set(err, ERR_INVALID, "use nefeli, sonhario or two-year",
			       "unknown size %s", options->size);
	if (own.hours <= 0)
		own.hours = g.size->hours;
	g.capacity = (g.size->large_workers * 8 + g.size->small_workers) * own.scale;
	g.lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	add_classes(&g);
	add_cancel_waves(&g);
	add_failures(&g, g.size->failures_per_day, 3600, "worker_down", "worker_up");
	add_failures(&g, g.size->restarts_per_day, 120, "worker_down", "worker_up");
	add_failures(&g, g.size->bad_per_day, 7200, "worker_bad", "worker_good");
	ret = write_fleet(&g, err);
	if (!ret)
		ret = write_workload(&g, err);
	for (guint i = 0; i < g.lines->len; i++)
		free(g_array_index(g.lines, struct line, i).text);
	g_array_free(g.lines, TRUE);
	return ret;
}
