#include "jobs_int.h"
#include "log.h"
#include "util.h"

#include <string.h>

static struct job_worker *get_worker(struct job_leader *h, const char *node)
{
	struct job_worker *w = g_hash_table_lookup(h->workers, node);

	if (w)
		return w;
	w = talloc_zero(h, struct job_worker);
	w->node = talloc_strdup(w, node);
	w->peer = talloc_strdup(w, "");
	g_hash_table_insert(h->workers, w->node, w);
	return w;
}

static void replace(struct job_worker *w, char **field, const char *value)
{
	talloc_free(*field);
	*field = talloc_strdup(w, value);
}

static void worker_up(struct job_leader *h, const struct member_target *t)
{
	struct place_worker_spec spec = {
		.name = t->node,
		.zone = t->zone,
		.rack = t->rack,
		.accelerators = MIN(t->accelerators, PLACE_ACCELERATORS_MAX),
		.cores = t->cores,
		.memory_mb = t->memory_mb,
	};

	place_worker_up(h->place, &spec, util_clock_ms());
}

static void apply_drain(struct job_leader *h, struct job_worker *w)
{
	struct config *config = configrepo_current(h->jobs->deps.configs);
	bool drained = config && (config_drained(config, w->target, w->rack, w->zone) ||
				  config_drained(config, w->node, w->rack, w->zone));

	if (config)
		configrepo_release(h->jobs->deps.configs, config);
	place_worker_drain(h->place, w->node, drained || !w->schedulable, util_clock_ms());
}

void job_leader_update_worker(struct job_leader *h, const struct member_target *t)
{
	struct job_worker *w;
	bool gone = t->state == MSG_TARGET_GONE;

	if (!h->loaded || t->kind != MSG_TARGET_WORKER ||
	    strcmp(t->region, h->jobs->deps.region) != 0)
		return;
	w = get_worker(h, t->node);
	if (w->present && !gone && strcmp(w->peer, t->peer) != 0)
		job_gang_worker_lost(h, t->node, true);
	if (w->present && gone && !strcmp(w->peer, t->peer)) {
		log_warn("worker_lost", "", "%s", t->node);
		w->present = false;
		place_worker_down(h->place, t->node, util_clock_ms());
		job_gang_worker_lost(h, t->node, false);
	}
	if (!gone) {
		w->present = true;
		w->schedulable = t->state == MSG_TARGET_ALIVE;
		replace(w, &w->peer, t->peer);
		replace(w, &w->address, t->address);
		replace(w, &w->zone, t->zone);
		replace(w, &w->rack, t->rack);
		replace(w, &w->target, t->target);
		worker_up(h, t);
		apply_drain(h, w);
	}
	job_leader_schedule_step(h);
}

void job_leader_apply_config(struct job_leader *h)
{
	struct config *config = configrepo_current(h->jobs->deps.configs);
	struct place_organisation_spec *specs;
	GHashTableIter iter;
	gpointer value;

	if (!config)
		return;
	h->config_revision = config->revision;
	specs = talloc_zero_array(h, struct place_organisation_spec, config->organisation_count);
	for (size_t i = 0; i < config->organisation_count; i++) {
		const struct config_organisation *o = &config->organisations[i];

		specs[i] = (struct place_organisation_spec){
			.name = o->name,
			.guarantees = o->guarantees,
			.guarantee_count = o->guarantee_count,
			.priority = o->priority,
			.quota_accelerators = o->quota_accelerators,
			.share = o->share,
		};
	}
	if (!h->place)
		h->place = place_create(h, &config->policy, h->epoch);
	place_set_policy(h->place, &config->policy);
	place_set_organisations(h->place, specs, config->organisation_count, util_clock_ms());
	talloc_free(specs);
	configrepo_release(h->jobs->deps.configs, config);
	g_hash_table_iter_init(&iter, h->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		apply_drain(h, value);
	job_leader_schedule_step(h);
}
