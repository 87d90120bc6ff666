#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static const char *const code_names[ERR_CODE_COUNT] = {
	[0] = "ok",
	[ERR_INVALID] = "invalid",
	[ERR_NOT_FOUND] = "not_found",
	[ERR_EXISTS] = "exists",
	[ERR_CONFLICT] = "conflict",
	[ERR_DENIED] = "denied",
	[ERR_TOO_LARGE] = "too_large",
	[ERR_OVER_QUOTA] = "over_quota",
	[ERR_QUEUE_FULL] = "queue_full",
	[ERR_DEADLINE] = "deadline",
	[ERR_NO_TARGET] = "no_target",
	[ERR_NEVER_FITS] = "never_fits",
	[ERR_UNAVAILABLE] = "unavailable",
	[ERR_OUTCOME_UNKNOWN] = "outcome_unknown",
	[ERR_STALE] = "stale",
	[ERR_LEAVING] = "leaving",
	[ERR_CANCELLED] = "cancelled",
	[ERR_FAILED] = "failed",
	[ERR_SYSTEM] = "system",
};

int err_set(struct err *err, enum err_code code, const char *remedy, const char *format, ...)
{
	va_list args;

	if (!err)
		return -(int)code;
	err->code = code;
	va_start(args, format);
	vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
	snprintf(err->remedy, sizeof(err->remedy), "%s", remedy);
	return -(int)code;
}

const char *err_name(int code)
{
	/* abs() of the smallest integer would be negative. */
	if (code <= -ERR_CODE_COUNT || code >= ERR_CODE_COUNT)
		return "unknown";
	return code_names[abs(code)];
}
