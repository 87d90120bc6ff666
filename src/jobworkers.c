#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

static struct job_worker *find_or_create_worker(struct job_leader *leader, const char *node)
{
	struct job_worker *worker = g_hash_table_lookup(leader->workers, node);

	if (worker)
		return worker;
	worker = talloc_zero(leader, struct job_worker);
	worker->node = talloc_strdup(worker, node);
	worker->peer = talloc_strdup(worker, "");
	g_hash_table_insert(leader->workers, worker->node, worker);
	return worker;
}

static void replace_string(struct job_worker *worker, char **field, const char *value)
{
	talloc_free(*field);
	*field = talloc_strdup(worker, value);
}

static void report_worker_up(struct job_leader *leader, const struct member_target *target)
{
	struct place_worker_spec spec = {
		.name = target->node,
		.zone = target->zone,
		.rack = target->rack,
		.accelerators = MIN(target->accelerators, PLACE_ACCELERATORS_MAX),
		.cores = target->cores,
		.memory_mb = target->memory_mb,
	};

	place_worker_up(leader->place, &spec, util_clock_ms());
}

static void apply_drain(struct job_leader *leader, struct job_worker *worker)
{
	struct config *config = configrepo_current(leader->jobs->deps.configs);
	bool drained =
		config && (config_drained(config, worker->target, worker->rack, worker->zone) ||
			   config_drained(config, worker->node, worker->rack, worker->zone));

	if (config)
		configrepo_release(leader->jobs->deps.configs, config);
	place_worker_drain(leader->place, worker->node, drained || !worker->schedulable,
			   util_clock_ms());
}

/* A leader that another process may have replaced must not stop gangs because of a silence. */
static void report_loss(struct job_leader *leader, struct job_worker *worker)
{
	worker->lost = !job_leader_confirmed(leader);
	if (worker->lost)
		return;
	if (!worker->present)
		place_worker_down(leader->place, worker->node, util_clock_ms());
	job_gang_worker_lost(leader, worker->node, worker->restarted);
}

void job_leader_report_lost_workers(struct job_leader *leader)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, leader->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job_worker *worker = value;

		if (worker->lost)
			report_loss(leader, worker);
	}
}

void job_leader_update_worker(struct job_leader *leader, const struct member_target *target)
{
	struct job_worker *worker;
	bool gone = target->state == MSG_TARGET_GONE;

	if (!leader->loaded || target->kind != MSG_TARGET_WORKER ||
	    strcmp(target->region, leader->jobs->deps.region) != 0)
		return;
	worker = find_or_create_worker(leader, target->node);
	if (worker->present && !gone && strcmp(worker->peer, target->peer) != 0) {
		worker->restarted = true;
		report_loss(leader, worker);
	}
	if (worker->present && gone && !strcmp(worker->peer, target->peer)) {
		log_warn("worker_lost", "", "%s", target->node);
		worker->present = false;
		worker->restarted = worker->lost && worker->restarted;
		report_loss(leader, worker);
	}
	if (!gone) {
		/* The agent itself has been heard of again before its loss was reported. */
		if (worker->lost && !worker->restarted)
			worker->lost = strcmp(worker->peer, target->peer) != 0;
		worker->restarted = worker->lost;
		worker->present = true;
		worker->schedulable = target->state == MSG_TARGET_ALIVE;
		replace_string(worker, &worker->peer, target->peer);
		replace_string(worker, &worker->address, target->address);
		replace_string(worker, &worker->zone, target->zone);
		replace_string(worker, &worker->rack, target->rack);
		replace_string(worker, &worker->target, target->target);
		report_worker_up(leader, target);
		apply_drain(leader, worker);
	}
	job_leader_schedule_step(leader);
}

void job_leader_apply_config(struct job_leader *leader)
{
	struct config *config = configrepo_current(leader->jobs->deps.configs);
	struct place_organisation_spec *specs;
	GHashTableIter iter;
	gpointer value;

	if (!config)
		return;
	leader->config_revision = config->revision;
	specs = talloc_zero_array(leader, struct place_organisation_spec,
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
	if (!leader->place)
		leader->place = place_create(leader, &config->policy, leader->epoch);
	place_set_policy(leader->place, &config->policy);
	place_set_organisations(leader->place, specs, config->organisation_count, util_clock_ms());
	talloc_free(specs);
	configrepo_release(leader->jobs->deps.configs, config);
	g_hash_table_iter_init(&iter, leader->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		apply_drain(leader, value);
	job_leader_schedule_step(leader);
}
