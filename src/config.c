#include "config.h"

#include "config_internal.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define FILES_MAX 2000
#define FILE_NAME_MAX 128
#define PROBLEMS_MAX 1000
/* The whole folder, quoted as JSON, has to fit into one value of the store (1 MB). */
#define TOTAL_MAX_BYTES (700 * 1024)

void config_problem_add(struct config_merge *merge, const char *field, const char *message,
			const char *remedy)
{
	struct config_problems *problems = merge->problems;

	if (problems->count >= PROBLEMS_MAX)
		return;
	problems->items = talloc_realloc(merge->mem, problems->items, struct config_problem,
					 problems->count + 1);
	problems->items[problems->count++] = (struct config_problem){
		.file = talloc_strdup(merge->mem, merge->file),
		.line = merge->text ? config_field_line(merge->text, field) : 0,
		.field = talloc_strdup(merge->mem, field),
		.message = talloc_strdup(merge->mem, message),
		.remedy = talloc_strdup(merge->mem, remedy),
	};
}

static void add_syntax_problem(struct config_merge *merge, const json_error_t *error)
{
	size_t before = merge->problems->count;

	config_problem_add(merge, "", error->text, "Correct the JSON syntax.");
	if (merge->problems->count > before && error->line > 0)
		merge->problems->items[before].line = (unsigned int)error->line;
}

static bool file_name_ok(const char *name)
{
	size_t len = strlen(name);

	return len > strlen(".json") && len <= FILE_NAME_MAX && !strchr(name, '/') &&
	       !strcmp(name + len - strlen(".json"), ".json");
}

static void read_file(struct config_merge *merge, const char *name, const json_t *content)
{
	json_error_t error;
	json_t *decision;

	merge->file = name;
	merge->text = json_string_value(content);
	if (!file_name_ok(name))
		config_problem_add(merge, "", "the file's name is not valid",
				   "End it in \".json\", with at most 128 bytes and no \"/\".");
	if (!merge->text) {
		config_problem_add(merge, "", "the file's content is not a string",
				   "Send it as a string.");
		return;
	}
	decision = json_loadb(merge->text, json_string_length(content), JSON_REJECT_DUPLICATES,
			      &error);
	if (!decision) {
		add_syntax_problem(merge, &error);
		return;
	}
	if (json_is_object(decision))
		config_read_decision(merge, decision);
	else
		config_problem_add(merge, "", "the file does not hold an object",
				   "Write {\"decision\": KIND, \"name\": NAME, …}.");
	json_decref(decision);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the file names in sorted order, in an array owned by @mem. */
static const char **sorted_names(TALLOC_CTX *mem, const json_t *files, size_t *count)
{
	const char **names = talloc_zero_array(mem, const char *, json_object_size(files) + 1);
	const char *name;
	json_t *content;

	*count = 0;
	json_object_foreach((json_t *)files, name, content) names[(*count)++] = name;
	qsort(names, *count, sizeof(names[0]), compare_names);
	return names;
}

static void check_sizes(struct config_merge *merge, const json_t *files)
{
	size_t total = 0;
	const char *name;
	json_t *content;

	json_object_foreach((json_t *)files, name, content) total +=
		strlen(name) + json_string_length(content);
	if (json_object_size(files) > FILES_MAX)
		config_problem_add(merge, "", "the folder holds more than 2000 files",
				   "Merge files that set fields of the same decision.");
	if (total > TOTAL_MAX_BYTES)
		config_problem_add(merge, "", "the folder holds more than 700 KB",
				   "Remove decisions that are no longer needed.");
}

static void read_files(struct config_merge *merge)
{
	size_t count;
	const char **names = sorted_names(merge->config, merge->config->files, &count);

	for (size_t i = 0; i < count; i++)
		read_file(merge, names[i], json_object_get(merge->config->files, names[i]));
	config_check(merge);
}

char *config_digest(TALLOC_CTX *mem, const json_t *files)
{
	TALLOC_CTX *scratch = talloc_new(NULL);
	uint64_t hash = 0;
	size_t count;
	const char **names = sorted_names(scratch, files, &count);

	for (size_t i = 0; i < count; i++) {
		const json_t *content = json_object_get(files, names[i]);
		const char *text = json_string_value(content);

		hash = util_hash64(names[i], strlen(names[i]), hash);
		hash = util_hash64(text ? text : "", json_string_length(content), hash);
	}
	talloc_free(scratch);
	return talloc_asprintf(mem, "%016" PRIx64, hash);
}

static void set_defaults(struct config *config)
{
	config->limits = (struct config_limits){
		.body_bytes = 1024 * 1024,
		.queue_total = 10000,
		.retry_percent = 10,
		.retry_per_s = 10,
		.eject_percent = 50,
		.job_deadline_ms = 10000,
		.max_members = 32,
	};
	config->policy = (struct place_policy){
		.weight_completion = 0.5,
		.weight_fragmentation = 0.5,
		.give_back_idle_ms = 600000,
		.give_back_return_ms = 300000,
		.reclaim_grace_ms = 30000,
	};
}

static int config_destructor(struct config *config)
{
	json_decref(config->files);
	return 0;
}

struct config *config_parse(TALLOC_CTX *mem, json_t *files, struct config_problems *problems)
{
	struct config *config = talloc_zero(mem, struct config);
	struct config_merge merge = {
		.mem = mem, .config = config, .problems = problems, .file = ""};

	*problems = (struct config_problems){0};
	set_defaults(config);
	/* A copy, so that a caller that changes its object later does not change this one. */
	config->files = json_is_object(files) ? json_copy(files) : json_object();
	talloc_set_destructor(config, config_destructor);
	if (!json_is_object(files))
		config_problem_add(&merge, "", "the files are not an object of name to content",
				   "Send {\"NAME.json\": \"content\", …}.");
	check_sizes(&merge, config->files);
	if (problems->count == 0)
		read_files(&merge);
	if (problems->count > 0) {
		talloc_free(config);
		return NULL;
	}
	config->digest = config_digest(config, config->files);
	return config;
}

const struct config_organisation *config_organisation(const struct config *config, const char *name)
{
	for (size_t i = 0; i < config->organisation_count; i++) {
		if (!strcmp(config->organisations[i].name, name))
			return &config->organisations[i];
	}
	return NULL;
}

const struct config_class *config_class(const struct config *config, const char *name)
{
	for (size_t i = 0; i < config->class_count; i++) {
		if (!strcmp(config->classes[i].name, name))
			return &config->classes[i];
	}
	return NULL;
}

const struct config_service *config_service(const struct config *config, const char *name)
{
	for (size_t i = 0; i < config->service_count; i++) {
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	}
	return NULL;
}

bool config_drained(const struct config *config, const char *target, const char *rack,
		    const char *zone)
{
	for (size_t i = 0; i < config->drain_count; i++) {
		const struct config_drain *drain = &config->drains[i];
		const char *name = drain->kind[0] == 't'   ? target
				   : drain->kind[0] == 'r' ? rack
							   : zone;

		if (name && !strcmp(name, drain->name))
			return true;
	}
	return false;
}
