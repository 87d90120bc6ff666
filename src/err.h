#ifndef JAYCOURSE_ERR_H
#define JAYCOURSE_ERR_H

/**
 * DOC: Typed errors
 *
 * Functions return 0 on success and a negative &enum err_code on failure. Those that
 * take a &struct err fill it with a message that says what is wrong and a remedy that
 * says what the reader can do about it.
 */

enum err_code {
	ERR_INVALID = 1,     /* malformed or out-of-range input */
	ERR_NOT_FOUND,	     /* no such object */
	ERR_EXISTS,	     /* the object exists already */
	ERR_CONFLICT,	     /* a compare-and-swap failed because of a concurrent write */
	ERR_DENIED,	     /* missing or insufficient credentials */
	ERR_TOO_LARGE,	     /* over a size limit */
	ERR_OVER_QUOTA,	     /* the organisation's quota is exhausted */
	ERR_QUEUE_FULL,	     /* the bounded queue has no room */
	ERR_DEADLINE,	     /* the deadline has passed or cannot be met */
	ERR_NO_TARGET,	     /* no target can accept the work now */
	ERR_NEVER_FITS,	     /* no rack could hold the shape, even when empty */
	ERR_UNAVAILABLE,     /* a dependency is down; the operation had no effect */
	ERR_OUTCOME_UNKNOWN, /* the operation may or may not have taken effect */
	ERR_STALE,	     /* epoch, attempt, incarnation or revision is outdated */
	ERR_LEAVING,	     /* the node or target is shutting down */
	ERR_CANCELLED,	     /* the caller cancelled the request */
	ERR_FAILED,	     /* the work ran and failed */
	ERR_SYSTEM,	     /* the operating system refused a call */
	ERR_CODE_COUNT,
};

#define ERR_TEXT_MAX 384

/**
 * struct err - one error with its explanation
 * @code: kind of the error; 0 when nothing failed
 * @message: what is wrong, one sentence without a final newline
 * @remedy: what the reader can do about it, one sentence
 */
struct err {
	enum err_code code;
	char message[ERR_TEXT_MAX];
	char remedy[ERR_TEXT_MAX];
};

/**
 * err_set() - fill an error
 * @err: error to fill; may be NULL, then only the code is returned
 * @code: kind of the error
 * @remedy: what the reader can do, plain text
 * @format: printf format of the message
 *
 * Return: -@code, so that a caller can write "return err_set(...)".
 */
int err_set(struct err *err, enum err_code code, const char *remedy, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/**
 * err_name() - the fixed lower-case name of a code, as used in JSON and metrics labels
 * @code: positive or negative code
 *
 * Return: a static string; "unknown" for codes out of range.
 */
const char *err_name(int code);

#endif
