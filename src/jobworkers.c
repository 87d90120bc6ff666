#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

static struct job_worker *find_or_create_worker(struct job_leader *holder, const char *node)
{
	struct job_worker *worker = g_hash_table_lookup(holder->workers, node);

	if (worker)
		return worker;
	worker = talloc_zero(holder, struct job_worker);
	worker->node = talloc_strdup(worker, node);
	worker->peer = talloc_strdup(worker, "");
	g_hash_table_insert(holder->workers, worker->node, worker);
	return worker;
}

static void replace_string(struct job_worker *worker, char **field, const char *value)
{
	talloc_free(*field);
	*field = talloc_strdup(worker, value);
}

static void report_worker_up(struct job_leader *holder, const struct member_target *target)
{
	struct place_worker_spec spec = {
		.name = target->node,
		.zone = target->zone,
		.rack = target->rack,
		.accelerators = MIN(target->accelerators, PLACE_ACCELERATORS_MAX),
		.cores = target->cores,
		.memory_mb = target->memory_mb,
	};

	place_worker_up(holder->place, &spec, util_clock_ms());
}

static void apply_drain(struct job_leader *holder, struct job_worker *worker)
{
	struct config *config = configrepo_current(holder->jobs->deps.configs);
	bool drained =
		config && (config_drained(config, worker->target, worker->rack, worker->zone) ||
			   config_drained(config, worker->node, worker->rack, worker->zone));

	if (config)
		configrepo_release(holder->jobs->deps.configs, config);
	place_worker_drain(holder->place, worker->node, drained || !worker->schedulable,
			   util_clock_ms());
}

void job_leader_update_worker(struct job_leader *holder, const struct member_target *target)
{
	struct job_worker *worker;
	bool gone = target->state == MSG_TARGET_GONE;

	if (!holder->loaded || target->kind != MSG_TARGET_WORKER ||
	    strcmp(target->region, holder->jobs->deps.region) != 0)
		return;
	worker = find_or_create_worker(holder, target->node);
	if (worker->present && !gone && strcmp(worker->peer, target->peer) != 0)
		job_gang_worker_lost(holder, target->node, true);
	if (worker->present && gone && !strcmp(worker->peer, target->peer)) {
		log_warn("worker_lost", "", "%s", target->node);
		worker->present = false;
		place_worker_down(holder->place, target->node, util_clock_ms());
		job_gang_worker_lost(holder, target->node, false);
	}
	if (!gone) {
		worker->present = true;
		worker->schedulable = target->state == MSG_TARGET_ALIVE;
		replace_string(worker, &worker->peer, target->peer);
		replace_string(worker, &worker->address, target->address);
		replace_string(worker, &worker->zone, target->zone);
		replace_string(worker, &worker->rack, target->rack);
		replace_string(worker, &worker->target, target->target);
		report_worker_up(holder, target);
		apply_drain(holder, worker);
	}
	job_leader_schedule_step(holder);
}

void job_leader_apply_config(struct job_leader *holder)
{
	struct config *config = configrepo_current(holder->jobs->deps.configs);
	struct place_organisation_spec *specs;
	GHashTableIter iter;
	gpointer value;

	if (!config)
		return;
	holder->config_revision = config->revision;
	specs = talloc_zero_array(holder, struct place_organisation_spec,
				  config->organisation_count);
	for (size_t i = 0; i < config->organisation_count; i++) {
		const struct config_organisation *organisation = &config->organisations[i];

		specs[i] = (struct place_organisation_spec){
			.name = organisation->name,
			.guarantees = organisation->guarantees,
			.guarantee_count = organisation->guarantee_count,
			.priority = organisation->priority,
			.quota_accelerators = organisation->quota_accelerators,
			.share = organisation->share,
		};
	}
	if (!holder->place)
		holder->place = place_create(holder, &config->policy, holder->epoch);
	place_set_policy(holder->place, &config->policy);
	place_set_organisations(holder->place, specs, config->organisation_count, util_clock_ms());
	talloc_free(specs);
	configrepo_release(holder->jobs->deps.configs, config);
	g_hash_table_iter_init(&iter, holder->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		apply_drain(holder, value);
	job_leader_schedule_step(holder);
}
