#ifndef JAYCOURSE_PLACE_H
#define JAYCOURSE_PLACE_H

#include "err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Placement decisions
 *
 * Decides which job runs on which accelerators and which work is evicted. The caller reports
 * events with their time and asks for decisions; the module uses no clock, socket, thread or
 * store. Times are milliseconds of one monotonic clock. Names and ids are copied.
 */

#define PLACE_MEMBERS_MAX 64	  /* members of one gang */
#define PLACE_ACCELERATORS_MAX 64 /* accelerators of one worker; a mask is one 64-bit word */

struct place;

enum place_within {
	PLACE_WITHIN_ZONE = 0, /* all members in one availability zone */
	PLACE_WITHIN_RACK,
	PLACE_WITHIN_WORKER,
};

/*
 * Resources that a gang asks for. Cores, memory and accelerators are per member. The accelerators
 * of a member are contiguous; a member with 0 accelerators needs only cores and memory, and its
 * mask is 0. Several members may share a worker.
 */
struct place_shape {
	uint32_t members;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
	enum place_within within;
};

struct place_worker_spec {
	const char *name;
	const char *zone;
	const char *rack;
	uint32_t accelerators;
	uint32_t cores;
	uint32_t memory_mb;
};

struct place_organisation_spec {
	const char *name;
	const struct place_shape *guarantees;
	size_t guarantee_count;
	int32_t priority; /* the higher one is served first when not all guarantees fit */
	uint32_t quota_accelerators; /* 0: no limit */
	double share;		     /* weight in the division of borrowed capacity; 0 means 1 */
};

struct place_job_spec {
	const char *id;
	const char *organisation;
	const char *class_name;
	struct place_shape shape;
	uint64_t declared_ms;
	uint64_t submitted_ms;
	bool urgent;
	bool checkpoint;  /* can be stopped with a checkpoint and continued from it */
	bool restartable; /* may be stopped without a checkpoint and run again from its start */
};

struct place_policy {
	double weight_completion;     /* 0 to 1 */
	double weight_fragmentation;  /* 0 to 1 */
	bool lend_idle;		      /* other organisations may use idle guaranteed capacity */
	bool give_back;		      /* offer completely idle workers back to the platform */
	uint32_t give_back_idle_ms;   /* idle time after which a worker is offered */
	uint32_t give_back_return_ms; /* minimum time between an offer and taking the worker back */
	uint32_t reclaim_grace_ms;    /* time that evicted work has to stop */
};

struct place_assignment {
	const char *worker;
	uint64_t mask; /* accelerators granted on the worker */
};

enum place_kind {
	PLACE_START,	       /* start attempt @attempt of @job on @members */
	PLACE_EVICT,	       /* stop @job; report PLACE_STOPPED when it has stopped */
	PLACE_FAIL,	       /* @job fails permanently, for @reason */
	PLACE_QUARANTINE,      /* @worker gets no work except probes */
	PLACE_READMIT,	       /* @worker leaves quarantine */
	PLACE_OFFER_BACK,      /* @worker is idle and offered to the platform */
	PLACE_TAKE_BACK,       /* @worker is wanted again */
	PLACE_GUARANTEE_UNMET, /* too few workers: @organisation's guarantee cannot be met */
	PLACE_GUARANTEE_MET,   /* @organisation's guarantee can be met again */
	PLACE_KIND_COUNT,
};

/* All pointers are valid only during the call of @emit. */
struct place_decision {
	enum place_kind kind;
	const char *job;
	uint32_t attempt;
	const struct place_assignment *members;
	size_t member_count;
	const char *worker;
	const char *organisation;
	const char *for_job; /* for PLACE_EVICT: the job that needs the capacity, or "" */
	bool checkpoint;     /* for PLACE_EVICT: take a checkpoint first */
	uint32_t grace_ms;
	const char *reason;
};

enum place_outcome {
	PLACE_DONE,	    /* the job has succeeded */
	PLACE_JOB_FAILED,   /* the job's program failed */
	PLACE_START_FAILED, /* the worker in @worker_name could not start the job */
	PLACE_WORKER_LOST,  /* the worker in @worker_name, or its agent, was lost */
	PLACE_STOPPED,	    /* stopped after PLACE_EVICT or a cancellation */
	PLACE_HOLD_REFUSED, /* no member started: an agent refused the hold or did not answer */
};

/**
 * place_create() - create a scheduler without workers, organisations and jobs
 * @mem: talloc parent of the result
 * @seed: seed of its random numbers
 */
struct place *place_create(TALLOC_CTX *mem, const struct place_policy *policy, uint64_t seed);

void place_set_policy(struct place *place, const struct place_policy *policy);

/** place_set_organisations() - replace all organisations; jobs of removed ones stay */
void place_set_organisations(struct place *place, const struct place_organisation_spec *specs,
			     size_t count, uint64_t now_ms);

/** place_worker_up() - add a worker, or update its capacity and topology */
void place_worker_up(struct place *place, const struct place_worker_spec *spec, uint64_t now_ms);

/** place_worker_down() - handle the loss of a worker; ends its jobs with PLACE_WORKER_LOST */
void place_worker_down(struct place *place, const char *name, uint64_t now_ms);

/** place_worker_drain() - start or stop a drain: no new work, running work may finish */
void place_worker_drain(struct place *place, const char *name, bool drain, uint64_t now_ms);

/**
 * place_submit() - queue a job
 *
 * Return: 0; -ERR_EXISTS; -ERR_NOT_FOUND for an unknown organisation; -ERR_NEVER_FITS when
 * the shape would not fit into any rack (or zone) even without other work; -ERR_OVER_QUOTA when
 * the shape alone exceeds the organisation's quota; -ERR_INVALID for sizes out of range.
 */
int place_submit(struct place *place, const struct place_job_spec *spec, uint64_t now_ms,
		 struct err *err);

/**
 * place_restore() - add a job that was queued or placed under an earlier placement leader
 * @member_count: 0 for a queued job
 *
 * Return: 0; -ERR_EXISTS; -ERR_INVALID; -ERR_CONFLICT when another job holds the accelerators.
 */
int place_restore(struct place *place, const struct place_job_spec *spec, uint32_t attempt,
		  const struct place_assignment *members, size_t member_count, bool running,
		  uint64_t now_ms, struct err *err);

/**
 * place_cancel() - cancel a job
 *
 * Return: 0 when the job was waiting and has been removed; 1 when it is placed, and PLACE_EVICT
 * follows from place_step(); -ERR_NOT_FOUND.
 */
int place_cancel(struct place *place, const char *id, uint64_t now_ms);

/** place_started() - report that all members of an attempt run */
void place_started(struct place *place, const char *id, uint32_t attempt, uint64_t now_ms);

/** place_checkpointed() - report that a checkpoint covers the run time up to @done_ms */
void place_checkpointed(struct place *place, const char *id, uint64_t done_ms);

/**
 * place_ended() - report the end of an attempt
 * @worker_name: worker at fault, or NULL
 *
 * After every outcome except PLACE_DONE and PLACE_JOB_FAILED the job is queued again, unless it
 * was cancelled or PLACE_FAIL ends it. Reports for earlier attempts are ignored.
 */
void place_ended(struct place *place, const char *id, uint32_t attempt, enum place_outcome outcome,
		 const char *worker_name, uint64_t now_ms);

/**
 * place_usage() - report which accelerators of a worker are in use
 *
 * Accelerators in use without a grant get no work. Reports lag behind: accelerators granted since
 * then count as used too, and for a few seconds after a release a report cannot mark further
 * accelerators as used without a grant.
 */
void place_usage(struct place *place, const char *worker_name, uint64_t accelerator_mask,
		 uint64_t now_ms);

/**
 * place_step() - make the decisions that are due
 * @emit: called for each decision in order; must not call back into @place
 *
 * Return: milliseconds after which the next step is due at the latest.
 */
uint64_t place_step(struct place *place, uint64_t now_ms,
		    void (*emit)(const struct place_decision *decision, void *ctx), void *ctx);

/**
 * place_check() - check the invariants
 *
 * Constructs a packing of all guarantees at once, with the evictions that it needs, and checks
 * that no accelerator is granted twice and no gang is placed only partially.
 *
 * Return: 0, or -ERR_FAILED with the violated invariant.
 */
int place_check(const struct place *place, struct err *err);

/**
 * place_pack_guarantees() - check that the guarantees fit the workers at once
 *
 * Return: 0 or -ERR_NEVER_FITS; the error names the organisations and the missing capacity.
 */
int place_pack_guarantees(const struct place_organisation_spec *organisations, size_t count,
			  const struct place_worker_spec *workers, size_t worker_count,
			  struct err *err);

/** place_fragmentation() - 0 to 1; see frag.h for the definition */
double place_fragmentation(const struct place *place);

struct place_stats {
	uint32_t workers;
	uint32_t accelerators;
	uint32_t accelerators_used;
	uint32_t jobs_waiting;
	uint32_t jobs_placed;
	uint32_t workers_quarantined;
	uint32_t workers_offered;
	uint32_t guarantees_unmet;
	uint64_t evictions;
};

void place_stats(const struct place *place, struct place_stats *out);

/**
 * place_explain() - say in one sentence why a job waits or where it runs, with a remedy
 *
 * Return: text owned by @mem, or NULL for an unknown job.
 */
char *place_explain(const struct place *place, const char *id, TALLOC_CTX *mem);

#endif
