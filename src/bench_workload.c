#include "bench_workload.h"
#include "bench_input.h"
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
#define BURST_FACTOR 6.0   /* arrival rate in a burst relative to the rate outside */
#define BURST_SHARE 0.15   /* share of the time in bursts */
#define BURST_MEAN_S 900.0 /* mean length of a burst */
#define CANCEL_SHARE 0.02  /* share of the jobs that are cancelled */
#define CANCEL_WAVES_PER_DAY 2
#define CANCEL_WAVE_JOBS 12
#define NEVER_RUNS_SHARE 0.005
#define DECLARED_SPREAD 0.9 /* standard deviation of log(declared / actual run time) */
#define TEXT_MAX 64

/* One class of work: its share of the load, shape and run time. */
struct work_class {
	const char *name;
	double share; /* of the requested accelerator time; unused without accelerators */
	uint32_t members[4];
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_gb;
	double median_s;
	double spread; /* standard deviation of the logarithm of the run time */
	bool urgent;
	bool checkpoint;
	const char *within;
};

struct organisation_class {
	uint32_t count;
	uint32_t members; /* of the guaranteed shape; 0: no guarantee */
	uint32_t accelerators;
	double weight; /* relative rate of submissions of each organisation */
};

struct size_preset {
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

static const struct size_preset size_presets[] = {
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
	const struct size_preset *size;
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

static double random_exponential(struct util_rng *rng, double mean)
{
	return -mean * log(1.0 - util_rng_unit(rng));
}

static double random_normal(struct util_rng *rng)
{
	double radius = sqrt(-2.0 * log(1.0 - util_rng_unit(rng)));

	return radius * cos(2.0 * G_PI * util_rng_unit(rng));
}

static void add_line(struct generator *generator, double time_s, json_t *event)
{
	struct line line = {.time_s = time_s, .order = generator->lines->len};

	line.text = json_dumps(event, JSON_COMPACT | JSON_REAL_PRECISION(9));
	json_decref(event);
	g_array_append_val(generator->lines, line);
}

static json_t *worker_json(const struct generator *generator, const char *zone, uint32_t number)
{
	const struct size_preset *size = generator->size;
	uint32_t large = size->large_workers * generator->options->scale;
	uint32_t small = size->small_workers * generator->options->scale;
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

static uint32_t worker_count(const struct generator *generator)
{
	return (generator->size->large_workers + generator->size->small_workers +
		generator->size->plain_workers) *
	       generator->options->scale;
}

/* Workers are assigned to the zones in turn, so that each zone gets a share of every kind. */
static json_t *zone_json(const struct generator *generator, uint32_t zone)
{
	const char *name = generator->size->zones[zone];
	json_t *racks = json_array();
	json_t *workers = NULL;
	uint32_t in_zone = 0;

	for (uint32_t i = zone; i < worker_count(generator); i += generator->size->zone_count) {
		if (in_zone % generator->size->per_rack == 0) {
			char rack[TEXT_MAX];

			workers = json_array();
			snprintf(rack, sizeof(rack), "%s-r%02u", name,
				 in_zone / generator->size->per_rack);
			json_array_append_new(
				racks, json_pack("{s:s, s:o}", "name", rack, "workers", workers));
		}
		json_array_append_new(workers, worker_json(generator, name, i));
		in_zone++;
	}
	return json_pack("{s:s, s:o}", "name", name, "racks", racks);
}

static json_t *organisations_json(const struct generator *generator)
{
	json_t *list = json_array();

	for (size_t c = 0; c < 4; c++) {
		const struct organisation_class *class = &generator->size->organisations[c];

		for (uint32_t i = 0; i < class->count * generator->options->scale; i++) {
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

static int write_fleet(const struct generator *generator, struct err *err)
{
	json_t *zones = json_array();
	json_t *root;
	int ret;

	for (uint32_t i = 0; i < generator->size->zone_count; i++)
		json_array_append_new(zones, zone_json(generator, i));
	root = json_pack("{s:o, s:o}", "zones", zones, "organisations",
			 organisations_json(generator));
	ret = json_dump_file(root, generator->options->fleet_path, JSON_INDENT(1));
	json_decref(root);
	if (ret)
		return err_set(err, ERR_SYSTEM, "choose a folder that can be written",
			       "cannot write %s: %s", generator->options->fleet_path,
			       strerror(errno));
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

static void pick_organisation_name(struct generator *generator, char *out, size_t len)
{
	const struct organisation_class *classes = generator->size->organisations;
	double total = 0;
	double at;

	for (size_t c = 0; c < 4; c++)
		total += classes[c].weight * classes[c].count;
	at = util_rng_unit(&generator->rng) * total;
	for (size_t c = 0; c < 4; c++) {
		double weight = classes[c].weight * classes[c].count;

		if (at < weight || c == 3) {
			uint64_t number = util_rng_below(
				&generator->rng, classes[c].count * generator->options->scale);

			snprintf(out, len, "org-%zu-%03" PRIu64, c, number);
			return;
		}
		at -= weight;
	}
}

static void add_cancel(struct generator *generator, double time_s, uint64_t job)
{
	char id[TEXT_MAX];

	snprintf(id, sizeof(id), "job-%06" PRIu64, job);
	add_line(generator, time_s,
		 json_pack("{s:f, s:s, s:s}", "t", time_s, "event", "cancel", "id", id));
}

static void add_job(struct generator *generator, const struct work_class *class, double time_s)
{
	double actual_s = class->median_s * exp(class->spread * random_normal(&generator->rng));
	double declared_s = actual_s * exp(DECLARED_SPREAD * random_normal(&generator->rng));
	uint32_t members = class->members[util_rng_below(&generator->rng, 4)];
	bool never = !class->urgent && util_rng_unit(&generator->rng) < NEVER_RUNS_SHARE;
	char organisation[TEXT_MAX];
	char id[TEXT_MAX];

	pick_organisation_name(generator, organisation, sizeof(organisation));
	snprintf(id, sizeof(id), "job-%06" PRIu64, generator->next_job);
	add_line(generator, time_s,
		 json_pack("{s:f, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:s, s:f, s:f, s:b, "
			   "s:b, s:b}",
			   "t", time_s, "event", "submit", "id", id, "organisation", organisation,
			   "class", class->name, "members", (int)members, "accelerators",
			   (int)class->accelerators, "cores", (int)class->cores, "memory_gb",
			   (int)class->memory_gb, "within", class->within, "declared_s",
			   ceil(declared_s), "actual_s", ceil(actual_s), "urgent", class->urgent,
			   "checkpoint", class->checkpoint, "never_runs", never));
	if (util_rng_unit(&generator->rng) < CANCEL_SHARE)
		add_cancel(generator, time_s + random_exponential(&generator->rng, actual_s),
			   generator->next_job);
	generator->next_job++;
}

/* Adds jobs in alternating bursts and quiet periods with a mean rate of @per_s. */
static void add_class_jobs(struct generator *generator, const struct work_class *class,
			   double per_s)
{
	double quiet = per_s / (1.0 + BURST_SHARE * (BURST_FACTOR - 1.0));
	double end = generator->options->hours * SECONDS_PER_HOUR;
	double quiet_mean_s = BURST_MEAN_S * (1.0 - BURST_SHARE) / BURST_SHARE;
	bool burst = false;
	double phase_end = random_exponential(&generator->rng, quiet_mean_s);
	double at = 0;

	while (at < end) {
		double rate = burst ? quiet * BURST_FACTOR : quiet;
		double next = at + random_exponential(&generator->rng, 1.0 / rate);

		if (next > phase_end) {
			at = phase_end;
			burst = !burst;
			phase_end += random_exponential(&generator->rng,
							burst ? BURST_MEAN_S : quiet_mean_s);
			continue;
		}
		at = next;
		if (at < end)
			add_job(generator, class, at);
	}
}

/*
 * Mean number of running tasks without accelerators at scale 1, as part of the 6,200 running tasks
 * of the two-year size.
 */
#define PLAIN_TASKS_RUNNING 5000.0

static void add_all_jobs(struct generator *generator)
{
	for (size_t i = 0; i < 6 && generator->size->classes[i].name; i++) {
		const struct work_class *class = &generator->size->classes[i];
		double work = class_members(class) * class_mean_s(class);

		if (class->accelerators)
			add_class_jobs(generator, class,
				       generator->options->demand * class->share *
					       generator->capacity / (work * class->accelerators));
		else
			add_class_jobs(generator, class,
				       PLAIN_TASKS_RUNNING * generator->options->scale / work);
	}
}

static void add_worker_event(struct generator *generator, double time_s, const char *event,
			     const char *worker)
{
	add_line(generator, time_s,
		 json_pack("{s:f, s:s, s:s}", "t", time_s, "event", event, "worker", worker));
}

static void add_outages(struct generator *generator, double per_day, double mean_s,
			const char *from, const char *to)
{
	double end = generator->options->hours * SECONDS_PER_HOUR;
	double rate = per_day * generator->options->scale / (24.0 * SECONDS_PER_HOUR);
	double at = rate > 0 ? random_exponential(&generator->rng, 1.0 / rate) : end;

	while (at < end) {
		uint32_t number =
			(uint32_t)util_rng_below(&generator->rng, worker_count(generator));
		char name[TEXT_MAX];

		snprintf(name, sizeof(name), "%s-w%04u",
			 generator->size->zones[number % generator->size->zone_count], number);
		add_worker_event(generator, at, from, name);
		add_worker_event(generator, at + random_exponential(&generator->rng, mean_s), to,
				 name);
		at += random_exponential(&generator->rng, 1.0 / rate);
	}
}

static void add_cancel_waves(struct generator *generator)
{
	unsigned int waves =
		(unsigned int)ceil(CANCEL_WAVES_PER_DAY * generator->options->hours / 24.0);

	for (unsigned int i = 0; i < waves; i++) {
		double at = util_rng_unit(&generator->rng) * generator->options->hours *
			    SECONDS_PER_HOUR;

		for (int j = 0; j < CANCEL_WAVE_JOBS && generator->next_job; j++)
			add_cancel(generator, at,
				   util_rng_below(&generator->rng, generator->next_job));
	}
}

static int compare_lines(gconstpointer a, gconstpointer b)
{
	const struct line *x = a;
	const struct line *y = b;

	if (x->time_s != y->time_s)
		return x->time_s < y->time_s ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static int write_workload(struct generator *generator, struct err *err)
{
	const char *path = generator->options->workload_path;
	FILE *file = bench_output_open(path, err);

	if (!file)
		return -ERR_SYSTEM;
	g_array_sort(generator->lines, compare_lines);
	for (guint i = 0; i < generator->lines->len; i++)
		fprintf(file, "%s\n", g_array_index(generator->lines, struct line, i).text);
	return bench_output_close(file, path, err);
}

static const struct size_preset *find_size(const char *name)
{
	for (size_t i = 0; i < sizeof(size_presets) / sizeof(size_presets[0]); i++) {
		if (!strcmp(size_presets[i].name, name))
			return &size_presets[i];
	}
	return NULL;
}

int bench_workload_write(const struct bench_workload_options *options, struct err *err)
{
	struct bench_workload_options resolved = *options;
	struct generator generator = {.options = &resolved, .rng.state = options->seed};
	int ret;

	generator.size = find_size(options->size);
	if (!generator.size)
		return err_set(err, ERR_INVALID, "use nefeli, sonhario or two-year",
			       "unknown size %s", options->size);
	if (resolved.hours <= 0)
		resolved.hours = generator.size->hours;
	generator.capacity = (generator.size->large_workers * 8 + generator.size->small_workers) *
			     resolved.scale;
	generator.lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	add_all_jobs(&generator);
	add_cancel_waves(&generator);
	add_outages(&generator, generator.size->failures_per_day, 3600, "worker_down", "worker_up");
	add_outages(&generator, generator.size->restarts_per_day, 120, "worker_down", "worker_up");
	add_outages(&generator, generator.size->bad_per_day, 7200, "worker_bad", "worker_good");
	ret = write_fleet(&generator, err);
	if (!ret)
		ret = write_workload(&generator, err);
	for (guint i = 0; i < generator.lines->len; i++)
		free(g_array_index(generator.lines, struct line, i).text);
	g_array_free(generator.lines, TRUE);
	return ret;
}
