#ifndef JAYCOURSE_LIB_CALLERS_H
#define JAYCOURSE_LIB_CALLERS_H

#include "lib_cluster.h"

/**
 * DOC: Concurrent callers that record the answer to each request
 *
 * Every request carries a unique echo: by it the targets' histories show how often the request
 * ran, and an answer shows to which request it belongs.
 */

#define CALLERS_MAX 16

struct callers_options {
	unsigned int threads;
	unsigned int requests_per_thread; /* 0: until callers_stop() */
	unsigned int work_ms;
	const char *class_name;
	const char *idempotent; /* "yes", "no" or NULL */
	bool keys;		/* send an idempotency key with each request */
	/*
	 * Behave like callers behind a load balancer: send requests only to entries whose readiness
	 * endpoint reports them as ready, and repeat a request that did not run at the next such
	 * entry.
	 */
	bool balanced;
	/*
	 * Send a request with an unknown outcome again under its idempotency key. If the answer to
	 * a later attempt is "not run", the outcome still counts as unknown, because the first
	 * attempt may have run.
	 */
	bool repeat_unknown;
};

struct callers_summary {
	unsigned int sent;
	unsigned int whole;	    /* 200 with the echo of the request */
	unsigned int mixed;	    /* 200 with another echo or none */
	unsigned int truncated;	    /* 200 whose body is not complete JSON */
	unsigned int not_run;	    /* answered "not run" */
	unsigned int unknown;	    /* answered "outcome unknown" */
	unsigned int failed;	    /* any other answer */
	unsigned int broken;	    /* no answer: connection closed or timed out */
	unsigned int doubled;	    /* ran more than once */
	unsigned int false_not_run; /* answered "not run" but ran */
	unsigned int lost;	    /* answered 200 but never ran */
	unsigned int runs;	    /* in all histories */
	uint64_t slowest_ms;	    /* longest time to an answer counted as whole */
};

struct callers;

/** callers_start() - start the caller threads and the readiness poller */
struct callers *callers_start(const struct cluster *cluster, const struct callers_options *options);

/** callers_stop() - stop after the current request of each thread, wait for all threads */
void callers_stop(struct callers *callers);

/** callers_join() - wait until each thread has sent all its requests */
void callers_join(struct callers *callers);

/**
 * callers_summary() - compare the recorded answers with the targets' histories
 *
 * Call after callers_stop() or callers_join(). Before a stand-in is killed or restarted, its
 * history must be saved with callers_fetch_history() or callers_add_history().
 */
void callers_summary(struct callers *callers, struct callers_summary *out);

/** callers_fetch_history() - fetch and keep the history of a stand-in that is about to end */
void callers_fetch_history(struct callers *callers, const struct proc *stand_in);

/**
 * callers_add_history() - add a history that was fetched before
 * @history: a reference is taken; counted as the history of a further stand-in
 */
void callers_add_history(struct callers *callers, json_t *history);

/** callers_whole_answers() - answers with status 200 and the echo of the request so far */
unsigned int callers_whole_answers(struct callers *callers);

/** callers_sent_requests() - requests sent so far */
unsigned int callers_sent_requests(struct callers *callers);

void callers_free(struct callers *callers);

#endif
