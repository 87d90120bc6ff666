#include "coord_int.h"

#include "log.h"
#include "util.h"

#include <string.h>

/*
 * Cancellations of jobs that are not stored. A submission may be stored after its cancellation: an
 * entry that stood still handles the call late, or the store carries out the write late. The leader
 * remembers such a cancellation as long as the state of an ended job, and ends the job when it
 * appears.
 */

#define RETRY_MS 1000 /* until a removal that had no effect is repeated */
/* Each cancellation takes two expectations and a removal; one more checks the leader key. */
#define REMOVE_CANCELS_MAX ((KV_TXN_MAX - 1) / 3)

struct early_cancel {
	char id[JOBSPEC_ID_LEN + 1];
	int64_t revision;   /* of its key in the store */
	uint64_t remove_ms; /* its key is removed at this time */
	bool job_stored;    /* its job has a record, which could not be read or was not seen yet */
};

void coord_keep_early_cancel(struct coord *coord, const char *id, int64_t revision)
{
	struct early_cancel *row = g_hash_table_lookup(coord->early_cancels, id);

	if (!row) {
		row = g_new0(struct early_cancel, 1);
		g_strlcpy(row->id, id, sizeof(row->id));
		g_hash_table_insert(coord->early_cancels, row->id, row);
		log_info("job_cancel", id, "cancelled by its owner, no such job is stored");
	}
	row->revision = revision;
	row->remove_ms = util_clock_ms() + coord->deps.keep_ended_ms;
}

void coord_forget_early_cancel(struct coord *coord, const char *id)
{
	g_hash_table_remove(coord->early_cancels, id);
}

void coord_apply_early_cancel(struct coord *coord, const char *id)
{
	struct early_cancel *row = g_hash_table_lookup(coord->early_cancels, id);
	enum plan_job_state state;

	if (!row)
		return;
	if (!plan_job_known(coord->plan, id, &state)) {
		row->job_stored = true;
		return;
	}
	log_info("job_cancel", id, "stored after its owner had cancelled it");
	plan_job_cancel(coord->plan, id);
	coord_forget_early_cancel(coord, id);
}

/* Their keys stay until the jobs are removed. */
static void keep_cancels_of_stored_jobs(struct coord *coord, const struct kv_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		const struct kv_item *item = &result->items[i];
		struct early_cancel *row = NULL;

		if (item->revision != 0 && g_str_has_prefix(item->key, JOB_PREFIX))
			row = g_hash_table_lookup(coord->early_cancels,
						  item->key + strlen(JOB_PREFIX));
		if (row)
			row->job_stored = true;
	}
}

static void on_removed(int status, const struct kv_result *result, void *ctx)
{
	struct coord *coord = callref_end(ctx);

	if (!coord || !status)
		return;
	if (status == -ERR_CONFLICT)
		keep_cancels_of_stored_jobs(coord, result);
	log_info("forget_failed", "", "keys of cancellations were not removed: %s",
		 err_name(status));
}

void coord_remove_early_cancels(struct coord *coord, uint64_t now_ms)
{
	struct kv_expect expects[1 + 2 * REMOVE_CANCELS_MAX] = {leader_expect(coord->deps.leader)};
	const char *removes[REMOVE_CANCELS_MAX];
	struct kv_txn txn = {.expects = expects, .expect_count = 1, .removes = removes};
	TALLOC_CTX *mem = talloc_new(NULL);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, coord->early_cancels);
	while (coord->loaded && txn.remove_count < REMOVE_CANCELS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct early_cancel *row = value;
		const char *job_key;
		const char *cancel_key;

		if (row->job_stored || now_ms < row->remove_ms)
			continue;
		row->remove_ms = now_ms + RETRY_MS;
		job_key = talloc_asprintf(mem, JOB_PREFIX "%s", row->id);
		cancel_key = talloc_asprintf(mem, "%s" CANCEL_SUFFIX, job_key);
		expects[txn.expect_count++] = (struct kv_expect){job_key, 0};
		expects[txn.expect_count++] = (struct kv_expect){cancel_key, row->revision};
		removes[txn.remove_count++] = cancel_key;
	}
	if (txn.remove_count > 0)
		coord->deps.kv->ops->txn(coord->deps.kv->impl, &txn,
					 coord_begin_call(coord, on_removed));
	talloc_free(mem);
}
