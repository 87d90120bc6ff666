#include "config.h"

#include "config_internal.h"
#include "util.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define FILES_MAX 2000
#define FILE_NAME_MAX 128
#define PROBLEMS_MAX 1000
/* The whole folder has to fit into one value of the store, with its JSON quoting. */
#define TOTAL_MAX_BYTES (700 * 1024)

void config_problem_add(struct config_merge *m, const char *field, const char *message,
			const char *remedy)
{
	struct config_problems *p = m->problems;

	if (p->count >= PROBLEMS_MAX)
		return;
	p->items = talloc_realloc(m->mem, p->items, struct config_problem, p->count + 1);
	p->items[p->count++] = (struct config_problem){
		.file = talloc_strdup(m->mem, m->file),
		.line = m->text ? config_line(m->text, field) : 0,
		.field = talloc_strdup(m->mem, field),
		.message = talloc_strdup(m->mem, message),
		.remedy = talloc_strdup(m->mem, remedy),
	};
}

static void add_syntax_problem(struct config_merge *m, const json_error_t *error)
{
	size_t before = m->problems->count;

	config_problem_add(m, "", error->text, "Correct the JSON syntax.");
	if (m->problems->count > before && error->line > 0)
		m->problems->items[before].line = (unsigned int)error->line;
}

static bool file_name_ok(const char *name)
{
	size_t len = strlen(name);

	return len > strlen(".json") && len <= FILE_NAME_MAX && !strchr(name, '/') &&
	       !strcmp(name + len - strlen(".json"), ".json");
}

static void read_file(struct config_merge *m, const char *name, const json_t *content)
{
	json_error_t error;
	json_t *decision;

	m->file = name;
	m->text = json_string_value(content);
	if (!file_name_ok(name))
		config_problem_add(m, "", "the file's name is not usable",
				   "End it in \".json\", with at most 128 bytes and no \"/\".");
	if (!m->text) {
		config_problem_add(m, "", "the file's content is not a text", "Send it as text.");
		return;
	}
	decision = json_loadb(m->text, json_string_length(content), JSON_REJECT_DUPLICATES, &error);
	if (!decision) {
		add_syntax_problem(m, &error);
		return;
	}
	if (json_is_object(decision))
		config_read_decision(m, decision);
	else
		config_problem_add(m, "", "the file does not hold an object",
				   "Write {\"decision\": KIND, \"name\": NAME, …}.");
	json_decref(decision);
}

static int by_name(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Names in order, in an array owned by @mem. */
static const char **sorted_names(TALLOC_CTX *mem, const json_t *files, size_t *count)
{
	const char **names = talloc_zero_array(mem, const char *, json_object_size(files) + 1);
	const char *name;
	json_t *content;

	*count = 0;
	json_object_foreach((json_t *)files, name, content) names[(*count)++] = name;
	qsort(names, *count, sizeof(names[0]), by_name);
	return names;
}

static void check_sizes(struct config_merge *m, const json_t *files)
{
	size_t total = 0;
	const char *name;
	json_t *content;

	json_object_foreach((json_t *)files, name, content) total +=
		strlen(name) + json_string_length(content);
	if (json_object_size(files) > FILES_MAX)
		config_problem_add(m, "", "the folder holds more than 2000 files",
				   "Merge decisions that are no longer changed apart.");
	if (total > TOTAL_MAX_BYTES)
		config_problem_add(m, "", "the folder holds more than 700 KB",
				   "Remove decisions that are no longer needed.");
}

static void read_files(struct config_merge *m)
{
	size_t count;
	const char **names = sorted_names(m->config, m->config->files, &count);

	for (size_t i = 0; i < count; i++)
		read_file(m, names[i], json_object_get(m->config->files, names[i]));
	config_check(m);
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

static void set_defaults(struct config *c)
{
	c->limits = (struct config_limits){
		.body_bytes = 1024 * 1024,
		.queue_total = 10000,
		.retry_percent = 10,
		.retry_per_s = 10,
		.eject_percent = 50,
		.job_deadline_ms = 10000,
		.max_members = 32,
	};
	c->policy = (struct place_policy){
		.weight_completion = 0.5,
		.weight_fragmentation = 0.5,
		.give_back_idle_ms = 600000,
		.give_back_return_ms = 300000,
		.reclaim_grace_ms = 30000,
	};
}

static int config_destructor(struct config *c)
{
	json_decref(c->files);
	return 0;
}

struct config *config_parse(TALLOC_CTX *mem, json_t *files, struct config_problems *problems)
{
	struct config *c = talloc_zero(mem, struct config);
	struct config_merge m = {.mem = mem, .config = c, .problems = problems, .file = ""};

	*problems = (struct config_problems){0};
	set_defaults(c);
	/* A copy, so that a caller's later change of its object does not show here. */
	c->files = json_is_object(files) ? json_copy(files) : json_object();
	talloc_set_destructor(c, config_destructor);
	if (!json_is_object(files))
		config_problem_add(&m, "", "the files are not an object of name to content",
				   "Send {\"NAME.json\": \"content\", …}.");
	check_sizes(&m, c->files);
	if (problems->count == 0)
		read_files(&m);
	if (problems->count > 0) {
		talloc_free(c);
		return NULL;
	}
	c->digest = config_digest(c, c->files);
	return c;
}

const struct config_organisation *config_organisation(const struct config *c, const char *name)
{
	for (size_t i = 0; i < c->organisation_count; i++) {
		if (!strcmp(c->organisations[i].name, name))
			return &c->organisations[i];
	}
	return NULL;
}

const struct config_class *config_class(const struct config *c, const char *name)
{
	for (size_t i = 0; i < c->class_count; i++) {
		if (!strcmp(c->classes[i].name, name))
			return &c->classes[i];
	}
	return NULL;
}

const struct config_service *config_service(const struct config *c, const char *name)
{
	for (size_t i = 0; i < c->service_count; i++) {
		if (!strcmp(c->services[i].name, name))
			return &c->services[i];
	}
	return NULL;
}

bool config_drained(const struct config *c, const char *target, const char *rack, const char *zone)
{
	for (size_t i = 0; i < c->drain_count; i++) {
		const struct config_drain *drain = &c->drains[i];
		const char *name = drain->kind[0] == 't'   ? target
				   : drain->kind[0] == 'r' ? rack
							   : zone;

		if (name && !strcmp(name, drain->name))
			return true;
	}
	return false;
}
