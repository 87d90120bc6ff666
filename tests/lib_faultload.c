#include "lib_faultload.h"
#include "util.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX 6
#define PAUSE_US 20000
#define LONG_RUN_MS \
	12000 /* shorter jobs would not show that a partial gang runs for more than 4 s */
#define WATCH_PAUSE_US 50000
#define WATCH_TIMEOUT_MS 500

struct accepted {
	uint64_t revision;
	uint64_t at_ms;
};

struct operator_state {
	struct faultload *load;
	unsigned int index;
	unsigned int number;
	unsigned int last_accepted; /* number of the last change answered with 200 */
};

struct faultload {
	struct cluster *cluster;
	pthread_mutex_t lock; /* guards the cluster's addresses and the fields below */
	GPtrArray *jobs;
	GArray *accepted;
	uint64_t available_since[CLUSTER_ENTRIES_MAX];
	uint64_t seen[CLUSTER_ENTRIES_MAX]; /* highest revision reported since the start */
	struct faultload_config result;
	unsigned int burst;
	GRand *rand; /* used by the job thread only */
	unsigned int serial;
	char prefix[24];
	atomic_bool stop;
	atomic_bool stop_watch;
	bool joined;
	bool watch_joined;
	struct operator_state operators[FAULTLOAD_OPERATORS];
	pthread_t operator_threads[FAULTLOAD_OPERATORS];
	pthread_t job_thread;
	pthread_t watch_thread;
};

static const char *const organisations[] = {"amorgos-growers", "syros-cooperative",
					    "paros-orchards"};
static const struct {
	const char *name;
	bool idempotent;
} classes[] = {{"yield-forecast", true}, {"mapping-run", false}, {"plain-run", true}};

void faultload_lock(struct faultload *load)
{
	pthread_mutex_lock(&load->lock);
}

void faultload_unlock(struct faultload *load)
{
	pthread_mutex_unlock(&load->lock);
}

/* Copies the cluster, with another token, so that no HTTP call is made under the lock. */
static struct cluster *copy_cluster(struct faultload *load, const char *token)
{
	struct cluster *copy = g_new(struct cluster, 1);

	faultload_lock(load);
	*copy = *load->cluster;
	faultload_unlock(load);
	snprintf(copy->token, sizeof(copy->token), "%s", token);
	return copy;
}

static int try_submit(struct faultload *load, struct faultload_job *job, unsigned int entry,
		      const char *key, const char *body)
{
	struct cluster *cluster = copy_cluster(load, job->token);
	char id[32];
	int status = cluster_submit(cluster, entry, key, body, id);

	if (status == 202 || status == 200) {
		job->duplicate_id = job->duplicate_id || (job->id[0] && strcmp(job->id, id) != 0);
		snprintf(job->id, sizeof(job->id), "%s", id);
	}
	g_free(cluster);
	return status;
}

static void submit_job(struct faultload *load, bool cancel)
{
	struct faultload_job *job = g_new0(struct faultload_job, 1);
	unsigned int class = (unsigned int)g_rand_int_range(load->rand, 0, 3);
	unsigned int entry = (unsigned int)g_rand_int_range(load->rand, 0, 2);
	bool again = g_rand_int_range(load->rand, 0, 5) == 0;
	bool is_long = g_rand_int_range(load->rand, 0, 5) == 0;
	char body[512];
	char key[64];
	int status = 0;

	job->class_name = classes[class].name;
	job->idempotent = classes[class].idempotent;
	job->members = (unsigned int)g_rand_int_range(load->rand, 1, 4);
	snprintf(job->token, sizeof(job->token), "%s-token",
		 organisations[g_rand_int_range(load->rand, 0, 3)]);
	snprintf(key, sizeof(key), "%s-%u", load->prefix, load->serial++);
	snprintf(body, sizeof(body),
		 "{\"class\":\"%s\",\"members\":%u,\"accelerators\":%d,\"cores\":4,"
		 "\"memory_gb\":8,\"within\":\"zone\",\"declared_s\":3,"
		 "\"payload\":{\"run_ms\":%d}}",
		 job->class_name, job->members, g_rand_int_range(load->rand, 1, 5),
		 is_long ? LONG_RUN_MS : g_rand_int_range(load->rand, 300, 4000));
	for (unsigned int i = 0; i < ATTEMPTS_MAX && status != 202; i++)
		status = try_submit(load, job, (entry + i) % load->cluster->entry_count, key, body);
	/* A client that lost the answer submits again under the same key, to another entry. */
	if (again)
		try_submit(load, job, (entry + 1) % load->cluster->entry_count, key, body);
	if (!job->id[0]) {
		g_free(job);
		return;
	}
	job->cancelled = cancel;
	faultload_lock(load);
	g_ptr_array_add(load->jobs, job);
	faultload_unlock(load);
}

static void cancel_job(struct faultload *load, const struct faultload_job *job)
{
	struct cluster *cluster = copy_cluster(load, job->token);
	char authorization[128];
	char url[160];
	const char *const headers[] = {authorization, NULL};
	int status = 0;

	snprintf(authorization, sizeof(authorization), "Authorization: Bearer %s", job->token);
	for (unsigned int i = 0; i < ATTEMPTS_MAX && status != 200 && status != 202; i++) {
		struct http_reply reply;

		snprintf(url, sizeof(url), "http://%s/v1/jobs/%s",
			 cluster->entries[i % cluster->entry_count].address[0], job->id);
		reply = http_call("DELETE", url, headers, NULL, 5000);
		status = reply.status;
		http_reply_free(&reply);
	}
	g_free(cluster);
}

static void submit_burst(struct faultload *load, unsigned int count)
{
	guint first;

	faultload_lock(load);
	first = load->jobs->len;
	faultload_unlock(load);
	for (unsigned int i = 0; i < count; i++)
		submit_job(load, i % 2 == 0);
	for (guint i = first; i < load->jobs->len; i++) {
		const struct faultload_job *job = g_ptr_array_index(load->jobs, i);

		if (job->cancelled)
			cancel_job(load, job);
	}
}

static void *job_loop(void *ctx)
{
	struct faultload *load = ctx;

	while (!atomic_load(&load->stop)) {
		bool cancel = g_rand_int_range(load->rand, 0, 10) == 0;
		unsigned int burst;
		guint before = load->jobs->len;

		submit_job(load, cancel);
		if (cancel && load->jobs->len > before)
			cancel_job(load, g_ptr_array_index(load->jobs, before));
		faultload_lock(load);
		burst = load->burst;
		load->burst = 0;
		faultload_unlock(load);
		submit_burst(load, burst);
		for (int i = g_rand_int_range(load->rand, 5, 25); i > 0; i--) {
			if (!atomic_load(&load->stop))
				g_usleep(PAUSE_US);
		}
	}
	return NULL;
}

void faultload_burst(struct faultload *load, unsigned int jobs)
{
	faultload_lock(load);
	load->burst += jobs;
	faultload_unlock(load);
}

static json_t *get_config(struct faultload *load, unsigned int entry, uint32_t timeout_ms)
{
	char authorization[128];
	char url[160];
	const char *const headers[] = {authorization, NULL};
	struct http_reply reply;
	json_t *json;

	faultload_lock(load);
	snprintf(url, sizeof(url), "http://%s/v1/config", load->cluster->entries[entry].address[0]);
	faultload_unlock(load);
	snprintf(authorization, sizeof(authorization), "Authorization: Bearer %s",
		 cluster_operator_token(load->cluster));
	reply = http_call("GET", url, headers, NULL, timeout_ms);
	json = reply.status == 200 ? json_loads(reply.body, 0, NULL) : NULL;
	http_reply_free(&reply);
	return json;
}

static uint64_t revision_of(const json_t *config)
{
	return (uint64_t)json_integer_value(json_object_get(config, "revision"));
}

/* Applies the current files with one file added or replaced; returns the revision, 0 on failure. */
static uint64_t apply_config_file(struct faultload *load, unsigned int entry, const char *file,
				  const char *content)
{
	json_t *current = get_config(load, entry, 5000);
	char authorization[128];
	char url[160];
	const char *const headers[] = {authorization, NULL};
	struct http_reply reply;
	uint64_t revision = 0;
	json_t *files;
	json_t *body;
	json_t *json;
	char *text;

	if (!current)
		return 0;
	files = json_deep_copy(json_object_get(current, "files"));
	json_object_set_new(files, file, json_string(content));
	body = json_pack("{s:o, s:I, s:s}", "files", files, "base_revision",
			 (json_int_t)revision_of(current), "message", "change under failures");
	text = json_dumps(body, JSON_COMPACT);
	faultload_lock(load);
	snprintf(url, sizeof(url), "http://%s/v1/config", load->cluster->entries[entry].address[0]);
	faultload_unlock(load);
	snprintf(authorization, sizeof(authorization), "Authorization: Bearer %s",
		 cluster_operator_token(load->cluster));
	reply = http_call("POST", url, headers, text, 20000);
	json = json_loads(reply.body, 0, NULL);
	if (reply.status == 200)
		revision = revision_of(json);
	if (reply.status == 409) {
		faultload_lock(load);
		load->result.conflicts++;
		faultload_unlock(load);
	}
	json_decref(json);
	http_reply_free(&reply);
	free(text);
	json_decref(body);
	json_decref(current);
	return revision;
}

static void operator_file_name(const struct operator_state *operator, char * out, size_t len)
{
	snprintf(out, len, "7%u-operator.json", operator->index);
}

static void record_accepted(struct faultload *load, uint64_t revision)
{
	struct accepted entry = {.revision = revision, .at_ms = util_clock_ms()};

	faultload_lock(load);
	for (guint i = 0; i < load->accepted->len; i++) {
		/* Of two changes accepted under one revision number, one is overwritten. */
		if (g_array_index(load->accepted, struct accepted, i).revision == revision) {
			fprintf(stderr, "revision %llu was accepted twice\n",
				(unsigned long long)revision);
			load->result.reverts++;
		}
	}
	g_array_append_val(load->accepted, entry);
	load->result.accepted++;
	faultload_unlock(load);
}

static void *operator_loop(void *ctx)
{
	struct operator_state *operator= ctx;
	struct faultload *load = operator->load;

	while (!atomic_load(&load->stop)) {
		char content[160];
		char file[32];
		uint64_t revision;

		operator->number++;
		operator_file_name(operator, file, sizeof(file));
		snprintf(content, sizeof(content),
			 "{\"decision\":\"class\",\"name\":\"plain-run\",\"weight\":%u}",
			 1 + operator->number);
		revision = apply_config_file(
			load, (operator->index + operator->number) % load->cluster->entry_count,
			file, content);
		if (revision) {
			record_accepted(load, revision);
			operator->last_accepted = operator->number;
		}
		/* Both operators wait for the start of a second, so that their changes race. */
		g_usleep(5 * PAUSE_US);
		while (!atomic_load(&load->stop) && util_clock_ms() % 1000 > 50)
			g_usleep(PAUSE_US);
	}
	return NULL;
}

void faultload_set_available_since(struct faultload *load, unsigned int entry, uint64_t since)
{
	faultload_lock(load);
	load->available_since[entry] = since;
	if (!since)
		load->seen[entry] = 0;
	faultload_unlock(load);
}

/* Called with the lock held. */
static void check_revision_lag(struct faultload *load, unsigned int entry, uint64_t revision)
{
	uint64_t since = load->available_since[entry];
	uint64_t now = util_clock_ms();

	if (!since)
		return;
	for (guint i = 0; i < load->accepted->len; i++) {
		const struct accepted *change = &g_array_index(load->accepted, struct accepted, i);
		uint64_t from = change->at_ms > since ? change->at_ms : since;
		double lag = now > from ? (double)(now - from) / 1000.0 : 0;

		if (change->revision <= revision || lag <= load->result.in_force_s_max)
			continue;
		load->result.in_force_s_max = lag;
		if (lag > 4)
			fprintf(stderr,
				"entry %u has revision %llu, %llu was accepted %.1f s ago\n", entry,
				(unsigned long long)revision, (unsigned long long)change->revision,
				lag);
	}
}

static void *config_watch_loop(void *ctx)
{
	struct faultload *load = ctx;

	while (!atomic_load(&load->stop_watch)) {
		for (unsigned int i = 0; i < load->cluster->entry_count; i++) {
			uint64_t since;
			uint64_t revision;
			json_t *config;

			faultload_lock(load);
			since = load->available_since[i];
			faultload_unlock(load);
			if (!since)
				continue;
			config = get_config(load, i, WATCH_TIMEOUT_MS);
			revision = revision_of(config);
			faultload_lock(load);
			if (config && since == load->available_since[i]) {
				if (revision < load->seen[i]) {
					fprintf(stderr, "entry %u went back from %llu to %llu\n", i,
						(unsigned long long)load->seen[i],
						(unsigned long long)revision);
					load->result.reverts++;
				}
				load->seen[i] = revision;
				check_revision_lag(load, i, revision);
			}
			faultload_unlock(load);
			json_decref(config);
		}
		g_usleep(WATCH_PAUSE_US);
	}
	return NULL;
}

struct faultload *faultload_start(struct cluster *cluster, uint64_t seed)
{
	struct faultload *load = g_new0(struct faultload, 1);

	load->cluster = cluster;
	load->jobs = g_ptr_array_new_with_free_func(g_free);
	load->accepted = g_array_new(FALSE, FALSE, sizeof(struct accepted));
	load->rand = g_rand_new_with_seed((guint32)seed);
	snprintf(load->prefix, sizeof(load->prefix), "s%llu", (unsigned long long)seed);
	pthread_mutex_init(&load->lock, NULL);
	if (!apply_config_file(load, 0, "65-class-plain-run.json",
			       "{\"decision\":\"class\",\"name\":\"plain-run\",\"idempotent\":true,"
			       "\"checkpoint\":false,\"weight\":1}")) {
		fprintf(stderr, "the class plain-run was not accepted\n");
		return NULL;
	}
	for (unsigned int i = 0; i < cluster->entry_count; i++)
		load->available_since[i] = util_clock_ms();
	pthread_create(&load->job_thread, NULL, job_loop, load);
	pthread_create(&load->watch_thread, NULL, config_watch_loop, load);
	for (unsigned int i = 0; i < FAULTLOAD_OPERATORS; i++) {
		load->operators[i] = (struct operator_state){.load = load, .index = i};
		pthread_create(&load->operator_threads[i], NULL, operator_loop,
			       &load->operators[i]);
	}
	return load;
}

void faultload_stop(struct faultload *load)
{
	atomic_store(&load->stop, true);
	if (load->joined)
		return;
	load->joined = true;
	pthread_join(load->job_thread, NULL);
	for (unsigned int i = 0; i < FAULTLOAD_OPERATORS; i++)
		pthread_join(load->operator_threads[i], NULL);
}

static bool job_ended(struct faultload *load, struct faultload_job *job, unsigned int entry)
{
	struct cluster *cluster = copy_cluster(load, job->token);

	snprintf(job->state, sizeof(job->state), "%s", cluster_job_state(cluster, entry, job->id));
	g_free(cluster);
	job->ended = !strcmp(job->state, "done") || !strcmp(job->state, "failed") ||
		     !strcmp(job->state, "cancelled");
	return job->ended;
}

unsigned int faultload_wait_jobs(struct faultload *load, uint32_t timeout_ms)
{
	uint64_t deadline = util_clock_ms() + timeout_ms;
	unsigned int unfinished = 1;

	while (unfinished && util_clock_ms() < deadline) {
		unfinished = 0;
		for (guint i = 0; i < load->jobs->len; i++) {
			struct faultload_job *job = g_ptr_array_index(load->jobs, i);

			if (!job->ended)
				unfinished += !job_ended(load, job, i % load->cluster->entry_count);
		}
		if (unfinished)
			g_usleep(10 * PAUSE_US);
	}
	return unfinished;
}

GPtrArray *faultload_jobs(struct faultload *load)
{
	return load->jobs;
}

/* Number of an operator's last change that an entry has in force, read from the weight it set. */
static unsigned int number_in_force(const json_t *config, const struct operator_state *operator)
{
	const char *text;
	unsigned int weight = 1;
	char file[32];

	operator_file_name(operator, file, sizeof(file));
	text = json_string_value(json_object_get(json_object_get(config, "files"), file));
	text = text ? strstr(text, "\"weight\":") : NULL;
	if (text)
		weight = (unsigned int)strtoul(text + strlen("\"weight\":"), NULL, 10);
	return weight - 1;
}

struct faultload_config faultload_config_result(struct faultload *load)
{
	atomic_store(&load->stop_watch, true);
	if (!load->watch_joined)
		pthread_join(load->watch_thread, NULL);
	load->watch_joined = true;
	for (unsigned int i = 0; i < load->cluster->entry_count; i++) {
		json_t *config = get_config(load, i, 5000);

		/* Only this operator writes its file: an older number shows a reverted change. */
		for (unsigned int o = 0; o < FAULTLOAD_OPERATORS; o++) {
			const struct operator_state *state = &load->operators[o];
			unsigned int number = number_in_force(config, state);

			if (number >= state->last_accepted)
				continue;
			fprintf(stderr, "entry %u has change %u of operator %u, accepted was %u\n",
				i, number, o, state->last_accepted);
			load->result.reverts++;
		}
		json_decref(config);
	}
	return load->result;
}

void faultload_free(struct faultload *load)
{
	faultload_stop(load);
	g_ptr_array_free(load->jobs, TRUE);
	g_array_free(load->accepted, TRUE);
	g_rand_free(load->rand);
	pthread_mutex_destroy(&load->lock);
	g_free(load);
}
