#include "jobspec.h"

#include <ctype.h>
#include <string.h>

/* Limit of each numeric field, in thousandths of processors, megabytes or milliseconds. */
#define NUMBER_MAX 1000000000

const struct jobspec_names jobspec_record_names = {
	.payload = "payload",
	.steps = "steps",
	.repeats = "repeats",
	.first_due_ms = "first_due_ms",
	.interval_ms = "interval_ms",
	.count = "tasks",
	.cpu_milli = "cpu_milli",
	.memory_mb = "memory_mb",
	.accelerators = "accelerators",
	.estimate_ms = "estimate_ms",
	.after = "after_steps",
	.gang = "gang",
	.one_rack = "one_rack",
	.checkpoints = "checkpoints",
	.speculative = "copies",
	.long_running = "long_running",
	.filler = "filler",
	.label = "label",
	.data_rack = "data_rack",
	.image = "image",
	.spread_limit = "spread_limit",
	.latency_target_ms = "latency_target_ms",
	.max_unavailable = "max_unavailable",
};

bool jobspec_is_id(const char *text)
{
	size_t len = 0;

	while (isxdigit((unsigned char)text[len]))
		len++;
	return len == JOBSPEC_ID_LEN && text[len] == '\0';
}

static int set_field_error(struct err *err, const char *name, const char *want)
{
	return err_set(err, ERR_INVALID, "Correct the field and send the job again.",
		       "\"%s\" must be %s", name, want);
}

static int read_u64(const json_t *object, const char *name, uint64_t max, uint64_t *out,
		    struct err *err)
{
	const json_t *value = json_object_get(object, name);

	*out = 0;
	if (!value || json_is_null(value))
		return 0;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return set_field_error(err, name, "a non-negative integer within its limit");
	*out = (uint64_t)json_integer_value(value);
	return 0;
}

static int read_u32(const json_t *object, const char *name, uint64_t max, uint32_t *out,
		    struct err *err)
{
	uint64_t value;
	int ret = read_u64(object, name, max, &value, err);

	*out = (uint32_t)value;
	return ret;
}

static int read_bool(const json_t *object, const char *name, bool *out, struct err *err)
{
	const json_t *value = json_object_get(object, name);

	*out = json_is_true(value);
	if (value && !json_is_boolean(value) && !json_is_null(value))
		return set_field_error(err, name, "true or false");
	return 0;
}

static int read_text(TALLOC_CTX *mem, const json_t *object, const char *name, size_t max,
		     const char **out, struct err *err)
{
	const json_t *value = json_object_get(object, name);

	*out = "";
	if (!value || json_is_null(value))
		return 0;
	if (!json_is_string(value) || json_string_length(value) > max ||
	    strlen(json_string_value(value)) != json_string_length(value))
		return set_field_error(err, name, "a string within its size limit");
	*out = talloc_strdup(mem, json_string_value(value));
	return 0;
}

static int read_dependencies(TALLOC_CTX *mem, const json_t *object, const char *name, size_t index,
			     struct jobspec_step *step, struct err *err)
{
	const json_t *list = json_object_get(object, name);
	const json_t *entry;
	size_t i;

	if (!list || json_is_null(list))
		return 0;
	if (!json_is_array(list) || json_array_size(list) > JOBSPEC_STEPS_MAX)
		return set_field_error(err, name, "an array of step numbers");
	step->after = talloc_zero_array(mem, uint32_t, json_array_size(list) + 1);
	json_array_foreach(list, i, entry)
	{
		if (!json_is_integer(entry) || json_integer_value(entry) < 0 ||
		    (uint64_t)json_integer_value(entry) >= index)
			return set_field_error(err, name, "an array of numbers of earlier steps");
		step->after[step->after_count++] = (uint32_t)json_integer_value(entry);
	}
	return 0;
}

#define LABEL_MAX_BYTES 200 /* of the name of a label, a rack or an image */

static int read_step(TALLOC_CTX *mem, const json_t *json, const struct jobspec_names *names,
		     size_t index, struct jobspec_step *step, struct err *err)
{
	if (!json_is_object(json))
		return set_field_error(err, names->steps, "an array of objects");
	if (read_u32(json, names->count, JOBSPEC_TASKS_MAX, &step->count, err) ||
	    read_u32(json, names->cpu_milli, NUMBER_MAX, &step->cpu_milli, err) ||
	    read_u32(json, names->memory_mb, NUMBER_MAX, &step->memory_mb, err) ||
	    read_u32(json, names->accelerators, NUMBER_MAX, &step->accelerators, err) ||
	    read_u32(json, names->estimate_ms, NUMBER_MAX, &step->estimate_ms, err) ||
	    read_dependencies(mem, json, names->after, index, step, err) ||
	    read_bool(json, names->gang, &step->gang, err) ||
	    read_bool(json, names->one_rack, &step->one_rack, err) ||
	    read_bool(json, names->checkpoints, &step->checkpoints, err) ||
	    read_bool(json, names->speculative, &step->speculative, err) ||
	    read_bool(json, names->long_running, &step->long_running, err) ||
	    read_bool(json, names->filler, &step->filler, err) ||
	    read_text(mem, json, names->label, LABEL_MAX_BYTES, &step->label, err) ||
	    read_text(mem, json, names->data_rack, LABEL_MAX_BYTES, &step->data_rack, err) ||
	    read_text(mem, json, names->image, LABEL_MAX_BYTES, &step->image, err) ||
	    read_u32(json, names->spread_limit, NUMBER_MAX, &step->spread_limit, err) ||
	    read_u32(json, names->latency_target_ms, NUMBER_MAX, &step->latency_target_ms, err) ||
	    read_u32(json, names->max_unavailable, NUMBER_MAX, &step->max_unavailable, err))
		return -ERR_INVALID;
	if (step->count == 0)
		return set_field_error(err, names->count, "at least 1");
	return 0;
}

static int read_steps(struct jobspec *spec, const json_t *list, const struct jobspec_names *names,
		      struct err *err)
{
	const json_t *entry;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > JOBSPEC_STEPS_MAX)
		return set_field_error(err, names->steps, "an array of 1 to 256 steps");
	spec->steps = talloc_zero_array(spec, struct jobspec_step, json_array_size(list));
	json_array_foreach(list, i, entry)
	{
		spec->step_count = i + 1;
		if (read_step(spec, entry, names, i, &spec->steps[i], err))
			return -ERR_INVALID;
	}
	if (jobspec_task_count(spec) > JOBSPEC_TASKS_MAX)
		return set_field_error(err, names->count, "at most 10000 in total over all steps");
	return 0;
}

struct jobspec *jobspec_read(TALLOC_CTX *mem, const json_t *json, const struct jobspec_names *names,
			     struct err *err)
{
	struct jobspec *spec = talloc_zero(mem, struct jobspec);

	if (json_is_object(json) &&
	    !read_text(spec, json, names->payload, JOBSPEC_PAYLOAD_MAX, &spec->payload, err) &&
	    !read_u32(json, names->repeats, JOBSPEC_REPEATS_MAX, &spec->repeats, err) &&
	    !read_u64(json, names->first_due_ms, INT64_MAX / 2, &spec->first_due_ms, err) &&
	    !read_u64(json, names->interval_ms, NUMBER_MAX, &spec->interval_ms, err) &&
	    !read_steps(spec, json_object_get(json, names->steps), names, err))
		return spec;
	if (!json_is_object(json))
		err_set(err, ERR_INVALID, "Send the job as a JSON object.",
			"the job is not a JSON object");
	talloc_free(spec);
	return NULL;
}

static void put_u64(json_t *object, const char *name, uint64_t value)
{
	if (value)
		json_object_set_new(object, name, json_integer((json_int_t)value));
}

static void put_bool(json_t *object, const char *name, bool value)
{
	if (value)
		json_object_set_new(object, name, json_true());
}

static void put_text(json_t *object, const char *name, const char *value)
{
	if (*value)
		json_object_set_new(object, name, json_string(value));
}

static json_t *write_step(const struct jobspec_step *step)
{
	const struct jobspec_names *names = &jobspec_record_names;
	json_t *object = json_object();

	put_u64(object, names->count, step->count);
	put_u64(object, names->cpu_milli, step->cpu_milli);
	put_u64(object, names->memory_mb, step->memory_mb);
	put_u64(object, names->accelerators, step->accelerators);
	put_u64(object, names->estimate_ms, step->estimate_ms);
	put_bool(object, names->gang, step->gang);
	put_bool(object, names->one_rack, step->one_rack);
	put_bool(object, names->checkpoints, step->checkpoints);
	put_bool(object, names->speculative, step->speculative);
	put_bool(object, names->long_running, step->long_running);
	put_bool(object, names->filler, step->filler);
	put_text(object, names->label, step->label);
	put_text(object, names->data_rack, step->data_rack);
	put_text(object, names->image, step->image);
	put_u64(object, names->spread_limit, step->spread_limit);
	put_u64(object, names->latency_target_ms, step->latency_target_ms);
	put_u64(object, names->max_unavailable, step->max_unavailable);
	if (step->after_count > 0) {
		json_t *after = json_array();

		for (size_t i = 0; i < step->after_count; i++)
			json_array_append_new(after, json_integer(step->after[i]));
		json_object_set_new(object, names->after, after);
	}
	return object;
}

json_t *jobspec_write(const struct jobspec *spec)
{
	const struct jobspec_names *names = &jobspec_record_names;
	json_t *object = json_object();
	json_t *steps = json_array();

	put_text(object, names->payload, spec->payload);
	put_u64(object, names->repeats, spec->repeats);
	put_u64(object, names->first_due_ms, spec->first_due_ms);
	put_u64(object, names->interval_ms, spec->interval_ms);
	for (size_t i = 0; i < spec->step_count; i++)
		json_array_append_new(steps, write_step(&spec->steps[i]));
	json_object_set_new(object, names->steps, steps);
	return object;
}

size_t jobspec_task_count(const struct jobspec *spec)
{
	size_t count = 0;

	for (size_t i = 0; i < spec->step_count; i++)
		count += spec->steps[i].count;
	return count;
}

uint64_t jobspec_critical_path_ms(const struct jobspec *spec)
{
	uint64_t ends_ms[JOBSPEC_STEPS_MAX];
	uint64_t longest_ms = 0;

	for (size_t i = 0; i < spec->step_count; i++) {
		const struct jobspec_step *step = &spec->steps[i];
		uint64_t begin_ms = 0;

		for (size_t k = 0; k < step->after_count; k++) {
			if (ends_ms[step->after[k]] > begin_ms)
				begin_ms = ends_ms[step->after[k]];
		}
		ends_ms[i] = begin_ms + step->estimate_ms;
		if (ends_ms[i] > longest_ms)
			longest_ms = ends_ms[i];
	}
	return longest_ms;
}
