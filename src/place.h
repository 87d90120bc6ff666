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
 * Pure: the caller reports events with their time and asks for decisions. There is no
 * clock, socket, thread or store inside. Times are milliseconds on any one clock that does
 * not go back. Names and ids are copied.
 */

#define PLACE_MEMBERS_MAX 64	  /* of one gang */
#define PLACE_ACCELERATORS_MAX 64 /* of one worker; a mask is one 64-bit word */

struct place;

enum place_within {
	PLACE_WITHIN_ZONE = 0, /* all members in one availability zone */
	PLACE_WITHIN_RACK,
	PLACE_WITHIN_WORKER,
};

/*
 * Cores, memory and accelerators are per member. Accelerators of a member are contiguous;
 * 0 accelerators is a member that needs only cores and memory (its mask is 0). Several
 * members may share a worker.
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
	int32_t priority;	     /* higher is served first when not all guarantees fit */
	uint32_t quota_accelerators; /* 0: no limit */
	double share;		     /* weight when borrowed capacity is shared; 0 means 1 */
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
	bool lend_idle;		      /* others may borrow an organisation's idle guarantee */
	bool give_back;		      /* offer whole idle workers back to the platform */
	uint32_t give_back_idle_ms;   /* idle this long before it is offered */
	uint32_t give_back_return_ms; /* taken back no sooner than this after an offer */
	uint32_t reclaim_grace_ms;    /* given to evicted work */
};

struct place_assignment {
	const char *worker;
	uint64_t mask; /* accelerators of the worker */
};

enum place_kind {
	PLACE_START,	       /* start @job, attempt @attempt, on @members */
	PLACE_EVICT,	       /* stop @job; report place_stopped() when it has stopped */
	PLACE_FAIL,	       /* @job is given up for good, @reason says why */
	PLACE_QUARANTINE,      /* @worker gets no work but probes */
	PLACE_READMIT,	       /* @worker is trusted again */
	PLACE_OFFER_BACK,      /* @worker is idle and offered to the platform */
	PLACE_TAKE_BACK,       /* @worker is wanted again */
	PLACE_GUARANTEE_UNMET, /* too few workers: @organisation's guarantee cannot be met */
	PLACE_GUARANTEE_MET,   /* it can be met again */
	PLACE_KIND_COUNT,
};

/* All pointers are borrowed for the call. */
struct place_decision {
	enum place_kind kind;
	const char *job;
	uint32_t attempt;
	const struct place_assignment *members;
	size_t member_count;
	const char *worker;
	const char *organisation;
	const char *for_job; /* of an eviction: the job that needs the room, or "" */
	bool checkpoint;     /* of an eviction: take a checkpoint first */
	uint32_t grace_ms;
	const char *reason;
};

enum place_outcome {
	PLACE_DONE,	    /* the job has ended with success */
	PLACE_JOB_FAILED,   /* its program failed */
	PLACE_START_FAILED, /* a worker could not start it; @worker names it */
	PLACE_WORKER_LOST,  /* a member's worker or agent was lost; @worker names it */
	PLACE_STOPPED,	    /* stopped after PLACE_EVICT or a cancellation */
	PLACE_HOLD_REFUSED, /* no member started: an agent refused or did not answer */
};

struct place *place_create(TALLOC_CTX *mem, const struct place_policy *policy, uint64_t seed);

void place_set_policy(struct place *place, const struct place_policy *policy);

/** place_set_organisations() - replace the set; jobs of organisations that are gone stay */
void place_set_organisations(struct place *place, const struct place_organisation_spec *specs,
			     size_t count, uint64_t now_ms);

void place_worker_up(struct place *place, const struct place_worker_spec *spec, uint64_t now_ms);

/** place_worker_down() - the worker is lost; its jobs get place_ended(PLACE_WORKER_LOST) inside */
void place_worker_down(struct place *place, const char *name, uint64_t now_ms);

/** place_worker_drain() - no new work; what runs stays until it ends or is evicted */
void place_worker_drain(struct place *place, const char *name, bool drain, uint64_t now_ms);

/**
 * place_submit() - queue a job
 *
 * Return: 0; -ERR_EXISTS; -ERR_NOT_FOUND for an unknown organisation; -ERR_NEVER_FITS when
 * no rack (or zone) could ever hold the shape; -ERR_OVER_QUOTA when the shape alone exceeds the
 * organisation's quota; -ERR_INVALID for absurd sizes.
 */
int place_submit(struct place *place, const struct place_job_spec *spec, uint64_t now_ms,
		 struct err *err);

/** place_restore() - re-enter a job that was granted before this process took over */
int place_restore(struct place *place, const struct place_job_spec *spec, uint32_t attempt,
		  const struct place_assignment *members, size_t member_count, bool running,
		  uint64_t now_ms, struct err *err);

/**
 * place_cancel() - withdraw a job
 *
 * Return: 0 when it was waiting and is gone; 1 when it is placed, and a PLACE_EVICT follows
 * from place_step(); -ERR_NOT_FOUND.
 */
int place_cancel(struct place *place, const char *id, uint64_t now_ms);

/** place_started() - all members of an attempt run */
void place_started(struct place *place, const char *id, uint32_t attempt, uint64_t now_ms);

/** place_checkpointed() - run time up to @done_ms is saved */
void place_checkpointed(struct place *place, const char *id, uint64_t done_ms);

/**
 * place_ended() - an attempt is over
 * @worker: worker at fault, or NULL
 *
 * After every outcome but PLACE_DONE and PLACE_JOB_FAILED the job is queued again, unless it was
 * cancelled or is given up by a PLACE_FAIL decision. Reports for old attempts are ignored.
 */
void place_ended(struct place *place, const char *id, uint32_t attempt, enum place_outcome outcome,
		 const char *worker_name, uint64_t now_ms);

/** place_usage() - reported use of a worker, which lags; what was granted since counts too */
void place_usage(struct place *place, const char *worker_name, uint64_t accelerator_mask,
		 uint64_t now_ms);

/**
 * place_step() - make the decisions that are due
 * @emit: called for each decision in order; must not call back into @place
 *
 * Return: milliseconds until the next step is due even without events.
 */
uint64_t place_step(struct place *place, uint64_t now_ms,
		    void (*emit)(const struct place_decision *decision, void *ctx), void *ctx);

/**
 * place_check() - prove the invariants
 *
 * Constructs the simultaneous packing of all guarantees with the evictions it needs, and
 * checks that no accelerator is granted twice and no gang is placed in part.
 *
 * Return: 0, or -ERR_FAILED with the violated invariant.
 */
int place_check(const struct place *place, struct err *err);

/**
 * place_pack_guarantees() - can the guarantees be packed into the workers at once?
 *
 * Return: 0 or -ERR_NEVER_FITS with the organisations and what is short.
 */
int place_pack_guarantees(const struct place_organisation_spec *organisations, size_t count,
			  const struct place_worker_spec *workers, size_t worker_count,
			  struct err *err);

/** place_fragmentation() - share of free accelerators that are unusable, 0 to 1 */
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
 * place_explain() - one sentence on why the job waits or where it is, with the remedy
 *
 * Return: text owned by @mem, or NULL for an unknown job.
 */
char *place_explain(const struct place *place, const char *id, TALLOC_CTX *mem);

#endif
