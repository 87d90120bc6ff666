#include "bench_input.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define MB_PER_GB 1024
#define MS_PER_S 1000.0
#define DEFAULT_CORES 128
#define DEFAULT_MEMORY_GB 512

static uint32_t get_u32(const json_t *object, const char *key, uint32_t fallback)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		return fallback;
	return (uint32_t)number;
}

static uint64_t get_ms(const json_t *object, const char *key)
{
	double seconds = json_number_value(json_object_get(object, key));

	return seconds > 0 ? (uint64_t)(seconds * MS_PER_S + 0.5) : 0;
}

static const char *get_text(TALLOC_CTX *mem, const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return talloc_strdup(mem, text ? text : "");
}

static enum place_within get_within(const json_t *object)
{
	const char *text = json_string_value(json_object_get(object, "within"));

	if (text && !strcmp(text, "rack"))
		return PLACE_WITHIN_RACK;
	if (text && !strcmp(text, "worker"))
		return PLACE_WITHIN_WORKER;
	return PLACE_WITHIN_ZONE;
}

static struct place_shape get_shape(const json_t *object)
{
	struct place_shape shape = {
		.members = get_u32(object, "members", 1),
		.accelerators = get_u32(object, "accelerators", 0),
		.cores = get_u32(object, "cores", 0),
		.memory_mb = get_u32(object, "memory_gb", 0) * MB_PER_GB,
		.within = get_within(object),
	};

	return shape;
}

static void add_worker(TALLOC_CTX *mem, struct bench_fleet *fleet, const json_t *worker,
		       const char *zone, const char *rack)
{
	struct place_worker_spec *spec;

	fleet->workers = talloc_realloc(mem, fleet->workers, struct place_worker_spec,
					fleet->worker_count + 1);
	spec = &fleet->workers[fleet->worker_count++];
	spec->name = get_text(mem, worker, "name");
	spec->zone = zone;
	spec->rack = rack;
	spec->accelerators = get_u32(worker, "accelerators", 0);
	spec->cores = get_u32(worker, "cores", DEFAULT_CORES);
	spec->memory_mb = get_u32(worker, "memory_gb", DEFAULT_MEMORY_GB) * MB_PER_GB;
	fleet->accelerators += spec->accelerators;
	if (spec->accelerators > fleet->largest_worker)
		fleet->largest_worker = spec->accelerators;
}

static void add_racks(TALLOC_CTX *mem, struct bench_fleet *fleet, const json_t *zone)
{
	const char *zone_name = get_text(mem, zone, "name");
	const json_t *rack;
	const json_t *worker;
	size_t i;
	size_t j;

	json_array_foreach(json_object_get(zone, "racks"), i, rack)
	{
		const char *rack_name = get_text(mem, rack, "name");

		json_array_foreach(json_object_get(rack, "workers"), j, worker)
			add_worker(mem, fleet, worker, zone_name, rack_name);
	}
}

static void add_organisation(TALLOC_CTX *mem, struct place_organisation_spec *spec,
			     const json_t *object)
{
	const json_t *guarantee = json_object_get(object, "guarantee");
	size_t count = json_is_array(guarantee) ? json_array_size(guarantee) : guarantee != NULL;
	struct place_shape *shapes = talloc_zero_array(mem, struct place_shape, count);

	for (size_t i = 0; i < count; i++) {
		const json_t *item =
			json_is_array(guarantee) ? json_array_get(guarantee, i) : guarantee;

		shapes[i] = get_shape(item);
	}
	spec->name = get_text(mem, object, "name");
	spec->guarantees = shapes;
	spec->guarantee_count = count;
	spec->priority = (int32_t)get_u32(object, "priority", 0);
	spec->quota_accelerators = get_u32(object, "quota_accelerators", 0);
	spec->share = 1;
}

int bench_fleet_load(TALLOC_CTX *mem, const char *path, struct bench_fleet *out, struct err *err)
{
	json_error_t problem;
	json_t *root = json_load_file(path, 0, &problem);
	const json_t *item;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (!root)
		return err_set(err, ERR_INVALID, "see docs/benchmarks.md for the format",
			       "%s:%d: %s", path, problem.line, problem.text);
	json_array_foreach(json_object_get(root, "zones"), i, item) add_racks(mem, out, item);
	out->organisation_count = json_array_size(json_object_get(root, "organisations"));
	out->organisations =
		talloc_zero_array(mem, struct place_organisation_spec, out->organisation_count);
	json_array_foreach(json_object_get(root, "organisations"), i, item)
		add_organisation(mem, &out->organisations[i], item);
	json_decref(root);
	if (!out->worker_count)
		return err_set(err, ERR_INVALID, "list at least one zone with a rack and a worker",
			       "%s lists no worker", path);
	return 0;
}

static const struct {
	const char *name;
	enum bench_event_kind kind;
} event_names[] = {
	{"submit", BENCH_SUBMIT},	    {"cancel", BENCH_CANCEL},
	{"worker_down", BENCH_WORKER_DOWN}, {"worker_up", BENCH_WORKER_UP},
	{"worker_bad", BENCH_WORKER_BAD},   {"worker_good", BENCH_WORKER_GOOD},
};

static int get_kind(const json_t *object, enum bench_event_kind *out)
{
	const char *name = json_string_value(json_object_get(object, "event"));

	for (size_t i = 0; name && i < sizeof(event_names) / sizeof(event_names[0]); i++) {
		if (!strcmp(name, event_names[i].name)) {
			*out = event_names[i].kind;
			return 0;
		}
	}
	return -ERR_INVALID;
}

static void read_submission(TALLOC_CTX *mem, const json_t *object, struct bench_event *event)
{
	struct place_job_spec *job = &event->job;

	job->id = get_text(mem, object, "id");
	job->organisation = get_text(mem, object, "organisation");
	job->class_name = get_text(mem, object, "class");
	job->shape = get_shape(object);
	job->declared_ms = get_ms(object, "declared_s");
	job->submitted_ms = event->time_ms;
	job->urgent = json_is_true(json_object_get(object, "urgent"));
	job->checkpoint = json_is_true(json_object_get(object, "checkpoint"));
	job->restartable = !json_is_false(json_object_get(object, "restartable"));
	event->actual_ms = get_ms(object, "actual_s");
	event->never_runs = json_is_true(json_object_get(object, "never_runs"));
}

static int read_event(TALLOC_CTX *mem, const json_t *object, struct bench_event *event)
{
	memset(event, 0, sizeof(*event));
	event->time_ms = get_ms(object, "t");
	if (get_kind(object, &event->kind))
		return -ERR_INVALID;
	if (event->kind == BENCH_SUBMIT)
		read_submission(mem, object, event);
	else
		event->name = get_text(mem, object, event->kind == BENCH_CANCEL ? "id" : "worker");
	return 0;
}

static int read_lines(TALLOC_CTX *mem, FILE *file, const char *path, struct bench_workload *out,
		      struct err *err)
{
	size_t allocated = 0;
	unsigned int line = 0;
	json_error_t problem;
	json_t *object;
	int c;

	while ((c = fgetc(file)) != EOF) {
		line++;
		if (c == '\n')
			continue;
		ungetc(c, file);
		object = json_loadf(file, JSON_DISABLE_EOF_CHECK, &problem);
		if (!object)
			return err_set(err, ERR_INVALID, "write one JSON object a line",
				       "%s:%u: %s", path, line, problem.text);
		if (out->event_count == allocated) {
			allocated = allocated ? allocated * 2 : 1024;
			out->events =
				talloc_realloc(mem, out->events, struct bench_event, allocated);
		}
		if (read_event(mem, object, &out->events[out->event_count])) {
			json_decref(object);
			return err_set(err, ERR_INVALID, "see docs/benchmarks.md for the events",
				       "%s:%u: unknown event", path, line);
		}
		if (out->event_count && out->events[out->event_count].time_ms <
						out->events[out->event_count - 1].time_ms) {
			json_decref(object);
			return err_set(err, ERR_INVALID, "sort the file by t",
				       "%s:%u: event is earlier than the previous one", path, line);
		}
		out->event_count++;
		json_decref(object);
	}
	return 0;
}

FILE *bench_output_open(const char *path, struct err *err)
{
	FILE *file = fopen(path, "w");

	if (!file)
		err_set(err, ERR_SYSTEM, "choose a folder that can be written",
			"cannot write %s: %s", path, strerror(errno));
	return file;
}

int bench_output_close(FILE *file, const char *path, struct err *err)
{
	/* fclose() reports only errors of what it writes itself. */
	bool failed = ferror(file);

	if (!fclose(file) && !failed)
		return 0;
	return err_set(err, ERR_SYSTEM, "choose a folder with enough space", "cannot write %s",
		       path);
}

int bench_workload_load(TALLOC_CTX *mem, const char *path, struct bench_workload *out,
			struct err *err)
{
	FILE *file = fopen(path, "r");
	int ret;

	memset(out, 0, sizeof(*out));
	if (!file)
		return err_set(err, ERR_NOT_FOUND, "make one with jaycourse-bench workload",
			       "cannot open %s: %s", path, strerror(errno));
	ret = read_lines(mem, file, path, out, err);
	fclose(file);
	return ret;
}
