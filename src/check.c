#include "place_impl.h"

#include <string.h>

/* What a worker carries, counted afresh from jobs and guarantees. */
struct tally {
	uint64_t used;
	uint64_t home;
	uint64_t cores;
	uint64_t memory;
	uint64_t cores_fixed; /* committed to guarantees or held by work that may not be evicted */
	uint64_t memory_fixed;
};

struct check {
	const struct place *p;
	GHashTable *tallies; /* worker to struct tally */
	struct err *err;
	uint32_t placed;
	uint32_t waiting;
};

static struct tally *tally_of(struct check *c, const struct worker *w)
{
	struct tally *t = g_hash_table_lookup(c->tallies, w);

	if (!t) {
		t = g_new0(struct tally, 1);
		g_hash_table_insert(c->tallies, (gpointer)w, t);
	}
	return t;
}

static int violated(struct check *c, const char *what, const char *id)
{
	return err_set(c->err, ERR_FAILED, "Report this fault with the events that led to it.",
		       "%s: %s", what, id);
}

static bool contiguous(uint64_t mask, uint32_t width)
{
	if (width == 0)
		return mask == 0;
	return mask && (mask >> __builtin_ctzll(mask)) == topo_run(0, width);
}

static bool together(const struct worker *a, const struct worker *b, enum place_within within)
{
	if (within == PLACE_WITHIN_WORKER)
		return a == b;
	return within == PLACE_WITHIN_RACK ? a->rack == b->rack : a->zone == b->zone;
}

static int check_member(struct check *c, const struct job *job, const struct member *m)
{
	struct tally *t = tally_of(c, m->worker);
	bool fixed = !sched_evictable(job) && !m->cell;

	if (m->job != job)
		return violated(c, "a member belongs to another job", job->id);
	if (!contiguous(m->mask, job->shape.accelerators))
		return violated(c, "accelerators of a member are not contiguous", job->id);
	if (t->used & m->mask)
		return violated(c, "an accelerator is granted twice", job->id);
	if (m->worker->up && !together(m->worker, job->members[0].worker, job->shape.within))
		return violated(c, "members are too far apart", job->id);
	t->used |= m->mask;
	t->cores += job->shape.cores;
	t->memory += job->shape.memory_mb;
	t->cores_fixed += fixed ? job->shape.cores : 0;
	t->memory_fixed += fixed ? job->shape.memory_mb : 0;
	return 0;
}

static int check_job(struct check *c, const struct job *job)
{
	int rc = 0;

	if (job->members) {
		c->placed++;
		if (job->link || job->reservation)
			return violated(c, "a placed job is queued as well", job->id);
		for (uint32_t i = 0; i < job->shape.members && !rc; i++)
			rc = check_member(c, job, &job->members[i]);
		return rc;
	}
	if (job->given_up)
		return 0;
	c->waiting++;
	if (!job->link)
		return violated(c, "a job is neither placed nor queued", job->id);
	return 0;
}

/* The home can be cleared by evicting other organisations' borrowed work. */
static int check_reclaim(struct check *c, const struct cell *cell)
{
	const struct worker *w = cell->worker;
	const struct organisation *org = cell->unit->org;

	for (uint64_t rest = cell->mask & w->used; rest; rest &= rest - 1) {
		const struct job *holder = w->holder[__builtin_ctzll(rest)];

		if (!holder)
			return violated(c, "a used accelerator has no holder", w->name);
		if (holder->org == org)
			continue;
		if (!sched_evictable(holder) || sched_guaranteed(holder))
			return violated(c, "a guarantee cannot be reclaimed from", holder->id);
	}
	return 0;
}

static int check_unit(struct check *c, const struct unit *unit)
{
	for (uint32_t i = 0; i < unit->shape.members; i++) {
		const struct cell *cell = &unit->cells[i];
		struct tally *t;
		int rc;

		if (!cell->worker)
			return violated(c, "a guarantee lacks a part", unit->org->name);
		t = tally_of(c, cell->worker);
		if (!c->p->homes_dirty && !topo_usable(cell->worker))
			return violated(c, "a guarantee lies on an unusable worker",
					unit->org->name);
		if (!contiguous(cell->mask, unit->shape.accelerators) || (t->home & cell->mask))
			return violated(c, "guarantees overlap or are in pieces", unit->org->name);
		if (!together(cell->worker, unit->cells[0].worker, unit->shape.within))
			return violated(c, "a guarantee is spread too far", unit->org->name);
		t->home |= cell->mask;
		t->cores_fixed += cell->cores;
		t->memory_fixed += cell->memory;
		rc = check_reclaim(c, cell);
		if (rc)
			return rc;
	}
	return 0;
}

static int check_worker(struct check *c, const struct worker *w)
{
	const struct tally *t = tally_of(c, w);

	if (t->used != w->used || t->cores != w->cores_used || t->home != w->home)
		return violated(c, "a worker's books don't match its jobs", w->name);
	if (!w->up || c->p->homes_dirty)
		return 0;
	if ((t->used | t->home) & ~w->all)
		return violated(c, "an accelerator that doesn't exist is granted", w->name);
	if (t->cores > w->cores || t->memory > w->memory)
		return violated(c, "cores or memory are granted twice", w->name);
	if (t->home && (t->cores_fixed > w->cores || t->memory_fixed > w->memory))
		return violated(c, "cores or memory of a guarantee cannot be reclaimed", w->name);
	return 0;
}

static int check_all(struct check *c)
{
	GHashTableIter iter;
	gpointer job;
	int rc = 0;

	g_hash_table_iter_init(&iter, c->p->jobs);
	while (!rc && g_hash_table_iter_next(&iter, NULL, &job))
		rc = check_job(c, job);
	if (!rc && (c->placed != c->p->placed || c->waiting != c->p->waiting))
		rc = violated(c, "the number of jobs is wrong", "all");
	for (size_t i = 0; i < c->p->unit_count && !rc; i++) {
		if (c->p->units[i]->met)
			rc = check_unit(c, c->p->units[i]);
	}
	for (guint i = 0; i < c->p->workers->len && !rc; i++)
		rc = check_worker(c, c->p->workers->pdata[i]);
	return rc;
}

int place_check(const struct place *p, struct err *err)
{
	struct check c = {.p = p, .err = err};
	int rc;

	c.tallies = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	rc = check_all(&c);
	g_hash_table_destroy(c.tallies);
	return rc;
}

static char *unmet_names(struct place *p)
{
	char *names = talloc_strdup(p, "");

	for (size_t i = 0; i < p->unit_count; i++) {
		const struct unit *u = p->units[i];

		if (u->met || strlen(names) > ERR_TEXT_MAX / 2)
			continue;
		names = talloc_asprintf_append(names, "%s%s (%u x %u)", names[0] ? ", " : "",
					       u->org->name, u->shape.members,
					       u->shape.accelerators);
	}
	return names;
}

int place_pack_guarantees(const struct place_organisation_spec *organisations, size_t count,
			  const struct place_worker_spec *workers, size_t worker_count,
			  struct err *err)
{
	struct place_policy policy = {.weight_fragmentation = 1};
	struct place *p = place_create(NULL, &policy, 0);
	int rc = 0;

	for (size_t i = 0; i < worker_count; i++)
		place_worker_up(p, &workers[i], 0);
	place_set_organisations(p, organisations, count, 0);
	guarantee_refresh(p, 0);
	if (p->units_unmet)
		rc = err_set(err, ERR_NEVER_FITS,
			     "Add workers, or reduce or split these guarantees.",
			     "%zu of %zu guaranteed shapes find no adjacent accelerators beside "
			     "the others (%u accelerators on %zu workers): %s",
			     p->units_unmet, p->unit_count, topo_total_accelerators(p),
			     worker_count, unmet_names(p));
	talloc_free(p);
	return rc;
}

void place_stats(const struct place *p, struct place_stats *out)
{
	memset(out, 0, sizeof(*out));
	out->jobs_waiting = p->waiting;
	out->jobs_placed = p->placed;
	out->evictions = p->evictions;
	out->guarantees_unmet = (uint32_t)p->units_unmet;
	for (guint i = 0; i < p->workers->len; i++) {
		const struct worker *w = p->workers->pdata[i];

		if (!w->up)
			continue;
		out->workers++;
		out->accelerators += w->accelerators;
		out->accelerators_used += (uint32_t)__builtin_popcountll(w->used);
		out->workers_quarantined += w->quarantined;
		out->workers_offered += w->offered;
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
		text = talloc_asprintf_append(text, " and %u other places", job->shape.members - 1);
	return talloc_asprintf_append(text, ".");
}

static char *explain_waiting(const struct place *p, const struct job *job, TALLOC_CTX *mem)
{
	const struct place_shape *s = &job->shape;
	const struct organisation *org = job->org;

	if (job->given_up)
		return talloc_asprintf(mem, "The job is given up: %s.", job->fail_reason);
	if (job->reservation)
		return talloc_asprintf(mem,
				       "The job waits for its %u x %u accelerators on %s to become "
				       "free; nothing needs to be done.",
				       s->members, s->accelerators,
				       job->reservation[0].worker->name);
	if (org->quota && org->used + s->members * s->accelerators > org->quota)
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
			"The job waits for %u x %u accelerators that no guarantee of "
			"others covers, since it may run only once; a class with "
			"checkpoint or restart would find room sooner.",
			s->members, s->accelerators);
	return talloc_asprintf(mem,
			       "The job waits for %u x %u adjacent free accelerators, behind the "
			       "fair shares of %u waiting jobs; smaller members or a wider place "
			       "(zone) would find room sooner.",
			       s->members, s->accelerators, p->waiting);
}

char *place_explain(const struct place *p, const char *id, TALLOC_CTX *mem)
{
	const struct job *job = g_hash_table_lookup(p->jobs, id);

	if (!job)
		return NULL;
	return job->members ? explain_placed(job, mem) : explain_waiting(p, job, mem);
}
