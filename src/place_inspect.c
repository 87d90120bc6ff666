#include "place_impl.h"

#include <string.h>

/* Use of a worker, computed from jobs and guarantees to be compared with its own counters. */
struct worker_totals {
	uint64_t used;
	uint64_t guaranteed_mask;
	uint64_t cores;
	uint64_t memory;
	/* Of guarantees, and of jobs outside guarantees that may not be evicted. */
	uint64_t cores_fixed;
	uint64_t memory_fixed;
};

struct check {
	const struct place *place;
	GHashTable *totals_by_worker; /* struct worker to struct worker_totals */
	struct err *err;
	uint32_t placed;
	uint32_t waiting;
};

static struct worker_totals *totals_of(struct check *check, const struct worker *worker)
{
	struct worker_totals *totals = g_hash_table_lookup(check->totals_by_worker, worker);

	if (!totals) {
		totals = g_new0(struct worker_totals, 1);
		g_hash_table_insert(check->totals_by_worker, (gpointer)worker, totals);
	}
	return totals;
}

static int report_violation(struct check *check, const char *what, const char *id)
{
	return err_set(check->err, ERR_FAILED, "Report this fault with the events that led to it.",
		       "%s: %s", what, id);
}

static bool contiguous(uint64_t mask, uint32_t width)
{
	if (width == 0)
		return mask == 0;
	return mask && (mask >> __builtin_ctzll(mask)) == topo_run_mask(0, width);
}

static bool satisfies_within(const struct worker *a, const struct worker *b,
			     enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return a == b;
	return within == PLACE_WITHIN_RACK ? a->rack == b->rack : a->zone == b->zone;
}

static int check_member(struct check *check, const struct job *job, const struct member *member)
{
	struct worker_totals *totals = totals_of(check, member->worker);
	bool fixed = !sched_evictable(job) && !member->cell;

	if (member->job != job)
		return report_violation(check, "a member belongs to another job", job->id);
	if (!contiguous(member->mask, job->shape.accelerators))
		return report_violation(check, "accelerators of a member are not contiguous",
					job->id);
	if (totals->used & member->mask)
		return report_violation(check, "an accelerator is granted to two members", job->id);
	if (member->worker->up &&
	    !satisfies_within(member->worker, job->members[0].worker, job->shape.within))
		return report_violation(
			check, "members are not within one worker, rack or zone as required",
			job->id);
	totals->used |= member->mask;
	totals->cores += job->shape.cores;
	totals->memory += job->shape.memory_mb;
	totals->cores_fixed += fixed ? job->shape.cores : 0;
	totals->memory_fixed += fixed ? job->shape.memory_mb : 0;
	return 0;
}

static int check_job(struct check *check, const struct job *job)
{
	int rc = 0;

	if (job->members) {
		check->placed++;
		if (job->link || job->reservation)
			return report_violation(check, "a placed job is also queued", job->id);
		for (uint32_t i = 0; i < job->shape.members && !rc; i++)
			rc = check_member(check, job, &job->members[i]);
		return rc;
	}
	if (job->given_up)
		return 0;
	check->waiting++;
	if (!job->link)
		return report_violation(check, "a job is neither placed nor queued", job->id);
	return 0;
}

/* Checks that the cell can be cleared by evicting other organisations' borrowed work only. */
static int check_reclaim(struct check *check, const struct cell *cell)
{
	const struct worker *worker = cell->worker;
	const struct organisation *org = cell->unit->org;

	for (uint64_t rest = cell->mask & worker->used_mask; rest; rest &= rest - 1) {
		const struct job *job = worker->granted_jobs[__builtin_ctzll(rest)];

		if (!job)
			return report_violation(check, "a used accelerator belongs to no job",
						worker->name);
		if (job->org == org)
			continue;
		if (!sched_evictable(job) || sched_guaranteed(job))
			return report_violation(check, "a guarantee cannot be reclaimed from job",
						job->id);
	}
	return 0;
}

static int check_unit(struct check *check, const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *cell = &unit->cells[i];
		struct worker_totals *totals;
		int rc;

		if (!cell->worker)
			return report_violation(check,
						"a member of a placed guarantee has no worker",
						unit->org->name);
		totals = totals_of(check, cell->worker);
		if (!check->place->guarantees_dirty && !topo_worker_usable(cell->worker))
			return report_violation(check,
						"a guarantee is placed on an unusable worker",
						unit->org->name);
		if (!contiguous(cell->mask, unit->shape.accelerators) ||
		    (totals->guaranteed_mask & cell->mask))
			return report_violation(
				check, "a guarantee overlaps another one or is not contiguous",
				unit->org->name);
		if (!satisfies_within(cell->worker, unit->cells[0].worker, unit->shape.within))
			return report_violation(
				check,
				"a guarantee is not within one worker, rack or zone as required",
				unit->org->name);
		totals->guaranteed_mask |= cell->mask;
		totals->cores_fixed += cell->cores;
		totals->memory_fixed += cell->memory;
		rc = check_reclaim(check, cell);
		if (rc)
			return rc;
	}
	return 0;
}

static int check_worker(struct check *check, const struct worker *worker)
{
	const struct worker_totals *totals = totals_of(check, worker);

	if (totals->used != worker->used_mask || totals->cores != worker->cores_used ||
	    totals->guaranteed_mask != worker->guaranteed_mask)
		return report_violation(
			check, "the counters of a worker do not match its jobs and guarantees",
			worker->name);
	if (!worker->up || check->place->guarantees_dirty)
		return 0;
	if ((totals->used | totals->guaranteed_mask) & ~worker->all_mask)
		return report_violation(
			check, "an accelerator that does not exist is granted or guaranteed",
			worker->name);
	if (totals->cores > worker->cores || totals->memory > worker->memory)
		return report_violation(check,
					"more cores or memory are granted than the worker has",
					worker->name);
	if (totals->guaranteed_mask &&
	    (totals->cores_fixed > worker->cores || totals->memory_fixed > worker->memory))
		return report_violation(check, "cores or memory of a guarantee cannot be reclaimed",
					worker->name);
	return 0;
}

static int check_all(struct check *check)
{
	GHashTableIter iter;
	gpointer job;
	int rc = 0;

	g_hash_table_iter_init(&iter, check->place->jobs);
	while (!rc && g_hash_table_iter_next(&iter, NULL, &job))
		rc = check_job(check, job);
	if (!rc &&
	    (check->placed != check->place->placed || check->waiting != check->place->waiting))
		rc = report_violation(
			check, "the numbers of placed and waiting jobs do not match the jobs",
			"all");
	for (size_t i = 0; i < check->place->unit_count && !rc; i++) {
		if (check->place->units[i]->met)
			rc = check_unit(check, check->place->units[i]);
	}
	for (guint i = 0; i < check->place->workers->len && !rc; i++)
		rc = check_worker(check, check->place->workers->pdata[i]);
	return rc;
}

int place_check(const struct place *place, struct err *err)
{
	struct check check = {.place = place, .err = err};
	int rc;

	check.totals_by_worker = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	rc = check_all(&check);
	g_hash_table_destroy(check.totals_by_worker);
	return rc;
}

static char *describe_unmet_units(struct place *place)
{
	char *names = talloc_strdup(place, "");

	for (size_t i = 0; i < place->unit_count; i++) {
		const struct unit *unit = place->units[i];

		if (unit->met || strlen(names) > ERR_TEXT_MAX / 2)
			continue;
		names = talloc_asprintf_append(names, "%s%s (%u x %u)", names[0] ? ", " : "",
					       unit->org->name, unit->shape.members,
					       unit->shape.accelerators);
	}
	return names;
}

int place_pack_guarantees(const struct place_organisation_spec *organisations, size_t count,
			  const struct place_worker_spec *workers, size_t worker_count,
			  struct err *err)
{
	struct place_policy policy = {.weight_fragmentation = 1};
	struct place *place = place_create(NULL, &policy, 0);
	int rc = 0;

	for (size_t i = 0; i < worker_count; i++)
		place_worker_up(place, &workers[i], 0);
	place_set_organisations(place, organisations, count, 0);
	guarantee_refresh(place, 0);
	if (place->units_unmet)
		rc = err_set(err, ERR_NEVER_FITS,
			     "Add workers, or reduce or split these guarantees.",
			     "%zu of %zu guaranteed shapes do not fit into adjacent accelerators "
			     "together with the others (%u accelerators on %zu workers): %s",
			     place->units_unmet, place->unit_count, topo_total_accelerators(place),
			     worker_count, describe_unmet_units(place));
	talloc_free(place);
	return rc;
}

void place_stats(const struct place *place, struct place_stats *out)
{
	memset(out, 0, sizeof(*out));
	out->jobs_waiting = place->waiting;
	out->jobs_placed = place->placed;
	out->evictions = place->evictions;
	out->guarantees_unmet = (uint32_t)place->units_unmet;
	for (guint i = 0; i < place->workers->len; i++) {
		const struct worker *worker = place->workers->pdata[i];

		if (!worker->up)
			continue;
		out->workers++;
		out->accelerators += worker->accelerators;
		out->accelerators_used += (uint32_t)__builtin_popcountll(worker->used_mask);
		out->workers_quarantined += worker->quarantined;
		out->workers_offered += worker->offered;
	}
}

static char *explain_placed(const struct job *job, TALLOC_CTX *mem)
{
	const char *state = job->stopping		? "is being stopped"
			    : job->state == JOB_RUNNING ? "runs"
							: "starts";
	const char *kind = sched_guaranteed(job) ? "inside its organisation's guarantee"
						 : "on borrowed accelerators";
	char *text = talloc_asprintf(mem, "The job %s as attempt %u, %s, on %s", state,
				     job->attempt, kind, job->members[0].worker->name);

	if (job->shape.members > 1)
		text = talloc_asprintf_append(text, ", with %u more members",
					      job->shape.members - 1);
	return talloc_asprintf_append(text, ".");
}

static char *explain_waiting(const struct place *place, const struct job *job, TALLOC_CTX *mem)
{
	const struct place_shape *shape = &job->shape;
	const struct organisation *org = job->org;

	if (job->given_up)
		return talloc_asprintf(mem, "The job is given up: %s.", job->fail_reason);
	if (job->reservation)
		return talloc_asprintf(mem,
				       "The job waits for its %u x %u accelerators on %s to become "
				       "free; nothing needs to be done.",
				       shape->members, shape->accelerators,
				       job->reservation[0].worker->name);
	if (org->quota && org->used + shape->members * shape->accelerators > org->quota)
		return talloc_asprintf(mem,
				       "The job waits because %s uses %u of its quota of %u "
				       "accelerators; end other jobs or have the quota raised.",
				       org->name, org->used, org->quota);
	if (job->start_failures)
		return talloc_asprintf(mem,
				       "The job waits after %u failed starts and will be tried on "
				       "other workers; check its program and image.",
				       job->start_failures);
	if (!sched_evictable(job))
		return talloc_asprintf(
			mem,
			"The job waits for %u x %u accelerators outside the guarantees of other "
			"organisations, because it may run only once and so cannot be evicted; a "
			"class with checkpoint or restart would start sooner.",
			shape->members, shape->accelerators);
	return talloc_asprintf(
		mem,
		"The job waits for %u x %u adjacent free accelerators; %u jobs wait, in the "
		"order of fair shares; smaller members or a wider placement limit (zone) "
		"would start sooner.",
		shape->members, shape->accelerators, place->waiting);
}

char *place_explain(const struct place *place, const char *id, TALLOC_CTX *mem)
{
	const struct job *job = g_hash_table_lookup(place->jobs, id);

	if (!job)
		return NULL;
	return job->members ? explain_placed(job, mem) : explain_waiting(place, job, mem);
}
