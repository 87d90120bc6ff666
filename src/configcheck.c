#include "config_internal.h"

#include <string.h>

#define WORKERS_MAX 20000
#define DRAINS_MAX 1000
#define MB_PER_GB 1024

/* The file that last wrote a decision; problems of the whole are attributed to it. */
static void attribute(struct config_merge *m, const char *kind, const char *name)
{
	m->file = "";
	m->text = NULL;
	for (size_t i = 0; i < m->origin_count; i++) {
		const struct config_origin *origin = &m->origins[i];

		if (strcmp(origin->kind, kind) != 0 || (name && strcmp(origin->name, name) != 0))
			continue;
		m->file = origin->file;
		m->text = json_string_value(json_object_get(m->config->files, origin->file));
	}
}

static void check_classes(struct config_merge *m)
{
	const struct config *c = m->config;

	for (size_t i = 0; i < c->class_count; i++) {
		const struct config_class *class = &c->classes[i];

		attribute(m, "class", class->name);
		if (class->service[0] && !config_service(c, class->service))
			config_problem_add(m, "service", "names a service that is not configured",
					   "Add a decision of kind service with this name.");
		if (class->hedge && !class->idempotent)
			config_problem_add(m, "hedge",
					   "would run requests twice that are not idempotent",
					   "Set \"idempotent\": true or remove the field.");
	}
}

static void check_operators(struct config_merge *m)
{
	for (size_t i = 0; i < m->config->operator_count; i++) {
		if (m->config->operators[i].token_hash)
			continue;
		attribute(m, "operator", m->config->operators[i].name);
		config_problem_add(m, "token", "is missing",
				   "Add the output of \"jaycourse token hash\".");
	}
}

static void add_drain(struct config *c, const char *kind, const char *name)
{
	c->drains[c->drain_count++] = (struct config_drain){kind, name};
}

static void complete_drains(struct config_merge *m)
{
	struct config *c = m->config;

	c->drains = talloc_zero_array(c, struct config_drain, m->drain_count + 1);
	for (size_t i = 0; i < m->drain_count; i++) {
		const struct config_drain_draft *draft = &m->drains[i];
		int named = !!draft->target + !!draft->rack + !!draft->zone;

		attribute(m, "drain", draft->name);
		if (named != 1) {
			config_problem_add(m, "decision",
					   "does not name exactly one thing to drain",
					   "Give one of the fields target, rack or zone.");
			continue;
		}
		if (draft->target)
			add_drain(c, "target", draft->target);
		if (draft->rack)
			add_drain(c, "rack", draft->rack);
		if (draft->zone)
			add_drain(c, "zone", draft->zone);
	}
}

static void add_rack(struct config *c, const struct config_rack_draft *rack)
{
	for (uint32_t i = 0; i < rack->workers; i++) {
		c->fleet[c->fleet_count++] = (struct place_worker_spec){
			.name = talloc_asprintf(c, "%s-%u", rack->rack, i + 1),
			.zone = rack->zone,
			.rack = rack->rack,
			.accelerators = rack->accelerators,
			.cores = rack->cores,
			.memory_mb = rack->memory_gb * MB_PER_GB,
		};
	}
}

static bool rack_known(const struct config *c, const struct config_rack_draft *rack)
{
	for (size_t i = 0; i < c->fleet_count; i++) {
		if (!strcmp(c->fleet[i].rack, rack->rack) && !strcmp(c->fleet[i].zone, rack->zone))
			return true;
	}
	return false;
}

static void complete_fleet(struct config_merge *m)
{
	struct config *c = m->config;
	size_t total = 0;

	for (size_t i = 0; i < m->fleet_count; i++) {
		for (size_t j = 0; j < m->fleets[i].rack_count; j++)
			total += m->fleets[i].racks[j].workers;
	}
	if (total > WORKERS_MAX) {
		attribute(m, "fleet", NULL);
		config_problem_add(m, "racks", "plan more than 20000 workers", "Plan fewer.");
		return;
	}
	c->fleet = talloc_zero_array(c, struct place_worker_spec, total + 1);
	for (size_t i = 0; i < m->fleet_count; i++) {
		const struct config_fleet_draft *fleet = &m->fleets[i];

		for (size_t j = 0; j < fleet->rack_count; j++) {
			attribute(m, "fleet", fleet->name);
			if (rack_known(c, &fleet->racks[j]))
				config_problem_add(m, "racks", "plan the same rack twice",
						   "Give each rack once.");
			else
				add_rack(c, &fleet->racks[j]);
		}
	}
}

static void check_packing(struct config_merge *m)
{
	struct config *c = m->config;
	struct err err;

	if (c->fleet_count == 0 || !config_check_guarantees(c, c->fleet, c->fleet_count, &err))
		return;
	attribute(m, "fleet", NULL);
	config_problem_add(m, "racks", err.message, err.remedy);
}

void config_check(struct config_merge *m)
{
	check_classes(m);
	check_operators(m);
	complete_drains(m);
	complete_fleet(m);
	/* With other problems the guarantees or the fleet may be incomplete. */
	if (m->problems->count == 0)
		check_packing(m);
}

int config_check_guarantees(const struct config *config, const struct place_worker_spec *workers,
			    size_t worker_count, struct err *err)
{
	struct place_organisation_spec *specs = talloc_zero_array(
		NULL, struct place_organisation_spec, config->organisation_count + 1);
	int status;

	for (size_t i = 0; i < config->organisation_count; i++) {
		const struct config_organisation *org = &config->organisations[i];

		specs[i] = (struct place_organisation_spec){
			.name = org->name,
			.guarantees = org->guarantees,
			.guarantee_count = org->guarantee_count,
			.priority = org->priority,
			.quota_accelerators = org->quota_accelerators,
			.share = org->share,
		};
	}
	status = place_pack_guarantees(specs, config->organisation_count, workers, worker_count,
				       err);
	talloc_free(specs);
	return status;
}
