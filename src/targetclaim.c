#include "targetclaim.h"
#include "log.h"

#include <inttypes.h>
#include <stdio.h>

struct targetclaim {
	struct tevent_context *ev;
	struct tevent_immediate *confirm; /* NULL unless a claim is confirmed */
	struct metrics *metrics;
	void (*confirmed)(const struct target_info *info, uint64_t received_ms, void *ctx);
	void *ctx;
	struct target_info *info; /* owned with its strings; NULL while no claim is examined */
	uint64_t received_ms;
};

struct targetclaim *targetclaim_create(TALLOC_CTX *mem, struct tevent_context *ev,
				       struct metrics *metrics,
				       void (*confirmed)(const struct target_info *info,
							 uint64_t received_ms, void *ctx),
				       void *ctx)
{
	struct targetclaim *claim = talloc_zero(mem, struct targetclaim);

	claim->ev = ev;
	claim->metrics = metrics;
	claim->confirmed = confirmed;
	claim->ctx = ctx;
	return claim;
}

static void confirm_claim(struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
	struct targetclaim *claim = data;
	struct target_info *info = claim->info;

	claim->info = NULL;
	TALLOC_FREE(claim->confirm);
	claim->confirmed(info, claim->received_ms, claim->ctx);
	talloc_free(info);
}

static void on_identified(enum worker_identity identity, void *ctx)
{
	static const char *const names[] = {
		[WORKER_SAME] = "refuted",
		[WORKER_GONE] = "confirmed",
		[WORKER_UNDECIDED] = "unanswered",
	};
	struct targetclaim *claim = ctx;
	const struct target_info *info = claim->info;
	char labels[64];

	snprintf(labels, sizeof(labels), "result=\"%s\"", names[identity]);
	metrics_count(claim->metrics, "jaycourse_target_claims_total", labels,
		      "Announcements of another process while the present worker had tasks, by "
		      "what the present worker answered");
	log_warn("target_claim", "",
		 "incarnation %" PRIu64 " of %s at %s: %s by the present worker", info->incarnation,
		 info->name, info->url, names[identity]);
	/* The worker may be freed then, which its HTTP client does not allow in this callback. */
	if (identity == WORKER_GONE) {
		claim->confirm = tevent_create_immediate(claim);
		tevent_schedule_immediate(claim->confirm, claim->ev, confirm_claim, claim);
	} else {
		TALLOC_FREE(claim->info);
	}
}

int targetclaim_add(struct targetclaim *claim, struct worker *worker,
		    const struct target_info *info, uint64_t now_ms, struct err *err)
{
	if (!claim->info && !worker_identify(worker, on_identified, claim)) {
		claim->info = target_info_copy(claim, info);
		claim->received_ms = now_ms;
	}
	return err_set(err, ERR_CONFLICT, "stop one of the two processes, or repeat this",
		       "the present worker has tasks and is asked whether it has ended, because "
		       "incarnation %" PRIu64 " of %s at %s announces itself",
		       info->incarnation, info->name, info->url);
}

void targetclaim_drop(struct targetclaim *claim)
{
	TALLOC_FREE(claim->confirm);
	TALLOC_FREE(claim->info);
}
