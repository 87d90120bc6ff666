#include "plan_int.h"

#include <string.h>

/*
 * Fair shares between organisations. The load: ten organisations on one fleet, a few of them
 * large, whose waiting jobs of one priority ask for several times the room that there is.
 *
 * Each service is shared apart. Amounts are dominant shares: of the accelerators, processors or
 * memory of the service, whichever an organisation uses most of. Room that guaranteed jobs and
 * organisations without waiting jobs use is not shared out; the rest is, by weighted max-min
 * fairness between the organisations with waiting jobs. A share depends on what is used and asked
 * for now only, so nobody owes for what it used while others had no jobs.
 */

#define WEIGHT_MIN 1.0 /* of an organisation without guaranteed accelerators */
/* Share of one weight where guaranteed jobs use all room; orders by use for its weight then. */
#define LEVEL_MIN 1e-9
#define EXCESS_MIN 1e-6 /* less than this is an error of rounding */

enum {
	SHARE_ACCELERATORS,
	SHARE_CPU,
	SHARE_MEMORY,
	SHARE_KINDS
};

struct amounts {
	double of[SHARE_KINDS];
};

struct share_service {
	char *name;
	struct amounts room;
	struct amounts unshared; /* in use, and not shared out */
	uint32_t competitors;
	bool scarce;  /* not all that the competitors ask for is there */
	double level; /* share of one weight */
};

/* An organisation at one service. */
struct share_row {
	char *organisation;
	guint service; /* index in plan_shares.services */
	double weight; /* 0: not looked up yet */
	struct amounts used;
	struct amounts waiting;
	struct amounts claimed; /* by the steps that plan_share_claim() has seen */
	bool competes;		/* a job of it waits */
	double asked;		/* dominant share of what it uses and waits for */
};

/* Rows stay until the plan ends; organisations and services are as few as the operators name. */
struct plan_shares {
	GPtrArray *rows;	      /* struct share_row */
	GPtrArray *services;	      /* struct share_service */
	GHashTable *index;	      /* struct share_row -> itself, by service and organisation */
	const struct fleetconf *conf; /* that the weights are of */
	uint64_t conf_version;
};

static guint hash_row(gconstpointer key)
{
	const struct share_row *row = key;

	return g_str_hash(row->organisation) + row->service;
}

static gboolean same_row(gconstpointer first, gconstpointer second)
{
	const struct share_row *left = first;
	const struct share_row *right = second;

	return left->service == right->service && !strcmp(left->organisation, right->organisation);
}

static int shares_destructor(struct plan_shares *shares)
{
	g_hash_table_destroy(shares->index);
	g_ptr_array_free(shares->rows, TRUE);
	g_ptr_array_free(shares->services, TRUE);
	return 0;
}

struct plan_shares *plan_shares_create(TALLOC_CTX *mem)
{
	struct plan_shares *shares = talloc_zero(mem, struct plan_shares);

	shares->rows = g_ptr_array_new();
	shares->services = g_ptr_array_new();
	shares->index = g_hash_table_new(hash_row, same_row);
	talloc_set_destructor(shares, shares_destructor);
	return shares;
}

static guint find_service(const struct plan_shares *shares, const char *name)
{
	guint i = 0;

	while (i < shares->services->len &&
	       strcmp(((struct share_service *)shares->services->pdata[i])->name, name) != 0)
		i++;
	return i;
}

static struct share_service *make_service(struct plan_shares *shares, const char *name,
					  guint *index)
{
	struct share_service *service;

	*index = find_service(shares, name);
	if (*index < shares->services->len)
		return shares->services->pdata[*index];
	service = talloc_zero(shares, struct share_service);
	service->name = talloc_strdup(service, name);
	g_ptr_array_add(shares->services, service);
	return service;
}

static struct share_row *find_row(const struct plan_shares *shares, guint service,
				  const char *organisation)
{
	const struct share_row key = {.organisation = (char *)organisation, .service = service};

	return g_hash_table_lookup(shares->index, &key);
}

static struct share_row *make_row(struct plan_shares *shares, guint service,
				  const char *organisation)
{
	struct share_row *row = find_row(shares, service, organisation);

	if (row)
		return row;
	row = talloc_zero(shares, struct share_row);
	row->organisation = talloc_strdup(row, organisation);
	row->service = service;
	g_ptr_array_add(shares->rows, row);
	g_hash_table_add(shares->index, row);
	return row;
}

static const struct share_service *service_of(const struct plan_shares *shares,
					      const struct share_row *row)
{
	return shares->services->pdata[row->service];
}

static void add_times(struct amounts *sum, const struct plan_resources *need, uint32_t count)
{
	sum->of[SHARE_ACCELERATORS] += (double)need->accelerators * count;
	sum->of[SHARE_CPU] += (double)need->cpu_milli * count;
	sum->of[SHARE_MEMORY] += (double)need->memory_mb * count;
}

static void add_amounts(struct amounts *sum, const struct amounts *amounts)
{
	for (int i = 0; i < SHARE_KINDS; i++)
		sum->of[i] += amounts->of[i];
}

static double dominant_share(const struct share_service *service, const struct amounts *amounts)
{
	double most = 0;

	for (int i = 0; i < SHARE_KINDS; i++) {
		if (service->room.of[i] > 0)
			most = MAX(most, amounts->of[i] / service->room.of[i]);
	}
	return most;
}

static double weight_of(const struct plan *plan, const char *organisation)
{
	const struct fleetconf_organisation *found =
		plan->conf ? fleetconf_organisation(plan->conf, organisation) : NULL;

	return found ? MAX(WEIGHT_MIN, found->guaranteed_accelerators) : WEIGHT_MIN;
}

/* Lookups of organisations are linear, so weights are kept while the configuration is the same. */
static bool weights_are_valid(struct plan *plan)
{
	struct plan_shares *shares = plan->shares;
	uint64_t version = plan->conf ? plan->conf->version : 0;
	bool valid = shares->conf == plan->conf && shares->conf_version == version;

	shares->conf = plan->conf;
	shares->conf_version = version;
	return valid;
}

static void reset(struct plan *plan)
{
	struct plan_shares *shares = plan->shares;
	bool valid = weights_are_valid(plan);

	for (guint i = 0; i < shares->services->len; i++) {
		struct share_service *service = shares->services->pdata[i];

		*service = (struct share_service){.name = service->name};
	}
	for (guint i = 0; i < shares->rows->len; i++) {
		struct share_row *row = shares->rows->pdata[i];

		*row = (struct share_row){.organisation = row->organisation,
					  .service = row->service,
					  .weight = valid ? row->weight : 0};
	}
}

static void count_job(struct plan *plan, struct job *job)
{
	struct plan_shares *shares = plan->shares;
	guint service;

	job->share_row = NULL;
	if (plan_job_ended(job) || !job->queue)
		return;
	make_service(shares, job->queue->service, &service);
	job->share_row = make_row(shares, service, job->organisation);
	if (job->share_row->weight == 0)
		job->share_row->weight = weight_of(plan, job->organisation);
	if (job->guaranteed || job->inherited || job->held)
		return;
	for (const struct occurrence *o = job->occurrences; o; o = o->next) {
		for (size_t s = 0; s < job->spec->step_count; s++) {
			const struct step_run *step = &o->steps[s];
			struct plan_resources need = plan_step_need(step->spec);

			if (!step->ready_ms || step->waiting == 0)
				continue;
			add_times(&job->share_row->waiting, &need, step->waiting);
			job->share_row->competes = true;
		}
	}
}

/* Tasks that are being stopped have their room taken from them and count no more. */
static void count_worker(struct plan *plan, const struct worker *worker)
{
	struct share_service *service;
	guint index;

	if (!worker->present)
		return;
	service = make_service(plan->shares, worker->service, &index);
	if (worker->accepting)
		add_times(&service->room, &worker->room, 1);
	for (const struct task *task = worker->tasks; task; task = task->next_on_worker) {
		const struct job *job = plan_task_job(task);
		struct plan_resources need = plan_step_need(task->step->spec);

		if (task->state != TASK_STARTING && task->state != TASK_RUNNING)
			continue;
		if (job->guaranteed || !job->share_row)
			add_times(&service->unshared, &need, 1);
		else
			add_times(&job->share_row->used, &need, 1);
	}
}

static void gather_rows(struct plan_shares *shares)
{
	for (guint i = 0; i < shares->rows->len; i++) {
		struct share_row *row = shares->rows->pdata[i];
		struct share_service *service = shares->services->pdata[row->service];
		struct amounts asked = row->used;

		if (!row->competes) {
			add_amounts(&service->unshared, &row->used);
			continue;
		}
		service->competitors++;
		add_amounts(&asked, &row->waiting);
		row->asked = dominant_share(service, &asked);
	}
}

static int compare_asked_for_weight(gconstpointer first, gconstpointer second)
{
	const struct share_row *left = *(const struct share_row *const *)first;
	const struct share_row *right = *(const struct share_row *const *)second;
	double difference = left->asked / left->weight - right->asked / right->weight;

	return difference < 0 ? -1 : difference > 0;
}

/*
 * Max-min fairness: organisations that ask for the least for their weight get all of it; once the
 * rest asks for more than is left, that is divided by weight.
 */
static void share_out(struct plan_shares *shares, guint index)
{
	struct share_service *service = shares->services->pdata[index];
	GPtrArray *competitors = g_ptr_array_new();
	double left = MAX(0, 1 - dominant_share(service, &service->unshared));
	double weight = 0;

	for (guint i = 0; i < shares->rows->len; i++) {
		struct share_row *row = shares->rows->pdata[i];

		if (row->service != index || !row->competes)
			continue;
		weight += row->weight;
		g_ptr_array_add(competitors, row);
	}
	g_ptr_array_sort(competitors, compare_asked_for_weight);
	for (guint i = 0; i < competitors->len && !service->scarce; i++) {
		const struct share_row *row = competitors->pdata[i];

		service->level = MAX(LEVEL_MIN, left / weight);
		service->scarce = row->asked > row->weight * service->level;
		left = MAX(0, left - row->asked);
		weight -= row->weight;
	}
	g_ptr_array_free(competitors, TRUE);
}

void plan_share_update(struct plan *plan)
{
	struct plan_shares *shares = plan->shares;

	reset(plan);
	for (guint i = 0; i < plan->active->len; i++)
		count_job(plan, plan->active->pdata[i]);
	for (guint i = 0; i < plan->workers->len; i++)
		count_worker(plan, plan->workers->pdata[i]);
	gather_rows(shares);
	for (guint i = 0; i < shares->services->len; i++) {
		if (((struct share_service *)shares->services->pdata[i])->competitors > 1)
			share_out(shares, i);
	}
}

/* True if the organisation can't have all that it asks for. */
static bool is_limited(const struct plan_shares *shares, const struct share_row *row)
{
	const struct share_service *service = service_of(shares, row);

	return row->competes && service->scarce && row->asked > row->weight * service->level;
}

/* By how much @used is above the share of a limited organisation, as a part of the share. */
static double excess_of(const struct plan_shares *shares, const struct share_row *row,
			const struct amounts *used)
{
	const struct share_service *service = service_of(shares, row);
	double excess = dominant_share(service, used) / (row->weight * service->level) - 1;

	return excess > EXCESS_MIN ? excess : 0;
}

/*
 * A step that crosses the share counts with half of its tasks, so that an organisation with large
 * steps is not behind for good. It is above the share all the same, so that it comes after those
 * that ask for less than theirs.
 */
double plan_share_claim(struct plan *plan, const struct step_run *step)
{
	const struct job *job = step->occurrence->job;
	struct share_row *row = job->share_row;
	struct plan_resources need = plan_step_need(step->spec);
	struct amounts before;
	struct amounts middle;

	if (!row || job->guaranteed || step->spec->long_running || !is_limited(plan->shares, row))
		return 0;
	before = row->used;
	add_amounts(&before, &row->claimed);
	add_times(&row->claimed, &need, step->waiting);
	middle = row->used;
	add_amounts(&middle, &row->claimed);
	if (excess_of(plan->shares, row, &middle) == 0)
		return 0;
	for (int i = 0; i < SHARE_KINDS; i++)
		middle.of[i] = (before.of[i] + middle.of[i]) / 2;
	return MAX(EXCESS_MIN, excess_of(plan->shares, row, &middle));
}

double plan_share_excess(const struct plan *plan, const char *organisation)
{
	double most = 0;

	for (guint i = 0; i < plan->shares->services->len; i++) {
		const struct share_row *row = find_row(plan->shares, i, organisation);

		if (row && is_limited(plan->shares, row))
			most = MAX(most, excess_of(plan->shares, row, &row->used));
	}
	return most;
}

struct plan_share_peak plan_share_peak(const struct plan *plan)
{
	struct plan_share_peak peak = {.organisation = ""};

	for (guint i = 0; i < plan->shares->rows->len; i++) {
		const struct share_row *row = plan->shares->rows->pdata[i];
		double excess = is_limited(plan->shares, row)
					? excess_of(plan->shares, row, &row->used)
					: 0;

		if (excess > peak.excess)
			peak = (struct plan_share_peak){row->organisation, excess};
	}
	return peak;
}
