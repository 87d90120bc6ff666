#ifndef JAYCOURSE_LIB_CALLERS_H
#define JAYCOURSE_LIB_CALLERS_H

#include "lib_cluster.h"

/**
 * DOC: Concurrent callers with a record of what each was told
 *
 * Every request carries a unique echo, so that the targets' histories show how often it ran
 * and an answer shows whose it is.
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
	 * Behave like callers behind a balancer: only entries whose readiness endpoint says so get
	 * requests, and what was refused or not sent is sent to the next entry.
	 */
	bool balanced;
	/*
	 * Send a request with an unknown outcome again under its key. What is told "not run" after
	 * that counts as unknown, as the first attempt may have run.
	 */
	bool repeat_unknown;
};

struct callers_summary {
	unsigned int sent;
	unsigned int whole;	    /* 200 with the caller's own echo */
	unsigned int mixed;	    /* 200 with another echo */
	unsigned int cut;	    /* 200 whose body is not complete JSON */
	unsigned int not_run;	    /* told "not run" */
	unsigned int unknown;	    /* told "outcome unknown" */
	unsigned int failed;	    /* any other answer */
	unsigned int broken;	    /* no answer: the connection broke or timed out */
	unsigned int doubled;	    /* ran more than once */
	unsigned int false_not_run; /* told "not run" but ran */
	unsigned int lost;	    /* told 200 but never ran */
	unsigned int runs;
	uint64_t slowest_ms; /* of the whole answers */
};

struct callers;

/** callers_start() - start the threads */
struct callers *callers_start(const struct cluster *c, const struct callers_options *options);

/** callers_stop() - let each thread finish its request, wait for all */
void callers_stop(struct callers *callers);

/** callers_join() - wait until each thread has sent all its requests */
void callers_join(struct callers *callers);

/**
 * callers_summary() - compare the records with the targets' histories
 *
 * Call after callers_stop() or callers_join(). Histories of stand-ins that have been killed or
 * restarted are kept by callers_keep_history() before that.
 */
void callers_summary(struct callers *callers, struct callers_summary *out);

/** callers_keep_history() - take over the history of a stand-in that is about to end */
void callers_keep_history(struct callers *callers, const struct proc *stand_in);

/** callers_add_history() - take a reference to a history fetched before; counted as another
 * stand-in's
 */
void callers_add_history(struct callers *callers, json_t *history);

/** callers_whole() - whole answers with the caller's own echo so far */
unsigned int callers_whole(struct callers *callers);

/** callers_sent() - requests sent so far */
unsigned int callers_sent(struct callers *callers);

void callers_free(struct callers *callers);

#endif
