#ifndef JAYCOURSE_PARTS_H
#define JAYCOURSE_PARTS_H

#include "msg.h"

/**
 * DOC: Messages in parts
 *
 * A message that is longer than one may be is sent as several MSG_PART messages, in order, and
 * joined again by its receiver. The wire does both, so nobody else knows of parts.
 */

/* An encoded message of up to this many bytes is sent whole. */
#define PARTS_WHOLE_MAX_BYTES MSG_BODY_MAX
#define PARTS_PART_BYTES (512 * 1024)

/* Longest message that a receiver joins, and limit of all parts that it holds at a time. */
#define PARTS_JOINED_MAX_BYTES (32 * 1024 * 1024)

/*
 * Number of incomplete messages that a receiver holds. Each takes some 300 bytes beside its parts,
 * so that a crowd of peers with a byte each would take far more than PARTS_JOINED_MAX_BYTES.
 */
#define PARTS_JOINING_MAX 1024

struct parts;

/** parts_create() - an empty table of messages of which some parts have arrived */
struct parts *parts_create(TALLOC_CTX *mem);

/** parts_count() - number of parts of a message of @len bytes */
size_t parts_count(size_t len);

/**
 * parts_cut() - part number @index of an encoded message
 * @number: of the message; each message of a sender has another one
 *
 * Return: the part, whose bytes are those of @data.
 */
struct msg_part parts_cut(const uint8_t *data, size_t len, uint64_t number, size_t index);

/**
 * parts_add() - add a part that has arrived
 * @source: connection and peer that it came from
 * @data: set to the joined message when this was the last part; owned by @mem
 *
 * A part that does not continue the latest message from @source makes all of that message's parts
 * useless. They are dropped, since what follows them was lost on the way.
 *
 * Return: 0, with @data NULL until the message is complete; -ERR_INVALID if the part does not
 * continue a message; -ERR_TOO_LARGE if the message is longer than PARTS_JOINED_MAX_BYTES. When all
 * messages together exceed that, or are more than PARTS_JOINING_MAX, those are dropped that have
 * waited longest.
 */
int parts_add(struct parts *parts, const char *source, const struct msg_part *part, TALLOC_CTX *mem,
	      uint8_t **data, size_t *len);

#endif
