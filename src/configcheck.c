#include "config_internal.h"

#include <string.h>

#define WORKERS_MAX 20000
#define DRAINS_MAX 1000
#define MB_PER_GB 1024

/*
 * Attributes the problems reported next to the last file that holds the decision @name of @kind,
 * or any decision of @kind when @name is NULL.
 */
static void set_problem_file(struct config_merge *merge, const char *kind, const char *name)
{
	merge->file = "";
	merge->text = NULL;
	for (size_t i = 0; i < merge->origin_count; i++) {
		const struct config_origin *origin = &merge->origins[i];

		if (strcmp(origin->kind, kind) != 0 || (name && strcmp(origin->name, name) != 0))
			continue;
		merge->file = origin->file;
		merge->text =
			json_string_value(json_object_get(merge->config->files, origin->file));
	}
}

static void check_classes(struct config_merge *merge)
{
	const struct config *config = merge->config;

	for (size_t i = 0; i < config->class_count; i++) {
		const struct config_class *class = &config->classes[i];

		set_problem_file(merge, "class", class->name);
		if (class->service[0] && !config_service(config, class->service))
			config_problem_add(merge, "service",
					   "names a service that is not configured",
					   "Add a decision of kind service with this name.");
		if (class->hedge && !class->idempotent)
			config_problem_add(merge, "hedge",
					   "would run requests twice that are not idempotent",
					   "Set \"idempotent\": true or remove the field.");
	}
}

static void check_operators(struct config_merge *merge)
{
	for (size_t i = 0; i < merge->config->operator_count; i++) {
		if (merge->config->operators[i].token_hash)
			continue;
		set_problem_file(merge, "operator", merge->config->operators[i].name);
		config_problem_add(merge, "token", "is missing",
				   "Add the output of \"jaycourse token hash\".");
	}
}

static void add_drain(struct config *config, const char *kind, const char *name)
{
	config->drains[config->drain_count++] = (struct config_drain){kind, name};
}

static void complete_drains(struct config_merge *merge)
{
	struct config *config = merge->config;

	config->drains = talloc_zero_array(config, struct config_drain, merge->drain_count + 1);
	for (size_t i = 0; i < merge->drain_count; i++) {
		const struct config_drain_draft *draft = &merge->drains[i];
		int named = !!draft->target + !!draft->rack + !!draft->zone;

		set_problem_file(merge, "drain", draft->name);
		if (named != 1) {
			config_problem_add(
				merge, "decision",
				"does not name exactly one target, rack or zone to drain",
				"Give one of the fields target, rack or zone.");
			continue;
		}
		if (draft->target)
			add_drain(config, "target", draft->target);
		if (draft->rack)
			add_drain(config, "rack", draft->rack);
		if (draft->zone)
			add_drain(config, "zone", draft->zone);
	}
}

static void add_rack(struct config *config, const struct config_rack_draft *rack)
{
	for (uint32_t i = 0; i < rack->workers; i++) {
		config->fleet[config->fleet_count++] = (struct place_worker_spec){
			.name = talloc_asprintf(config, "%s-%u", rack->rack, i + 1),
			.zone = rack->zone,
			.rack = rack->rack,
			.accelerators = rack->accelerators,
			.cores = rack->cores,
			.memory_mb = rack->memory_gb * MB_PER_GB,
		};
	}
}

static bool rack_is_planned(const struct config *config, const struct config_rack_draft *rack)
{
	for (size_t i = 0; i < config->fleet_count; i++) {
		if (!strcmp(config->fleet[i].rack, rack->rack) &&
		    !strcmp(config->fleet[i].zone, rack->zone))
			return true;
	}
	return false;
}

static void complete_fleet(struct config_merge *merge)
{
	struct config *config = merge->config;
	size_t total = 0;

	for (size_t i = 0; i < merge->fleet_count; i++) {
		for (size_t j = 0; j < merge->fleets[i].rack_count; j++)
			total += merge->fleets[i].racks[j].workers;
	}
	if (total > WORKERS_MAX) {
		set_problem_file(merge, "fleet", NULL);
		config_problem_add(merge, "racks", "plan more than 20000 workers",
				   "Plan fewer workers.");
		return;
	}
	config->fleet = talloc_zero_array(config, struct place_worker_spec, total + 1);
	for (size_t i = 0; i < merge->fleet_count; i++) {
		const struct config_fleet_draft *fleet = &merge->fleets[i];

		for (size_t j = 0; j < fleet->rack_count; j++) {
			set_problem_file(merge, "fleet", fleet->name);
			if (rack_is_planned(config, &fleet->racks[j]))
				config_problem_add(merge, "racks", "plan the same rack twice",
						   "List each rack once.");
			else
				add_rack(config, &fleet->racks[j]);
		}
	}
}

static void check_packing(struct config_merge *merge)
{
	struct config *config = merge->config;
	struct err err;

	if (config->fleet_count == 0 ||
	    !config_check_guarantees(config, config->fleet, config->fleet_count, &err))
		return;
	set_problem_file(merge, "fleet", NULL);
	config_problem_add(merge, "racks", err.message, err.remedy);
}

void config_check(struct config_merge *merge)
{
	check_classes(merge);
	check_operators(merge);
	complete_drains(merge);
	complete_fleet(merge);
	/* After other problems the guarantees or the fleet may be incomplete. */
	if (merge->problems->count == 0)
		check_packing(merge);
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
