#ifndef JAYCOURSE_PLACE_IMPL_H
#define JAYCOURSE_PLACE_IMPL_H

#include "place.h"
#include "util.h"

#include <glib.h>

/*
 * Shared by the modules behind place.h (place, topo, search, guarantee, units, sched, pass, health,
 * estimate, frag, compact, giveback, check); no other code includes it.
 */

enum {
	/*
	 * Limits of the evictions of one job. A reclaim for guaranteed work may exceed them, but
	 * counts.
	 */
	PLACE_EVICTIONS_CHECKPOINT_MAX = 4, /* of a job that can be checkpointed */
	PLACE_EVICTIONS_PRIORITY_MAX = 20,  /* the same, for urgent or guaranteed work */
	PLACE_EVICTIONS_RESTART_MAX = 2,    /* of a job that restarts from its beginning */
	PLACE_RUN_MS_PER_EVICTION = 300000, /* run time that allows one more with checkpoints */
	PLACE_FAILED_WORKERS_MAX = 8 /* workers remembered per job because a start failed there */
};

struct cell;
struct job;

struct zone {
	char *name;
};

struct rack {
	char *name;
	int zone;
};

struct worker {
	char *name;
	int zone;
	int rack;
	uint32_t order; /* position in place->order: by zone, rack, name */
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory;
	bool up;
	bool draining;
	bool quarantined;
	bool offered;
	uint64_t all_mask;	  /* mask of all accelerators of the worker */
	uint64_t used_mask;	  /* accelerators granted to jobs */
	uint64_t reported_mask;	  /* accelerators reported in use without a grant */
	uint64_t guaranteed_mask; /* accelerators inside cells, of any organisation */
	uint64_t reserved_mask;	  /* accelerators from which work is evicted for a reservation */
	uint64_t draining_mask; /* draining for a large job; usable by work that is cheap to move */
	uint64_t reported_ms;
	uint64_t released_ms; /* when a member was released last */
	uint64_t down_ms;
	uint64_t idle_since_ms;
	uint64_t offered_ms;
	uint64_t returned_ms;
	uint64_t avoid_until_ms; /* no placement before this time, after a refused hold */
	uint32_t cores_used;
	uint32_t memory_used;
	uint32_t cores_guaranteed;
	uint32_t memory_guaranteed;
	uint32_t cores_pinned; /* of members outside own cells that may not be evicted */
	uint32_t memory_pinned;
	uint32_t cores_reserved;
	uint32_t memory_reserved;
	struct job *granted_jobs[PLACE_ACCELERATORS_MAX];
	struct job *reserving_jobs[PLACE_ACCELERATORS_MAX];
	GPtrArray *members; /* struct member, owned by the jobs */
	GPtrArray *cells;   /* struct cell, owned by the units */
	/* health */
	double suspicion;
	uint64_t success_ms;
	uint64_t quarantine_until_ms;
	uint32_t quarantine_count;
	struct job *probe;
	bool health_event; /* PLACE_QUARANTINE or PLACE_READMIT is due */
};

/* Capacity of one worker that is set aside for one member of a guaranteed shape. */
struct cell {
	struct unit *unit;
	struct worker *worker; /* NULL while the guarantee is not placed on workers */
	uint64_t mask;
	uint32_t cores;
	uint32_t memory;
	uint32_t cores_used; /* by members that run in the cell */
	uint32_t memory_used;
};

/* One guaranteed shape of an organisation. */
struct unit {
	struct organisation *org;
	struct place_shape shape;
	bool met;
	uint32_t index;	    /* position among the units of its organisation */
	struct cell *cells; /* array of shape.members cells */
};

struct organisation {
	char *name;
	bool removed;
	int32_t priority;
	uint32_t quota;
	double share;
	uint64_t since_ms;
	uint32_t index;
	bool listed;	 /* is in the set that place_set_organisations() applies */
	double sort_key; /* rank in the current borrowing pass, lowest first */
	struct unit **units;
	size_t unit_count;
	uint32_t used;		  /* accelerators granted */
	uint32_t used_cores;	  /* cores granted */
	uint32_t borrowed;	  /* accelerators granted outside own cells */
	uint32_t used_inside;	  /* accelerators of all placed jobs whose shape fits a guarantee */
	uint32_t guaranteed;	  /* accelerators of all guaranteed shapes */
	GQueue waiting;		  /* struct job by submission time */
	bool guaranteed_pass_due; /* guaranteed work may have become placeable */
	bool reported_unmet;
	bool pinned_work; /* runs work that may not be evicted; set only during a repack */
	GList *cursor;	  /* next waiting job of the current pass */
};

struct member {
	struct job *job;
	struct worker *worker;
	uint64_t mask;
	struct cell *cell; /* cell of the own organisation that contains the member, or NULL */
};

enum job_state {
	JOB_WAITING,
	JOB_PLACED,  /* START emitted */
	JOB_RUNNING, /* all members run */
};

struct class_estimate {
	double log_ratio; /* mean of ln(actual / declared) */
	double deviation; /* mean absolute deviation of it */
	uint32_t samples;
};

struct job {
	char *id;
	struct organisation *org;
	struct class_estimate *estimate;
	struct place_shape shape;
	uint64_t declared_ms;
	uint64_t submitted_ms;
	bool urgent;
	bool checkpoint;
	bool restartable;
	enum job_state state;
	bool stopping;	/* PLACE_EVICT has been emitted */
	bool cancelled; /* cancelled; PLACE_EVICT is due or has been emitted */
	bool ever_started;
	bool counted_large;  /* the job counts in place->large_used */
	bool counted_inside; /* the job counts in org->used_inside */
	bool entitled;	     /* on borrowed capacity although its guarantee has room */
	bool probing;
	bool clearing; /* work on the reservation is evicted; otherwise the reservation drains */
	bool given_up; /* PLACE_FAIL is due */
	const char *fail_reason;
	uint32_t attempt;
	uint32_t evictions;
	struct worker *move_to; /* target of a planned move, or NULL; may dangle: compare only */
	uint32_t start_failures;
	uint32_t healthy_worker_failures; /* start failures on workers that are not suspect */
	uint32_t refusals;
	uint64_t tried_gen; /* place->gen when the job was tried last */
	uint64_t not_before_ms;
	uint64_t waiting_since_ms;
	uint64_t placed_ms;
	uint64_t started_ms;
	uint64_t saved_ms;    /* run time covered by checkpoints */
	uint64_t run_base_ms; /* saved_ms when the attempt began */
	uint64_t retry_ms;    /* no search that weighs evictions before this time */
	uint64_t reserved_ms;
	struct worker *failed_on[PLACE_FAILED_WORKERS_MAX];
	uint32_t failed_on_count;
	uint64_t failed_ms;	/* when a start failed last */
	struct member *members; /* array of shape.members while the job is placed, or NULL */
	struct member *reservation;
	GList *link; /* element in org->waiting while the job waits, or NULL */
};

/* Candidate for members of a search: a worker or one of its cells, with the capacity left. */
struct slot {
	struct worker *worker;
	struct cell *cell;
	uint64_t mask;
	uint32_t cores;
	uint32_t memory;
	double score;
	int offset; /* first accelerator of the best run; -1: no room for a member */
};

enum query_mode {
	QUERY_FREE, /* free accelerators; those of idle guarantees of others if may_borrow is set */
	QUERY_EVICT,	   /* also accelerators of work that may be evicted */
	QUERY_DRAIN,	   /* also those of any other work, at the cost of its remaining run time */
	QUERY_CELLS,	   /* cells of the own organisation that are free of all work */
	QUERY_CELLS_EVICT, /* the same cells; work in them may be evicted */
	QUERY_GUARANTEE_FREE, /* cells for a guarantee on free accelerators */
	QUERY_GUARANTEE, /* cells for a guarantee anywhere but on work that cannot be evicted */
};

struct query {
	const struct place *place;
	enum query_mode mode;
	const struct place_shape *shape;
	struct organisation *org;
	struct job *job;    /* NULL when the search is for the cells of a guarantee */
	struct unit *unit;  /* the guaranteed shape to find cells for, or NULL */
	bool may_borrow;    /* the job may run in idle cells of other organisations */
	bool large;	    /* the job is large and may displace smaller jobs */
	bool overdue;	    /* see sched_overdue() */
	bool aged;	    /* see sched_aged() */
	bool cheap_to_move; /* see sched_cheap_to_move() */
	bool entitled;	    /* the job fits its guarantee but displaces less work outside it */
	uint64_t now_ms;
};

struct failed_shape {
	struct place_shape shape;
	bool may_borrow;
};

enum {
	FAILED_SHAPES_MAX = 48,
	FITTING_SHAPES_MAX = 128,
};

struct place {
	struct place_policy policy;
	struct util_rng rng;
	GPtrArray *workers; /* struct worker */
	GHashTable *worker_names;
	struct worker **order;
	size_t order_count;
	bool order_dirty;
	GPtrArray *zones;
	GPtrArray *racks;
	GPtrArray *orgs;
	GHashTable *org_names;
	GHashTable *jobs;
	GHashTable *estimates;
	GPtrArray *reserved;	/* jobs with a reservation */
	GPtrArray *urgent;	/* waiting urgent jobs */
	GPtrArray *ending_jobs; /* jobs whose PLACE_FAIL or PLACE_EVICT is due */
	struct unit **units;	/* sorted by priority, then age */
	size_t unit_count;
	size_t cell_count;	  /* number of cells of all units */
	size_t units_unmet;	  /* number of units that are not met */
	uint64_t units_tried_gen; /* gen when unmet units were tried last */
	bool guarantees_dirty;	  /* guarantees may have to move; see guarantee_refresh() */
	bool queue_pass_due;	  /* a pass over the queue is due */
	uint64_t gen;		  /* generation; grows when capacity becomes free */
	uint32_t waiting;	  /* number of waiting jobs */
	uint32_t placed;	  /* number of placed jobs */
	uint32_t large_used;	  /* accelerators of placed large jobs */
	uint32_t first_org;	  /* index in orgs where run_guaranteed_pass() starts */
	uint32_t offered;	  /* workers offered back to the platform */
	uint32_t worker_width;	  /* accelerators of the worker that has most */
	struct place_shape largest_submitted_shape; /* largest shape submitted */
	uint64_t evictions;
	uint64_t now_ms;
	uint64_t queue_pass_ms; /* the next periodic pass over the queue */
	uint64_t compact_ms;	/* no compaction before this time */
	size_t compact_turn;	/* index of the worker that the next compaction starts with */
	struct slot *slots;	/* candidates of the current search; slot_capacity elements */
	struct slot
		*trial_slots; /* copy of the slots of a group, changed during a trial placement */
	size_t slot_capacity;
	struct failed_shape failed_shapes[FAILED_SHAPES_MAX];
	size_t failed_shape_count;
	struct place_shape fitting_shapes[FITTING_SHAPES_MAX]; /* known to fit an idle fleet */
	size_t fitting_count;
	size_t fitting_next;
	void (*emit)(const struct place_decision *decision, void *ctx);
	void *emit_ctx;
};

/* topo.c */
struct worker *topo_get_worker(struct place *place, const char *name, bool create);
void topo_update_worker(struct place *place, struct worker *worker,
			const struct place_worker_spec *spec);
void topo_sort_workers(struct place *place);
void topo_grow_slots(struct place *place, size_t count);
bool topo_worker_usable(const struct worker *worker);
uint64_t topo_run_mask(uint32_t offset, uint32_t length);
double topo_buddy_value(uint64_t free_mask);
int topo_longest_run(uint64_t mask);
void topo_grant(struct place *place, struct job *job, struct member *members);
void topo_release(struct place *place, struct job *job);
void topo_reserve(struct place *place, struct job *job, struct member *members, bool clearing);
void topo_unreserve(struct place *place, struct job *job);
uint32_t topo_total_accelerators(const struct place *place);

/* search.c */
bool search_placement(struct place *place, const struct query *query, struct member *out);
bool search_fits_guarantee(const struct place_shape *job, const struct place_shape *guarantee);
bool search_eviction_budget_left(const struct place *place, const struct job *victim);
bool search_outside_guarantees(const struct job *job, const struct member *members);
bool search_fits_idle_fleet(struct place *place, const struct place_shape *shape);
double search_evict_cost(const struct place *place, const struct job *victim, uint64_t now_ms);
bool search_may_evict(const struct job *victim, const struct query *query);

/* guarantee.c */
void guarantee_refresh(struct place *place, uint64_t now_ms);
bool guarantee_move_unused_unit(struct place *place, struct job *job, uint64_t now_ms);
bool guarantee_move_units_off(struct place *place, struct worker *worker, uint64_t now_ms);
void guarantee_clear_placement(struct place *place, struct unit *unit);
bool guarantee_same_shape(const struct place_shape *a, const struct place_shape *b);
bool guarantee_includes_shape(const struct organisation *organisation,
			      const struct place_shape *shape);
bool guarantee_permits_eviction(const struct job *job);
bool guarantee_covers_job(const struct job *job);

/* guarantee_specs.c */
void guarantee_apply_specs(struct place *place, const struct place_organisation_spec *specs,
			   size_t count);

/* estimate.c */
struct class_estimate *estimate_get(struct place *place, const char *org, const char *class_name);
void estimate_learn(struct class_estimate *estimate, uint64_t declared_ms, uint64_t actual_ms);
uint64_t estimate_run_ms(const struct job *job);
uint64_t estimate_remaining_ms(const struct job *job, uint64_t now_ms);

/* health.c */
void health_job_started(struct place *place, struct job *job, uint64_t now_ms);
void health_start_failed(struct place *place, struct job *job, struct worker *worker,
			 uint64_t now_ms);
void health_program_failed(struct place *place, struct worker *worker);
uint64_t health_step(struct place *place, uint64_t now_ms);
bool health_job_avoids(const struct job *job, const struct worker *worker, uint64_t now_ms);

/* sched.c */
void sched_enqueue(struct place *place, struct job *job, uint64_t now_ms);
void sched_dequeue(struct place *place, struct job *job);
void sched_emit(struct place *place, struct place_decision *decision);
void sched_evict(struct place *place, struct job *victim, const struct job *for_job,
		 const char *reason);
void sched_move(struct place *place, struct job *job, const char *reason);
bool sched_evictable(const struct job *job);
bool sched_guaranteed(const struct job *job);
bool sched_large(const struct place *place, const struct job *job);

bool sched_room_free(const struct job *job, const struct member *members);
void sched_start(struct place *place, struct job *job, const struct member *members);
void sched_clear_reservation(struct place *place, struct job *job, const char *reason);
void sched_reserve(struct place *place, struct job *job, const struct member *members,
		   bool clearing);
struct query sched_query(const struct place *place, struct job *job, enum query_mode mode);
bool sched_overdue(const struct place *place, const struct job *job, uint64_t now_ms);
bool sched_aged(const struct job *job, uint64_t now_ms);
bool sched_cheap_to_move(const struct place *place, const struct job *job);
bool sched_start_reserved(struct place *place, struct job *job);

/* sched_pass.c */
uint64_t sched_step(struct place *place, uint64_t now_ms);

/* place.c */
void place_remove_job(struct place *place, struct job *job);
void place_give_up(struct place *place, struct job *job, const char *reason);

/* frag.c */
struct frag_shape *frag_demanded_shapes(const struct place *place, TALLOC_CTX *mem, size_t *count);

/* compact.c */
uint64_t compact_step(struct place *place, uint64_t now_ms);

/* giveback.c */
uint64_t giveback_step(struct place *place, uint64_t now_ms);

#endif
